package gateway

import (
	"fmt"
	"time"

	"sapphiretray/code"
	"sapphiretray/policy"
)

const (
	// throttleRetryAfter is the Retry-After of a throttled request.
	throttleRetryAfter = 300 * time.Millisecond
	// throttleFactor is the number of the least urgent requests that may run or wait without pressure, in multiples of the slots.
	throttleFactor = 2
)

// ObserveNestedCall records the load of the called service, as reported with the response to a nested call of the upstream. Under
// pressure there, fewer of the least urgent requests are admitted here.
func (g *Gateway) ObserveNestedCall(load Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.throttle == nil {
		g.throttle = policy.NewThrottle(throttleFactor * g.scheduler.Slots())
	}
	now := time.Now()
	g.throttle.Observe(now, load.Pressure, g.leastUrgentPressure.Share(now))
}

// enterThrottle counts a request if it has the least urgent priority, or refuses it if there are too many. Nested requests aren't
// throttled, since the requests that made these calls already hold slots.
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

// throttleReason returns why a request was throttled. It blames the called service only if pressure there has lowered the limit.
func throttleReason(limit, maximum int) string {
	if limit >= maximum {
		return fmt.Sprintf("%d of the least urgent requests are already running or waiting", limit)
	}
	return fmt.Sprintf("the service that its calls need is overloaded: only %d instead of %d of the least urgent requests may run or wait",
		limit, maximum)
}

// leaveThrottle reverts enterThrottle. g.mu must be held.
func (g *Gateway) leaveThrottle(r *Request) {
	if r.throttled {
		g.throttled--
		r.throttled = false
	}
}

// observeThrottled records that a request was throttled. That isn't pressure of this service: its slots may be free, and the services that
// call it would refuse requests for nothing.
func (g *Gateway) observeThrottled() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leastUrgentPressure.Observe(time.Now(), true)
}

// observePressure records whether a request was admitted, or refused because no slot was free in time.
func (g *Gateway) observePressure(r *Request, f *Failure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f == nil || f.Code == code.Shed {
		g.pressure.Observe(time.Now(), f != nil)
		if !r.Nested {
			// Nested requests are admitted first, so the pressure of all requests doesn't show how many others they displace.
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
