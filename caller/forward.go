package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"sapphiretray/code"
	"sapphiretray/member"
)

// forwardToMember forwards the request to the member at the hold's rank of the partition's entry.
func (s *Server) forwardToMember(ctx context.Context, w http.ResponseWriter, q *query, h *hold) result {
	m := s.directory.Map(q.service())
	if m == nil {
		return refused(code.NoOwner, "no map of service "+q.service())
	}
	q.partition = m.Partition(q.key)
	h.members = len(m.Entry(q.partition).Members)
	if h.members == 0 {
		return refused(code.NoOwner, "partition has no members")
	}
	target, ok := m.Member(q.partition, h.rank)
	if !ok || target == s.directory.Self() {
		return refused(code.NotOwner, "")
	}
	record, ok := s.directory.Record(target)
	if !ok || record.State.Gone() {
		return refused(code.NotOwner, "no record of "+target.String())
	}
	if s.unreachable.avoid(target, func() bool { return s.probe(record.PeerAddress) }) {
		return refused(code.NotOwner, target.String()+" can't be reached")
	}
	return s.forwardTo(ctx, w, q, target, record.PeerAddress)
}

func (s *Server) forwardTo(ctx context.Context, w http.ResponseWriter, q *query, target member.Incarnation, address string) result {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	resp, err := s.forward.RoundTrip(q.toPeer(ctx, address))
	if err != nil {
		return s.forwardFailed(ctx, q, target, connected.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	number, err := strconv.Atoi(resp.Header.Get(HeaderCode))
	if err != nil || resp.Header.Get(HeaderRequestID) != q.id {
		return result{
			reply: replyOf(code.New(code.WrongAnswer, "%s answered %q to %q", target, resp.Header.Get(HeaderRequestID), q.id)),
			path:  pathForwarded,
		}
	}
	if token := resp.Header.Get(HeaderToken); token != "" {
		q.token = token
	}
	if code.Code(number) == code.OK {
		return s.relay(w, q, resp)
	}
	if version, err := strconv.ParseUint(resp.Header.Get(HeaderMap), 10, 64); err == nil {
		if m := s.directory.Map(q.service()); m != nil && version > m.Version() {
			s.directory.Refresh(q.service(), version)
		}
	}
	a := reply{code: code.Code(number), ran: code.Ran(resp.Header.Get(HeaderRan)), text: "answered by " + target.String()}
	return result{reply: a, path: pathForwarded}
}

func (q *query) toPeer(ctx context.Context, address string) *http.Request {
	target := *q.request.URL
	target.Scheme, target.Host = "http", address
	req := &http.Request{
		Method: q.request.Method, URL: &target, Host: q.request.Host, Header: q.request.Header.Clone(),
		Proto: "HTTP/2.0", ProtoMajor: 2,
	}
	stripHop(req.Header)
	req.Header.Set(HeaderRequestID, q.id)
	req.Header.Set(HeaderForwarded, "1")
	req.Header.Set(HeaderDeadline, strconv.FormatInt(max(time.Until(q.deadline).Milliseconds(), 0), 10))
	req.Header.Set(HeaderImportance, strconv.Itoa(q.importance))
	if !q.hasID {
		// The owner answers that a token is needed, so the caller learns the id before the request may run.
		req.Header.Del(HeaderToken)
	}
	if body, length := q.body(); body != nil {
		req.Body, req.ContentLength = io.NopCloser(body), length
		if q.rest != nil {
			// The owner asks for the body after it has admitted the request; a misrouted upload stays unread.
			req.Header.Set("Expect", "100-continue")
		}
	}
	return req.WithContext(ctx)
}

// forwardFailed classifies a failure without a response. Without a connection no byte was sent; after that, the owner may
// have run the request.
func (s *Server) forwardFailed(ctx context.Context, q *query, target member.Incarnation, connected bool, err error) result {
	if q.request.Context().Err() != nil {
		a := replyOf(code.Wrap(code.CallerGone, err, "request %s", q.id))
		if !connected {
			a.ran = code.RanNo
		}
		return result{reply: a, path: pathForwarded}
	}
	if ctx.Err() != nil {
		if !connected {
			return result{reply: replyOf(code.Wrap(code.TooLate, err, "%s", target)), path: pathForwarded}
		}
		return result{reply: replyOf(code.Wrap(code.UpstreamTimeout, err, "%s", target)), path: pathForwarded}
	}
	if q.consumed != nil && q.consumed.failed.Load() {
		return result{reply: replyOf(code.Wrap(code.BodyFailed, err, "request %s", q.id)), path: pathForwarded}
	}
	s.unreachable.add(target)
	s.directory.Suspect(target)
	a := replyOf(code.Wrap(code.PeerFailed, err, "%s", target))
	if !connected {
		a.ran = code.RanNo
	}
	return result{reply: a, path: pathForwarded}
}

// relay sends the owner's response to the caller.
func (s *Server) relay(w http.ResponseWriter, q *query, resp *http.Response) result {
	stripHop(resp.Header)
	stripOwn(resp.Header)
	writeHeader(w, q, resp.StatusCode, resp.Header, resp.ContentLength)
	err := copyBody(w, resp.Body, resp.ContentLength, func() bool { return true })
	if err == nil {
		copyTrailer(w.Header(), resp.Trailer)
		return result{reply: reply{code: code.OK, ran: code.RanYes}, written: true, path: pathForwarded}
	}
	a := reply{code: code.Truncated, ran: code.RanYes, text: err.Error()}
	if errors.Is(q.request.Context().Err(), context.Canceled) {
		a.code = code.CallerGone
	}
	return result{reply: a, written: true, path: pathForwarded}
}
