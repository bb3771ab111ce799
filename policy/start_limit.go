package policy

import (
	"slices"
	"time"
)

// startWindow is the time within which StartTerms.Maximum requests may reach an upstream.
const startWindow = time.Second

// StartTerms are the terms on which requests begin at an upstream while it is cold. The zero value means that there is no limit.
type StartTerms struct {
	// Rate is the number of requests that begin per second in the long run.
	Rate float64
	// Burst is the number of requests that may begin at once after a pause, at least 1.
	Burst int
	// Maximum is the number of requests that may reach the upstream within any second. It holds whatever the rate and the burst are.
	Maximum int
}

const (
	// startMargin is a reserve below the number of requests that may reach a cold upstream within any second.
	startMargin = 1
	// startRateShare is the share of the requests within any second that is used in the long run, and startBurstShare that which may begin
	// at once. Together they stay below the whole, since some upstreams bear less than others.
	startRateShare  = 0.7
	startBurstShare = 0.15
)

// NewStartTerms returns the terms for an upstream that bears rate requests per second while it is cold, and within any second overrun times
// as many plus slack. If overrun is 0, it bears no more than the rate. There is no limit if all are 0.
func NewStartTerms(rate, overrun, slack float64) StartTerms {
	bound := max(rate, rate*overrun+slack)
	if bound <= 0 {
		return StartTerms{}
	}
	return StartTerms{
		Rate: startRateShare * bound, Burst: max(1, int(startBurstShare*bound)), Maximum: max(1, int(bound)-startMargin),
	}
}

// IsZero reports whether there is no limit.
func (t StartTerms) IsZero() bool { return t.Rate <= 0 }

// Start is a request that begins at an upstream. It counts until a second after it was sent.
type Start struct {
	// sent is when the last byte of the request was sent; zero until then.
	sent time.Time
}

// countsAt reports whether a request that begins at a time may reach the upstream within a second of this one.
func (s *Start) countsAt(now time.Time) bool {
	return s.sent.IsZero() || now.Sub(s.sent) <= startWindow
}

// StartLimit limits the requests that begin at an upstream while it is cold. A cold upstream works slowly, and fails if it gets too many
// requests.
//
// A token bucket paces the requests, so that an urgent one that arrives later doesn't wait until a whole burst is a second old. The
// maximum is exact, also if requests are sent with different delays after they began: each one counts from its beginning until a second
// after it was sent.
//
// Requests are also counted while there is no limit, because an upstream may have been cold for a while when that is noticed. The zero
// value has no limit. StartLimit isn't safe for concurrent use.
type StartLimit struct {
	terms StartTerms
	until time.Time
	// tokens is the number of requests that may begin at once, as of refilled.
	tokens   float64
	refilled time.Time
	// starts holds the requests that still count, in the order in which they began.
	starts []*Start
	// returns is the time from which on further refused callers are asked to return during the limit, and lateReturns the same after it.
	returns, lateReturns time.Time
}

// Limit sets the terms that hold until a time. since is when the upstream became cold; requests that were sent before don't count.
func (l *StartLimit) Limit(now, since, until time.Time, terms StartTerms) {
	l.starts = slices.DeleteFunc(l.starts, func(s *Start) bool {
		return !s.countsAt(now) || !s.sent.IsZero() && s.sent.Before(since)
	})
	if !l.Limited(now) {
		l.tokens, l.refilled = max(0, float64(terms.Burst-len(l.starts))), now
		l.returns, l.lateReturns = time.Time{}, time.Time{}
	}
	l.terms, l.until = terms, until
}

// Lift ends the limit.
func (l *StartLimit) Lift() { l.until = time.Time{} }

// Limited reports whether there is a limit.
func (l *StartLimit) Limited(now time.Time) bool { return now.Before(l.until) && !l.terms.IsZero() }

// Until returns the time until which the limit holds.
func (l *StartLimit) Until() time.Time { return l.until }

// Terms returns the terms of the limit, or the zero value if there is none.
func (l *StartLimit) Terms(now time.Time) StartTerms {
	if !l.Limited(now) {
		return StartTerms{}
	}
	return l.terms
}

// AssumeSent counts requests that another process sent to the upstream.
func (l *StartLimit) AssumeSent(requests int, at time.Time) {
	for range requests {
		l.starts = append(l.starts, &Start{sent: at})
	}
	l.tokens = max(0, l.tokens-float64(requests))
}

// Allows reports whether a request may begin.
func (l *StartLimit) Allows(now time.Time) bool {
	if !l.Limited(now) {
		return true
	}
	l.refill(now)
	return l.tokens >= 1 && len(l.counted(now)) < l.terms.Maximum
}

// Begin counts a request that begins. It reaches the upstream only if it is sent.
func (l *StartLimit) Begin(now time.Time) *Start {
	s := &Start{}
	if l.Limited(now) {
		l.refill(now)
		l.tokens--
	}
	l.starts = append(l.counted(now), s)
	return s
}

// Sent records that the last byte of a request was sent. Only the first call for a request matters.
func (l *StartLimit) Sent(now time.Time, s *Start) {
	if s.sent.IsZero() {
		s.sent = now
	}
}

// Discard removes a request that never reached the upstream, or that doesn't count there.
func (l *StartLimit) Discard(s *Start) {
	n := slices.Index(l.starts, s)
	if n < 0 {
		return
	}
	l.starts = slices.Delete(l.starts, n, n+1)
	l.tokens = min(l.tokens+1, float64(l.terms.Burst))
}

// Return returns the time at which a refused caller should return: not before the given one, at which a request could begin, and not
// together with other refused callers. If that is after latest, the caller is asked to return in the second after the end of the limit.
// interval is the time between two requests that the upstream can serve then.
func (l *StartLimit) Return(now, earliest, latest time.Time, interval time.Duration) time.Time {
	if !l.Limited(now) {
		return earliest
	}
	if at := latestOf(earliest, l.returns); at.Before(l.until) && !at.After(latest) {
		l.returns = at.Add(l.interval())
		return at
	}
	at, first := l.lateReturns, latestOf(earliest, l.until)
	if at.Before(first) || at.Sub(first) > startWindow {
		at = first
	}
	l.lateReturns = at.Add(interval)
	return at
}

// latestOf returns the later one of two times.
func latestOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// refill adds the tokens since the last call.
func (l *StartLimit) refill(now time.Time) {
	elapsed := max(0, now.Sub(l.refilled).Seconds())
	l.tokens, l.refilled = min(l.tokens+elapsed*l.terms.Rate, float64(l.terms.Burst)), now
}

// counted removes the requests that don't count any more and returns the others.
func (l *StartLimit) counted(now time.Time) []*Start {
	l.starts = slices.DeleteFunc(l.starts, func(s *Start) bool { return !s.countsAt(now) })
	return l.starts
}

// interval returns the time between two requests in the long run.
func (l *StartLimit) interval() time.Duration {
	return time.Duration(float64(time.Second) / l.terms.Rate)
}

// forecast predicts when further requests may begin.
func (l *StartLimit) forecast(now time.Time) startTimes {
	if !l.Limited(now) {
		return startTimes{next: now}
	}
	l.refill(now)
	f := startTimes{next: now, until: l.until, interval: l.interval(), tokens: l.tokens, burst: float64(l.terms.Burst)}
	if counted := l.counted(now); len(counted) >= l.terms.Maximum {
		if oldest := counted[len(counted)-l.terms.Maximum]; !oldest.sent.IsZero() {
			f.next = oldest.sent.Add(startWindow)
		} else {
			f.next = now.Add(startWindow)
		}
	}
	f.advance()
	return f
}

// startTimes predicts the times at which the limit of an upstream allows requests to begin.
type startTimes struct {
	next, until   time.Time
	interval      time.Duration
	tokens, burst float64
}

// advance sets next to the time from which on there is a token.
func (f *startTimes) advance() {
	if !f.next.Before(f.until) {
		return
	}
	if f.tokens < 1 {
		f.next = f.next.Add(time.Duration((1 - f.tokens) * float64(f.interval)))
		f.tokens = 1
	}
	if f.next.After(f.until) {
		f.next = f.until
	}
}

// take predicts that a request begins at a time, which isn't before next.
func (f *startTimes) take(at time.Time) {
	if !at.Before(f.until) {
		return
	}
	f.tokens = min(f.tokens+at.Sub(f.next).Seconds()/f.interval.Seconds(), f.burst) - 1
	f.next = at
	f.advance()
}
