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
	"sapphiretray/httplimit"
	"sapphiretray/policy"

	"github.com/oklog/ulid/v2"
)

// maxIDLength is the maximum length of a request id, in bytes.
const maxIDLength = 64

// inboundRequest is a request from a caller or another instance, with its route and limits and the state of its body.
type inboundRequest struct {
	request    *http.Request
	route      Route
	id         string
	key        string
	partition  int
	importance int
	deadline   time.Time
	// forwarded is set if another instance sent the request.
	forwarded bool
	// hasID is set if the sender chose the id, rather than this server.
	hasID bool
	// token is the new token for the response; empty until the owner has issued one.
	token string
	// prefix holds the first bytes of the body, or the whole body if rest is nil.
	prefix []byte
	rest   io.Reader
	// restTracker wraps rest and records whether an attempt has read from it; then the body can't be sent again.
	restTracker *trackingReader
	// memory is what the request holds, or nil if nothing bounds it.
	memory *httplimit.Claim
	// written is set once the status and the headers of a response to a request that ran have been sent.
	written bool
}

// service returns the name of the route's service, or "" if no route matched.
func (in *inboundRequest) service() string {
	if in.route == nil {
		return ""
	}
	return in.route.Service()
}

// once reports whether the request runs at most once per request id.
func (in *inboundRequest) once() bool { return in.route.Once() && !in.route.Idempotent() }

// bodyReplayable reports whether the body can be sent again.
func (in *inboundRequest) bodyReplayable() bool {
	return in.restTracker == nil || !in.restTracker.used.Load()
}

// body returns the whole body and its length, or nil if it is empty. The length is -1 if it isn't known.
func (in *inboundRequest) body() (io.Reader, int64) {
	if in.rest == nil {
		if len(in.prefix) == 0 {
			return nil, 0
		}
		return bytes.NewReader(in.prefix), int64(len(in.prefix))
	}
	return io.MultiReader(bytes.NewReader(in.prefix), in.restTracker), in.request.ContentLength
}

// parse validates a request. It has an id for the response even if there is an error.
func (s *Server) parse(in *inboundRequest) error {
	r := in.request
	if err := in.parseID(r.Header.Get(HeaderRequestID)); err != nil {
		return err
	}
	route, ok := s.routes.Match(r.URL.Path, r.Method)
	if !ok && s.routes.Outdated() {
		return code.New(code.ConfigOutdated, "no route for %s %s", r.Method, r.URL.Path)
	}
	if !ok {
		return code.New(code.NoRoute, "no route for %s %s", r.Method, r.URL.Path)
	}
	in.route = route
	if in.key, ok = route.Key(r); !ok {
		return code.New(code.NoKey, "request for %s has no key", r.URL.Path)
	}
	if err := in.parseLimits(r); err != nil {
		return err
	}
	if limit := route.MaxBodyBytes(); limit > 0 && r.ContentLength > limit {
		return code.New(code.TooLarge, "body of %d bytes, at most %d are allowed", r.ContentLength, limit)
	}
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		return code.New(code.BadRequest, "connection upgrades are not supported")
	}
	return nil
}

// parseID validates the request id of the sender, and generates one if it is missing or invalid.
func (in *inboundRequest) parseID(id string) error {
	if id == "" {
		in.id = ulid.Make().String()
		return nil
	}
	if len(id) > maxIDLength {
		in.id = ulid.Make().String()
		return code.New(code.BadID, "request id with %d characters is too long", len(id))
	}
	for _, c := range []byte(id) {
		if c < ' ' || c > '~' {
			in.id = ulid.Make().String()
			return code.New(code.BadID, "request id has an unprintable character")
		}
	}
	in.id, in.hasID = id, true
	return nil
}

// parseLimits sets the deadline and the importance. The headers can lower the route's values but not raise them.
func (in *inboundRequest) parseLimits(r *http.Request) error {
	timeout := in.route.Timeout()
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	timeout = min(timeout, MaxTimeout)
	if text := r.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			return code.New(code.BadRequest, "%s: %q is not a number of milliseconds", HeaderDeadline, text)
		}
		if ms < timeout.Milliseconds() {
			timeout = time.Duration(ms) * time.Millisecond
		}
	}
	in.deadline = time.Now().Add(timeout)
	in.importance = in.route.Importance()
	if text := r.Header.Get(HeaderImportance); text != "" {
		importance, err := strconv.Atoi(text)
		if err != nil || importance < 0 || importance > 9 {
			return code.New(code.BadRequest, "%s: %q is not 0 to 9", HeaderImportance, text)
		}
		in.importance = min(in.importance, importance)
	}
	return nil
}

// readPrefix reads the body up to MaxReplayableBody bytes, and prepares the rest to be streamed if the body is larger.
func (in *inboundRequest) readPrefix(ctx context.Context, w http.ResponseWriter) error {
	r := in.request
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	limit := in.route.MaxBodyBytes()
	prefix, err := in.readArriving(w, io.LimitReader(r.Body, MaxReplayableBody+1))
	if errors.Is(err, httplimit.ErrRevoked) {
		return code.Wrap(code.NoMemory, err, "read the request's body")
	}
	if err != nil && errors.Is(context.Cause(ctx), errInterrupted) {
		return code.Wrap(code.Draining, err, "read the request's body")
	}
	if err != nil && !time.Now().Before(in.deadline) {
		return code.Wrap(code.TooLate, err, "read the request's body")
	}
	if err != nil {
		return code.Wrap(code.CallerGone, err, "read the request's body")
	}
	in.prefix = prefix
	if limit > 0 && int64(len(prefix)) > limit {
		return code.New(code.TooLarge, "body exceeds %d bytes", limit)
	}
	if len(prefix) <= MaxReplayableBody {
		return nil
	}
	in.rest = r.Body
	if limit > 0 {
		in.rest = &boundedReader{reader: r.Body, left: limit - int64(len(prefix))}
	}
	in.restTracker = &trackingReader{reader: in.rest}
	// Otherwise the HTTP/1.1 server would read the rest of the body before it sends the response.
	_ = http.NewResponseController(w).EnableFullDuplex()
	return nil
}

// reserve reserves the memory of a request in flight, with the part of its body that is buffered.
func (in *inboundRequest) reserve(ctx context.Context, budget *httplimit.Budget) error {
	if budget == nil {
		return nil
	}
	in.memory = budget.Open(in.request.RemoteAddr)
	prefix := int64(MaxReplayableBody + 1)
	if n := in.request.ContentLength; n >= 0 {
		prefix = min(prefix, n)
	}
	// The buffer doubles while it is read.
	if err := in.memory.Reserve(ctx, requestMemory+2*prefix, false); err != nil {
		return code.Wrap(code.NoMemory, err, "request %s", in.id)
	}
	return nil
}

// readArriving reads a part of the body. The request gives way to others meanwhile if it stops or its caller holds much.
func (in *inboundRequest) readArriving(w http.ResponseWriter, part io.Reader) ([]byte, error) {
	revoked, revoke := context.WithCancel(in.request.Context())
	defer revoke()
	interrupted := make(chan struct{})
	stop := context.AfterFunc(revoked, func() {
		defer close(interrupted)
		// An error means that the connection has ended.
		_ = http.NewResponseController(w).SetReadDeadline(past)
	})
	err := in.memory.SetRevocable(policy.Revocable, revoke)
	var content []byte
	if err == nil {
		content, err = io.ReadAll(in.memory.Reader(part))
	}
	if held := in.memory.SetRevocable(policy.Irrevocable, nil); held != nil {
		err = held
	}
	if !stop() {
		<-interrupted
	}
	return content, err
}

var errBodyTooLarge = errors.New("request body exceeds the route's limit")

// boundedReader fails with errBodyTooLarge once more than left bytes have been read.
type boundedReader struct {
	reader io.Reader
	left   int64
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}
