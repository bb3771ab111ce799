package policy_test

import (
	"testing"
	"time"

	"sapphiretray/policy"
)

// newColdScheduler returns a scheduler with 6 slots, of which a request may begin every 100 ms for 3 s.
func newColdScheduler() *policy.Scheduler {
	s := policy.NewScheduler(6)
	s.LimitStarts(startTime, startTime, startTime.Add(3*time.Second), policy.StartTerms{Rate: 10, Burst: 1, Maximum: 14})
	return s
}

// TestSchedulerColdOrder guards against a start at a cold upstream that goes to a less urgent request while a more urgent one waits.
func TestSchedulerColdOrder(t *testing.T) {
	s := newColdScheduler()
	first, decision := s.Submit(startTime, jobSpec(2, time.Second), nil)
	if !decision.Admitted {
		t.Fatal("the first request doesn't begin")
	}
	s.Sent(startTime, first)
	var order []int
	submit := func(priority int, spec policy.JobSpec) {
		s.Submit(startTime, spec, func(d policy.Decision) {
			if d.Admitted {
				order = append(order, priority)
			}
		})
	}
	submit(2, jobSpec(2, time.Second))
	submit(1, jobSpec(1, time.Second))
	submit(0, nested(jobSpec(2, time.Second)))
	for n := range 3 {
		if len(order) != n {
			t.Errorf("%d requests began within %d00 ms", len(order), n)
		}
		s.Reschedule(startTime.Add(time.Duration(n+1) * 101 * time.Millisecond))
	}
	if len(order) != 3 || order[0] != 0 || order[1] != 1 || order[2] != 2 {
		t.Errorf("order %v, want the nested request, then the more urgent one", order)
	}
}

// TestSchedulerColdRefusals plays the load "a burst at a cold upstream". It guards against requests that wait although they can't begin in
// time, and against callers that are asked to return together, while the upstream is cold and has no room, or long after it is warm.
func TestSchedulerColdRefusals(t *testing.T) {
	s := newColdScheduler()
	var returns []time.Duration
	waiting := 0
	for range 200 {
		job, decision := s.Submit(startTime, jobSpec(1, 500*time.Millisecond), func(policy.Decision) {})
		switch {
		case job.Waiting():
			waiting++
		case !decision.Admitted:
			returns = append(returns, decision.RetryAfter)
		}
	}
	// A request takes 100 ms, so one that begins after 400 ms is in time.
	if waiting != 4 {
		t.Errorf("%d requests wait, want 4", waiting)
	}
	for n, after := range returns {
		if after > 4100*time.Millisecond {
			t.Errorf("a caller is asked to return after %v, 3 s after which the upstream is warm", after)
		}
		if n > 0 && after < 3*time.Second && after-returns[n-1] < 99*time.Millisecond {
			t.Errorf("refused callers are asked to return after %v and %v", returns[n-1], after)
		}
	}
	if len(returns) < 30 || returns[0] < 400*time.Millisecond {
		t.Errorf("%d requests were refused, the first for %v", len(returns), returns[0])
	}
}

// TestSchedulerColdAnnouncement guards against a body that is fetched for a request which can't begin in time at a cold upstream.
func TestSchedulerColdAnnouncement(t *testing.T) {
	s := newColdScheduler()
	for n := range 8 {
		_, decision := s.Announce(startTime, jobSpec(1, 500*time.Millisecond))
		if want := n < 5; decision.Admitted != want {
			t.Errorf("announcement %d admitted: %v, want %v", n, decision.Admitted, want)
		}
	}
}

// TestSchedulerColdWaits guards against a cold upstream whose free slots hide that no request may begin.
func TestSchedulerColdWaits(t *testing.T) {
	s := newColdScheduler()
	if waits := s.Waits(startTime); waits != nil {
		t.Errorf("waits %v before the first request", waits)
	}
	job, _ := s.Submit(startTime, jobSpec(1, time.Second), nil)
	s.Sent(startTime, job)
	waits := s.Waits(startTime)
	if len(waits) == 0 || waits[0].Round(time.Millisecond) != 100*time.Millisecond {
		t.Errorf("waits %v after a request, want 100ms", waits)
	}
}
