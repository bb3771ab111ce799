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

// forwardToMember forwards the request to the member of the partition's entry that is next in turn (search.rank).
func (s *Server) forwardToMember(ctx context.Context, w http.ResponseWriter, in *inboundRequest, search *ownerSearch) result {
	m := s.directory.Map(in.service())
	if m == nil {
		return refused(code.NoOwner, "no map of service "+in.service())
	}
	in.partition = m.Partition(in.key)
	search.members = len(m.Entry(in.partition).Members)
	if search.members == 0 {
		return refused(code.NoOwner, "partition has no members")
	}
	target, ok := m.Member(in.partition, search.rank)
	if !ok || target == s.directory.Self() {
		return refused(code.NotOwner, "")
	}
	record, ok := s.directory.Record(target)
	if !ok || record.State.Ended() {
		return refused(code.NotOwner, "no record of "+target.String())
	}
	if s.unreachable.shouldSkip(target, func() bool { return s.probe(record.PeerAddress) }) {
		return refused(code.NotOwner, target.String()+" can't be reached")
	}
	return s.forwardTo(ctx, w, in, target, record.PeerAddress)
}

// forwardTo forwards the request to one incarnation. It sends the response to the caller if its result code is code.OK.
func (s *Server) forwardTo(
	ctx context.Context, w http.ResponseWriter, in *inboundRequest, target member.Incarnation, address string,
) result {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	resp, err := s.transport.RoundTrip(in.peerRequest(ctx, address))
	if err != nil {
		return s.forwardFailed(ctx, in, target, connected.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	number, err := strconv.Atoi(resp.Header.Get(HeaderCode))
	if err != nil || resp.Header.Get(HeaderRequestID) != in.id {
		return result{
			outcome: outcomeOf(code.New(
				code.WrongAnswer, "%s responded with request id %q to request %q", target, resp.Header.Get(HeaderRequestID), in.id,
			)),
			path: pathForwarded,
		}
	}
	if token := resp.Header.Get(HeaderToken); token != "" {
		in.token = token
	}
	if code.Code(number) == code.OK {
		return s.relay(w, in, resp)
	}
	if version, err := strconv.ParseUint(resp.Header.Get(HeaderMap), 10, 64); err == nil {
		if m := s.directory.Map(in.service()); m != nil && version > m.Version() {
			s.directory.Refresh(in.service(), version)
		}
	}
	o := outcome{code: code.Code(number), ran: code.Ran(resp.Header.Get(HeaderRan)), text: "response of " + target.String()}
	if o.code == code.NoRoute {
		// The request has a route here, so the other instance lacks it.
		o.code = code.ConfigOutdated
	}
	return result{outcome: o, path: pathForwarded}
}

// peerRequest builds the request to another instance. It carries the time that is left until the deadline.
func (in *inboundRequest) peerRequest(ctx context.Context, address string) *http.Request {
	target := *in.request.URL
	target.Scheme, target.Host = "http", address
	req := &http.Request{
		Method: in.request.Method, URL: &target, Host: in.request.Host, Header: in.request.Header.Clone(),
		Proto: "HTTP/2.0", ProtoMajor: 2,
	}
	removeHopByHop(req.Header)
	req.Header.Set(HeaderRequestID, in.id)
	req.Header.Set(HeaderForwarded, "1")
	req.Header.Set(HeaderDeadline, strconv.FormatInt(max(time.Until(in.deadline).Milliseconds(), 0), 10))
	req.Header.Set(HeaderImportance, strconv.Itoa(in.importance))
	if !in.hasID {
		// Without a token the owner refuses an at-most-once request, so the caller learns the generated id before the request can run.
		req.Header.Del(HeaderToken)
	}
	if body, length := in.body(); body != nil {
		req.Body, req.ContentLength = io.NopCloser(body), length
		if in.rest != nil {
			// The owner requests the body only after it has admitted the request, so a misrouted upload stays unread.
			req.Header.Set("Expect", "100-continue")
		}
	}
	return req.WithContext(ctx)
}

// forwardFailed classifies a forwarded request without a response. If no connection was established, no byte was sent;
// otherwise the owner may have run the request.
func (s *Server) forwardFailed(ctx context.Context, in *inboundRequest, target member.Incarnation, connected bool, err error) result {
	if in.request.Context().Err() != nil {
		o := outcomeOf(code.Wrap(code.CallerGone, err, "request %s", in.id))
		if !connected {
			o.ran = code.RanNo
		}
		return result{outcome: o, path: pathForwarded}
	}
	if ctx.Err() != nil {
		if !connected {
			return result{outcome: outcomeOf(code.Wrap(code.TooLate, err, "%s", target)), path: pathForwarded}
		}
		return result{outcome: outcomeOf(code.Wrap(code.UpstreamTimeout, err, "%s", target)), path: pathForwarded}
	}
	if in.restTracker != nil && in.restTracker.failed.Load() {
		return result{outcome: outcomeOf(code.Wrap(code.BodyFailed, err, "request %s", in.id)), path: pathForwarded}
	}
	s.unreachable.add(target)
	s.directory.ReportUnreachable(target)
	o := outcomeOf(code.Wrap(code.PeerFailed, err, "%s", target))
	if !connected {
		o.ran = code.RanNo
	}
	return result{outcome: o, path: pathForwarded}
}

// relay sends the owner's response to the caller.
func (s *Server) relay(w http.ResponseWriter, in *inboundRequest, resp *http.Response) result {
	removeHopByHop(resp.Header)
	removeInternalHeaders(resp.Header)
	s.writeHeader(w, in, resp.StatusCode, resp.Header, resp.ContentLength)
	err := copyBody(w, resp.Body, resp.ContentLength, func() bool { return true })
	if err == nil {
		copyTrailer(w.Header(), resp.Trailer)
		return result{outcome: outcome{code: code.OK, ran: code.RanYes}, written: true, path: pathForwarded}
	}
	o := outcome{code: code.Truncated, ran: code.RanYes, text: err.Error()}
	if errors.Is(in.request.Context().Err(), context.Canceled) {
		o.code = code.CallerGone
	}
	return result{outcome: o, written: true, path: pathForwarded}
}
