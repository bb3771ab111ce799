// Package wait pauses a goroutine for as long as its context lasts.
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
