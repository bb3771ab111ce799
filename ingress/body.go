package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/httplimit"
	"sapphiretray/policy"
)

const (
	// minBodyBytes must arrive of a body, unless it ends, in each minBodyTime. Callers whose requests arrive within their deadlines send
	// more, on slow links too.
	minBodyBytes = 4 << 10
	minBodyTime  = 10 * time.Second
	// noMemoryRetryAfter is the Retry-After of a request that is refused for lack of memory.
	noMemoryRetryAfter = 500 * time.Millisecond
	// maxBodyBytes bounds a body if the configuration has no limit. Other instances accept no larger one.
	maxBodyBytes = 128 << 20
	// writePiece is the number of bytes of a response that are written at once. Each counts as progress of the caller.
	writePiece = 32 << 10
)

// errBodyStalled means that less than minBodyBytes of a body have arrived in minBodyTime.
var errBodyStalled = errors.New("the body has stopped arriving")

// arrivingBody is a request's body that must arrive by a deadline and with minimum progress. Create it with newArrivingBody.
type arrivingBody struct {
	io.Reader
	controller *http.ResponseController
	deadline   time.Time
	// since is the begin of the current period of minBodyTime, and arrived what has arrived in it.
	since   time.Time
	arrived int
}

// newArrivingBody returns a body whose reads fail at a deadline.
func newArrivingBody(w http.ResponseWriter, body io.Reader, deadline time.Time) *arrivingBody {
	b := &arrivingBody{Reader: body, controller: http.NewResponseController(w), deadline: deadline}
	b.begin(time.Now())
	return b
}

// begin begins a period.
func (b *arrivingBody) begin(now time.Time) {
	b.since, b.arrived = now, 0
	until := now.Add(minBodyTime)
	if b.deadline.Before(until) {
		until = b.deadline
	}
	if err := b.controller.SetReadDeadline(until); err != nil {
		klog.V(1).InfoS("request: can't set the read deadline of the body", "err", err)
	}
}

// Read implements io.Reader.
func (b *arrivingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.arrived += n
	now := time.Now()
	if errors.Is(err, os.ErrDeadlineExceeded) && now.Before(b.deadline) {
		return n, errBodyStalled
	}
	if err == nil && now.Sub(b.since) >= minBodyTime/2 && b.arrived >= minBodyBytes {
		b.begin(now)
	}
	return n, err
}

// readBody reads the body until a deadline, so that a caller that stops sending holds no memory for longer than its request may take. It
// reserves the memory of the body before it reads it. A limit of 0 selects maxBodyBytes.
func (s *Server) readBody(
	w http.ResponseWriter, r *http.Request, request *gateway.Request, limit int64, deadline time.Time,
) *gateway.Failure {
	if !hasBody(r) {
		return nil
	}
	if limit <= 0 {
		limit = maxBodyBytes
	}
	revoked, revoke := context.WithCancel(r.Context())
	defer revoke()
	// The HTTP server must not wait for the rest of a body that has given way to others.
	interrupted := make(chan struct{})
	stop := context.AfterFunc(revoked, func() {
		defer close(interrupted)
		setReadDeadline(w, past)
	})
	body := newArrivingBody(w, r.Body, deadline)
	err := request.Memory.SetRevocable(policy.Revocable, revoke)
	switch {
	case err != nil:
	case r.ContentLength > limit:
		// Most callers send the whole body before they read the response.
		if _, err = io.CopyN(io.Discard, body, limit+1); err == nil {
			err = httplimit.ErrTooLarge
		}
	default:
		request.Body, err = request.Memory.ReadAll(r.Context(), body, r.ContentLength, limit, false)
	}
	// From now on the request may be passed on to an upstream.
	if held := request.Memory.SetRevocable(policy.Irrevocable, nil); held != nil {
		err = held
	}
	if !stop() {
		<-interrupted
	}
	if err != nil {
		f := bodyFailure(r, err)
		if f.Code != code.TooLarge {
			// The HTTP server must not wait for the rest of the body before it responds.
			setReadDeadline(w, past)
		}
		return f
	}
	// The server keeps reading from the connection to notice when the caller closes it, so the deadline must not stay.
	setReadDeadline(w, time.Time{})
	return nil
}

// bodyFailure returns the failure of a request whose body wasn't read because of an error.
func bodyFailure(r *http.Request, err error) *gateway.Failure {
	switch {
	case errors.Is(err, httplimit.ErrTooLarge):
		return &gateway.Failure{Code: code.TooLarge, Reason: err.Error()}
	case errors.Is(context.Cause(r.Context()), gateway.ErrStopping):
		return &gateway.Failure{
			Code: code.Draining, RetryAfter: stoppingRetryAfter, Reason: "the instance stopped while the body was read",
		}
	case errors.Is(err, httplimit.ErrNoRoom), errors.Is(err, httplimit.ErrRevoked):
		return &gateway.Failure{Code: code.NoMemory, RetryAfter: noMemoryRetryAfter, Reason: err.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, errBodyStalled):
		return &gateway.Failure{Code: code.BodyTimeout, Reason: err.Error()}
	default:
		return &gateway.Failure{Code: code.BodyFailed, Reason: err.Error()}
	}
}

// writeBody writes the body of a response and releases the memory of its request once the caller has accepted the whole. A caller that
// doesn't read gives way to others: its connection is closed.
func writeBody(w http.ResponseWriter, r *http.Request, body []byte, memory *httplimit.Claim) {
	if a, ok := w.(*aheadResponse); ok {
		a.hold(body, memory)
		return
	}
	if c, ok := r.Context().Value(connectionKey{}).(*callerConn); ok {
		// Irrevocable claims haven't been revoked.
		_ = memory.SetRevocable(policy.RevocableIfStalled, c.abandonWrite)
	}
	defer memory.Close()
	for len(body) > 0 {
		n, err := w.Write(body[:min(len(body), writePiece)])
		if err != nil {
			// A failed write ends the connection, which the caller notices.
			return
		}
		body = body[n:]
		if len(body) > 0 {
			memory.Progress()
		}
	}
}
