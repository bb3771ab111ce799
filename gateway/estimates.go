package gateway

import (
	"sync"
	"time"
)

const (
	// estimateWeight is the weight of the newest service time in a route's mean.
	estimateWeight = 0.1
	// knownCount is the number of requests after which a mean is told to others. Service times spread by half their mean, so that the
	// mean of fewer than five may be wrong by a half, and single requests made upstreams look five times as fast as the others.
	knownCount = 5
	// firstEstimate is assumed of a route that has not been served yet.
	firstEstimate = 100 * time.Millisecond
)

// estimates hold the mean time that the upstream needs for the requests of each route. The zero value is ready to use.
type estimates struct {
	mu    sync.Mutex
	means map[string]mean
}

// mean is the mean time of a route and the number of requests that it was measured with.
type mean struct {
	took  time.Duration
	count int
}

func (e *estimates) get(route string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m, ok := e.means[route]; ok {
		return m.took
	}
	return firstEstimate
}

func (e *estimates) observe(route string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.means == nil {
		e.means = make(map[string]mean)
	}
	m := e.means[route]
	m.count++
	// The first requests count alike; the very first one alone may be far from the mean.
	weight := max(estimateWeight, 1/float64(m.count))
	m.took += time.Duration(weight * float64(took-m.took))
	e.means[route] = m
}

// known returns the means of all routes that were measured with enough requests.
func (e *estimates) known() map[string]time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := make(map[string]time.Duration, len(e.means))
	for route, m := range e.means {
		if m.count >= knownCount {
			known[route] = m.took
		}
	}
	return known
}

// ServiceTimes returns the mean time that the upstream needs for the requests of each route it has served often enough.
func (g *Gateway) ServiceTimes() map[string]time.Duration { return g.estimates.known() }
