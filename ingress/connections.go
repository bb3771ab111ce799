package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"sapphiretray/routing"
	"sapphiretray/wait"
)

// sweepInterval is the time between two checks of the callers' connections. A connection outlasts its limit by at most this much.
const sweepInterval = 250 * time.Millisecond

// Connections closes callers' connections that have been idle, or have sent incomplete request headers, for longer than the
// configuration in effect allows. The timeouts of an http.Server can't be used because they are fixed when it starts. Create it
// with NewConnections.
type Connections struct {
	limits func() routing.Limits
	mu     sync.Mutex
	// waiting holds the connections that are idle or whose request headers are incomplete.
	waiting map[net.Conn]connection
	// unanswered counts requests that were read and not answered, by reason.
	unanswered *prometheus.CounterVec
}

// connection is the state of a connection that waits for a request.
type connection struct {
	// since is when the connection became idle or its next request began.
	since time.Time
	// idle is false while request headers are incomplete.
	idle bool
	// limits were in effect at that time. The higher ones of these and the current limits apply, since a caller may not know of
	// lower ones yet.
	limits routing.Limits
}

// expired reports whether the connection has outlasted its limit. A limit of zero is none.
func (c connection) expired(now time.Time, current routing.Limits) bool {
	limit := max(c.limits.HeaderTimeout, current.HeaderTimeout)
	if c.idle {
		limit = max(c.limits.IdleTimeout, current.IdleTimeout)
	}
	return limit > 0 && now.Sub(c.since) > limit
}

// NewConnections returns an empty set of connections. limits returns the limits in effect; a limit of zero is none. The metrics are
// registered with registerer.
func NewConnections(limits func() routing.Limits, registerer prometheus.Registerer) *Connections {
	c := &Connections{
		limits: limits, waiting: make(map[net.Conn]connection),
		unanswered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sapphiretray_callers_unanswered_total",
			Help: "Requests of callers that were read and whose connection ended without an answer, by reason.",
		}, []string{"reason"}),
	}
	registerer.MustRegister(c.unanswered)
	return c
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// Listen returns a listener whose connections are tracked. Use it to serve the server that was passed to Attach.
func (c *Connections) Listen(listener net.Listener) net.Listener {
	return callerListener{Listener: listener, connections: c}
}

// Attach registers hooks with a server to track its connections. Call it before the server starts.
func (c *Connections) Attach(server *http.Server) {
	server.ConnState = c.observe
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The headers are complete, so their timeout no longer applies.
		conn, ok := r.Context().Value(connectionKey{}).(net.Conn)
		if ok {
			c.forget(conn)
		}
		if conn, ok := conn.(*callerConn); ok {
			conn.serve(next, w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// observe is the server's ConnState hook.
func (c *Connections) observe(conn net.Conn, state http.ConnState) {
	if conn, ok := conn.(*callerConn); ok {
		conn.observe(state)
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.track(conn, true)
	case http.StateActive:
		c.track(conn, false)
	default:
		c.forget(conn)
	}
}

// track starts the timer of a connection that waits for a request or for the rest of its headers.
func (c *Connections) track(conn net.Conn, idle bool) {
	limits := c.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[conn] = connection{since: time.Now(), idle: idle, limits: limits}
}

func (c *Connections) forget(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, conn)
}

// Run closes expired connections until ctx ends.
func (c *Connections) Run(ctx context.Context) {
	wait.Every(ctx, sweepInterval, c.sweep)
}

// sweep closes the connections that have expired.
func (c *Connections) sweep(now time.Time) {
	limits := c.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	idle, incomplete := 0, 0
	for conn, waiting := range c.waiting {
		if !waiting.expired(now, limits) {
			continue
		}
		if waiting.idle {
			idle++
		} else {
			incomplete++
		}
		// The server reports the closed connection to observe.
		_ = conn.Close()
		delete(c.waiting, conn)
	}
	if idle+incomplete > 0 {
		klog.InfoS("callers: connections closed", "idle", idle, "idleTimeout", limits.IdleTimeout, "headersIncomplete", incomplete,
			"headerTimeout", limits.HeaderTimeout)
	}
}
