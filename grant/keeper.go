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
	// MaxHold is the longest time for which keys are granted. An upstream of the platform may still carry out a grant that it left
	// unanswered, but only 2 s or more after it arrived. A hold of less than 2 s, which begins with the arrival, has ended by then.
	MaxHold = 1800 * time.Millisecond
	// renewInterval keeps the remaining hold long at any time: an upstream aborts work that outlasts the hold under which it began,
	// so work that begins shortly before a renewal must still have time.
	renewInterval = 200 * time.Millisecond
	// holdFraction is the fraction of the remaining lease for which keys are granted, since the upstream's clock may run 2% slow.
	holdFraction = 0.97
	// slowClockFactor bounds the real duration of a hold at the upstream, relative to the granted one.
	slowClockFactor = 1.03
	// minHold is the shortest hold that is granted, so that a delayed grant still arrives before the lease ends. In a process that was
	// short of CPU time, a grant sent 60 ms before the end arrived 30 ms after it, when the next owner had the keys.
	minHold = 250 * time.Millisecond
	// minRemainingHold is the shortest remaining hold for which a grant with a higher fencing token is sent before a release.
	minRemainingHold = 60 * time.Millisecond
	// grantTimeout bounds a grant call, to which an upstream normally responds at once.
	grantTimeout = 200 * time.Millisecond
	// releaseTimeout bounds one attempt to release keys. Most work that is running on them ends within it.
	releaseTimeout = 700 * time.Millisecond
	// retryDelay is the pause after a failed attempt to claim or release keys.
	retryDelay = 50 * time.Millisecond
	// expiryProofDelay is the time that an earlier holder has to respond before its witnesses are asked to prove that its lease has
	// expired.
	expiryProofDelay = 150 * time.Millisecond
	// peerTimeout bounds a release request to an earlier holder, which may wait for running work and for the end of the hold.
	peerTimeout = 2500 * time.Millisecond
	// maxConcurrentRenewals bounds the grants that are renewed concurrently.
	maxConcurrentRenewals = 4
)

// Keeper manages the grants of one incarnation to its upstream. Create it with New.
type Keeper struct {
	service  string
	self     member.Incarnation
	lease    Lease
	upstream Upstream
	peers    Peers
	maxHold  time.Duration
	// generation is the low part of the fencing token. It grows with each new connection to the upstream and each failed grant.
	generation atomic.Uint64

	mu       sync.Mutex
	current  *keyspace.Map
	segments segments
	// changed is closed and replaced when a segment or the set of grants in flight changes.
	changed chan struct{}
	// claims holds the epochs of the running claims, by range.
	claims map[keyspace.Range]uint64
	// inFlight holds the ranges of grants that were sent and have not returned yet.
	inFlight map[*keyspace.Range]struct{}
	// unansweredSince is when the first grant after the latest response was sent; zero if there is none.
	unansweredSince time.Time

	ctx   context.Context
	group sync.WaitGroup
}

// Option configures a Keeper.
type Option func(*Keeper)

// WithMaxHold lowers the longest time for which keys are granted, for upstreams that accept less than MaxHold. A duration that
// isn't positive is ignored, and one above MaxHold counts as MaxHold.
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
		segments: newSegments(), changed: make(chan struct{}), claims: make(map[keyspace.Range]uint64),
		inFlight: make(map[*keyspace.Range]struct{}),
	}
	for _, option := range options {
		option(k)
	}
	return k
}

// Wait returns when all goroutines have ended. They end after the context that was passed to New.
func (k *Keeper) Wait() { k.group.Wait() }

// Update adopts a map and starts a claim for each entry that is now assigned to this incarnation. It ignores a map that isn't newer
// than the current one.
func (k *Keeper) Update(m *keyspace.Map) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m.Version() <= k.current.Version() {
		return
	}
	k.current = m
	k.claimAll()
}

// claimAll starts a claim for each entry of this incarnation that needs one. k.mu must be held.
func (k *Keeper) claimAll() {
	for _, e := range k.current.Entries() {
		if e.Owner() != k.self || k.claims[e.Range] == e.Epoch || !k.needsClaim(e) {
			continue
		}
		k.claims[e.Range] = e.Epoch
		k.group.Go(func() { k.claim(e) })
	}
}

// needsClaim reports whether some of an entry's keys are neither served under its epoch nor promised to a successor under a newer
// one. k.mu must be held.
func (k *Keeper) needsClaim(e keyspace.Entry) bool {
	for _, s := range k.segments.within(e.Range) {
		if s.minEpoch <= e.Epoch && (s.state != stateServing || s.epoch < e.Epoch) {
			return true
		}
	}
	return false
}

// Admit returns nil if the upstream may serve a key now. If the key is being claimed, Admit waits until the given time. The error
// is a *NotOwnerError or has the code code.Moved; in both cases the request has not run.
func (k *Keeper) Admit(ctx context.Context, key keyspace.Key, until time.Time) error {
	for {
		k.mu.Lock()
		s := k.segments[k.segments.at(key)]
		changed := k.changed
		k.mu.Unlock()
		now := time.Now()
		if s.state == stateServing && now.Before(s.usableUntil) {
			return nil
		}
		if s.state == stateNone || s.state == stateReleasing {
			return &NotOwnerError{key: key, self: k.self, successor: s.successor}
		}
		if !now.Before(until) {
			return code.New(code.Moved, "key %d is not granted to the upstream of %s yet", key, k.self)
		}
		timer := time.NewTimer(until.Sub(now))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return code.New(code.Moved, "key %d: request ended before the key was granted", key)
		}
	}
}

// NotOwnerError means that this incarnation doesn't serve a key.
type NotOwnerError struct {
	key             keyspace.Key
	self, successor member.Incarnation
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	if e.successor.IsZero() {
		return fmt.Sprintf("key %d is not served by %s", e.key, e.self)
	}
	return fmt.Sprintf("key %d is not served by %s: it was released to %s", e.key, e.self, e.successor)
}

// Successor returns the incarnation that the key was released to, or the zero Incarnation if it wasn't released here.
func (e *NotOwnerError) Successor() member.Incarnation { return e.successor }

// Serves reports whether the upstream may serve a key now.
func (k *Keeper) Serves(key keyspace.Key) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.segments[k.segments.at(key)]
	return s.state == stateServing && time.Now().Before(s.usableUntil)
}

// Settled returns the map's version if all keys that it assigns to this incarnation are served, and 0 otherwise.
func (k *Keeper) Settled() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range k.current.Entries() {
		if e.Owner() == k.self && k.needsClaim(e) {
			return 0
		}
	}
	return k.current.Version()
}

// Serving returns the ranges that are served, with their epochs. Adjacent ranges of the same epoch are joined.
func (k *Keeper) Serving() []ServedRange {
	k.mu.Lock()
	defer k.mu.Unlock()
	var served []ServedRange
	for _, s := range k.segments {
		if s.state != stateServing {
			continue
		}
		if n := len(served); n > 0 && served[n-1].Epoch == s.epoch && int(served[n-1].Last)+1 == int(s.First) {
			served[n-1].Last = s.Last
			continue
		}
		served = append(served, ServedRange{Range: s.Range, Epoch: s.epoch})
	}
	return served
}

// ServedRange is a range that is served under an epoch.
type ServedRange struct {
	keyspace.Range
	Epoch uint64
}

// UnansweredFor returns for how long the upstream has left grants unanswered, or 0 if none was sent since its latest response.
func (k *Keeper) UnansweredFor() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.unansweredSince.IsZero() {
		return 0
	}
	return time.Since(k.unansweredSince)
}

// notify wakes the requests and releases that wait for a change. k.mu must be held.
func (k *Keeper) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// update applies a function to the segments of a range and notifies those that wait.
func (k *Keeper) update(r keyspace.Range, apply func(*segment)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.segments.change(r, apply)
	k.notify()
}

// sendGrant sends a grant and records the earliest and latest end of its hold. It returns errBusy without sending it unless all
// keys are in one of the given states, under the given epoch, and not promised to a successor.
func (k *Keeper) sendGrant(ctx context.Context, g Grant, epoch uint64, states ...state) error {
	sentAt := time.Now()
	if !k.beginGrant(&g.Range, epoch, sentAt.Add(grantTimeout+time.Duration(slowClockFactor*float64(g.Hold))), states) {
		return errBusy
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	err := k.upstream.Grant(ctx, g)
	if err != nil {
		// The upstream may still carry out the grant later. The next grant gets a higher fencing token, after which the
		// upstream refuses this one.
		k.generation.Add(1)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.inFlight, &g.Range)
	if err == nil {
		k.unansweredSince = time.Time{}
	}
	k.segments.change(g.Range, func(s *segment) {
		switch {
		case err != nil:
			s.unanswered = true
		case s.epoch == epoch && (s.state == stateServing || s.state == stateClaiming):
			s.state, s.handover, s.usableUntil, s.unanswered = stateServing, "", sentAt.Add(g.Hold), false
		}
	})
	k.notify()
	return err
}

// fence returns the function Grant.Fence for a grant under an epoch. A new connection may reach a restarted upstream, which must get
// a higher fencing token than the run before it.
func (k *Keeper) fence(epoch uint64) func(newConnection bool) uint64 {
	return func(newConnection bool) uint64 {
		if newConnection {
			return keyspace.Fence(epoch, k.generation.Add(1))
		}
		return keyspace.Fence(epoch, k.generation.Load())
	}
}

// beginGrant records that a grant is in flight. A release waits until it has returned, since a grant that arrives after the release
// would give the keys back to the upstream.
func (k *Keeper) beginGrant(r *keyspace.Range, epoch uint64, heldUntil time.Time, states []state) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.segments.within(*r) {
		if s.epoch != epoch || s.minEpoch > epoch || !slices.Contains(states, s.state) {
			return false
		}
	}
	k.segments.change(*r, func(s *segment) {
		if heldUntil.After(s.heldUntil) {
			s.heldUntil = heldUntil
		}
	})
	k.inFlight[r] = struct{}{}
	if k.unansweredSince.IsZero() {
		k.unansweredSince = time.Now()
	}
	return true
}

// grantInFlight reports whether a grant for keys of a range is in flight. If so, the channel is closed at the next change.
func (k *Keeper) grantInFlight(r keyspace.Range) (<-chan struct{}, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for other := range k.inFlight {
		if other.Overlaps(r) {
			return k.changed, true
		}
	}
	return nil, false
}

// hold returns how long keys may be granted now, or 0 if the lease has expired or ends too soon.
func (k *Keeper) hold(now time.Time) time.Duration {
	if !k.lease.Valid() {
		return 0
	}
	left := time.Duration(holdFraction * float64(k.lease.Expires().Sub(now)))
	if left < minHold {
		return 0
	}
	return min(left, k.maxHold)
}

// Run renews the grants every renewInterval until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	wait.Every(ctx, renewInterval, func(time.Time) { k.renew(ctx) })
}

// renew renews the grants of all served ranges and returns when all have returned.
func (k *Keeper) renew(ctx context.Context) {
	var renewals sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentRenewals)
	for _, s := range k.Serving() {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		renewals.Go(func() {
			defer func() { <-slots }()
			k.renewRange(ctx, s)
		})
	}
	renewals.Wait()
}

// renewRange renews the grant of one range, unless the lease has expired or ends too soon.
func (k *Keeper) renewRange(ctx context.Context, s ServedRange) {
	hold := k.hold(time.Now())
	if hold == 0 {
		return
	}
	err := k.sendGrant(ctx, Grant{Range: s.Range, Fence: k.fence(s.Epoch), Hold: hold}, s.Epoch, stateServing)
	if err != nil && ctx.Err() == nil {
		klog.V(1).InfoS("grant: renewal failed", "keys", s.Range, "epoch", s.Epoch, "err", err)
	}
}
