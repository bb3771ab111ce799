package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	// overdueShare is the share of the expected service time that a request is assumed to still need once it has exceeded that time.
	overdueShare = 0.3
	// minRetryAfter is the shortest delay that a refused caller is told to wait. It covers the round trip to the caller.
	minRetryAfter = 50 * time.Millisecond
	// lateQueueFactor bounds the queued requests that are expected to miss their objective, in multiples of the slots.
	lateQueueFactor = 1
	// A running request is stalled once it has run for stallFactor times its expected service time, and for at least stallMinimum,
	// while at least stallOvertakers requests that started later have ended. Regular service times vary by less than stallFactor; at a
	// factor of 5, one in a hundred requests that were still served counted as stalled. An upstream that is slow as a whole doesn't
	// end later requests either.
	stallFactor     = 12
	stallMinimum    = 100 * time.Millisecond
	stallOvertakers = 3
)

// JobSpec describes a request that is submitted to a Scheduler.
type JobSpec struct {
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Nested is set for a request that an upstream sent while it served another request, whose slot stays in use meanwhile.
	Nested bool
	// Retry is set for the retry of a refused request. Its caller doesn't retry again.
	Retry bool
	// Objective is the time by which the response should arrive, Deadline the time at which the caller gives up.
	Objective time.Time
	Deadline  time.Time
	// ServiceTime is the time that the upstream is expected to need.
	ServiceTime time.Duration
}

// Decision is the outcome for a job that doesn't wait: it is either admitted or refused.
type Decision struct {
	// Admitted is set if the request holds a slot, until Finish is called.
	Admitted bool
	// RetryAfter is the delay after which a refused request is expected to get a slot.
	RetryAfter time.Duration
}

// Job is a request at a Scheduler: waiting, running or done.
type Job struct {
	spec       JobSpec
	sequence   uint64
	started    time.Time
	state      jobState
	onDecision func(Decision)
	// overtakers is the number of requests that started later and have ended.
	overtakers int
	// stalled is set for a running request that the upstream has presumably dropped. It doesn't count as using a slot.
	stalled bool
	// start counts a running request in Scheduler.starts.
	start *Start
}

type jobState int

const (
	jobWaiting jobState = iota
	jobRunning
	jobDone
)

// Scheduler admits requests to an upstream that runs a fixed number of requests at once. A request waits only while it is expected
// to be served within its objective. Otherwise it is refused at once, with the delay after which a slot is expected, so that its
// caller can retry then. A retry may also wait for a late response, because its caller doesn't retry again.
//
// Nested requests are started first, and the last free slot is kept for them while the others are held by long requests. Then the order is
// by priority, then requests that can still meet their objective before those that can't, then by objective. Late responses are worth less,
// so they must not make others late.
//
// Some upstreams never respond to a request that they can't queue. It would hold its slot until its deadline, so the slot of a stalled
// request is freed, while its response is still awaited.
//
// Unlike AdmissionController, whose limit adapts to the latency, a Scheduler has a fixed number of slots. It isn't safe for concurrent use.
// Create it with NewScheduler.
type Scheduler struct {
	slots    int
	sequence uint64
	running  []*Job
	waiting  []*Job
	// announced holds the requests that will be submitted once their bodies have arrived.
	announced   []*Job
	reservation reservation
	// starts limits the requests that begin while the upstream is cold.
	starts StartLimit
}

// NewScheduler returns a scheduler for an upstream with the given number of slots, at least 1.
func NewScheduler(slots int) *Scheduler { return &Scheduler{slots: max(slots, 1)} }

// SetSlots changes the number of requests that may run at once. Running requests aren't affected.
func (s *Scheduler) SetSlots(now time.Time, slots int) {
	s.slots = max(slots, 1)
	s.Reschedule(now)
}

// Slots returns the number of requests that may run at once.
func (s *Scheduler) Slots() int { return s.slots }

// Running returns the number of admitted requests.
func (s *Scheduler) Running() int { return len(s.running) }

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// Submit admits, queues or refuses a request. If the returned job is waiting, onDecision is called once later, unless Withdraw is
// called first; otherwise the returned decision is final.
func (s *Scheduler) Submit(now time.Time, jobSpec JobSpec, onDecision func(Decision)) (*Job, Decision) {
	s.sequence++
	j := &Job{spec: jobSpec, sequence: s.sequence}
	if !jobSpec.Deadline.After(now) {
		j.state = jobDone
		return j, Decision{RetryAfter: minRetryAfter}
	}
	s.reservation.observe(now, jobSpec)
	if s.usedSlots() < s.slots && len(s.waiting) == 0 && s.starts.Allows(now) && !s.isReserved(now, jobSpec) {
		s.start(now, j)
		return j, Decision{Admitted: true}
	}
	s.waiting = append(s.waiting, j)
	s.Reschedule(now)
	switch j.state {
	case jobRunning:
		return j, Decision{Admitted: true}
	case jobDone:
		return j, Decision{RetryAfter: s.retryAfter(now, now.Add(s.ExpectedWait(now)), jobSpec)}
	default:
		j.onDecision = onDecision
		return j, Decision{}
	}
}

// Announce decides whether to fetch the body of a request before it is submitted, so that no slot is idle during the transfer and
// no body is transferred for a request that would be refused. An admitted request holds no slot, but counts in the predictions of
// later Announce calls until Retract is called.
func (s *Scheduler) Announce(now time.Time, jobSpec JobSpec) (*Job, Decision) {
	j := &Job{spec: jobSpec, state: jobDone}
	start := s.expectedStart(now, j)
	end := start.Add(jobSpec.ServiceTime)
	if end.After(jobSpec.Deadline) || end.After(jobSpec.Objective) && !jobSpec.Retry && !jobSpec.Nested && start.After(now) {
		return j, Decision{RetryAfter: s.retryAfter(now, start, jobSpec)}
	}
	s.announced = append(s.announced, j)
	return j, Decision{Admitted: true}
}

// WaitFor returns how long a request would be expected to wait for a slot if it were submitted now, behind the requests that go before it.
func (s *Scheduler) WaitFor(now time.Time, jobSpec JobSpec) time.Duration {
	return s.expectedStart(now, &Job{spec: jobSpec, sequence: s.sequence + 1}).Sub(now)
}

// maxReportedPriority bounds the priorities for which Waits tells the wait.
const maxReportedPriority = 3

// Waits returns how long a request of each priority, the most urgent first, would be expected to wait for a slot. Less urgent requests
// wait as long as those of the last priority. It returns nil while nothing waits and a request would start at once.
func (s *Scheduler) Waits(now time.Time) []time.Duration {
	if len(s.waiting) == 0 && s.usedSlots() < s.slots && s.starts.Allows(now) {
		return nil
	}
	last := 0
	for _, j := range s.waiting {
		last = max(last, min(j.spec.Priority, maxReportedPriority))
	}
	jobs := slices.Concat(s.waiting, s.announced)
	slices.SortFunc(jobs, func(a, b *Job) int { return compareJobs(now, a, b) })
	f := s.forecast(now)
	waits := make([]time.Duration, 0, last+1)
	for priority := range last + 1 {
		// Requests of the same priority go first.
		for len(jobs) > 0 && (jobs[0].spec.Nested || jobs[0].spec.Priority <= priority) {
			f.add(jobs[0].spec.ServiceTime)
			jobs = jobs[1:]
		}
		waits = append(waits, max(f.next().Sub(now), 0))
	}
	return waits
}

// expectedStart returns when a request is expected to get a slot that is queued now. The announced requests before it count, too.
func (s *Scheduler) expectedStart(now time.Time, j *Job) time.Time {
	f := s.forecast(now)
	for _, others := range [][]*Job{s.waiting, s.announced} {
		for _, other := range others {
			if compareJobs(now, other, j) <= 0 {
				f.add(other.spec.ServiceTime)
			}
		}
	}
	if len(f.free) > 1 && !f.free[0].After(now) && s.isReserved(now, j.spec) {
		f.free[0] = f.free[1]
	}
	return f.next()
}

// Retract removes an announced request, before it is submitted or given up.
func (s *Scheduler) Retract(j *Job) {
	s.announced = slices.DeleteFunc(s.announced, func(other *Job) bool { return other == j })
}

// Finish frees the slot of an admitted request.
func (s *Scheduler) Finish(now time.Time, j *Job) {
	if j.state != jobRunning {
		return
	}
	j.state = jobDone
	if j.start.sent.IsZero() {
		s.starts.Discard(j.start)
	}
	s.running = slices.DeleteFunc(s.running, func(other *Job) bool { return other == j })
	s.detectStalled(now, j)
	if len(s.waiting) > 0 {
		s.Reschedule(now)
	}
}

// detectStalled counts the end of a request for the running ones that started before it, and marks those that are stalled.
func (s *Scheduler) detectStalled(now time.Time, ended *Job) {
	if ended.stalled {
		return
	}
	for _, j := range s.running {
		if j.started.Before(ended.started) {
			j.overtakers++
		}
		limit := max(stallFactor*j.spec.ServiceTime, stallMinimum)
		if j.stalled || j.overtakers < stallOvertakers || now.Sub(j.started) < limit {
			continue
		}
		j.stalled = true
	}
}

// usedSlots returns the number of slots in use.
func (s *Scheduler) usedSlots() int {
	usedSlots := 0
	for _, j := range s.running {
		if !j.stalled {
			usedSlots++
		}
	}
	return usedSlots
}

// Withdraw removes a waiting request whose caller has left.
func (s *Scheduler) Withdraw(j *Job) {
	if j.state != jobWaiting {
		return
	}
	j.state = jobDone
	s.waiting = slices.DeleteFunc(s.waiting, func(other *Job) bool { return other == j })
}

// Reschedule sorts the waiting requests, refuses those that can't be served in time any more, and starts others in free slots.
func (s *Scheduler) Reschedule(now time.Time) {
	slices.SortFunc(s.waiting, func(a, b *Job) int { return compareJobs(now, a, b) })
	s.refuseInfeasible(now)
	s.startWaiting(now)
}

// RefuseAll refuses all waiting requests, for example because the upstream is down.
func (s *Scheduler) RefuseAll(retryAfter time.Duration) {
	waiting := s.waiting
	s.waiting = nil
	for _, j := range waiting {
		s.refuse(j, retryAfter)
	}
}

// ExpectedWait returns how long a new request at the end of the queue is expected to wait for a slot, and at least minRetryAfter.
func (s *Scheduler) ExpectedWait(now time.Time) time.Duration {
	f := s.forecast(now)
	for _, j := range s.waiting {
		f.add(j.spec.ServiceTime)
	}
	return max(f.next().Sub(now), minRetryAfter)
}

// startWaiting starts waiting requests in order while slots are free.
func (s *Scheduler) startWaiting(now time.Time) {
	for s.usedSlots() < s.slots && s.starts.Allows(now) {
		n, ok := s.nextToStart(now)
		if !ok {
			return
		}
		j := s.waiting[n]
		s.waiting = slices.Delete(s.waiting, n, n+1)
		if !j.spec.Deadline.After(now) {
			s.refuse(j, minRetryAfter)
			continue
		}
		s.start(now, j)
		if j.onDecision != nil {
			j.onDecision(Decision{Admitted: true})
		}
	}
}

func (s *Scheduler) start(now time.Time, j *Job) {
	j.state, j.started, j.start = jobRunning, now, s.starts.Begin(now)
	s.running = append(s.running, j)
}

// refuseInfeasible predicts when each request of the sorted queue would start, and refuses those that can't be served in time.
func (s *Scheduler) refuseInfeasible(now time.Time) {
	f := s.forecast(now)
	late := 0
	var refused []*Job
	s.waiting = slices.DeleteFunc(s.waiting, func(j *Job) bool {
		if len(f.free) > 1 && !f.free[0].After(now) && s.isReserved(now, j.spec) {
			f.free[0] = f.free[1]
		}
		start := f.next()
		end := start.Add(j.spec.ServiceTime)
		if end.After(j.spec.Objective) {
			late++
			// A slot that is free now is used in any case, since a late response is better than none.
			mayBeLate := (j.spec.Retry || j.spec.Nested || !start.After(now)) && late <= lateQueueFactor*s.slots
			if !mayBeLate || end.After(j.spec.Deadline) {
				refused = append(refused, j)
				return true
			}
		}
		f.add(j.spec.ServiceTime)
		return false
	})
	for _, j := range refused {
		s.refuse(j, s.retryAfter(now, f.next(), j.spec))
	}
}

func (s *Scheduler) refuse(j *Job, retryAfter time.Duration) {
	j.state = jobDone
	if j.onDecision != nil {
		j.onDecision(Decision{RetryAfter: retryAfter})
	}
}

// slotFreeTimes returns the times at which the slots are expected to become free, earliest first.
func (s *Scheduler) slotFreeTimes(now time.Time) []time.Time {
	free := make([]time.Time, 0, max(s.slots, len(s.running)))
	for _, j := range s.running {
		if j.stalled {
			continue
		}
		end := j.started.Add(j.spec.ServiceTime)
		if overdue := now.Add(time.Duration(overdueShare * float64(j.spec.ServiceTime))); end.Before(overdue) {
			end = overdue
		}
		free = append(free, end)
	}
	for len(free) < s.slots {
		free = append(free, now)
	}
	slices.SortFunc(free, time.Time.Compare)
	if len(free) > s.slots {
		// After the number of slots was reduced, more requests may run than there are slots. The first ones to end free none.
		free = free[len(free)-s.slots:]
	}
	return free
}

// occupyEarliest assigns the slot that becomes free first to a request, and restores the order of the times.
func occupyEarliest(free []time.Time, service time.Duration) {
	busyUntil := free[0].Add(service)
	n := 1
	for n < len(free) && free[n].Before(busyUntil) {
		free[n-1] = free[n]
		n++
	}
	free[n-1] = busyUntil
}

// missesObjective reports whether the request would miss its objective even if it started now.
func (j *Job) missesObjective(now time.Time) bool {
	return now.Add(j.spec.ServiceTime).After(j.spec.Objective)
}

// compareJobs orders waiting requests; negative means that a starts before b.
func compareJobs(now time.Time, a, b *Job) int {
	return cmp.Or(
		-compareBool(a.spec.Nested, b.spec.Nested),
		cmp.Compare(a.spec.Priority, b.spec.Priority),
		compareBool(a.missesObjective(now), b.missesObjective(now)),
		a.spec.Objective.Compare(b.spec.Objective),
		cmp.Compare(a.sequence, b.sequence),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// Waiting reports whether the request waits.
func (j *Job) Waiting() bool { return j.state == jobWaiting }
