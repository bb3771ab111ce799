package fake

import (
	"net"
	"sync"
	"time"
)

// connections holds a TCP listener and the connections that it accepted, and injects faults into them.
type connections struct {
	address  string
	mu       sync.Mutex
	listener net.Listener
	open     map[*connection]struct{}
	closed   bool
	// reopened is non-nil while connections are refused, and closed afterwards.
	reopened chan struct{}
}

// connection is an accepted connection that can be silenced: its reads and writes then block until Close.
type connection struct {
	net.Conn
	owner *connections
	mu    sync.Mutex
	// silent is non-nil if the connection is silenced.
	silent chan struct{}
	// closing is closed by Close.
	closing   chan struct{}
	closeOnce sync.Once
}

// wrap makes c accept its connections from listener, and returns the Listener that does so.
func (c *connections) wrap(listener net.Listener) *Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener = listener
	c.address = listener.Addr().String()
	c.open = make(map[*connection]struct{})
	return &Listener{owner: c, address: listener.Addr()}
}

// Listener is a net.Listener that injects faults into the connections that it accepts.
type Listener struct {
	owner   *connections
	address net.Addr
}

// NewListener returns a listener that accepts connections from another one.
func NewListener(listener net.Listener) *Listener { return new(connections).wrap(listener) }

// Addr returns the address of the listener.
func (l *Listener) Addr() net.Addr { return l.address }

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) { return l.owner.accept() }

// Close closes the listener and all connections.
func (l *Listener) Close() error {
	l.owner.closeAll()
	return nil
}

// Silence stops reading and writing on the connections accepted so far but leaves them open; new ones work.
func (l *Listener) Silence() { l.owner.silence() }

// Refuse closes the listener and all connections and listens again after d.
func (l *Listener) Refuse(d time.Duration) { l.owner.refuse(d) }

func (c *connections) accept() (net.Conn, error) {
	for {
		c.mu.Lock()
		listener, reopened, closed := c.listener, c.reopened, c.closed
		c.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if reopened != nil {
			<-reopened
			continue
		}
		conn, err := listener.Accept()
		if err != nil {
			c.mu.Lock()
			again := c.reopened != nil || c.listener != listener
			c.mu.Unlock()
			if again {
				continue
			}
			return nil, err
		}
		return c.track(conn), nil
	}
}

func (c *connections) track(conn net.Conn) net.Conn {
	wrapped := &connection{Conn: conn, owner: c, closing: make(chan struct{})}
	c.mu.Lock()
	c.open[wrapped] = struct{}{}
	c.mu.Unlock()
	return wrapped
}

func (c *connections) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		conn.mu.Lock()
		if conn.silent == nil {
			conn.silent = make(chan struct{})
		}
		conn.mu.Unlock()
	}
}

// closeConnections closes the accepted connections. mu must be held.
func (c *connections) closeConnections() {
	for conn := range c.open {
		_ = conn.Conn.Close()
	}
}

func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.listener != nil {
		_ = c.listener.Close()
	}
	c.closeConnections()
	c.wakeAccept()
}

// refuse closes the listener and all connections and listens again on the same address after d.
func (c *connections) refuse(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener == nil || c.closed || c.reopened != nil {
		return
	}
	c.reopened = make(chan struct{})
	_ = c.listener.Close()
	c.closeConnections()
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed {
			if listener, err := net.Listen("tcp", c.address); err == nil { //nolint:noctx // No context bounds the listener.
				c.listener = listener
			} else {
				c.closed = true
			}
		}
		c.wakeAccept()
	})
}

// wakeAccept ends the wait of accept while connections are refused. mu must be held.
func (c *connections) wakeAccept() {
	if c.reopened != nil {
		close(c.reopened)
		c.reopened = nil
	}
}

// blockIfSilent blocks until the connection is closed, if it is silenced.
func (c *connection) blockIfSilent() {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent != nil {
		<-c.closing
	}
}

// Read reads from the connection. On a silenced one it blocks until Close.
func (c *connection) Read(p []byte) (int, error) {
	c.blockIfSilent()
	n, err := c.Conn.Read(p)
	c.blockIfSilent()
	return n, err
}

// Write writes to the connection. On a silenced one it blocks until Close.
func (c *connection) Write(p []byte) (int, error) {
	c.blockIfSilent()
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *connection) Close() error {
	c.closeOnce.Do(func() {
		close(c.closing)
		c.owner.mu.Lock()
		delete(c.owner.open, c)
		c.owner.mu.Unlock()
	})
	return c.Conn.Close()
}
