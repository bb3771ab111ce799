package caller

import (
	"context"
	"time"

	"sapphiretray/wait"
)

// Range of the delay between two attempts; it doubles with each wait.
const (
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 80 * time.Millisecond
)

// ownerSearch tracks the attempts of one request while its partition has no known owner: which member of the partition is tried next, and
// how long to wait between attempts.
type ownerSearch struct {
	server *Server
	// until is the time until which the request may be held.
	until time.Time
	// rank is the rank of the member that is tried next, and members the number of members of the partition's entry.
	rank    int
	members int
	delay   time.Duration
	// waitStart is the start of the first wait; zero if there was none.
	waitStart time.Time
	// charged is set once a retry was taken from the budget.
	charged bool
}

// nextMember selects the next member. After the last it selects the first and returns false.
func (search *ownerSearch) nextMember() bool {
	search.rank++
	if search.rank < search.members {
		return true
	}
	search.rank = 0
	return false
}

// wait sleeps before the next attempt and selects the first member. It returns false if the hold time or ctx has ended.
func (search *ownerSearch) wait(ctx context.Context) bool {
	if search.waitStart.IsZero() {
		search.waitStart = time.Now()
	}
	search.rank = 0
	search.delay = min(max(search.delay*2, minRetryDelay), maxRetryDelay)
	delay := min(search.delay, time.Until(search.until))
	if delay <= 0 {
		return false
	}
	return wait.For(ctx, delay)
}

// recordWait records in the metrics for how long the request was held, if it was.
func (search *ownerSearch) recordWait() {
	if !search.waitStart.IsZero() {
		search.server.metrics.hold.Observe(time.Since(search.waitStart).Seconds())
	}
}
