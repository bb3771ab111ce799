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
	means map[string]ServiceTime
}

// ServiceTime is the mean time that the upstream needs for the requests of a route.
type ServiceTime struct {
	Mean time.Duration
	// Requests is the number of requests that it was measured with.
	Requests int
}

func (e *estimates) get(route string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m, ok := e.means[route]; ok {
		return m.Mean
	}
	return firstEstimate
}

func (e *estimates) observe(route string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.means == nil {
		e.means = make(map[string]ServiceTime)
	}
	m := e.means[route]
	m.Requests++
	// The first requests count alike; the very first one alone may be far from the mean.
	weight := max(estimateWeight, 1/float64(m.Requests))
	m.Mean += time.Duration(weight * float64(took-m.Mean))
	e.means[route] = m
}

// all returns the means of all routes that have been served.
func (e *estimates) all() map[string]ServiceTime {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.means)
}

// ServiceTimes returns the mean time that the upstream needs for the requests of each route it has served.
func (g *Gateway) ServiceTimes() map[string]ServiceTime { return g.estimates.all() }
