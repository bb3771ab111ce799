package policy

import "time"

// LimitStarts limits the requests that begin until a time, because the upstream has been cold since another time.
func (s *Scheduler) LimitStarts(now, since, until time.Time, terms StartTerms) {
	s.starts.Limit(now, since, until, terms)
	s.Reschedule(now)
}

// LiftStartLimit ends the limit of LimitStarts.
func (s *Scheduler) LiftStartLimit(now time.Time) {
	s.starts.Lift()
	s.Reschedule(now)
}

// AssumeSent counts requests that another process sent to the upstream.
func (s *Scheduler) AssumeSent(requests int, at time.Time) { s.starts.AssumeSent(requests, at) }

// StartTerms returns the terms on which requests begin and until when they hold, or the zero values if the upstream isn't cold.
func (s *Scheduler) StartTerms(now time.Time) (terms StartTerms, until time.Time) {
	if terms = s.starts.Terms(now); terms.IsZero() {
		return terms, time.Time{}
	}
	return terms, s.starts.Until()
}

// IsStartLimited reports whether the upstream is cold, so that the requests that begin are limited.
func (s *Scheduler) IsStartLimited(now time.Time) bool { return s.starts.Limited(now) }

// StartLimitEnd returns the time until which the requests are or were limited.
func (s *Scheduler) StartLimitEnd() time.Time { return s.starts.Until() }

// CountUnscheduled counts a request that is sent without a slot, such as a health check.
func (s *Scheduler) CountUnscheduled(now time.Time) { s.starts.Sent(now, s.starts.Begin(now)) }

// Sent records when the last byte of an admitted request was sent. A request that finishes without it never reached the upstream.
func (s *Scheduler) Sent(now time.Time, j *Job) { s.starts.Sent(now, j.start) }

// Uncount makes an admitted request not count as one that began, because the upstream refused it as one that is meant for another upstream.
func (s *Scheduler) Uncount(j *Job) { s.starts.Discard(j.start) }

// forecast returns a prediction of the times at which further requests start.
func (s *Scheduler) forecast(now time.Time) *forecast {
	return &forecast{free: s.slotFreeTimes(now), starts: s.starts.forecast(now)}
}

// retryAfter returns the delay after which the caller of a refused request should return, if a request could start at a time.
func (s *Scheduler) retryAfter(now, start time.Time, refused JobSpec) time.Duration {
	latest := refused.Deadline.Add(-refused.ServiceTime)
	at := s.starts.Return(now, start, latest, refused.ServiceTime/time.Duration(s.slots))
	return max(at.Sub(now), minRetryAfter)
}

// forecast predicts when requests start: each needs a slot, and the limit must allow it to begin.
type forecast struct {
	// free holds the times at which the slots become free, earliest first.
	free   []time.Time
	starts startTimes
}

// next returns the time at which the next request can start.
func (f *forecast) next() time.Time { return latestOf(f.starts.next, f.free[0]) }

// add predicts the start of the next request.
func (f *forecast) add(serviceTime time.Duration) {
	start := f.next()
	f.starts.take(start)
	f.free[0] = start
	occupyEarliest(f.free, serviceTime)
}
