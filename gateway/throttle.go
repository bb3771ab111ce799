package gateway

import (
	"fmt"
	"time"

	"sapphiretray/code"
	"sapphiretray/policy"
)

const (
	// throttleRetry is the Retry-After of a request whose calls would be refused.
	throttleRetryAfter = 300 * time.Millisecond
	// throttleMaximum is the number of the least urgent requests that may run or wait without pressure, in multiples of the slots.
	throttleFactor = 2
)

// NestedCall takes the answer to a call that the upstream made while it served a request: the load where the call went. Under
// pressure there, fewer of the least urgent requests are admitted here.
func (g *Gateway) NestedCall(load Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.throttle == nil {
		g.throttle = policy.NewThrottle(throttleFactor * g.scheduler.Slots())
	}
	now := time.Now()
	g.throttle.Observe(now, load.Pressure, g.leastUrgentPressure.Share(now))
}

// enterThrottle counts a request of the least urgent rank, or refuses it if there are too many. Nested requests aren't limited: what
// called them holds a slot already.
func (g *Gateway) enterThrottle(r *Request) *Failure {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leastUrgentPriority = max(g.leastUrgentPriority, r.Priority)
	if r.Priority < g.leastUrgentPriority || r.Nested {
		return nil
	}
	if g.throttle != nil {
		if limit := g.throttle.Limit(time.Now()); g.throttled >= limit {
			return &Failure{Code: code.Shed, RetryAfter: throttleRetryAfter, Reason: throttleReason(limit, g.throttle.Maximum())}
		}
	}
	g.throttled++
	r.throttled = true
	return nil
}

// throttleReason returns why a request was refused for a limit, which is at its maximum without pressure.
func throttleReason(limit, maximum int) string {
	if limit >= maximum {
		return fmt.Sprintf("%d of the least urgent requests run or wait already", limit)
	}
	return fmt.Sprintf("the service that its calls need is short of room: %d instead of %d of the least urgent requests may run or wait",
		limit, maximum)
}

// leaveThrottle ends what enterThrottle counted. The lock is held.
func (g *Gateway) leaveThrottle(r *Request) {
	if r.throttled {
		g.throttled--
		r.throttled = false
	}
}

// observePressure counts a request that was admitted or refused for want of slots.
func (g *Gateway) observePressure(r *Request, f *Failure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f == nil || f.Code == code.Shed {
		g.pressure.Observe(time.Now(), f != nil)
		if !r.Nested {
			// Calls of upstreams go first, so the share of all requests hides how many others they displace.
			g.callerPressure.Observe(time.Now(), f != nil)
		}
		if r.Priority >= g.leastUrgentPriority {
			g.leastUrgentPressure.Observe(time.Now(), f != nil)
		}
	}
	if f != nil {
		g.leaveThrottle(r)
	}
}
