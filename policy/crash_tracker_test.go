package policy_test

import (
	"testing"
	"time"

	"sapphiretray/policy"
)

// TestCrashTracker guards against a request that keeps crashing upstreams, and against the quarantine of one that only ran at the
// same time.
func TestCrashTracker(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name        string
		events      func(tracker *policy.CrashTracker)
		quarantined bool
	}{
		{"two crashes", func(tracker *policy.CrashTracker) {
			tracker.RecordCrash(now, []uint64{1, 2})
			tracker.RecordCrash(now, []uint64{1, 3})
		}, false},
		{"three crashes", func(tracker *policy.CrashTracker) {
			for range 3 {
				tracker.RecordCrash(now, []uint64{1})
			}
		}, true},
		{"completed in between", func(tracker *policy.CrashTracker) {
			tracker.RecordCrash(now, []uint64{1})
			tracker.RecordCrash(now, []uint64{1})
			tracker.RecordCompletion(1)
			tracker.RecordCrash(now, []uint64{1})
		}, false},
		{"crashes expired", func(tracker *policy.CrashTracker) {
			for range 3 {
				tracker.RecordCrash(now.Add(-time.Hour), []uint64{1})
			}
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var tracker policy.CrashTracker
			test.events(&tracker)
			if got := tracker.IsQuarantined(now, 1); got != test.quarantined {
				t.Errorf("quarantined %v, want %v", got, test.quarantined)
			}
		})
	}
}
