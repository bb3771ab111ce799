package policy

import "time"

const (
	// throttleInterval is the time between two changes of a throttle's limit: about two service times of a nested call.
	throttleInterval = 200 * time.Millisecond
	// throttlePressure is the share of refusals at the called service above which the limit shrinks.
	throttlePressure = 0.12
	// throttleShrink and throttleGrowth are the changes of the limit in one interval.
	throttleShrink = 0.75
	throttleGrowth = 1
)

// Throttle limits the requests of an upstream that call another service, by the pressure there. Without it, requests take slots
// and then fail because their calls are refused, or their calls take the place of more urgent requests of the other service.
// It isn't safe for concurrent use. Create it with NewThrottle.
type Throttle struct {
	maximum  float64
	limit    float64
	pressure float64
	own      float64
	observed bool
	changed  time.Time
}

// NewThrottle returns a throttle that allows maximum requests until pressure is observed.
func NewThrottle(maximum int) *Throttle {
	return &Throttle{maximum: float64(maximum), limit: float64(maximum)}
}

// Observe takes the pressure at the called service, the share of its requests that it refuses, with the answer to a call. own is
// the share of the limited requests that are refused here: the limit shrinks only while they are refused less often than the
// requests of the called service, so that neither gives way to the other alone.
func (t *Throttle) Observe(now time.Time, pressure, own float64) {
	t.pressure = max(t.pressure, pressure)
	t.own = own
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

func (t *Throttle) adapt(now time.Time) {
	passed := now.Sub(t.changed)
	if passed < throttleInterval {
		return
	}
	if t.observed && t.pressure > throttlePressure && t.pressure > t.own {
		t.limit = max(1, t.limit*throttleShrink)
	} else {
		// Intervals without calls count too: otherwise a limit that lets no request through would stay.
		intervals := min(float64(passed/throttleInterval), t.maximum/throttleGrowth)
		t.limit = min(t.maximum, t.limit+throttleGrowth*intervals)
	}
	t.pressure, t.observed, t.changed = 0, false, now
}

// Pressure is the share of requests that were refused lately. The zero value is ready to use.
type Pressure struct {
	share float64
	at    time.Time
}

// pressureMemory is the time over which refusals are averaged.
const pressureMemory = 700 * time.Millisecond

// Observe counts a request.
func (p *Pressure) Observe(now time.Time, refused bool) {
	target := 0.0
	if refused {
		target = 1
	}
	// A single request changes the share by at most a tenth, so that a refusal on an idle day says little.
	weight := min(0.1, max(0.02, now.Sub(p.at).Seconds()/pressureMemory.Seconds()))
	p.share += weight * (target - p.share)
	p.at = now
}

// Share returns the share of requests that were refused, less the longer ago the newest request is.
func (p *Pressure) Share(now time.Time) float64 {
	if idle := now.Sub(p.at); idle > pressureMemory {
		return p.share * pressureMemory.Seconds() / idle.Seconds()
	}
	return p.share
}
