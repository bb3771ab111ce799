package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeat = 870 * time.Millisecond
	drain     = 2 * time.Second
)

// machine is a machine with a server and the project's process beside it.
type machine struct {
	name, ip, zone, service        string
	sharded                        bool
	appAddress, controlAddress     string
	outbound, inbound, readyAdress string
	settings, storeAddress         string
	server                         *server
	// lost is set once the machine has been lost or removed.
	lost bool

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// recorder collects what happened and writes it to a file.
type recorder struct {
	mu      sync.Mutex
	started time.Time
	file    *bufio.Writer
	runs    []run
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{started: time.Now(), file: bufio.NewWriter(f)}, nil
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	_ = r.file.Flush()
}

func (r *recorder) addRun(n run) {
	r.note("run of %s at %s: %s %s, %d bytes, from service %s", n.id, n.life, n.method, n.target, n.bodySize, n.caller)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, n)
}

// allRuns returns the runs so far.
func (r *recorder) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec      *recorder
	dir      string
	program  string
	store    *rowStore
	reserved net.Listener
	machines []*machine
	ports    int
	prefix   string
}

// spec describes the machines of one service.
type spec struct {
	service string
	sharded bool
	count   int
}

var zones = []string{"mu-north", "mu-central", "mu-south"}

// newDeployment starts the store and lays out the machines without starting them.
func newDeployment(rec *recorder, program, dir string, specs []spec) (*deployment, error) {
	d := &deployment{rec: rec, dir: dir, program: program, store: newRowStore()}
	for range 20 {
		d.prefix = fmt.Sprintf("127.%d.", 32+rand.IntN(200))
		d.ports = 20000 + 100*rand.IntN(100)
		if l, err := net.Listen("tcp", fmt.Sprintf("%s0.1:%d", d.prefix, d.ports)); err == nil {
			// The address is kept so that no other case uses the same ones.
			d.reserved = l
			break
		}
	}
	if d.reserved == nil {
		return nil, errors.New("no free addresses")
	}
	for _, s := range specs {
		for i := range s.count {
			if _, err := d.add(s, zones[i%len(zones)]); err != nil {
				return nil, err
			}
		}
	}
	return d, nil
}

// add lays out a further machine at an address that was never used.
func (d *deployment) add(s spec, zone string) (*machine, error) {
	n := len(d.machines)
	m := &machine{
		name: fmt.Sprintf("%s-%d", s.service, n+1), ip: fmt.Sprintf("%s%d.%d", d.prefix, 1+n/200, 10+n%200), zone: zone,
		service: s.service, sharded: s.sharded,
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, d.ports+port) }
	m.readyAdress, m.controlAddress, m.appAddress, m.inbound, m.outbound = at(1), at(4), at(5), at(6), at(7)
	// Each machine calls the store at an address of its own, so that the store can tell them apart.
	l, err := net.Listen("tcp", fmt.Sprintf("%s%d.%d:%d", d.prefix, 101+n/200, 10+n%200, d.ports))
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, d.store.handler(m.name)) }()
	m.storeAddress = l.Addr().String()
	m.server = newServer(m, d.rec)
	m.settings = filepath.Join(d.dir, m.name+".conf")
	d.machines = append(d.machines, m)
	return m, os.WriteFile(m.settings, []byte(d.settingsOf(m)), 0o600)
}

// startMachine starts the server and the process of a machine.
func (d *deployment) startMachine(m *machine) error {
	if err := m.server.start(); err != nil {
		return err
	}
	return d.startProcess(m)
}

// lose ends the servers and the processes of machines at the same moment and for good, as a loss of the machines does.
func (d *deployment) lose(machines ...*machine) {
	var all sync.WaitGroup
	for _, m := range machines {
		d.rec.note("machine %s at %s is lost for good", m.name, m.ip)
		m.lost = true
		all.Go(func() {
			m.signal(syscall.SIGKILL)
			m.server.crash()
			<-m.ended
		})
	}
	all.Wait()
}

// downTime is how long processes are away after they were all killed.
const downTime = 1400 * time.Millisecond

// killAll kills all processes at once and starts them again. The servers keep running.
func (d *deployment) killAll() error {
	d.rec.note("all processes are killed")
	live := d.live()
	for _, m := range live {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range live {
		<-m.ended
	}
	time.Sleep(downTime)
	for _, m := range live {
		if err := d.startProcess(m); err != nil {
			return err
		}
	}
	return nil
}

// live returns the machines that haven't been lost or removed.
func (d *deployment) live() []*machine {
	var live []*machine
	for _, m := range d.machines {
		if !m.lost {
			live = append(live, m)
		}
	}
	return live
}

func (d *deployment) settingsOf(m *machine) string {
	lines := []string{
		"node_name=" + m.name, "role=sapphiretray", "machine_class=sidecar", "serves=sidecar", "ip=" + m.ip, "zone=" + m.zone,
		"region=mu-island", "zones.mu-north=mu-island", "zones.mu-central=mu-island", "zones.mu-south=mu-island",
		"listen.inbound=" + m.inbound, "listen.outbound=" + m.outbound, "listen.ready=" + m.readyAdress,
		"listen.control=" + m.controlAddress, fmt.Sprintf("inner_ports=%d,%d", d.ports+20, d.ports+35), "seeds=", "bootstrap=true",
		"in_fault_budget=false", "limits.cpu_share=0.32", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100",
		"limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=local", "entry=local", "heartbeat=870ms",
		"contracts=base,drain,config,cost,retry,recover,own,platform", "fault_tolerance.machines=2", "fault_tolerance.zones=0",
		"fault_tolerance.regions=0", "bounds.seed_lag=3s", "bounds.reuse_after=2s", "bounds.contact=3000ms", "bounds.ack=4000ms",
		"bounds.catch_up=4s", "bounds.drain=2000ms", "bounds.grace=6s", "bounds.loss_slack=200ms", "bounds.config_apply=2000ms",
		"bounds.rollback_slack=250ms", "bounds.outer=5000ms", "bounds.retry_budget_ratio=0.2", "bounds.budget_window=10s",
		"bounds.retry_budget_slack=62", "bounds.recovery=15s", "bounds.max_hold=10000ms", "bounds.thaw=300ms", "grants=rpc",
		"app_address=" + m.appAddress, "service=" + m.service, "platform.address=" + m.storeAddress, "platform.form=table",
		"platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.tx=8ms", "platform.part_writes_per_s=150",
		"platform.row_bytes=65536", "platform.across=false", "platform.history=20s", "platform.blob_bytes=8388608",
		"platform.blob=25ms", "platform.blob_mb_per_s=80.0",
	}
	return strings.Join(lines, "\n") + "\n"
}

// startProcess starts the project's process of a machine with the command of the deploy file.
func (d *deployment) startProcess(m *machine) error {
	log, err := os.OpenFile(filepath.Join(d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(d.program, "platform")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "SAPPHIRETRAY_SETTINGS=" + m.settings}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended = c, ended
	m.mu.Unlock()
	d.rec.note("process of %s starts, pid %d", m.name, c.Process.Pid)
	go func() {
		err := c.Wait()
		d.rec.note("process of %s ended: %v", m.name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// start starts all servers and processes, and waits until all processes are ready.
func (d *deployment) start(timeout time.Duration) error {
	for _, m := range d.machines {
		if err := d.startMachine(m); err != nil {
			return err
		}
	}
	until := time.Now().Add(timeout)
	for _, m := range d.machines {
		for !isReady(m) {
			if time.Now().After(until) {
				return fmt.Errorf("%s isn't ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.rec.note("all processes are ready")
	return nil
}

func isReady(m *machine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.readyAdress+"/-/ready", nil)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop kills all processes that were started.
func (d *deployment) stop() {
	for _, m := range d.machines {
		if m.ended == nil {
			continue
		}
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
		<-m.ended
	}
}

// route is a route of the configuration.
type route struct {
	Name        string `json:"name"`
	Prefix      string `json:"prefix"`
	RouteType   string `json:"route_type"`
	Timeout     string `json:"timeout"`
	Latency     string `json:"target_latency"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
}

// configure writes the operator's configuration.
func (d *deployment) configure(version int, specs []spec, routes []route) {
	services := []map[string]any{}
	for _, s := range specs {
		services = append(services, map[string]any{
			"name": s.service, "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false,
			"sharded": s.sharded, "warmup": "5s", "grants": "rpc",
		})
	}
	d.store.put("op", "config", map[string]any{
		"version": version, "services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms",
		},
		"virtual_hosts": []map[string]any{{"host": "clubs.example", "paths": routes}},
	})
}
