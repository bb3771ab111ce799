package sidecar

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// TestStalls guards against a stall of the process that isn't detected, and against lateness that accumulates over many readings.
func TestStalls(t *testing.T) {
	s := newStallMonitor(prometheus.NewRegistry())
	start := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	tests := []struct {
		after, used, late, busy time.Duration
	}{
		{0, 5 * time.Millisecond, 0, 0},
		{stallInterval, 7 * time.Millisecond, 0, 2 * time.Millisecond},
		{stallInterval + 3*time.Second, 8 * time.Millisecond, 3 * time.Second, time.Millisecond},
		{stallInterval, 9 * time.Millisecond, 0, time.Millisecond},
		{stallInterval / 2, 9 * time.Millisecond, 0, 0},
	}
	now := start
	for n, test := range tests {
		now = now.Add(test.after)
		if late, busy := s.observe(now, test.used); late != test.late || busy != test.busy {
			t.Errorf("reading %d: late %v, busy %v; want %v and %v", n, late, busy, test.late, test.busy)
		}
	}
}
