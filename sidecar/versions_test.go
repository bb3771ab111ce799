package sidecar

import (
	"testing"
	"time"
)

// TestConfigOverdue guards against links that are saturated because instances fetch a large configuration from each other while the
// store delivers it, and against an instance that waits for a store that doesn't deliver it.
func TestConfigOverdue(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	tests := []struct {
		name        string
		reachable   bool
		behindSince time.Time
		want        bool
	}{
		{"no instance has a newer one", true, time.Time{}, false},
		{"the store delivers it", true, now.Add(-500 * time.Millisecond), false},
		{"the store doesn't deliver it", true, now.Add(-time.Second), true},
		{"the store is unreachable", false, now, true},
	}
	for _, test := range tests {
		if got := isOverdue(test.reachable, test.behindSince, now); got != test.want {
			t.Errorf("%s: overdue %v, want %v", test.name, got, test.want)
		}
	}
}
