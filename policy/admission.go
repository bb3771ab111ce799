package policy

import (
	"math"
	"time"

	"sapphiretray/code"
)

const (
	// defaultQueueFactor and defaultMaximumFactor are the default queue length and maximum limit, in multiples of the slots.
	defaultQueueFactor   = 8
	defaultMaximumFactor = 4
	// meanWeight is the weight of the newest sample in the moving average of the service time.
	meanWeight = 0.1
	// cutOffFactor is the multiple of the baseline latency up to which a request that ended after its deadline is assumed to have
	// started too late, rather than to have met a slow upstream.
	cutOffFactor = 2
	// serviceGrowth and serviceShrink bound the change of a service time estimate by one request. Their ratio makes the estimate
	// converge to about the first quartile: one importance may hold slow and fast kinds of requests, and a fast one must not be
	// refused because of the slow ones.
	serviceGrowth = 1.03
	serviceShrink = 0.9
	// estimateDecay lowers an estimate with each refusal that it causes. Otherwise an estimate that has become too high would
	// stay so, since no admitted request corrects it.
	estimateDecay = 0.98
)

// These errors are created once, since creating one takes about 3 µs and most requests are refused under overload.
var (
	errShed    = code.New(code.Shed, "the queue is full of more important requests")
	errTooLate = code.New(code.TooLate, "the request can't finish before its deadline")
)

// AdmissionController decides which requests of one upstream run, which are queued and which are refused. It isn't safe for
// concurrent use; use Limiter for that. The zero value admits every request.
type AdmissionController struct {
	limit           adaptiveLimit
	maxQueue        int
	queue           queue
	sequence        uint64
	inFlight        int
	slowStart       SlowStart
	meanServiceTime float64                    // Moving average over all requests, in seconds.
	serviceTime     [MaxImportance + 1]float64 // Estimate for each importance, in seconds.
	counts          Counts
}

// Counts are the totals of an AdmissionController, indexed by importance. Shed counts the requests that were refused because the queue
// was full of more important ones, Late those that couldn't meet their deadlines.
type Counts struct {
	Admitted [MaxImportance + 1]uint64
	Shed     [MaxImportance + 1]uint64
	Late     [MaxImportance + 1]uint64
}

// Option configures NewAdmissionController and NewLimiter.
type Option func(*AdmissionController)

// WithMaximum sets the upper bound of the adaptive limit. The default is 4 times the slots.
func WithMaximum(limit int) Option {
	return func(a *AdmissionController) { a.limit.maximum = max(float64(limit), 1) }
}

// WithQueue sets the capacity of the queue. The default is 8 times the slots.
func WithQueue(length int) Option {
	return func(a *AdmissionController) { a.maxQueue = max(length, 0) }
}

// NewAdmissionController returns an AdmissionController for an upstream that can run the given number of requests at once.
// A number below 1 means no limit.
func NewAdmissionController(slots int, options ...Option) *AdmissionController {
	if slots < 1 {
		return &AdmissionController{}
	}
	a := &AdmissionController{limit: newAdaptiveLimit(slots, defaultMaximumFactor*slots), maxQueue: defaultQueueFactor * slots}
	for _, option := range options {
		option(a)
	}
	a.limit.value = min(a.limit.value, a.limit.maximum)
	return a
}

// ColdStart lowers the limit for an upstream that has just started. It grows back linearly over the duration.
func (a *AdmissionController) ColdStart(now time.Time, duration time.Duration) {
	a.slowStart.Start(now, duration)
}

// Limit returns the number of requests that may run at once, or 0 if there is no limit.
func (a *AdmissionController) Limit(now time.Time) int {
	if a.limit.value == 0 {
		return 0
	}
	return max(1, int(a.limit.value*a.slowStart.WeightAt(now)))
}

// InFlight returns the number of running requests.
func (a *AdmissionController) InFlight() int { return a.inFlight }

// Queued returns the number of queued requests.
func (a *AdmissionController) Queued() int { return a.queue.len() }

// Counts returns the totals since the start.
func (a *AdmissionController) Counts() Counts { return a.counts }

// Enter admits, queues or refuses a request. It returns a running or waiting ticket, or an error with code.Shed or code.TooLate.
// A zero deadline means none. For a waiting ticket, onDecision is called once: with nil when the request is admitted, or with
// such an error when it is refused. It isn't called after Leave or Cancel has removed the ticket.
func (a *AdmissionController) Enter(now time.Time, importance int, deadline time.Time, onDecision func(error)) (*Ticket, error) {
	a.sequence++
	ticket := &Ticket{
		importance: clampImportance(importance), deadline: deadline, sequence: a.sequence, index: notQueued, onDecision: onDecision,
	}
	a.admitWaiting(now)
	if a.cannotFinish(now, ticket, a.waitTime(now, ticket)) {
		return nil, a.refuseLate(ticket)
	}
	if a.queue.len() == 0 && a.hasFreeSlot(now) {
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

// shedLast removes the last ticket of the full queue, which may be the one that has just arrived. The ticket moves to the reserved
// place if that is free, and is shed otherwise.
func (a *AdmissionController) shedLast(arrived *Ticket) (*Ticket, error) {
	victim := a.queue.last()
	a.queue.remove(victim)
	if a.queue.reserved == nil && a.maxQueue > 0 {
		a.queue.reserved = victim
		return arrived, nil
	}
	a.counts.Shed[victim.importance]++
	victim.state = ticketDone
	if victim == arrived {
		return nil, errShed
	}
	victim.onDecision(errShed)
	return arrived, nil
}

// Leave ends a ticket. For a running one, latency is the time that the upstream took, and ok is false if the upstream shed the
// request, timed out or failed to respond. Leave does nothing for a ticket that has already ended.
func (a *AdmissionController) Leave(now time.Time, ticket *Ticket, latency time.Duration, ok bool) {
	if ticket.state == ticketRunning && a.limit.value > 0 && (ok || !a.cutOff(now, ticket, latency)) {
		a.limit.observe(now, ticket.importance, a.inFlight, latency, ok)
	}
	a.leave(now, ticket, latency, ok)
}

// cutOff reports whether a request failed because it started too close to its deadline. Counting that as a failure of
// the upstream would shrink the limit under overload, so that still more requests would start late.
func (a *AdmissionController) cutOff(now time.Time, ticket *Ticket, latency time.Duration) bool {
	return later(now, ticket.deadline) && latency.Seconds() <= cutOffFactor*math.Exp(a.limit.baseline[ticket.importance])
}

// Cancel ends a ticket whose caller gave up after the given latency. It doesn't count as a failure of the upstream.
func (a *AdmissionController) Cancel(now time.Time, ticket *Ticket, latency time.Duration) {
	a.leave(now, ticket, latency, false)
}

func (a *AdmissionController) leave(now time.Time, ticket *Ticket, latency time.Duration, ok bool) {
	switch ticket.state {
	case ticketDone:
		return
	case ticketWaiting:
		a.queue.remove(ticket)
	case ticketRunning:
		a.updateEstimates(ticket.importance, latency.Seconds(), ok)
		a.inFlight--
	}
	ticket.state = ticketDone
	a.admitWaiting(now)
}

// Expire refuses the waiting requests whose deadline has passed.
func (a *AdmissionController) Expire(now time.Time) {
	for _, ticket := range a.queue.removeIf(func(t *Ticket) bool { return later(now, t.deadline) }) {
		ticket.onDecision(a.refuseLate(ticket))
	}
}

func (a *AdmissionController) hasFreeSlot(now time.Time) bool {
	return a.limit.value == 0 || a.inFlight < a.Limit(now)
}

// admitWaiting admits waiting requests while slots are free.
func (a *AdmissionController) admitWaiting(now time.Time) {
	for a.queue.len() > 0 && a.hasFreeSlot(now) {
		ticket := a.queue.next()
		if a.cannotFinish(now, ticket, 0) {
			ticket.onDecision(a.refuseLate(ticket))
			continue
		}
		a.run(ticket)
		ticket.onDecision(nil)
	}
}

func (a *AdmissionController) run(ticket *Ticket) {
	ticket.state = ticketRunning
	a.inFlight++
	a.counts.Admitted[ticket.importance]++
}

func (a *AdmissionController) refuseLate(ticket *Ticket) error {
	ticket.state = ticketDone
	a.counts.Late[ticket.importance]++
	return errTooLate
}

// waitTime estimates how long a new ticket waits for a slot.
func (a *AdmissionController) waitTime(now time.Time, ticket *Ticket) time.Duration {
	if a.hasFreeSlot(now) {
		return 0
	}
	admissions := a.queue.ahead(ticket) + 1
	if len(a.queue.tickets) >= a.maxQueue && a.queue.reserved == nil {
		// A request that the full queue would shed gets the free reserved place, from which it is admitted within two fairness intervals.
		admissions = min(admissions, 2*fairnessInterval)
	}
	return seconds(a.meanServiceTime * float64(admissions) / float64(a.Limit(now)))
}

// cannotFinish reports whether a request that waits for the given time would miss its deadline. An idle upstream gets every
// request whose deadline has not passed, since otherwise nothing would correct the estimates. If the estimated service time alone
// exceeds the time left, cannotFinish lowers the estimate by estimateDecay.
func (a *AdmissionController) cannotFinish(now time.Time, ticket *Ticket, wait time.Duration) bool {
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
	serviceTime := seconds(a.serviceTime[ticket.importance])
	if serviceTime > left {
		a.serviceTime[ticket.importance] *= estimateDecay
	}
	return wait+serviceTime > left
}

// updateEstimates updates the estimated service times with a request's latency in seconds. Failures that are faster than an
// estimate are ignored, since they don't show how long the request would have taken.
func (a *AdmissionController) updateEstimates(importance int, latency float64, ok bool) {
	if a.limit.value == 0 {
		return
	}
	switch {
	case !ok && latency <= a.meanServiceTime:
	case a.meanServiceTime == 0:
		a.meanServiceTime = latency
	default:
		a.meanServiceTime += meanWeight * (latency - a.meanServiceTime)
	}
	serviceTime := &a.serviceTime[importance]
	switch {
	case !ok && latency <= *serviceTime:
	case *serviceTime == 0:
		*serviceTime = latency
	case latency > *serviceTime:
		*serviceTime = min(latency, *serviceTime*serviceGrowth)
	default:
		*serviceTime = max(latency, *serviceTime*serviceShrink)
	}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
