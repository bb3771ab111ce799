// Command standins runs one case of the review: it starts the project's processes and stand-ins for the store, the servers and the
// requesters on loopback addresses.
package main

import (
	"context"
	"fmt"
	"io"
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
	contact = 3 * time.Second
	grace   = 6 * time.Second
	// requestKey is the shard key of all requests.
	requestKey = 4711
	host       = "club.example"
	// keyedService is the service that is divided by key.
	keyedService = "bookings"
)

// ports of each machine.
const (
	portServer  = 18145
	portInbound = 18146
	portCallers = 18147
	portReady   = 18141
	portControl = 18144
	portInner   = 18380
)

// run is one start of a request at a server.
type run struct {
	at      time.Time
	request string
	machine int
	server  string
}

// bench is one play of a case.
type bench struct {
	started  time.Time
	record   *os.File
	dir      string
	binary   string
	trouble  bool
	store    *metadataStore
	machines []*machine
	// network holds the first three bytes of the machines' addresses.
	network string
	// first is the number of the machines with which the system starts for the first time.
	first int
	// memoryMB is the memory of each machine, and slots the number of requests that a server runs at once.
	memoryMB, slots int

	mu       sync.Mutex
	runs     []run
	failure  string
	requests int
	answers  []answer
}

// machine is a machine with a server and the project's process.
type machine struct {
	bench    *bench
	number   int
	ip       string
	settings string
	zone     string
	server   *appServer
	process  *exec.Cmd
	done     chan struct{}
	removed  bool
	// touched holds when the process was started, told to stop or killed.
	touched []time.Time
}

func newBench() (*bench, error) {
	b := &bench{started: time.Now(), memoryMB: 284, slots: 6, trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if b.record, err = os.Create("record.txt"); err != nil {
		return nil, err
	}
	if b.dir, err = os.MkdirTemp("", "review-3-"); err != nil {
		return nil, err
	}
	if b.binary, err = filepath.Abs(os.Getenv("SAPPHIRETRAY")); err != nil {
		return nil, err
	}
	if _, err := os.Stat(b.binary); err != nil {
		return nil, err
	}
	return b, nil
}

func (b *bench) log(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f s  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that the case can't run.
func (b *bench) broken(reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failure == "" {
		b.failure = reason
	}
}

func (b *bench) run(request string, machine int, server string) {
	b.mu.Lock()
	b.runs = append(b.runs, run{time.Now(), request, machine, server})
	b.mu.Unlock()
	b.log("server %s runs %s", server, request)
}

// runsOf returns the runs of the requests whose ids have a prefix. An id is followed by a zero byte.
func (b *bench) runsOf(prefix string) []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []run
	for _, r := range b.runs {
		if strings.HasPrefix(r.request+"\x00", prefix) {
			found = append(found, r)
		}
	}
	return found
}

// deploy starts the store with a configuration, and a machine for each service.
func (b *bench) deploy(config string, services ...string) error {
	network, err := freeNetwork(2 * len(services))
	if err != nil {
		return err
	}
	if b.store, err = startStore(network + ".1:0"); err != nil {
		return err
	}
	b.store.put("op", "config", []byte(config))
	b.network, b.first = network, len(services)
	for _, service := range services {
		b.addMachine(service)
	}
	for _, m := range b.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return b.awaitReady(10 * time.Second)
}

// addMachine adds a machine at an address of its own. It doesn't start it.
func (b *bench) addMachine(service string) {
	n := len(b.machines)
	m := &machine{bench: b, number: n + 1, ip: fmt.Sprintf("%s.%d", b.network, n+2)}
	zone := []string{"mu-north", "mu-central", "mu-south"}[n%3]
	m.server = &appServer{
		bench: b, machine: m.number, service: service, address: m.address(portServer), control: m.address(portControl), zone: zone,
		work: 60 * time.Millisecond, backAfter: 3 * time.Second, keyed: service == keyedService,
	}
	m.settings = filepath.Join(b.dir, fmt.Sprintf("machine-%d.conf", m.number))
	m.zone = zone
	b.machines = append(b.machines, m)
}

// start starts the server and the process of the machine.
func (m *machine) start() error {
	if err := m.server.start(); err != nil {
		return err
	}
	return m.startProcess()
}

// remove takes the machine away for good, as if it lost power.
func (m *machine) remove() {
	m.killProcess()
	m.server.end()
	m.removed = true
	m.bench.log("machine %d is gone for good", m.number)
}

// freeNetwork returns the first three bytes of loopback addresses on which nothing listens.
func freeNetwork(machines int) (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
		free := true
		for n := range machines {
			for _, port := range []int{portServer, portInbound, portCallers, portReady, portControl, portInner, portInner + 15} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, n+2, port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settingsText returns the settings. bootstrap is set when the whole system starts for the first time.
func (m *machine) settingsText(bootstrap bool) string {
	return fmt.Sprintf(`node_name=sidecar-%[2]s-%[1]d
role=sapphiretray
machine_class=sidecar
serves=sidecar
ip=%[3]s
zone=%[2]s
region=mu-island
zones.mu-north=mu-island
zones.mu-central=mu-island
zones.mu-south=mu-island
listen.inbound=%[3]s:%[4]d
listen.outbound=%[3]s:%[5]d
listen.ready=%[3]s:%[6]d
listen.control=%[3]s:%[7]d
inner_ports=%[8]d,%[9]d
seeds=
bootstrap=%[13]t
limits.cpu_share=0.32
limits.cores=1
limits.memory_mb=%[14]d
limits.max_fds=4100
limits.link_mbps=1000.0
discovery=local
entry=local
heartbeat=870ms
contracts=base,drain,config,cost,retry,recover,own,platform
fault_tolerance.machines=2
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
app_address=%[3]s:%[10]d
service=%[11]s
platform.address=%[12]s
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
platform.tx=8ms
platform.part_writes_per_s=150
platform.row_bytes=65536
platform.across=false
platform.history=20s
`, m.number, m.zone, m.ip, portInbound, portCallers, portReady, portControl, portInner, portInner+15, portServer, m.server.service,
		m.bench.store.address, bootstrap, m.bench.memoryMB)
}

// touch records that the machine isn't in touch for a time.
func (m *machine) touch() {
	m.bench.mu.Lock()
	defer m.bench.mu.Unlock()
	m.touched = append(m.touched, time.Now())
}

// touchedBefore returns the last time before another at which the process was started, told to stop or killed.
func (m *machine) touchedBefore(at time.Time) time.Time {
	m.bench.mu.Lock()
	defer m.bench.mu.Unlock()
	var last time.Time
	for _, t := range m.touched {
		if !t.After(at) {
			last = t
		}
	}
	return last
}

// startProcess starts the project's process with the command of the deploy file.
func (m *machine) startProcess() error {
	bootstrap := m.process == nil && m.number <= m.bench.first
	if err := os.WriteFile(m.settings, []byte(m.settingsText(bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.bench.dir, fmt.Sprintf("machine-%d.log", m.number)),
		os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.process = exec.Command(m.bench.binary, "platform")
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAPPHIRETRAY_SETTINGS=" + m.settings}
	m.process.Stdout, m.process.Stderr = log, log
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	m.touch()
	m.bench.log("process of machine %d starts", m.number)
	done, process := make(chan struct{}), m.process
	m.done = done
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// stopProcess stops the process as the platform does: SIGTERM, then SIGKILL after grace.
func (m *machine) stopProcess() {
	m.touch()
	m.bench.log("SIGTERM to the process of machine %d", m.number)
	_ = m.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.done:
	case <-time.After(grace):
		_ = m.process.Process.Kill()
		<-m.done
	}
	m.bench.log("process of machine %d has ended", m.number)
}

// killProcess kills the process.
func (m *machine) killProcess() {
	m.touch()
	m.bench.log("SIGKILL to the process of machine %d", m.number)
	_ = m.process.Process.Kill()
	<-m.done
}

func (m *machine) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.address(portReady) + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (b *bench) awaitReady(within time.Duration) error {
	for deadline := time.Now().Add(within); ; time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, m := range b.machines {
			ready = ready && (m.removed || m.ready())
		}
		if ready {
			b.log("all machines are ready")
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("not all machines are ready within %v", within)
		}
	}
}

// close ends everything that was started.
func (b *bench) close() {
	for _, m := range b.machines {
		if m.process != nil && m.process.Process != nil {
			_ = m.process.Process.Kill()
			<-m.done
		}
		m.server.end()
	}
	if b.store != nil {
		_ = b.store.server.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		b.log("logs are in %s", b.dir)
	}
}

// answer is what a requester gets.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
	at     time.Time
}

// lost reports whether the requester doesn't know whether the request ran.
func (a answer) lost() bool { return a.status == 0 || a.status == 502 || a.status == 504 }

// send sends one requester attempt with requestKey.
func (b *bench) send(m *machine, kind, method, path, body string, deadline time.Duration) answer {
	return b.sendKey(m, kind, method, path, body, requestKey, deadline)
}

// sendKey sends one requester attempt on a new connection to the machine's own process.
func (b *bench) sendKey(m *machine, kind, method, path, body string, key int, deadline time.Duration) answer {
	b.mu.Lock()
	b.requests++
	id := fmt.Sprintf("%s-%04d", kind, b.requests)
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.address(portCallers)+path, strings.NewReader(body))
	if err != nil {
		return answer{id: id, err: err}
	}
	request.Host = host
	request.Header.Set(idHeader, id)
	request.Header.Set("X-Sapphiretray-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("X-Sapphiretray-Shard-Key", fmt.Sprint(key))
	b.log("%s sent to machine %d: %s %s", id, m.number, method, path)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		b.log("%s gets no answer: %v", id, err)
		a := answer{id: id, err: err}
		b.note(a)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	a := answer{id: id, status: response.StatusCode, header: response.Header, body: string(content), err: err}
	b.note(a)
	b.log("%s is answered %d, stamp %q, retry-after %q: %s", id, a.status, response.Header.Get(stampHeader),
		response.Header.Get("Retry-After"), strings.TrimSpace(a.body))
	return a
}

func (b *bench) note(a answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.at = time.Now()
	b.answers = append(b.answers, a)
}

// count returns the number of answers to requests of a kind for which a function returns true.
func (b *bench) count(kind string, f func(a answer) bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, a := range b.answers {
		if strings.HasPrefix(a.id, kind) && f(a) {
			n++
		}
	}
	return n
}

// Exit codes of a case.
const (
	held   = 0
	broke  = 1
	cannot = 2
)

func main() {
	cases := map[string]func(*bench) (int, error){
		"add-service": addService, "crowd-ahead": crowdAhead, "all-replaced": allReplaced, "drain-forgotten": drainForgotten, "crash-restart": crashRestart,
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE")
		os.Exit(cannot)
	}
	b, err := newBench()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
	result, err := cases[os.Args[1]](b)
	b.close()
	if err == nil && b.failure != "" {
		err = fmt.Errorf("%s", b.failure)
	}
	if err != nil {
		b.log("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
	b.log("result: %d", result)
	_ = b.record.Close()
	os.Exit(result)
}
