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

// WitnessAddress is the slot of a witness and the UDP address at which it receives heartbeats.
type WitnessAddress struct {
	slot    string
	address string
}

// NewWitnessAddress returns the address of the witness in a slot, a UDP address, host:port.
func NewWitnessAddress(slot, address string) WitnessAddress {
	return WitnessAddress{slot: slot, address: address}
}

// Slot returns the witness's slot.
func (a WitnessAddress) Slot() string { return a.slot }

// Address returns the witness's UDP address.
func (a WitnessAddress) Address() string { return a.address }

// Endpoint holds the lease of an instance's current incarnation and witnesses the leases of other instances.
type Endpoint struct {
	// self is the current incarnation; mu guards it.
	self member.Incarnation
	config
	// group runs the goroutines. It is set by Run.
	group *errgroup.Group

	// mu guards the fields of this block.
	mu               sync.Mutex
	conn             net.PacketConn
	holder           *witness.Holder
	witness          *witness.Witness
	witnessAddresses []WitnessAddress
	flows            map[string]*flow
	// lastAck holds the time at which each witness last acknowledged a heartbeat of this incarnation.
	lastAck map[string]time.Time
	// changes holds the changes of the lease that reportChanges hasn't reported yet.
	changes []change
	// lastChange is the newest change of this incarnation's lease, reported or not.
	lastChange change
	stopped    bool
	// earlyRound is set if the newest round was an early one; see startRound.
	earlyRound bool

	term    atomic.Pointer[witness.Term]
	lost    atomic.Bool
	traffic traffic

	versionTracker versionTracker

	// A send to one of these channels, which have room for one element, wakes runHolder, reportExpiries or reportChanges.
	holderWake  chan struct{}
	witnessWake chan struct{}
	changeWake  chan struct{}
}

// change is a change of the own lease. The generation is 0 if the lease isn't valid any more.
type change struct {
	generation uint64
	reason     string
}

// New returns an endpoint for an incarnation. Its silent period as a witness begins now; see witness.Witness.SilentUntil. Without
// options, it listens on a free port of 127.0.0.1, uses the default timing, sends no versions and can't re-acquire an expired lease.
func New(self member.Incarnation, options ...Option) *Endpoint {
	e := &Endpoint{
		self: self, config: newConfig(options), flows: make(map[string]*flow), lastAck: make(map[string]time.Time),
		holderWake: make(chan struct{}, 1), witnessWake: make(chan struct{}, 1), changeWake: make(chan struct{}, 1),
	}
	run := rand.Uint64N(1<<runBits) + 1
	e.holder = e.newHolder(self)
	e.witness = witness.NewWitness(self, e.timing, run, time.Now())
	return e
}

// Listen opens the UDP socket unless it is open already and returns its address, host:port. Run calls it, too.
func (e *Endpoint) Listen() (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == nil {
		conn, err := e.network.ListenPacket(e.listen)
		if err != nil {
			return "", err
		}
		e.conn = conn
	}
	return e.conn.LocalAddr().String(), nil
}

// SetWitnesses sets the witnesses of the own lease. Later calls may change their addresses but not their slots, otherwise the error
// is witness.ErrWitnessesFixed.
func (e *Endpoint) SetWitnesses(witnessAddresses []WitnessAddress) error {
	slots := make([]string, 0, len(witnessAddresses))
	for _, witnessAddress := range witnessAddresses {
		slots = append(slots, witnessAddress.slot)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.holder.SetWitnesses(slots); err != nil {
		return fmt.Errorf("witnesses of %s: %w", e.self, err)
	}
	e.witnessAddresses = append([]WitnessAddress(nil), witnessAddresses...)
	wake(e.holderWake)
	return nil
}

// SetIncarnation lets the endpoint hold the lease of a new incarnation in the same slot, which begins without a lease and without
// witnesses. The records of leases that the endpoint witnesses are kept.
func (e *Endpoint) SetIncarnation(self member.Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.self, e.holder, e.witnessAddresses, e.earlyRound, e.lastChange = self, e.newHolder(self), nil, false, change{}
	clear(e.lastAck)
	e.witness.SetIncarnation(self)
	e.publish()
	wake(e.holderWake)
}

// newHolder returns the state machine of the lease of an incarnation.
func (e *Endpoint) newHolder(self member.Incarnation) *witness.Holder {
	h := witness.NewHolder(self, e.timing)
	h.RequireBacking(e.backing)
	return h
}

// NoteUnrevoked records that an incarnation of this instance wasn't revoked at a time, which is that before the request whose response
// shows it. It has no effect unless the incarnation is the current one.
func (e *Endpoint) NoteUnrevoked(i member.Incarnation, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i == e.self {
		e.holder.NoteUnrevoked(at, time.Now())
		e.publish()
	}
}

// Unbacked returns the time for which the own lease may have been revoked without this instance's knowledge.
func (e *Endpoint) Unbacked(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holder.Unbacked(now)
}

// SetNewestRegistered sets the number of the newest incarnation of each slot that was registered at some time after the process started,
// and the largest number that one of another slot can have had by then; see witness.Witness.SetNewestRegistered.
func (e *Endpoint) SetNewestRegistered(newest map[string]uint64, unlisted uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.witness.SetNewestRegistered(newest, unlisted)
}

// Lease returns a live view of the own lease.
func (e *Endpoint) Lease() Lease { return Lease{term: &e.term, lost: &e.lost} }

// Traffic returns the numbers of datagrams and bytes so far.
func (e *Endpoint) Traffic() Traffic {
	return Traffic{
		sent: e.traffic.sent.Load(), sentBytes: e.traffic.sentBytes.Load(),
		received: e.traffic.received.Load(), receivedBytes: e.traffic.receivedBytes.Load(),
	}
}

// Run serves until ctx ends or the UDP socket fails. An endpoint runs only once, and it refuses calls of other instances afterwards.
func (e *Endpoint) Run(ctx context.Context) error {
	if _, err := e.Listen(); err != nil {
		return err
	}
	defer e.stop()
	group, ctx := errgroup.WithContext(ctx)
	e.group = group
	defer context.AfterFunc(ctx, func() { _ = e.conn.Close() })()
	group.Go(func() error { return e.receive() })
	group.Go(func() error { return e.reportExpiries(ctx) })
	group.Go(func() error { return e.reportChanges(ctx) })
	group.Go(func() error { return e.runHolder(ctx) })
	return group.Wait()
}

// stop makes the endpoint refuse calls of other instances.
func (e *Endpoint) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
}

// receive acknowledges the heartbeats of others and takes their announcements.
func (e *Endpoint) receive() error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := e.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("receive heartbeats: %w", err)
		}
		e.traffic.receive(n)
		heartbeat, versions, ok := decodeHeartbeat(buffer[:n])
		if !ok {
			e.receiveAnnouncement(buffer[:n])
			continue
		}
		now := time.Now()
		e.mu.Lock()
		ack, ok := e.witness.HandleHeartbeat(heartbeat, now)
		e.mu.Unlock()
		if ok {
			if datagram, err := encodeAck(ack, e.ackVersions(versions, now)); err == nil {
				e.traffic.send(len(datagram))
				// An error is ignored because the next acknowledgement replaces a lost one.
				_, _ = e.conn.WriteTo(datagram, from)
			}
		}
		if versions != nil {
			e.onVersions(heartbeat.Holder.Slot(), versions)
		}
	}
}

// reportExpiries calls onExpiry for each lease that this instance witnesses and that has expired, until ctx ends.
func (e *Endpoint) reportExpiries(ctx context.Context) error {
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
		expired := e.witness.TakeExpired(now)
		next, ok := e.witness.NextExpiry()
		e.mu.Unlock()
		for _, holder := range expired {
			e.onExpiry(holder)
		}
		// The timer fires at least once an interval, which is before the expiry of any lease that is acknowledged meanwhile.
		delay := e.timing.Interval()
		if ok {
			delay = min(delay, next.Sub(now))
		}
		timer.Reset(max(delay, 0))
	}
}

// reportChanges calls onChange for the changes of the own lease, in order and without holding e.mu, until ctx ends.
func (e *Endpoint) reportChanges(ctx context.Context) error {
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

// publish updates the view that Lease returns and queues a change of the lease for reportChanges. e.mu must be held.
func (e *Endpoint) publish() {
	term, lost := e.holder.Term(), e.holder.Lost()
	e.term.Store(&term)
	e.lost.Store(lost)
	if e.holder.State() == witness.Acquiring && !lost {
		return
	}
	now := change{generation: term.Generation(), reason: e.reason(term, lost)}
	if now == e.lastChange {
		return
	}
	e.lastChange = now
	e.changes = append(e.changes, now)
	wake(e.changeWake)
}

// reason explains the current state of the lease.
func (e *Endpoint) reason(term witness.Term, lost bool) string {
	switch {
	case term.Generation() == 1:
		return "a majority of the witnesses acknowledged"
	case term.Generation() > 1:
		return "a majority of the witnesses voted"
	case e.holder.EndedUnbacked():
		return fmt.Sprintf("witnesses are missing, and the store didn't confirm for %v that the incarnation isn't revoked", e.backing)
	case e.holder.State() == witness.Resigned:
		return "resigned"
	case lost:
		return "refused by the witnesses; the instance has to rejoin"
	case e.holder.ExpiredByWallClock():
		return "the machine was suspended or its wall clock was set forward"
	default:
		return fmt.Sprintf("no majority of the witnesses acknowledged for %v", e.timing.Lease())
	}
}

// EndLease gives up the own lease for good. The witnesses confirm its expiry only when it would have expired, unless ResignLease is called.
func (e *Endpoint) EndLease() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holder.Resign()
	e.publish()
}

// ResignLease gives up the own lease for good and notifies the witnesses, which may then confirm the expiry at once. The error joins
// those of all notifications.
func (e *Endpoint) ResignLease(ctx context.Context) error {
	e.EndLease()
	e.mu.Lock()
	self, witnessAddresses := e.self, e.witnessAddresses
	e.mu.Unlock()
	if e.dial == nil {
		return nil
	}
	failures := make([]error, len(witnessAddresses))
	var calls sync.WaitGroup
	for i, witnessAddress := range witnessAddresses {
		if witnessAddress.slot == self.Slot() {
			continue
		}
		calls.Go(func() {
			client, err := e.dial(witnessAddress.slot)
			if err == nil {
				_, err = client.Resign(ctx, &peer.ResignRequest{Holder: toWire(self)})
			}
			if err != nil {
				failures[i] = fmt.Errorf("notify witness %s: %w", witnessAddress.slot, err)
			}
		})
	}
	calls.Wait()
	return errors.Join(failures...)
}

// wake sends to a channel unless that would block.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
