package caller

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/code"
)

// Values of the metrics label "path".
const (
	pathLocal     = "local"
	pathForwarded = "forwarded"
	pathNone      = "none"
)

// result tells how serving a request, or one attempt at it, ended, and whether the response has been sent.
type result struct {
	outcome outcome
	// written is set if the response has been sent to the caller, at least in part.
	written bool
	// path is the value of the metrics label; empty means pathNone.
	path string
}

// failed returns the result of a request that this instance neither ran nor forwarded.
func failed(err error) result { return result{outcome: outcomeOf(err), path: pathNone} }

// refused returns the result of a request that did not run.
func refused(c code.Code, text string) result {
	return result{outcome: outcome{code: c, ran: code.RanNo, text: text}, path: pathNone}
}

// serve serves a request from its arrival to the end of its response.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	BoundBody(w, r)
	in := &inboundRequest{request: r, forwarded: IsForwarded(r)}
	res := s.handle(w, in)
	s.metrics.recordRequest(in, res, time.Since(start))
	if !res.written {
		s.writeErrorResponse(w, in, res.outcome)
		return
	}
	if res.outcome.code != code.OK {
		// The status has been sent, so only closing the connection tells the caller that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// handle serves a request without sending a response if it fails. If its handling panics, the result carries code.Internal.
func (s *Server) handle(w http.ResponseWriter, in *inboundRequest) (res result) {
	defer func() {
		if v := recover(); v != nil {
			klog.ErrorS(nil, "request: panic", "id", in.id, "panic", v, "stack", string(debug.Stack()))
			clear(w.Header())
			res = result{outcome: outcomeOf(code.New(code.Internal, "request %s", in.id)), written: in.written}
		}
	}()
	if err := s.parse(in); err != nil {
		return failed(err)
	}
	return s.serveParsed(w, in)
}

// BoundBody bounds the time within which the body of a request must arrive that is refused without reading it. The HTTP/1.1 server reads
// the rest of a body before it sends the response.
func BoundBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyTimeout))
	}
}

// serveParsed serves a valid request, unless the server is stopping.
func (s *Server) serveParsed(w http.ResponseWriter, in *inboundRequest) result {
	ctx, cancel := context.WithCancelCause(in.request.Context())
	defer cancel(nil)
	controller := http.NewResponseController(w)
	interrupt := func() {
		cancel(errInterrupted)
		// An error means that the connection has ended.
		_ = controller.SetReadDeadline(past)
	}
	if !s.drain.enter(in, interrupt) {
		return refused(code.Draining, "the instance is stopping")
	}
	defer s.drain.leave(in)
	s.metrics.inFlight.Inc()
	defer s.metrics.inFlight.Dec()
	ctx, cancelDeadline := context.WithDeadline(ctx, in.deadline)
	defer cancelDeadline()
	_ = controller.SetReadDeadline(in.deadline.Add(stalledCallerGrace))
	// A body that hasn't arrived by the read deadline is answered too.
	_ = controller.SetWriteDeadline(in.deadline.Add(2 * stalledCallerGrace))
	if ctx.Err() != nil {
		// The request may have been interrupted before its deadlines were set.
		interrupt()
	}
	err := in.reserve(ctx, s.memory)
	defer in.memory.Close()
	if err != nil {
		return failed(err)
	}
	if in.forwarded {
		return interruptedResult(ctx, s.serveForwarded(ctx, w, in))
	}
	if err := in.readPrefix(ctx, w); err != nil {
		return failed(err)
	}
	s.budget.Attempt()
	return interruptedResult(ctx, s.dispatch(ctx, w, in))
}

// serveForwarded serves a request that another instance received. Ownership is checked before the body is read, so that
// the other instance can still send a misrouted upload to the right owner. Retries and waiting are also left to that instance.
func (s *Server) serveForwarded(ctx context.Context, w http.ResponseWriter, in *inboundRequest) result {
	admission, err := s.admit(in)
	if err != nil {
		return failed(err)
	}
	if err := in.readPrefix(ctx, w); err != nil {
		admission.Done()
		return failed(err)
	}
	return s.serveLocal(ctx, w, in, admission)
}

// admit determines the request's partition and asks s.ownership for an admission. It starts again if the key got another partition
// meanwhile: a promise for the new one waits only for requests that were admitted while no newer map was known.
func (s *Server) admit(in *inboundRequest) (Admission, error) {
	if in.service() != s.directory.Service() {
		return nil, code.New(code.NotOwner, "service %s is not served here", in.service())
	}
	m := s.directory.Map(in.service())
	if m == nil {
		return nil, code.New(code.NoOwner, "no map of service %s", in.service())
	}
	for {
		in.partition = m.Partition(in.key)
		admission, err := s.ownership.Admit(in.partition)
		if err != nil {
			return nil, admissionError(in.partition, err)
		}
		if m = s.directory.Map(in.service()); m.Partition(in.key) == in.partition {
			return admission, nil
		}
		admission.Done()
	}
}

// admissionError returns the error of a request that wasn't admitted.
func admissionError(p int, err error) error {
	if c, ok := code.Of(err); ok && c != code.LeaseExpired {
		return err
	}
	// code.LeaseExpired would mean that the request may have run, but it has not.
	return code.Wrap(code.NoOwner, err, "partition %d", p)
}

// attempt serves the request with the local upstream if this instance owns the key, and forwards it otherwise.
func (s *Server) attempt(ctx context.Context, w http.ResponseWriter, in *inboundRequest, search *ownerSearch) result {
	if in.service() == s.directory.Service() {
		admission, err := s.admit(in)
		if err == nil {
			return s.serveLocal(ctx, w, in, admission)
		}
		if c, _ := code.Of(err); c == code.Moved || c == code.Draining {
			return failed(err)
		}
	}
	return s.forwardToMember(ctx, w, in, search)
}

// dispatch makes attempts until one succeeds or no further attempt is allowed.
func (s *Server) dispatch(ctx context.Context, w http.ResponseWriter, in *inboundRequest) result {
	search := &ownerSearch{server: s, until: time.Now().Add(s.holdTimeout)}
	defer search.recordWait()
	// mayHaveRun is the newest attempt that may have run.
	var mayHaveRun *result
	for {
		res := s.attempt(ctx, w, in, search)
		if res.written || res.outcome.code == code.OK {
			return res
		}
		if !res.outcome.notRun() {
			mayHaveRun = &res
		}
		shouldRetry, err := s.shouldRetry(ctx, in, search, res.outcome)
		if err != nil {
			return finalResult(result{outcome: outcomeOf(err), path: res.path}, mayHaveRun)
		}
		if !shouldRetry {
			return finalResult(res, mayHaveRun)
		}
	}
}

// finalResult returns the result to report to the caller. If an earlier attempt may have run, a result that means "not run" would be
// wrong, and that attempt's result is returned instead.
func finalResult(last result, mayHaveRun *result) result {
	if mayHaveRun != nil && last.outcome.notRun() {
		return *mayHaveRun
	}
	return last
}

// shouldRetry reports whether another attempt follows an attempt that failed. It waits before it returns true, unless another member
// can be tried at once. An error replaces the outcome of the attempt.
func (s *Server) shouldRetry(ctx context.Context, in *inboundRequest, search *ownerSearch, o outcome) (bool, error) {
	kind := in.retryKindFor(o)
	if kind == retryNever {
		return false, nil
	}
	if err := ctx.Err(); err != nil {
		return false, deadlineError(o, err)
	}
	if kind == retryWaitCharge || kind == retryWaitChargeOnce && !search.charged {
		if !s.budget.Retry() {
			if o.notRun() {
				return false, code.New(code.RetryBudget, "retry budget is spent after %s", o.code)
			}
			return false, nil
		}
		search.charged = true
		s.metrics.retries.Inc()
	}
	if kind == retryNextMember && search.nextMember() {
		return true, nil
	}
	if search.wait(ctx) {
		return true, nil
	}
	if o.code == code.NotOwner || o.code == code.PeerFailed && o.notRun() {
		return false, code.New(code.NoOwner, "no owner found for partition %d of %s", in.partition, in.service())
	}
	return false, nil
}

// deadlineError returns the error for a request whose time ran out although its last outcome o allows a retry.
func deadlineError(o outcome, err error) error {
	if o.notRun() {
		return code.Wrap(code.TooLate, err, "no time left for another attempt after %s", o.code)
	}
	return code.Wrap(o.code, err, "no time left for another attempt")
}

// retryKind tells whether and how another attempt follows an attempt that failed.
type retryKind int

const (
	// retryNever returns the outcome to the caller.
	retryNever retryKind = iota
	// retryNextMember tries the next member of the partition's entry at once, and waits after the last.
	retryNextMember
	// retryWait waits for the partition to get an owner.
	retryWait
	// retryWaitChargeOnce waits like retryWait, and takes one retry from the budget for all attempts together. Attempts at an
	// upstream that refuses connections cost it no work, and the delay between them grows.
	retryWaitChargeOnce
	// retryWaitCharge waits, and takes a retry from the budget for each attempt, as the failed one may have cost an upstream work.
	retryWaitCharge
)

// retryKindFor decides how a request is retried after an outcome. Forwarded requests are retried by the instance that sent them.
func (in *inboundRequest) retryKindFor(o outcome) retryKind {
	if in.forwarded || !in.bodyReplayable() {
		return retryNever
	}
	switch o.code {
	case code.NotOwner:
		return retryNextMember
	case code.NoOwner, code.Moved, code.Draining, code.UpstreamNotWarmed, code.ConfigOutdated:
		return retryWait
	case code.UpstreamRefused:
		return retryWaitChargeOnce
	case code.PeerFailed:
		if o.notRun() {
			return retryNextMember
		}
	case code.UpstreamFailed, code.Truncated, code.WrongAnswer, code.LeaseExpired, code.Internal, code.Interrupted:
	default:
		return retryNever
	}
	if in.route.Idempotent() {
		return retryWaitCharge
	}
	return retryNever
}
