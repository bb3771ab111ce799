package fake

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The faults of an upstream.
const (
	// Freeze holds every request and probe until the fault is replaced.
	Freeze Mode = "freeze"
	// Refuse closes the listener and all connections for the fault's delay.
	Refuse Mode = "refuse"
	// CloseMidway closes the connection in the middle of the response's body.
	CloseMidway Mode = "close_midway"
	// WrongID answers with the id of another request.
	WrongID Mode = "wrong_id"
	// Truncate ends the body early although the length was announced, and closes the connection in order.
	Truncate Mode = "truncate"
	// CrashOn crashes the upstream when a request's body contains the marker.
	CrashOn Mode = "crash_on"
	// Silent stops reading and writing on the connections accepted so far; new ones work.
	Silent Mode = "silent"
	// CloseBefore closes the connection after the effect, without a response.
	CloseBefore Mode = "close_before"
)

// UpstreamFault is one fault of an upstream as it is sent to POST /fault.
type UpstreamFault struct {
	Fault
	// Marker is the text in a request's body that a CrashOn fault reacts to.
	Marker string `json:"marker,omitempty"`
}

type upstreamFaults struct {
	mu      sync.Mutex
	current UpstreamFault
	thaw    chan struct{}
}

func (f *upstreamFaults) set(fault UpstreamFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.thaw != nil {
		close(f.thaw)
		f.thaw = nil
	}
	if fault.Mode == Freeze {
		f.thaw = make(chan struct{})
	}
	f.current = fault
}

// take returns true if the current fault is one of the modes, and counts its use.
func (f *upstreamFaults) take(modes ...Mode) (Mode, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, mode := range modes {
		if f.current.Mode != mode {
			continue
		}
		if f.current.Count > 0 {
			f.current.Count--
			if f.current.Count == 0 {
				f.current = UpstreamFault{}
			}
		}
		return mode, true
	}
	return None, false
}

func (f *upstreamFaults) marker() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.Mode != CrashOn {
		return ""
	}
	return f.current.Marker
}

func (f *upstreamFaults) echoedID(id string) string {
	if _, ok := f.take(WrongID); ok {
		return "other-" + id
	}
	return id
}

// frozen holds requests while the upstream is frozen.
func (f *upstreamFaults) frozen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		thaw := f.thaw
		f.mu.Unlock()
		if thaw != nil {
			select {
			case <-thaw:
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		next.ServeHTTP(w, r)
	})
}

// write sends the response with the current fault.
func (f *upstreamFaults) write(w http.ResponseWriter, body []byte) {
	mode, _ := f.take(CloseBefore, CloseMidway, Truncate)
	if mode == CloseBefore {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch mode {
	case CloseMidway:
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case Truncate:
		_, _ = w.Write(body[:len(body)/2])
	default:
		_, _ = w.Write(body)
	}
}

// SetFault replaces the current fault.
func (u *Upstream) SetFault(fault UpstreamFault) {
	switch fault.Mode {
	case Silent:
		u.connections.silence()
	case Refuse:
		u.connections.refuse(time.Duration(fault.DelayMS) * time.Millisecond)
	default:
		u.faults.set(fault)
	}
}

func (u *Upstream) setFault(w http.ResponseWriter, r *http.Request) {
	var fault UpstreamFault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch fault.Mode {
	case None, Freeze, Refuse, CloseBefore, CloseMidway, WrongID, Truncate, CrashOn, Silent:
		u.SetFault(fault)
	default:
		http.Error(w, "unknown mode", http.StatusBadRequest)
	}
}

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

func (c *connections) wrap(listener net.Listener) net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener = listener
	c.open = make(map[*connection]struct{})
	return &acceptor{owner: c, address: listener.Addr()}
}

type acceptor struct {
	owner   *connections
	address net.Addr
}

func (a *acceptor) Addr() net.Addr { return a.address }

func (a *acceptor) Close() error {
	a.owner.closeAll()
	return nil
}

func (a *acceptor) Accept() (net.Conn, error) { return a.owner.accept() }

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
}

// refuse closes the listener and all connections and listens again on the same address after d.
func (c *connections) refuse(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener == nil || c.closed || c.reopened != nil {
		return
	}
	reopened := make(chan struct{})
	c.reopened = reopened
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
		c.reopened = nil
		close(reopened)
	})
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
