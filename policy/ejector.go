package policy

import (
	"slices"
	"sync"
	"time"
)

const (
	// ejectFailures is the number of consecutive failures that eject a target.
	ejectFailures = 5
	// ejectLatencyFactor is the ratio to the median latency that ejects a target. Upstreams differ in speed by up to 1:4 in
	// regular operation.
	ejectLatencyFactor = 5.0
	// ejectMinTargets is the number of targets with at least ejectMinSamples samples that are needed to compare latencies.
	ejectMinTargets = 3
	ejectMinSamples = 20
	// latencyWeight is the weight of the newest sample in a target's moving average.
	latencyWeight = 0.1
	// ejectShare is the largest share of targets that are ejected at a time, rounded down.
	ejectShare = 0.3
	// baseEjectTime is the duration of a first ejection, maxEjectTime that of the longest one.
	baseEjectTime = time.Second
	maxEjectTime  = time.Minute
	// ejectRecovery is the time without an ejection that halves the duration of the next one.
	ejectRecovery = 30 * time.Second
)

// Ejector implements outlier ejection: it takes a target out of use for a time after 5 consecutive failures, or when its mean
// latency exceeds 5 times the median of all targets. At most 30% of the known targets, rounded down, are ejected at a time, so
// none is if there are fewer than 4. A first ejection lasts 1 s and each further one twice as long, up to a minute; every 30 s
// without an ejection halve the duration again. The zero value is ready to use.
type Ejector[K comparable] struct {
	mu      sync.Mutex
	targets map[K]*targetHealth
}

// targetHealth is the state of one target.
type targetHealth struct {
	failures int // Consecutive failures.
	samples  int
	latency  float64   // Moving average, in seconds.
	until    time.Time // End of the last ejection.
	level    int       // Number of times that the duration of the next ejection is doubled.
	// slow is set if the last ejection was due to the latency.
	slow bool
	// decayedUntil is the time up to which the decay of level has been counted.
	decayedUntil time.Time
}

// Add makes a target known, so that it counts towards the 30% before it has received requests.
func (e *Ejector[K]) Add(target K) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.health(target)
}

// Forget removes a target.
func (e *Ejector[K]) Forget(target K) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.targets, target)
}

// Report records the result of a request.
func (e *Ejector[K]) Report(target K, latency time.Duration, ok bool) {
	e.ReportAt(time.Now(), target, latency, ok)
}

// Ejected reports whether a target is out of use now.
func (e *Ejector[K]) Ejected(target K) bool { return e.EjectedAt(time.Now(), target) }

// ReportAt is Report at the given time.
func (e *Ejector[K]) ReportAt(now time.Time, target K, latency time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	health := e.health(target)
	if now.Before(health.until) {
		return
	}
	if !ok {
		health.failures++
		if health.failures%ejectFailures == 0 && (e.mayEject(now) || e.restoreSlow(now)) {
			health.eject(now, false)
		}
		return
	}
	health.failures = 0
	health.record(latency.Seconds())
	// The median isn't computed for each report, since there may be thousands of targets.
	if health.samples%ejectMinSamples == 0 && e.isOutlier(health) && e.mayEject(now) {
		health.eject(now, true)
	}
}

// EjectedAt is Ejected at the given time.
func (e *Ejector[K]) EjectedAt(now time.Time, target K) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	health := e.targets[target]
	return health != nil && now.Before(health.until)
}

// Counts returns the numbers of known and of ejected targets.
func (e *Ejector[K]) Counts() (known, ejected int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.targets), e.ejected(time.Now())
}

func (e *Ejector[K]) health(target K) *targetHealth {
	health := e.targets[target]
	if health == nil {
		health = &targetHealth{}
		if e.targets == nil {
			e.targets = make(map[K]*targetHealth)
		}
		e.targets[target] = health
	}
	return health
}

func (e *Ejector[K]) ejected(now time.Time) int {
	count := 0
	for _, health := range e.targets {
		if now.Before(health.until) {
			count++
		}
	}
	return count
}

func (e *Ejector[K]) mayEject(now time.Time) bool {
	return e.ejected(now) < e.maxEjected()
}

func (e *Ejector[K]) maxEjected() int { return int(ejectShare * float64(len(e.targets))) }

// restoreSlow ends the ejection of one target that was ejected for its latency, the one whose ejection ends first, and returns
// false if there is none. It makes room for a failing target, which would stay in use if slow targets filled the allowed share.
// A target that fails each request at once does more harm than a slow one.
func (e *Ejector[K]) restoreSlow(now time.Time) bool {
	var first *targetHealth
	for _, health := range e.targets {
		if health.slow && now.Before(health.until) && (first == nil || health.until.Before(first.until)) {
			first = health
		}
	}
	if first == nil {
		return false
	}
	first.until = now
	return true
}

// isOutlier reports whether a target's latency is an outlier.
func (e *Ejector[K]) isOutlier(health *targetHealth) bool {
	var latencies []float64
	for _, other := range e.targets {
		if other.samples >= ejectMinSamples {
			latencies = append(latencies, other.latency)
		}
	}
	if len(latencies) < ejectMinTargets {
		return false
	}
	slices.Sort(latencies)
	return health.latency > ejectLatencyFactor*latencies[(len(latencies)-1)/2]
}

func (h *targetHealth) record(latency float64) {
	h.samples++
	if h.samples == 1 {
		h.latency = latency
		return
	}
	h.latency += latencyWeight * (latency - h.latency)
}

// eject ejects the target and resets its failures and latency.
func (h *targetHealth) eject(now time.Time, slow bool) {
	for h.level > 0 && now.Sub(h.decayedUntil) >= ejectRecovery {
		h.level--
		h.decayedUntil = h.decayedUntil.Add(ejectRecovery)
	}
	duration := min(baseEjectTime<<min(h.level, 16), maxEjectTime)
	*h = targetHealth{until: now.Add(duration), level: h.level + 1, slow: slow}
	h.decayedUntil = h.until
}
