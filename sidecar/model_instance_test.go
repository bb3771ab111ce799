package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/fake"
	"sapphiretray/gateway"
	"sapphiretray/ingress"
	"sapphiretray/member"
	"sapphiretray/policy"
	"sapphiretray/routing"
	"sapphiretray/store"
)

// modelSlots is the number of requests that an upstream of the model runs at once.
const modelSlots = 8

// modelNode is a machine: an upstream and, most of the time, an instance.
type modelNode struct {
	m        *model
	slot     string
	host     netip.Addr
	upstream *modelUpstream
	// current is the running instance, or nil. m.mu guards it.
	current *modelInstance
	// evacuation is the newest one of the node's data centre. m.mu guards it.
	evacuation modelEvacuation
}

// modelInstance is one run of the product's process.
type modelInstance struct {
	node *modelNode
	self member.Incarnation
	sc   *Sidecar
	// stop begins the stop, and cancel ends the process without one.
	stop, cancel context.CancelFunc
	// The fields below are guarded by m.mu. killed means that the process can open no connections. feedAt is when the newest row reaches
	// the directory.
	feedAt   time.Time
	stopping bool
	killed   bool
	// refuses is when the instance may begin to refuse requests because of its stop.
	refuses time.Duration
	regions [modelRegions]regionState
	// changed is closed and replaced when regions changes.
	changed chan struct{}
}

func (m *model) newNode(n int) *modelNode {
	node := &modelNode{m: m, slot: string(rune('a' + n)), host: netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)})}
	node.upstream = m.newUpstream(node.slot, netip.AddrFrom4([4]byte{10, 0, 1, byte(n + 1)}))
	return node
}

func isModelUpstream(host netip.Addr) bool { return host.As4()[2] == 1 }
func isModelInstance(host netip.Addr) bool { return host.As4()[2] == 0 }

// number returns the node's index in the model's nodes.
func (n *modelNode) number() int { return int(n.slot[0] - 'a') }

func (n *modelNode) address(port int) string {
	return netip.AddrPortFrom(n.host, uint16(port)).String()
}

// Ports of the instances.
const (
	modelCallerPort = 80 + iota
	modelPeerPort
	modelReadyPort
	modelRegistrationPort
	modelAdminPort
	modelHeartbeatPort
)

// instance returns the running instance, or nil.
func (n *modelNode) instance() *modelInstance {
	n.m.mu.Lock()
	defer n.m.mu.Unlock()
	return n.current
}

// start starts an instance. It runs until stop is called.
func (n *modelNode) start() {
	m := n.m
	i := &modelInstance{node: n, changed: make(chan struct{})}
	i.sc = New(Settings{
		Slot: n.slot, Name: n.slot, Service: modelService, DataCentre: n.dataCentre(), CallerAddress: n.address(modelCallerPort),
		PeerAddress: n.address(modelPeerPort), ReadyAddress: n.address(modelReadyPort),
		RegistrationAddress: n.address(modelRegistrationPort), AdminAddress: n.address(modelAdminPort),
		HeartbeatAddress: n.address(modelHeartbeatPort), UpstreamAddress: n.upstream.address, DrainLimit: 2 * time.Second,
		StopTimeout: modelStopTimeout, RetryBudget: policy.RetryBudgetTerms{Ratio: 1, Window: 10 * time.Second, Minimum: 100},
		EvacuationLimit: modelEvacuationLimit, ConfigLimit: modelPropagation,
	}, Adapters{
		Store: operatorStore{rows: m.listOperatorRows()}, ConfigKey: "config", DecodeEvacuation: decodeTestEvacuation,
		Upstream: modelProtocol{}, Callers: modelProtocol{}, Network: modelNetwork{m, i},
		Registrations: func(Registrar) http.Handler { return http.NotFoundHandler() },
		Ready:         func(func() bool) http.Handler { return http.NotFoundHandler() },
	})
	i.sc.routes.Store(m.newestTable())
	ctx, stop := context.WithCancel(context.Background())
	i.stop = stop
	running, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	group, running := errgroup.WithContext(running)
	requests, giveUp := context.WithCancelCause(context.Background())
	sc := i.sc
	sc.group, sc.giveUp = group, giveUp
	sc.gateway = gateway.New(group, modelService, n.upstream.address, modelProtocol{}, gateway.WithDrainLimit(sc.settings.DrainLimit),
		gateway.WithKeys(func() gateway.Keys { return i }), gateway.WithDial(sc.adapters.Network.DialContext),
		gateway.WithEvacuated(sc.isClosed))
	if err := sc.gateway.Register(gateway.Registration{
		UpstreamRun: gateway.UpstreamRun{ID: "upstream-" + n.slot, Started: 1}, Service: modelService, Address: n.upstream.address,
		Slots: modelSlots, Sequence: 1,
	}); err != nil {
		panic(err)
	}
	servers, err := sc.listen(running, requests)
	if err != nil {
		panic(err)
	}
	for _, s := range servers {
		group.Go(func() error { return s.serve(running) })
	}
	sc.background(running, group, sc.gateway.Run, sc.callers.Run, sc.probeUnreachable, sc.config.Run)
	group.Go(func() error {
		defer cancel()
		sc.drainOnStop(ctx, running, servers)
		return nil
	})
	m.group.Go(func() {
		defer giveUp(nil)
		err := group.Wait()
		i.end(err)
	})
	m.locked(func() {
		m.rowVersion++
		i.self = member.NewIncarnation(n.slot, m.rowVersion)
		n.current = i
		m.record("", "process %v started", i.self)
		sc.directory.apply(m.snapshot())
		m.publishRecord(i, member.Ready)
	})
}

// end is called when the process has ended: the kernel closes its connections.
func (i *modelInstance) end(err error) {
	m := i.node.m
	m.locked(func() {
		m.record("", "process %v ended: %v", i.self, err)
		m.refusing = append(m.refusing, timeSpan{i.refuses, time.Since(m.started)})
		i.node.current = nil
	})
	m.network.CloseHost(i.node.host)
}

// isStopping reports whether the process has been stopped or killed.
func (i *modelInstance) isStopping() bool {
	i.node.m.mu.Lock()
	defer i.node.m.mu.Unlock()
	return i.stopping
}

// terminate stops the instance as SIGTERM does, and checks that it ends in time.
func (i *modelInstance) terminate() {
	m := i.node.m
	d := m.draw("announce" + i.node.slot)
	m.locked(func() {
		i.stopping = true
		i.refuses = time.Since(m.started) + notReadyTime
		m.record("", "process %v gets SIGTERM", i.self)
	})
	begun := time.Now()
	i.stop()
	if m.slow {
		m.locked(func() { m.holdFeeds(d) })
		m.group.Go(func() { m.stallAcceptsOnStop(i) })
	}
	m.group.Go(func() {
		time.Sleep(d.between(0, 400*time.Millisecond))
		m.locked(func() { m.publishRecord(i, member.Draining) })
	})
	for i.node.instance() == i {
		time.Sleep(time.Millisecond)
		if time.Since(begun) > modelStopTimeout {
			m.locked(func() {
				m.violate("stop takes too long", nil, fmt.Sprintf("%v still runs %v after SIGTERM", i.self, modelStopTimeout))
			})
			return
		}
	}
}

// stopInstances stops one or several instances at overlapping times and starts them again.
func (m *model) stopInstances() {
	for !m.isEnded() {
		d := m.draw("stop")
		time.Sleep(d.between(200*time.Millisecond, 3*time.Second))
		var stops sync.WaitGroup
		count := 1 + d.IntN(modelNodes)
		if m.overlapping {
			count = max(count, 2)
		}
		for n, index := range d.Perm(modelNodes)[:count] {
			node, wait, pause := m.nodes[index], d.between(0, 1500*time.Millisecond), d.between(100*time.Millisecond, 1500*time.Millisecond)
			if m.overlapping && n > 0 {
				// A process starts while another one ends.
				wait, pause = d.between(0, modelStopTimeout), d.between(time.Millisecond, time.Second)
			}
			stops.Go(func() {
				time.Sleep(wait)
				i := node.instance()
				if i == nil || m.isEnded() || i.isStopping() {
					return
				}
				m.pressStopping(node)
				m.pressOthers(node)
				i.terminate()
				time.Sleep(pause)
				node.start()
			})
		}
		stops.Wait()
	}
}

// killInstances ends processes without a stop, in seeds that allow it, and starts them again.
func (m *model) killInstances() {
	for m.killing && !m.isEnded() {
		d := m.draw("kill")
		time.Sleep(d.between(200*time.Millisecond, 4*time.Second))
		node := m.nodes[d.IntN(modelNodes)]
		i := node.instance()
		if i == nil {
			continue
		}
		m.pressKilled(node, i)
		time.Sleep(pressKilledTime)
		if i.kill() {
			time.Sleep(d.between(100*time.Millisecond, 1500*time.Millisecond))
			node.start()
		}
	}
}

// kill ends the process without a stop, unless it stops already.
func (i *modelInstance) kill() bool {
	m := i.node.m
	killed := false
	m.locked(func() {
		if !i.stopping {
			killed, i.killed, i.stopping = true, true, true
			m.kills = append(m.kills, modelKill{node: i.node, at: time.Now()})
			m.record("", "process %v is killed", i.self)
		}
	})
	if !killed {
		return false
	}
	m.network.CloseHost(i.node.host)
	i.cancel()
	i.sc.giveUp(nil)
	for i.node.instance() == i {
		time.Sleep(time.Millisecond)
	}
	return true
}

// stopAtEnd stops the instance at the end of the model.
func (n *modelNode) stopAtEnd() {
	if i := n.instance(); i != nil {
		i.terminate()
	}
}

// setTable puts a table into effect unless the instance has a newer one.
func (i *modelInstance) setTable(table *routing.Table) {
	m := i.node.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if i.sc.routes.Load().Version() < table.Version() {
		i.sc.routes.Store(table)
		m.record("", "%v has table %d", i.self, table.Version())
	}
}

// recordRow returns the row with the record of an instance. m.mu must be held.
func (m *model) recordRow(i *modelInstance, state member.State) store.Row {
	s := i.sc.settings
	value, err := json.Marshal(member.Record{
		Incarnation: i.self, Name: s.Name, Service: s.Service, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress,
		HeartbeatAddress: s.HeartbeatAddress, CallerAddress: s.CallerAddress, Capacity: modelSlots, State: state,
	})
	if err != nil {
		panic(err)
	}
	m.rowVersion++
	return store.Row{Key: member.RowKey(i.node.slot), Version: m.rowVersion, Value: value}
}

// publishRecord sends the record of an instance to all instances. m.mu must be held.
func (m *model) publishRecord(i *modelInstance, state member.State) {
	if i.node.current != i {
		return
	}
	m.record("", "%v is %s", i.self, state)
	m.publish(m.recordRow(i, state))
}

// publish sends a row to all instances, each of which gets rows in order after a while. m.mu must be held.
func (m *model) publish(row store.Row) {
	m.keys.remember(row)
	for _, node := range m.nodes {
		i := node.current
		if i == nil {
			continue
		}
		d := m.newDraws("publish", row.Version, node.slot)
		at := time.Now().Add(m.feedDelay(node) + d.between(time.Millisecond, 120*time.Millisecond))
		if !at.After(i.feedAt) {
			at = i.feedAt.Add(time.Microsecond)
		}
		i.feedAt = at
		time.AfterFunc(time.Until(at), func() { i.sc.directory.apply([]store.Row{row}) })
	}
}

// snapshot returns the newest rows. m.mu must be held.
func (m *model) snapshot() []store.Row { return m.keys.newestRows() }

// modelNetwork is the network of one process. It implements Network.
type modelNetwork struct {
	m        *model
	instance *modelInstance
}

// Listen implements Network.
func (n modelNetwork) Listen(_ context.Context, address string) (net.Listener, error) {
	l, err := n.m.network.Listen(address)
	if err != nil || netip.MustParseAddrPort(address).Port() != modelCallerPort {
		return l, err
	}
	return modelListener{l, n.m}, nil
}

// DialContext implements Network.
func (n modelNetwork) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	if address == n.instance.node.address(modelPeerPort) {
		// The listener connects to itself when its shutdown begins.
		n.m.pressShutdown(n.instance)
	}
	killed := false
	n.m.locked(func() { killed = n.instance.killed })
	if killed {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: net.ErrClosed}
	}
	return n.m.network.DialFrom(ctx, n.instance.node.host, address)
}

// modelListener accepts connections of callers.
type modelListener struct {
	net.Listener
	m *model
}

// Accept implements net.Listener.
func (l modelListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.m.locked(func() { l.m.acceptedAt[conn.RemoteAddr().String()] = time.Now() })
	return &modelServerConn{conn.(*fake.NetworkConn), l.m}, nil
}

// modelServerConn records how much of a caller's requests the process has read.
type modelServerConn struct {
	*fake.NetworkConn
	m *model
}

// Read implements net.Conn.
func (c *modelServerConn) Read(p []byte) (int, error) {
	n, err := c.NetworkConn.Read(p)
	if n > 0 {
		c.m.observeRead(c.RemoteAddr().String(), n)
	}
	return n, err
}

// Close implements net.Conn.
func (c *modelServerConn) Close() error {
	c.m.observeClose(c.RemoteAddr().String(), c.Pending())
	return c.NetworkConn.Close()
}

// Headers of the model.
const (
	modelID     = "Model-Id"
	modelLeft   = "Model-Left"
	modelKey    = "Model-Key"
	modelRun    = "Model-Run"
	modelNotRun = "Model-Not-Run"
)

// modelProtocol implements gateway.Protocol and ingress.Protocol.
type modelProtocol struct{}

// Parse implements ingress.Protocol.
func (modelProtocol) Parse(r *http.Request) (ingress.Call, error) {
	left, err := strconv.Atoi(r.Header.Get(modelLeft))
	if err != nil {
		return ingress.Call{}, err
	}
	key, err := strconv.Atoi(r.Header.Get(modelKey))
	if err != nil {
		return ingress.Call{}, err
	}
	return ingress.Call{ID: r.Header.Get(modelID), Left: time.Duration(left) * time.Millisecond, Key: key}, nil
}

// Prepare implements gateway.Protocol.
func (modelProtocol) Prepare(header http.Header, r *gateway.Request, _ string, left time.Duration) {
	header.Set(modelID, r.ID)
	header.Set(modelKey, strconv.Itoa(r.Key))
	header.Set(modelLeft, strconv.FormatInt(left.Milliseconds(), 10))
}

// Matches implements gateway.Protocol.
func (modelProtocol) Matches(header http.Header, id string) bool { return header.Get(modelID) == id }

// Read implements gateway.Protocol.
func (modelProtocol) Read(status int, header http.Header) gateway.ResponseInfo {
	return gateway.ResponseInfo{
		Genuine: header.Get(modelRun) != "", NotRun: header.Get(modelNotRun) != "", Misdirected: status == http.StatusMisdirectedRequest,
	}
}
