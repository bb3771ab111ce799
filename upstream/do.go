package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"sapphiretray/code"
	"sapphiretray/wait"
)

// Names of the headers between an instance and its upstream.
const (
	HeaderRequestID  = "Sapphire-Request-Id"
	HeaderRan        = "Sapphire-Ran"
	HeaderCode       = "Sapphire-Code"
	HeaderPartition  = "Sapphire-Partition"
	HeaderFence      = "Sapphire-Fence"
	HeaderEpoch      = "Sapphire-Epoch"
	HeaderDeadline   = "Sapphire-Deadline"
	HeaderImportance = "Sapphire-Importance"
)

const (
	goneTries    = 3
	goneInterval = 10 * time.Millisecond
)

// Request is one request for the upstream.
type Request struct {
	Method string
	URL    *url.URL
	Host   string
	// Header holds the caller's headers; Do doesn't change it.
	Header        http.Header
	Body          io.Reader
	ContentLength int64
	ID            string
	Partition     int
	Fence         uint64
	Epoch         uint64
	Importance    int
	// Idempotent allows the request to be sent again when a reused connection turns out to be closed.
	Idempotent bool
	// Deadline is the time until which the response has to be complete.
	Deadline time.Time
}

// Response is an upstream's response whose id was checked.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64
	// Body ends with an error that carries code.Truncated unless it is complete. It must be closed.
	Body io.ReadCloser
	// Rejected tells that the upstream stated that the request didn't run.
	Rejected bool
	trailer  func() http.Header
}

// Trailer returns the trailer; it is complete when the body has been read to its end.
func (r *Response) Trailer() http.Header { return r.trailer() }

// countingConn counts the bytes handed to the operating system for sending.
type countingConn struct {
	net.Conn
	written atomic.Int64
	read    atomic.Int64
	sealed  atomic.Bool
}

// Write counts before writing, so that a failed write counts as sent. It fails on a sealed connection.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	if c.sealed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Read counts the bytes read.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// attempt observes the connections that one request uses.
type attempt struct {
	conn    atomic.Pointer[countingConn]
	written int64
	read    int64
	sent    atomic.Bool
}

func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.note()
		if conn, ok := info.Conn.(*countingConn); ok {
			a.written, a.read = conn.written.Load(), conn.read.Load()
			a.conn.Store(conn)
		} else {
			a.sent.Store(true)
		}
	}}
}

// note records whether the connection in use has sent bytes of this request. The transport may try a second connection
// after the first one turned out to be closed.
func (a *attempt) note() {
	if conn := a.conn.Load(); conn != nil && conn.written.Load() != a.written {
		a.sent.Store(true)
	}
}

// started reports whether bytes of the request may have been sent. It seals the connection first: a write that isn't
// counted yet fails, so the result stays true.
func (a *attempt) started() bool {
	if conn := a.conn.Load(); conn != nil {
		conn.sealed.Store(true)
		_ = conn.Close()
	}
	a.note()
	return a.sent.Load()
}

func (a *attempt) heard() bool {
	conn := a.conn.Load()
	return conn != nil && conn.read.Load() != a.read
}

func (a *attempt) close() {
	if conn := a.conn.Load(); conn != nil {
		_ = conn.Close()
	}
}

// unrepeatable is a body that the transport can't send again. Without it, http.Transport repeats a GET request or one with
// an Idempotency-Key header that has no body after the connection failed, even if the request may have run.
type unrepeatable struct{ io.Reader }

func (unrepeatable) Close() error { return nil }

type empty struct{}

func (empty) Read([]byte) (int, error) { return 0, io.EOF }

// Do sends a request. The error carries a result code: with code.UpstreamRefused no byte of the request was sent; with any
// other the outcome is unknown, except code.TooLate, which is returned if the deadline has passed already.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	left := time.Until(r.Deadline)
	if left <= 0 {
		return nil, code.New(code.TooLate, "deadline passed %v ago", -left)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	a := &attempt{}
	req := r.build(httptrace.WithClientTrace(ctx, a.trace()), c.base, left)
	resp, err := c.requests.RoundTrip(req) //nolint:bodyclose // The body is closed by Response.Body.Close.
	if err != nil {
		defer cancel()
		return nil, c.classify(ctx, a, err)
	}
	if err := check(r, resp); err != nil {
		a.close()
		_ = resp.Body.Close()
		cancel()
		return nil, err
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength,
		Rejected: rejected(resp),
		Body:     &body{ReadCloser: resp.Body, cancel: cancel, ctx: ctx},
		trailer:  func() http.Header { return resp.Trailer },
	}, nil
}

func (r *Request) build(ctx context.Context, base string, left time.Duration) *http.Request {
	target := *r.URL
	if parsed, err := url.Parse(base); err == nil {
		target.Scheme, target.Host = parsed.Scheme, parsed.Host
	}
	req := &http.Request{
		Method: r.Method, URL: &target, Host: r.Host, Header: r.Header.Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: r.ContentLength,
	}
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	req = req.WithContext(ctx)
	switch {
	case r.Body != nil && r.ContentLength != 0:
		req.Body = unrepeatable{r.Body}
	case !r.Idempotent && replayable(req):
		req.Body = unrepeatable{empty{}}
	default:
		req.ContentLength = 0
	}
	for name, value := range map[string]string{
		HeaderRequestID:  r.ID,
		HeaderPartition:  strconv.Itoa(r.Partition),
		HeaderFence:      strconv.FormatUint(r.Fence, 10),
		HeaderEpoch:      strconv.FormatUint(r.Epoch, 10),
		HeaderDeadline:   strconv.FormatInt(max(left.Milliseconds(), 1), 10),
		HeaderImportance: strconv.Itoa(r.Importance),
	} {
		req.Header.Set(name, value)
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "")
	}
	return req
}

// replayable reports whether http.Transport would repeat the request if it had no body.
func replayable(req *http.Request) bool {
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return req.Header.Get("Idempotency-Key") != "" || req.Header.Get("X-Idempotency-Key") != ""
}

// check refuses a response that belongs to another request or whose end can't be recognised.
func check(r *Request, resp *http.Response) error {
	if id := resp.Header.Get(HeaderRequestID); id != r.ID {
		return code.New(code.WrongAnswer, "upstream answered %q to request %q", id, r.ID)
	}
	chunked := len(resp.TransferEncoding) > 0
	bodiless := r.Method == http.MethodHead || resp.ContentLength >= 0
	if !chunked && !bodiless {
		return code.New(code.Truncated, "upstream's response to %q has no length", r.ID)
	}
	return nil
}

// rejected reports whether the upstream states that the request didn't run.
func rejected(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return resp.Header.Get(HeaderRan) == string(code.RanNo)
	default:
		return false
	}
}

func (c *Client) classify(ctx context.Context, a *attempt, err error) error {
	timeout := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
	if timeout && a.conn.Load() != nil && !a.heard() {
		// The connection may be silent; so may those that were opened at the same time.
		c.requests.CloseIdleConnections()
	}
	if !a.started() {
		return code.Wrap(code.UpstreamRefused, err, "request was not sent")
	}
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		return code.Wrap(code.CallerGone, err, "caller cancelled the request")
	case timeout:
		return code.Wrap(code.UpstreamTimeout, err, "upstream did not answer in time")
	default:
		return code.Wrap(code.UpstreamFailed, err, "connection failed after the request was sent")
	}
}

// body is a response's body; it ends with io.EOF only if it is complete.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
	ctx    context.Context //nolint:containedctx // The context bounds the reading of the body.
}

// Read reads the next part of the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	if errors.Is(b.ctx.Err(), context.DeadlineExceeded) {
		return n, code.Wrap(code.UpstreamTimeout, err, "upstream's response was not complete in time")
	}
	return n, code.Wrap(code.Truncated, err, "upstream's response was cut short")
}

// Close closes the body; an incomplete one closes its connection.
func (b *body) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// Gone reports whether the upstream refuses connections now, as it does after a crash. A process that ends may close its
// connections a moment before its listener, so a connection that succeeds is tried again.
func (c *Client) Gone(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, c.probeTimeout)
	defer cancel()
	for range goneTries {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		_ = conn.Close()
		if !wait.For(ctx, goneInterval) {
			return false
		}
	}
	return false
}
