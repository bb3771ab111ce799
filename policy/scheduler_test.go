package policy_test

import (
	"slices"
	"testing"
	"time"

	"sapphiretray/policy"
)

// startTime is the arbitrary time at which the tests begin.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// jobSpec describes a request that takes 100 ms and has a deadline of twice its objective.
func jobSpec(priority int, objective time.Duration) policy.JobSpec {
	return policy.JobSpec{
		Priority: priority, Objective: startTime.Add(objective), Deadline: startTime.Add(2 * objective),
		ServiceTime: 100 * time.Millisecond,
	}
}

// fillSlots submits requests until all slots are in use.
func fillSlots(t *testing.T, s *policy.Scheduler) []*policy.Job {
	t.Helper()
	jobs := make([]*policy.Job, 0, s.Slots())
	for range s.Slots() {
		job, decision := s.Submit(startTime, jobSpec(1, time.Second), nil)
		if !decision.Admitted {
			t.Fatalf("a request was refused while a slot was free: %+v", decision)
		}
		jobs = append(jobs, job)
	}
	return jobs
}

// TestSchedulerSlots guards against sending an upstream more requests than it has slots, since a full upstream may never respond.
func TestSchedulerSlots(t *testing.T) {
	s := policy.NewScheduler(2)
	fillSlots(t, s)
	job, decision := s.Submit(startTime, jobSpec(1, time.Second), func(policy.Decision) {})
	if decision.Admitted || !job.Waiting() || s.Running() != 2 {
		t.Errorf("third request at two slots: admitted %v, waiting %v, running %d", decision.Admitted, job.Waiting(), s.Running())
	}
}

// TestSchedulerOrder guards against a free slot that goes to a less urgent, later or late request while a more urgent one waits.
func TestSchedulerOrder(t *testing.T) {
	tests := []struct {
		name    string
		jobSpec policy.JobSpec
		other   policy.JobSpec
	}{
		{"more urgent first", jobSpec(0, time.Second), jobSpec(1, time.Second)},
		{"earlier objective first", jobSpec(1, 900*time.Millisecond), jobSpec(1, time.Second)},
		{"nested first", nested(jobSpec(2, time.Second)), jobSpec(0, time.Second)},
		{"on time before late", jobSpec(1, time.Second), retry(jobSpec(1, 50*time.Millisecond))},
		{"urgent and late before less urgent", retry(jobSpec(0, 150*time.Millisecond)), jobSpec(1, time.Second)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := policy.NewScheduler(1)
			running := fillSlots(t, s)[0]
			var first, second bool
			s.Submit(startTime, test.other, func(d policy.Decision) { second = d.Admitted })
			s.Submit(startTime, test.jobSpec, func(d policy.Decision) { first = d.Admitted })
			s.Finish(startTime.Add(100*time.Millisecond), running)
			if !first || second {
				t.Errorf("admitted %v, the other %v", first, second)
			}
		})
	}
}

func nested(spec policy.JobSpec) policy.JobSpec {
	spec.Nested = true
	return spec
}

func retry(spec policy.JobSpec) policy.JobSpec {
	spec.Retry = true
	return spec
}

// TestSchedulerRefusesInfeasible guards against queueing requests that can't be served within their objective: they would make
// others late, too.
func TestSchedulerRefusesInfeasible(t *testing.T) {
	s := policy.NewScheduler(1)
	fillSlots(t, s)
	// The slot is free after 100 ms, so a response takes 200 ms.
	_, decision := s.Submit(startTime, jobSpec(1, 150*time.Millisecond), nil)
	if decision.Admitted || decision.RetryAfter != 100*time.Millisecond {
		t.Errorf("decision %+v, want a refusal with a retry after 100 ms", decision)
	}
	if s.Waiting() != 0 {
		t.Errorf("%d requests wait", s.Waiting())
	}
}

// TestSchedulerRefusesWaitingOnceInfeasible guards against a waiting request that can't be served in time any more after a more
// urgent one has arrived. It must be refused at once.
func TestSchedulerRefusesWaitingOnceInfeasible(t *testing.T) {
	s := policy.NewScheduler(1)
	fillSlots(t, s)
	var decision *policy.Decision
	s.Submit(startTime, jobSpec(2, 250*time.Millisecond), func(d policy.Decision) { decision = &d })
	s.Submit(startTime, jobSpec(0, 250*time.Millisecond), func(policy.Decision) {})
	if decision == nil || decision.Admitted {
		t.Fatalf("decision %v, want a refusal", decision)
	}
	if s.Waiting() != 1 {
		t.Errorf("%d requests wait, want the urgent one", s.Waiting())
	}
}

// TestSchedulerRetryMayBeLate guards against the refusal of a retry that can still be served before its deadline, since the
// caller doesn't retry again.
func TestSchedulerRetryMayBeLate(t *testing.T) {
	s := policy.NewScheduler(1)
	fillSlots(t, s)
	job, _ := s.Submit(startTime, retry(jobSpec(1, 150*time.Millisecond)), func(policy.Decision) {})
	if !job.Waiting() {
		t.Error("a retry that can be served before its deadline doesn't wait")
	}
	spec := retry(jobSpec(1, 150*time.Millisecond))
	spec.Deadline = startTime.Add(150 * time.Millisecond)
	if job, _ := s.Submit(startTime, spec, func(policy.Decision) {}); job.Waiting() {
		t.Error("a retry that can't be served before its deadline waits")
	}
}

// TestSchedulerFreeSlotIsUsed guards against refusals while slots are free, when the upstream is slower than the objective.
func TestSchedulerFreeSlotIsUsed(t *testing.T) {
	s := policy.NewScheduler(1)
	spec := jobSpec(1, 50*time.Millisecond)
	if _, decision := s.Submit(startTime, spec, nil); !decision.Admitted {
		t.Errorf("decision %+v, want admission", decision)
	}
}

// TestSchedulerWithdraw guards against admitting a request whose caller has disconnected.
func TestSchedulerWithdraw(t *testing.T) {
	s := policy.NewScheduler(1)
	running := fillSlots(t, s)[0]
	decided := false
	job, _ := s.Submit(startTime, jobSpec(1, time.Second), func(policy.Decision) { decided = true })
	s.Withdraw(job)
	s.Finish(startTime.Add(time.Millisecond), running)
	if decided || s.Running() != 0 {
		t.Errorf("decided %v, running %d", decided, s.Running())
	}
}

// TestSchedulerRefuseAll guards against requests that keep waiting for an upstream that is down.
func TestSchedulerRefuseAll(t *testing.T) {
	s := policy.NewScheduler(1)
	fillSlots(t, s)
	var decision policy.Decision
	s.Submit(startTime, jobSpec(1, time.Second), func(d policy.Decision) { decision = d })
	s.RefuseAll(300 * time.Millisecond)
	if decision.RetryAfter != 300*time.Millisecond || s.Waiting() != 0 {
		t.Errorf("decision %+v, waiting %d", decision, s.Waiting())
	}
}

// TestSchedulerFreesStalledSlots guards against slots that stay in use until the deadline because the upstream never responds to
// requests that it can't queue, and against slow requests that count as stalled although no later request has ended.
func TestSchedulerFreesStalledSlots(t *testing.T) {
	const service = 20 * time.Millisecond
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name string
		// ends is the number of later requests that end, each after 1 ms.
		ends    int
		age     time.Duration
		stalled bool
	}{
		{"running long, overtaken by 10", 10, 15 * service, true},
		{"running briefly, overtaken by 10", 10, 2 * service, false},
		{"running long, not overtaken", 0, 20 * service, false},
		{"running long, overtaken by 2", 2, 20 * service, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := policy.NewScheduler(2)
			jobSpec := policy.JobSpec{Objective: start.Add(time.Minute), Deadline: start.Add(time.Minute), ServiceTime: service}
			if _, decision := s.Submit(start, jobSpec, nil); !decision.Admitted {
				t.Fatal("not admitted")
			}
			for n := range test.ends {
				now := start.Add(test.age * time.Duration(n+1) / time.Duration(test.ends))
				job, decision := s.Submit(now.Add(-time.Millisecond), jobSpec, nil)
				if !decision.Admitted {
					t.Fatal("not admitted")
				}
				s.Finish(now, job)
			}
			now := start.Add(test.age)
			admitted := 0
			for range 3 {
				if _, decision := s.Submit(now, jobSpec, func(policy.Decision) {}); decision.Admitted {
					admitted++
				}
			}
			want := 1
			if test.stalled {
				want = 2
			}
			if admitted != want {
				t.Errorf("%d more admitted, want %d", admitted, want)
			}
		})
	}
}

// TestWaits guards against urgent requests that avoid an upstream because less urgent ones wait there.
func TestWaits(t *testing.T) {
	const service = 100 * time.Millisecond
	job := func(now time.Time, priority int) policy.JobSpec {
		return policy.JobSpec{Priority: priority, Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute), ServiceTime: service}
	}
	tests := []struct {
		name string
		// jobs are the priorities of the requests that run in two slots and wait.
		jobs []int
		want []time.Duration
	}{
		{"idle", nil, nil},
		{"a free slot", []int{0}, nil},
		{"full", []int{0, 0}, []time.Duration{service}},
		{"urgent requests wait", []int{0, 0, 0, 0}, []time.Duration{2 * service}},
		{"less urgent requests wait", []int{0, 0, 2, 2, 2, 2}, []time.Duration{service, service, 3 * service}},
		{"least urgent requests wait", []int{0, 0, 9, 9}, []time.Duration{service, service, service, service}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := policy.NewScheduler(2)
			for _, priority := range test.jobs {
				s.Submit(now, job(now, priority), func(policy.Decision) {})
			}
			if got := s.Waits(now); !slices.Equal(got, test.want) {
				t.Errorf("waits %v, want %v", got, test.want)
			}
		})
	}
}
