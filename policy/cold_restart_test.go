package policy_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sapphiretray/policy"
)

// Load of the pattern "all upstreams restart at once under full load".
const (
	restartUpstreams = 10
	restartSlots     = 6
	// coldTime is how long an upstream is cold after a start. Work takes twice as long then.
	coldTime = 3 * time.Second
	workTime = 200 * time.Millisecond
	// downTime is how long an upstream is down after it has failed, because more than coldBound requests arrived within a second while it
	// was cold.
	downTime  = 600 * time.Millisecond
	coldBound = 15
	// The upstreams can serve 30 requests a second each once they are warm.
	urgentPerSecond = 15
	otherPerSecond  = 10
	// maxReturnShare is the largest part of the remaining time after which a refused caller returns.
	maxReturnShare = 1.0 / 3
)

// coldUpstream is an upstream that fails under too many requests while it is cold, with its scheduler.
type coldUpstream struct {
	scheduler *policy.Scheduler
	started   time.Time
	arrivals  []time.Time
	running   []*restartRequest
	crashes   int
}

// restartRequest is a request of a caller.
type restartRequest struct {
	priority            int
	objective, deadline time.Time
	retry               bool
	job                 *policy.Job
	upstream            *coldUpstream
	// admitted is set once the scheduler has admitted the request, ends is when it will be served, and returns is when its caller comes
	// back after a refusal.
	admitted      bool
	ends, returns time.Time
}

// restartRun plays the pattern in steps of a millisecond.
type restartRun struct {
	limited   bool
	now       time.Time
	random    *rand.Rand
	upstreams []*coldUpstream
	returning []*restartRequest
	// sent, served and returns count by priority: requests, responses within the objective, and refused callers that were asked to return.
	sent, served [2]int
	returnTimes  []time.Time
	// warmAt is when the last upstream has been up for coldTime.
	warmAt time.Time
}

func (run *restartRun) start(u *coldUpstream) {
	u.started, u.arrivals = run.now, nil
	if run.limited {
		u.scheduler.LimitStarts(run.now, run.now, run.now.Add(coldTime), policy.NewStartTerms(5, 1.5, 7.5))
	}
}

// submit sends a request to an upstream.
func (run *restartRun) submit(r *restartRequest, u *coldUpstream) {
	r.upstream = u
	if run.now.Before(u.started) {
		run.refuse(r, u.started.Sub(run.now))
		return
	}
	job, decision := u.scheduler.Submit(run.now, policy.JobSpec{
		Priority: r.priority, Retry: r.retry, Objective: r.objective, Deadline: r.deadline, ServiceTime: run.workAt(u),
	}, func(d policy.Decision) { run.decide(r, d) })
	r.job = job
	if !job.Waiting() {
		run.decide(r, decision)
	}
}

// workAt returns how long a request takes that starts now.
func (run *restartRun) workAt(u *coldUpstream) time.Duration {
	if run.now.Sub(u.started) < coldTime {
		return 2 * workTime
	}
	return workTime
}

func (run *restartRun) decide(r *restartRequest, d policy.Decision) {
	if !d.Admitted {
		run.refuse(r, d.RetryAfter)
		return
	}
	r.admitted = true
	r.ends = run.now.Add(run.workAt(r.upstream))
	r.upstream.running = append(r.upstream.running, r)
}

// refuse makes a caller return once.
func (run *restartRun) refuse(r *restartRequest, after time.Duration) {
	limit := time.Duration(maxReturnShare * float64(r.deadline.Sub(run.now)))
	if r.retry || after > limit {
		return
	}
	r.retry, r.returns = true, run.now.Add(after)
	run.returning = append(run.returning, r)
	run.returnTimes = append(run.returnTimes, r.returns)
}

// arrive records the requests that have just been admitted as sent, and makes an upstream fail under too many of them.
func (run *restartRun) arrive(u *coldUpstream) {
	for _, r := range u.running {
		if r.admitted {
			r.admitted = false
			u.scheduler.Sent(run.now, r.job)
			u.arrivals = append(u.arrivals, run.now)
		}
	}
	u.arrivals = slices.DeleteFunc(u.arrivals, func(at time.Time) bool { return run.now.Sub(at) > time.Second })
	if run.now.Sub(u.started) >= coldTime || len(u.arrivals) <= coldBound {
		return
	}
	u.crashes++
	u.scheduler.RefuseAll(downTime)
	for _, r := range u.running {
		u.scheduler.Finish(run.now, r.job)
	}
	u.running, u.arrivals = nil, nil
	u.started = run.now.Add(downTime)
}

// step plays one millisecond.
func (run *restartRun) step() {
	for _, u := range run.upstreams {
		if u.started.Equal(run.now) {
			run.start(u)
		}
		var ended []*restartRequest
		u.running = slices.DeleteFunc(u.running, func(r *restartRequest) bool {
			if run.now.Before(r.ends) {
				return false
			}
			ended = append(ended, r)
			return true
		})
		for _, r := range ended {
			if !run.now.After(r.objective) {
				run.served[r.priority]++
			}
			u.scheduler.Finish(run.now, r.job)
		}
		u.scheduler.Reschedule(run.now)
		run.arrive(u)
	}
	returning := run.returning
	run.returning = nil
	for _, r := range returning {
		if run.now.Before(r.returns) {
			run.returning = append(run.returning, r)
			continue
		}
		run.submit(r, run.upstreams[run.random.IntN(restartUpstreams)])
	}
	for priority, rate := range []float64{urgentPerSecond, otherPerSecond} {
		if run.random.Float64() < rate*restartUpstreams/1000 {
			run.sent[priority]++
			run.submit(&restartRequest{
				priority: priority, objective: run.now.Add(time.Second), deadline: run.now.Add(3 * time.Second),
			}, run.upstreams[run.random.IntN(restartUpstreams)])
		}
	}
	for _, u := range run.upstreams {
		run.arrive(u)
	}
	run.now = run.now.Add(time.Millisecond)
}

func (run *restartRun) play(d time.Duration) *restartRun {
	run.now, run.random = startTime, rand.New(rand.NewPCG(3, 4))
	for range restartUpstreams {
		run.upstreams = append(run.upstreams, &coldUpstream{scheduler: policy.NewScheduler(restartSlots), started: startTime})
	}
	for range d.Milliseconds() {
		run.step()
	}
	for _, u := range run.upstreams {
		if warm := u.started.Add(coldTime); warm.After(run.warmAt) {
			run.warmAt = warm
		}
	}
	return run
}

func (run *restartRun) crashes() int {
	sum := 0
	for _, u := range run.upstreams {
		sum += u.crashes
	}
	return sum
}

// TestAllUpstreamsRestartUnderFullLoad plays the load "all upstreams restart at once under full load": all are cold and each gets more
// requests than it bears. It guards against upstreams that fail again and again, against urgent requests that are refused while others are
// served, and against refused callers that return together.
func TestAllUpstreamsRestartUnderFullLoad(t *testing.T) {
	before := (&restartRun{}).play(6 * time.Second)
	after := (&restartRun{limited: true}).play(6 * time.Second)
	share := func(run *restartRun, priority int) float64 {
		return float64(run.served[priority]) / float64(run.sent[priority])
	}
	for _, run := range []*restartRun{before, after} {
		t.Logf("limited %v: %d failures, urgent %.2f and others %.2f served in time, warm after %v", run.limited, run.crashes(),
			share(run, 0), share(run, 1), run.warmAt.Sub(startTime))
	}
	if before.crashes() < restartUpstreams {
		t.Errorf("without a limit, the upstreams failed only %d times", before.crashes())
	}
	if after.crashes() > 0 || after.warmAt.Sub(startTime) > coldTime {
		t.Errorf("%d failures, all warm after %v", after.crashes(), after.warmAt.Sub(startTime))
	}
	if share(after, 0) <= share(before, 0) || share(after, 0) <= share(after, 1) {
		t.Errorf("urgent %.2f served, others %.2f; %.2f of the urgent before", share(after, 0), share(after, 1), share(before, 0))
	}
	cold := slices.DeleteFunc(after.returnTimes, func(at time.Time) bool { return at.Sub(startTime) > coldTime })
	slices.SortFunc(cold, time.Time.Compare)
	// About 105 requests begin in a second at all upstreams, and 11 in a tenth of it.
	if got := mostWithin(cold, 100*time.Millisecond); got > 2*11 {
		t.Errorf("%d callers were asked to return within 100 ms", got)
	}
}
