package policy

import (
	"slices"
	"sync"
	"time"
)

const (
	ejectFailures = 5
	// Upstreams differ in speed by 1:4 in regular operation; a target is an outlier only beyond that.
	ejectLatencyFactor = 5.0
	// A latency is compared when it and those of this many targets are known from enough samples.
	ejectMinTargets = 3
	ejectMinSamples = 20
	ejectWeight     = 0.1
	// ejectShare is the largest share of targets that are ejected at a time, rounded down.
	ejectShare   = 0.3
	ejectTime    = time.Second
	maxEjectTime = time.Minute
	// ejectRecovery is the time without an ejection after which the next ejection is shorter by one step.
	ejectRecovery = 30 * time.Second
)

// Ejector takes targets out of use for a time: after 5 failures in a row, or when the mean latency exceeds 5 times the
// median of all targets. At most 30% of the known targets, rounded down, are out at a time, so with fewer than 4 none
// is. The first ejection takes 1 s and each further one twice as long, up to a minute; every 30 s without one halves it
// again. The zero value is ready to use.
type Ejector[K comparable] struct {
	mu      sync.Mutex
	targets map[K]*targetHealth
}

type targetHealth struct {
	failures int
	samples  int
	latency  float64 // Seconds.
	until    time.Time
	level    int
	// slow tells that the ejection was for the latency.
	slow bool
	// eased is the time up to which the recovery of level has been counted.
	eased time.Time
}

// Add makes a target known, so that it counts in the share before it has had requests.
func (e *Ejector[K]) Add(target K) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.health(target)
}

// Forget drops a target.
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

// ReportAt records the result of a request at a time.
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
	// The median is not computed for each report, since there may be thousands of targets.
	if health.samples%ejectMinSamples == 0 && e.slow(health) && e.mayEject(now) {
		health.eject(now, true)
	}
}

// EjectedAt reports whether a target is out of use at a time.
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
	return e.ejected(now) < e.allowed()
}

func (e *Ejector[K]) allowed() int { return int(ejectShare * float64(len(e.targets))) }

// restoreSlow puts one target that is out for its latency back into use: the one that would return first. Failing targets
// have precedence: otherwise slow ones could use up the share, and a target that fails each request at once would stay
// in use.
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

func (e *Ejector[K]) slow(health *targetHealth) bool {
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
	h.latency += ejectWeight * (latency - h.latency)
}

func (h *targetHealth) eject(now time.Time, slow bool) {
	for h.level > 0 && now.Sub(h.eased) >= ejectRecovery {
		h.level--
		h.eased = h.eased.Add(ejectRecovery)
	}
	duration := min(ejectTime<<min(h.level, 16), maxEjectTime)
	*h = targetHealth{until: now.Add(duration), level: h.level + 1, slow: slow}
	h.eased = h.until
}
