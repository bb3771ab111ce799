package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"sapphiretray/code"

	"github.com/oklog/ulid/v2"
)

const maxIDLength = 64

// query is one request of a caller on its way through the server.
type query struct {
	request    *http.Request
	route      Route
	id         string
	key        string
	partition  int
	importance int
	deadline   time.Time
	forwarded  bool
	hasID      bool
	// token is the fresh token for the response; empty until an owner has issued one.
	token string
	// prefix holds the first bytes of the body, whole if rest is nil.
	prefix []byte
	rest   io.Reader
	// consumed tells that an attempt has read from rest, so the body can't be sent again.
	consumed *flagReader
}

func (q *query) service() string {
	if q.route == nil {
		return ""
	}
	return q.route.Service()
}

// once reports whether the request runs at most once by its id.
func (q *query) once() bool { return q.route.Once() && !q.route.Idempotent() }

// repeatable reports whether the body can be sent once more.
func (q *query) repeatable() bool { return q.consumed == nil || !q.consumed.used.Load() }

// body returns the body from its start, or nil if it is empty.
func (q *query) body() (io.Reader, int64) {
	if q.rest == nil {
		if len(q.prefix) == 0 {
			return nil, 0
		}
		return bytes.NewReader(q.prefix), int64(len(q.prefix))
	}
	return io.MultiReader(bytes.NewReader(q.prefix), q.consumed), q.request.ContentLength
}

// parse checks a request and returns its query. The query is usable for the reply even if an error is returned.
func (s *Server) parse(r *http.Request) (*query, error) {
	q := &query{request: r, forwarded: IsForwarded(r)}
	if err := q.parseID(r.Header.Get(HeaderRequestID)); err != nil {
		return q, err
	}
	route, ok := s.routes.Match(r.URL.Path, r.Method)
	if !ok {
		return q, code.New(code.NoRoute, "no route for %s %s", r.Method, r.URL.Path)
	}
	q.route = route
	if q.key, ok = route.Key(r); !ok {
		return q, code.New(code.NoKey, "request for %s has no key", r.URL.Path)
	}
	if err := q.parseLimits(r); err != nil {
		return q, err
	}
	if limit := route.MaxBodyBytes(); limit > 0 && r.ContentLength > limit {
		return q, code.New(code.TooLarge, "body of %d bytes, at most %d are allowed", r.ContentLength, limit)
	}
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		return q, code.New(code.BadRequest, "connections can't be upgraded")
	}
	return q, nil
}

func (q *query) parseID(id string) error {
	if id == "" {
		q.id = ulid.Make().String()
		return nil
	}
	if len(id) > maxIDLength {
		q.id = ulid.Make().String()
		return code.New(code.BadID, "request id has %d characters", len(id))
	}
	for _, c := range []byte(id) {
		if c < ' ' || c > '~' {
			q.id = ulid.Make().String()
			return code.New(code.BadID, "request id has an unprintable character")
		}
	}
	q.id, q.hasID = id, true
	return nil
}

// parseLimits reads the deadline and the importance. A caller can lower both but not raise them above the route's.
func (q *query) parseLimits(r *http.Request) error {
	timeout := q.route.Timeout()
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
	q.deadline = time.Now().Add(timeout)
	q.importance = q.route.Importance()
	if text := r.Header.Get(HeaderImportance); text != "" {
		importance, err := strconv.Atoi(text)
		if err != nil || importance < 0 || importance > 9 {
			return code.New(code.BadRequest, "%s: %q is not 0 to 9", HeaderImportance, text)
		}
		q.importance = min(q.importance, importance)
	}
	return nil
}

// readPrefix reads the first bytes of the body.
func (q *query) readPrefix(w http.ResponseWriter) error {
	r := q.request
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	limit := q.route.MaxBodyBytes()
	prefix, err := io.ReadAll(io.LimitReader(r.Body, SmallBody+1))
	if err != nil && !time.Now().Before(q.deadline) {
		return code.Wrap(code.TooLate, err, "read the request's body")
	}
	if err != nil {
		return code.Wrap(code.CallerGone, err, "read the request's body")
	}
	q.prefix = prefix
	if limit > 0 && int64(len(prefix)) > limit {
		return code.New(code.TooLarge, "body exceeds %d bytes", limit)
	}
	if len(prefix) <= SmallBody {
		return nil
	}
	q.rest = r.Body
	if limit > 0 {
		q.rest = &boundedReader{reader: r.Body, left: limit - int64(len(prefix))}
	}
	q.consumed = &flagReader{reader: q.rest}
	// Without this, the HTTP/1.1 server reads the rest of the body itself before it sends the response.
	_ = http.NewResponseController(w).EnableFullDuplex()
	return nil
}

var errBodyTooLarge = errors.New("request body exceeds the route's limit")

// boundedReader fails when more bytes than allowed arrive.
type boundedReader struct {
	reader io.Reader
	left   int64
}

// Read reads the next part.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}
