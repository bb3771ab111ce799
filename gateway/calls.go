package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sapphiretray/code"
)

const (
	// minCallRetryAfter is the shortest Retry-After of a request that is refused because of its nested calls.
	minCallRetryAfter = 100 * time.Millisecond
	// callRetryShare is the share of the time in which a request could still begin over which those that are refused return.
	callRetryShare = 0.5
)

// ObserveNestedCall records the load of the upstream that a nested call of the local one was sent to. Requests of the parent's route are
// admitted by the share that it has room for.
func (g *Gateway) ObserveNestedCall(r *Request, load Load) {
	if load.Slots == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.callGate.Observe(time.Now(), r.ParentRoute, r.Service, load.RoomFor(r.Priority))
}

// admitCalls refuses a request if the services that its route calls have no room for it: it would take a slot and fail, or displace more
// urgent requests there. Nested requests are admitted, since the requests that made them hold slots already.
func (g *Gateway) admitCalls(r *Request) *Failure {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	r.admittedShare = 1
	if !r.Nested {
		share, ok := g.callGate.Admit(now, r.Route)
		if !ok {
			return &Failure{
				Code: code.Shed, RetryAfter: g.callRetryAfter(r, now),
				Reason: fmt.Sprintf("a service that its calls need has room for %.0f%% of the route's requests", percent*share),
			}
		}
		r.admittedShare = share
	}
	g.shares.Observe(now, r.Priority, g.slowness.meanTime(g.estimates.get(r.Route)), r.Weight)
	return nil
}

// percent is the factor from a share to per cent.
const percent = 100

// callRetryAfter returns a time within which a refused request may return and still be served within its objective, at random so that those
// that are refused together don't return together. g.mu must be held.
func (g *Gateway) callRetryAfter(r *Request, now time.Time) time.Duration {
	left := r.Objective.Sub(now) - g.serviceTime(r.Route)
	return minCallRetryAfter + rand.N(max(time.Duration(callRetryShare*float64(left)), minCallRetryAfter))
}

// observePressure records whether a request was admitted, or refused because no slot was free in time.
func (g *Gateway) observePressure(r *Request, f *Failure) {
	if f != nil && f.Code != code.Shed {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.pressure.Observe(now, f != nil)
	if !r.Nested {
		// Nested requests are admitted first, so the pressure of all requests doesn't show how many others they displace.
		g.callerPressure.Observe(now, f != nil)
	}
}

// CallRoom returns the share of the requests of each route that is admitted because of its nested calls.
func (g *Gateway) CallRoom() map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.callGate.All(time.Now())
}
