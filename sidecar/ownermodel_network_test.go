package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"syscall"
	"time"

	"sapphiretray/wait"
)

// ownerNetwork is the network between the instances. The model's mutex guards its fields.
type ownerNetwork struct {
	m *ownerModel
	// cutUntil holds when a link transfers data again, by sender and receiver. lossyUntil is when a node loses no more datagrams.
	cutUntil map[[2]*ownerNode]time.Time
	sockets  map[string]*ownerSocket
	nextPort int
}

func newOwnerNetwork(m *ownerModel) *ownerNetwork {
	return &ownerNetwork{m: m, cutUntil: make(map[[2]*ownerNode]time.Time), sockets: make(map[string]*ownerSocket), nextPort: 20000}
}

// cut cuts the link from one node to another. The model's mutex must be held.
func (n *ownerNetwork) cut(from, to *ownerNode, d time.Duration) {
	link := [2]*ownerNode{from, to}
	if until := time.Now().Add(d); until.After(n.cutUntil[link]) {
		n.cutUntil[link] = until
	}
}

// healed returns when the last cut of a node's links ended, if it has ended. The model's mutex must be held.
func (n *ownerNetwork) healed(node *ownerNode) time.Time {
	var last time.Time
	for link, until := range n.cutUntil {
		if (link[0] == node || link[1] == node) && until.After(last) && !until.After(time.Now()) {
			last = until
		}
	}
	return last
}

// latency returns how long data takes from one node to another, as long as the link isn't cut. The model's mutex must be held.
func (n *ownerNetwork) latency(from, to *ownerNode, d *draws) time.Duration {
	latency := d.between(200*time.Microsecond, 3*time.Millisecond)
	if from.dataCentre != to.dataCentre {
		latency += d.between(2*time.Millisecond, 15*time.Millisecond)
	}
	if n.m.faulty && d.chance(0.01) {
		latency += d.between(20*time.Millisecond, time.Second)
	}
	return latency
}

// node returns the node with an address, host:port.
func (n *ownerNetwork) node(address string) *ownerNode {
	host := netip.MustParseAddrPort(address).Addr()
	for _, node := range n.m.nodes {
		if node.host == host {
			return node
		}
	}
	panic("no node has address " + address)
}

// transfer waits until data has arrived over a link, which may be cut for some time. It returns false if ctx ends before.
func (n *ownerNetwork) transfer(ctx context.Context, from, to *ownerNode, kind string) bool {
	for first := true; ; first = false {
		var delay time.Duration
		cut := false
		n.m.locked(func() {
			d := n.m.draw(kind, from.slot, to.slot)
			if first {
				delay = n.latency(from, to, d)
			}
			if left := time.Until(n.cutUntil[[2]*ownerNode{from, to}]); left > 0 {
				// Lost segments are sent again after the end of the cut.
				delay, cut = left+d.between(time.Millisecond, 200*time.Millisecond), true
			}
		})
		if !wait.For(ctx, delay) {
			return false
		}
		if !cut {
			return true
		}
	}
}

// ownerTransport carries the calls of one process. It implements http.RoundTripper.
type ownerTransport struct {
	process *ownerProcess
}

// RoundTrip implements http.RoundTripper.
func (t ownerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	p := t.process
	m := p.node.m
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	if !p.awaitRunning() {
		return nil, net.ErrClosed
	}
	type result struct {
		response *http.Response
		err      error
	}
	results := make(chan result, 1)
	request := r.Clone(r.Context())
	request.Body, request.RequestURI = io.NopCloser(bytes.NewReader(body)), r.URL.RequestURI()
	m.group.Go(func() {
		response, err := t.carry(request)
		results <- result{response, err}
	})
	var got result
	select {
	case got = <-results:
	case <-r.Context().Done():
		got.err = r.Context().Err()
	}
	if !p.awaitRunning() {
		return nil, net.ErrClosed
	}
	return got.response, got.err
}

var errOwnerRefused = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}

// carry carries a request to its server and the response back. A request whose caller has given up may still arrive.
func (t ownerTransport) carry(request *http.Request) (*http.Response, error) {
	from := t.process.node
	m := from.m
	to := m.network.node(request.URL.Host)
	arrives := request.Context()
	m.locked(func() {
		if m.draw("outlast", from.slot, to.slot).chance(0.3) {
			arrives = context.Background()
		}
	})
	if !m.network.transfer(arrives, from, to, "request") {
		return nil, request.Context().Err()
	}
	server := to.running()
	if server == nil || !server.awaitRunning() {
		return nil, errOwnerRefused
	}
	recorder := httptest.NewRecorder()
	server.handler.ServeHTTP(recorder, request)
	if !server.awaitRunning() {
		return nil, errOwnerReset
	}
	if !m.network.transfer(request.Context(), to, from, "response") {
		return nil, request.Context().Err()
	}
	return recorder.Result(), nil
}

// ownerHeartbeats is the UDP network of one process. It implements heartbeat.Network.
type ownerHeartbeats struct {
	process *ownerProcess
}

// ownerSocket is a UDP socket. It implements net.PacketConn and net.Conn.
type ownerSocket struct {
	process *ownerProcess
	local   *net.UDPAddr
	remote  net.Addr
	queue   chan ownerDatagram
	closed  chan struct{}
}

type ownerDatagram struct {
	from    *net.UDPAddr
	content []byte
}

// ownerQueue is the number of datagrams that a socket holds.
const ownerQueue = 64

func (n ownerHeartbeats) open(local *net.UDPAddr, remote net.Addr) *ownerSocket {
	s := &ownerSocket{
		process: n.process, local: local, remote: remote, queue: make(chan ownerDatagram, ownerQueue), closed: make(chan struct{}),
	}
	network := n.process.node.m.network
	network.m.locked(func() {
		if local.Port == 0 {
			network.nextPort++
			local.Port = network.nextPort
		}
		network.sockets[local.String()] = s
	})
	return s
}

// ListenPacket implements heartbeat.Network.
func (n ownerHeartbeats) ListenPacket(address string) (net.PacketConn, error) {
	return n.open(net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)), nil), nil
}

// Dial implements heartbeat.Network.
func (n ownerHeartbeats) Dial(_ *net.UDPAddr, address string) (net.Conn, error) {
	local := net.UDPAddrFromAddrPort(netip.AddrPortFrom(n.process.node.host, 0))
	return n.open(local, net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address))), nil
}

// ReadFrom implements net.PacketConn.
func (s *ownerSocket) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case d := <-s.queue:
		if !s.process.awaitRunning() {
			<-s.closed
			return 0, nil, net.ErrClosed
		}
		return copy(p, d.content), d.from, nil
	case <-s.closed:
		return 0, nil, net.ErrClosed
	}
}

// Read implements net.Conn.
func (s *ownerSocket) Read(p []byte) (int, error) {
	n, _, err := s.ReadFrom(p)
	return n, err
}

// WriteTo implements net.PacketConn.
func (s *ownerSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	if !s.process.awaitRunning() {
		return 0, net.ErrClosed
	}
	from := s.process.node
	m := from.m
	network := m.network
	m.mu.Lock()
	defer m.mu.Unlock()
	receiver := network.node(to.String())
	d := m.draw("datagram", from.slot, receiver.slot)
	now := time.Now()
	lossy := now.Before(from.lossyUntil) || now.Before(receiver.lossyUntil)
	if now.Before(network.cutUntil[[2]*ownerNode{from, receiver}]) || m.faulty && d.chance(0.005) || lossy && d.chance(0.4) {
		return len(p), nil
	}
	datagram := ownerDatagram{s.local, bytes.Clone(p)}
	time.AfterFunc(network.latency(from, receiver, d), func() {
		var socket *ownerSocket
		m.locked(func() { socket = network.sockets[to.String()] })
		if socket != nil {
			select {
			case socket.queue <- datagram:
			default:
			}
		}
	})
	return len(p), nil
}

// Write implements net.Conn.
func (s *ownerSocket) Write(p []byte) (int, error) { return s.WriteTo(p, s.remote) }

// Close implements net.Conn and net.PacketConn.
func (s *ownerSocket) Close() error {
	m := s.process.node.m
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-s.closed:
		return net.ErrClosed
	default:
	}
	close(s.closed)
	if m.network.sockets[s.local.String()] == s {
		delete(m.network.sockets, s.local.String())
	}
	return nil
}

// LocalAddr implements net.Conn and net.PacketConn.
func (s *ownerSocket) LocalAddr() net.Addr { return s.local }

// RemoteAddr implements net.Conn.
func (s *ownerSocket) RemoteAddr() net.Addr { return s.remote }

var errOwnerDeadline = errors.New("sockets of the model have no deadlines")

// SetDeadline implements net.Conn and net.PacketConn.
func (s *ownerSocket) SetDeadline(time.Time) error { return errOwnerDeadline }

// SetReadDeadline implements net.Conn and net.PacketConn.
func (s *ownerSocket) SetReadDeadline(time.Time) error { return errOwnerDeadline }

// SetWriteDeadline implements net.Conn and net.PacketConn.
func (s *ownerSocket) SetWriteDeadline(time.Time) error { return errOwnerDeadline }
