package gateway

import (
	"bufio"
	"bytes"
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
)

const (
	// maxAnswerBytes bounds a response that is held in memory.
	maxResponseBytes = 16 << 20
	// readBuffer is the size of a connection's read buffer; most responses fit.
	readBufferSize = 4096
)

var (
	errUnsolicited = errors.New("bytes arrived that belong to no request")
	errTooLarge    = errors.New("the response is larger than is held in memory")
	errClosed      = errors.New("the connection was closed")
)

// answer is a whole response.
type rawResponse struct {
	status int
	header http.Header
	body   []byte
	// last is set if the upstream closes the connection after this response.
	closeAfter bool
}

// conn is one connection to the upstream. It carries one request at a time. A goroutine reads from it all the time, so that
// bytes that belong to no request, and the end of an idle connection, are noticed at once.
type conn struct {
	net.Conn
	// matches reports whether a response belongs to a request.
	matches func(header http.Header, id string) bool
	// written is 0 only if no byte of the request has left.
	written atomic.Int64

	mu      sync.Mutex
	pending *exchange
	closed  bool
	// idleSince is when the last response was complete; keepFor is how long the upstream keeps the connection after it.
	idleSince   time.Time
	idleTimeout time.Duration
	used        bool
}

// exchange is a request that waits for its response.
type exchange struct {
	// id is the id that the response must have, or empty if it has none.
	id     string
	method string
	done   chan result
}

type result struct {
	rawResponse *rawResponse
	err         error
}

func newConn(raw net.Conn, matches func(http.Header, string) bool) *conn {
	return &conn{Conn: raw, matches: matches, idleTimeout: defaultIdleTimeout}
}

// read takes responses until the connection ends.
func (c *conn) readLoop() {
	reader := bufio.NewReaderSize(c.Conn, readBufferSize)
	for {
		_, err := reader.Peek(1)
		c.mu.Lock()
		pending := c.pending
		c.mu.Unlock()
		if err == nil && pending == nil {
			err = errUnsolicited
		}
		if err != nil {
			c.fail(err)
			return
		}
		a, err := c.readResponse(reader, pending)
		if err != nil {
			c.fail(err)
			return
		}
		if a == nil {
			continue
		}
		if reader.Buffered() > 0 {
			// More bytes than the response: the connection must not carry another request.
			a.closeAfter = true
		}
		c.deliver(a)
	}
}

// readAnswer reads one response. It returns nil for an interim response and for one that belongs to an earlier request.
func (c *conn) readResponse(reader *bufio.Reader, pending *exchange) (*rawResponse, error) {
	response, err := http.ReadResponse(reader, &http.Request{Method: pending.method})
	if err != nil {
		return nil, fmt.Errorf("response can't be read: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode < http.StatusOK {
		return nil, nil
	}
	var body bytes.Buffer
	if response.ContentLength > 0 && response.ContentLength <= maxResponseBytes {
		body.Grow(int(response.ContentLength))
	}
	n, err := io.Copy(&body, io.LimitReader(response.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("response body after %d bytes: %w", n, err)
	case n > maxResponseBytes:
		return nil, errTooLarge
	case pending.id != "" && !c.matches(response.Header, pending.id):
		return nil, nil
	}
	c.mu.Lock()
	c.idleTimeout = keepAliveTimeout(response.Header, c.idleTimeout)
	c.mu.Unlock()
	return &rawResponse{status: response.StatusCode, header: response.Header, body: body.Bytes(), closeAfter: response.Close}, nil
}

// keepAlive returns how long the upstream says that it keeps an idle connection.
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
func (c *conn) deliver(a *rawResponse) {
	c.mu.Lock()
	pending := c.pending
	c.pending, c.idleSince, c.used = nil, time.Now(), true
	if a.closeAfter {
		c.closed = true
	}
	c.mu.Unlock()
	if pending != nil {
		pending.done <- result{rawResponse: a}
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

// abort resets the connection and ends the pending request with an error. What has not reached the upstream yet, of a request that
// nobody waits for any more, is dropped; after a close it would still be sent, also when its first try was lost.
func (c *conn) abort(err error) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// A connection that was closed meanwhile needs no reset.
		_ = tcp.SetLinger(0)
	}
	c.fail(err)
}

// begin registers a request and returns false if the connection can't take it.
func (c *conn) begin(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.pending != nil {
		return false
	}
	c.pending = e
	return true
}

// usable reports whether an idle connection may be used again, for a request that tolerates at most the given idle time.
func (c *conn) usable(now time.Time, maxIdle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := now.Sub(c.idleSince)
	return !c.closed && idle <= maxIdle && idle <= c.idleTimeout/2
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// do sends a request and waits for its response. With sent false, no byte of the request has left.
func (c *conn) do(ctx context.Context, id, method string, head, body []byte, spawn func(func())) (a *rawResponse, sent bool, err error) {
	e := &exchange{id: id, method: method, done: make(chan result, 1)}
	if !c.begin(e) {
		return nil, false, errClosed
	}
	failed := make(chan error, 1)
	wrote := make(chan struct{})
	write := func() {
		defer close(wrote)
		if err := c.write(head, body); err != nil {
			failed <- err
		}
	}
	if len(body) > readBufferSize {
		// The upstream may answer before it has read a long body, so the response is awaited meanwhile.
		spawn(write)
	} else {
		write()
	}
	for {
		select {
		case r := <-e.done:
			if r.err == nil {
				c.closeUnlessWritten(wrote)
			}
			return r.rawResponse, c.written.Load() > 0, r.err
		case err := <-failed:
			if c.written.Load() == 0 {
				c.fail(err)
				return nil, false, err
			}
			// The upstream may have answered before it stopped reading. The reader finds the response or the error.
			failed = nil
		case <-ctx.Done():
			c.abort(ctx.Err())
			return nil, c.written.Load() > 0, ctx.Err()
		}
	}
}

func (c *conn) write(head, body []byte) error {
	// Counted as sent until it is certain that no byte has left.
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

// abandonUnlessWritten closes a connection whose request was answered before it was sent whole: what the upstream still
// expects of its body must not be taken from the next request.
func (c *conn) closeUnlessWritten(wrote <-chan struct{}) {
	select {
	case <-wrote:
	default:
		c.fail(errClosed)
	}
}
