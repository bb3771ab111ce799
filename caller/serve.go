package caller

import (
	"context"
	"net/http"
	"time"

	"sapphiretray/code"
)

// Values of the metrics' label "path".
const (
	pathLocal     = "local"
	pathForwarded = "forwarded"
	pathNone      = "none"
)

// result is what an attempt led to. With written set, the response was sent, whole or cut off.
type result struct {
	reply   reply
	written bool
	path    string
}

func failed(err error) result { return result{reply: replyOf(err), path: pathNone} }

func refused(c code.Code, text string) result {
	return result{reply: reply{code: c, ran: code.RanNo, text: text}, path: pathNone}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	q, err := s.parse(r)
	var res result
	if err != nil {
		res = failed(err)
	} else {
		res = s.admitted(w, q)
	}
	s.metrics.finish(q, res, time.Since(start))
	if !res.written {
		s.writeReply(w, q, res.reply)
		return
	}
	if res.reply.code != code.OK {
		// The response has begun, so only a broken connection tells the caller that it isn't complete.
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) admitted(w http.ResponseWriter, q *query) result {
	if !s.drain.enter() {
		return refused(code.Draining, "instance is stopping")
	}
	defer s.drain.leave()
	s.metrics.inFlight.Inc()
	defer s.metrics.inFlight.Dec()
	ctx, cancel := context.WithDeadline(q.request.Context(), q.deadline)
	defer cancel()
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(q.deadline.Add(stuckSlack))
	_ = controller.SetWriteDeadline(q.deadline.Add(stuckSlack))
	if q.forwarded {
		return s.serveForwarded(ctx, w, q)
	}
	if err := q.readPrefix(w); err != nil {
		return failed(err)
	}
	s.budget.Attempt()
	return s.dispatch(ctx, w, q)
}

// serveForwarded serves a request that another instance received. Ownership is checked before the body is read, so that a
// misrouted upload can be sent to the right owner; waiting is left to the other instance.
func (s *Server) serveForwarded(ctx context.Context, w http.ResponseWriter, q *query) result {
	admission, err := s.admit(q)
	if err != nil {
		return failed(err)
	}
	if err := q.readPrefix(w); err != nil {
		admission.Done()
		return failed(err)
	}
	return s.serveLocal(ctx, w, q, admission)
}

// admit asks the owner of the local service for an admission.
func (s *Server) admit(q *query) (Admission, error) {
	if q.service() != s.directory.Service() {
		return nil, code.New(code.NotOwner, "service %s is not served here", q.service())
	}
	m := s.directory.Map(q.service())
	if m == nil {
		return nil, code.New(code.NoOwner, "no map of service %s", q.service())
	}
	q.partition = m.Partition(q.key)
	admission, err := s.owner.Admit(q.partition)
	if err == nil {
		return admission, nil
	}
	c, ok := code.Of(err)
	if !ok || c == code.LeaseExpired {
		// The code of an expired lease says that a request may have run; this one has not.
		return nil, code.Wrap(code.NoOwner, err, "partition %d", q.partition)
	}
	return nil, err
}

// attempt serves the request here if this instance owns the key, and forwards it otherwise.
func (s *Server) attempt(ctx context.Context, w http.ResponseWriter, q *query, h *hold) result {
	if q.service() == s.directory.Service() {
		admission, err := s.admit(q)
		if err == nil {
			return s.serveLocal(ctx, w, q, admission)
		}
		if c, _ := code.Of(err); c == code.Moved || c == code.Draining {
			return failed(err)
		}
	}
	return s.forwardToMember(ctx, w, q, h)
}

// dispatch makes attempts until one yields a result for the caller.
func (s *Server) dispatch(ctx context.Context, w http.ResponseWriter, q *query) result {
	h := &hold{server: s, until: time.Now().Add(s.hold)}
	defer h.end()
	for {
		res := s.attempt(ctx, w, q, h)
		if res.written || res.reply.code == code.OK {
			return res
		}
		again, err := s.again(ctx, q, h, res.reply)
		if err != nil {
			return result{reply: replyOf(err), path: res.path}
		}
		if !again {
			return res
		}
	}
}

// again decides whether another attempt follows, and waits before it where the owner isn't known.
func (s *Server) again(ctx context.Context, q *query, h *hold, a reply) (bool, error) {
	kind := q.retry(a)
	if kind == retryNever {
		return false, nil
	}
	if err := ctx.Err(); err != nil {
		return false, ended(a, err)
	}
	if kind == retryBudget || kind == retryOnce && !h.paid {
		if !s.budget.Retry() {
			if a.notRun() {
				return false, code.New(code.RetryBudget, "after %s", a.code)
			}
			return false, nil
		}
		h.paid = true
		s.metrics.retries.Inc()
	}
	if kind == retryNext && h.next() {
		return true, nil
	}
	if h.wait(ctx) {
		return true, nil
	}
	if a.code == code.NotOwner || a.code == code.PeerFailed && a.notRun() {
		return false, code.New(code.NoOwner, "no owner found for partition %d of %s", q.partition, q.service())
	}
	return false, nil
}

// ended returns the error for a request whose time ended after a reply that would have been followed by another attempt.
func ended(a reply, err error) error {
	if a.notRun() {
		return code.Wrap(code.TooLate, err, "after %s", a.code)
	}
	return code.Wrap(a.code, err, "no time for another attempt")
}

type retryKind int

const (
	// retryNever gives the reply to the caller.
	retryNever retryKind = iota
	// retryNext goes on to the next member of the partition's entry, and waits after the last.
	retryNext
	// retryHold waits for the partition's owner.
	retryHold
	// retryOnce waits like retryHold, but takes a retry from the budget the first time. Later attempts are paced and meet
	// an upstream that refuses connections, so they cost it nothing until a successor serves.
	retryOnce
	// retryBudget waits and takes a retry from the budget, as the attempt may have cost an upstream work.
	retryBudget
)

func (q *query) retry(a reply) retryKind {
	if q.forwarded || !q.repeatable() {
		return retryNever
	}
	switch a.code {
	case code.NotOwner:
		return retryNext
	case code.NoOwner, code.Moved, code.Draining, code.UpstreamNotWarmed:
		return retryHold
	case code.UpstreamRefused:
		return retryOnce
	case code.PeerFailed:
		if a.notRun() {
			return retryNext
		}
	case code.UpstreamFailed, code.Truncated, code.WrongAnswer, code.LeaseExpired:
	default:
		return retryNever
	}
	if q.route.Idempotent() {
		return retryBudget
	}
	return retryNever
}
