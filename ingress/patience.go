package ingress

import (
	"sync"
	"time"
)

const (
	// returningShare is the share of the longest patience below which a caller must have waited before. First attempts differ
	// by up to 15%.
	returningShare = 0.84
	// patienceDecay lowers the remembered patience of a route with each request, so that a change of the callers is learnt.
	patienceDecay = 0.9999
)

// patience learns for each route how long callers wait at most, and so recognises the ones that come again with what is left.
// The zero value is ready to use.
type patience struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// observe returns the time left, the time that the caller has spent before, and whether it was refused before.
func (p *patience) observe(route string, left time.Duration) (remaining, spent time.Duration, returning bool) {
	if left <= 0 {
		return 0, 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longest == nil {
		p.longest = make(map[string]time.Duration)
	}
	longest := max(time.Duration(patienceDecay*float64(p.longest[route])), left)
	p.longest[route] = longest
	if float64(left) >= returningShare*float64(longest) {
		return left, 0, false
	}
	return left, longest - left, true
}
