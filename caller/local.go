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
	"sapphiretray/upstream"
)

// serveLocal has the local upstream run the request. It ends the admission.
func (s *Server) serveLocal(ctx context.Context, w http.ResponseWriter, q *query, admission Admission) result {
	defer admission.Done()
	q.token = s.dedup.Token(q.partition, admission.Epoch(), admission.Since())
	if !q.once() {
		return s.run(ctx, w, q, admission, nil)
	}
	text := q.request.Header.Get(HeaderToken)
	if text == "" || !q.hasID {
		return result{reply: replyOf(code.New(code.TokenNeeded, "request %s has no token", q.id)), path: pathLocal}
	}
	token, err := ParseToken(text)
	if err != nil {
		return result{reply: replyOf(code.Wrap(code.BadToken, err, "request %s", q.id)), path: pathLocal}
	}
	claim, stored, err := s.dedup.Begin(ctx, Claim{
		Partition: q.partition, Epoch: admission.Epoch(), Since: admission.Since(), ID: q.id, Token: token,
	})
	if err != nil {
		return result{reply: replyOf(err), path: pathLocal}
	}
	if stored != nil {
		return s.writeStored(w, q, stored)
	}
	defer claim.End()
	return s.run(ctx, w, q, admission, claim)
}

// run passes the limits, sends the request to the upstream and the response to the caller.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, q *query, admission Admission, claim *Running) result {
	guard, err := s.quarantine.Enter(ctx, q.fingerprint())
	if err != nil {
		return result{reply: replyOf(err), path: pathLocal}
	}
	defer guard.Leave()
	release, err := s.limiter.Acquire(ctx, q.importance, q.deadline)
	if err != nil {
		return result{reply: limitReply(err), path: pathLocal}
	}
	start := time.Now()
	ok := false
	defer func() { release(time.Since(start), ok) }()
	if !admission.Valid() {
		return refused(code.NoOwner, "lease expired while the request waited")
	}
	claim.Sent()
	resp, err := s.upstream.Do(ctx, q.toUpstream(admission))
	if err != nil {
		return s.upstreamFailed(ctx, q, guard, claim, err)
	}
	defer func() { _ = resp.Body.Close() }()
	res := s.deliver(ctx, w, q, admission, claim, resp, guard)
	if ok = res.reply.code == code.OK; ok {
		guard.Cleared()
	}
	return res
}

// limitReply describes why the limiter refused a request, which has not run.
func limitReply(err error) reply {
	a := replyOf(err)
	if _, ok := code.Of(err); !ok {
		a.code = code.TooLate
	}
	a.ran = code.RanNo
	return a
}

func (s *Server) upstreamFailed(ctx context.Context, q *query, guard *Run, claim *Running, err error) result {
	a := replyOf(err)
	if q.consumed != nil && q.consumed.failed.Load() && a.ran != code.RanNo {
		a = replyOf(code.Wrap(code.BodyFailed, err, "request %s", q.id))
	}
	if a.notRun() {
		claim.NotRun()
	}
	s.noteCrash(ctx, guard, a)
	return result{reply: a, path: pathLocal}
}

// noteCrash records a suspect if the connection broke because the upstream is gone.
func (s *Server) noteCrash(ctx context.Context, guard *Run, a reply) {
	if a.code != code.UpstreamFailed && a.code != code.Truncated {
		return
	}
	if s.upstream.Gone(context.WithoutCancel(ctx)) {
		guard.Crashed()
	}
}

func (q *query) toUpstream(admission Admission) *upstream.Request {
	header := q.request.Header.Clone()
	stripHop(header)
	stripOwn(header)
	body, length := q.body()
	return &upstream.Request{
		Method: q.request.Method, URL: q.request.URL, Host: q.request.Host, Header: header,
		Body: body, ContentLength: length, ID: q.id, Partition: q.partition, Idempotent: q.route.Idempotent(),
		Fence: admission.Fence(), Epoch: admission.Epoch(), Importance: q.importance, Deadline: q.deadline,
	}
}

// deliver sends the upstream's response to the caller. The lease is checked once more before any of it is used.
func (s *Server) deliver(
	ctx context.Context, w http.ResponseWriter, q *query, admission Admission, claim *Running, resp *upstream.Response, guard *Run,
) result {
	if resp.Rejected {
		claim.NotRun()
		return result{reply: rejection(resp), path: pathLocal}
	}
	var small []byte
	var readErr error
	if claim != nil {
		small, readErr = io.ReadAll(io.LimitReader(resp.Body, MaxStoredBody+1))
	}
	if !admission.Valid() {
		return result{reply: replyOf(code.New(code.LeaseExpired, "lease expired while request %s ran", q.id)), path: pathLocal}
	}
	if readErr != nil {
		claim.Ran(resp.Status)
		a := replyOf(readErr)
		s.noteCrash(ctx, guard, a)
		return result{reply: a, path: pathLocal}
	}
	stripHop(resp.Header)
	stripOwn(resp.Header)
	if len(small) <= MaxStoredBody {
		claim.Finish(Stored{Status: resp.Status, Header: resp.Header, Body: small})
	} else {
		claim.Ran(resp.Status)
	}
	return s.stream(ctx, w, q, admission, resp, small, guard)
}

func (s *Server) stream(
	ctx context.Context, w http.ResponseWriter, q *query, admission Admission, resp *upstream.Response, start []byte, guard *Run,
) result {
	writeHeader(w, q, resp.Status, resp.Header, resp.ContentLength)
	err := copyBody(w, io.MultiReader(bytes.NewReader(start), resp.Body), resp.ContentLength, admission.Valid)
	if err == nil {
		copyTrailer(w.Header(), resp.Trailer())
		return result{reply: reply{code: code.OK, ran: code.RanYes}, written: true, path: pathLocal}
	}
	a := replyOf(err)
	switch {
	case errors.Is(err, errLeaseLost):
		a.code = code.LeaseExpired
	case q.request.Context().Err() != nil:
		a.code = code.CallerGone
	default:
		s.noteCrash(ctx, guard, a)
	}
	return result{reply: a, written: true, path: pathLocal}
}

// writeHeader sends the status and the headers of a response that ran.
func writeHeader(w http.ResponseWriter, q *query, status int, header http.Header, length int64) {
	h := w.Header()
	for name, values := range header {
		h[name] = append([]string(nil), values...)
	}
	setResult(h, q.id, code.OK, code.RanYes)
	if q.token != "" {
		h.Set(HeaderToken, q.token)
	}
	if length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(status)
}

func copyTrailer(h, trailer http.Header) {
	for name, values := range trailer {
		for _, value := range values {
			h.Add(http.TrailerPrefix+name, value)
		}
	}
}

func (s *Server) writeStored(w http.ResponseWriter, q *query, stored *Stored) result {
	writeHeader(w, q, stored.Status, stored.Header, int64(len(stored.Body)))
	_, err := w.Write(stored.Body)
	res := result{reply: reply{code: code.OK, ran: code.RanYes}, written: true, path: pathLocal}
	if err != nil {
		res.reply = reply{code: code.CallerGone, ran: code.RanYes, text: err.Error()}
	}
	return res
}

// rejection describes a request that the upstream states it didn't run.
func rejection(resp *upstream.Response) reply {
	if resp.Status == http.StatusConflict {
		return reply{code: code.NoOwner, ran: code.RanNo, text: "upstream has no valid grant"}
	}
	if resp.Status == http.StatusGatewayTimeout {
		return reply{code: code.TooLate, ran: code.RanNo, text: "upstream did not start the request before its deadline"}
	}
	number, err := strconv.Atoi(resp.Header.Get(HeaderCode))
	if c := code.Code(number); err == nil && (c == code.UpstreamNotWarmed || c == code.Draining) {
		return reply{code: c, ran: code.RanNo, text: "upstream is not ready"}
	}
	return reply{code: code.Shed, ran: code.RanNo, text: "upstream is overloaded"}
}
