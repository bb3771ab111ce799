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

// Names of the headers between an instance and its upstream. Requests carry the request id, the partition, the fencing token, the epoch,
// the deadline and the importance; responses carry the request id and may carry HeaderRan and HeaderCode.
const (
	HeaderRequestID  = "Sapphire-Request-Id" // Up to 64 printable ASCII characters.
	HeaderRan        = "Sapphire-Ran"        // "yes", "no" or "unknown"; see code.Ran.
	HeaderCode       = "Sapphire-Code"       // The number of a code.Code.
	HeaderPartition  = "Sapphire-Partition"  // A decimal number.
	HeaderFence      = "Sapphire-Fence"      // The fencing token, a decimal number.
	HeaderEpoch      = "Sapphire-Epoch"      // A decimal number.
	HeaderDeadline   = "Sapphire-Deadline"   // Milliseconds until the deadline.
	HeaderImportance = "Sapphire-Importance" // 0 to 9; higher values take precedence.
)

// Number of connection attempts by which RefusesConnections checks whether the upstream refuses them, and the pause between them.
const (
	refusalChecks        = 3
	refusalCheckInterval = 10 * time.Millisecond
)

// Request is a request to the upstream.
type Request struct {
	Method string
	// URL has the path and the query; its scheme and host are replaced by those of the upstream.
	URL *url.URL
	// Host is the value of the Host header.
	Host string
	// Header holds the caller's headers; Do doesn't change it.
	Header http.Header
	// Body is nil if the request has none.
	Body io.Reader
	// ContentLength is -1 if it isn't known.
	ContentLength int64
	// ID is the request id.
	ID        string
	Partition int
	// Fence is the fencing token of the partition's grant, and Epoch the epoch of its entry in the map.
	Fence uint64
	Epoch uint64
	// Importance is 0 to 9; higher values take precedence.
	Importance int
	// Idempotent allows the request to be retried when a reused connection turns out to be closed.
	Idempotent bool
	// Deadline is the time by which the response must be complete.
	Deadline time.Time
}

// Response is an upstream's response; its request id matches the request.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64
	// Body ends with io.EOF only if it is complete. Errors carry code.Truncated or code.UpstreamTimeout. It must be closed.
	Body io.ReadCloser
	// NotRun is set if the upstream reported that the request didn't run.
	NotRun  bool
	trailer func() http.Header
}

// Trailer returns the trailers. They are complete once the body has been read to its end.
func (r *Response) Trailer() http.Header { return r.trailer() }

// countingConn counts the bytes that are written and read, so that an attempt can tell whether its request may have been sent.
type countingConn struct {
	net.Conn
	written atomic.Int64
	read    atomic.Int64
	// sealed makes further writes fail.
	sealed atomic.Bool
	// open counts the open connections, and closed is set once this one doesn't count any more.
	open   *atomic.Int64
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// Write counts the bytes before it writes them, so that those of a failed write count as sent. It fails on a sealed connection.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	if c.sealed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Read counts the bytes that it reads.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// attempt records which connections one request uses and whether bytes of it were sent on them.
type attempt struct {
	// conn is the newest connection; nil if there was none yet.
	conn atomic.Pointer[countingConn]
	// written and read are the counts of conn when the request got it.
	written int64
	read    int64
	// sent is set if bytes of the request may have been sent.
	sent atomic.Bool
}

// trace returns the hooks that record the request's connections.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.recordSent()
		if conn, ok := info.Conn.(*countingConn); ok {
			a.written, a.read = conn.written.Load(), conn.read.Load()
			a.conn.Store(conn)
		} else {
			a.sent.Store(true)
		}
	}}
}

// recordSent sets sent if bytes were written to the newest connection since the request got it. It is called for each connection,
// as the transport tries another one if a reused connection turns out to be closed.
func (a *attempt) recordSent() {
	if conn := a.conn.Load(); conn != nil && conn.written.Load() != a.written {
		a.sent.Store(true)
	}
}

// sealAndCheckSent reports whether bytes of the request may have been sent. It seals the connection first, so that writes that
// aren't counted yet fail and the result remains valid.
func (a *attempt) sealAndCheckSent() bool {
	if conn := a.conn.Load(); conn != nil {
		conn.sealed.Store(true)
		_ = conn.Close()
	}
	a.recordSent()
	return a.sent.Load()
}

// received reports whether bytes were read from the connection since the request got it.
func (a *attempt) received() bool {
	conn := a.conn.Load()
	return conn != nil && conn.read.Load() != a.read
}

func (a *attempt) close() {
	if conn := a.conn.Load(); conn != nil {
		_ = conn.Close()
	}
}

// nonReplayableBody is a request body without http.Request.GetBody, which http.Transport can't send again. After a reused
// connection failed, http.Transport retries requests without a body that use a method such as GET or have an Idempotency-Key header,
// even if they may have run.
type nonReplayableBody struct{ io.Reader }

func (nonReplayableBody) Close() error { return nil }

// emptyReader is a body of no bytes. Unlike http.NoBody, it keeps http.Transport from retrying the request.
type emptyReader struct{}

func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }

// Do sends a request. Errors carry a result code. With code.TooLate (the deadline has passed already) and code.UpstreamRefused, no
// byte of the request was sent; with any other code, the request may have run.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	left := time.Until(r.Deadline)
	if left <= 0 {
		return nil, code.New(code.TooLate, "deadline passed %v ago", -left)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	a := &attempt{}
	req := r.build(httptrace.WithClientTrace(ctx, a.trace()), c.baseURL, left)
	resp, err := c.connections.transport(r.ID).RoundTrip(req) //nolint:bodyclose // The body is closed by Response.Body.Close.
	if err != nil {
		defer cancel()
		return nil, c.classify(ctx, a, err)
	}
	if err := checkResponse(r, resp); err != nil {
		a.close()
		_ = resp.Body.Close()
		cancel()
		return nil, err
	}
	notRun := reportsNotRun(resp)
	if notRun {
		c.connections.recordRefusal(r.ID)
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength,
		NotRun:  notRun,
		Body:    &body{ReadCloser: resp.Body, cancel: cancel, ctx: ctx},
		trailer: func() http.Header { return resp.Trailer },
	}, nil
}

// build returns the HTTP request with the headers for the upstream; left is the time until the deadline.
func (r *Request) build(ctx context.Context, baseURL string, left time.Duration) *http.Request {
	target := *r.URL
	if parsed, err := url.Parse(baseURL); err == nil {
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
		req.Body = nonReplayableBody{r.Body}
	case !r.Idempotent && transportRetries(req):
		req.Body = nonReplayableBody{emptyReader{}}
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

// transportRetries reports whether http.Transport retries the request by itself if it has no body.
func transportRetries(req *http.Request) bool {
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return req.Header.Get("Idempotency-Key") != "" || req.Header.Get("X-Idempotency-Key") != ""
}

// maxStatus is the highest status of a known class.
const maxStatus = 599

// checkResponse returns an error if a response isn't a final one, if it belongs to another request, or if its end can't be told from a
// broken connection.
func checkResponse(r *Request, resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		// http.Transport skips all other interim responses. No request asks for another protocol, and an HTTP/2 server that is told to
		// respond with 101 sends an empty response with status 200 after it.
		return code.New(code.UpstreamFailed, "upstream responded with status %d to request %q", resp.StatusCode, r.ID)
	}
	if id := resp.Header.Get(HeaderRequestID); id != r.ID {
		return code.New(code.WrongAnswer, "upstream responded with request id %q to request %q", id, r.ID)
	}
	chunked := len(resp.TransferEncoding) > 0
	lengthKnown := r.Method == http.MethodHead || resp.ContentLength >= 0
	if !chunked && !lengthKnown {
		return code.New(code.Truncated, "upstream's response to %q has no length", r.ID)
	}
	return nil
}

// reportsNotRun reports whether the upstream reported that the request didn't run.
func reportsNotRun(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return resp.Header.Get(HeaderRan) == string(code.RanNo)
	default:
		return false
	}
}

// classify returns the error of a request without a response, with a code that tells whether the request may have run.
func (c *Client) classify(ctx context.Context, a *attempt, err error) error {
	timeout := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
	if timeout && a.conn.Load() != nil && !a.received() {
		// The connection may be dead without a sign of it, and so may the idle ones.
		c.connections.closeIdle()
	}
	if !a.sealAndCheckSent() {
		return code.Wrap(code.UpstreamRefused, err, "request could not be sent to the upstream")
	}
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		return code.Wrap(code.CallerGone, err, "caller cancelled the request")
	case timeout:
		return code.Wrap(code.UpstreamTimeout, err, "upstream did not respond in time")
	default:
		return code.Wrap(code.UpstreamFailed, err, "connection failed after the request was sent")
	}
}

// body is the body of a response. It ends with io.EOF only if it is complete, and with an error that has a result code otherwise.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
	ctx    context.Context //nolint:containedctx // Its deadline applies to reading the body.
}

// Read implements io.Reader.
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

// Close closes the body. If the body hasn't been read to its end, its connection is closed, too.
func (b *body) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// RefusesConnections reports whether the upstream refuses connections, as it does after a crash. It tries again after a successful
// connection, up to refusalChecks times in all, because an ending process may close its connections a moment before its listener.
func (c *Client) RefusesConnections(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, c.probeTimeout)
	defer cancel()
	for range refusalChecks {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		_ = conn.Close()
		if !wait.For(ctx, refusalCheckInterval) {
			return false
		}
	}
	return false
}

// HasEnded reports whether the upstream's process has ended: it refuses connections, and none is open. An upstream that only stops
// listening, because it is about to end, still works on the requests of open connections.
func (c *Client) HasEnded(ctx context.Context) bool {
	if !c.RefusesConnections(ctx) {
		return false
	}
	// The end of the connections is noticed a moment after that of the listener.
	for range refusalChecks {
		if c.connections.open.Load() == 0 {
			return true
		}
		wait.For(ctx, refusalCheckInterval)
	}
	return c.connections.open.Load() == 0
}
