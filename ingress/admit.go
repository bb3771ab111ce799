package ingress

import (
	"net"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/code"
)

const (
	// overflowConnections is the number of connections beyond the bound that are accepted while others are being closed for them.
	overflowConnections = 16
	// incompleteAfter is the time after which a connection whose request is incomplete may be closed for another one.
	incompleteAfter = time.Second
)

// Reasons of refused connections in metrics.
const (
	refusedConnections = "connections"
	refusedEvicted     = "evicted"
)

// admit reports whether a connection may be accepted. At the bound, it closes the one that has been idle for longest, or whose request has
// been incomplete for longest. A connection that isn't accepted is closed.
func (c *Connections) admit(conn net.Conn) bool {
	c.mu.Lock()
	accepted, most := c.accepted, c.most
	c.mu.Unlock()
	if most == 0 || accepted < most {
		return true
	}
	now := time.Now()
	if victim := c.oldest(now); victim != nil && accepted < most+overflowConnections {
		c.refused.WithLabelValues(refusedEvicted).Inc()
		victim.evict()
		return true
	}
	c.refused.WithLabelValues(refusedConnections).Inc()
	if c.logLimit.Allow(refusedConnections) {
		klog.InfoS("callers: connection refused, too many are open", "open", accepted, "limit", most, "caller", conn.RemoteAddr())
	}
	// An error means that the caller has closed it.
	_ = conn.Close()
	return false
}

// oldest returns the connection that has been idle for longest, or else the one whose request has been incomplete for longest, or nil.
func (c *Connections) oldest(now time.Time) *callerConn {
	var idle, incomplete *callerConn
	var idleSince, incompleteSince time.Time
	for _, conn := range c.all() {
		state, since, evicted := conn.waiting()
		switch {
		case evicted:
		case state == requestNone && (idle == nil || since.Before(idleSince)):
			idle, idleSince = conn, since
		case state == requestPartial && now.Sub(since) >= incompleteAfter && (incomplete == nil || since.Before(incompleteSince)):
			incomplete, incompleteSince = conn, since
		}
	}
	if idle != nil {
		return idle
	}
	return incomplete
}

// waiting returns the state of the connection, when it began, and whether the connection is about to be closed.
func (c *callerConn) waiting() (state requestState, since time.Time, ending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state, c.since, c.interrupted || c.closed
}

// evict ends the pending read, or the next one, unless a request has arrived meanwhile. Read then closes the connection.
func (c *callerConn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.http2 && !c.interrupted && (c.state == requestNone || c.state == requestPartial) {
		c.interrupted = c.Conn.SetReadDeadline(past) == nil
		c.evicted = true
	}
}

// countRefused counts and logs a request that was refused before its head was complete.
func (c *Connections) countRefused(number code.Code, reason string, caller net.Addr) {
	c.refused.WithLabelValues(strconv.Itoa(int(number))).Inc()
	if c.logLimit.Allow(number.String()) {
		klog.InfoS("callers: request refused before its head was complete", "code", number, "reason", reason, "caller", caller)
	}
}
