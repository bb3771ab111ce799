package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/routing"
	"sapphiretray/wait"
)

// sweepInterval is the time between two looks at the callers' connections, and so the most by which one outlasts its limit.
const sweepInterval = 250 * time.Millisecond

// Connections closes callers' connections that are idle, or whose next request's headers are incomplete, for longer than the
// configuration in force allows. The limits of an http.Server can't be used, as they are fixed when it starts. Create it with
// NewConnections.
type Connections struct {
	limits func() routing.Limits
	mu     sync.Mutex
	// since holds when a connection became idle or its next request began, without those whose requests are being served.
	since map[net.Conn]connection
}

type connection struct {
	at   time.Time
	idle bool
	// limits are those that were in force at the time. A caller may not know of lower ones yet, so the higher ones count.
	limits routing.Limits
}

// over reports whether the connection has outlasted its limit.
func (c connection) over(now time.Time, current routing.Limits) bool {
	limit := max(c.limits.HeaderTimeout, current.HeaderTimeout)
	if c.idle {
		limit = max(c.limits.IdleTimeout, current.IdleTimeout)
	}
	return limit > 0 && now.Sub(c.at) > limit
}

// NewConnections returns an empty set. limits returns those in force; a limit of zero is none.
func NewConnections(limits func() routing.Limits) *Connections {
	return &Connections{limits: limits, since: make(map[net.Conn]connection)}
}

type connectionKey struct{}

// Attach makes a server report its connections. Call it before the server starts.
func (c *Connections) Attach(server *http.Server) {
	server.ConnState = c.observe
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The headers are complete.
		if conn, ok := r.Context().Value(connectionKey{}).(net.Conn); ok {
			c.forget(conn)
		}
		next.ServeHTTP(w, r)
	})
}

func (c *Connections) observe(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		c.set(conn, true)
	case http.StateActive:
		c.set(conn, false)
	default:
		c.forget(conn)
	}
}

func (c *Connections) set(conn net.Conn, idle bool) {
	limits := c.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since[conn] = connection{at: time.Now(), idle: idle, limits: limits}
}

func (c *Connections) forget(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.since, conn)
}

// Run closes connections that are over a limit until ctx ends.
func (c *Connections) Run(ctx context.Context) {
	wait.Every(ctx, sweepInterval, c.sweep)
}

func (c *Connections) sweep(now time.Time) {
	limits := c.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	idle, slow := 0, 0
	for conn, since := range c.since {
		if !since.over(now, limits) {
			continue
		}
		if since.idle {
			idle++
		} else {
			slow++
		}
		// The server notices and reports the state closed.
		_ = conn.Close()
		delete(c.since, conn)
	}
	if idle+slow > 0 {
		klog.InfoS("callers: connections closed", "idle", idle, "idleTimeout", limits.IdleTimeout, "headersIncomplete", slow,
			"headerTimeout", limits.HeaderTimeout)
	}
}
