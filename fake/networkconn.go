package fake

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// networkWindow is the default of Network.Window.
const networkWindow = 64 << 10

// NetworkConn is one end of a connection of a Network. It has the methods of *net.TCPConn that this repository uses.
//
// As with TCP, data arrives in order, data that is on its way when an end is closed still arrives, an end that is closed with unread data
// resets the connection, and so does data that arrives at a closed end.
type NetworkConn struct {
	network       *Network
	local, remote netip.AddrPort
	peer          *NetworkConn
	// mu is shared by both ends and guards the fields below.
	mu *sync.Mutex
	// onWay holds what was sent to this end and hasn't arrived, in order. received is what has arrived and hasn't been read.
	onWay    []segment
	received []byte
	// unread is the size of the data in onWay and received.
	unread int
	// extraDelay is added to the latency of segments to this end, and heldUntil is the time before which none arrives.
	extraDelay time.Duration
	heldUntil  time.Time
	// finReceived and resetReceived mean that the other end has sent all its data, or has reset the connection.
	finReceived, resetReceived bool
	finSent, closed            bool
	resetOnClose               bool
	readDeadline               time.Time
	writeDeadline              time.Time
	// changed is closed and replaced when the result of a read or write may change.
	changed chan struct{}
}

// segment is data on its way to an end, or the end of the data, or a reset.
type segment struct {
	arrival    time.Time
	data       []byte
	fin, reset bool
}

func newNetworkPair(n *Network, from, to netip.AddrPort) (dialled, accepted *NetworkConn) {
	mu := new(sync.Mutex)
	dialled = &NetworkConn{network: n, local: from, remote: to, mu: mu, changed: make(chan struct{})}
	accepted = &NetworkConn{network: n, local: to, remote: from, mu: mu, changed: make(chan struct{}), peer: dialled}
	dialled.peer = accepted
	return dialled, accepted
}

// notify wakes the readers and writers of this end. mu must be held.
func (c *NetworkConn) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// ended reports whether nothing more can happen at this end.
func (c *NetworkConn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// send puts a segment on its way to the other end. mu must be held.
func (c *NetworkConn) send(s segment) {
	to := c.peer
	s.arrival = time.Now().Add(c.network.latency(c.local, c.remote) + to.extraDelay)
	if len(to.onWay) > 0 && to.onWay[len(to.onWay)-1].arrival.After(s.arrival) {
		s.arrival = to.onWay[len(to.onWay)-1].arrival
	}
	to.onWay = append(to.onWay, s)
	to.unread += len(s.data)
	time.AfterFunc(time.Until(s.arrival), to.arrive)
}

// arrive delivers the segments whose time has come.
func (c *NetworkConn) arrive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Before(c.heldUntil) {
		return
	}
	for len(c.onWay) > 0 && !c.onWay[0].arrival.After(now) {
		s := c.onWay[0]
		c.onWay = c.onWay[1:]
		c.receive(s)
	}
	if c.network.WakeDelay != nil {
		if delay := c.network.WakeDelay(c.local); delay > 0 {
			time.AfterFunc(delay, c.wake)
			return
		}
	}
	c.notify()
}

func (c *NetworkConn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notify()
}

// receive processes one segment. mu must be held.
func (c *NetworkConn) receive(s segment) {
	switch {
	case c.resetReceived:
	case s.reset:
		c.resetReceived = true
		c.peer.notify()
	case c.closed && len(s.data) > 0:
		c.resetReceived = true
		c.send(segment{reset: true})
	case s.fin:
		c.finReceived = true
	default:
		c.received = append(c.received, s.data...)
	}
}

// Read implements net.Conn. Like the kernel's, a reset end still returns the data that arrived before the reset.
func (c *NetworkConn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		n, done, err := c.tryRead(p)
		changed, deadline := c.changed, c.readDeadline
		c.mu.Unlock()
		if done {
			return n, err
		}
		await(changed, deadline)
	}
}

// tryRead returns the result of a read, and false if it has to wait. mu must be held.
func (c *NetworkConn) tryRead(p []byte) (int, bool, error) {
	switch {
	case c.closed:
		return 0, true, c.opError("read", net.ErrClosed)
	case expired(c.readDeadline):
		return 0, true, c.opError("read", os.ErrDeadlineExceeded)
	case len(p) == 0:
		return 0, true, nil
	case len(c.received) > 0:
		n := copy(p, c.received)
		c.received = c.received[n:]
		c.unread -= n
		c.peer.notify()
		return n, true, nil
	case c.resetReceived && !c.finReceived:
		return 0, true, c.opError("read", os.NewSyscallError("read", syscall.ECONNRESET))
	case c.resetReceived, c.finReceived:
		return 0, true, io.EOF
	default:
		return 0, false, nil
	}
}

// Write implements net.Conn. It returns once all data is on its way, which doesn't mean that it arrives.
func (c *NetworkConn) Write(p []byte) (int, error) {
	written := 0
	for {
		c.mu.Lock()
		n, err := c.tryWrite(p[written:])
		changed, deadline := c.changed, c.writeDeadline
		c.mu.Unlock()
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
		await(changed, deadline)
	}
}

// tryWrite sends as much as the window allows. mu must be held.
func (c *NetworkConn) tryWrite(p []byte) (int, error) {
	switch {
	case c.closed:
		return 0, c.opError("write", net.ErrClosed)
	case expired(c.writeDeadline):
		return 0, c.opError("write", os.ErrDeadlineExceeded)
	case c.resetReceived:
		return 0, c.opError("write", os.NewSyscallError("write", syscall.ECONNRESET))
	case c.finSent:
		return 0, c.opError("write", os.NewSyscallError("write", syscall.EPIPE))
	}
	n := min(len(p), c.network.window(c.local, c.remote)-c.peer.unread)
	if n > 0 {
		c.send(segment{data: append([]byte(nil), p[:n]...)})
	}
	return n, nil
}

// await waits until a channel is closed or a deadline has passed.
func await(changed <-chan struct{}, deadline time.Time) {
	if deadline.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

func expired(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// CloseWrite closes the sending side. It returns an error if the connection is closed or was reset.
func (c *NetworkConn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return c.opError("close", net.ErrClosed)
	case c.resetReceived:
		return c.opError("close", os.NewSyscallError("shutdown", syscall.ENOTCONN))
	}
	c.sendFin()
	return nil
}

// sendFin sends the end of the data once. mu must be held.
func (c *NetworkConn) sendFin() {
	if !c.finSent && !c.resetReceived {
		c.finSent = true
		c.send(segment{fin: true})
	}
}

// SetLinger sets whether Close resets the connection, which it does for 0 seconds. Other values have no effect.
func (c *NetworkConn) SetLinger(seconds int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return c.opError("set", net.ErrClosed)
	}
	c.resetOnClose = seconds == 0
	return nil
}

// Close implements net.Conn.
func (c *NetworkConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return c.opError("close", net.ErrClosed)
	}
	c.closed = true
	if c.resetOnClose || len(c.received) > 0 {
		if !c.resetReceived {
			c.resetReceived = true
			c.send(segment{reset: true})
		}
	} else {
		c.sendFin()
	}
	c.notify()
	c.peer.notify()
	return nil
}

// HasPending reports whether data has arrived that hasn't been read.
func (c *NetworkConn) HasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.received) > 0
}

// Pending returns the number of bytes that have arrived and haven't been read.
func (c *NetworkConn) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.received)
}

// LocalAddr implements net.Conn.
func (c *NetworkConn) LocalAddr() net.Addr { return tcpAddr(c.local) }

// RemoteAddr implements net.Conn.
func (c *NetworkConn) RemoteAddr() net.Addr { return tcpAddr(c.remote) }

// SetDeadline implements net.Conn.
func (c *NetworkConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (c *NetworkConn) SetReadDeadline(t time.Time) error { return c.setDeadline(&c.readDeadline, t) }

// SetWriteDeadline implements net.Conn.
func (c *NetworkConn) SetWriteDeadline(t time.Time) error { return c.setDeadline(&c.writeDeadline, t) }

func (c *NetworkConn) setDeadline(deadline *time.Time, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return c.opError("set", net.ErrClosed)
	}
	*deadline = t
	c.notify()
	return nil
}

func (c *NetworkConn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: tcpAddr(c.local), Addr: tcpAddr(c.remote), Err: err}
}

// Reset resets both ends at once. Data on its way is lost.
func (c *NetworkConn) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, end := range []*NetworkConn{c, c.peer} {
		end.onWay, end.resetReceived = nil, true
		end.notify()
	}
}

// Hold delivers nothing to this end for a time. What is sent meanwhile, and what is on its way, arrives after it.
func (c *NetworkConn) Hold(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until := time.Now().Add(d); until.After(c.heldUntil) {
		c.heldUntil = until
		time.AfterFunc(d, c.arrive)
	}
}

// HoldBoth delivers nothing in either direction for a time, see Hold.
func (c *NetworkConn) HoldBoth(d time.Duration) {
	c.Hold(d)
	c.peer.Hold(d)
}

// Delay adds a time to the latency of what is sent to this end from now on.
func (c *NetworkConn) Delay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.extraDelay += d
}
