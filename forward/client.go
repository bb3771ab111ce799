package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/httplimit"
)

const (
	// maxResponseBytes bounds the body of a response, which is held in memory, and the bodies above 1 MiB of the responses of one instance
	// that are read at the same time. allResponseBytes bounds those to requests without memory of their own.
	maxResponseBytes = 16 << 20
	allResponseBytes = 2 * maxResponseBytes
	// maxUnannouncedBody is the size, in bytes, above which a body is sent with "Expect: 100-continue", so that it isn't sent to an
	// instance that refuses the request. For smaller bodies the extra round trip costs more than it saves.
	maxUnannouncedBody = 2 << 10
	// maxStatus is the highest status of a known class.
	maxStatus = 599
	// responseGrace is how long after its deadline a request is still waited for, so that a failure that the other instance reports
	// at the deadline arrives.
	responseGrace = 50 * time.Millisecond
)

var (
	// errSilent is the reason why a request may be sent elsewhere although its response may still come.
	errSilent = errors.New("the other instance doesn't respond; the request may be running")
	// The following are reasons why a request has not been sent.
	errNoConnection    = errors.New("no connection to the other instance")
	errConnectionEnded = errors.New("the connection ended before the request was sent")
	errNotAccepted     = errors.New("the other instance doesn't respond; the request has not been sent")
)

// Client forwards requests to other instances. Create it with NewClient.
type Client struct {
	group    *errgroup.Group
	links    links
	exchange VersionExchange
	started  time.Time
	// memory bounds the responses to requests without memory of their own that are read at the same time.
	memory *httplimit.Budget
}

// NewClient returns a client that sends requests through copies of a transport, one for each address, and exchanges versions with the
// instances it calls. Its goroutines run in the group. The transport must have a DialContext, and must not close a connection because
// the other instance is slow to respond to a ping: that would end the requests on it while their upstreams are at work.
func NewClient(group *errgroup.Group, transport *http.Transport, exchange VersionExchange) *Client {
	return &Client{
		group: group, links: links{transport: transport}, exchange: exchange, started: time.Now(),
		memory: httplimit.NewBudget(allResponseBytes),
	}
}

// Pending is a request that may still get a response although the other instance doesn't respond at the moment. It ends with the context
// that Client.Do was called with. Create it with NewPending.
type Pending struct {
	await      func() (Result, error)
	onResponse func(f func(*gateway.Response))
}

// NewPending returns a pending request. await waits for its outcome, which is that of Client.Do, and onResponse arranges for a function
// to be called in a goroutine of its own when a response arrives.
func NewPending(await func() (Result, error), onResponse func(f func(*gateway.Response))) *Pending {
	return &Pending{await: await, onResponse: onResponse}
}

// Await waits for the response, at most until the request's deadline. The result and the error are those of Client.Do. Once the response
// has arrived, it is returned even if the request's context has been cancelled since.
func (p *Pending) Await() (Result, error) { return p.await() }

// OnResponse arranges for f to be called with the response when it arrives. f isn't called after a *gateway.Failure.
func (p *Pending) OnResponse(f func(*gateway.Response)) { p.onResponse(f) }

// outcome is what Client.Do returns.
type outcome struct {
	result Result
	err    error
}

// spawn runs f in a goroutine of the group.
func (c *Client) spawn(f func()) {
	c.group.Go(func() error {
		f()
		return nil
	})
}

// Do forwards a request to the instance at an address. The error is a *gateway.Failure. It has code.NoOwner if the instance could
// not be reached, so that nothing was sent, code.PeerFailed if the connection failed later or the response is malformed,
// code.UpstreamTimeout if no response arrived by the deadline, code.TooLate if less than gateway.MinTimeLeft was left, code.CallerGone
// if ctx was cancelled, code.Interrupted if the cause of that was gateway.ErrStopping, and otherwise the code that the other instance
// sent.
//
// If the instance stops responding, a request that may be repeated fails with code.PeerFailed and Result.Pending, so that it can be
// sent elsewhere. Any other request goes on until its deadline.
func (c *Client) Do(ctx context.Context, address string, r *gateway.Request) (Result, error) {
	if err := checkTimeLeft(r); err != nil {
		return Result{}, err
	}
	l := c.link(ctx, address, r)
	// The link may have been probed meanwhile.
	if err := checkTimeLeft(r); err != nil {
		l.leave(time.Time{})
		return Result{}, err
	}
	sent := time.Now()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(responseGrace))
	done := make(chan outcome, 1)
	c.spawn(func() {
		defer cancel()
		result, err := c.roundTrip(ctx, l, r)
		// A request that follows the outcome must not find this one in flight.
		l.leave(sent)
		done <- outcome{result, err}
	})
	silent := l.silent
	if !r.Kind.Retryable() {
		silent = nil
	}
	// An earlier request may have ended without a response, so that the instance is to be probed sooner than silentAfter from now.
	check := time.NewTimer(l.untilProbe(time.Now()))
	defer check.Stop()
	for {
		select {
		case o := <-done:
			return o.result, o.err
		case <-silent:
			return Result{Pending: c.newPending(done)},
				&gateway.Failure{Code: code.PeerFailed, Arrived: true, Reason: errSilent.Error()}
		case <-check.C:
			next := l.needsProbe(time.Now())
			if next == 0 {
				// The probe's result concerns all requests on the link, so it doesn't end with this one.
				c.spawn(func() { l.probe(context.WithoutCancel(ctx), c.spawn) })
				next = silentAfter
			}
			check.Reset(next)
		}
	}
}

// checkTimeLeft returns a failure with code.TooLate if the other instance would refuse the request, since its refusal might come too late.
func checkTimeLeft(r *gateway.Request) error {
	if left := time.Until(r.Deadline); left < gateway.MinTimeLeft {
		return &gateway.Failure{Code: code.TooLate, Reason: fmt.Sprintf("%v left until the deadline", left)}
	}
	return nil
}

// link returns the link to send a request on. A request that can't be repeated isn't sent on a connection that may be dead, and none is
// that follows one which has ended there without a sign of life.
func (c *Client) link(ctx context.Context, address string, r *gateway.Request) *link {
	l, state := c.links.get(address, time.Now())
	if state == linkSound || state == linkStale && r.Kind.Retryable() {
		return l
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if !l.verify(ctx, c.spawn) {
		l.leave(time.Time{})
		l, _ = c.links.get(address, time.Now())
	}
	return l
}

// newPending returns the pending request whose outcome is sent to done, which must have a buffer.
func (c *Client) newPending(done chan outcome) *Pending {
	receive := func() outcome {
		o := <-done
		// Leave the outcome for the other receiver.
		done <- o
		return o
	}
	await := func() (Result, error) {
		o := receive()
		return o.result, o.err
	}
	onResponse := func(f func(*gateway.Response)) {
		c.spawn(func() {
			if o := receive(); o.err == nil {
				f(o.result.Response)
			}
		})
	}
	return NewPending(await, onResponse)
}

// roundTrip sends a request and reads its response.
func (c *Client) roundTrip(ctx context.Context, l *link, r *gateway.Request) (Result, error) {
	now := time.Now()
	// An opaque URL is sent as it is, without being parsed and encoded again.
	target := &url.URL{Scheme: "http", Host: l.address, Opaque: r.Target}
	if strings.HasPrefix(r.Target, "//") {
		// The transport takes such an opaque URL for one with a host, which it removes if it is that of the request.
		target.Opaque = "//" + l.address + r.Target
	}
	header := r.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(headerCall, encodeCall(r, now, c.exchange.Versions(), newSendTime(c.started, now)))
	if bound := encodeBound(r); bound != "" {
		header.Set(headerBound, bound)
	}
	if r.Weight >= minSentWeight {
		header.Set(headerWeight, strconv.FormatFloat(r.Weight, 'f', 2, 64))
	}
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	request := (&http.Request{
		Method: r.Method, URL: target, Host: l.address, Header: header,
		ContentLength: int64(len(r.Body)), Body: http.NoBody,
	}).WithContext(sending)
	if len(r.Body) > 0 {
		// The transport sends the request again on another connection only if the other instance has not begun it.
		request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(r.Body)), nil }
		request.Body, _ = request.GetBody()
	}
	if len(r.Body) > maxUnannouncedBody {
		header.Set("Expect", "100-continue")
	}
	// An empty value keeps the transport from adding its own User-Agent.
	if _, ok := header["User-Agent"]; !ok {
		header.Set("User-Agent", "")
	}
	response, unsent, err := l.send(request, cancel, r.Kind.Retryable()) //nolint:bodyclose // Limit.ReadHeld closes the body.
	if err != nil && unsent != nil && ctx.Err() == nil {
		return Result{}, &gateway.Failure{Code: code.NoOwner, Reason: fmt.Sprintf("%v: %v", unsent, err)}
	}
	if err != nil {
		return Result{}, roundTripFailure(ctx, err)
	}
	held := r.Memory
	if held == nil {
		held = c.memory.Open(l.address)
		defer held.Close()
	}
	body, err := c.limit(l, response).ReadHeld(ctx, response, held)
	if err != nil {
		return Result{}, roundTripFailure(ctx, err)
	}
	return c.decodeResponse(response, body)
}

// limit returns the limit of a response. Instances announce the length of an upstream's response, so one without is faulty unless it is
// small.
func (c *Client) limit(l *link, response *http.Response) httplimit.Limit {
	if response.ContentLength < 0 {
		return httplimit.Limit{Max: httplimit.SmallBytes}
	}
	return httplimit.Limit{Max: maxResponseBytes, Memory: []*httplimit.Memory{l.memory}}
}

// roundTripFailure returns the failure of a request to which no whole response arrived.
func roundTripFailure(ctx context.Context, err error) error {
	var operation *net.OpError
	switch {
	case errors.As(err, &operation) && operation.Op == "dial":
		return &gateway.Failure{Code: code.NoOwner, Reason: err.Error()}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &gateway.Failure{Code: code.UpstreamTimeout, Arrived: true, Reason: "no response until the deadline"}
	case errors.Is(context.Cause(ctx), gateway.ErrStopping):
		return &gateway.Failure{Code: code.Interrupted, Arrived: true, Reason: "this instance stopped while the request ran"}
	case ctx.Err() != nil:
		return &gateway.Failure{Code: code.CallerGone, Reason: "the caller left while the request ran"}
	default:
		return &gateway.Failure{Code: code.PeerFailed, Arrived: true, Reason: err.Error()}
	}
}

// decodeResponse turns the HTTP response of another instance into a result or a *gateway.Failure.
func (c *Client) decodeResponse(response *http.Response, body []byte) (Result, error) {
	fields, err := decodeResult(response.Header)
	if err != nil {
		return Result{}, &gateway.Failure{Code: code.PeerFailed, Reason: fmt.Sprintf("%v, status %d", err, response.StatusCode)}
	}
	c.exchange.ObserveVersions(fields.versions)
	result := Result{Load: fields.load}
	if fields.code != code.OK {
		return result, &gateway.Failure{
			Code: fields.code, RetryAfter: fields.retryAfter, Arrived: fields.arrived, OwnerSlot: fields.owner, Reason: string(body),
		}
	}
	if fields.status < http.StatusOK || fields.status > maxStatus {
		return result, &gateway.Failure{
			Code: code.PeerFailed, Arrived: true, Reason: fmt.Sprintf("the upstream's response has status %d", fields.status),
		}
	}
	response.Header.Del(headerResult)
	response.Header.Del(headerForecast)
	// The Date was added by the other instance's HTTP server, not by the upstream.
	response.Header.Del("Date")
	result.Response = &gateway.Response{
		Status: fields.status, Header: response.Header, Body: body, Waited: fields.waited, Took: fields.took,
	}
	return result, nil
}
