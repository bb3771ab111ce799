package policy

import "time"

const (
	// nestedMemory is how long after a nested request the last free slot is kept for further ones.
	nestedMemory = time.Second
	// nestedSlackWeight is the weight of the newest nested request in the moving average of their slack.
	nestedSlackWeight = 0.1
	// nestedSlackShare is the share of the slack for which a nested request may wait for a slot.
	nestedSlackShare = 0.5
)

// reservation keeps the last free slot of an upstream for nested requests while the other slots are held by requests that take much
// longer than nested ones can wait. A nested request that gets no slot in time fails the request that made it, after that one has held a
// slot of another upstream. The zero value reserves nothing.
type reservation struct {
	// last is when the newest nested request arrived, and slack the moving average of the time for which they could wait.
	last  time.Time
	slack time.Duration
}

// observe records the arrival of a request.
func (r *reservation) observe(now time.Time, spec JobSpec) {
	if !spec.Nested {
		return
	}
	slack := max(spec.Objective.Sub(now)-spec.ServiceTime, 0)
	if r.last.IsZero() {
		r.slack = slack
	}
	r.slack += time.Duration(nestedSlackWeight * float64(slack-r.slack))
	r.last = now
}

// patience returns how long nested requests may wait for a slot, and false if there are none.
func (r *reservation) patience(now time.Time) (time.Duration, bool) {
	if r.last.IsZero() || now.Sub(r.last) > nestedMemory {
		return 0, false
	}
	return time.Duration(nestedSlackShare * float64(r.slack)), true
}

// isReserved reports whether a request must leave the last free slot to nested ones: if it began now, no slot is expected to become free as
// soon as they need one.
func (s *Scheduler) isReserved(now time.Time, spec JobSpec) bool {
	patience, ok := s.reservation.patience(now)
	if !ok || spec.Nested || s.slots < 2 || s.usedSlots() != s.slots-1 || spec.ServiceTime <= patience {
		return false
	}
	// With one slot free, the second time is that of the slot which becomes free next.
	return s.slotFreeTimes(now)[1].Sub(now) > patience
}

// nextToStart returns the position of the first waiting request that may start in a free slot, and false if there is none.
func (s *Scheduler) nextToStart(now time.Time) (int, bool) {
	for n, j := range s.waiting {
		if !s.isReserved(now, j.spec) {
			return n, true
		}
	}
	return 0, false
}
