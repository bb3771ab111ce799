package fake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Effect is one run of a request that changed an upstream's state.
type Effect struct {
	Key       string    `json:"key"`
	ID        string    `json:"id"`
	Partition int       `json:"partition"`
	Fence     uint64    `json:"fence"`
	Time      time.Time `json:"time"`
}

// Upstream is a stand-in of a back end server that owns keys. Its zero value checks no grants and serves at once.
type Upstream struct {
	serviceTime  time.Duration
	coldStart    time.Duration
	slots        int
	shedAbove    int
	checkGrants  bool
	clockOffset  time.Duration
	key          func(*http.Request) string
	crash        func()
	faults       upstreamFaults
	startOnce    sync.Once
	started      time.Time
	tickets      chan struct{}
	connections  connections
	server       *http.Server
	mu           sync.Mutex
	grants       map[int]grant
	fences       map[int]uint64
	counters     map[string]*counter
	journal      []Effect
	queued       int
	running      int
	draining     bool
	reportedLoad *float64
}

// UpstreamOption changes an Upstream under construction.
type UpstreamOption func(*Upstream)

// WithServiceTime makes each request occupy a slot for d.
func WithServiceTime(d time.Duration) UpstreamOption {
	return func(u *Upstream) { u.serviceTime = d }
}

// WithSlots bounds the requests that run at once; others wait in a queue.
func WithSlots(n int) UpstreamOption { return func(u *Upstream) { u.slots = n } }

// WithShedAbove rejects requests while n others wait in the queue.
func WithShedAbove(n int) UpstreamOption { return func(u *Upstream) { u.shedAbove = n } }

// WithColdStart makes the upstream refuse requests for d after its start.
func WithColdStart(d time.Duration) UpstreamOption {
	return func(u *Upstream) { u.coldStart = d }
}

// WithGrantCheck rejects requests without a valid grant.
func WithGrantCheck() UpstreamOption { return func(u *Upstream) { u.checkGrants = true } }

// WithClockOffset shifts the upstream's clock.
func WithClockOffset(d time.Duration) UpstreamOption {
	return func(u *Upstream) { u.clockOffset = d }
}

// WithKey sets how the key of a request is found; by default it is the last segment of the path.
func WithKey(key func(*http.Request) string) UpstreamOption {
	return func(u *Upstream) { u.key = key }
}

// WithCrash sets what a request that carries the marker of a crash fault calls instead of Crash. A process that serves
// only the upstream passes a function that exits.
func WithCrash(crash func()) UpstreamOption { return func(u *Upstream) { u.crash = crash } }

// NewUpstream returns an upstream.
func NewUpstream(options ...UpstreamOption) *Upstream {
	u := &Upstream{}
	for _, option := range options {
		option(u)
	}
	return u
}

func (u *Upstream) start() {
	u.startOnce.Do(func() {
		u.started = time.Now()
		if u.slots > 0 {
			u.tickets = make(chan struct{}, u.slots)
		}
	})
}

// Handler serves the upstream's protocol.
func (u *Upstream) Handler() http.Handler {
	u.start()
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /sapphire/grant", u.putGrant)
	mux.HandleFunc("POST /sapphire/renew", u.renew)
	mux.HandleFunc("DELETE /sapphire/grant/{partition}", u.deleteGrant)
	mux.HandleFunc("GET /sapphire/health", u.health)
	mux.HandleFunc("POST /sapphire/drain", u.drain)
	mux.HandleFunc("/", u.request)
	root := http.NewServeMux()
	root.HandleFunc("POST /fault", u.setFault)
	root.Handle("/", u.faults.frozen(mux))
	return root
}

// Serve serves on the listener until Close or Crash.
func (u *Upstream) Serve(listener net.Listener) error {
	server := &http.Server{Handler: u.Handler(), ReadHeaderTimeout: 10 * time.Second}
	u.mu.Lock()
	u.server = server
	u.mu.Unlock()
	return server.Serve(u.connections.wrap(listener))
}

// Crash closes the listener and all connections at once, as the end of the process does.
func (u *Upstream) Crash() {
	u.mu.Lock()
	server := u.server
	u.mu.Unlock()
	u.connections.closeAll()
	if server != nil {
		_ = server.Close()
	}
}

// Close is Crash under the name that tests clean up with.
func (u *Upstream) Close() { u.Crash() }

// Journal returns the effects so far in their order.
func (u *Upstream) Journal() []Effect {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Effect(nil), u.journal...)
}

// InFlight returns the number of requests that run now.
func (u *Upstream) InFlight() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running
}

// ReportLoad replaces the measured load in health responses.
func (u *Upstream) ReportLoad(load float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reportedLoad = &load
}

func (u *Upstream) clock() int64 { return time.Now().Add(u.clockOffset).UnixMilli() }

func (u *Upstream) acquire(ctx context.Context) error {
	u.mu.Lock()
	u.queued++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.queued--
		u.mu.Unlock()
	}()
	if u.tickets != nil {
		select {
		case u.tickets <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	u.mu.Lock()
	u.running++
	u.mu.Unlock()
	return nil
}

func (u *Upstream) release() {
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
	if u.tickets != nil {
		<-u.tickets
	}
}
