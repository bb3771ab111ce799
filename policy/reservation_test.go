package policy_test

import (
	"testing"
	"time"

	"sapphiretray/policy"
)

// TestNestedRequestsBesideLongOnes guards against slots that long requests take all at once, so that nested requests, which take little
// time and can't wait long, fail. The arrivals are those of an upstream with 6 slots that is used to two thirds: six requests of
// 550 ms at once every 840 ms, beside a nested one of 50 ms every 90 ms.
func TestNestedRequestsBesideLongOnes(t *testing.T) {
	const (
		step  = 5 * time.Millisecond
		long  = 550 * time.Millisecond
		short = 50 * time.Millisecond
	)
	s := policy.NewScheduler(6)
	type run struct {
		job  *policy.Job
		ends time.Time
	}
	var running []run
	now := startTime
	refused, submitted, served, longest := 0, 0, 0, time.Duration(0)
	submit := func(spec policy.JobSpec) {
		arrived := now
		var job *policy.Job
		begin := func(d policy.Decision) {
			switch {
			case d.Admitted && spec.Nested:
				longest = max(longest, now.Sub(arrived))
				fallthrough
			case d.Admitted:
				running = append(running, run{job, now.Add(spec.ServiceTime)})
				if !spec.Nested {
					served++
				}
			case spec.Nested:
				refused++
			}
		}
		var d policy.Decision
		job, d = s.Submit(now, spec, func(d policy.Decision) { begin(d) })
		if !job.Waiting() {
			begin(d)
		}
	}
	for n := range 2000 {
		now = startTime.Add(time.Duration(n) * step)
		due := running
		running = nil
		for _, r := range due {
			if r.ends.After(now) {
				running = append(running, r)
				continue
			}
			s.Finish(now, r.job)
		}
		s.Reschedule(now)
		if n%168 == 30 {
			for range 6 {
				submitted++
				submit(policy.JobSpec{
					Priority: 2, Objective: now.Add(3 * time.Second), Deadline: now.Add(6 * time.Second), ServiceTime: long,
				})
			}
		}
		if n%18 == 0 {
			submit(policy.JobSpec{
				Nested: true, Objective: now.Add(200 * time.Millisecond), Deadline: now.Add(300 * time.Millisecond), ServiceTime: short,
			})
		}
	}
	if refused > 0 || longest > 150*time.Millisecond {
		t.Errorf("%d nested requests refused, the longest wait was %v, of 150 ms that leave time for the response", refused, longest)
	}
	if served < submitted-6 {
		t.Errorf("%d of %d long requests began", served, submitted)
	}
}

// TestReservationEnds guards against a slot that stays idle although no nested requests come any more.
func TestReservationEnds(t *testing.T) {
	s := policy.NewScheduler(2)
	job, _ := s.Submit(startTime, nested(jobSpec(0, 200*time.Millisecond)), nil)
	s.Finish(startTime.Add(50*time.Millisecond), job)
	long := jobSpec(1, 3*time.Second)
	long.ServiceTime = time.Second
	s.Submit(startTime.Add(50*time.Millisecond), long, nil)
	second, decision := s.Submit(startTime.Add(50*time.Millisecond), long, func(policy.Decision) {})
	if decision.Admitted {
		t.Fatal("a long request took the last slot just after a nested request")
	}
	s.Reschedule(startTime.Add(1200 * time.Millisecond))
	if second.Waiting() {
		t.Error("a long request waits for a free slot 1.2 s after the last nested request")
	}
}
