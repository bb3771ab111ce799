package fake

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/wait"
)

const (
	relayBufferBytes = 64 << 10
	// relayPollInterval is the time between two checks whether a cut has ended.
	relayPollInterval = 20 * time.Millisecond
	// relayQueue is how many pieces of data may be on their way in one direction of a connection.
	relayQueue = 64
	// lossUnit is a share of 1 of the packets that are dropped.
	lossUnit = 1_000_000
)

// Direction is the direction of the data that a cut affects, as seen from the side that opens connections.
type Direction int

// The directions of a cut; they can be combined.
const (
	// Outbound is from the source, which opens the connection, to the target.
	Outbound Direction = 1 << iota
	// Inbound is from the target to the source.
	Inbound
	Both = Outbound | Inbound
)

// Relay forwards TCP connections and UDP packets to one target and simulates network partitions: it can cut the traffic of a source
// address. A cut delays TCP data and leaves the connections open; it drops UDP packets. A relay can also be slow, see SetDelay, and lose
// packets, see SetLoss.
type Relay struct {
	target   string
	listener net.Listener
	packets  net.PacketConn
	// loss is the share of UDP packets that are dropped, in millionths.
	loss atomic.Int64
	// delay is the time in nanoseconds that TCP data takes.
	delay atomic.Int64
	mu    sync.Mutex
	// cuts has the directions cut for each source IP address.
	cuts map[string]Direction
	// flows has the UDP socket towards the target for each source (host:port).
	flows map[string]net.Conn
	// open has the open TCP connections.
	open map[*relayedConn]struct{}
}

// relayedConn is a TCP connection from a source to the target.
type relayedConn struct {
	source, target net.Conn
	// silent has the directions in which the connection delivers nothing further.
	silent atomic.Int32
}

func (c *relayedConn) isSilent(direction Direction) bool {
	return Direction(c.silent.Load())&direction != 0
}

// NewRelay listens on a free port of an IP address for TCP, and on the same port for UDP.
func NewRelay(ctx context.Context, ip, target string) (*Relay, error) {
	return NewRelayAt(ctx, net.JoinHostPort(ip, "0"), target)
}

// NewRelayAt listens on an address (host:port) for TCP and UDP.
func NewRelayAt(ctx context.Context, address, target string) (*Relay, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	packets, err := config.ListenPacket(ctx, "udp", listener.Addr().String())
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return &Relay{
		target: target, listener: listener, packets: packets,
		cuts: make(map[string]Direction), flows: make(map[string]net.Conn), open: make(map[*relayedConn]struct{}),
	}, nil
}

// Address returns the host:port that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut blocks data between a source IP address and the target in the directions given; 0 ends the cut.
func (r *Relay) Cut(source string, direction Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[source] = direction
}

// Silence makes the open TCP connections deliver nothing further in either direction, without closing them. New connections work.
func (r *Relay) Silence() { r.SilenceOneWay(Both) }

// SilenceOneWay makes the open TCP connections deliver nothing further in the directions given, without closing them.
func (r *Relay) SilenceOneWay(direction Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.silent.Or(int32(direction))
	}
}

// Reset resets the open TCP connections on both sides.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		for _, conn := range []net.Conn{c.source, c.target} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
}

// SetLoss sets the share of UDP packets, from 0 to 1, that are dropped in each direction.
func (r *Relay) SetLoss(share float64) { r.loss.Store(int64(share * lossUnit)) }

func (r *Relay) isLost() bool { return rand.Int64N(lossUnit) < r.loss.Load() }

// SetDelay sets how long TCP data that arrives from now on takes in each direction. The end of a connection takes as long.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

func (r *Relay) isCut(source string, direction Direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts[source]&direction != 0
}

// Run relays until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, flow := range r.flows {
			_ = flow.Close()
		}
		return errors.Join(r.listener.Close(), r.packets.Close())
	})
	group.Go(func() error { return r.acceptConnections(ctx, group) })
	group.Go(func() error { return r.forwardPackets(ctx, group) })
	if err := group.Wait(); ctx.Err() == nil {
		return err
	}
	return nil
}

func (r *Relay) acceptConnections(ctx context.Context, group *errgroup.Group) error {
	for {
		source, err := r.listener.Accept()
		if err != nil {
			return err
		}
		group.Go(func() error {
			r.relayConnection(ctx, source)
			return nil
		})
	}
}

// relayConnection copies data between source and a new connection to the target until both directions end or ctx ends.
func (r *Relay) relayConnection(ctx context.Context, source net.Conn) {
	defer func() { _ = source.Close() }()
	ip := hostOf(source.RemoteAddr())
	target, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	stop := context.AfterFunc(ctx, func() {
		_ = source.Close()
		_ = target.Close()
	})
	defer stop()
	c := &relayedConn{source: source, target: target}
	r.mu.Lock()
	r.open[c] = struct{}{}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.open, c)
	}()
	var pair sync.WaitGroup
	pair.Go(func() { r.copyStream(ctx, c, ip, Outbound) })
	pair.Go(func() { r.copyStream(ctx, c, ip, Inbound) })
	pair.Wait()
}

// relayed is a piece of data that is on its way until due. The last one is empty.
type relayed struct {
	data []byte
	due  time.Time
}

// copyStream copies one direction of a connection and pauses while it is cut. It discards the data of a silent connection.
func (r *Relay) copyStream(ctx context.Context, c *relayedConn, source string, direction Direction) {
	from, to := c.source, c.target
	if direction == Inbound {
		from, to = c.target, c.source
	}
	queue := make(chan relayed, relayQueue)
	var writer sync.WaitGroup
	writer.Go(func() { deliver(ctx, to, from, queue) })
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		for r.isCut(source, direction) && ctx.Err() == nil {
			time.Sleep(relayPollInterval)
		}
		if c.isSilent(direction) {
			if err == nil {
				continue
			}
			if direction == Outbound {
				// The source has given up the connection. The target learns it so that both ends are freed.
				_ = c.target.Close()
			}
			break
		}
		due := time.Now().Add(time.Duration(r.delay.Load()))
		if n > 0 {
			queue <- relayed{bytes.Clone(buffer[:n]), due}
		}
		if err != nil {
			queue <- relayed{nil, due}
			break
		}
	}
	close(queue)
	writer.Wait()
}

// deliver writes what is queued when it is due. At the end of the data, or after a failure, it closes the direction.
func deliver(ctx context.Context, to, from net.Conn, queue <-chan relayed) {
	failed := false
	for piece := range queue {
		if failed {
			continue
		}
		wait.For(ctx, time.Until(piece.due))
		if len(piece.data) > 0 {
			if _, err := to.Write(piece.data); err == nil {
				continue
			}
		}
		failed = true
		if tcp, ok := to.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		if tcp, ok := from.(*net.TCPConn); ok {
			_ = tcp.CloseRead()
		}
	}
}

func (r *Relay) forwardPackets(ctx context.Context, group *errgroup.Group) error {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, source, err := r.packets.ReadFrom(buffer)
		if err != nil {
			return err
		}
		flow, err := r.flow(ctx, group, source)
		if err != nil {
			return err
		}
		if !r.isCut(hostOf(source), Outbound) && !r.isLost() {
			// As on a network, a packet to a target that doesn't listen is lost.
			_, _ = flow.Write(buffer[:n])
		}
	}
}

// flow returns the UDP socket towards the target for one source. It creates the socket on first use and starts forwarding responses to
// the source.
func (r *Relay) flow(ctx context.Context, group *errgroup.Group, source net.Addr) (net.Conn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if flow, ok := r.flows[source.String()]; ok {
		return flow, nil
	}
	flow, err := (&net.Dialer{}).DialContext(ctx, "udp", r.target)
	if err != nil {
		return nil, err
	}
	r.flows[source.String()] = flow
	group.Go(func() error {
		r.returnPackets(ctx, flow, source)
		return nil
	})
	return flow, nil
}

// returnPackets sends packets from the target back to the source until the socket is closed or ctx ends.
func (r *Relay) returnPackets(ctx context.Context, flow net.Conn, source net.Addr) {
	buffer := make([]byte, relayBufferBytes)
	for ctx.Err() == nil {
		n, err := flow.Read(buffer)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) {
			return
		}
		if err == nil && !r.isCut(hostOf(source), Inbound) && !r.isLost() {
			_, _ = r.packets.WriteTo(buffer[:n], source)
		}
	}
}

// hostOf returns the IP address without the port.
func hostOf(address net.Addr) string {
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return address.String()
	}
	return host
}
