package policy_test

import (
	"testing"
	"time"

	"sapphiretray/policy"
)

// TestSuspects guards against a request that goes on to crash upstreams, and against the refusal of one that was only in flight
// beside it.
func TestSuspects(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name    string
		events  func(s *policy.Suspects)
		refused bool
	}{
		{"two crashes", func(s *policy.Suspects) {
			s.Crashed(now, []uint64{1, 2})
			s.Crashed(now, []uint64{1, 3})
		}, false},
		{"three crashes", func(s *policy.Suspects) {
			for range 3 {
				s.Crashed(now, []uint64{1})
			}
		}, true},
		{"served in between", func(s *policy.Suspects) {
			s.Crashed(now, []uint64{1})
			s.Crashed(now, []uint64{1})
			s.Served(1)
			s.Crashed(now, []uint64{1})
		}, false},
		{"long ago", func(s *policy.Suspects) {
			for range 3 {
				s.Crashed(now.Add(-time.Hour), []uint64{1})
			}
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s policy.Suspects
			test.events(&s)
			if got := s.Refused(now, 1); got != test.refused {
				t.Errorf("refused %v, want %v", got, test.refused)
			}
		})
	}
}
