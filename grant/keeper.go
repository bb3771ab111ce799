package grant

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/code"
	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/wait"
)

const (
	// MaxHold is the longest time for which keys are granted. It is shorter than the time after which the platform's upstreams
	// carry out an order that they left unanswered, so that such a grant has ended before it begins.
	MaxHold = 1800 * time.Millisecond
	// renewInterval keeps holds long enough at any time for the work that begins then: an upstream ends work that outlasts the
	// hold under which it began.
	renewInterval = 200 * time.Millisecond
	// holdShare shortens a hold below what is left of the lease, since the upstream's clock may run 2% slow.
	holdShare = 0.97
	// heldShare lengthens it where the latest end of a hold is needed.
	heldShare = 1.03
	// minHold is the shortest hold that is asked for. It bounds how late an order may arrive: one that was sent with 60 ms left of the
	// lease arrived 30 ms after its end, when the next owner had the keys, as the process was short of processor time.
	minHold = 250 * time.Millisecond
	// minLeft is what has to be left of a hold for a higher token to be worth a call before the release.
	minLeft = 60 * time.Millisecond
	// orderTimeout bounds a grant, which the upstream answers at once.
	orderTimeout = 200 * time.Millisecond
	// releaseTimeout bounds one try to release keys; it covers most work that may be running on them.
	releaseTimeout = 700 * time.Millisecond
	// retryDelay is the pause after a failed step of a claim.
	retryDelay = 50 * time.Millisecond
	// proofDelay is the time that an earlier holder has to answer before its witnesses are asked.
	proofDelay = 150 * time.Millisecond
	// peerTimeout bounds a request to an earlier holder: it may wait for the work on the keys and for the end of the hold.
	peerTimeout = 2500 * time.Millisecond
	// maxOrders bounds the grants that are renewed at once.
	maxOrders = 4
)

// Keeper keeps the grants of one incarnation. Create it with New.
type Keeper struct {
	service  string
	self     member.Incarnation
	lease    Lease
	upstream Upstream
	peers    Peers
	maxHold  time.Duration
	// generation grows with each new connection to the upstream.
	generation atomic.Uint64

	mu      sync.Mutex
	current *keyspace.Map
	pieces  pieces
	// changed is closed and replaced when a piece changes its state.
	changed chan struct{}
	claims  map[keyspace.Range]uint64
	// orders are the ranges of grants that were sent and not yet answered.
	orders map[*keyspace.Range]struct{}
	// asked is the time of the oldest order since the newest answer.
	asked time.Time

	ctx   context.Context
	group sync.WaitGroup
}

// Option changes a Keeper under construction.
type Option func(*Keeper)

// WithMaxHold lowers the longest time for which keys are granted, for upstreams that accept less than MaxHold. A time that
// isn't positive changes nothing.
func WithMaxHold(d time.Duration) Option {
	return func(k *Keeper) {
		if d > 0 {
			k.maxHold = min(d, MaxHold)
		}
	}
}

// New returns a keeper without keys. Its goroutines run until ctx ends; Wait waits for them.
func New(ctx context.Context, service string, self member.Incarnation, lease Lease, upstream Upstream, peers Peers,
	options ...Option,
) *Keeper {
	k := &Keeper{
		service: service, self: self, lease: lease, upstream: upstream, peers: peers, ctx: ctx, maxHold: MaxHold,
		pieces: newPieces(), changed: make(chan struct{}), claims: make(map[keyspace.Range]uint64),
		orders: make(map[*keyspace.Range]struct{}),
	}
	for _, option := range options {
		option(k)
	}
	return k
}

// Wait returns when all goroutines have ended, after the keeper's context has.
func (k *Keeper) Wait() { k.group.Wait() }

// Update takes a newer map and starts the claims that it calls for.
func (k *Keeper) Update(m *keyspace.Map) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m.Version() <= k.current.Version() {
		return
	}
	k.current = m
	k.claimAll()
}

// claimAll starts a claim for each entry of this incarnation that isn't served yet. The lock is held.
func (k *Keeper) claimAll() {
	for _, e := range k.current.Entries() {
		if e.Owner() != k.self || k.claims[e.Range] == e.Epoch || !k.wanting(e) {
			continue
		}
		k.claims[e.Range] = e.Epoch
		k.group.Go(func() { k.claim(e) })
	}
}

// wanting reports whether part of an entry is neither served under its epoch nor promised away.
func (k *Keeper) wanting(e keyspace.Entry) bool {
	for _, p := range k.pieces.within(e.Range) {
		if p.promised <= e.Epoch && (p.state != stateServing || p.epoch < e.Epoch) {
			return true
		}
	}
	return false
}

// Admit returns nil if the upstream may serve a key now. A key that is being claimed is waited for until the given time.
// The error is a *NotOwnerError or carries code.Moved; the request did not run.
func (k *Keeper) Admit(ctx context.Context, key keyspace.Key, until time.Time) error {
	for {
		k.mu.Lock()
		p := k.pieces[k.pieces.at(key)]
		changed := k.changed
		k.mu.Unlock()
		now := time.Now()
		if p.state == stateServing && now.Before(p.usableUntil) {
			return nil
		}
		if p.state == stateNone || p.state == stateReleasing {
			return &NotOwnerError{key: key, self: k.self, successor: p.successor}
		}
		if !now.Before(until) {
			return code.New(code.Moved, "key %d isn't granted to the upstream of %s yet", key, k.self)
		}
		timer := time.NewTimer(until.Sub(now))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return code.New(code.Moved, "key %d: the request ended first", key)
		}
	}
}

// NotOwnerError means that a key isn't served by this incarnation.
type NotOwnerError struct {
	key             keyspace.Key
	self, successor member.Incarnation
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	if e.successor.IsZero() {
		return fmt.Sprintf("key %d isn't served by %s", e.key, e.self)
	}
	return fmt.Sprintf("key %d isn't served by %s; it was released to %s", e.key, e.self, e.successor)
}

// Successor returns the incarnation that the key was released to, if this one had it.
func (e *NotOwnerError) Successor() member.Incarnation { return e.successor }

// Serves reports whether the upstream may serve a key now.
func (k *Keeper) Serves(key keyspace.Key) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.pieces[k.pieces.at(key)]
	return p.state == stateServing && time.Now().Before(p.usableUntil)
}

// Settled returns the map's version if all keys that it assigns to this incarnation are served, and 0 otherwise.
func (k *Keeper) Settled() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range k.current.Entries() {
		if e.Owner() == k.self && k.wanting(e) {
			return 0
		}
	}
	return k.current.Version()
}

// Serving returns the ranges that are served, with their epochs.
func (k *Keeper) Serving() []Served {
	k.mu.Lock()
	defer k.mu.Unlock()
	var served []Served
	for _, p := range k.pieces {
		if p.state != stateServing {
			continue
		}
		if n := len(served); n > 0 && served[n-1].Epoch == p.epoch && int(served[n-1].Last)+1 == int(p.First) {
			served[n-1].Last = p.Last
			continue
		}
		served = append(served, Served{Range: p.Range, Epoch: p.epoch})
	}
	return served
}

// Served is a range that is served under an epoch.
type Served struct {
	keyspace.Range
	Epoch uint64
}

// Silent returns for how long the upstream has left orders unanswered, and 0 if it answered the newest one.
func (k *Keeper) Silent() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.asked.IsZero() {
		return 0
	}
	return time.Since(k.asked)
}

// notify wakes the requests that wait for keys. The lock is held.
func (k *Keeper) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// set changes the pieces of a range.
func (k *Keeper) set(r keyspace.Range, apply func(*piece)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pieces.change(r, apply)
	k.notify()
}

// order sends a grant of keys in one of the given states under an epoch. It returns errBusy without sending it if the keys
// have been promised away or are being released, and otherwise records the earliest and latest end of the hold.
func (k *Keeper) order(ctx context.Context, g Grant, epoch uint64, states ...state) error {
	sent := time.Now()
	if !k.beginOrder(&g.Range, epoch, sent.Add(orderTimeout+time.Duration(heldShare*float64(g.Hold))), states) {
		return errBusy
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := k.upstream.Grant(ctx, g)
	if err != nil {
		// The order may be carried out later. The next one gets a higher token, after which the upstream refuses this one.
		k.generation.Add(1)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.orders, &g.Range)
	if err == nil {
		k.asked = time.Time{}
	}
	k.pieces.change(g.Range, func(p *piece) {
		switch {
		case err != nil:
			p.unanswered = true
		case p.epoch == epoch && (p.state == stateServing || p.state == stateClaiming):
			p.state, p.handover, p.usableUntil, p.unanswered = stateServing, "", sent.Add(g.Hold), false
		}
	})
	k.notify()
	return err
}

// fence returns the source of the fencing token for an order under an epoch. The upstream at the other end of a new connection
// may be another run, which has to get a higher token than the one before.
func (k *Keeper) fence(epoch uint64) func(fresh bool) uint64 {
	return func(fresh bool) uint64 {
		if fresh {
			return keyspace.Fence(epoch, k.generation.Add(1))
		}
		return keyspace.Fence(epoch, k.generation.Load())
	}
}

// beginOrder notes that a grant is on its way. A release waits for its answer, since a grant that arrives later would give
// the upstream the keys again.
func (k *Keeper) beginOrder(r *keyspace.Range, epoch uint64, heldUntil time.Time, states []state) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.pieces.within(*r) {
		if p.epoch != epoch || p.promised > epoch || !slices.Contains(states, p.state) {
			return false
		}
	}
	k.pieces.change(*r, func(p *piece) {
		if heldUntil.After(p.heldUntil) {
			p.heldUntil = heldUntil
		}
	})
	k.orders[r] = struct{}{}
	if k.asked.IsZero() {
		k.asked = time.Now()
	}
	return true
}

// ordered returns a channel that is closed when the orders change, and whether one concerns the range.
func (k *Keeper) ordered(r keyspace.Range) (<-chan struct{}, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for other := range k.orders {
		if other.Overlaps(r) {
			return k.changed, true
		}
	}
	return nil, false
}

// hold returns how long keys may be granted now, or 0 if the lease doesn't allow it.
func (k *Keeper) hold(now time.Time) time.Duration {
	if !k.lease.Valid() {
		return 0
	}
	left := time.Duration(holdShare * float64(k.lease.Expires().Sub(now)))
	if left < minHold {
		return 0
	}
	return min(left, k.maxHold)
}

// Run renews the grants until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	wait.Every(ctx, renewInterval, func(time.Time) { k.renew(ctx) })
}

func (k *Keeper) renew(ctx context.Context) {
	var orders sync.WaitGroup
	slots := make(chan struct{}, maxOrders)
	for _, s := range k.Serving() {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		orders.Go(func() {
			defer func() { <-slots }()
			k.renewRange(ctx, s)
		})
	}
	orders.Wait()
}

func (k *Keeper) renewRange(ctx context.Context, s Served) {
	hold := k.hold(time.Now())
	if hold == 0 {
		return
	}
	err := k.order(ctx, Grant{Range: s.Range, Fence: k.fence(s.Epoch), Hold: hold}, s.Epoch, stateServing)
	if err != nil && ctx.Err() == nil {
		klog.V(1).InfoS("grant: renewal failed", "keys", s.Range, "epoch", s.Epoch, "err", err)
	}
}
