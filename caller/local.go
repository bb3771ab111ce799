package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"sapphiretray/code"
	"sapphiretray/peer"
	"sapphiretray/upstream"
)

// serveLocal serves the request with the local upstream, at most once if the route demands it. It ends the admission.
func (s *Server) serveLocal(ctx context.Context, w http.ResponseWriter, in *inboundRequest, admission Admission) result {
	defer admission.Done()
	in.token = s.dedup.Token(in.partition, admission.Epoch(), admission.OwnedSince())
	if !in.once() {
		return s.run(ctx, w, in, admission, nil)
	}
	text := in.request.Header.Get(HeaderToken)
	if text == "" || !in.hasID {
		return result{outcome: outcomeOf(code.New(code.TokenNeeded, "request %s has no token", in.id)), path: pathLocal}
	}
	token, err := ParseToken(text)
	if err != nil {
		return result{outcome: outcomeOf(code.Wrap(code.BadToken, err, "request %s", in.id)), path: pathLocal}
	}
	running, stored, err := s.dedup.Begin(ctx, RunRequest{
		Partition: in.partition, Epoch: admission.Epoch(), OwnedSince: admission.OwnedSince(), ID: in.id, Token: token,
	})
	if err != nil {
		return result{outcome: outcomeOf(err), path: pathLocal}
	}
	if stored != nil {
		return s.writeStored(w, in, stored)
	}
	defer running.End()
	return s.run(ctx, w, in, admission, running)
}

// run sends the request to the upstream, subject to quarantine and limiter, and the response to the caller. The running argument
// is nil unless the request runs at most once.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, in *inboundRequest, admission Admission, running *OnceRun) result {
	guard, err := s.quarantine.Enter(ctx, in.fingerprint())
	if err != nil {
		return result{outcome: outcomeOf(err), path: pathLocal}
	}
	defer guard.Leave()
	release, err := s.limiter.Acquire(ctx, in.importance, in.deadline)
	if err != nil {
		return result{outcome: limiterOutcome(err), path: pathLocal}
	}
	start := time.Now()
	ok := false
	defer func() { release(time.Since(start), ok) }()
	if !admission.Valid() {
		return refused(code.NoOwner, "lease expired while the request waited")
	}
	running.MarkSent()
	resp, err := s.upstream.Do(ctx, in.upstreamRequest(admission))
	if err != nil {
		return s.upstreamFailed(ctx, in, guard, running, err)
	}
	defer func() { _ = resp.Body.Close() }()
	res := s.deliver(ctx, w, in, admission, running, resp, guard)
	if ok = res.outcome.code == code.OK; ok {
		guard.MarkCleared()
	}
	return res
}

// limiterOutcome returns the outcome of a request that the limiter refused. The request has not run; an error without a result
// code counts as code.TooLate.
func limiterOutcome(err error) outcome {
	o := outcomeOf(err)
	if _, ok := code.Of(err); !ok {
		o.code = code.TooLate
	}
	o.ran = code.RanNo
	return o
}

// upstreamFailed returns the result of a request to which the upstream sent no response. If reading the request body failed, that
// is reported as the cause.
func (s *Server) upstreamFailed(ctx context.Context, in *inboundRequest, guard *GuardedRun, running *OnceRun, err error) result {
	o := outcomeOf(err)
	if in.restTracker != nil && in.restTracker.failed.Load() && o.ran != code.RanNo {
		o = outcomeOf(code.Wrap(code.BodyFailed, err, "request %s", in.id))
	}
	if o.notRun() {
		running.MarkNotRun()
	}
	s.reportCrash(ctx, guard, o)
	return result{outcome: o, path: pathLocal}
}

// reportCrash tells the quarantine that the upstream crashed, if a connection failed and the upstream refuses new ones.
func (s *Server) reportCrash(ctx context.Context, guard *GuardedRun, o outcome) {
	if o.code != code.UpstreamFailed && o.code != code.Truncated {
		return
	}
	if s.upstream.RefusesConnections(context.WithoutCancel(ctx)) {
		guard.MarkCrashed()
	}
}

// upstreamRequest builds the request to the upstream.
func (in *inboundRequest) upstreamRequest(admission Admission) *upstream.Request {
	header := in.request.Header.Clone()
	removeHopByHop(header)
	removeInternalHeaders(header)
	body, length := in.body()
	return &upstream.Request{
		Method: in.request.Method, URL: in.request.URL, Host: in.request.Host, Header: header,
		Body: body, ContentLength: length, ID: in.id, Partition: in.partition, Idempotent: in.route.Idempotent(),
		Fence: admission.Fence(), Epoch: admission.Epoch(), Importance: in.importance, Deadline: in.deadline,
	}
}

// deliver sends the upstream's response to the caller and stores it if the request runs at most once. The lease is checked again
// before any of the response is sent or stored.
func (s *Server) deliver(
	ctx context.Context, w http.ResponseWriter, in *inboundRequest, admission Admission, running *OnceRun,
	resp *upstream.Response, guard *GuardedRun,
) result {
	if resp.NotRun {
		running.MarkNotRun()
		return result{outcome: notRunOutcome(resp), path: pathLocal}
	}
	var buffered []byte
	var readErr error
	if running != nil {
		buffered, readErr = io.ReadAll(io.LimitReader(resp.Body, MaxStoredBody+1))
	}
	if !admission.Valid() {
		return result{outcome: outcomeOf(code.New(code.LeaseExpired, "lease expired while request %s ran", in.id)), path: pathLocal}
	}
	if readErr != nil {
		running.MarkRan(resp.Status)
		o := outcomeOf(readErr)
		s.reportCrash(ctx, guard, o)
		return result{outcome: o, path: pathLocal}
	}
	removeHopByHop(resp.Header)
	removeInternalHeaders(resp.Header)
	if len(buffered) <= MaxStoredBody {
		running.Finish(Stored{Status: resp.Status, Header: resp.Header, Body: buffered})
	} else {
		running.MarkRan(resp.Status)
	}
	return s.stream(ctx, w, in, admission, resp, buffered, guard)
}

// stream sends the response to the caller: first the part of the body that has been read already, then the rest.
func (s *Server) stream(
	ctx context.Context, w http.ResponseWriter, in *inboundRequest, admission Admission, resp *upstream.Response, buffered []byte,
	guard *GuardedRun,
) result {
	if o, ok := in.checkHead(resp.Header); !ok {
		return result{outcome: o, path: pathLocal}
	}
	s.writeHeader(w, in, resp.Status, resp.Header, resp.ContentLength)
	err := copyBody(w, io.MultiReader(bytes.NewReader(buffered), resp.Body), resp.ContentLength, admission.Valid)
	if err == nil {
		copyTrailer(w.Header(), resp.Trailer())
		return result{outcome: outcome{code: code.OK, ran: code.RanYes}, written: true, path: pathLocal}
	}
	o := outcomeOf(err)
	switch {
	case errors.Is(err, errLeaseLost):
		o.code = code.LeaseExpired
	case in.request.Context().Err() != nil:
		o.code = code.CallerGone
	default:
		s.reportCrash(ctx, guard, o)
	}
	return result{outcome: o, written: true, path: pathLocal}
}

// checkHead returns the outcome of a request whose response can't be passed on to the instance that forwarded it, and false.
func (in *inboundRequest) checkHead(header http.Header) (o outcome, ok bool) {
	if !in.forwarded {
		return outcome{}, true
	}
	if err := peer.CheckHead(header); err != nil {
		return outcome{code: code.UpstreamFailed, ran: code.RanYes, text: err.Error()}, false
	}
	return outcome{}, true
}

// writeHeader sends the status and the headers of the response to a request that ran.
func (s *Server) writeHeader(w http.ResponseWriter, in *inboundRequest, status int, header http.Header, length int64) {
	h := w.Header()
	for name, values := range header {
		h[name] = append([]string(nil), values...)
	}
	setResultHeaders(h, in.id, code.OK, code.RanYes)
	s.closeIfDraining(h, in)
	if in.token != "" {
		h.Set(HeaderToken, in.token)
	}
	if length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(status)
	in.written = true
}

// copyTrailer adds the upstream's trailers to a response whose header has been sent.
func copyTrailer(h, trailer http.Header) {
	for name, values := range trailer {
		for _, value := range values {
			h.Add(http.TrailerPrefix+name, value)
		}
	}
}

// writeStored sends the stored response of an earlier request with the same id.
func (s *Server) writeStored(w http.ResponseWriter, in *inboundRequest, stored *Stored) result {
	if o, ok := in.checkHead(stored.Header); !ok {
		return result{outcome: o, path: pathLocal}
	}
	s.writeHeader(w, in, stored.Status, stored.Header, int64(len(stored.Body)))
	_, err := w.Write(stored.Body)
	res := result{outcome: outcome{code: code.OK, ran: code.RanYes}, written: true, path: pathLocal}
	if err != nil {
		res.outcome = outcome{code: code.CallerGone, ran: code.RanYes, text: err.Error()}
	}
	return res
}

// notRunOutcome returns the outcome of a request that the upstream reported as not run.
func notRunOutcome(resp *upstream.Response) outcome {
	if resp.Status == http.StatusConflict {
		return outcome{code: code.NoOwner, ran: code.RanNo, text: "upstream has no valid grant"}
	}
	if resp.Status == http.StatusGatewayTimeout {
		return outcome{code: code.TooLate, ran: code.RanNo, text: "upstream did not start the request before its deadline"}
	}
	number, err := strconv.Atoi(resp.Header.Get(HeaderCode))
	if c := code.Code(number); err == nil && (c == code.UpstreamNotWarmed || c == code.Draining) {
		return outcome{code: c, ran: code.RanNo, text: "upstream is not ready"}
	}
	return outcome{code: code.Shed, ran: code.RanNo, text: "upstream is overloaded"}
}
