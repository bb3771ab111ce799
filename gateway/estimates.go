package gateway

import (
	"maps"
	"sync"
	"time"
)

const (
	// estimateWeight is the weight of the newest service time in a route's mean.
	estimateWeight = 0.1
	// firstEstimate is assumed of a route that has not been served yet.
	firstEstimate = 100 * time.Millisecond
)

// estimates hold the mean time that the upstream needs for the requests of each route. The zero value is ready to use.
type estimates struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

func (e *estimates) get(route string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if mean, ok := e.means[route]; ok {
		return mean
	}
	return firstEstimate
}

func (e *estimates) observe(route string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.means == nil {
		e.means = make(map[string]time.Duration)
	}
	mean, ok := e.means[route]
	if !ok {
		e.means[route] = took
		return
	}
	e.means[route] = mean + time.Duration(estimateWeight*float64(took-mean))
}

// all returns the means of all routes that have been served.
func (e *estimates) all() map[string]time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.means)
}

// ServiceTimes returns the mean time that the upstream needs for the requests of each route it has served.
func (g *Gateway) ServiceTimes() map[string]time.Duration { return g.estimates.all() }
