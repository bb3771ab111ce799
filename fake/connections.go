package fake

import (
	"net"
	"sync"
	"time"
)

// connections are the connections that an upstream accepted.
type connections struct {
	address  string
	mu       sync.Mutex
	listener net.Listener
	open     map[*connection]struct{}
	closed   bool
	reopened chan struct{}
}

type connection struct {
	net.Conn
	owner   *connections
	mu      sync.Mutex
	silent  chan struct{}
	closing chan struct{}
	once    sync.Once
}

func (c *connections) wrap(listener net.Listener) *Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener = listener
	c.address = listener.Addr().String()
	c.open = make(map[*connection]struct{})
	return &Listener{owner: c, address: listener.Addr()}
}

// Listener injects faults into the connections that it accepts.
type Listener struct {
	owner   *connections
	address net.Addr
}

// NewListener returns a listener that accepts the connections of another.
func NewListener(listener net.Listener) *Listener { return new(connections).wrap(listener) }

// Addr returns the address.
func (l *Listener) Addr() net.Addr { return l.address }

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) { return l.owner.accept() }

// Close closes the listener and all connections.
func (l *Listener) Close() error {
	l.owner.closeAll()
	return nil
}

// Silence stops reading and writing on the connections accepted so far; new ones work.
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
		return c.add(conn), nil
	}
}

func (c *connections) add(conn net.Conn) net.Conn {
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

func (c *connections) closeOpen() {
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
	c.closeOpen()
	c.reopen()
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
	c.closeOpen()
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed {
			if listener, err := net.Listen("tcp", c.address); err == nil { //nolint:noctx // The listener has no caller to cancel it.
				c.listener = listener
			} else {
				c.closed = true
			}
		}
		c.reopen()
	})
}

// reopen ends the wait of accept.
func (c *connections) reopen() {
	if c.reopened != nil {
		close(c.reopened)
		c.reopened = nil
	}
}

// hush blocks until the connection is closed if it is silent.
func (c *connection) hush() {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent != nil {
		<-c.closing
	}
}

// Read reads from the connection unless it is silent.
func (c *connection) Read(p []byte) (int, error) {
	c.hush()
	n, err := c.Conn.Read(p)
	c.hush()
	return n, err
}

// Write writes to the connection unless it is silent.
func (c *connection) Write(p []byte) (int, error) {
	c.hush()
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *connection) Close() error {
	c.once.Do(func() {
		close(c.closing)
		c.owner.mu.Lock()
		delete(c.owner.open, c)
		c.owner.mu.Unlock()
	})
	return c.Conn.Close()
}
