// Package wait provides pauses and periodic calls that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits for a duration or until ctx ends, whichever is first, and reports whether the duration has passed. If the duration isn't
// positive, it returns at once, and reports whether ctx has not ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls f with the current time after each interval until ctx ends. A call that takes longer than the interval delays the next
// one, and missed ticks are dropped.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}
