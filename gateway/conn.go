package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sapphiretray/httplimit"
)

const (
	// readBufferSize is the size of a connection's read buffer in bytes. Most responses fit.
	readBufferSize = 4096
	// maxSyncWrite is the size of requests up to which a connection takes them at once, whether or not the upstream reads them.
	maxSyncWrite = 4096
	// statusLinePrefix begins each response.
	statusLinePrefix = "HTTP/"
	// maxRefusedIDs bounds the request ids that a connection remembers. A connection that has carried more refusals is closed.
	maxRefusedIDs = 64
)

var (
	errUnsolicited = errors.New("received data without a pending request")
	errClosed      = errors.New("the connection is closed or in use")
	// errUploadBroken means that a response without a length may be a part of one.
	errUploadBroken = errors.New("the connection ended the response while the request was being written")
)

// rawResponse is a complete response before it is interpreted.
type rawResponse struct {
	status int
	header http.Header
	body   []byte
	// closeAfter is set if the connection must not be reused after this response.
	closeAfter bool
	// endsWithConnection is set if the response has no length, so that the end of the connection is its end.
	endsWithConnection bool
}

// conn is a connection to the upstream. It carries one request at a time. A goroutine reads from it continuously, so that
// unsolicited data and the end of an idle connection are detected at once.
type conn struct {
	net.Conn
	// matches is Protocol.Matches.
	matches func(header http.Header, id string) bool
	// memory is shared by all connections to the upstream.
	memory *memory
	// opened is when the connection was opened.
	opened time.Time
	// lost is set if the upstream has ended the connection. Only readLoop and the goroutine that called it use it.
	lost bool
	// written is 0 if it is certain that no byte of the newest request has been sent, and 1 otherwise.
	written atomic.Int64

	mu      sync.Mutex
	pending *exchange
	closed  bool
	// idleSince is when the last response was complete, idleTimeout how long the upstream then keeps the connection open.
	idleSince   time.Time
	idleTimeout time.Duration
	used        bool // Whether the connection has carried a response.
	answering   bool // Whether anything has arrived since the newest request began.
	retired     bool // Whether the connection must not be reused.
	// refused holds the ids of the requests that the upstream refused on this connection.
	refused map[string]struct{}
}

// exchange is a request that awaits its response.
type exchange struct {
	// ctx ends with the request.
	ctx context.Context
	// id is the id of the request, which the response must match, or empty if any response is accepted.
	id     string
	method string
	// expectedBy is until when a response is waited for after bytes that belong to none have arrived. The zero time is no limit.
	expectedBy time.Time
	// memory is that of the request, or nil.
	memory *httplimit.Claim
	done   chan result
}

// result is the outcome of an exchange: a response or an error.
type result struct {
	response *rawResponse
	err      error
}

func newConn(raw net.Conn, matches func(http.Header, string) bool, m *memory) *conn {
	return &conn{Conn: raw, matches: matches, memory: m, idleTimeout: defaultIdleTimeout, opened: time.Now()}
}

// readLoop reads responses until the connection ends.
func (c *conn) readLoop() { c.lost = endedByUpstream(c.readResponses()) }

// readResponses reads responses until the connection ends, and returns why it did.
func (c *conn) readResponses() error {
	limited := &limitedReader{Reader: c.Conn, memory: c.memory}
	limited.reset()
	reader := bufio.NewReaderSize(limited, readBufferSize)
	// Whether bytes that belong to no response have arrived.
	foreign := false
	for {
		_, err := reader.Peek(1)
		c.mu.Lock()
		pending := c.pending
		if pending == nil {
			// No request may begin on the connection before fail closes it.
			c.closed = true
		}
		c.answering = err == nil
		c.mu.Unlock()
		if err == nil && pending == nil {
			err = errUnsolicited
		}
		if err != nil {
			c.fail(err)
			return err
		}
		skipped, err := c.skipToStatusLine(reader, pending)
		if err != nil {
			c.fail(err)
			return err
		}
		foreign = foreign || skipped
		response, err := c.readResponse(reader, limited, pending)
		if err != nil {
			c.fail(err)
			return err
		}
		if response == nil {
			continue
		}
		if foreign || reader.Buffered() > 0 {
			// The upstream sent more data than the response, so the connection must not be reused.
			response.closeAfter = true
		}
		limited.reset()
		c.deliver(response)
	}
}

// skipToStatusLine skips empty lines before a response. On a connection that has carried a response, it also skips bytes that aren't a
// response, and reports whether there were any: the upstream may have sent them after an earlier response, and the id tells whether the
// response that follows belongs to the pending request. If none follows, they were sent in its place, so it is then waited for only as
// long as it is expected. On a new connection they can't belong to an earlier response, and readResponse fails.
func (c *conn) skipToStatusLine(reader *bufio.Reader, pending *exchange) (foreign bool, err error) {
	for matched := 0; matched < len(statusLinePrefix); {
		start, err := reader.Peek(matched + 1)
		if err != nil {
			return foreign, fmt.Errorf("wait for a status line: %w", err)
		}
		if start[matched] == statusLinePrefix[matched] {
			matched++
			continue
		}
		isEmptyLine := matched == 0 && (start[0] == '\r' || start[0] == '\n')
		if !isEmptyLine && !foreign {
			if !c.used || pending.id == "" {
				return false, nil
			}
			foreign = true
			if err := c.SetReadDeadline(pending.expectedBy); err != nil {
				return true, fmt.Errorf("limit the wait for a status line: %w", err)
			}
		}
		// The bytes are buffered.
		_, _ = reader.Discard(1)
		matched = 0
	}
	if foreign {
		err = c.SetReadDeadline(time.Time{})
	}
	return foreign, err
}

// readResponse reads one response. It returns nil for an interim response and for one that belongs to an earlier request.
func (c *conn) readResponse(reader *bufio.Reader, limited *limitedReader, pending *exchange) (_ *rawResponse, err error) {
	limited.beginHead(pending.ctx)
	response, err := http.ReadResponse(reader, &http.Request{Method: pending.method}) //nolint:bodyclose // It is closed as received.
	if err != nil {
		limited.endResponse(err)
		return nil, fmt.Errorf("read response: %w", err)
	}
	limited.beginBody()
	received := response.Body
	defer func() {
		// After an error, Close doesn't read the rest of the body.
		limited.endResponse(err)
		_ = received.Close()
	}()
	if err := checkFields(response.Header); err != nil {
		return nil, err
	}
	if err := checkStatus(response.StatusCode); err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusOK {
		return nil, nil
	}
	if pending.id != "" && !c.matches(response.Header, pending.id) {
		if n, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, fmt.Errorf("read response body of an earlier request after %d bytes: %w", n, err)
		}
		return nil, nil
	}
	var body []byte
	if pending.id != "" {
		body, err = c.readBody(pending, response)
	} else {
		// The responses to control requests are interpreted by their status and headers.
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.idleTimeout = keepAliveTimeout(response.Header, c.idleTimeout)
	c.mu.Unlock()
	return &rawResponse{
		status: response.StatusCode, header: response.Header, body: body, closeAfter: response.Close,
		endsWithConnection: response.ContentLength < 0 && len(response.TransferEncoding) == 0,
	}, nil
}

// maxStatus is the highest status of a known class.
const maxStatus = 599

// checkStatus returns an error if a status is neither a final one of a known class nor that of an interim response that another response
// follows.
func checkStatus(status int) error {
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols || status > maxStatus {
		return fmt.Errorf("the response has status %d", status)
	}
	return nil
}

// readBody reads a whole body of up to maxResponseBytes. It doesn't close the body, which would read the rest of it.
func (c *conn) readBody(pending *exchange, response *http.Response) ([]byte, error) {
	held := pending.memory
	if held == nil {
		held = c.memory.bodies.Open(pending.id)
		defer held.Close()
	}
	body, err := held.ReadAll(pending.ctx, response.Body, response.ContentLength, maxResponseBytes, true)
	if err != nil {
		return nil, fmt.Errorf("read response body after %d bytes: %w", len(body), err)
	}
	return body, nil
}

// keepAliveTimeout returns how long the upstream keeps an idle connection according to its Keep-Alive header, or the argument
// otherwise if the header has no timeout.
func keepAliveTimeout(header http.Header, otherwise time.Duration) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return otherwise
}

// deliver ends the pending request with its response.
func (c *conn) deliver(response *rawResponse) {
	c.mu.Lock()
	pending := c.pending
	c.pending, c.idleSince, c.used = nil, time.Now(), true
	if response.closeAfter {
		c.closed = true
	}
	c.mu.Unlock()
	if pending != nil {
		pending.done <- result{response: response}
	}
}

// fail closes the connection and ends the pending request with an error.
func (c *conn) fail(err error) {
	_ = c.Close()
	c.mu.Lock()
	pending := c.pending
	c.pending, c.closed = nil, true
	c.mu.Unlock()
	if pending != nil {
		pending.done <- result{err: err}
	}
}

// abort resets the connection and ends the pending request with an error. A reset discards data that the upstream hasn't received,
// since nobody waits for the response. After a regular close, the kernel would still send it, including retransmissions.
func (c *conn) abort(err error) {
	if conn, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		// An error means that the connection has been closed in the meantime and needs no reset.
		_ = conn.SetLinger(0)
	}
	c.fail(err)
}

// begin registers a request. It returns false if the connection is closed or in use.
func (c *conn) begin(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.pending != nil {
		return false
	}
	c.pending, c.answering = e, false
	c.written.Store(0)
	return true
}

// usable reports whether an idle connection may be reused: it may have been idle for at most maxIdle, and for at most half of the time
// after which the upstream closes it.
func (c *conn) usable(now time.Time, maxIdle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := now.Sub(c.idleSince)
	return !c.closed && !c.retired && idle <= maxIdle && idle <= c.idleTimeout/2
}

// isSilent reports whether nothing has arrived since the newest request began.
func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.answering
}

// respondedAfter reports whether the last response was complete after a time.
func (c *conn) respondedAfter(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince.After(t)
}

// retire keeps the connection from being reused after the current request.
func (c *conn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
}

// recordRefusal records that the upstream refused a request.
func (c *conn) recordRefusal(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused == nil {
		c.refused = make(map[string]struct{})
	}
	c.refused[id] = struct{}{}
	if len(c.refused) > maxRefusedIDs {
		c.closed = true
	}
}

// hasRefused reports whether the upstream refused a request with this id. Another request with the id must not be sent on this
// connection: if the upstream wrote the refusal once more, it would be taken as the response.
func (c *conn) hasRefused(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.refused[id]
	return ok
}

// isFinished reports whether the connection is closed or must not be reused.
func (c *conn) isFinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed || c.retired
}

// outgoing is a request that is sent on a connection.
type outgoing struct {
	// id, expectedBy and memory are those of the exchange.
	id, method string
	expectedBy time.Time
	memory     *httplimit.Claim
	// head is the encoded request line and headers.
	head, body []byte
	// onSent is called when the last byte has been sent, unless it is nil.
	onSent func()
}

// do sends a request and waits for its response. It sends nothing once ctx has ended. If sent is false, no byte of the request has been
// sent. spawn runs a function in a goroutine.
func (c *conn) do(ctx context.Context, r outgoing, spawn func(func())) (response *rawResponse, sent bool, err error) {
	e := &exchange{ctx: ctx, id: r.id, method: r.method, expectedBy: r.expectedBy, memory: r.memory, done: make(chan result, 1)}
	if !c.begin(e) {
		return nil, false, errClosed
	}
	failed := make(chan error, 1)
	wrote := make(chan struct{})
	var broken atomic.Bool
	write := func() {
		defer close(wrote)
		if err := c.write(ctx, r.head, r.body); err != nil {
			broken.Store(true)
			failed <- err
		} else if r.onSent != nil {
			r.onSent()
		}
	}
	if len(r.head)+len(r.body) > maxSyncWrite {
		// The upstream may respond before it has read a long request, or never read it, so the response is awaited during the write.
		spawn(write)
	} else {
		write()
	}
	for {
		select {
		case result := <-e.done:
			if result.err == nil && result.response.endsWithConnection {
				result.err = awaitWrite(ctx, wrote, &broken)
			}
			if result.err != nil {
				return nil, c.written.Load() > 0, result.err
			}
			c.closeUnlessWritten(wrote)
			return result.response, c.written.Load() > 0, nil
		case err := <-failed:
			if c.written.Load() == 0 {
				c.fail(err)
				return nil, false, err
			}
			// The upstream may have responded before it stopped reading. readLoop delivers the response or the error.
			failed = nil
		case <-ctx.Done():
			c.abort(ctx.Err())
			// The response may have arrived at the same time.
			result := <-e.done
			return result.response, c.written.Load() > 0, result.err
		}
	}
}

// awaitWrite waits until a request has been written on a connection that has ended, and returns errUploadBroken if it hasn't been as a
// whole. The upstream, or its kernel, may then have reset the connection: a write that fails consumes the error, and the read after it
// returns a regular end.
func awaitWrite(ctx context.Context, wrote <-chan struct{}, broken *atomic.Bool) error {
	select {
	case <-wrote:
	case <-ctx.Done():
		return ctx.Err()
	}
	if broken.Load() {
		return errUploadBroken
	}
	return nil
}

// contextError returns the error of a context that has ended. After a standstill of the process, a deadline may have passed although its
// timer hasn't fired yet.
func contextError(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

// write sends a request unless its context has ended.
func (c *conn) write(ctx context.Context, head, body []byte) error {
	if err := contextError(ctx); err != nil {
		return err
	}
	// The request counts as sent until it is certain that no byte was.
	c.written.Store(1)
	buffers := net.Buffers{head}
	if len(body) > 0 {
		buffers = append(buffers, body)
	}
	n, err := buffers.WriteTo(c.Conn)
	if err != nil && n == 0 {
		c.written.Store(0)
	}
	return err
}

// closeUnlessWritten closes a connection whose response arrived before the request was completely sent. Otherwise the upstream would
// read the next request as the rest of the body.
func (c *conn) closeUnlessWritten(wrote <-chan struct{}) {
	select {
	case <-wrote:
	default:
		c.fail(errClosed)
	}
}
