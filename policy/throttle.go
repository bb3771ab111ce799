package policy

import "time"

const (
	// throttleInterval is the time between two changes of a throttle's limit, about two service times of a nested call.
	throttleInterval = 200 * time.Millisecond
	// throttleThreshold is the pressure at the called service above which the limit shrinks.
	throttleThreshold = 0.12
	// In one interval, the limit shrinks by the factor throttleShrink or grows by throttleGrowth requests.
	throttleShrink = 0.75
	throttleGrowth = 1
)

// Throttle limits the requests of an upstream that make nested calls to another service, according to the pressure there. Without
// it, requests take slots and then fail because their nested calls are refused, or the calls displace more urgent requests of the
// other service. It isn't safe for concurrent use. Create it with NewThrottle.
type Throttle struct {
	maximum     float64
	limit       float64
	pressure    float64
	ownPressure float64
	observed    bool
	changedAt   time.Time
}

// NewThrottle returns a throttle with the given limit while there is no pressure.
func NewThrottle(maximum int) *Throttle {
	return &Throttle{maximum: float64(maximum), limit: float64(maximum)}
}

// Observe records the pressure at the called service, the share of requests that it refuses, as reported with the response to a
// nested call. ownPressure is the share of the throttled requests that are refused here. The limit shrinks only while that share
// is the smaller one, so that both services refuse about the same share.
func (t *Throttle) Observe(now time.Time, pressure, ownPressure float64) {
	t.pressure = max(t.pressure, pressure)
	t.ownPressure = ownPressure
	t.observed = true
	t.adapt(now)
}

// Limit returns the number of requests that may run or wait at once.
func (t *Throttle) Limit(now time.Time) int {
	t.adapt(now)
	return max(1, int(t.limit))
}

// Maximum returns the limit without pressure.
func (t *Throttle) Maximum() int { return int(t.maximum) }

// adapt changes the limit once per interval.
func (t *Throttle) adapt(now time.Time) {
	elapsed := now.Sub(t.changedAt)
	if elapsed < throttleInterval {
		return
	}
	if t.observed && t.pressure > throttleThreshold && t.pressure > t.ownPressure {
		t.limit = max(1, t.limit*throttleShrink)
	} else {
		// The limit also grows in intervals without nested calls. Otherwise a limit that admits no such request would never recover.
		intervals := min(float64(elapsed/throttleInterval), t.maximum/throttleGrowth)
		t.limit = min(t.maximum, t.limit+throttleGrowth*intervals)
	}
	t.pressure, t.observed, t.changedAt = 0, false, now
}

// Pressure is a moving average of the share of requests that were refused. The zero value is ready to use.
type Pressure struct {
	share float64
	at    time.Time // Time of the latest request.
}

// pressureWindow is the time over which refusals are averaged.
const pressureWindow = 700 * time.Millisecond

// Observe records a request.
func (p *Pressure) Observe(now time.Time, refused bool) {
	target := 0.0
	if refused {
		target = 1
	}
	// A single request changes the share by at most a tenth, so that one refusal at low traffic has little effect.
	weight := min(0.1, max(0.02, now.Sub(p.at).Seconds()/pressureWindow.Seconds()))
	p.share += weight * (target - p.share)
	p.at = now
}

// Share returns the share of requests that were refused, from 0 to 1. It decays while there are no requests.
func (p *Pressure) Share(now time.Time) float64 {
	if idle := now.Sub(p.at); idle > pressureWindow {
		return p.share * pressureWindow.Seconds() / idle.Seconds()
	}
	return p.share
}
