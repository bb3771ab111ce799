package policy

import (
	"math"
	"time"

	"sapphiretray/code"
)

const (
	defaultQueueFactor   = 8
	defaultMaximumFactor = 4
	meanWeight           = 0.1
	// A request that ran for less than this multiple of the usual time was cut off by its deadline, not by the upstream.
	cutOffFactor = 2
	// The estimate of the service time follows about the fastest quarter of the requests, since one importance may hold
	// slow and fast kinds, and a fast request must not be rejected for the slow ones.
	serviceGrowth = 1.03
	serviceShrink = 0.9
	// A rejection lowers the estimate that caused it, so that an estimate that has become too high recovers even if no
	// request is admitted that would correct it.
	estimateDecay = 0.98
)

// The errors are created once: creating one takes about 3 µs, and under overload most requests are rejected.
var (
	errShed    = code.New(code.Shed, "more important requests fill the queue")
	errTooLate = code.New(code.TooLate, "the deadline passes before the request can finish")
)

// Admission decides which requests run at one upstream, which wait, and which are rejected. It is not safe for
// concurrent use; Limiter is. The zero value admits everything.
type Admission struct {
	limit     adaptiveLimit
	maxQueue  int
	queue     queue
	sequence  uint64
	inFlight  int
	slowStart SlowStart
	mean      float64                    // Seconds of service, all requests.
	service   [MaxImportance + 1]float64 // Seconds of service; importance stands for the kind of request.
	counts    Counts
}

// Counts are an Admission's totals, indexed by importance where they are arrays.
type Counts struct {
	Admitted [MaxImportance + 1]uint64
	Shed     [MaxImportance + 1]uint64
	Late     [MaxImportance + 1]uint64
}

// Option changes a setting of NewAdmission and NewLimiter.
type Option func(*Admission)

// WithMaximum sets the highest value that the adapted limit can reach. The default is 4 times the slots.
func WithMaximum(limit int) Option {
	return func(a *Admission) { a.limit.maximum = max(float64(limit), 1) }
}

// WithQueue sets how many requests can wait. The default is 8 times the slots.
func WithQueue(length int) Option {
	return func(a *Admission) { a.maxQueue = max(length, 0) }
}

// NewAdmission returns the admission to an upstream that runs the given number of requests at once. A number below 1
// means no limit.
func NewAdmission(slots int, options ...Option) *Admission {
	if slots < 1 {
		return &Admission{}
	}
	a := &Admission{limit: newAdaptiveLimit(slots, defaultMaximumFactor*slots), maxQueue: defaultQueueFactor * slots}
	for _, option := range options {
		option(a)
	}
	a.limit.value = min(a.limit.value, a.limit.maximum)
	return a
}

// ColdStart lowers the limit for a time, during which it grows back to its full value.
func (a *Admission) ColdStart(now time.Time, duration time.Duration) {
	a.slowStart.Start(now, duration)
}

// Limit returns the number of requests that may run at once, and 0 if there is no limit.
func (a *Admission) Limit(now time.Time) int {
	if a.limit.value == 0 {
		return 0
	}
	return max(1, int(a.limit.value*a.slowStart.WeightAt(now)))
}

// InFlight returns the number of running requests.
func (a *Admission) InFlight() int { return a.inFlight }

// Queued returns the number of waiting requests.
func (a *Admission) Queued() int { return a.queue.len() }

// Counts returns the totals since the start.
func (a *Admission) Counts() Counts { return a.counts }

// Enter offers a request. The result is a running or waiting ticket, or an error with code.Shed or code.TooLate. A zero
// deadline means none. The result of a waiting ticket is passed to decided once: nil when it runs, or such an error.
// It is not called for a ticket that Leave or Cancel
// removes.
func (a *Admission) Enter(now time.Time, importance int, deadline time.Time, decided func(error)) (*Ticket, error) {
	a.sequence++
	ticket := &Ticket{
		importance: clampImportance(importance), deadline: deadline, sequence: a.sequence, index: notQueued, decided: decided,
	}
	a.grant(now)
	if a.cannotFinish(now, ticket, a.waitTime(now, ticket)) {
		return nil, a.late(ticket)
	}
	if a.queue.len() == 0 && a.hasRoom(now) {
		a.run(ticket)
		return ticket, nil
	}
	if len(a.queue.tickets) >= a.maxQueue {
		a.Expire(now)
	}
	a.queue.push(ticket)
	if len(a.queue.tickets) <= a.maxQueue {
		return ticket, nil
	}
	return a.shedLast(ticket)
}

// shedLast makes room for a ticket that was just queued.
func (a *Admission) shedLast(arrived *Ticket) (*Ticket, error) {
	victim := a.queue.last()
	a.queue.remove(victim)
	if a.queue.reserve == nil && a.maxQueue > 0 {
		a.queue.reserve = victim
		return arrived, nil
	}
	a.counts.Shed[victim.importance]++
	victim.state = ticketDone
	if victim == arrived {
		return nil, errShed
	}
	victim.decided(errShed)
	return arrived, nil
}

// Leave ends a ticket. For a running one, latency and ok describe the upstream's work; ok is false when the upstream
// shed the request, timed out or failed to answer. Leave does nothing for a ticket that has ended.
func (a *Admission) Leave(now time.Time, ticket *Ticket, latency time.Duration, ok bool) {
	if ticket.state == ticketRunning && a.limit.value > 0 && (ok || !a.cutOff(now, ticket, latency)) {
		a.limit.observe(now, ticket.importance, a.inFlight, latency, ok)
	}
	a.leave(now, ticket, latency, ok)
}

// cutOff reports whether a request failed because it started too close to its deadline. Counting that as a failure of
// the upstream would shrink the limit under overload, which makes more requests start late.
func (a *Admission) cutOff(now time.Time, ticket *Ticket, latency time.Duration) bool {
	return later(now, ticket.deadline) && latency.Seconds() <= cutOffFactor*math.Exp(a.limit.baseline[ticket.importance])
}

// Cancel ends a ticket whose caller gave up after the given latency. This is not a failure of the upstream.
func (a *Admission) Cancel(now time.Time, ticket *Ticket, latency time.Duration) {
	a.leave(now, ticket, latency, false)
}

func (a *Admission) leave(now time.Time, ticket *Ticket, latency time.Duration, ok bool) {
	switch ticket.state {
	case ticketDone:
		return
	case ticketWaiting:
		a.queue.remove(ticket)
	case ticketRunning:
		a.learn(ticket.importance, latency.Seconds(), ok)
		a.inFlight--
	}
	ticket.state = ticketDone
	a.grant(now)
}

// Expire rejects the waiting requests whose deadline has passed.
func (a *Admission) Expire(now time.Time) {
	for _, ticket := range a.queue.removeIf(func(t *Ticket) bool { return later(now, t.deadline) }) {
		ticket.decided(a.late(ticket))
	}
}

func (a *Admission) hasRoom(now time.Time) bool {
	return a.limit.value == 0 || a.inFlight < a.Limit(now)
}

func (a *Admission) grant(now time.Time) {
	for a.queue.len() > 0 && a.hasRoom(now) {
		ticket := a.queue.next()
		if a.cannotFinish(now, ticket, 0) {
			ticket.decided(a.late(ticket))
			continue
		}
		a.run(ticket)
		ticket.decided(nil)
	}
}

func (a *Admission) run(ticket *Ticket) {
	ticket.state = ticketRunning
	a.inFlight++
	a.counts.Admitted[ticket.importance]++
}

func (a *Admission) late(ticket *Ticket) error {
	ticket.state = ticketDone
	a.counts.Late[ticket.importance]++
	return errTooLate
}

// waitTime estimates how long a new ticket waits for a slot.
func (a *Admission) waitTime(now time.Time, ticket *Ticket) time.Duration {
	if a.hasRoom(now) {
		return 0
	}
	grants := a.queue.ahead(ticket) + 1
	if len(a.queue.tickets) >= a.maxQueue && a.queue.reserve == nil {
		grants = min(grants, 2*turnInterval)
	}
	return seconds(a.mean * float64(grants) / float64(a.Limit(now)))
}

// cannotFinish reports whether the deadline passes before the request would finish. An idle upstream gets every request
// whose deadline has not passed, since nothing else would correct the estimates.
func (a *Admission) cannotFinish(now time.Time, ticket *Ticket, wait time.Duration) bool {
	if ticket.deadline.IsZero() {
		return false
	}
	left := ticket.deadline.Sub(now)
	if left <= 0 {
		return true
	}
	if a.inFlight == 0 {
		return false
	}
	service := seconds(a.service[ticket.importance])
	if service > left {
		a.service[ticket.importance] *= estimateDecay
	}
	return wait+service > left
}

// learn updates the estimates. Failures faster than the estimate say nothing about the time that a request takes.
func (a *Admission) learn(importance int, latency float64, ok bool) {
	if a.limit.value == 0 {
		return
	}
	switch {
	case !ok && latency <= a.mean:
	case a.mean == 0:
		a.mean = latency
	default:
		a.mean += meanWeight * (latency - a.mean)
	}
	service := &a.service[importance]
	switch {
	case !ok && latency <= *service:
	case *service == 0:
		*service = latency
	case latency > *service:
		*service = min(latency, *service*serviceGrowth)
	default:
		*service = max(latency, *service*serviceShrink)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
