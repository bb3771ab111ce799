package fake

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// firstPort is the first port that connections are dialled from.
const firstPort = 40000

// Network is a TCP network in memory. It waits only on channels and timers, so that it runs on the paused clock of testing/synctest.
// Hosts are told apart by their IP addresses. The zero value is a network without latency.
type Network struct {
	// Latency returns the time in which data arrives at the address to, or is nil for none. Set it before the first connection.
	Latency func(from, to netip.AddrPort) time.Duration
	// Window returns the number of bytes that may be on their way to an address, or unread there, before writers wait. Nil selects
	// 64 KiB. HTTP/2 clients write while they hold a lock. If such a write waits and another goroutine waits for the lock, the paused
	// clock stands still, so their connections need a window that is never full. Set it before the first connection.
	Window func(from, to netip.AddrPort) int

	// WakeDelay returns how long after data has arrived at a local address a waiting reader runs, or is nil for at once. A deadline that
	// has passed by then ends the read, as it does with the runtime's network poller. Set it before the first connection.
	WakeDelay func(local netip.AddrPort) time.Duration

	mu        sync.Mutex
	listeners map[netip.AddrPort]*networkListener
	conns     []*NetworkConn
	lastPort  uint16
}

// Listen accepts connections at an IP address and port. It returns a *net.OpError if the address is malformed or in use.
func (n *Network) Listen(address string) (net.Listener, error) {
	fail := func(err error) (net.Listener, error) { return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err} }
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return fail(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[at] != nil {
		return fail(os.NewSyscallError("bind", syscall.EADDRINUSE))
	}
	if n.listeners == nil {
		n.listeners = make(map[netip.AddrPort]*networkListener)
	}
	l := &networkListener{network: n, address: at, changed: make(chan struct{})}
	n.listeners[at] = l
	return l, nil
}

// DialContext connects to an address from 127.0.0.1, see DialFrom.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return n.DialFrom(ctx, netip.AddrFrom4([4]byte{127, 0, 0, 1}), address)
}

// DialFrom connects to an address from a host. It takes a round trip. The error is a *net.OpError, which wraps syscall.ECONNREFUSED if
// nothing listens at the address.
func (n *Network) DialFrom(ctx context.Context, host netip.Addr, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	n.mu.Lock()
	from := netip.AddrPortFrom(host, firstPort+n.lastPort%(1<<14))
	n.lastPort++
	n.mu.Unlock()
	fail := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Source: tcpAddr(from), Addr: tcpAddr(to), Err: err}
	}
	if err := sleep(ctx, n.latency(from, to)); err != nil {
		return fail(dialError(err))
	}
	dialled := n.connect(from, to)
	if err := sleep(ctx, n.latency(to, from)); err != nil {
		if dialled != nil {
			_ = dialled.Close()
		}
		return fail(dialError(err))
	}
	if dialled == nil {
		return fail(os.NewSyscallError("connect", syscall.ECONNREFUSED))
	}
	return dialled, nil
}

// dialError returns the error of a dial whose context has ended.
func dialError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return os.ErrDeadlineExceeded
	}
	return err
}

// sleep waits for a time, or returns the error of a context that ends before.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Network) latency(from, to netip.AddrPort) time.Duration {
	if n.Latency == nil {
		return 0
	}
	return n.Latency(from, to)
}

func (n *Network) window(from, to netip.AddrPort) int {
	if n.Window == nil {
		return networkWindow
	}
	return n.Window(from, to)
}

// connect adds a connection to the backlog of the listener at an address and returns its other end, or nil if there is no listener.
func (n *Network) connect(from, to netip.AddrPort) *NetworkConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[to]
	if l == nil {
		return nil
	}
	dialled, accepted := newNetworkPair(n, from, to)
	n.conns = append(slices.DeleteFunc(n.conns, (*NetworkConn).ended), dialled, accepted)
	l.backlog = append(l.backlog, accepted)
	l.notify()
	return dialled
}

// HoldAccept makes the listener at an address, if there is one, accept no connections for a time. Connections are established meanwhile,
// as they are in the backlog of a process that stands still.
func (n *Network) HoldAccept(address string, d time.Duration) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.listeners[at]; l != nil {
		if until := time.Now().Add(d); until.After(l.heldUntil) {
			l.heldUntil = until
		}
		l.notify()
	}
}

// Conns returns the open ends of connections in the order in which they were opened. Both ends of a connection count.
func (n *Network) Conns() []*NetworkConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = slices.DeleteFunc(n.conns, (*NetworkConn).ended)
	return slices.Clone(n.conns)
}

// CloseHost closes all listeners and connections of a host, as the kernel does when a process ends.
func (n *Network) CloseHost(host netip.Addr) {
	n.mu.Lock()
	var listeners []*networkListener
	for at, l := range n.listeners {
		if at.Addr() == host {
			listeners = append(listeners, l)
		}
	}
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range n.Conns() {
		if c.local.Addr() == host {
			_ = c.Close()
		}
	}
}

// networkListener is a listener of a Network.
type networkListener struct {
	network *Network
	address netip.AddrPort
	// The fields below are guarded by network.mu.
	backlog []*NetworkConn
	closed  bool
	// heldUntil is the time before which Accept returns no connection.
	heldUntil time.Time
	// changed is closed and replaced when a field changes.
	changed chan struct{}
}

// notify wakes Accept. network.mu must be held.
func (l *networkListener) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Accept implements net.Listener.
func (l *networkListener) Accept() (net.Conn, error) {
	for {
		l.network.mu.Lock()
		if l.closed {
			l.network.mu.Unlock()
			return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: net.ErrClosed}
		}
		held := time.Now().Before(l.heldUntil)
		if len(l.backlog) > 0 && !held {
			c := l.backlog[0]
			l.backlog = l.backlog[1:]
			l.network.mu.Unlock()
			return c, nil
		}
		changed, deadline := l.changed, time.Time{}
		if held {
			deadline = l.heldUntil
		}
		l.network.mu.Unlock()
		await(changed, deadline)
	}
}

// Close implements net.Listener. It resets the connections that haven't been accepted.
func (l *networkListener) Close() error {
	l.network.mu.Lock()
	if l.closed {
		l.network.mu.Unlock()
		return &net.OpError{Op: "close", Net: "tcp", Addr: l.Addr(), Err: net.ErrClosed}
	}
	l.closed = true
	backlog := l.backlog
	l.backlog = nil
	delete(l.network.listeners, l.address)
	l.notify()
	l.network.mu.Unlock()
	for _, c := range backlog {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	return nil
}

// Addr implements net.Listener.
func (l *networkListener) Addr() net.Addr { return tcpAddr(l.address) }

func tcpAddr(a netip.AddrPort) *net.TCPAddr { return net.TCPAddrFromAddrPort(a) }

// String returns the number of listeners and open ends of connections.
func (n *Network) String() string {
	conns := len(n.Conns())
	n.mu.Lock()
	defer n.mu.Unlock()
	return fmt.Sprintf("%d listeners, %d ends of connections", len(n.listeners), conns)
}
