package ingress

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

// requestState is how far the newest request of a caller's connection has come.
type requestState int

const (
	// requestNone means that no request has been read, or that the last one was answered.
	requestNone requestState = iota
	// requestRead means that the headers have been read and the handler hasn't begun.
	requestRead
	// requestServed means that the handler runs.
	requestServed
	// requestAborted means that the handler has panicked.
	requestAborted
	// requestFinished means that the handler has returned. Its response may still be in a buffer.
	requestFinished
)

func (s requestState) String() string {
	switch s {
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

// Reasons for which a request is not answered.
const (
	reasonCallerLeft  = "caller_left"
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
	// id is the id of the newest request, if its headers have been interpreted.
	id string
	// began is when the headers of the newest request were complete.
	began time.Time
	// readErr and writeErr are the first errors of the connection, except for expired deadlines of reads.
	readErr, writeErr error
	closed            bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.readErr == nil {
			c.readErr = err
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil && c.writeErr == nil:
		c.writeErr = err
	case err == nil && c.state == requestRead:
		// The HTTP server itself responds to malformed requests.
		c.state = requestNone
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
	if !c.closed {
		c.closed = true
		c.reportUnanswered()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// reportUnanswered logs and counts the newest request if it was read and not answered. The caller holds mu.
func (c *callerConn) reportUnanswered() {
	if c.state == requestNone || c.state == requestFinished && c.writeErr == nil {
		return
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
	switch state {
	case http.StateActive:
		// The server also reports this state when it has failed to read the rest of the headers.
		if c.readErr == nil {
			c.state, c.id, c.began = requestRead, "", time.Now()
		}
	case http.StateIdle:
		c.state = requestNone
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
	if c, ok := r.Context().Value(connectionKey{}).(*callerConn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.id = id
	}
}

// serve calls the handler and records its result.
func (c *callerConn) serve(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	c.setState(requestServed)
	result := requestAborted
	defer func() { c.setState(result) }()
	handler.ServeHTTP(w, r)
	result = requestFinished
}

// callerListener accepts connections of callers.
type callerListener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, connections: l.connections}, nil
}
