package gateway

import (
	"maps"
	"sync"
	"time"
)

const (
	// estimateWeight is the weight of the newest sample in a route's moving average.
	estimateWeight = 0.1
	// firstEstimate is the estimate for a route without samples.
	firstEstimate = 100 * time.Millisecond
	// minSamples is the number of samples from which other instances compare an estimate with that of other upstreams. Service times vary
	// by half their mean and more.
	minSamples = 5
)

// estimates holds the moving average of a duration, such as the service time, for each route. It is safe for concurrent use, and its
// zero value is ready to use.
type estimates struct {
	mu    sync.Mutex
	means map[string]ServiceTime
}

// ServiceTime is the estimated time that the upstream needs for a request of a route.
type ServiceTime struct {
	// Mean is the exponential moving average (weight 0.1; the first samples weigh equally).
	Mean time.Duration
	// Requests is the number of samples.
	Requests int
}

// get returns the estimate for a route, which is firstEstimate without samples.
func (e *estimates) get(route string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m, ok := e.means[route]; ok {
		return m.Mean
	}
	return firstEstimate
}

// measured returns the estimate for a route, or 0 if it has fewer than minSamples.
func (e *estimates) measured(route string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m := e.means[route]; m.Requests >= minSamples {
		return m.Mean
	}
	return 0
}

func (e *estimates) observe(route string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.means == nil {
		e.means = make(map[string]ServiceTime)
	}
	m := e.means[route]
	m.Requests++
	// The first samples have equal weights, so that a first one far from the mean doesn't dominate.
	weight := max(estimateWeight, 1/float64(m.Requests))
	m.Mean += time.Duration(weight * float64(took-m.Mean))
	e.means[route] = m
}

// all returns the estimates of all routes with samples.
func (e *estimates) all() map[string]ServiceTime {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.means)
}
