package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/code"
	"sapphiretray/routing"
)

// requestState is how far the newest request of a caller's connection has come.
type requestState int

const (
	// requestNone means that the connection is idle: no byte has been read since it was accepted or the last request was answered.
	requestNone requestState = iota
	// requestPartial means that a part of the headers has been read.
	requestPartial
	// requestRead means that the headers have been read and the handler hasn't begun.
	requestRead
	// requestServed means that the handler runs.
	requestServed
	// requestAborted means that the handler has panicked.
	requestAborted
	// requestFinished means that there is a response. It may still be in a buffer.
	requestFinished
)

func (s requestState) String() string {
	switch s {
	case requestPartial:
		return "partial"
	case requestRead:
		return "read"
	case requestServed:
		return "served"
	case requestAborted:
		return "aborted"
	case requestFinished:
		return "finished"
	default:
		return "none"
	}
}

// lingerTimeout bounds the wait for a caller that has sent more requests than are answered to read the last response.
const lingerTimeout = 2 * time.Second

// Reasons for which a request is not answered.
const (
	reasonCallerLeft  = "caller_left"
	reasonUnread      = "unread"
	reasonWriteFailed = "write_failed"
	reasonAborted     = "aborted"
	reasonNotBegun    = "not_begun"
	reasonClosed      = "closed"
)

// callerConn is the connection of a caller. It reports a request that was read and not answered when the connection ends.
type callerConn struct {
	net.Conn
	connections *Connections
	// mu guards the fields below.
	mu    sync.Mutex
	state requestState
	// since is when the connection became idle or, in state requestPartial, when the first byte of the request was read. limits are the
	// highest that were seen in effect since then.
	since  time.Time
	limits routing.Limits
	// kept is set once a request has been answered.
	kept bool
	// interrupted is set while the deadline for reads has passed in order to close the connection.
	interrupted bool
	// id is the id of the newest request, if its headers have been interpreted.
	id string
	// began is when the headers of the newest request were complete.
	began time.Time
	// readErr and writeErr are the first errors of the connection, except for expired deadlines of reads.
	readErr, writeErr error
	closed            bool
	// released is set once the connection doesn't count as accepted any more. Connections.mu guards it.
	released bool
	// evicted is set if the connection gives way to another one. It is then closed although more of an incomplete request has arrived.
	evicted bool
	// readable is signalled when the deadline for reads changes or the connection is closed. readExpired is set while the deadline has
	// passed.
	readable    sync.Cond
	readExpired bool
	// framer splits what arrives into requests. chunk is the buffer for reads, which only the reading goroutine uses.
	framer framer
	chunk  []byte
	// lost is the error with which the connection ended while requests were read ahead.
	lost error
	// ahead holds the requests that have arrived behind the one that is served, up to the first whose end isn't known. parsed is the number
	// of buffered bytes that their heads take, and waitingBytes the size of their responses so far.
	ahead        []*aheadRequest
	parsed       int
	waitingBytes int
	// policy tells which requests may begin ahead; nil if none may. aheadContext is their context, which cancelAhead ends.
	policy       AheadPolicy
	aheadContext context.Context
	cancelAhead  context.CancelFunc
	// preface is the rest of the HTTP/2 preface to compare the next data with, or empty if the protocol of the connection is known.
	preface string
	// http2 is set once the preface has been read. The connection isn't tracked from then on.
	http2 bool
	// head is the memory of the heads that have been received.
	head headMemory
	// writeAbandoned is set once responses aren't written any more. writeUntil is the deadline for writes.
	writeAbandoned atomic.Bool
	writeUntil     time.Time
	// writeFixed is set while a handler has set the deadline for writes.
	writeFixed bool
}

// http2Preface begins each HTTP/2 connection.
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// detectHTTP2 stops tracking the connection if data that has been read completes the HTTP/2 preface. The caller holds mu.
func (c *callerConn) detectHTTP2(data []byte) {
	n := min(len(data), len(c.preface))
	if n == 0 {
		return
	}
	if string(data[:n]) != c.preface[:n] {
		c.preface = ""
		return
	}
	c.preface = c.preface[n:]
	if c.preface == "" {
		c.http2 = true
		c.connections.remove(c)
		if !c.head.reserveHTTP2() {
			c.connections.countRefused(code.NoMemory, "no memory is free for a connection with HTTP/2", c.RemoteAddr())
			c.lost = &net.OpError{Op: "read", Net: "tcp", Err: errHeadRefused}
		}
	}
}

// Read implements net.Conn. It closes an interrupted connection if no data has arrived. Expired connections are closed nowhere else, so
// a request can't be read from a connection while it is being closed.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.receive(p)
		again, err := c.observeRead(p[:n], err)
		if !again {
			return n, err
		}
	}
}

// observeRead records the result of a read. It returns the error to report, or true if the read is to be repeated.
func (c *callerConn) observeRead(data []byte, err error) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detectHTTP2(data)
	n := len(data)
	if n > 0 && c.state == requestNone {
		c.await(requestPartial)
	}
	if c.interrupted && (n > 0 || errors.Is(err, os.ErrDeadlineExceeded)) {
		c.resume()
		if mayResume := !c.evicted || c.state != requestPartial; n == 0 && mayResume && hasPending(c.Conn) {
			if c.state == requestNone {
				c.await(requestPartial)
			}
			return true, nil
		}
		if n == 0 {
			_ = c.Conn.Close()
			c.connections.countClosed(c.state)
			err = net.ErrClosed
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && c.readErr == nil {
		c.readErr = err
	}
	return false, err
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// interrupt ends the pending read, or the next one, if the connection has expired. Read then closes it.
func (c *callerConn) interrupt(now time.Time, current routing.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.http2 && c.expired(now, current) && !c.interrupted {
		c.interrupted = c.Conn.SetReadDeadline(past) == nil
	}
}

// resume ends an interruption. The caller holds mu.
func (c *callerConn) resume() {
	c.interrupted = false
	c.setReadPast(time.Time{})
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil && c.readErr == nil {
		c.readErr = err
	}
}

// SetReadDeadline implements net.Conn. It has no effect while the connection is interrupted: the HTTP server sets deadlines of its own
// before it reads a request.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return nil
	}
	if !t.IsZero() && c.connections.ending.Load() {
		t = past
	}
	err := c.Conn.SetReadDeadline(t)
	c.setReadPast(t)
	return err
}

// endRead ends the reading of the body of a request.
func (c *callerConn) endRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == requestNone || c.state == requestPartial || c.http2 {
		return
	}
	if err := c.Conn.SetReadDeadline(past); err != nil && c.readErr == nil {
		c.readErr = err
	}
	c.setReadPast(past)
}

// await sets the state to requestNone or requestPartial and starts the timer of that state. The caller holds mu.
func (c *callerConn) await(state requestState) {
	c.state, c.since, c.limits = state, time.Now(), c.connections.limits()
	if state == requestNone {
		c.head.release()
	}
}

// expired reports whether the connection has outlasted the limit for its state, is idle while connections are drained, or waits for a
// request at their end. A limit of zero is none. The highest of the limits that were in effect since the state began apply, since a
// caller may not know of lower ones yet. The caller holds mu.
func (c *callerConn) expired(now time.Time, current routing.Limits) bool {
	if c.connections.ending.Load() && (c.state == requestNone || c.state == requestPartial) {
		return true
	}
	if c.state == requestNone && c.connections.draining.Load() {
		return c.kept || now.Sub(c.since) > firstRequestTime
	}
	c.limits.IdleTimeout = max(c.limits.IdleTimeout, current.IdleTimeout)
	c.limits.HeaderTimeout = max(c.limits.HeaderTimeout, current.HeaderTimeout)
	var limit time.Duration
	switch c.state {
	case requestNone:
		limit = c.limits.IdleTimeout
	case requestPartial:
		limit = c.limits.HeaderTimeout
	default:
	}
	return limit > 0 && now.Sub(c.since) > limit
}

// writeTimeout is the time in which a caller must accept what is written at once, at most writePiece bytes of a response. While memory is
// short, callers that don't read lose their connections sooner.
const writeTimeout = 2 * time.Minute

// extendWrite sets the deadline for writes if little is left of it.
func (c *callerConn) extendWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.http2 || c.writeFixed || c.writeUntil.Sub(now) >= writeTimeout/2 {
		return nil
	}
	c.writeUntil = now.Add(writeTimeout)
	if err := c.Conn.SetWriteDeadline(c.writeUntil); err != nil {
		return err
	}
	if c.writeAbandoned.Load() {
		return c.Conn.SetWriteDeadline(past)
	}
	return nil
}

// SetWriteDeadline implements net.Conn. Writes that are abandoned stay so.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeFixed, c.writeUntil = !t.IsZero(), time.Time{}
	if c.writeAbandoned.Load() {
		t = past
	}
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.extendWrite(); err != nil {
		klog.V(1).InfoS("callers: can't set the write deadline", "err", err)
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil && c.writeErr == nil:
		c.writeErr = err
	case err == nil && c.state == requestRead:
		// The HTTP server itself responds to malformed requests.
		c.state = requestFinished
	}
	return n, err
}

// CloseWrite closes the sending side. The HTTP server calls it before it closes a connection on which the caller may still be sending,
// because unread data would reset the connection before the caller has read the response.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	first := !c.closed
	linger := false
	if first && !c.http2 {
		c.closed = true
		c.reportUnanswered()
		linger = c.state == requestFinished && c.writeErr == nil && !c.connections.ending.Load()
		c.readable.Broadcast()
	}
	for _, a := range c.ahead {
		a.drop()
	}
	c.ahead = nil
	c.head.release()
	c.cancelAhead()
	c.mu.Unlock()
	if linger && c.hasUnread() {
		c.linger()
	}
	c.connections.release(c)
	return c.Conn.Close()
}

// linger waits until the caller has read the last response and closed the connection, for at most lingerTimeout. Closing a connection with
// unread data resets it, and the part of the response that hasn't been sent would be lost.
func (c *callerConn) linger() {
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn)
}

// reportUnanswered logs and counts the newest request if it was read and not answered. The caller holds mu.
func (c *callerConn) reportUnanswered() {
	switch c.state {
	case requestNone, requestPartial:
		return
	case requestFinished:
		if c.writeErr == nil {
			return
		}
	default:
	}
	reason := c.reason()
	c.connections.unanswered.WithLabelValues(reason).Inc()
	klog.InfoS("callers: connection ended without an answer", "id", c.id, "reason", reason, "state", c.state, "age", time.Since(c.began),
		"readErr", c.readErr, "writeErr", c.writeErr, "caller", c.RemoteAddr())
}

// reason returns why the newest request was not answered. The caller holds mu.
func (c *callerConn) reason() string {
	switch {
	case c.readErr != nil, errors.Is(c.writeErr, syscall.EPIPE), errors.Is(c.writeErr, syscall.ECONNRESET):
		return reasonCallerLeft
	case c.writeAbandoned.Load(), errors.Is(c.writeErr, os.ErrDeadlineExceeded):
		return reasonUnread
	case c.writeErr != nil:
		return reasonWriteFailed
	case c.state == requestAborted:
		return reasonAborted
	case c.state == requestRead:
		return reasonNotBegun
	default:
		return reasonClosed
	}
}

// observe records a change of the connection's state in the HTTP server.
func (c *callerConn) observe(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http2 {
		return
	}
	switch state {
	case http.StateActive:
		if c.interrupted {
			c.resume()
		}
		// The server also reports this state when it has failed to read the rest of the headers.
		if c.readErr == nil {
			c.state, c.id, c.began = requestRead, "", time.Now()
			c.head.keep()
		}
	case http.StateIdle:
		c.kept = true
		c.await(requestNone)
	default:
	}
}

// setState sets the state of the newest request.
func (c *callerConn) setState(state requestState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
}

// setRequestID records the id of the request that is being served on its connection.
func setRequestID(r *http.Request, id string) {
	if a, ok := r.Context().Value(aheadKey{}).(*aheadRequest); ok && a.response != nil {
		// The connection serves another request.
		a.id = id
		return
	}
	if c, ok := r.Context().Value(connectionKey{}).(*callerConn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.id = id
	}
}

// resetOnClose makes Close reset the connection. The end of the connection completes an HTTP/1.0 response without a length, so that a
// caller could not tell a part of one from the whole.
func (c *callerConn) resetOnClose() {
	if conn, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		// An error means that the connection has been closed.
		_ = conn.SetLinger(0)
	}
}

// serve calls the handler and records its result.
func (c *callerConn) serve(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	c.setState(requestServed)
	result := requestAborted
	defer func() {
		if result == requestAborted && !r.ProtoAtLeast(1, 1) {
			c.resetOnClose()
		}
		c.setState(result)
	}()
	c.serveInTurn(handler, w, r)
	result = requestFinished
}
