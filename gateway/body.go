package gateway

import (
	"context"
	"time"

	"sapphiretray/code"
	"sapphiretray/policy"
)

const (
	// maxTransfers is the number of bodies that other instances may send here at once. More only divide the link, so that all of
	// them arrive later.
	maxTransfers = 3
	// slowBodyShare is the share of the usual service time above which a body is read before the request has a slot. Faster ones are
	// read afterwards, since the body of a request that is refused in the end was sent in vain.
	slowBodyShare = 0.1
)

// isBodySlow reports whether a body is still to come and needs much of the time that the upstream will need for the request.
func (g *Gateway) isBodySlow(r *Request) bool {
	if r.Body != nil || r.ReadBody == nil {
		return false
	}
	return float64(g.transferTimes.get(r.Route)) > slowBodyShare*float64(g.estimates.get(r.Route))
}

// expectBody reads a slow body before the request has a slot, if it is expected to be served.
func (g *Gateway) expectBody(ctx context.Context, r *Request) *Failure {
	spec := g.jobSpec(r)
	spec.ServiceTime += g.transferTimes.get(r.Route)
	g.mu.Lock()
	job, decision := g.scheduler.Announce(time.Now(), spec)
	g.mu.Unlock()
	if !decision.Admitted {
		f := &Failure{Code: code.Shed, RetryAfter: decision.RetryAfter, Reason: "no slot is free in time"}
		g.observePressure(r, f)
		return f
	}
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.scheduler.Retract(job)
	}()
	if !g.awaitTransfer(ctx, spec) {
		return &Failure{Code: code.Shed, RetryAfter: defaultRetryAfter, Reason: "too many other bodies are on their way"}
	}
	defer func() { <-g.transferSlots }()
	return g.readBody(r)
}

// readBody reads the body, if it isn't there yet.
func (g *Gateway) readBody(r *Request) *Failure {
	if r.Body != nil || r.ReadBody == nil {
		return nil
	}
	begun := time.Now()
	body, err := r.ReadBody()
	if err != nil {
		return &Failure{Code: code.CallerGone, Reason: "the body ended early: " + err.Error()}
	}
	g.transferTimes.observe(r.Route, time.Since(begun))
	r.Body = body
	return nil
}

// awaitTransfer waits until a body may be sent, and returns false if the request can't be served in time any more.
func (g *Gateway) awaitTransfer(ctx context.Context, spec policy.JobSpec) bool {
	end := spec.Objective
	if spec.Returning {
		end = spec.Deadline
	}
	timer := time.NewTimer(time.Until(end) - spec.ServiceTime)
	defer timer.Stop()
	select {
	case g.transferSlots <- struct{}{}:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}
