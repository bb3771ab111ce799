package ingress

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/code"
	"sapphiretray/forward"
	"sapphiretray/gateway"
	"sapphiretray/policy"
	"sapphiretray/routing"
)

const (
	// ownerPollInterval is the time after which a key's owner is looked up again, unless the directory changes earlier.
	ownerPollInterval = 30 * time.Millisecond
	// noOwnerRetryAfter is the Retry-After of a request whose key gets no owner in time, or that no instance of its service accepts.
	noOwnerRetryAfter = 300 * time.Millisecond
	// evacuatedRetryAfter is the Retry-After while no data centre that could serve a request is open. The operator ends that, or the store
	// becomes reachable again.
	evacuatedRetryAfter = time.Second
	// holdShare is the share of the time to a request's objective for which it may wait for its key's owner; the rest is for the
	// upstream. For a request that may have run and is repeated, it is the share of the time to its deadline. A longer wait of callers'
	// retries, for half of the time to their deadline, serves no more of them and keeps more of them waiting that are refused in the end.
	holdShare = 0.5
	// maxTargets bounds the instances that a request without a key is sent to.
	maxTargets = 3
)

// dispatchState is the state of one caller's request while it is dispatched.
type dispatchState struct {
	request *gateway.Request
	route   *routing.Route
	// attempts counts how often the request may have reached an upstream.
	attempts int
	// mayHaveRun is the newest failure after which the request may have run, or nil.
	mayHaveRun *gateway.Failure
	// ran is the newest response that is a failure which another upstream may not have, or nil.
	ran *gateway.Response
	// tried holds the slots of the instances that refused or failed a request without a key, or that were named as owner of the key.
	tried map[string]bool
	// busy holds the slots of the instances that refused a request without a key because another one is expected to respond sooner, and
	// refusedBy the data centres that have no room for requests of this one.
	busy, refusedBy map[string]bool
	// placement is where a request without a key is sent.
	placement placement
	// ownerHint is the slot of the instance that was last named as the key's owner by another one, or empty.
	ownerHint string
	// holdUntil bounds the wait for the key's owner.
	holdUntil time.Time
	// pending are the attempts whose instances don't respond at the moment, oldest first.
	pending []pendingAttempt
	// cancel ends all attempts.
	cancel context.CancelFunc
}

// pendingAttempt is an attempt that may still get a response.
type pendingAttempt struct {
	*forward.Pending
	// slot is the slot of the instance that doesn't respond at the moment.
	slot string
	// silence is the failure that stands for the attempt until its outcome is known.
	silence *gateway.Failure
}

// dispatch sends the request to instances until one returns a final result. Errors are *gateway.Failure where the cause is known.
func (s *Server) dispatch(ctx context.Context, request *gateway.Request, route *routing.Route) (*gateway.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	now := time.Now()
	hold := request.Objective
	if request.Nested {
		// Its failure fails the request that made it, which has no use for an earlier refusal.
		hold = request.Deadline
	}
	d := &dispatchState{
		request: request, route: route, tried: make(map[string]bool), busy: make(map[string]bool), refusedBy: make(map[string]bool),
		holdUntil: now.Add(time.Duration(holdShare * float64(hold.Sub(now)))), cancel: cancel,
	}
	s.budgets.get(request.Service).Attempt()
	response, err := s.attempt(ctx, d)
	return d.settle(response, err)
}

// settle returns the result of a request whose last attempt ended with response or err. If that one failed, or got a failure that another
// upstream may not have, the response of a pending one is used if one comes, since its upstream may be at work. Otherwise the newest
// response is, since it is the answer of an upstream. Attempts that are left pending end with the context of dispatch.
func (d *dispatchState) settle(response *gateway.Response, err error) (*gateway.Response, error) {
	if err == nil && response != d.ran {
		return response, nil
	}
	var last *gateway.Failure
	if err != nil && !errors.As(err, &last) {
		return nil, err
	}
	for _, p := range d.pending {
		result, pendingErr := p.Await()
		klog.InfoS("request: waited for an instance that didn't respond", "id", d.request.ID, "slot", p.slot, "failure", err,
			"pending", pendingErr)
		if pendingErr == nil {
			result.Response.InstanceSlot = p.slot
			return result.Response, nil
		}
		f := p.silence
		if errors.As(pendingErr, &f) {
			f.InstanceSlot = p.slot
		}
		if last == p.silence {
			last = f
		}
		if !f.NotRun() {
			d.mayHaveRun = f
		}
	}
	if d.ran != nil {
		return d.ran, nil
	}
	return nil, d.finalFailure(last)
}

// addPending adds a pending attempt at the instance in a slot. Its response ends the other attempts, unless they may get a better one.
// silence is the failure that stands for it until then.
func (s *Server) addPending(d *dispatchState, p *forward.Pending, slot string, silence *gateway.Failure) {
	d.pending = append(d.pending, pendingAttempt{Pending: p, slot: slot, silence: silence})
	p.OnResponse(func(response *gateway.Response) {
		if !s.isRetryable(d, response) {
			d.cancel()
		}
	})
}

// isPending reports whether a failure only stands for a pending attempt.
func (d *dispatchState) isPending(f *gateway.Failure) bool {
	return slices.ContainsFunc(d.pending, func(p pendingAttempt) bool { return p.silence == f })
}

// attempt sends the request to one instance after the other until one returns a final result.
func (s *Server) attempt(ctx context.Context, d *dispatchState) (*gateway.Response, error) {
	for {
		target, f := s.target(ctx, d)
		if f == nil && d.mayHaveRun == nil {
			// A request that may have run can't be refused for its caller to send it elsewhere.
			f = s.checkStop(d.request.Deadline)
		}
		if f != nil {
			return nil, f
		}
		response, err := s.send(ctx, d, target)
		if err == nil && !s.isRetryable(d, response) {
			return response, nil
		}
		var failure *gateway.Failure
		if err != nil && !errors.As(err, &failure) {
			return nil, err
		}
		if failure != nil {
			failure.InstanceSlot = target.Slot
		} else {
			d.ran = response
		}
		if !s.prepareRetry(ctx, d, target, failure) {
			if failure != nil {
				return nil, failure
			}
			return response, err
		}
	}
}

// finalFailure returns the failure to report to the caller. If an earlier attempt may have run, a failure that means "not run" would
// be wrong, and that attempt's failure is returned instead.
func (d *dispatchState) finalFailure(f *gateway.Failure) *gateway.Failure {
	if d.mayHaveRun != nil && f.NotRun() {
		return d.mayHaveRun
	}
	return f
}

// target returns the instance to try next. A request whose key has no owner waits for one.
func (s *Server) target(ctx context.Context, d *dispatchState) (Target, *gateway.Failure) {
	if s.directory.Evacuated(d.request.Service, d.request.Key) {
		return Target{}, &gateway.Failure{
			Code: code.Evacuated, RetryAfter: evacuatedRetryAfter, Reason: "the data centres that could serve the request are evacuated",
		}
	}
	if d.request.Key == gateway.NoKey {
		if !s.place(d) {
			return Target{}, &gateway.Failure{
				Code: code.NoOwner, RetryAfter: noOwnerRetryAfter, Reason: "no instance of the service accepts requests",
			}
		}
		return d.placement.Target, nil
	}
	if ownerHint := d.ownerHint; ownerHint != "" {
		d.ownerHint = ""
		if target, ok := s.directory.Instance(ownerHint); ok {
			return target, nil
		}
	}
	for {
		changed := s.directory.Changed()
		if target, ok := s.directory.Owner(d.request.Service, uint16(d.request.Key)); ok {
			return target, nil
		}
		if !s.waitForChange(ctx, d, changed) {
			return Target{}, &gateway.Failure{Code: code.NoOwner, RetryAfter: noOwnerRetryAfter, Reason: "the key has no owner"}
		}
	}
}

// place chooses the instance for a request without a key, and returns false if there is none.
func (s *Server) place(d *dispatchState) bool {
	now, targets := time.Now(), s.directory.Targets(d.request.Service)
	if slices.ContainsFunc(targets, func(t Target) bool { return t.Slot == s.directory.Self() }) {
		s.balance.report(now, d.request, s.local.RouteLoad(d.request.Route))
	}
	p, ok := s.balance.choose(now, d, targets)
	if !ok {
		return false
	}
	d.placement = p
	s.metrics.placed(d.request.Service, p.reason)
	if p.reason != reasonOwn || len(d.busy) > 0 {
		klog.InfoS("request: placed", "id", d.request.ID, "service", d.request.Service, "slot", p.Slot, "dataCentre", p.DataCentre,
			"reason", p.reason, "expected", p.expected, "within", p.within, "busy", len(d.busy),
			"objectiveLeft", d.request.Objective.Sub(now))
	}
	return true
}

// waitForChange waits for a change of the directory, at most for ownerPollInterval. It returns false if the request can't wait any
// longer.
func (s *Server) waitForChange(ctx context.Context, d *dispatchState, changed <-chan struct{}) bool {
	left := time.Until(d.holdUntil)
	if left <= 0 || ctx.Err() != nil {
		return false
	}
	timer := time.NewTimer(min(left, ownerPollInterval))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// send sends the request to one instance and records the outcome.
func (s *Server) send(ctx context.Context, d *dispatchState, target Target) (response *gateway.Response, err error) {
	// An earlier attempt may still be using the request.
	request := *d.request
	if request.Key == gateway.NoKey {
		request.Within, request.Spilled = d.placement.within, d.placement.spilled
	}
	done := s.balance.begin(target, &request)
	begun := time.Now()
	var load gateway.Load
	// A panic says nothing about the target.
	o := policy.TargetServed
	defer func() {
		done(load, o)
		if request.Key == gateway.NoKey {
			now := time.Now()
			s.balance.observe(now, d.placement, &request, isBusy(err), now.Sub(begun), response)
		}
	}()
	if target.Slot == s.directory.Self() {
		response, err = s.local.Do(ctx, &request)
		load, o = s.local.RouteLoad(request.Route), outcomeOf(response, err)
		if request.Nested {
			s.local.ObserveNestedCall(&request, load)
		}
		if response != nil {
			response.InstanceSlot = target.Slot
		}
		return response, err
	}
	result, err := s.forwarder.Do(ctx, target.Address, &request)
	if isUnreachable(err) {
		s.directory.MarkUnreachable(target.Slot)
	}
	if isLeaving(err) {
		s.directory.MarkLeaving(target.Slot)
	}
	load, o = result.Load, outcomeOf(result.Response, err)
	if request.Nested {
		s.local.ObserveNestedCall(&request, result.Load)
	}
	var failure *gateway.Failure
	if result.Pending != nil && errors.As(err, &failure) {
		s.addPending(d, result.Pending, target.Slot, failure)
	}
	if result.Response != nil {
		result.Response.InstanceSlot = target.Slot
	}
	return result.Response, err
}

// outcomeOf classifies a result by what it says about the target.
func outcomeOf(response *gateway.Response, err error) policy.TargetOutcome {
	var f *gateway.Failure
	switch {
	case isUnreachable(err):
		return policy.TargetUnreachable
	case errors.As(err, &f) && f.Arrived && f.Code != code.CallerGone && f.Code != code.NotOwner:
		return policy.TargetFault
	case response != nil && response.Status == http.StatusInternalServerError:
		return policy.TargetFault
	default:
		return policy.TargetServed
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

// isBusy reports whether an instance refused a request because another one is expected to respond sooner.
func isBusy(err error) bool {
	var f *gateway.Failure
	return errors.As(err, &f) && f.Code == code.Busy
}

// isRetryable reports whether a response is a failure that another upstream may not have.
func (s *Server) isRetryable(d *dispatchState, response *gateway.Response) bool {
	return response.Status == http.StatusInternalServerError && d.request.Key == gateway.NoKey && d.route.Kind.Retryable()
}

// prepareRetry records a failure and reports whether the request is to be retried. A nil failure stands for a retryable response.
func (s *Server) prepareRetry(ctx context.Context, d *dispatchState, target Target, f *gateway.Failure) bool {
	if ctx.Err() != nil {
		return false
	}
	if f != nil && f.NotRun() && !f.Arrived {
		return s.prepareReroute(ctx, d, target, f)
	}
	d.attempts++
	if f != nil && !f.NotRun() && !d.isPending(f) {
		d.mayHaveRun = f
	}
	if !d.allowsRetry(f) || !s.takeRetry(d, target) {
		return false
	}
	d.extendHold(time.Now())
	return true
}

// extendHold allows a request that is to be repeated to wait for its key's next owner beyond its objective. Unlike a request that has not
// run, it can't be refused for its caller to retry it.
func (d *dispatchState) extendHold(now time.Time) {
	until := now.Add(time.Duration(holdShare * float64(d.request.Deadline.Sub(now))))
	if d.mayHaveRun != nil && until.After(d.holdUntil) {
		d.holdUntil = until
	}
}

// allowsRetry reports whether the route allows to send the request to an upstream again after a failure.
func (d *dispatchState) allowsRetry(f *gateway.Failure) bool {
	if d.attempts >= d.route.MaxAttempts {
		return false
	}
	if f == nil {
		return d.route.Kind.Retryable()
	}
	return f.Code != code.UpstreamTimeout && (d.route.Kind.Retryable() || f.NotRun())
}

// takeRetry takes a retry from the budget of the service and reports whether there was one, and an instance to send it to.
func (s *Server) takeRetry(d *dispatchState, target Target) bool {
	if d.request.Key == gateway.NoKey {
		d.tried[target.Slot] = true
		if !s.hasUntried(d) && !s.tryAgain(d, target) {
			return false
		}
	}
	if !s.budgets.get(d.request.Service).Retry() {
		klog.InfoS("request: not retried, the retry budget is spent", "id", d.request.ID, "service", d.request.Service)
		return false
	}
	s.metrics.retries.Inc()
	return true
}

// tryAgain allows a request that may have run to be sent once more to instances that have failed or refused it, to the target of the last
// attempt only if there is no other. It returns false if the service has no instance.
func (s *Server) tryAgain(d *dispatchState, target Target) bool {
	if d.mayHaveRun == nil {
		return false
	}
	clear(d.tried)
	d.tried[target.Slot] = true
	if !s.hasUntried(d) {
		clear(d.tried)
	}
	return s.hasUntried(d)
}

// prepareReroute reports whether a request that reached no upstream is to be sent to another instance, or to the same one later. It
// waits for a new owner of the key if needed.
func (s *Server) prepareReroute(ctx context.Context, d *dispatchState, target Target, f *gateway.Failure) bool {
	if d.request.Key != gateway.NoKey {
		if f.OwnerSlot != "" && !d.tried[f.OwnerSlot] {
			// The other instance has a newer map of the keys' owners than this one.
			d.ownerHint = f.OwnerSlot
			d.tried[f.OwnerSlot] = true
			return true
		}
		return isOwnerChange(f.Code) && s.waitForChange(ctx, d, s.directory.Changed())
	}
	if f.Code == code.Busy && (d.placement.within > 0 || d.placement.spilled) {
		d.busy[target.Slot] = true
		if d.placement.spilled {
			d.refusedBy[target.DataCentre] = true
		}
		return true
	}
	d.tried[target.Slot] = true
	return f.Code != code.TooLate && len(d.tried) < maxTargets && s.hasUntried(d)
}

// hasUntried reports whether the service has instances that were not tried yet. Those that were tried may be no targets any more.
func (s *Server) hasUntried(d *dispatchState) bool {
	return slices.ContainsFunc(s.directory.Targets(d.request.Service), func(t Target) bool { return !d.tried[t.Slot] })
}

// isOwnerChange reports whether a code can mean that the key is changing its owner.
func isOwnerChange(c code.Code) bool {
	switch c {
	case code.NotOwner, code.NoOwner, code.Moved, code.Draining, code.Evacuated, code.UpstreamRefused, code.UpstreamNotWarmed:
		return true
	default:
		return false
	}
}
