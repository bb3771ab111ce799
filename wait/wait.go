// Package wait pauses a goroutine, once or again and again, for as long as its context lasts.
package wait

import (
	"context"
	"time"
)

// For waits for a duration or until ctx ends, and reports whether the duration has passed. A duration that isn't positive
// has passed unless ctx has ended.
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

// Every calls a function after each interval with the time until ctx ends. A call that takes longer than the interval delays
// the next ones.
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
