package sidecar

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/bubble"
	"sapphiretray/fake"
	"sapphiretray/routing"
	"sapphiretray/store"
)

var (
	modelSeeds = flag.Int("sidecar.seeds", 5, "number of seeds that TestModel runs")
	modelSeed  = flag.Uint64("sidecar.seed", 4, "first seed that TestModel runs")
)

const (
	modelNodes = 3
	// modelTime is how long callers begin sessions and stops and moves happen.
	modelTime = 12 * time.Second
	// modelStopTimeout is the time after which the platform kills a process that stops.
	modelStopTimeout = 6 * time.Second
	// maxModelRealTime bounds the real time of one seed.
	maxModelRealTime = 2 * time.Minute
	modelService     = "shelves"
	modelHost        = "club.example"
)

// TestModel guards against requests that are lost, run twice or are answered wrongly while instances stop, routes change, keys move and
// upstreams fail. Each third seed also harms connections; only there may a request end without an answer. Another third has slow links,
// each second seed overlapping stops, and each sixth one kills processes, with which the requests in progress there end. Another sixth
// evacuates data centres. A failure prints the seed, which replays mostly the same sequence:
//
//	go test -race ./sidecar -run TestModel -sidecar.seed 17 -sidecar.seeds 1
func TestModel(t *testing.T) {
	klog.LogToStderr(false)
	defer klog.LogToStderr(true)
	failures := make(map[string][]uint64)
	total := make(map[string]int)
	for n := range *modelSeeds {
		seed := *modelSeed + uint64(n)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			m := newModel(seed)
			klog.SetOutput(m)
			var group sync.WaitGroup
			ended := make(chan struct{})
			group.Go(func() {
				defer close(ended)
				bubble.Test(t, m.run)
			})
			select {
			case <-ended:
				group.Wait()
			case <-time.After(maxModelRealTime):
				t.Fatalf("seed %d: the paused clock stands still", seed)
			}
			for _, v := range m.violations {
				failures[v.kind] = append(failures[v.kind], seed)
				t.Errorf("%v: %s: %s\n%s", m, v.kind, v.text, strings.Join(v.events, "\n"))
			}
			for outcome, count := range m.outcomes {
				total[outcome] += count
			}
		})
	}
	for kind, seeds := range failures {
		t.Logf("%s: %d of %d seeds: %v", kind, len(seeds), *modelSeeds, seeds)
	}
	t.Logf("requests by outcome: %v", total)
}

// model is callers, instances with their upstreams, and the network between them.
type model struct {
	seed uint64
	// harmful makes connections be reset, silenced and delayed.
	harmful bool
	// slow makes links between instances slow or stall, instances accept connections late, and rows reach instances late. Nothing is lost.
	slow bool
	// overlapping makes each stop begin while another instance stops.
	overlapping bool
	// sparse makes sessions rare, so that requests reach an instance that stops without others that reveal its stop before.
	sparse bool
	// killing makes processes end without a stop.
	killing bool
	// evacuating makes the operator evacuate data centres, of which each node then has its own.
	evacuating bool
	network    *fake.Network
	// links holds the links between instances by their sender and receiver, and feeds the times in which an instance gets no rows.
	links   [modelNodes][modelNodes]modelLink
	feeds   [modelNodes][]timeSpan
	started time.Time
	group   sync.WaitGroup
	nodes   []*modelNode

	mu sync.Mutex
	// ended means that no new sessions, stops or moves begin.
	ended    bool
	counts   map[string]uint64
	requests map[string]*modelRequest
	// order holds the requests in the order in which they were made, byConn those of each connection by the address of its caller.
	order  []*modelRequest
	byConn map[string]*modelConnState
	// acceptedAt is when a connection was accepted, by the address of its caller.
	acceptedAt map[string]time.Time
	keys       modelKeys
	tables     []modelTable
	// rowVersion is the version of the newest row of a record or key map.
	rowVersion uint64
	// operatorRows holds the newest rows of the operator by key.
	operatorRows map[string]store.Row
	// refusing holds when an instance that stops may refuse requests because of its stop.
	refusing   []timeSpan
	kills      []modelKill
	violations []modelViolation
	outcomes   map[string]int

	// eventsMu guards events. It is taken last, because log lines are written while other locks are held.
	eventsMu sync.Mutex
	events   []modelEvent
}

// modelTable is a route table and when it was made.
type modelTable struct {
	at    time.Time
	table *routing.Table
	// timeout is the shortest timeout of the routes.
	timeout time.Duration
}

// modelKill is the end of a process without a stop. servedAt is when another instance served a region of its keys, or zero.
type modelKill struct {
	node     *modelNode
	at       time.Time
	servedAt [modelRegions]time.Time
}

// modelEvent is a line of the time line.
type modelEvent struct {
	at   time.Duration
	id   string
	text string
}

// modelViolation is the first break of a rule by its kind.
type modelViolation struct {
	kind, text string
	events     []string
}

func newModel(seed uint64) *model {
	return &model{
		seed: seed, harmful: seed%3 == 0, slow: seed%3 == 1, overlapping: seed%2 == 0, sparse: seed%6 == 4, killing: seed%6 == 5,
		evacuating: seed%6 == 2, operatorRows: make(map[string]store.Row),
		network: new(fake.Network), counts: make(map[string]uint64),
		requests: make(map[string]*modelRequest), byConn: make(map[string]*modelConnState), acceptedAt: make(map[string]time.Time),
		outcomes: make(map[string]int),
	}
}

// String returns the seed and its properties.
func (m *model) String() string {
	text := fmt.Sprint("seed ", m.seed)
	for _, p := range []struct {
		is   bool
		name string
	}{
		{m.harmful, "harm"},
		{m.slow, "slow links"},
		{m.overlapping, "overlapping stops"},
		{m.sparse, "sparse"},
		{m.killing, "kills"},
		{m.evacuating, "evacuations"},
	} {
		if p.is {
			text += ", " + p.name
		}
	}
	return text
}

// draws is a source of random numbers for one decision.
type draws struct{ *rand.Rand }

func (d *draws) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.Int64N(int64(high-low)))
}

func (d *draws) chance(p float64) bool { return d.Float64() < p }

// newDraws returns random numbers that depend only on the seed and the arguments.
func (m *model) newDraws(kind ...any) *draws {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, kind...)
	return &draws{rand.New(rand.NewPCG(m.seed, h.Sum64()))}
}

// draw returns the random numbers for the next decision of a kind. Decisions of other kinds don't change them, so that the order of
// goroutines that run at the same time has little effect.
func (m *model) draw(kind string) *draws {
	m.mu.Lock()
	m.counts[kind]++
	count := m.counts[kind]
	m.mu.Unlock()
	return m.newDraws(kind, count)
}

// record adds an event to the time line. id is that of the request that it concerns, or empty.
func (m *model) record(id, format string, args ...any) {
	m.eventsMu.Lock()
	defer m.eventsMu.Unlock()
	m.events = append(m.events, modelEvent{at: time.Since(m.started), id: id, text: fmt.Sprintf(format, args...)})
}

// locked calls f with m.mu held.
func (m *model) locked(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// Write takes a line of the product's log.
func (m *model) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	if _, after, ok := strings.Cut(text, "] "); ok {
		text = after
	}
	id := ""
	if _, after, ok := strings.Cut(text, `id="`); ok {
		id, _, _ = strings.Cut(after, `"`)
	}
	m.record(id, "log: %s", text)
	return len(line), nil
}

// run runs the model and checks all requests at its end.
func (m *model) run(t *testing.T) {
	t.Helper()
	m.started = time.Now()
	m.planLinks()
	m.network.Latency, m.network.Window, m.network.WakeDelay = m.latency, modelWindow, m.wakeDelay
	m.addTable()
	for n := range modelNodes {
		m.nodes = append(m.nodes, m.newNode(n))
	}
	for _, node := range m.nodes {
		node.start()
	}
	m.assignKeys()
	for _, loop := range []func(){
		m.planKeys, m.changeTables, m.stopInstances, m.beginSessions, m.harmConnections, m.stallAccepts, m.killInstances,
		m.evacuate,
	} {
		m.group.Go(loop)
	}
	time.Sleep(modelTime)
	m.locked(func() { m.ended = true })
	// Requests, and stops that have begun, end by themselves.
	time.Sleep(modelStopTimeout + 2*time.Second)
	for _, node := range m.nodes {
		node.stopAtEnd()
	}
	m.group.Wait()
	for _, node := range m.nodes {
		node.upstream.close()
	}
	synctest.Wait()
	m.locked(m.checkAll)
}

// isEnded reports whether nothing new is to begin.
func (m *model) isEnded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended
}
