package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
	"k8s.io/klog/v2"

	"sapphiretray/code"
	"sapphiretray/httplimit"
	"sapphiretray/loglimit"
	"sapphiretray/policy"
	"sapphiretray/wait"
)

const (
	// drainMargin is subtracted from the drain limit, so that no request reaches a leaving upstream after the limit.
	drainMargin = 500 * time.Millisecond
	// rescheduleInterval is how often the queue is checked for requests that can't be served in time any more.
	rescheduleInterval = 20 * time.Millisecond
	// maxKeyWait bounds the wait for a key that is being claimed.
	maxKeyWait = 600 * time.Millisecond
	// downRetryAfter is the Retry-After while the upstream's address refuses connections.
	downRetryAfter = 300 * time.Millisecond
	// evacuatedRetryAfter is the Retry-After while the upstream's data centre is evacuated. Keys usually have another owner by then.
	evacuatedRetryAfter = 300 * time.Millisecond
	// MinTimeLeft is the shortest time until its deadline at which a request is still sent.
	MinTimeLeft = 10 * time.Millisecond
	// responseMargin is subtracted from the deadline that is sent to the upstream, so that its response arrives before the caller
	// gives up.
	responseMargin = 10 * time.Millisecond
	// quarantineRetryAfter is the Retry-After of a quarantined request.
	quarantineRetryAfter = 10 * time.Second
	// expectedServiceTimes is the multiple of the estimated service time within which most responses arrive, with minExpectedTime added.
	expectedServiceTimes = 4
	minExpectedTime      = 100 * time.Millisecond
	// defaultRetryAfter is the Retry-After of a request that the upstream refused or that wasn't sent.
	defaultRetryAfter = 100 * time.Millisecond
)

// Gateway sends requests to the local upstream. Create it with New.
type Gateway struct {
	service      string
	protocol     Protocol
	keys         func() Keys
	onChange     func()
	onKeyRequest func(key uint16, service time.Duration)
	drainLimit   time.Duration
	evacuated    func() bool
	// pool holds the connections for requests, control those for control requests.
	pool    pool
	control pool
	// estimates are the service times that an upstream of mean speed would have.
	estimates estimates
	slowness  slowness
	// reportLog limits the log lines about malformed load reports.
	reportLog    loglimit.Limiter
	crashTracker policy.CrashTracker
	onCrash      func(fingerprints []uint64)

	// coldTerms returns the terms of the service for cold upstreams, and started is when the gateway was created.
	coldTerms func() ColdTerms
	started   time.Time

	mu        sync.Mutex
	registry  registry
	scheduler *policy.Scheduler
	cold      coldState
	// earlierAssumed is set once the requests of an earlier process were counted.
	earlierAssumed bool
	// pressure is the share of all requests that are refused, and callerPressure that of the requests that aren't nested.
	pressure       policy.Pressure
	callerPressure policy.Pressure
	// shares tells the services that call the upstream how much it has room for, and callGate admits requests by the shares that other
	// services report for the nested calls of their routes.
	shares   policy.Shares
	callGate policy.CallGate[string, string]
	down     bool
	closing  bool
	// transferTimes are the times to read a body from another instance. transferSlots is a semaphore for slow transfers.
	transferTimes estimates
	transferSlots chan struct{}
	// memory bounds what is held for requests. sentBodies holds maxSentBytes for the large bodies that the upstream holds at the same time,
	// of which sentBytes are in use.
	memory     *httplimit.Budget
	sentBodies *semaphore.Weighted
	sentBytes  atomic.Int64
	// running holds the running requests by id.
	running map[string]*Request
	stats   Stats
	// interrupted holds the requests whose connections failed within the last crashWindow.
	interrupted []interruption
}

// Stats are the totals of a gateway since its start.
type Stats struct {
	Connections uint64 // Connections opened to the upstream.
	Responses   uint64 // Complete responses received from the upstream, refusals included.
	Refused     uint64 // Requests that certainly did not run.
	Unknown     uint64 // Failed requests that may have run.
	ColdRefused uint64 // Requests that were refused because the upstream was cold.
	Evacuated   uint64 // Requests that were refused because the data centre is evacuated. They count in Refused, too.
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithKeys sets a function that returns the keys that the upstream may serve, or nil if the service isn't sharded by key.
func WithKeys(keys func() Keys) Option { return func(g *Gateway) { g.keys = keys } }

// WithOnChange sets a callback for changes of the upstream's state.
func WithOnChange(onChange func()) Option { return func(g *Gateway) { g.onChange = onChange } }

// WithOnKeyRequest sets a callback for each request with a key. service is the time that the upstream is expected to need.
func WithOnKeyRequest(onKeyRequest func(key uint16, service time.Duration)) Option {
	return func(g *Gateway) { g.onKeyRequest = onKeyRequest }
}

// WithOnCrash sets a callback for crashes of the upstream, with the fingerprints of the requests that may have caused it.
func WithOnCrash(onCrash func(fingerprints []uint64)) Option {
	return func(g *Gateway) { g.onCrash = onCrash }
}

// WithDrainLimit sets how long requests may still reach an upstream after it has announced that it leaves. Without this option,
// requests are refused as soon as it has.
func WithDrainLimit(d time.Duration) Option { return func(g *Gateway) { g.drainLimit = d } }

// WithEvacuated sets a function that reports whether the data centre of the upstream is evacuated and closed. Requests are then refused
// unless they have been sent to the upstream already.
func WithEvacuated(evacuated func() bool) Option { return func(g *Gateway) { g.evacuated = evacuated } }

// DialFunc connects to an address, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WithDial sets the function that connects to the upstream, so that it need not be reached over the machine's TCP network.
func WithDial(dial DialFunc) Option {
	return func(g *Gateway) { g.pool.dial, g.control.dial = dial, dial }
}

// WithMemory sets the budget for what is held for requests.
func WithMemory(b *httplimit.Budget) Option { return func(g *Gateway) { g.memory = b } }

// Memory returns the budget for what is held for requests.
func (g *Gateway) Memory() *httplimit.Budget { return g.memory }

// SentBytes returns the bytes of large bodies that the upstream may hold now.
func (g *Gateway) SentBytes() int64 { return g.sentBytes.Load() }

// New returns a gateway to the upstream of a service at an address. Its goroutines run in the group.
func New(group *errgroup.Group, service, address string, protocol Protocol, options ...Option) *Gateway {
	g := &Gateway{
		service: service, protocol: protocol,
		keys: func() Keys { return nil }, onChange: func() {}, onKeyRequest: func(uint16, time.Duration) {},
		onCrash: func([]uint64) {}, coldTerms: func() ColdTerms { return ColdTerms{} }, evacuated: func() bool { return false },
		started:   time.Now(),
		scheduler: policy.NewScheduler(1), running: make(map[string]*Request), transferSlots: make(chan struct{}, maxTransfers),
		memory: httplimit.NewBudget(httplimit.MessageMemory(0)), sentBodies: semaphore.NewWeighted(maxSentBytes),
	}
	m := newMemory()
	for _, p := range []*pool{&g.pool, &g.control} {
		p.address, p.matches, p.group, p.onOpen = address, protocol.Matches, group, g.countConnection
		p.memory, p.dial = m, new(net.Dialer).DialContext
	}
	for _, option := range options {
		option(g)
	}
	return g
}

func (g *Gateway) countConnection() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Connections++
}

// Stats returns the totals since the start.
func (g *Gateway) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stats
}

// Parent describes a request that the upstream is running to the instance that gets its nested calls.
type Parent struct {
	Route    string
	Priority int
	// Weight is the number of requests that it stands for, see Request.Weight.
	Weight float64
}

// Running returns the request with the given id that the upstream is running, and false if there is none.
func (g *Gateway) Running(id string) (Parent, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.running[id]
	if !ok {
		return Parent{}, false
	}
	p := Parent{Route: r.Route, Priority: r.Priority, Weight: max(r.Weight, 1)}
	if !r.Retry {
		// A request that was refused before has been counted among those that were held back then.
		p.Weight /= r.admittedShare
	}
	return p, true
}

// Load returns the current load of the upstream.
func (g *Gateway) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	terms, _ := g.scheduler.StartTerms(now)
	return Load{
		Running: g.scheduler.Running(), Waiting: g.scheduler.Waiting(), Slots: g.scheduler.Slots(),
		Pressure:  max(g.pressure.Share(now), g.callerPressure.Share(now)),
		StartRate: terms.Rate, Room: g.shares.Room(now, g.scheduler.Slots()),
	}
}

// RouteLoad returns the current load of the upstream, with the estimates for requests of a route.
func (g *Gateway) RouteLoad(route string) Load {
	load, now := g.Load(), time.Now()
	load.Slowness = g.slowness.relative(now)
	g.mu.Lock()
	load.Waits = g.scheduler.Waits(now)
	g.mu.Unlock()
	if g.estimates.measured(route) > 0 {
		load.ServiceTime = g.usualServiceTime(route)
	}
	return load
}

// Run periodically refuses waiting requests that can't be served in time any more. When ctx ends, it closes the connections to
// the upstream and returns.
func (g *Gateway) Run(ctx context.Context) {
	defer g.pool.close()
	defer g.control.close()
	wait.Every(ctx, rescheduleInterval, func(now time.Time) {
		g.checkSuspicion(ctx, now)
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.scheduler.Waiting() > 0 {
			g.scheduler.Reschedule(now)
		}
	})
}

// Close makes the gateway refuse all further requests. Running requests aren't affected.
func (g *Gateway) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closing = true
}

// Do sends a request to the upstream and returns its complete response. The error is a *Failure.
func (g *Gateway) Do(ctx context.Context, r *Request) (*Response, error) {
	arrived := time.Now()
	if f := g.checkAvailable(r); f != nil {
		return nil, g.recordFailure(r, f)
	}
	if f := g.checkBusy(r); f != nil {
		return nil, g.recordFailure(r, f)
	}
	if f := g.admitKey(ctx, r); f != nil {
		return nil, g.recordFailure(r, f)
	}
	if r.Key != NoKey {
		g.onKeyRequest(uint16(r.Key), g.usualServiceTime(r.Route))
	}
	release, f := g.admitBody(ctx, r)
	if f != nil {
		return nil, g.recordFailure(r, f)
	}
	defer release()
	if g.isBodySlow(r) {
		if f := g.expectBody(ctx, r); f != nil {
			return nil, g.recordFailure(r, f)
		}
	}
	job, f := g.acquireSlot(ctx, r)
	if f != nil {
		return nil, g.recordFailure(r, f)
	}
	defer g.releaseSlot(r, job)
	g.mu.Lock()
	g.running[r.ID] = r
	g.mu.Unlock()
	// The upstream may have left, or the key may have moved, while the request waited.
	if f := g.checkAvailable(r); f != nil {
		return nil, g.recordFailure(r, f)
	}
	if f := g.admitKey(ctx, r); f != nil {
		return nil, g.recordFailure(r, f)
	}
	waited := time.Since(arrived)
	if f := g.readBody(r); f != nil {
		return nil, g.recordFailure(r, f)
	}
	r.fingerprint = fingerprint(r)
	if g.IsQuarantined(r.fingerprint) {
		return nil, g.recordFailure(r, &Failure{
			Code: code.Quarantined, RetryAfter: quarantineRetryAfter, Reason: "too many upstreams crashed while this request was running",
		})
	}
	response, err := g.send(ctx, r, job)
	if response != nil {
		response.Waited = waited
	}
	return response, err
}

// checkAvailable returns a Failure if the request must not be sent now.
func (g *Gateway) checkAvailable(r *Request) *Failure {
	g.mu.Lock()
	defer g.mu.Unlock()
	left := time.Until(r.Deadline)
	switch {
	case r.Service != g.service:
		return &Failure{Code: code.NotOwner, Reason: "service " + r.Service + " isn't served here"}
	case left < MinTimeLeft:
		return &Failure{Code: code.TooLate, Reason: fmt.Sprintf("%v left until the deadline", left)}
	case g.closing:
		return &Failure{Code: code.Draining, Reason: "the instance is stopping"}
	case !g.registry.known:
		return &Failure{Code: code.UpstreamNotWarmed, RetryAfter: downRetryAfter, Reason: "the upstream has not registered yet"}
	case g.registry.leaving && time.Since(g.registry.leavingSince) > g.drainLimit-drainMargin:
		return &Failure{Code: code.Draining, Reason: "the upstream is leaving"}
	case g.evacuated():
		return evacuatedFailure()
	case g.down:
		return &Failure{Code: code.UpstreamRefused, RetryAfter: downRetryAfter, Reason: "the upstream refuses connections"}
	}
	return nil
}

// evacuatedFailure returns the failure of a request to an upstream in a closed data centre.
func evacuatedFailure() *Failure {
	return &Failure{Code: code.Evacuated, RetryAfter: evacuatedRetryAfter, Reason: "the data centre is evacuated"}
}

// admitKey returns a Failure if the upstream may not serve the request's key.
func (g *Gateway) admitKey(ctx context.Context, r *Request) *Failure {
	keys := g.keys()
	if keys == nil || r.Key == NoKey {
		return nil
	}
	until := time.Now().Add(maxKeyWait)
	latest := r.Objective
	if r.Nested {
		// Its failure fails the request that made it, so that a late response is worth the wait.
		latest = r.Deadline.Add(-g.serviceTime(r.Route))
	}
	if latest.Before(until) {
		until = latest
	}
	return keys.Admit(ctx, uint16(r.Key), until)
}

// jobSpec describes a request to the scheduler.
func (g *Gateway) jobSpec(r *Request) policy.JobSpec {
	return policy.JobSpec{
		Priority: r.Priority, Nested: r.Nested, Retry: r.Retry, Objective: r.Objective, Deadline: r.Deadline,
		ServiceTime: g.serviceTime(r.Route),
	}
}

// acquireSlot waits until the scheduler admits or refuses the request.
func (g *Gateway) acquireSlot(ctx context.Context, r *Request) (admitted *policy.Job, f *Failure) {
	decided := make(chan policy.Decision, 1)
	spec := g.jobSpec(r)
	if f := g.admitCalls(r); f != nil {
		return nil, f
	}
	defer func() { g.observePressure(r, f) }()
	g.mu.Lock()
	g.updateStartLimit(time.Now())
	job, decision := g.scheduler.Submit(time.Now(), spec, func(d policy.Decision) { decided <- d })
	waiting := job.Waiting()
	g.mu.Unlock()
	if waiting {
		select {
		case decision = <-decided:
		case <-ctx.Done():
			g.mu.Lock()
			g.scheduler.Withdraw(job)
			g.scheduler.Finish(time.Now(), job)
			g.mu.Unlock()
			if errors.Is(context.Cause(ctx), ErrStopping) {
				return nil, &Failure{
					Code: code.Draining, RetryAfter: defaultRetryAfter, Reason: "the instance stopped while the request waited",
				}
			}
			return nil, &Failure{Code: code.CallerGone, Reason: "the caller left while the request waited"}
		}
	}
	if !decision.Admitted {
		return nil, g.shed(decision.RetryAfter)
	}
	g.countColdStart()
	return job, nil
}

// releaseSlot ends a request that acquireSlot admitted.
func (g *Gateway) releaseSlot(r *Request, job *policy.Job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.Finish(time.Now(), job)
	delete(g.running, r.ID)
}

// recordFailure logs and counts a failure, and returns it as an error.
func (g *Gateway) recordFailure(r *Request, f *Failure) error {
	load := g.Load()
	verbosity := klog.Level(0)
	if f.Code == code.Busy {
		// The request goes on at another instance, which the instance that sent it logs.
		verbosity = 1
	}
	klog.V(verbosity).InfoS("gateway: not served", "id", r.ID, "origin", r.Origin, "code", f.Code, "reason", f.Reason,
		"running", load.Running, "waiting", load.Waiting, "slots", load.Slots, "estimate", g.serviceTime(r.Route),
		"slowness", g.slowness.relative(time.Now()), "objectiveLeft", time.Until(r.Objective), "left", time.Until(r.Deadline))
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.NotRun() {
		g.stats.Refused++
	} else {
		g.stats.Unknown++
	}
	if f.Code == code.Evacuated {
		g.stats.Evacuated++
	}
	return f
}

// send sends the request and returns its response. If a reused connection fails before any byte was sent, the request is sent on
// another connection.
func (g *Gateway) send(ctx context.Context, r *Request, job *policy.Job) (*Response, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	idleLimit := maxIdle
	if !r.Kind.Retryable() {
		idleLimit = maxIdleNonIdempotent
	}
	for {
		c, reused, err := g.connection(ctx, r, idleLimit)
		if err != nil {
			return nil, g.recordFailure(r, g.connectFailure(err))
		}
		if g.evacuated() {
			// The data centre was closed while the body was read or the connection was opened.
			g.pool.put(c)
			return nil, g.recordFailure(r, evacuatedFailure())
		}
		started := time.Now()
		slowness, _ := g.slowness.current(started)
		response, sent, err := c.do(ctx, outgoing{
			id: r.ID, method: r.Method, expectedBy: g.expectedBy(r), memory: r.Memory, head: g.head(r), body: r.Body,
			onSent: func() { g.recordSent(job) },
		}, g.spawn)
		if err != nil && sent {
			g.recordSent(job)
		}
		if err == nil {
			info := g.readInfo(r, c, job, response)
			return g.checkResponse(r, response, info, time.Since(started), slowness)
		}
		if !sent && reused && ctx.Err() == nil {
			continue
		}
		if sent && c.isSilent() && time.Since(started) >= g.expectedTime(r) {
			// The connection may be dead without a reset, and so may those on which nothing has arrived in the meantime either.
			g.pool.closeIdleIf(func(idle *conn) bool { return !idle.respondedAfter(started) })
		}
		return nil, g.recordFailure(r, g.exchangeFailure(ctx, r, sent, err))
	}
}

// readInfo records what a response says of its upstream and of the request, and returns its connection to the pool.
func (g *Gateway) readInfo(r *Request, c *conn, job *policy.Job, response *rawResponse) ResponseInfo {
	g.crashTracker.RecordCompletion(r.fingerprint)
	info := g.protocol.Read(response.status, response.header)
	g.observeReport(time.Now(), info)
	g.recordArrival(job, info)
	if info.NotRun || info.Misdirected {
		c.recordRefusal(r.ID)
	}
	g.pool.put(c)
	return info
}

// recordSent records that a request was sent to the upstream. Only the first call for a request matters.
func (g *Gateway) recordSent(job *policy.Job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.Sent(time.Now(), job)
}

// recordArrival records that the upstream responded to a request. Those that are meant for another upstream don't burden it.
func (g *Gateway) recordArrival(job *policy.Job, info ResponseInfo) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if info.Misdirected {
		g.scheduler.Uncount(job)
		return
	}
	g.scheduler.Sent(time.Now(), job)
}

// connection returns a connection for a request, and whether it has been used before. A HEAD request has one of its own: its response looks
// like one with a body, so that neither could be read where one to a request with another method arrives once more.
func (g *Gateway) connection(ctx context.Context, r *Request, idleLimit time.Duration) (c *conn, reused bool, err error) {
	if r.Method != http.MethodHead {
		return g.pool.get(ctx, r.ID, idleLimit)
	}
	c, err = g.pool.open(ctx)
	if err == nil {
		c.retire()
	}
	return c, false, err
}

// expectedBy returns until when a response is waited for after bytes that belong to none have arrived. A request that can't be repeated
// gains nothing from an earlier end than its deadline.
func (g *Gateway) expectedBy(r *Request) time.Time {
	if !r.Kind.Retryable() {
		return time.Time{}
	}
	return time.Now().Add(g.expectedTime(r))
}

// expectedTime returns the time within which most responses to requests like r arrive.
func (g *Gateway) expectedTime(r *Request) time.Duration {
	return expectedServiceTimes*g.serviceTime(r.Route) + minExpectedTime
}

// spawn runs f in a goroutine of the group.
func (g *Gateway) spawn(f func()) {
	g.pool.group.Go(func() error {
		f()
		return nil
	})
}

// connectFailure returns the failure of a request for which no connection could be opened.
func (g *Gateway) connectFailure(err error) *Failure {
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.markDown()
	}
	return &Failure{Code: code.UpstreamRefused, RetryAfter: downRetryAfter, Reason: err.Error()}
}

// exchangeFailure returns the failure of a request whose connection failed or whose context ended.
func (g *Gateway) exchangeFailure(ctx context.Context, r *Request, sent bool, err error) *Failure {
	switch {
	case !sent:
		return &Failure{Code: code.UpstreamRefused, RetryAfter: defaultRetryAfter, Reason: err.Error()}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Failure{Code: code.UpstreamTimeout, Arrived: true, Reason: "no response until the deadline"}
	case errors.Is(context.Cause(ctx), ErrStopping):
		return &Failure{Code: code.Interrupted, Arrived: true, Reason: "the instance stopped while the request ran"}
	case ctx.Err() != nil:
		return &Failure{Code: code.CallerGone, Arrived: true, Reason: "the caller left while the request ran"}
	default:
		g.mu.Lock()
		g.recordInterruption(r, time.Now())
		g.mu.Unlock()
		return &Failure{Code: code.UpstreamFailed, Arrived: true, Reason: err.Error()}
	}
}

// checkResponse returns a complete response, or a Failure if it is a refusal or not from an upstream. took is how long the upstream took,
// and slowness its slowness when the request was sent, which has decided how long it took.
func (g *Gateway) checkResponse(
	r *Request, response *rawResponse, info ResponseInfo, took time.Duration, slowness float64,
) (*Response, error) {
	g.mu.Lock()
	g.stats.Responses++
	g.mu.Unlock()
	switch {
	case info.Misdirected:
		return nil, g.recordFailure(r, &Failure{
			Code: code.NotOwner, RetryAfter: defaultRetryAfter, Arrived: true,
			Reason: "the upstream doesn't hold the key or isn't the expected one",
		})
	case info.NotRun:
		return nil, g.recordFailure(r, &Failure{
			Code: code.Shed, RetryAfter: defaultRetryAfter, Arrived: true,
			Reason: "the upstream refused with status " + strconv.Itoa(response.status),
		})
	case response.status < http.StatusMultipleChoices && !info.Genuine:
		return nil, g.recordFailure(r, &Failure{
			Code: code.WrongAnswer, Arrived: true, Reason: "the response headers aren't those of an upstream",
		})
	}
	// Refusals aren't counted, since they take almost no time and would distort the estimate.
	g.estimates.observe(r.Route, time.Duration(float64(took)/slowness))
	removeHopHeaders(response.header)
	return &Response{Status: response.status, Header: response.header, Body: response.body, Took: took}, nil
}

// head returns the encoded request line and headers.
func (g *Gateway) head(r *Request) []byte {
	header := r.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	g.protocol.Prepare(header, r, g.State().ID, time.Until(r.Deadline)-responseMargin)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	var head bytes.Buffer
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writes to a buffer can't fail.
	_ = header.Write(&head)
	head.WriteString("\r\n")
	return head.Bytes()
}
