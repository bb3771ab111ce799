package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"sapphiretray/code"
	"sapphiretray/policy"
	"sapphiretray/wait"
)

const (
	// leaveMargin is kept between the last request to a leaving upstream and the time at which none may arrive any more.
	drainMargin = 500 * time.Millisecond
	// reviewInterval is how often waiting requests are checked for hope.
	rescheduleInterval = 20 * time.Millisecond
	// keyWait bounds the wait for a key that is being claimed.
	maxKeyWait = 600 * time.Millisecond
	// downRetry is the Retry-After while the upstream's address refuses connections.
	downRetryAfter = 300 * time.Millisecond
	// minLeft is the least time that must remain for a request to be worth sending.
	minTimeLeft = 10 * time.Millisecond
	// answerMargin is taken off the deadline that the upstream is told, so that its own answer arrives before the caller gives up.
	responseMargin = 10 * time.Millisecond
	// quarantineRetry is the Retry-After of a request that crashes upstreams.
	quarantineRetryAfter = 10 * time.Second
	// retryIn is the Retry-After of a request whose upstream shed it.
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
	pool         pool
	estimates    estimates
	suspects     policy.CrashTracker
	onCrash      func(fingerprints []uint64)

	mu        sync.Mutex
	registry  registry
	scheduler *policy.Scheduler
	pressure  policy.Pressure
	// callerPressure is the pressure of the requests that no upstream has called for.
	callerPressure policy.Pressure
	// lowPressure is the pressure of the least urgent requests.
	leastUrgentPressure policy.Pressure
	// throttle limits the least urgent requests by the pressure at the services that the upstream calls.
	throttle *policy.Throttle
	// leastUrgent is the rank of these requests, and throttled their number.
	leastUrgentPriority int
	throttled           int
	down                bool
	closing             bool
	// transfers are the times that the bodies of each route need from another instance, and transferring holds those on their way.
	transferTimes estimates
	transferSlots chan struct{}
	// ids are the requests that run.
	runningIDs map[string]struct{}
	stats      Stats
	// interrupted holds the requests whose connections failed lately.
	interrupted []interruption
}

// Stats are a gateway's totals.
type Stats struct {
	Connections uint64
	Sent        uint64
	Refused     uint64
	Unknown     uint64
}

// Option changes a Gateway under construction.
type Option func(*Gateway)

// WithKeys sets the source of the keys that the upstream may serve. It returns nil if the service isn't divided by key.
func WithKeys(keys func() Keys) Option { return func(g *Gateway) { g.keys = keys } }

// WithOnChange sets a function that is called after the upstream's state has changed.
func WithOnChange(onChange func()) Option { return func(g *Gateway) { g.onChange = onChange } }

// WithDemand sets a function that is told of each request with a key and the time that the upstream is expected to need.
func WithDemand(onKeyRequest func(key uint16, service time.Duration)) Option {
	return func(g *Gateway) { g.onKeyRequest = onKeyRequest }
}

// WithOnCrash sets a function that is told of the requests that ran when the upstream ended.
func WithOnCrash(onCrash func(fingerprints []uint64)) Option {
	return func(g *Gateway) { g.onCrash = onCrash }
}

// WithDrainLimit sets how long requests may be sent to an upstream that has said that it leaves.
func WithDrainLimit(d time.Duration) Option { return func(g *Gateway) { g.drainLimit = d } }

// New returns the gateway to the upstream of a service at an address. Its goroutines run in the group.
func New(group *errgroup.Group, service, address string, protocol Protocol, options ...Option) *Gateway {
	g := &Gateway{
		service: service, protocol: protocol,
		keys: func() Keys { return nil }, onChange: func() {}, onKeyRequest: func(uint16, time.Duration) {},
		onCrash:   func([]uint64) {},
		scheduler: policy.NewScheduler(1), runningIDs: make(map[string]struct{}), transferSlots: make(chan struct{}, maxTransfers),
	}
	g.pool = pool{address: address, matches: protocol.Matches, group: group, onOpen: g.countConnection}
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

// Runs reports whether the upstream runs a request with this id now.
func (g *Gateway) Runs(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.runningIDs[id]
	return ok
}

// Load returns the requests that run and wait, and the slots.
func (g *Gateway) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return Load{
		Running: g.scheduler.Running(), Waiting: g.scheduler.Waiting(), Slots: g.scheduler.Slots(),
		Pressure: max(g.pressure.Share(now), g.callerPressure.Share(now)),
	}
}

// Run refuses waiting requests that have become hopeless. When ctx ends, it closes the connections to the upstream.
func (g *Gateway) Run(ctx context.Context) {
	defer g.pool.close()
	wait.Every(ctx, rescheduleInterval, func(now time.Time) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.scheduler.Waiting() > 0 {
			g.scheduler.Reschedule(now)
		}
	})
}

// Close refuses all further requests. Those that run are not affected.
func (g *Gateway) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closing = true
}

// Do sends a request to the upstream and returns its whole response. The error is a *Failure.
func (g *Gateway) Do(ctx context.Context, r *Request) (*Response, error) {
	arrived := time.Now()
	if f := g.checkAvailable(r); f != nil {
		return nil, g.recordFailure(r, f)
	}
	if f := g.admitKey(ctx, r); f != nil {
		return nil, g.recordFailure(r, f)
	}
	if r.Key != NoKey {
		g.onKeyRequest(uint16(r.Key), g.estimates.get(r.Route))
	}
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
	g.runningIDs[r.ID] = struct{}{}
	g.mu.Unlock()
	// The upstream may have left, or the key moved, while the request waited.
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
	if g.suspects.IsQuarantined(time.Now(), r.fingerprint) {
		return nil, g.recordFailure(r, &Failure{Code: code.Quarantined, RetryAfter: quarantineRetryAfter, Reason: "upstreams crashed while it ran"})
	}
	response, err := g.send(ctx, r)
	if response != nil {
		response.Waited = waited
	}
	return response, err
}

// unusable returns the reason why no request may be sent now.
func (g *Gateway) checkAvailable(r *Request) *Failure {
	g.mu.Lock()
	defer g.mu.Unlock()
	left := time.Until(r.Deadline)
	switch {
	case r.Service != g.service:
		return &Failure{Code: code.NotOwner, Reason: "service " + r.Service + " isn't served here"}
	case left < minTimeLeft:
		return &Failure{Code: code.TooLate, Reason: fmt.Sprintf("%v are left", left)}
	case g.closing:
		return &Failure{Code: code.Draining, Reason: "the instance stops"}
	case !g.registry.known:
		return &Failure{Code: code.UpstreamNotWarmed, RetryAfter: downRetryAfter, Reason: "the upstream has not registered yet"}
	case g.registry.leaving && time.Since(g.registry.leavingSince) > g.drainLimit-drainMargin:
		return &Failure{Code: code.Draining, Reason: "the upstream leaves"}
	case g.down:
		return &Failure{Code: code.UpstreamRefused, RetryAfter: downRetryAfter, Reason: "the upstream refuses connections"}
	}
	return nil
}

func (g *Gateway) admitKey(ctx context.Context, r *Request) *Failure {
	keys := g.keys()
	if keys == nil || r.Key == NoKey {
		return nil
	}
	until := time.Now().Add(maxKeyWait)
	if r.Objective.Before(until) {
		until = r.Objective
	}
	return keys.Admit(ctx, uint16(r.Key), until)
}

// describe describes a request to the gate.
func (g *Gateway) jobSpec(r *Request) policy.JobSpec {
	return policy.JobSpec{
		Priority: r.Priority, Nested: r.Nested, Returning: r.Returning, Objective: r.Objective, Deadline: r.Deadline,
		ServiceTime: g.estimates.get(r.Route),
	}
}

// enter waits for a slot.
func (g *Gateway) acquireSlot(ctx context.Context, r *Request) (admitted *policy.Job, f *Failure) {
	decided := make(chan policy.Decision, 1)
	spec := g.jobSpec(r)
	defer func() { g.observePressure(r, f) }()
	if f := g.enterThrottle(r); f != nil {
		return nil, f
	}
	g.mu.Lock()
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
			return nil, &Failure{Code: code.CallerGone, Reason: "the caller left while the request waited"}
		}
	}
	if !decision.Admitted {
		return nil, &Failure{Code: code.Shed, RetryAfter: decision.RetryAfter, Reason: "no slot is free in time"}
	}
	return job, nil
}

func (g *Gateway) releaseSlot(r *Request, job *policy.Job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.Finish(time.Now(), job)
	g.leaveThrottle(r)
	delete(g.runningIDs, r.ID)
}

func (g *Gateway) recordFailure(r *Request, f *Failure) error {
	load := g.Load()
	klog.InfoS("gateway: not served", "id", r.ID, "origin", r.Origin, "code", f.Code, "reason", f.Reason, "running", load.Running,
		"waiting", load.Waiting, "slots", load.Slots, "estimate", g.estimates.get(r.Route), "objectiveLeft", time.Until(r.Objective),
		"left", time.Until(r.Deadline))
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.NotRun() {
		g.stats.Refused++
	} else {
		g.stats.Unknown++
	}
	return f
}

// send exchanges the request for the response. A request of which no byte was sent is sent on another connection.
func (g *Gateway) send(ctx context.Context, r *Request) (*Response, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	idleLimit := maxIdle
	if !r.Kind.Repeatable() {
		idleLimit = maxIdleUnrepeatable
	}
	for {
		c, reused, err := g.pool.get(ctx, idleLimit)
		if err != nil {
			return nil, g.recordFailure(r, g.connectFailure(err))
		}
		started := time.Now()
		a, sent, err := c.do(ctx, r.ID, r.Method, g.head(r), r.Body, g.spawn)
		if err == nil {
			g.suspects.Served(r.fingerprint)
			g.pool.put(c)
			return g.checkResponse(r, a, time.Since(started))
		}
		if !sent && reused && ctx.Err() == nil {
			continue
		}
		return nil, g.recordFailure(r, g.exchangeFailure(ctx, r, sent, err))
	}
}

func (g *Gateway) spawn(f func()) {
	g.pool.group.Go(func() error {
		f()
		return nil
	})
}

// unreached returns the failure of a request for which there was no connection.
func (g *Gateway) connectFailure(err error) *Failure {
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.markDown()
	}
	return &Failure{Code: code.UpstreamRefused, RetryAfter: downRetryAfter, Reason: err.Error()}
}

// failure returns the failure of a request whose connection failed or whose time ended.
func (g *Gateway) exchangeFailure(ctx context.Context, r *Request, sent bool, err error) *Failure {
	switch {
	case !sent:
		return &Failure{Code: code.UpstreamRefused, RetryAfter: defaultRetryAfter, Reason: err.Error()}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Failure{Code: code.UpstreamTimeout, Arrived: true, Reason: "no response until the deadline"}
	case ctx.Err() != nil:
		return &Failure{Code: code.CallerGone, Arrived: true, Reason: "the caller left while the request ran"}
	default:
		g.mu.Lock()
		g.recordInterruption(r, time.Now())
		g.mu.Unlock()
		return &Failure{Code: code.UpstreamFailed, Arrived: true, Reason: err.Error()}
	}
}

// accept checks a whole response before it is passed on.
func (g *Gateway) checkResponse(r *Request, a *rawResponse, took time.Duration) (*Response, error) {
	reading := g.protocol.Read(a.status, a.header)
	g.mu.Lock()
	g.stats.Sent++
	g.mu.Unlock()
	switch {
	case reading.Misdirected:
		return nil, g.recordFailure(r, &Failure{
			Code: code.NotOwner, RetryAfter: defaultRetryAfter, Arrived: true, Reason: "the upstream doesn't hold the key or isn't the one expected",
		})
	case reading.NotRun:
		return nil, g.recordFailure(r, &Failure{
			Code: code.Shed, RetryAfter: defaultRetryAfter, Arrived: true, Reason: "the upstream refused with status " + strconv.Itoa(a.status),
		})
	case a.status < http.StatusMultipleChoices && !reading.Genuine:
		return nil, g.recordFailure(r, &Failure{Code: code.WrongAnswer, Arrived: true, Reason: "the response lacks the upstream's mark"})
	}
	// Refusals take next to no time and would spoil the estimate.
	g.estimates.observe(r.Route, took)
	removeHopHeaders(a.header)
	return &Response{Status: a.status, Header: a.header, Body: a.body, Took: took}, nil
}

// head returns the request line and the headers.
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
	// Writing to a buffer can't fail.
	_ = header.Write(&head)
	head.WriteString("\r\n")
	return head.Bytes()
}
