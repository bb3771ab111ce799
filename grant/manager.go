package grant

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/code"
	"sapphiretray/keyspace"
	"sapphiretray/loglimit"
	"sapphiretray/member"
	"sapphiretray/wait"
)

const (
	// MaxHold is the longest time for which keys are granted. The longer it is, the longer a successor waits for the hold of an upstream
	// that doesn't respond, and the more is left of a grant that an upstream carries out late.
	MaxHold = 1800 * time.Millisecond
	// MaxLateness bounds the time after which an upstream of the platform carries out a grant that it left unanswered.
	MaxLateness = 13 * time.Second
	// CallTimeout bounds a grant call, to which an upstream normally responds at once. A call that has ended isn't written any more.
	CallTimeout = 200 * time.Millisecond
	// MaxHeld bounds the time from the start of a grant call to the end of its hold. The extra twentieth is a margin for clocks that run at
	// different rates.
	MaxHeld = CallTimeout + MaxHold + MaxHold/20
	// renewInterval keeps the remaining hold long at any time: an upstream aborts work that outlasts the hold under which it began,
	// so work that begins shortly before a renewal must still have time.
	renewInterval = 200 * time.Millisecond
	// slowClockFactor bounds the real duration of a hold at the upstream, whose clock may run 2% slow, relative to the granted one.
	slowClockFactor = 1.03
	// maxTransit bounds the time from the write of a grant to its arrival if neither process stands still.
	maxTransit = 50 * time.Millisecond
	// minHold is the shortest hold that is granted, so that a delayed grant still arrives before the lease ends. In a process that was
	// short of CPU time, a grant sent 60 ms before the end arrived 30 ms after it, when the next owner had the keys.
	minHold = 250 * time.Millisecond
	// minRemainingHold is the shortest remaining hold for which a grant with a higher fencing token is sent before a release.
	minRemainingHold = 60 * time.Millisecond
	// lateCall is the time before the write of a grant, or from its write to its acknowledgement, from which on the call is logged.
	lateCall = 100 * time.Millisecond
	// releaseTimeout bounds one attempt to release keys. Most work that is running on them ends within it.
	releaseTimeout = 700 * time.Millisecond
	// retryDelay is the pause after a failed attempt to claim or release keys. It doubles with each release request that an earlier holder
	// fails, up to maxRetryDelay.
	retryDelay    = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// minRetryPause and maxRetryPause bound the time after the last grant from which an upstream that left all grants unanswered is assumed
	// to respond again.
	minRetryPause = 2 * time.Second
	maxRetryPause = time.Minute
	// expiryProofDelay is the time that an earlier holder has to respond before its witnesses are asked to prove that its lease has
	// expired.
	expiryProofDelay = 150 * time.Millisecond
	// recordsInterval is the time between two looks at the stored records while an earlier holder is asked.
	recordsInterval = 100 * time.Millisecond
	// peerTimeout bounds a release request to an earlier holder, which may wait for running work and for the end of the hold.
	peerTimeout = 2500 * time.Millisecond
	// raiseInterval is the pause between two release requests for keys that are served already. After another writer has replaced the
	// key map, each instance asks all others about each of its ranges.
	raiseInterval = 5 * time.Millisecond
	// maxConcurrentRenewals bounds the grants that are renewed concurrently.
	maxConcurrentRenewals = 4
)

// Manager manages the grants of one incarnation to its upstream. Create it with New.
type Manager struct {
	service  string
	self     member.Incarnation
	lease    Lease
	upstream Upstream
	peers    Peers
	maxHold  time.Duration
	// generation is the low part of the fencing token. It grows with each new connection to the upstream and each failed grant.
	generation atomic.Uint64
	// lateCalls bounds the log lines about late grant calls.
	lateCalls loglimit.Limiter
	// pacer holds a value during raiseInterval, so that all claims of served keys share it.
	pacer chan struct{}

	mu       sync.Mutex
	current  *keyspace.Map
	segments segments
	// changed is closed and replaced when a segment or the set of grants in flight changes.
	changed chan struct{}
	// claims holds the epochs of the running claims, by range.
	claims map[keyspace.Range]uint64
	// inFlight holds the ranges of grants that were sent and have not returned yet.
	inFlight map[*keyspace.Range]struct{}
	// unansweredSince is when the first grant after the latest successful one was sent; zero if there is none.
	unansweredSince time.Time
	// grantedAt is when the last grant was sent, and retryPause the time after it from which the upstream is assumed to respond again.
	grantedAt  time.Time
	retryPause time.Duration

	// earlier is the manager of an earlier session that this one takes over from; nil if there is none or its releases have ended.
	earlier *Manager
	// reclaim means that lapsed keys were released, which are claimed again once the lease is valid.
	reclaim bool

	ctx context.Context
	// group holds the running claims. None begins once waited is set; m.mu guards both.
	group  sync.WaitGroup
	waited bool
	// wake ends the pause between two checks of the lease.
	wake chan struct{}
	// releasing is the context of the releases, which go on after ctx has ended until the manager is closed. endReleases ends it.
	releasing   context.Context
	endReleases context.CancelFunc
	// releases holds the running releases. None begins once releasing has ended; m.mu guards both.
	releases sync.WaitGroup
}

// Option configures a Manager.
type Option func(*Manager)

// WithMaxHold lowers the longest time for which keys are granted, for upstreams that accept less than MaxHold. A duration that
// isn't positive is ignored, and one above MaxHold counts as MaxHold.
func WithMaxHold(d time.Duration) Option {
	return func(m *Manager) {
		if d > 0 {
			m.maxHold = min(d, MaxHold)
		}
	}
}

// WithEarlier makes the manager take over from the manager of the earlier session with its upstream, which it closes. Keys that the
// upstream may hold, or of which it left grants unanswered, are released before they are granted or released to a successor. Run begins to
// release them. A nil manager is ignored.
func WithEarlier(earlier *Manager) Option {
	return func(m *Manager) { m.earlier = earlier }
}

// New returns a manager without keys. Its claims run until ctx ends; Wait waits for them. Releases of lapsed keys go on after that until
// Close or until the upstream can't carry out a grant any more.
func New(ctx context.Context, service string, self member.Incarnation, lease Lease, upstream Upstream, peers Peers,
	options ...Option,
) *Manager {
	m := &Manager{
		service: service, self: self, lease: lease, upstream: upstream, peers: peers, ctx: ctx, maxHold: MaxHold,
		segments: newSegments(), changed: make(chan struct{}), claims: make(map[keyspace.Range]uint64),
		inFlight: make(map[*keyspace.Range]struct{}), pacer: make(chan struct{}, 1), wake: make(chan struct{}, 1),
	}
	m.releasing, m.endReleases = context.WithCancel(context.WithoutCancel(ctx))
	for _, option := range options {
		option(m)
	}
	if m.earlier != nil {
		m.earlier.stopReleases()
		m.adopt(m.earlier, stateReleasing)
	}
	return m
}

// Wait returns when all goroutines have ended but those that release keys. They end after the context that was passed to New. Key maps that
// arrive from then on start no claims.
func (m *Manager) Wait() {
	m.mu.Lock()
	m.waited = true
	m.mu.Unlock()
	m.group.Wait()
}

// Close ends the releases that go on after the context that was passed to New, and waits for them. Release then returns code.BadRequest.
func (m *Manager) Close() {
	m.stopReleases()
	m.releases.Wait()
}

// stopReleases ends the releases without waiting for them.
func (m *Manager) stopReleases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endReleases()
	m.notify()
}

// Update adopts a map and starts a claim for each entry that is now assigned to this incarnation. It ignores a map that isn't newer
// than the current one.
func (m *Manager) Update(next *keyspace.Map) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next.Version() <= m.current.Version() {
		return
	}
	m.current = next
	m.claimAll()
}

// claimAll starts a claim for each entry of this incarnation that needs one. m.mu must be held.
func (m *Manager) claimAll() {
	if m.waited {
		return
	}
	for _, e := range m.current.Entries() {
		if e.Owner() != m.self || m.claims[e.Range] == e.Epoch || !m.needsClaim(e) {
			continue
		}
		m.claims[e.Range] = e.Epoch
		m.group.Go(func() { m.claim(e) })
	}
}

// needsClaim reports whether some of an entry's keys are neither served under its epoch nor promised to a successor under a newer
// one. m.mu must be held.
func (m *Manager) needsClaim(e keyspace.Entry) bool {
	for _, s := range m.segments.within(e.Range) {
		if s.minEpoch <= e.Epoch && (s.state != stateServing || s.epoch < e.Epoch) {
			return true
		}
	}
	return false
}

// Admit returns nil if the upstream may serve a key now. If the key is being claimed, Admit waits until the given time. The error
// is a *NotOwnerError or has the code code.Moved; in both cases the request has not run.
func (m *Manager) Admit(ctx context.Context, key keyspace.Key, until time.Time) error {
	for {
		m.mu.Lock()
		s := m.segments[m.segments.at(key)]
		changed := m.changed
		m.mu.Unlock()
		now := time.Now()
		if s.state == stateServing && now.Before(s.usableUntil) {
			return nil
		}
		if s.state == stateNone || s.state == stateReleasing {
			return &NotOwnerError{key: key, self: m.self, successor: s.successor}
		}
		if !now.Before(until) {
			return code.New(code.Moved, "key %d is not granted to the upstream of %s yet", key, m.self)
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
func (m *Manager) Serves(key keyspace.Key) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.segments[m.segments.at(key)]
	return s.state == stateServing && time.Now().Before(s.usableUntil)
}

// SettledVersion returns the map's version if all keys that it assigns to this incarnation are served, and 0 otherwise.
func (m *Manager) SettledVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.current.Entries() {
		if e.Owner() == m.self && m.needsClaim(e) {
			return 0
		}
	}
	return m.current.Version()
}

// Serving returns the ranges that are served, with their epochs. Adjacent ranges of the same epoch are joined.
func (m *Manager) Serving() []ServedRange {
	m.mu.Lock()
	defer m.mu.Unlock()
	var served []ServedRange
	for _, s := range m.segments {
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

// UnansweredFor returns the time since the first grant after the latest successful one was sent, or 0 if there is none. An upstream
// that doesn't respond makes it grow.
//
// Once the keys have moved elsewhere, no grant is sent that could succeed. So UnansweredFor returns 0 again after a pause, which doubles
// each time until a grant succeeds: the upstream may get keys, and loses them soon if it still doesn't respond.
func (m *Manager) UnansweredFor() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unansweredSince.IsZero() {
		return 0
	}
	pause := max(m.retryPause, minRetryPause)
	if len(m.inFlight) == 0 && time.Since(m.grantedAt) >= pause {
		m.unansweredSince, m.retryPause = time.Time{}, min(2*pause, maxRetryPause)
		klog.InfoS("grant: the upstream may respond again", "instance", m.self, "after", pause)
		return 0
	}
	return time.Since(m.unansweredSince)
}

// notify wakes the requests and releases that wait for a change. m.mu must be held.
func (m *Manager) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// updateSegments applies a function to the segments of a range and notifies those that wait.
func (m *Manager) updateSegments(r keyspace.Range, apply func(*segment)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.segments.change(r, apply)
	m.notify()
}

// sendGrant grants the keys of a handover. It returns errBusy without sending the grant unless all keys are in one of the given states,
// under the given epoch, and not promised to a successor.
func (m *Manager) sendGrant(ctx context.Context, h Handover, epoch uint64, states ...state) error {
	if !m.beginGrant(&h.Range, epoch, states) {
		return errBusy
	}
	c, err := m.callGrant(ctx, h, epoch, m.hold)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.inFlight, &h.Range)
	if err == nil {
		m.unansweredSince, m.retryPause = time.Time{}, 0
		m.segments.change(h.Range, func(s *segment) {
			if s.epoch == epoch && (s.state == stateServing || s.state == stateClaiming) {
				s.state, s.handover, s.usableUntil = stateServing, "", c.writtenAt.Add(c.hold)
			}
		})
	}
	m.notify()
	return err
}

// call is a grant call. Its fields but startedAt are zero until the grant is written.
type call struct {
	startedAt, writtenAt time.Time
	hold                 time.Duration
	token                uint64
}

// written reports whether the upstream may have got the grant.
func (c call) written() bool { return !c.writtenAt.IsZero() }

// callGrant sends a grant to the upstream and records what the upstream may then hold. holdAt returns the hold of a grant that is written
// at a time, or 0 if it must not be written. After an error, later grants have higher tokens: the upstream may still carry out this one and
// then refuses it.
func (m *Manager) callGrant(ctx context.Context, h Handover, epoch uint64, holdAt func(now time.Time) time.Duration) (call, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	c := call{startedAt: time.Now()}
	fence := m.fence(epoch)
	var token uint64
	err := m.upstream.Grant(ctx, Grant{
		Range: h.Range, Handover: h.Token,
		Fence: func(newConnection bool) uint64 {
			token = fence(newConnection)
			return token
		},
		Hold: func() time.Duration {
			now := time.Now()
			deadline, _ := ctx.Deadline()
			// After a standstill of the process, the timer of the context may not have fired yet.
			if ctx.Err() != nil || !now.Before(deadline) {
				return 0
			}
			hold := holdAt(now)
			if hold == 0 {
				return 0
			}
			c.writtenAt, c.hold, c.token = now, hold, token
			// The call ends, and with it its connection, at the deadline.
			m.extendHold(h.Range, deadline, hold)
			return hold
		},
	})
	m.logLateCall(h.Range, epoch, c, err)
	if err != nil {
		m.generation.Add(1)
	}
	if c.written() {
		m.recordOutcome(h.Range, epoch, c, err)
	}
	return c, err
}

// recordOutcome records what the upstream may hold after a grant that was written.
func (m *Manager) recordOutcome(r keyspace.Range, epoch uint64, c call, err error) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.segments.change(r, func(s *segment) {
		if !errors.Is(err, ErrFenced) {
			// The grant may have arrived as late as now.
			s.hold.extend(now, c.hold)
		}
		if err == nil {
			s.hold.acknowledged = max(s.hold.acknowledged, c.token)
			return
		}
		if !s.hold.carriedOutLater() {
			klog.InfoS("grant: not acknowledged", "keys", s.Range, "epoch", epoch, "state", s.state, "hold", c.hold,
				"took", now.Sub(c.startedAt), "err", err)
		}
		s.hold.unanswered = max(s.hold.unanswered, c.token)
	})
}

// logLateCall logs a grant call that was written or acknowledged late.
func (m *Manager) logLateCall(r keyspace.Range, epoch uint64, c call, err error) {
	now := time.Now()
	waited, answered := now.Sub(c.startedAt), time.Duration(0)
	if c.written() {
		waited, answered = c.writtenAt.Sub(c.startedAt), now.Sub(c.writtenAt)
	}
	late := max(waited, answered)
	// Later calls for the same keys are logged if they are later than those before.
	if late < lateCall || !m.lateCalls.Allow(r.String()+" "+late.Truncate(2*lateCall).String()) {
		return
	}
	var leaseLeft time.Duration
	if expires := m.lease.Expires(); !expires.IsZero() {
		leaseLeft = expires.Sub(now)
	}
	klog.InfoS("grant: late", "keys", r, "epoch", epoch, "hold", c.hold, "written", c.written(), "waited", waited, "answered", answered,
		"leaseLeft", leaseLeft, "err", err)
}

// fence returns the function Grant.Fence for a grant under an epoch. A new connection may reach a restarted upstream, which must get
// a higher fencing token than the run before it.
func (m *Manager) fence(epoch uint64) func(newConnection bool) uint64 {
	return func(newConnection bool) uint64 {
		if newConnection {
			return keyspace.Fence(epoch, m.generation.Add(1))
		}
		return keyspace.Fence(epoch, m.generation.Load())
	}
}

// extendHold records that a grant, which is sent under a valid lease, may arrive as late as a time.
func (m *Manager) extendHold(r keyspace.Range, arrival time.Time, granted time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.segments.change(r, func(s *segment) {
		s.hold.extend(arrival, granted)
		s.hold.lapsed = false
	})
}

// beginGrant records that a grant is in flight. A release waits until it has returned, since a grant that arrives after the release would
// give the keys back to the upstream.
func (m *Manager) beginGrant(r *keyspace.Range, epoch uint64, states []state) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.segments.within(*r) {
		if s.epoch != epoch || s.minEpoch > epoch || !slices.Contains(states, s.state) {
			return false
		}
	}
	m.segments.change(*r, func(s *segment) { s.hold.epoch = max(s.hold.epoch, epoch) })
	m.inFlight[r] = struct{}{}
	m.grantedAt = time.Now()
	if m.unansweredSince.IsZero() {
		m.unansweredSince = time.Now()
	}
	return true
}

// grantInFlight reports whether a grant for keys of a range is in flight. If so, the channel is closed at the next change.
func (m *Manager) grantInFlight(r keyspace.Range) (<-chan struct{}, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed, m.sending(r)
}

// sending reports whether a grant for keys of a range is in flight. m.mu must be held.
func (m *Manager) sending(r keyspace.Range) bool {
	for other := range m.inFlight {
		if other.Overlaps(r) {
			return true
		}
	}
	return false
}

// hold returns how long keys may be granted by a call that is written now, or 0 if the lease has expired or ends too soon.
func (m *Manager) hold(now time.Time) time.Duration {
	if !m.lease.Valid() {
		return 0
	}
	left := time.Duration(float64(m.lease.Expires().Sub(now)-maxTransit) / slowClockFactor)
	if left < minHold {
		return 0
	}
	return min(left, m.maxHold)
}

// Run renews the grants every renewInterval until ctx ends. If the lease ends, it makes the upstream release the keys that it may still
// hold, which goes on in the background after ctx has ended, until Close.
func (m *Manager) Run(ctx context.Context) {
	var lease sync.WaitGroup
	lease.Go(func() { m.followLease(ctx) })
	wait.Every(ctx, renewInterval, func(time.Time) { m.renew(ctx) })
	lease.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.releasing.Err() == nil {
		m.releases.Go(m.finishReleases)
	}
}

// renew renews the grants of all served ranges and returns when all have returned.
func (m *Manager) renew(ctx context.Context) {
	var renewals sync.WaitGroup
	// A renewal that outlasted Run would meet the grants of the next session.
	defer renewals.Wait()
	slots := make(chan struct{}, maxConcurrentRenewals)
	for _, s := range m.Serving() {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		renewals.Go(func() {
			defer func() { <-slots }()
			m.renewRange(ctx, s)
		})
	}
}

// renewRange renews the grant of one range, unless the lease has expired or ends too soon.
func (m *Manager) renewRange(ctx context.Context, s ServedRange) {
	if m.hold(time.Now()) == 0 {
		return
	}
	err := m.sendGrant(ctx, Handover{Range: s.Range}, s.Epoch, stateServing)
	if err != nil && ctx.Err() == nil {
		klog.V(1).InfoS("grant: renewal failed", "keys", s.Range, "epoch", s.Epoch, "err", err)
	}
}
