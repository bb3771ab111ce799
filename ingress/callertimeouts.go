package ingress

import (
	"sync"
	"time"
)

const (
	// retryShare is the share of a route's caller timeout below which a request counts as a retry. The timeouts of first
	// attempts differ by up to 15%.
	retryShare = 0.84
	// timeoutDecay reduces the estimated caller timeout of a route with each request, so that it follows lower timeouts.
	timeoutDecay = 0.9999
)

// callerTimeouts estimates for each route how long callers wait in all, as the longest time left that their requests state. A
// request that states clearly less is taken for a retry: its caller was refused before and retries in the time that is
// left. The zero value is ready to use.
type callerTimeouts struct {
	mu sync.Mutex
	// longest holds the estimates by route name.
	longest map[string]time.Duration
}

// observe takes the time that a request states as left, or 0 if it states none. It returns that time as left, the time that the caller
// has spent on earlier attempts, and whether the request is a retry.
func (c *callerTimeouts) observe(route string, stated time.Duration) (left, spent time.Duration, retry bool) {
	if stated <= 0 {
		return 0, 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.longest == nil {
		c.longest = make(map[string]time.Duration)
	}
	longest := max(time.Duration(timeoutDecay*float64(c.longest[route])), stated)
	c.longest[route] = longest
	if float64(stated) >= retryShare*float64(longest) {
		return stated, 0, false
	}
	return stated, longest - stated, true
}
