package caller

import (
	"context"
	"time"

	"sapphiretray/wait"
)

const (
	firstWait = 5 * time.Millisecond
	longWait  = 80 * time.Millisecond
)

// hold paces the attempts of one request while its partition's owner isn't known.
type hold struct {
	server  *Server
	until   time.Time
	rank    int
	members int
	delay   time.Duration
	started time.Time
	// paid tells that a retry was taken from the budget.
	paid bool
}

// next moves on to the next member and returns false after the last.
func (h *hold) next() bool {
	h.rank++
	if h.rank < h.members {
		return true
	}
	h.rank = 0
	return false
}

// wait waits before the next attempt. It returns false when the time to hold the request or the request's own ends.
func (h *hold) wait(ctx context.Context) bool {
	if h.started.IsZero() {
		h.started = time.Now()
	}
	h.rank = 0
	h.delay = min(max(h.delay*2, firstWait), longWait)
	delay := min(h.delay, time.Until(h.until))
	if delay <= 0 {
		return false
	}
	return wait.For(ctx, delay)
}

func (h *hold) end() {
	if !h.started.IsZero() {
		h.server.metrics.hold.Observe(time.Since(h.started).Seconds())
	}
}
