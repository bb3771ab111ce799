package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/backlog"
	"sapphiretray/wait"
)

const (
	// shutdownInterval is the time between two announcements to connections on which HTTP/2 has begun since the last one, and between
	// two checks for open connections.
	shutdownInterval = 10 * time.Millisecond
	// silentTimeout is how long Shutdown waits for another instance from which nothing arrives: to send a first request, or to close its
	// connection after its last request has been answered. Instances that serve requests in time respond sooner.
	silentTimeout = time.Second
	// http2Preface is how an HTTP/2 connection begins.
	http2Preface = "PRI * HTTP/2.0"
)

// Listener accepts connections of other instances for an HTTP server and ends them without losing requests. Create it with NewListener.
//
// http.Server.Shutdown resets connections that haven't been accepted, doesn't tell those on which HTTP/2 begins later that it stops, and
// closes the others a second after it has told them. What has arrived on a connection and hasn't been read, or is on its way, is lost when
// the connection is closed or the process ends, and the other instance can't tell whether its request has run. A Listener accepts what has
// been established, tells all connections, and leaves their end to the other instances, which close them once they have read that.
type Listener struct {
	net.Listener
	server *http.Server
	// dial connects to the listener itself; see backlog.Await.
	dial backlog.DialFunc
	// stopping is true once Shutdown has begun.
	stopping atomic.Bool

	mu   sync.Mutex
	open map[*serverConn]struct{}
}

// NewListener returns a listener whose connections are to be served by a server without TLS. It sets the server's ConnState. dial connects
// to an address of the listener's network; nil selects that of the machine.
func NewListener(l net.Listener, server *http.Server, dial backlog.DialFunc) *Listener {
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*serverConn); ok && state == http.StateClosed {
			c.finish()
		}
	}
	return &Listener{Listener: l, server: server, dial: dial, open: make(map[*serverConn]struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &serverConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

// Shutdown accepts the connections that have been established, closes the listener, announces on each connection that no further
// requests are served, and waits until the other instances have closed the connections. Requests that have begun by then are served.
// Connections without requests to instances that don't respond are closed after two seconds at most. At the end of ctx, the connections
// that are still open are closed. Shutdown returns their number.
func (l *Listener) Shutdown(ctx context.Context) int {
	began := time.Now()
	l.stopping.Store(true)
	if err := backlog.Await(ctx, l, l.dial, l.hasAccepted); err != nil {
		klog.InfoS("peer: connections may not have been accepted before the listener is closed", "err", err)
	}
	for {
		// Each call reaches connections on which HTTP/2 has begun since the last one. An error means only that some haven't begun.
		step, cancel := context.WithTimeout(ctx, shutdownInterval)
		_ = l.server.Shutdown(step)
		cancel()
		if time.Since(began) > silentTimeout {
			l.closeUnused()
		}
		if l.openConnections() == 0 || !wait.For(ctx, shutdownInterval) {
			return l.closeAll()
		}
	}
}

// hasAccepted reports whether a connection from an address is open.
func (l *Listener) hasAccepted(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if c.RemoteAddr().String() == address {
			return true
		}
	}
	return false
}

// closeUnused closes the connections on which nothing has arrived.
func (l *Listener) closeUnused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if !c.read.Load() {
			delete(l.open, c)
			// An error means that the connection has been closed.
			_ = c.Conn.Close()
		}
	}
}

func (l *Listener) openConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// closeAll closes the connections that are open and returns their number.
func (l *Listener) closeAll() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		// An error means that the connection has been closed.
		_ = c.Conn.Close()
	}
	return len(l.open)
}

// serverConn is a connection of a Listener.
type serverConn struct {
	net.Conn
	listener *Listener
	// read is true once something has been read, and http2 if that is the beginning of HTTP/2.
	read, http2 atomic.Bool
}

// Read implements net.Conn.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.read.CompareAndSwap(false, true) {
		begin := p[:min(n, len(http2Preface))]
		c.http2.Store(bytes.Equal(begin, []byte(http2Preface[:len(begin)])))
	}
	return n, err
}

// Close implements net.Conn. While the listener shuts down, a connection with HTTP/2 stays open until the server has finished with it.
func (c *serverConn) Close() error {
	if c.listener.stopping.Load() && c.http2.Load() {
		return nil
	}
	return c.close()
}

func (c *serverConn) close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// finish closes a connection that the server doesn't use any more: first the sending side, and once the other instance has closed its
// side, hasn't done so for silentTimeout, or the listener's Shutdown has ended, the whole. A connection with unread data is reset when it
// is closed, and the other instance may then lose what was sent before.
func (c *serverConn) finish() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if ok && c.listener.stopping.Load() && half.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(silentTimeout)) == nil {
		// The error is that of the end of the connection, or the expired deadline.
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	// An error means that the connection has been closed.
	_ = c.close()
}
