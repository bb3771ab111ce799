package store_test

import (
	"fmt"
	"testing"
	"time"

	"sapphiretray/store"
)

// TestFollowerExpectsUnknownRowDuringShortWaits guards against a copy that lacks a row without end because calls count as slow for waiting.
func TestFollowerExpectsUnknownRowDuringShortWaits(t *testing.T) {
	const (
		wait  = 600 * time.Millisecond
		bound = 2 * time.Second
	)
	for since := time.Duration(0); since < time.Second; since += 25 * time.Millisecond {
		t.Run(fmt.Sprint(since), func(t *testing.T) {
			follow(t, func(_ *memory, f *store.Follower) {
				time.Sleep(since)
				f.Expect(1000)
				time.Sleep(bound)
				if lacked := f.IncompleteFor(); lacked > 0 {
					t.Errorf("the copy still lacks the row %v later", lacked)
				}
			}, store.WithMaxWait(func() time.Duration { return wait }))
		})
	}
}
