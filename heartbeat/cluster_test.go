package heartbeat

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/witness"

	"golang.org/x/sync/errgroup"
)

// link relays the datagrams between the holder and one witness. It can drop those of each direction or of existing flows, and it says
// how calls to the witness fail.
type link struct {
	listener       *net.UDPConn
	witnessAddress *net.UDPAddr
	dropHeartbeats atomic.Bool
	dropAcks       atomic.Bool
	failCalls      atomic.Bool
	loseResponses  atomic.Bool // calls arrive, but the responses are lost
	mu             sync.Mutex
	// flows holds the socket to the witness for each source address of the holder, and blocked the addresses that are dropped.
	flows   map[string]*net.UDPConn
	blocked map[string]bool
	closed  bool
}

func newLink(t *testing.T, witnessAddress string) *link {
	t.Helper()
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	to, err := net.ResolveUDPAddr("udp", witnessAddress)
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener, witnessAddress: to, flows: make(map[string]*net.UDPConn), blocked: make(map[string]bool)}
	var group sync.WaitGroup
	group.Go(func() { l.forwardHeartbeats(&group) })
	t.Cleanup(func() {
		_ = listener.Close()
		l.mu.Lock()
		l.closed = true
		for _, conn := range l.flows {
			_ = conn.Close()
		}
		l.mu.Unlock()
		group.Wait()
	})
	return l
}

// forwardHeartbeats relays the holder's datagrams until the listener is closed.
func (l *link) forwardHeartbeats(group *sync.WaitGroup) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := l.listener.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if conn := l.flow(from, group); conn != nil && !l.dropHeartbeats.Load() {
			_, _ = conn.Write(buffer[:n])
		}
	}
}

// flow returns the socket for a source address, or nil if that address is blocked or the link is closed.
func (l *link) flow(from *net.UDPAddr, group *sync.WaitGroup) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.blocked[from.String()] {
		return nil
	}
	if conn := l.flows[from.String()]; conn != nil {
		return conn
	}
	conn, err := net.DialUDP("udp", nil, l.witnessAddress)
	if err != nil {
		return nil
	}
	l.flows[from.String()] = conn
	group.Go(func() { l.forwardAcks(conn, from) })
	return conn
}

// forwardAcks relays the witness's datagrams of one flow until its socket is closed.
func (l *link) forwardAcks(conn *net.UDPConn, to *net.UDPAddr) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && !l.dropAcks.Load() {
			_, _ = l.listener.WriteToUDP(buffer[:n], to)
		}
	}
}

// blockFlows drops all further heartbeats of the flows that exist now and returns their number. New flows work.
func (l *link) blockFlows() (flows int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for from := range l.flows {
		l.blocked[from] = true
	}
	return len(l.flows)
}

func (l *link) flowCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.flows)
}

// cut starts or ends a fault that drops the datagrams of both directions and makes calls fail.
func (l *link) cut(active bool) {
	l.dropHeartbeats.Store(active)
	l.dropAcks.Store(active)
	l.failCalls.Store(active)
}

// directPeer calls an endpoint without a network.
type directPeer struct {
	peer.Peer
	to           *Endpoint
	fail         func() bool
	loseResponse func() bool // the call runs but its response is lost; nil stands for never
}

var errCut = errors.New("connection is cut")

func (c directPeer) ConfirmExpiry(ctx context.Context, r *peer.ConfirmExpiryRequest) (*peer.ConfirmExpiryResponse, error) {
	if c.fail() {
		return nil, errCut
	}
	return c.to.ConfirmExpiry(ctx, r)
}

func (c directPeer) Reacquire(ctx context.Context, r *peer.ReacquireRequest) (*peer.ReacquireResponse, error) {
	if c.fail() {
		return nil, errCut
	}
	response, err := c.to.Reacquire(ctx, r)
	if c.loseResponse != nil && c.loseResponse() {
		return nil, errCut
	}
	return response, err
}

func (c directPeer) Resign(ctx context.Context, r *peer.ResignRequest) (*peer.ResignResponse, error) {
	if c.fail() {
		return nil, errCut
	}
	return c.to.Resign(ctx, r)
}

// cluster has one holder and 3 witnesses with a link to each. With ownSlot, the holder's own instance is the first witness and has no
// link.
type cluster struct {
	holder    *Endpoint
	kill      func()
	witnesses []string
	endpoints map[string]*Endpoint
	links     []*link
	changes   chan change
	expiries  chan time.Time
	timing    witness.Timing
}

func newCluster(t *testing.T, timing witness.Timing, ownSlot bool, options ...Option) *cluster {
	t.Helper()
	c := &cluster{
		endpoints: make(map[string]*Endpoint), changes: make(chan change, 100), expiries: make(chan time.Time, 100), timing: timing,
	}
	var witnessAddresses []WitnessAddress
	links := make(map[string]*link)
	for i := range 3 {
		slot := fmt.Sprintf("w-%d", i)
		c.witnesses = append(c.witnesses, slot)
		if ownSlot && i == 0 {
			witnessAddresses = append(witnessAddresses, NewWitnessAddress(slot, ""))
			continue
		}
		e := New(member.NewIncarnation(slot, 1), append([]Option{
			WithTiming(timing), WithOnExpiry(func(member.Incarnation) { c.expiries <- time.Now() }),
		}, options...)...)
		address, err := e.Listen()
		if err != nil {
			t.Fatal(err)
		}
		run(t, e)
		c.endpoints[slot] = e
		links[slot] = newLink(t, address)
		c.links = append(c.links, links[slot])
		witnessAddresses = append(witnessAddresses, NewWitnessAddress(slot, links[slot].listener.LocalAddr().String()))
	}
	slot := "o-0"
	if ownSlot {
		slot = "w-0"
	}
	c.holder = New(member.NewIncarnation(slot, 1), append([]Option{
		WithTiming(timing),
		WithOnChange(func(valid bool, reason string) {
			generation := uint64(0)
			if valid {
				generation = 1
			}
			c.changes <- change{generation, reason}
		}),
		WithDial(func(slot string) (peer.Peer, error) {
			return directPeer{
				to: c.endpoints[slot], fail: func() bool { return links[slot].failCalls.Load() },
				loseResponse: func() bool { return links[slot].loseResponses.Load() },
			}, nil
		}),
	}, options...)...)
	c.endpoints[slot] = c.holder
	if err := c.holder.SetWitnesses(witnessAddresses); err != nil {
		t.Fatal(err)
	}
	c.kill = run(t, c.holder)
	return c
}

// prover returns the prover of a successor that can call all instances.
func (c *cluster) prover() *Prover {
	return NewProver(func(slot string) (peer.Peer, error) {
		return directPeer{to: c.endpoints[slot], fail: func() bool { return false }}, nil
	}, c.timing)
}

// run starts an endpoint and returns a function that stops it without a resignation.
func run(t *testing.T, e *Endpoint) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return e.Run(ctx) })
	stop = sync.OnceFunc(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Errorf("%s: %v", e.self, err)
		}
	})
	t.Cleanup(stop)
	return stop
}

// waitUntil polls until the condition holds and returns how long that took.
func waitUntil(t *testing.T, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			t.Fatalf("%s: not within %v", what, limit)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

// awaitLease waits for the holder's first lease.
func (c *cluster) awaitLease(t *testing.T) {
	t.Helper()
	waitUntil(t, 5*time.Second, "first lease", c.holder.Lease().Valid)
	c.expectChange(t, true)
}

// expectChange waits for the next change of the holder's lease and returns its reason.
func (c *cluster) expectChange(t *testing.T, valid bool) string {
	t.Helper()
	select {
	case change := <-c.changes:
		if got := change.generation > 0; got != valid {
			t.Fatalf("change of the lease: got valid=%v (%s), want %v", got, change.reason, valid)
		}
		return change.reason
	case <-time.After(5 * time.Second):
		t.Fatalf("no change of the lease, want valid=%v", valid)
	}
	return ""
}

// expectExpiry waits until a witness reports the expiry.
func (c *cluster) expectExpiry(t *testing.T) {
	t.Helper()
	select {
	case <-c.expiries:
	case <-time.After(5 * time.Second):
		t.Fatal("no witness reported the expiry")
	}
}
