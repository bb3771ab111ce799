package policy_test

import (
	"testing"
	"time"

	"sapphiretray/policy"
)

// TestThrottle guards against starting requests that will fail because an overloaded service refuses their nested calls, and against
// throttling that continues after the overload.
func TestThrottle(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	throttle := policy.NewThrottle(12)
	for range 10 {
		now = now.Add(250 * time.Millisecond)
		throttle.Observe(now, 0.3, 0.1)
	}
	if got := throttle.Limit(now); got > 2 {
		t.Errorf("limit %d after 2.5 s of pressure", got)
	}
	for range 10 {
		now = now.Add(250 * time.Millisecond)
		throttle.Observe(now, 0, 0.1)
	}
	if got := throttle.Limit(now); got < 8 || got > 12 {
		t.Errorf("limit %d after 2.5 s without pressure", got)
	}
	before := throttle.Limit(now)
	for range 4 {
		now = now.Add(250 * time.Millisecond)
		throttle.Observe(now, 0.3, 0.5)
	}
	if got := throttle.Limit(now); got < before {
		t.Errorf("limit %d after %d, although this service refuses a larger share than the called one", got, before)
	}
	if got := throttle.Limit(now.Add(time.Minute)); got != 12 {
		t.Errorf("limit %d after a minute without nested calls, want 12", got)
	}
}

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
