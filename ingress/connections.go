package ingress

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"sapphiretray/backlog"
	"sapphiretray/httplimit"
	"sapphiretray/loglimit"
	"sapphiretray/routing"
	"sapphiretray/wait"
)

const (
	// sweepInterval is the time between two checks of the callers' connections. A connection outlasts its limit by at most this much.
	sweepInterval = 250 * time.Millisecond
	// drainInterval is the time between two checks while connections are drained.
	drainInterval = 20 * time.Millisecond
	// firstRequestTime is the time within which the first request of a new connection must arrive while connections are drained. Callers
	// connect only to send a request, which may still be on its way.
	firstRequestTime = 500 * time.Millisecond
)

// Connections closes callers' connections that have been idle, or have sent incomplete request headers, for longer than the
// configuration in effect allows. The timeouts of an http.Server can't be used because they are fixed when it starts. Create it
// with NewConnections.
type Connections struct {
	limits func() routing.Limits
	mu     sync.Mutex
	// open holds the connections that haven't been closed.
	open map[*callerConn]struct{}
	// draining is set once idle connections are to be closed at once.
	draining atomic.Bool
	// ending is set once nothing more is to be read from the connections.
	ending atomic.Bool
	// closedIdle and closedIncomplete count the connections that were closed since the last sweep.
	closedIdle, closedIncomplete atomic.Int64
	// unanswered counts requests that were read and not answered, by reason.
	unanswered *prometheus.CounterVec
	// policy tells which requests of a connection may begin before their turn; nil if none may. next serves them, in the group ahead. They
	// end with their connections at the latest.
	policy AheadPolicy
	next   http.Handler
	ahead  sync.WaitGroup
	// stopping reports whether callers are to close their connections.
	stopping func() bool
	// http2 is set if the server also accepts HTTP/2 connections, which aren't tracked.
	http2 bool
	// memory bounds the heads that are held at the same time; nil if nothing does. most is the number of connections that may be open, or
	// 0 if it isn't bounded, and accepted that of those that are.
	memory   *httplimit.Budget
	most     int
	accepted int
	// headsRevoked counts the connections that were closed since the last sweep because their heads gave way to others.
	headsRevoked atomic.Int64
	// refused counts the requests and connections that were refused before a head was complete, by result code.
	refused  *prometheus.CounterVec
	logLimit loglimit.Limiter
}

// NewConnections returns an empty set of connections. limits returns the limits in effect; a limit of zero is none. The metrics are
// registered with registerer.
func NewConnections(limits func() routing.Limits, registerer prometheus.Registerer) *Connections {
	c := &Connections{
		limits: limits, open: make(map[*callerConn]struct{}), stopping: func() bool { return false },
		unanswered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sapphiretray_callers_unanswered_total",
			Help: "Requests of callers that were read and whose connection ended without an answer, by reason.",
		}, []string{"reason"}),
	}
	c.refused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sapphiretray_callers_refused_total",
		Help: "Callers' connections that were closed before the head of a request was complete, by reason: the head is too large " +
			"(1107), no memory (1308), or too many connections (connections, evicted).",
	}, []string{"reason"})
	registerer.MustRegister(c.unanswered, c.refused, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sapphiretray_callers_connections", Help: "Open connections of callers.",
	}, func() float64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return float64(c.accepted)
	}))
	return c
}

// Bound bounds the heads of requests by a budget and the number of open connections; 0 is no bound. Call it before Listen.
func (c *Connections) Bound(memory *httplimit.Budget, connections int) {
	c.memory, c.most = memory, connections
}

// ServeAhead makes requests that have arrived behind others on an HTTP/1.1 connection begin before their turn if the policy allows it.
// Responses are sent in the order of the requests. stopping reports whether callers are to close their connections. Call it before Attach.
func (c *Connections) ServeAhead(policy AheadPolicy, stopping func() bool) {
	c.policy, c.stopping = policy, stopping
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// Attach registers hooks with a server to track its connections. Call it before the server starts, and let the server accept its
// connections from Listen. HTTP/2 connections are left to the server: http.Server.Shutdown drops no request on them.
func (c *Connections) Attach(server *http.Server) {
	c.http2 = server.Protocols != nil && server.Protocols.UnencryptedHTTP2()
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if conn, ok := conn.(*callerConn); ok {
			conn.observe(state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if conn, ok := conn.(*callerConn); ok {
			conn.begin(ctx)
		}
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	c.next = server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connectionKey{}).(*callerConn); ok {
			conn.serve(c.next, w, r)
			return
		}
		c.next.ServeHTTP(w, r)
	})
}

// Listen returns a listener whose connections are tracked.
func (c *Connections) Listen(listener net.Listener) net.Listener {
	return callerListener{Listener: listener, connections: c}
}

// callerListener accepts connections of callers.
type callerListener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.connections.admit(conn) {
			return l.connections.add(conn), nil
		}
	}
}

// add returns a tracked connection.
func (c *Connections) add(conn net.Conn) *callerConn {
	tracked := &callerConn{Conn: conn, connections: c, since: time.Now(), limits: c.limits(), policy: c.policy, cancelAhead: func() {}}
	tracked.readable.L = &tracked.mu
	tracked.head = headMemory{budget: c.memory, owner: conn.RemoteAddr().String(), revoke: tracked.abandonHead}
	if c.http2 {
		tracked.preface = http2Preface
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[tracked] = struct{}{}
	c.accepted++
	return tracked
}

func (c *Connections) remove(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// release counts a connection as closed.
func (c *Connections) release(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
	if !conn.released {
		conn.released = true
		c.accepted--
	}
}

// CloseListener closes a listener of Listen once the connections that the kernel has established are accepted, which it waits for until ctx
// ends. dial connects to an address of the listener's network; nil selects that of the machine.
func (c *Connections) CloseListener(ctx context.Context, l net.Listener, dial backlog.DialFunc) error {
	return errors.Join(backlog.Await(ctx, l, dial, c.hasOpened), l.Close())
}

// hasOpened reports whether a connection from an address is open.
func (c *Connections) hasOpened(address string) bool {
	return slices.ContainsFunc(c.all(), func(conn *callerConn) bool { return conn.RemoteAddr().String() == address })
}

// Run closes expired connections until ctx ends.
func (c *Connections) Run(ctx context.Context) {
	wait.Every(ctx, sweepInterval, c.sweep)
}

// sweep closes the connections that have expired, and reports those that were closed since the last call.
func (c *Connections) sweep(now time.Time) {
	limits := c.limits()
	for _, conn := range c.all() {
		conn.interrupt(now, limits)
	}
	idle, incomplete, revoked := c.closedIdle.Swap(0), c.closedIncomplete.Swap(0), c.headsRevoked.Swap(0)
	if idle+incomplete+revoked > 0 {
		klog.InfoS("callers: connections closed", "idle", idle, "idleTimeout", limits.IdleTimeout, "headersIncomplete", incomplete,
			"headerTimeout", limits.HeaderTimeout, "headersRevoked", revoked)
	}
}

// countClosed counts a connection that was closed without a request, in the given state.
func (c *Connections) countClosed(state requestState) {
	if state == requestNone {
		c.closedIdle.Add(1)
	} else {
		c.closedIncomplete.Add(1)
	}
}

// Drain closes idle connections, and each other one after its response, until there are none left or ctx ends. It returns how many are
// left. New connections may send a first request. HTTP/2 connections stay open and don't count. Close the listener before. Unlike
// http.Server.Shutdown, Drain drops no request that has arrived on an open connection.
func (c *Connections) Drain(ctx context.Context) int {
	c.draining.Store(true)
	for {
		open := c.all()
		if len(open) == 0 || ctx.Err() != nil {
			return len(open)
		}
		for _, conn := range open {
			conn.interrupt(time.Now(), c.limits())
		}
		wait.For(ctx, drainInterval)
	}
}

// Finish ends all reads, except of requests that have arrived, and waits until the requests in progress have been answered or ctx ends.
// It returns how many connections are left. Call it after Drain and after cancelling the contexts of the requests in progress.
func (c *Connections) Finish(ctx context.Context) int {
	c.ending.Store(true)
	for _, conn := range c.all() {
		conn.endRead()
	}
	return c.Drain(ctx)
}

// all returns the open connections.
func (c *Connections) all() []*callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.open))
}
