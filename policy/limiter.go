package policy

import (
	"context"
	"errors"
	"sync"
	"time"

	"sapphiretray/code"
)

// Limiter is an AdmissionController that is safe for concurrent use and blocks while a request is queued. The zero value admits every
// request.
type Limiter struct {
	mu        sync.Mutex
	admission AdmissionController
}

// NewLimiter returns a limiter for an upstream that can run the given number of requests at once. A number below 1 means
// no limit.
func NewLimiter(slots int, options ...Option) *Limiter {
	return &Limiter{admission: *NewAdmissionController(slots, options...)}
}

// Acquire waits until a request may run. The importance is from 0 to MaxImportance; requests with a higher one are admitted first.
// The earlier one of deadline and the deadline of ctx applies; a zero deadline means none. The error has code.Shed or code.TooLate;
// it wraps the cause if ctx ended.
//
// Release must be called with the time that the upstream took and with ok, which is false if the upstream shed the request, timed
// out or failed to respond. A response that reports a bad request counts as ok. Further calls do nothing. When ctx ends, the slot is
// released, so that a missing call doesn't leak it: as a failure if ctx exceeded its deadline, and without effect on the limit if it
// was cancelled. If ctx never ends, only release frees the slot.
func (l *Limiter) Acquire(
	ctx context.Context, importance int, deadline time.Time,
) (release func(latency time.Duration, ok bool), err error) {
	if end, ok := ctx.Deadline(); ok && later(deadline, end) {
		deadline = end
	}
	if ctx.Err() != nil {
		return nil, endedError(ctx)
	}
	decided := make(chan error, 1)
	l.mu.Lock()
	ticket, err := l.admission.Enter(time.Now(), importance, deadline, func(err error) { decided <- err })
	waiting := err == nil && ticket.Waiting()
	l.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if waiting {
		if err := l.wait(ctx, ticket, decided); err != nil {
			return nil, err
		}
	}
	return l.releaser(ctx, ticket), nil
}

// wait waits for the decision on a queued ticket, and returns nil if it was admitted.
func (l *Limiter) wait(ctx context.Context, ticket *Ticket, decided <-chan error) error {
	var expired <-chan time.Time
	if !ticket.deadline.IsZero() {
		// Expire refuses a ticket only after its deadline, so the timer fires one nanosecond later.
		timer := time.NewTimer(time.Until(ticket.deadline) + 1)
		defer timer.Stop()
		expired = timer.C
	}
	for {
		select {
		case err := <-decided:
			return err
		case <-expired:
			l.mu.Lock()
			l.admission.Expire(time.Now())
			l.mu.Unlock()
			expired = nil
		case <-ctx.Done():
			l.cancel(ticket)
			return endedError(ctx)
		}
	}
}

// releaser returns the release function of a running ticket.
func (l *Limiter) releaser(ctx context.Context, ticket *Ticket) func(time.Duration, bool) {
	start := time.Now()
	stop := func() bool { return true }
	if ctx.Done() != nil {
		stop = context.AfterFunc(ctx, func() { l.leave(ctx, ticket, time.Since(start), false) })
	}
	return func(latency time.Duration, ok bool) {
		stop()
		l.leave(ctx, ticket, latency, ok)
	}
}

func (l *Limiter) leave(ctx context.Context, ticket *Ticket, latency time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok && errors.Is(ctx.Err(), context.Canceled) {
		l.admission.Cancel(time.Now(), ticket, latency)
		return
	}
	l.admission.Leave(time.Now(), ticket, latency, ok)
}

// cancel ends a ticket whose Acquire call returns because its context ended. The ticket may have been admitted in the meantime.
func (l *Limiter) cancel(ticket *Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admission.Cancel(time.Now(), ticket, 0)
}

// endedError returns the error for a request whose context ended before it was admitted.
func endedError(ctx context.Context) error {
	return code.Wrap(code.TooLate, context.Cause(ctx), "the request ended before it was admitted")
}

// ColdStart lowers the limit for an upstream that has just started. It grows back linearly over the duration.
func (l *Limiter) ColdStart(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admission.ColdStart(time.Now(), duration)
}

// Limit returns the number of requests that may run at once, or 0 if there is no limit.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.Limit(time.Now())
}

// InFlight returns the number of running requests.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.InFlight()
}

// Queued returns the number of queued requests.
func (l *Limiter) Queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.Queued()
}

// Counts returns the totals since the start.
func (l *Limiter) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.Counts()
}
