package gateway

import (
	"context"
	"errors"
	"time"

	"sapphiretray/code"
	"sapphiretray/httplimit"
	"sapphiretray/policy"
)

const (
	// maxTransfers is the number of slow bodies that other instances may send here at once. More of them would share the bandwidth,
	// so that all arrive later.
	maxTransfers = 3
	// slowBodyShare is the ratio of transfer time to service time above which a body is read before the request has a slot. Other
	// bodies are read afterwards, so that none is transferred for a request that is then refused.
	slowBodyShare = 0.1
	// noMemoryRetryAfter is the Retry-After of a request for whose body there is no memory here or at the upstream.
	noMemoryRetryAfter = 500 * time.Millisecond
)

// isBodySlow reports whether the body has yet to be read and takes long compared to the upstream's service time.
func (g *Gateway) isBodySlow(r *Request) bool {
	if r.Body != nil || r.ReadBody == nil {
		return false
	}
	return float64(g.transferTimes.get(r.Route)) > slowBodyShare*float64(g.serviceTime(r.Route))
}

// expectBody reads a slow body before the request has a slot, if the request is expected to get one in time.
func (g *Gateway) expectBody(ctx context.Context, r *Request) *Failure {
	spec := g.jobSpec(r)
	spec.ServiceTime += g.transferTimes.get(r.Route)
	g.mu.Lock()
	job, decision := g.scheduler.Announce(time.Now(), spec)
	g.mu.Unlock()
	if !decision.Admitted {
		f := g.shed(decision.RetryAfter)
		g.observePressure(r, f)
		return f
	}
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.scheduler.Retract(job)
	}()
	if !g.awaitTransfer(ctx, spec) {
		return &Failure{Code: code.Shed, RetryAfter: defaultRetryAfter, Reason: "too many other bodies are being transferred"}
	}
	defer func() { <-g.transferSlots }()
	return g.readBody(r)
}

// readBody reads the body if that hasn't been done yet.
func (g *Gateway) readBody(r *Request) *Failure {
	if r.Body != nil || r.ReadBody == nil {
		return nil
	}
	begun := time.Now()
	body, err := r.ReadBody()
	if errors.Is(err, httplimit.ErrNoRoom) {
		return &Failure{Code: code.NoMemory, RetryAfter: noMemoryRetryAfter, Reason: err.Error()}
	}
	if err != nil {
		return &Failure{Code: code.CallerGone, Reason: "the body ended early: " + err.Error()}
	}
	g.transferTimes.observe(r.Route, time.Since(begun))
	r.Body = body
	return nil
}

// awaitTransfer waits until fewer than maxTransfers bodies are being transferred. It returns false if ctx ends or the request can't
// be served in time any more. After true, the calling function must receive from transferSlots.
func (g *Gateway) awaitTransfer(ctx context.Context, spec policy.JobSpec) bool {
	end := spec.Objective
	if spec.Retry {
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

// admitBody waits until the upstream may hold the body of a request beside those of others, until the request can't be served by its
// objective any more. The bodies of requests that have not been read yet count with their announced sizes. After nil, the calling function
// must call release once the request has ended.
func (g *Gateway) admitBody(ctx context.Context, r *Request) (release func(), f *Failure) {
	size := min(max(int64(len(r.Body)), r.BodySize), maxSentBytes)
	if size <= smallBody {
		return func() {}, nil
	}
	if !g.sentBodies.TryAcquire(size) {
		ctx, cancel := context.WithDeadline(ctx, r.Objective)
		defer cancel()
		if err := g.sentBodies.Acquire(ctx, size); err != nil {
			return nil, &Failure{
				Code: code.NoMemory, RetryAfter: noMemoryRetryAfter, Reason: "the upstream holds too many large bodies of other requests",
			}
		}
	}
	g.sentBytes.Add(size)
	return func() {
		g.sentBytes.Add(-size)
		g.sentBodies.Release(size)
	}, nil
}
