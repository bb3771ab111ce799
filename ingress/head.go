package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/code"
	"sapphiretray/httplimit"
	"sapphiretray/loglimit"
	"sapphiretray/policy"
)

const (
	// requestLineBytes is the size that the head of a request may have beyond the configured limit of its headers, for the request line.
	// defaultHeadBytes bounds a head if the configuration has no limit.
	requestLineBytes = 16 << 10
	defaultHeadBytes = 64 << 10
	// smallHead is the size of a head up to which it is read without a reservation of memory. A larger one is reserved headFactor times:
	// many short headers take a multiple of their text.
	smallHead  = 4 << 10
	headFactor = 8
	// http2Memory is reserved for a connection with HTTP/2, in bytes: for what has arrived and hasn't been read, and for its streams.
	http2Memory = 256 << 10
	// refusalWriteTimeout bounds the time to write the response to a head that is refused before it is complete.
	refusalWriteTimeout = time.Second
)

// errHeadRefused ends the connection whose request is refused before its head is complete.
var errHeadRefused = errors.New("the head of the request is refused")

// headMemory is the memory of the heads that a connection has received. Its zero value has no limit. The connection's mu guards it.
type headMemory struct {
	budget   *httplimit.Budget
	owner    string
	claim    *httplimit.Claim
	reserved int64
	// revoke is called when the head gives way to others. It must not block.
	revoke func()
}

// reserve makes sure that memory for a head of a size is reserved, and returns false if there is none.
func (h *headMemory) reserve(size int) bool {
	needed := int64(headFactor * smallHead)
	for needed < int64(headFactor*size) {
		needed *= 2
	}
	if h.budget == nil || needed <= h.reserved {
		return true
	}
	if h.claim == nil {
		h.claim = h.budget.Open(h.owner)
		_ = h.claim.SetRevocable(policy.Revocable, h.revoke)
	}
	return h.raise(needed)
}

// reserveHTTP2 reserves the memory of a connection with HTTP/2, and returns false if there is none.
func (h *headMemory) reserveHTTP2() bool {
	if h.budget == nil {
		return true
	}
	h.release()
	h.claim = h.budget.Open(h.owner)
	return h.raise(http2Memory)
}

// raise raises the claim to a number of bytes and returns false if there is no room.
func (h *headMemory) raise(needed int64) bool {
	// It doesn't wait for others to give way: the caller's next connection finds their memory.
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if err := h.claim.Reserve(ended, needed-h.reserved, false); err != nil {
		return false
	}
	h.reserved = needed
	return true
}

// reserveAhead makes sure that memory for what is read ahead is reserved, and returns false if there is none.
func (h *headMemory) reserveAhead() bool { return h.reserve(maxBuffered / 4) }

// keep makes the claim irrevocable while the request is served.
func (h *headMemory) keep() { _ = h.claim.SetRevocable(policy.Irrevocable, nil) }

// release releases the memory.
func (h *headMemory) release() {
	h.claim.Close()
	h.claim, h.reserved = nil, 0
}

// headRefusal is a refusal of a request whose head isn't complete.
type headRefusal struct {
	code       code.Code
	reason     string
	retryAfter time.Duration
}

// checkHead returns a refusal if the head that arrives is too large or there is no memory for it. served is set if its request is already
// being served. The caller holds mu.
func (c *callerConn) checkHead(served bool) *headRefusal {
	size := len(c.framer.head)
	if served || c.framer.opaque || size <= smallHead {
		return nil
	}
	limit := defaultHeadBytes
	// A caller may not know of a lower limit yet.
	if configured := max(c.limits.MaxHeaderBytes, c.connections.limits().MaxHeaderBytes); configured > 0 {
		limit = configured + requestLineBytes
	}
	if size > limit {
		return &headRefusal{code: code.HeadersTooLarge, reason: fmt.Sprintf("the head has more than %d bytes", limit)}
	}
	if !c.head.reserve(size) {
		return &headRefusal{code: code.NoMemory, reason: "no memory is free for the head", retryAfter: noMemoryRetryAfter}
	}
	return nil
}

// refuse responds to a request whose head isn't complete, and returns the error for the HTTP server, which closes the connection without a
// response of its own after errors of the network.
func (c *callerConn) refuse(refusal *headRefusal) error {
	entry := refusal.code.Entry()
	body := fmt.Sprintf("%s: %s\n", refusal.code, refusal.reason)
	retryAfter := ""
	if refusal.retryAfter > 0 {
		retryAfter = "Retry-After: " + formatRetryAfter(refusal.retryAfter) + "\r\n"
	}
	err := c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	if err == nil {
		_, err = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%s"+
			"Connection: close\r\n\r\n%s", entry.Status(), http.StatusText(entry.Status()), len(body), retryAfter, body)
	}
	c.connections.countRefused(refusal.code, loglimit.Text(refusal.reason), c.RemoteAddr())
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	c.state, c.framer.buffered, c.framer.head = requestFinished, nil, nil
	// The HTTP server may read again after an error.
	c.lost = &net.OpError{Op: "read", Net: "tcp", Err: errHeadRefused}
	return c.lost
}

// abandonWrite ends the writing of responses because the caller doesn't read them. It doesn't block.
func (c *callerConn) abandonWrite() {
	c.writeAbandoned.Store(true)
	if err := c.Conn.SetWriteDeadline(past); err != nil {
		klog.V(1).InfoS("callers: can't end the writing of a response", "err", err)
	}
}

// abandonHead ends the connection because its head gives way to others. It doesn't block.
func (c *callerConn) abandonHead() {
	c.connections.headsRevoked.Add(1)
	// An error means that the connection has been closed.
	_ = c.Conn.Close()
}
