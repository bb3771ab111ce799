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

// link is a UDP relay from one holder to one witness that can cut each direction, or one flow for good.
type link struct {
	front     *net.UDPConn
	back      *net.UDPAddr
	toWitness atomic.Bool // heartbeats are dropped
	toHolder  atomic.Bool // acknowledgements are dropped
	calls     atomic.Bool // control calls fail
	answers   atomic.Bool // control calls arrive, but their answers are lost
	mu        sync.Mutex
	flows     map[string]*net.UDPConn
	silent    map[string]bool
	closed    bool
}

func newLink(t *testing.T, back string) *link {
	t.Helper()
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	to, err := net.ResolveUDPAddr("udp", back)
	if err != nil {
		t.Fatal(err)
	}
	l := &link{front: front, back: to, flows: make(map[string]*net.UDPConn), silent: make(map[string]bool)}
	var group sync.WaitGroup
	group.Go(func() { l.forward(&group) })
	t.Cleanup(func() {
		_ = front.Close()
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

func (l *link) forward(group *sync.WaitGroup) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := l.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if conn := l.flow(from, group); conn != nil && !l.toWitness.Load() {
			_, _ = conn.Write(buffer[:n])
		}
	}
}

// flow returns the socket for a source port, or nil if that port was silenced.
func (l *link) flow(from *net.UDPAddr, group *sync.WaitGroup) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.silent[from.String()] {
		return nil
	}
	if conn := l.flows[from.String()]; conn != nil {
		return conn
	}
	conn, err := net.DialUDP("udp", nil, l.back)
	if err != nil {
		return nil
	}
	l.flows[from.String()] = conn
	group.Go(func() { l.backward(conn, from) })
	return conn
}

func (l *link) backward(conn *net.UDPConn, to *net.UDPAddr) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && !l.toHolder.Load() {
			_, _ = l.front.WriteToUDP(buffer[:n], to)
		}
	}
}

// silence stops all flows that exist now; new ones work.
func (l *link) silence() (flows int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for from := range l.flows {
		l.silent[from] = true
	}
	return len(l.flows)
}

func (l *link) flowCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.flows)
}

func (l *link) cut(all bool) {
	l.toWitness.Store(all)
	l.toHolder.Store(all)
	l.calls.Store(all)
}

// callee is a control connection without a network.
type callee struct {
	peer.Peer
	to   *Endpoint
	fail func() bool
	lose func() bool // the answer is lost; nil stands for never
}

var errCut = errors.New("connection is cut")

func (c callee) ConfirmExpiry(ctx context.Context, r *peer.ConfirmExpiryRequest) (*peer.ConfirmExpiryResponse, error) {
	if c.fail() {
		return nil, errCut
	}
	return c.to.ConfirmExpiry(ctx, r)
}

func (c callee) Reacquire(ctx context.Context, r *peer.ReacquireRequest) (*peer.ReacquireResponse, error) {
	if c.fail() {
		return nil, errCut
	}
	response, err := c.to.Reacquire(ctx, r)
	if c.lose != nil && c.lose() {
		return nil, errCut
	}
	return response, err
}

func (c callee) Resign(ctx context.Context, r *peer.ResignRequest) (*peer.ResignResponse, error) {
	if c.fail() {
		return nil, errCut
	}
	return c.to.Resign(ctx, r)
}

// cluster has one holder whose links to its witnesses can be cut. With an own slot the holder is one of the 3 witnesses.
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
	var targets []Target
	links := make(map[string]*link)
	for i := range 3 {
		slot := fmt.Sprintf("w-%d", i)
		c.witnesses = append(c.witnesses, slot)
		if ownSlot && i == 0 {
			targets = append(targets, NewTarget(slot, ""))
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
		targets = append(targets, NewTarget(slot, links[slot].front.LocalAddr().String()))
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
			return callee{
				to: c.endpoints[slot], fail: func() bool { return links[slot].calls.Load() },
				lose: func() bool { return links[slot].answers.Load() },
			}, nil
		}),
	}, options...)...)
	c.endpoints[slot] = c.holder
	if err := c.holder.SetWitnesses(targets); err != nil {
		t.Fatal(err)
	}
	c.kill = run(t, c.holder)
	return c
}

// prover returns the prover of a successor that reaches all instances.
func (c *cluster) prover() *Prover {
	return NewProver(func(slot string) (peer.Peer, error) {
		return callee{to: c.endpoints[slot], fail: func() bool { return false }}, nil
	}, c.timing)
}

// run starts an endpoint and returns a function that stops it at once, without a resignation.
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

// await polls until the condition holds and returns how long that took.
func await(t *testing.T, limit time.Duration, what string, condition func() bool) time.Duration {
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

func (c *cluster) acquire(t *testing.T) {
	t.Helper()
	await(t, 5*time.Second, "first lease", c.holder.Lease().Valid)
	c.expect(t, true)
}

// expect takes the next change of the holder's lease.
func (c *cluster) expect(t *testing.T, valid bool) string {
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
