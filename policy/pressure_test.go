package policy_test

import (
	"testing"
	"time"

	"sapphiretray/policy"
)

// TestPressure guards against pressure caused by single refusals, and against pressure that remains after the overload.
func TestPressure(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var p policy.Pressure
	for n := range 100 {
		now = now.Add(20 * time.Millisecond)
		p.Observe(now, n%30 == 29)
	}
	if got := p.Share(now); got > 0.06 {
		t.Errorf("pressure %.2f at 3%% refusals", got)
	}
	for n := range 100 {
		now = now.Add(20 * time.Millisecond)
		p.Observe(now, n%3 == 0)
	}
	if got := p.Share(now); got < 0.2 {
		t.Errorf("pressure %.2f at 33%% refusals", got)
	}
	if got := p.Share(now.Add(10 * time.Second)); got > 0.05 {
		t.Errorf("pressure %.2f ten seconds later", got)
	}
}
