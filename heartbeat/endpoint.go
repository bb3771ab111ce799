// Package heartbeat runs the lease rules of package witness for one instance: it holds the instance's own lease by
// heartbeats over UDP and witnesses the leases of others.
package heartbeat

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/witness"

	"golang.org/x/sync/errgroup"
)

// Target is a witness and the UDP address at which it receives heartbeats.
type Target struct {
	slot    string
	address string
}

// NewTarget returns a target.
func NewTarget(slot, address string) Target { return Target{slot: slot, address: address} }

// Slot returns the witness's slot.
func (t Target) Slot() string { return t.slot }

// Address returns the witness's UDP address.
func (t Target) Address() string { return t.address }

// Endpoint is the heartbeat endpoint of one incarnation.
type Endpoint struct {
	self member.Incarnation
	config
	// group runs the goroutines; it is set by Run.
	group *errgroup.Group

	mu      sync.Mutex
	conn    *net.UDPConn
	holder  *witness.Holder
	witness *witness.Witness
	targets []Target
	flows   map[string]*flow
	// heard is when each witness last acknowledged a heartbeat, since the incarnation was adopted.
	heard   map[string]time.Time
	changes []change
	seen    change
	stopped bool
	// earlyRound is set once the newest regular round was followed by one that echoes its answers.
	earlyRound bool

	term    atomic.Pointer[witness.Term]
	lost    atomic.Bool
	traffic traffic

	announcer announcer

	holderWake  chan struct{}
	witnessWake chan struct{}
	changeWake  chan struct{}
}

// change is a change of the own lease. The generation is 0 if the lease is not held any more.
type change struct {
	generation uint64
	reason     string
}

// New returns an endpoint for an incarnation. Its silent period as a witness begins now.
func New(self member.Incarnation, options ...Option) *Endpoint {
	e := &Endpoint{
		self: self, config: newConfig(options), flows: make(map[string]*flow), heard: make(map[string]time.Time),
		holderWake: make(chan struct{}, 1), witnessWake: make(chan struct{}, 1), changeWake: make(chan struct{}, 1),
	}
	run := rand.Uint64N(1<<runBits) + 1
	e.holder = witness.NewHolder(self, e.timing)
	e.witness = witness.NewWitness(self, e.timing, run, time.Now())
	return e
}

// Listen opens the UDP address and returns the address that it got. Run calls it if it wasn't called before.
func (e *Endpoint) Listen() (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == nil {
		address, err := net.ResolveUDPAddr("udp", e.listen)
		if err != nil {
			return "", fmt.Errorf("heartbeat address %s: %w", e.listen, err)
		}
		if e.conn, err = net.ListenUDP("udp", address); err != nil {
			return "", fmt.Errorf("listen for heartbeats: %w", err)
		}
	}
	return e.conn.LocalAddr().String(), nil
}

// SetWitnesses names the witnesses of the own lease. Later calls may change their addresses but not their slots.
func (e *Endpoint) SetWitnesses(targets []Target) error {
	slots := make([]string, 0, len(targets))
	for _, target := range targets {
		slots = append(slots, target.slot)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.holder.SetWitnesses(slots); err != nil {
		return fmt.Errorf("witnesses of %s: %w", e.self, err)
	}
	e.targets = append([]Target(nil), targets...)
	wake(e.holderWake)
	return nil
}

// Adopt makes the endpoint hold the lease of another incarnation in the same slot, which begins without a lease and without
// witnesses. What it knows as a witness of others is kept.
func (e *Endpoint) Adopt(self member.Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.self, e.holder, e.targets, e.earlyRound, e.seen = self, witness.NewHolder(self, e.timing), nil, false, change{}
	clear(e.heard)
	e.witness.Adopt(self)
	e.publish()
	wake(e.holderWake)
}

// SetBaseline names the newest incarnation of each slot that was registered at some time after the process started; see
// witness.Witness.
func (e *Endpoint) SetBaseline(newest map[string]uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.witness.SetBaseline(newest)
}

// Lease returns the view of the own lease.
func (e *Endpoint) Lease() Lease { return Lease{term: &e.term, lost: &e.lost} }

// Traffic returns the datagrams counted so far.
func (e *Endpoint) Traffic() Traffic {
	return Traffic{
		sent: e.traffic.sent.Load(), sentBytes: e.traffic.sentBytes.Load(),
		received: e.traffic.received.Load(), receivedBytes: e.traffic.receivedBytes.Load(),
	}
}

// Run serves until ctx ends or the UDP address fails. An endpoint runs once; calls to it fail afterwards.
func (e *Endpoint) Run(ctx context.Context) error {
	if _, err := e.Listen(); err != nil {
		return err
	}
	defer e.stop()
	group, ctx := errgroup.WithContext(ctx)
	e.group = group
	defer context.AfterFunc(ctx, func() { _ = e.conn.Close() })()
	group.Go(func() error { return e.receive() })
	group.Go(func() error { return e.watch(ctx) })
	group.Go(func() error { return e.report(ctx) })
	group.Go(func() error { return e.hold(ctx) })
	return group.Wait()
}

func (e *Endpoint) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
}

// receive acknowledges the heartbeats of others.
func (e *Endpoint) receive() error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("receive heartbeats: %w", err)
		}
		e.traffic.receive(n)
		heartbeat, versions, ok := decodeHeartbeat(buffer[:n])
		if !ok {
			continue
		}
		now := time.Now()
		e.mu.Lock()
		ack, ok := e.witness.Heartbeat(heartbeat, now)
		e.mu.Unlock()
		if ok {
			if datagram, err := encodeAck(ack, e.ackVersions(versions, now)); err == nil {
				e.traffic.send(len(datagram))
				// A lost acknowledgement is made up for by the next one.
				_, _ = e.conn.WriteToUDPAddrPort(datagram, from)
			}
		}
		if versions != nil {
			e.news(heartbeat.Holder.Slot(), versions)
		}
	}
}

// watch reports the expiries of leases that this instance witnesses.
func (e *Endpoint) watch(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-e.witnessWake:
		}
		now := time.Now()
		e.mu.Lock()
		expired := e.witness.Expired(now)
		next, ok := e.witness.NextExpiry()
		e.mu.Unlock()
		for _, holder := range expired {
			e.onExpiry(holder)
		}
		// A lease that is first acknowledged while the timer runs expires later than the timer.
		delay := e.timing.Interval()
		if ok {
			delay = min(delay, next.Sub(now))
		}
		timer.Reset(max(delay, 0))
	}
}

// report calls the function for changes of the own lease, outside of the lock and in order.
func (e *Endpoint) report(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.changeWake:
		}
		e.mu.Lock()
		changes := e.changes
		e.changes = nil
		e.mu.Unlock()
		for _, c := range changes {
			e.onChange(c.generation > 0, c.reason)
		}
	}
}

// publish makes the holder's state visible to requests and notes a change of it. The lock is held.
func (e *Endpoint) publish() {
	term, lost := e.holder.Term(), e.holder.Lost()
	e.term.Store(&term)
	e.lost.Store(lost)
	if e.holder.State() == witness.Acquiring && !lost {
		return
	}
	now := change{generation: term.Generation(), reason: e.reason(term, lost)}
	if now == e.seen {
		return
	}
	e.seen = now
	e.changes = append(e.changes, now)
	wake(e.changeWake)
}

func (e *Endpoint) reason(term witness.Term, lost bool) string {
	switch {
	case term.Generation() == 1:
		return "a majority of the witnesses acknowledged"
	case term.Generation() > 1:
		return "a majority of the witnesses voted"
	case e.holder.State() == witness.Resigned:
		return "resigned"
	case lost:
		return "refused by the witnesses; the instance has to rejoin"
	case e.holder.Suspended():
		return "the machine was suspended or its wall clock was set forward"
	default:
		return fmt.Sprintf("no majority of the witnesses acknowledged for %v", e.timing.Lease())
	}
}

// Release gives up the own lease and notifies the witnesses, which may then confirm the expiry at once.
func (e *Endpoint) Release(ctx context.Context) error {
	e.mu.Lock()
	e.holder.Resign()
	e.publish()
	self, targets := e.self, e.targets
	e.mu.Unlock()
	if e.dial == nil {
		return nil
	}
	failures := make([]error, len(targets))
	var calls sync.WaitGroup
	for i, target := range targets {
		if target.slot == self.Slot() {
			continue
		}
		calls.Go(func() {
			witness, err := e.dial(target.slot)
			if err == nil {
				_, err = witness.Resign(ctx, &peer.ResignRequest{Holder: toWire(self)})
			}
			if err != nil {
				failures[i] = fmt.Errorf("notify witness %s: %w", target.slot, err)
			}
		})
	}
	calls.Wait()
	return errors.Join(failures...)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
