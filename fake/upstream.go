package fake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Effect records one run of a request that changed an upstream's state. Partition and Fence are those of the request's headers, and Time
// is when the effect took place.
type Effect struct {
	Key       string    `json:"key"`
	ID        string    `json:"id"`
	Partition int       `json:"partition"`
	Fence     uint64    `json:"fence"`
	Time      time.Time `json:"time"`
}

// Upstream is a fake of an upstream server that keeps a state for each key. Its zero value checks no grants and responds without delay.
type Upstream struct {
	serviceTime time.Duration
	coldStart   time.Duration
	slots       int
	maxQueued   int
	checkGrants bool
	clockOffset time.Duration
	key         func(*http.Request) string
	crash       func()
	faults      upstreamFaults
	startOnce   sync.Once
	started     time.Time
	// slotSemaphore has one entry for each running request; nil if slots is 0.
	slotSemaphore chan struct{}
	connections   connections
	server        *http.Server
	mu            sync.Mutex
	grants        map[int]grant
	// fences has the highest fencing token granted for each partition.
	fences    map[int]uint64
	keyStates map[string]*keyState
	effects   []Effect
	queued    int
	running   int
	draining  bool
	// reportedLoad replaces the measured load unless it is nil.
	reportedLoad *float64
}

// UpstreamOption configures an Upstream.
type UpstreamOption func(*Upstream)

// WithServiceTime makes each request occupy a slot for d, unless it has the query parameter service_ms.
func WithServiceTime(d time.Duration) UpstreamOption {
	return func(u *Upstream) { u.serviceTime = d }
}

// WithSlots limits the requests that run at the same time to n; others wait in a queue.
func WithSlots(n int) UpstreamOption { return func(u *Upstream) { u.slots = n } }

// WithMaxQueued refuses requests with 429 while n others wait in the queue.
func WithMaxQueued(n int) UpstreamOption { return func(u *Upstream) { u.maxQueued = n } }

// WithColdStart makes the upstream refuse requests for d after the first call of Handler or Serve.
func WithColdStart(d time.Duration) UpstreamOption {
	return func(u *Upstream) { u.coldStart = d }
}

// WithGrantCheck refuses requests without a valid grant.
func WithGrantCheck() UpstreamOption { return func(u *Upstream) { u.checkGrants = true } }

// WithClockOffset adds d to the upstream's clock.
func WithClockOffset(d time.Duration) UpstreamOption {
	return func(u *Upstream) { u.clockOffset = d }
}

// WithKey sets the function that returns the key of a request; by default it is the last segment of the path.
func WithKey(key func(*http.Request) string) UpstreamOption {
	return func(u *Upstream) { u.key = key }
}

// WithCrash sets the function that is called instead of Crash when a request contains the marker of a CrashOn fault. A process that
// serves only the upstream passes a function that exits.
func WithCrash(crash func()) UpstreamOption { return func(u *Upstream) { u.crash = crash } }

// NewUpstream returns an upstream with the options.
func NewUpstream(options ...UpstreamOption) *Upstream {
	u := &Upstream{}
	for _, option := range options {
		option(u)
	}
	return u
}

// start sets the start time and creates the semaphore of the slots, on the first call only.
func (u *Upstream) start() {
	u.startOnce.Do(func() {
		u.started = time.Now()
		if u.slots > 0 {
			u.slotSemaphore = make(chan struct{}, u.slots)
		}
	})
}

// Handler serves the upstream's protocol, and POST /fault to set an UpstreamFault.
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
	root.Handle("/", u.faults.holdWhileFrozen(mux))
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

// Crash closes the listener and all connections immediately, like the end of a process.
func (u *Upstream) Crash() {
	u.mu.Lock()
	server := u.server
	u.mu.Unlock()
	u.connections.closeAll()
	if server != nil {
		_ = server.Close()
	}
}

// Close does the same as Crash. Tests call it to clean up.
func (u *Upstream) Close() { u.Crash() }

// Effects returns the effects so far in their order.
func (u *Upstream) Effects() []Effect {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Effect(nil), u.effects...)
}

// Running returns the number of requests that are running.
func (u *Upstream) Running() int {
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

// clock returns the upstream's time in milliseconds since 1970.
func (u *Upstream) clock() int64 { return time.Now().Add(u.clockOffset).UnixMilli() }

// acquire waits in the queue for a slot.
func (u *Upstream) acquire(ctx context.Context) error {
	u.mu.Lock()
	u.queued++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.queued--
		u.mu.Unlock()
	}()
	if u.slotSemaphore != nil {
		select {
		case u.slotSemaphore <- struct{}{}:
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
	if u.slotSemaphore != nil {
		<-u.slotSemaphore
	}
}
