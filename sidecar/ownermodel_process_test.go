package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/gateway"
	"sapphiretray/grant"
	"sapphiretray/heartbeat"
	"sapphiretray/peer"
	"sapphiretray/routing"
	"sapphiretray/store"
)

// ownerNode is a machine: an upstream and an instance. The model's mutex guards the fields from upstream on.
type ownerNode struct {
	m          *ownerModel
	slot       string
	host       netip.Addr
	dataCentre string
	// clockFactor is the real duration of a second of the upstream's clock.
	clockFactor float64

	// lost means that the machine is lost for good.
	lost bool
	// upstream and process are the current ones, nil while there is none.
	upstream *ownerUpstream
	process  *ownerProcess
	// starts counts the starts of the process, and sequence the registrations of the upstream.
	starts, sequence int
	// stalledUntil is until when the process stands still.
	stalledUntil time.Time
	// feedSilentUntil is when the store's change feed responds again, and feedLag how old the changes are that it returns.
	feedSilentUntil time.Time
	feedLag         time.Duration
	// storeDownUntil is when the store can be reached again, and lossyUntil when datagrams aren't lost any more.
	storeDownUntil, lossyUntil time.Time
	// troubledUntil is when the upstream answers grants again, and slowUntil when it answers in time.
	troubledUntil, slowUntil time.Time
}

// newNode returns a node without a process. The model's mutex must be held.
func (m *ownerModel) newNode(n int, d *draws) *ownerNode {
	return &ownerNode{
		m: m, slot: fmt.Sprintf("%c%d", 'a'+n, d.IntN(100)), host: netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}),
		dataCentre: fmt.Sprint("dc", d.IntN(2)), clockFactor: 1 + d.Float64()*(1/0.98-1),
	}
}

func (n *ownerNode) address(port int) string {
	return netip.AddrPortFrom(n.host, uint16(port)).String()
}

// running returns the process, or nil if there is none.
func (n *ownerNode) running() *ownerProcess {
	n.m.mu.Lock()
	defer n.m.mu.Unlock()
	return n.process
}

// ownerProcess is one run of the product's process.
type ownerProcess struct {
	node    *ownerNode
	name    string
	sc      *Sidecar
	handler http.Handler
	cancel  context.CancelFunc
	// killed means that the process sends nothing any more. The model's mutex guards it and connection, the run of the upstream to which
	// a connection is open.
	killed     bool
	connection *ownerUpstream
}

// awaitRunning waits while the process stands still, and returns false if it has been killed.
func (p *ownerProcess) awaitRunning() bool {
	for {
		var left time.Duration
		killed := false
		p.node.m.locked(func() { left, killed = time.Until(p.node.stalledUntil), p.killed })
		if killed {
			return false
		}
		if left <= 0 {
			return true
		}
		time.Sleep(left)
	}
}

// startProcess starts a process unless one runs.
func (n *ownerNode) startProcess() {
	m := n.m
	p := &ownerProcess{node: n}
	started := false
	m.locked(func() {
		if n.process == nil && !m.ended && !n.lost {
			n.starts++
			p.name = fmt.Sprintf("%s/%d", n.slot, n.starts)
			started = true
			m.record("process %s starts", p.name)
		}
	})
	if !started {
		return
	}
	sc := New(Settings{
		Slot: n.slot, Name: n.slot, Service: ownerService, DataCentre: n.dataCentre, Region: "region",
		CallerAddress: n.address(modelCallerPort), PeerAddress: n.address(modelPeerPort),
		HeartbeatAddress: n.address(modelHeartbeatPort), UpstreamAddress: n.address(ownerUpstreamPort), StopTimeout: 6 * time.Second,
	}, Adapters{
		Store: store.NewEras(ownerStoreClient{m.store, p}), Upstream: ownerProtocol{}, Callers: modelProtocol{}, Network: ownerTCP{p},
		Grants:      func(*gateway.Gateway) grant.Upstream { return ownerGrants{p} },
		ConfigTable: ownerConfigTable, ConfigKey: ownerConfigKey,
		DecodeConfig: func([]byte) (*routing.Table, error) { return m.table, nil }, DecodeEvacuation: decodeTestEvacuation,
	})
	p.sc = sc
	sc.dialer = peer.NewDialer(ownerTransport{p})
	sc.routes.Store(m.table)
	running, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	group, running := errgroup.WithContext(running)
	sc.group = group
	sc.gateway = gateway.New(group, ownerService, sc.settings.UpstreamAddress, ownerProtocol{}, gateway.WithKeys(sc.keys),
		gateway.WithOnChange(sc.upstreamChanged), gateway.WithDial(sc.adapters.Network.DialContext))
	sc.endpoint = heartbeat.New(sc.firstIncarnation(), heartbeat.WithNetwork(ownerHeartbeats{p}),
		heartbeat.WithListen(sc.settings.HeartbeatAddress), heartbeat.WithTiming(timing()), heartbeat.WithBacking(leaseBacking),
		heartbeat.WithDial(sc.dialSlot),
		heartbeat.WithVersions(sc.heartbeatVersions), heartbeat.WithOnVersions(sc.observeHeartbeat),
		heartbeat.WithOnChange(sc.leaseChanged))
	p.handler = peer.NewHandler(&peerService{sidecar: sc})
	if _, err := sc.endpoint.Listen(); err != nil {
		panic(err)
	}
	m.locked(func() { n.process = p })
	group.Go(func() error { return sc.endpoint.Run(running) })
	sc.background(running, group, sc.rows.Run, sc.config.Run, sc.gateway.Run, sc.runSessions, sc.fetchAnnounced, sc.probeUnreachable,
		sc.runReports, sc.runPlanner)
	m.group.Go(func() {
		if err := group.Wait(); err != nil {
			m.record("process %s ended: %v", p.name, err)
		}
	})
}

// ownerUpstreamPort is the port of upstreams.
const ownerUpstreamPort = 8080

// killProcess ends the process without a stop.
func (n *ownerNode) killProcess() {
	var p *ownerProcess
	n.m.locked(func() {
		if p, n.process = n.process, nil; p != nil {
			p.killed = true
			n.m.record("process %s is killed", p.name)
		}
	})
	if p != nil {
		p.cancel()
	}
}

// lose ends the machine for good.
func (n *ownerNode) lose() {
	n.m.locked(func() {
		n.lost = true
		n.m.record("machine %s is lost for good", n.slot)
	})
	n.killProcess()
	n.crashUpstream()
}

// stopProcess ends the process as a planned stop does: its keys move to other instances first.
func (n *ownerNode) stopProcess(limit time.Duration) {
	p := n.running()
	if p == nil {
		return
	}
	n.m.record("process %s stops", p.name)
	p.sc.stopping.Store(true)
	p.sc.upstreamChanged()
	time.Sleep(limit)
	if n.running() == p {
		n.killProcess()
	}
}

// register sends the heartbeats of the upstream to the process.
func (n *ownerNode) register() {
	for !n.m.isEnded() {
		var p *ownerProcess
		var r gateway.Registration
		var pause time.Duration
		n.m.locked(func() {
			pause = n.m.draw("register", n.slot).between(300*time.Millisecond, time.Second)
			if n.process == nil || n.upstream == nil || time.Now().Before(n.stalledUntil) {
				pause = 100 * time.Millisecond
				return
			}
			n.sequence++
			p = n.process
			r = gateway.Registration{
				UpstreamRun: n.upstream.run, Service: ownerService, Address: n.address(ownerUpstreamPort), DataCentre: n.dataCentre,
				Slots: 4, Sequence: uint64(n.sequence),
			}
		})
		if p != nil {
			if err := p.sc.gateway.Register(r); err != nil {
				panic(err)
			}
		}
		time.Sleep(pause)
	}
}

// ownerTCP is the TCP network of one process. It implements Network: connections to a running process succeed, and others are refused.
type ownerTCP struct {
	process *ownerProcess
}

// Listen implements Network.
func (ownerTCP) Listen(context.Context, string) (net.Listener, error) { return nil, net.ErrClosed }

// DialContext implements Network.
func (t ownerTCP) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n := t.process.node
	if address == n.address(ownerUpstreamPort) {
		return t.dialUpstream()
	}
	to := n.m.network.node(address)
	if !n.m.network.transfer(ctx, n, to, "dial") || !n.m.network.transfer(ctx, to, n, "dial") {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	if to.running() == nil {
		return nil, errOwnerRefused
	}
	local, remote := net.Pipe()
	_ = remote.Close()
	return local, nil
}

// dialUpstream connects to the upstream, which answers one request with its id.
func (t ownerTCP) dialUpstream() (net.Conn, error) {
	n := t.process.node
	var u *ownerUpstream
	n.m.locked(func() { u = n.upstream })
	if u == nil {
		return nil, errOwnerRefused
	}
	local, remote := net.Pipe()
	n.m.group.Go(func() {
		defer func() { _ = remote.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(remote)); err == nil {
			// An error means that the process has closed the connection.
			_, _ = fmt.Fprintf(remote, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", ownerUpstreamID, u.run.ID)
		}
	})
	return local, nil
}

// ownerUpstreamID is the header with the id of the upstream that responds.
const ownerUpstreamID = "Model-Upstream"

// ownerProtocol implements gateway.Protocol.
type ownerProtocol struct{ modelProtocol }

// Read implements gateway.Protocol.
func (ownerProtocol) Read(_ int, header http.Header) gateway.ResponseInfo {
	return gateway.ResponseInfo{Genuine: true, UpstreamID: header.Get(ownerUpstreamID)}
}
