package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/routing"
)

const (
	// ownerWait is the pause before a key's owner is looked up again, unless the directory changes earlier.
	ownerWait = 30 * time.Millisecond
	// ownerRetry is the Retry-After of a request whose key has no owner for longer than it can wait.
	ownerRetry = 300 * time.Millisecond
	// holdShare is the part of the time to the objective for which a request may wait for a key's owner; the rest is for the
	// upstream. A trial in which returning requests waited for half of their deadline served no more, and kept more of them waiting in
	// vain.
	holdShare = 0.5
	// maxTargets bounds the instances that a request without a key is offered to.
	maxTargets = 3
)

// attempt is the state of one request at this instance.
type attempt struct {
	request *gateway.Request
	route   *routing.Route
	// arrivals counts the upstreams that the request may have reached.
	arrivals int
	// unknown is the newest failure after which the request may have run.
	unknown *gateway.Failure
	// tried are the instances that refused it.
	tried map[string]bool
	// owner is the slot that the last instance named as the key's owner.
	owner string
	// holdUntil bounds the wait for the key's owner.
	holdUntil time.Time
}

// dispatch sends the request to instances until one yields a final result.
func (s *Server) dispatch(ctx context.Context, request *gateway.Request, route *routing.Route) (*gateway.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	now := time.Now()
	a := &attempt{
		request: request, route: route, tried: make(map[string]bool),
		holdUntil: now.Add(time.Duration(holdShare * float64(request.Objective.Sub(now)))),
	}
	s.budgets.get(request.Service).Attempt()
	for {
		target, f := s.target(ctx, a)
		if f != nil {
			return nil, a.final(f)
		}
		response, err := s.try(ctx, a, target)
		if err == nil && !s.worthRepeating(a, response) {
			return response, nil
		}
		var failure *gateway.Failure
		if err != nil && !errors.As(err, &failure) {
			return nil, err
		}
		if failure != nil {
			failure.Slot = target.Slot
		}
		if !s.again(ctx, a, target, failure) {
			if failure != nil {
				return nil, a.final(failure)
			}
			return response, err
		}
	}
}

// final returns the failure to report: after an attempt that may have run, "not run" would not be true.
func (a *attempt) final(f *gateway.Failure) *gateway.Failure {
	if a.unknown != nil && f.NotRun() {
		return a.unknown
	}
	return f
}

// target returns the instance to try next.
func (s *Server) target(ctx context.Context, a *attempt) (Target, *gateway.Failure) {
	if a.request.Key == gateway.NoKey {
		target, ok := s.chooser.choose(time.Now(), s.directory.Targets(a.request.Service), a.tried, len(a.request.Body))
		if !ok {
			return Target{}, &gateway.Failure{Code: code.NoOwner, RetryAfter: ownerRetry, Reason: "no instance of the service takes work"}
		}
		return target, nil
	}
	if owner := a.owner; owner != "" {
		a.owner = ""
		if target, ok := s.directory.Instance(owner); ok {
			return target, nil
		}
	}
	for {
		changed := s.directory.Changed()
		if target, ok := s.directory.Owner(a.request.Service, uint16(a.request.Key)); ok {
			return target, nil
		}
		if !s.wait(ctx, a, changed) {
			return Target{}, &gateway.Failure{Code: code.NoOwner, RetryAfter: ownerRetry, Reason: "the key has no owner"}
		}
	}
}

// wait waits for a change of the directory, and returns false if the request can't wait any more.
func (s *Server) wait(ctx context.Context, a *attempt, changed <-chan struct{}) bool {
	left := time.Until(a.holdUntil)
	if left <= 0 || ctx.Err() != nil {
		return false
	}
	timer := time.NewTimer(min(left, ownerWait))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// try sends the request to one instance.
func (s *Server) try(ctx context.Context, a *attempt, target Target) (*gateway.Response, error) {
	done := s.chooser.begin(target.Slot)
	if target.Slot == s.directory.Self() {
		response, err := s.local.Do(ctx, a.request)
		done(s.local.Load(), outcomeOf(response, err))
		if response != nil {
			response.Slot = target.Slot
		}
		return response, err
	}
	result, err := s.forwarder.Do(ctx, target.Address, a.request)
	if isUnreachable(err) {
		s.directory.Unreachable(target.Slot)
	}
	if isLeaving(err) {
		s.directory.Leaving(target.Slot)
	}
	done(result.Load, outcomeOf(result.Response, err))
	if a.request.Nested {
		s.local.NestedCall(result.Load)
	}
	if result.Response != nil {
		result.Response.Slot = target.Slot
	}
	return result.Response, err
}

// outcomeOf returns what a result says about the target.
func outcomeOf(response *gateway.Response, err error) outcome {
	var f *gateway.Failure
	switch {
	case isUnreachable(err):
		return outcomeUnreachable
	case errors.As(err, &f) && f.Arrived && f.Code != code.CallerGone && f.Code != code.NotOwner:
		return outcomeFault
	case response != nil && response.Status == http.StatusInternalServerError:
		return outcomeFault
	default:
		return outcomeServed
	}
}

func isUnreachable(err error) bool {
	var f *gateway.Failure
	return errors.As(err, &f) && (f.Code == code.PeerFailed || f.Code == code.NoOwner)
}

func isLeaving(err error) bool {
	var f *gateway.Failure
	return errors.As(err, &f) && f.Code == code.Draining
}

// worthRepeating reports whether a response is a failure that another upstream may not have.
func (s *Server) worthRepeating(a *attempt, response *gateway.Response) bool {
	return response.Status == http.StatusInternalServerError && a.request.Key == gateway.NoKey && a.route.Kind.Repeatable()
}

// again decides whether the request is tried once more after a failure; nil stands for a response that is worth repeating.
func (s *Server) again(ctx context.Context, a *attempt, target Target, f *gateway.Failure) bool {
	if ctx.Err() != nil {
		return false
	}
	if f != nil && f.NotRun() && !f.Arrived {
		return s.elsewhere(ctx, a, target, f)
	}
	a.arrivals++
	if f != nil && !f.NotRun() {
		a.unknown = f
	}
	return a.repeatable(f) && s.repeat(a, target)
}

// repeatable reports whether the request may be sent to an upstream once more after a failure.
func (a *attempt) repeatable(f *gateway.Failure) bool {
	if a.arrivals >= a.route.MaxAttempts {
		return false
	}
	if f == nil {
		return a.route.Kind.Repeatable()
	}
	return f.Code != code.UpstreamTimeout && (a.route.Kind.Repeatable() || f.NotRun())
}

// repeat takes a further arrival from the retry budget, if there is another instance to send the request to.
func (s *Server) repeat(a *attempt, target Target) bool {
	if a.request.Key == gateway.NoKey {
		a.tried[target.Slot] = true
		if !s.untried(a) {
			return false
		}
	}
	if !s.budgets.get(a.request.Service).Retry() {
		klog.InfoS("request: not repeated, the retry budget is spent", "id", a.request.ID, "service", a.request.Service)
		return false
	}
	s.metrics.repeats.Inc()
	return true
}

// elsewhere decides whether a request that reached no upstream is offered to another instance, or to the same one later.
func (s *Server) elsewhere(ctx context.Context, a *attempt, target Target, f *gateway.Failure) bool {
	if a.request.Key != gateway.NoKey {
		if f.Owner != "" && !a.tried[f.Owner] {
			// This instance's map is older than that of the instance that answered.
			a.owner = f.Owner
			a.tried[f.Owner] = true
			return true
		}
		return moving(f.Code) && s.wait(ctx, a, s.directory.Changed())
	}
	a.tried[target.Slot] = true
	return f.Code != code.TooLate && len(a.tried) < maxTargets && s.untried(a)
}

// untried reports whether there are instances that were not asked yet.
func (s *Server) untried(a *attempt) bool {
	return len(a.tried) < len(s.directory.Targets(a.request.Service))
}

// moving reports whether a failure means that the key's owner changes.
func moving(c code.Code) bool {
	switch c {
	case code.NotOwner, code.NoOwner, code.Moved, code.Draining, code.UpstreamRefused, code.UpstreamNotWarmed:
		return true
	default:
		return false
	}
}
