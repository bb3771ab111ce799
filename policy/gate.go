package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	// overdueShare is the part of its usual time that a request is expected to need still once it has run longer than usual.
	overdueShare = 0.3
	// minRetryAfter is the shortest pause that a refused client is asked for: it covers the way to the client and back.
	minRetryAfter = 50 * time.Millisecond
	// lateQueueFactor bounds, as a multiple of the slots, the requests that wait although they will miss their objective.
	lateQueueFactor = 1
	// A running request is stalled once it has run stallFactor times as long as usual, and at least stallMinimum, while
	// stallOvertakers requests that started later have ended. Regular service times vary by less than this (with a factor of 5, one in
	// a hundred requests that were still served was taken for stalled), and an upstream that is slow as a whole ends no later request
	// either.
	stallFactor     = 12
	stallMinimum    = 100 * time.Millisecond
	stallOvertakers = 3
)

// Demand describes a request that is offered to a Gate.
type Demand struct {
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Nested requests were sent by an upstream that holds a slot for another request meanwhile.
	Nested bool
	// Returning requests were refused before; their client won't come again.
	Returning bool
	// Objective is the time until which a response has its full benefit, Deadline the time at which the caller gives up.
	Objective time.Time
	Deadline  time.Time
	// Service is the time that the upstream is expected to need.
	Service time.Duration
}

// Verdict is the decision on a Demand that doesn't wait any more.
type Verdict struct {
	// Admitted requests have a slot until Finish.
	Admitted bool
	// RetryAfter is the time after which a refused request would get a slot.
	RetryAfter time.Duration
}

// Place is a request at a Gate: waiting, running or done.
type Place struct {
	demand   Demand
	sequence uint64
	started  time.Time
	state    placeState
	decided  func(Verdict)
	// overtakers is the number of requests that started later and have ended.
	overtakers int
	// stalled requests run, but the upstream has dropped them: they use no slot.
	stalled bool
}

type placeState int

const (
	placeWaiting placeState = iota
	placeRunning
	placeDone
)

// Gate admits requests to an upstream that runs a fixed number of requests at once. A request waits only while it is
// expected to be answered within its objective; one that isn't is refused at once, with the time at which a slot is
// expected, so that its client can return then. A returning request may also wait for a late answer, because its client
// has no further attempt.
//
// Waiting requests are served in the order of urgency: nested ones, then by priority, then those that can still be answered
// within their objective, the earliest objective first, then the late ones. Late answers have less benefit, so they must not
// make others late.
//
// Some upstreams never answer what they can't queue. Such a request would hold its slot until its deadline, so one that is stalled
// gives it up, and goes on waiting for its answer. A Gate isn't safe for concurrent use. Create it with NewGate.
type Gate struct {
	slots    int
	sequence uint64
	running  []*Place
	waiting  []*Place
	// announced requests will be offered once their bodies have arrived.
	announced []*Place
}

// NewGate returns the gate of an upstream with the given number of slots.
func NewGate(slots int) *Gate { return &Gate{slots: max(slots, 1)} }

// SetSlots changes the number of requests that may run at once. Running requests aren't affected.
func (g *Gate) SetSlots(now time.Time, slots int) {
	g.slots = max(slots, 1)
	g.Review(now)
}

// Slots returns the number of requests that may run at once.
func (g *Gate) Slots() int { return g.slots }

// Running returns the number of admitted requests.
func (g *Gate) Running() int { return len(g.running) }

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int { return len(g.waiting) }

// Offer decides on a request. If the returned place is waiting, decided is called once later, unless Withdraw is called
// first; otherwise the verdict is final.
func (g *Gate) Offer(now time.Time, d Demand, decided func(Verdict)) (*Place, Verdict) {
	g.sequence++
	p := &Place{demand: d, sequence: g.sequence}
	if !d.Deadline.After(now) {
		p.state = placeDone
		return p, Verdict{RetryAfter: minRetryAfter}
	}
	if g.used() < g.slots && len(g.waiting) == 0 {
		g.start(now, p)
		return p, Verdict{Admitted: true}
	}
	g.waiting = append(g.waiting, p)
	g.Review(now)
	switch p.state {
	case placeRunning:
		return p, Verdict{Admitted: true}
	case placeDone:
		return p, Verdict{RetryAfter: g.Delay(now)}
	default:
		p.decided = decided
		return p, Verdict{}
	}
}

// Announce asks for a request whose body has yet to arrive: a slot must not stay unused meanwhile, and the body of a request that
// would be refused need not be sent. If the verdict is admitted, the request counts in later predictions until Retract is called,
// when its body is there and the request is offered.
func (g *Gate) Announce(now time.Time, d Demand) (*Place, Verdict) {
	p := &Place{demand: d, state: placeDone}
	free := g.slotTimes(now)
	for _, others := range [][]*Place{g.waiting, g.announced} {
		for _, other := range others {
			if comparePlaces(now, other, p) <= 0 {
				take(free, other.demand.Service)
			}
		}
	}
	end := free[0].Add(d.Service)
	if end.After(d.Deadline) || end.After(d.Objective) && !d.Returning && !d.Nested && free[0].After(now) {
		return p, Verdict{RetryAfter: max(free[0].Sub(now), minRetryAfter)}
	}
	g.announced = append(g.announced, p)
	return p, Verdict{Admitted: true}
}

// Retract ends the announcement of a request.
func (g *Gate) Retract(p *Place) {
	g.announced = slices.DeleteFunc(g.announced, func(other *Place) bool { return other == p })
}

// Finish frees the slot of an admitted request.
func (g *Gate) Finish(now time.Time, p *Place) {
	if p.state != placeRunning {
		return
	}
	p.state = placeDone
	g.running = slices.DeleteFunc(g.running, func(other *Place) bool { return other == p })
	g.overtake(now, p)
	if len(g.waiting) > 0 {
		g.Review(now)
	}
}

// overtake counts the end of a request against those that started before it, and finds the stalled ones.
func (g *Gate) overtake(now time.Time, ended *Place) {
	if ended.stalled {
		return
	}
	for _, p := range g.running {
		if p.started.Before(ended.started) {
			p.overtakers++
		}
		limit := max(stallFactor*p.demand.Service, stallMinimum)
		if p.stalled || p.overtakers < stallOvertakers || now.Sub(p.started) < limit {
			continue
		}
		p.stalled = true
	}
}

// used returns the number of slots in use.
func (g *Gate) used() int {
	used := 0
	for _, p := range g.running {
		if !p.stalled {
			used++
		}
	}
	return used
}

// Withdraw removes a waiting request whose client has left.
func (g *Gate) Withdraw(p *Place) {
	if p.state != placeWaiting {
		return
	}
	p.state = placeDone
	g.waiting = slices.DeleteFunc(g.waiting, func(other *Place) bool { return other == p })
}

// Review puts the waiting requests in order and refuses those that have become hopeless since the last event.
func (g *Gate) Review(now time.Time) {
	slices.SortFunc(g.waiting, func(a, b *Place) int { return comparePlaces(now, a, b) })
	g.refuseHopeless(now)
	g.fill(now)
}

// RefuseAll refuses every waiting request, for an upstream that takes no more work.
func (g *Gate) RefuseAll(retryAfter time.Duration) {
	waiting := g.waiting
	g.waiting = nil
	for _, p := range waiting {
		g.refuse(p, retryAfter)
	}
}

// Delay returns how long a request of the lowest rank would wait for a slot now.
func (g *Gate) Delay(now time.Time) time.Duration {
	free := g.slotTimes(now)
	for _, p := range g.waiting {
		take(free, p.demand.Service)
	}
	return max(free[0].Sub(now), minRetryAfter)
}

// fill starts waiting requests while slots are free.
func (g *Gate) fill(now time.Time) {
	for g.used() < g.slots && len(g.waiting) > 0 {
		p := g.waiting[0]
		g.waiting = slices.Delete(g.waiting, 0, 1)
		if !p.demand.Deadline.After(now) {
			g.refuse(p, minRetryAfter)
			continue
		}
		g.start(now, p)
		if p.decided != nil {
			p.decided(Verdict{Admitted: true})
		}
	}
}

func (g *Gate) start(now time.Time, p *Place) {
	p.state, p.started = placeRunning, now
	g.running = append(g.running, p)
}

// refuseHopeless walks through the queue in its order, predicts when each request would start, and refuses those that
// can't be answered in time.
func (g *Gate) refuseHopeless(now time.Time) {
	free := g.slotTimes(now)
	late := 0
	var refused []*Place
	g.waiting = slices.DeleteFunc(g.waiting, func(p *Place) bool {
		end := free[0].Add(p.demand.Service)
		if end.After(p.demand.Objective) {
			late++
			// A slot that is free now is used in any case: a late answer is better than none.
			mayBeLate := (p.demand.Returning || p.demand.Nested || !free[0].After(now)) && late <= lateQueueFactor*g.slots
			if !mayBeLate || end.After(p.demand.Deadline) {
				refused = append(refused, p)
				return true
			}
		}
		take(free, p.demand.Service)
		return false
	})
	for _, p := range refused {
		g.refuse(p, max(free[0].Sub(now), minRetryAfter))
	}
}

func (g *Gate) refuse(p *Place, retryAfter time.Duration) {
	p.state = placeDone
	if p.decided != nil {
		p.decided(Verdict{RetryAfter: retryAfter})
	}
}

// slotTimes returns the times at which the slots are expected to become free, in order.
func (g *Gate) slotTimes(now time.Time) []time.Time {
	free := make([]time.Time, 0, max(g.slots, len(g.running)))
	for _, p := range g.running {
		if p.stalled {
			continue
		}
		end := p.started.Add(p.demand.Service)
		if overdue := now.Add(time.Duration(overdueShare * float64(p.demand.Service))); end.Before(overdue) {
			end = overdue
		}
		free = append(free, end)
	}
	for len(free) < g.slots {
		free = append(free, now)
	}
	slices.SortFunc(free, time.Time.Compare)
	if len(free) > g.slots {
		// More run than there are slots now: the first ones to end free none.
		free = free[len(free)-g.slots:]
	}
	return free
}

// take uses the first slot for a time and restores the order.
func take(free []time.Time, service time.Duration) {
	used := free[0].Add(service)
	n := 1
	for n < len(free) && free[n].Before(used) {
		free[n-1] = free[n]
		n++
	}
	free[n-1] = used
}

// late reports whether the request would miss its objective even if it started now.
func (p *Place) late(now time.Time) bool { return now.Add(p.demand.Service).After(p.demand.Objective) }

func comparePlaces(now time.Time, a, b *Place) int {
	return cmp.Or(
		-compareBool(a.demand.Nested, b.demand.Nested),
		cmp.Compare(a.demand.Priority, b.demand.Priority),
		compareBool(a.late(now), b.late(now)),
		a.demand.Objective.Compare(b.demand.Objective),
		cmp.Compare(a.sequence, b.sequence),
	)
}

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
func (p *Place) Waiting() bool { return p.state == placeWaiting }
