package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Offsets of the ports of a machine from its first port.
const (
	portInbound = iota
	portOutbound
	portReady
	portControl
	portApp
	portInner
)

const (
	innerPorts   = 8
	restartDelay = 300 * time.Millisecond
	memoryCheck  = 5 * time.Millisecond
)

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec      *record
	folder   string
	root     string
	store    *store
	storeAt  string
	machines []*machine
	// memoryMB is the memory of a process in MB, above which the platform kills it.
	memoryMB int
	stopping bool
}

// machine is a machine with a server and the process beside it.
type machine struct {
	name, ip, zone, service string
	port                    int
	server                  *server
	settings                string
	d                       *deployment

	mu      sync.Mutex
	process *os.Process
	stopped bool
	// ends counts the ends of the process, kills those because of its memory, and peak is the most memory in MB.
	ends, kills, peak int
	done              chan struct{}
}

func (m *machine) at(offset int) string { return net.JoinHostPort(m.ip, strconv.Itoa(m.port+offset)) }

func (m *machine) outbound() string { return m.at(portOutbound) }

// newDeployment starts the store on a free address. root is the root of the repository.
func newDeployment(rec *record, root string, config func(version int) []byte) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, folder: folder, root: root, store: newStore(rec), memoryMB: 284}
	d.guard()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAt = listener.Addr().String()
	go func() { _ = http.Serve(listener, d.store.handler()) }()
	d.store.put("op", "config", config(1))
	return d, nil
}

// add adds machines to the deployment, one for each service, on free addresses.
func (d *deployment) add(services []string, sharded func(service string) bool) error {
	for attempt := 0; attempt < 50; attempt++ {
		network := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		port := 10000 + rand.IntN(15000)
		if !portsFree(network, port, len(services)) {
			continue
		}
		for n, service := range services {
			m := &machine{
				name: fmt.Sprintf("sidecar-%d", n+1), ip: network + strconv.Itoa(n+2), zone: fmt.Sprintf("zone-%d", n%3+1), service: service,
				port: port, d: d, done: make(chan struct{}),
			}
			m.server = newServer(d.rec, fmt.Sprintf("i-%s-%d", service, n+1), service, m.at(portApp), m.at(portControl), m.zone, sharded(service))
			if err := m.writeSettings(); err != nil {
				return err
			}
			d.machines = append(d.machines, m)
		}
		return nil
	}
	return errors.New("no free ports")
}

func portsFree(network string, port, machines int) bool {
	for n := range machines {
		for offset := range portInner + innerPorts {
			l, err := net.Listen("tcp", net.JoinHostPort(network+strconv.Itoa(n+2), strconv.Itoa(port+offset)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (m *machine) writeSettings() error {
	m.settings = filepath.Join(m.d.folder, m.name+".conf")
	text := fmt.Sprintf(`node_name=%s
role=sapphiretray
machine_class=sidecar
serves=sidecar
ip=%s
zone=%s
region=island
zones.zone-1=island
zones.zone-2=island
zones.zone-3=island
listen.inbound=%s
listen.outbound=%s
listen.ready=%s
listen.control=%s
inner_ports=%d,%d
seeds=
bootstrap=true
in_fault_budget=false
limits.cpu_share=0.32
limits.cores=1
limits.memory_mb=%d
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=local
entry=local
heartbeat=870ms
contracts=base,drain,config,cost,retry,recover,own,platform
fault_tolerance.machines=2
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag=3s
bounds.reuse_after=2s
bounds.contact=3000ms
bounds.ack=4000ms
bounds.catch_up=4s
bounds.drain=2000ms
bounds.grace=6s
bounds.loss_slack=200ms
bounds.config_apply=2000ms
bounds.rollback_slack=250ms
bounds.outer=5000ms
bounds.retry_budget_ratio=0.2
bounds.budget_window=10s
bounds.retry_budget_slack=62
bounds.recovery=15s
bounds.max_hold=10000ms
bounds.thaw=300ms
grants=rpc
app_address=%s
service=%s
platform.address=%s
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
platform.tx=8ms
platform.part_writes_per_s=150
platform.row_bytes=65536
platform.across=false
platform.history=20s
platform.blob_bytes=8388608
platform.blob=25ms
platform.blob_mb_per_s=80.0
`, m.name, m.ip, m.zone, m.at(portInbound), m.at(portOutbound), m.at(portReady), m.at(portControl), m.port+portInner,
		m.port+portInner+innerPorts-1, m.d.memoryMB, m.at(portApp), m.service, m.d.storeAt)
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts the servers and the processes.
func (d *deployment) start() error {
	for _, m := range d.machines {
		if err := m.server.start(); err != nil {
			return err
		}
	}
	for _, m := range d.machines {
		go m.keepRunning()
	}
	return nil
}

// keepRunning starts the process again after it has ended, as the platform does, until stop.
func (m *machine) keepRunning() {
	defer close(m.done)
	for {
		m.mu.Lock()
		if m.stopped {
			m.mu.Unlock()
			return
		}
		command, err := m.startProcess()
		if err != nil {
			m.mu.Unlock()
			m.d.rec.say("cannot start %s: %v", m.name, err)
			return
		}
		m.process = command.Process
		m.mu.Unlock()
		ended := make(chan struct{})
		go m.watchMemory(command.Process.Pid, ended)
		err = command.Wait()
		close(ended)
		m.mu.Lock()
		m.ends++
		m.process = nil
		stopped := m.stopped
		m.mu.Unlock()
		if stopped {
			return
		}
		m.d.rec.event("%s: process ends: %v", m.name, err)
		time.Sleep(restartDelay)
	}
}

// startProcess starts the command of the deploy file.
func (m *machine) startProcess() (*exec.Cmd, error) {
	logFile, err := os.OpenFile(filepath.Join(m.d.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = logFile.Close() }()
	command := exec.Command("target/sapphiretray", "platform")
	command.Dir = m.d.root
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "SAPPHIRETRAY_SETTINGS=" + m.settings,
	}
	command.Stdout, command.Stderr = logFile, logFile
	return command, command.Start()
}

// watchMemory kills the process once it has more memory than its limit, as the platform does. Only memory of its own counts, not the
// program's file.
func (m *machine) watchMemory(pid int, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(memoryCheck):
		}
		mb := ownMemoryMB(pid)
		m.mu.Lock()
		m.peak = max(m.peak, mb)
		if mb > m.d.memoryMB && m.process != nil && m.process.Pid == pid {
			m.kills++
			m.d.rec.event("%s: process has %d MB of memory, limit %d MB: killed", m.name, mb, m.d.memoryMB)
			_ = m.process.Signal(syscall.SIGKILL)
			m.mu.Unlock()
			return
		}
		m.mu.Unlock()
	}
}

// ownMemoryMB returns the anonymous resident memory of a process in MB.
func ownMemoryMB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		m.d.rec.event("%s: signal %v", m.name, s)
		_ = m.process.Signal(s)
	}
}

// remove removes the machine for good, with its server.
func (m *machine) remove() {
	m.mu.Lock()
	m.stopped = true
	if m.process != nil {
		_ = m.process.Signal(syscall.SIGKILL)
	}
	m.mu.Unlock()
	m.server.stop()
	m.d.rec.event("%s: removed for good", m.name)
}

// counts returns the ends of the process, those because of its memory, and the most memory in MB.
func (m *machine) counts() (ends, kills, peak int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ends, m.kills, m.peak
}

// stop ends all processes and servers and removes the folder unless KEEP is set.
func (d *deployment) stop() {
	for _, m := range d.machines {
		m.mu.Lock()
		m.stopped = true
		if m.process != nil {
			_ = m.process.Signal(syscall.SIGKILL)
		}
		m.mu.Unlock()
	}
	for _, m := range d.machines {
		select {
		case <-m.done:
		case <-time.After(3 * time.Second):
		}
		if m.server.http != nil {
			m.server.stop()
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are in", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// ready reports whether all processes answer the readiness check with 200.
func (d *deployment) ready() bool {
	client := http.Client{Timeout: time.Second}
	for _, m := range d.machines {
		response, err := client.Get("http://" + m.at(portReady) + "/-/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}
