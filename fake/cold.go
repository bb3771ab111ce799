package fake

import (
	"math"
	"slices"
	"sync"
	"time"
)

// ColdLimit counts the requests that reach an upstream within any second while it is cold. It is safe for concurrent use. The zero value is
// warm.
type ColdLimit struct {
	mu       sync.Mutex
	until    time.Time
	maximum  int
	arrivals []time.Time
	most     int
}

// Start makes the upstream cold for d, during which it bears a number of requests within any second; math.MaxInt if it bears any number.
func (c *ColdLimit) Start(d time.Duration, maximum int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until, c.maximum, c.arrivals = time.Now().Add(d), maximum, nil
}

// Arrive counts a request. It returns false if the upstream doesn't bear it.
func (c *ColdLimit) Arrive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !now.Before(c.until) {
		return true
	}
	c.arrivals = append(slices.DeleteFunc(c.arrivals, func(at time.Time) bool { return now.Sub(at) >= time.Second }), now)
	if c.maximum < math.MaxInt {
		c.most = max(c.most, len(c.arrivals))
	}
	return len(c.arrivals) <= c.maximum
}

// Remaining returns how much longer the upstream is cold.
func (c *ColdLimit) Remaining() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, time.Until(c.until))
}

// Most returns the largest number of requests that have arrived within a second while the upstream was cold.
func (c *ColdLimit) Most() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.most
}
