package grant_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/grant"
	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/wait"
)

// fakeUpstream enforces grants as an upstream does: by fencing token and by a hold that begins when the grant arrives.
type fakeUpstream struct {
	mu        sync.Mutex
	fences    map[keyspace.Key]uint64
	heldUntil map[keyspace.Key]time.Time
	// unanswered makes calls have no effect and block until their context ends.
	unanswered bool
	// answerLost makes grants take effect and block until their context ends.
	answerLost bool
	// answerTime is the time from the effect of a grant to its answer.
	answerTime time.Duration
	// waitingTime is the time before a grant is written, which ends with the call.
	waitingTime time.Duration
	// stall is a standstill of the instance's process before the fencing token and the hold of a grant are determined, and arrivalTime the
	// time from then until the grant arrives. Neither ends with the call.
	stall, arrivalTime time.Duration
	// fenced makes grants fail with grant.ErrFenced.
	fenced bool
	// releaseRaises makes releases raise the fencing tokens of keys, as those of the platform's upstreams do.
	releaseRaises bool
	// gone makes calls fail with grant.ErrUpstreamGone.
	gone bool
	// newConnection makes the next grant go over a new connection.
	newConnection bool
	// busyUntil is when the work on released keys ends.
	busyUntil time.Time
	// lateGrant is the latest grant that was left unanswered, lateFence its fencing token and lateHold its hold.
	lateGrant grant.Grant
	lateFence uint64
	lateHold  time.Duration
	// longestHold is the longest hold of a grant.
	longestHold time.Duration
	// releases is the number of releases that arrived, and refused that of calls that found the upstream gone.
	releases, refused int
	// lastGrantAt is when the last grant arrived.
	lastGrantAt time.Time
}

// innerKey is a key that the fake upstream keeps track of besides the ends of granted ranges.
const innerKey keyspace.Key = 150

// trackedKeys returns the keys of a range that the fake upstream keeps track of.
func trackedKeys(r keyspace.Range) []keyspace.Key {
	if r.Contains(innerKey) {
		return []keyspace.Key{r.First, innerKey, r.Last}
	}
	return []keyspace.Key{r.First, r.Last}
}

// slowClockDuration returns how long a hold lasts at an upstream whose clock runs 2% slow, the maximum that the platform states.
func slowClockDuration(hold time.Duration) time.Duration { return hold * 102 / 100 }

func newUpstream() *fakeUpstream {
	return &fakeUpstream{fences: make(map[keyspace.Key]uint64), heldUntil: make(map[keyspace.Key]time.Time)}
}

func (u *fakeUpstream) Grant(ctx context.Context, g grant.Grant) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.gone {
		return grant.ErrUpstreamGone
	}
	if waitingTime := u.waitingTime; waitingTime > 0 {
		u.mu.Unlock()
		passed := wait.For(ctx, waitingTime)
		u.mu.Lock()
		if !passed {
			return ctx.Err()
		}
	}
	unanswered := u.unanswered
	if stall := u.stall; stall > 0 {
		u.mu.Unlock()
		time.Sleep(stall)
		u.mu.Lock()
	}
	fence := g.Fence(u.newConnection)
	u.newConnection = false
	hold := g.Hold()
	if hold == 0 {
		return grant.ErrTooLate
	}
	if arrivalTime := u.arrivalTime; arrivalTime > 0 {
		u.mu.Unlock()
		time.Sleep(arrivalTime)
		u.mu.Lock()
	}
	u.longestHold = max(u.longestHold, hold)
	u.lastGrantAt = time.Now()
	if unanswered {
		u.lateGrant, u.lateFence, u.lateHold = g, fence, hold
		u.lateGrant.Hold = func() time.Duration { return hold }
		u.mu.Unlock()
		<-ctx.Done()
		u.mu.Lock()
		return ctx.Err()
	}
	if u.fenced {
		return grant.ErrFenced
	}
	for _, k := range trackedKeys(g.Range) {
		if fence < u.fences[k] {
			return grant.ErrFenced
		}
		u.fences[k], u.heldUntil[k] = fence, time.Now().Add(slowClockDuration(hold))
	}
	if u.answerLost {
		u.mu.Unlock()
		<-ctx.Done()
		u.mu.Lock()
		return ctx.Err()
	}
	if answerTime := u.answerTime; answerTime > 0 {
		u.mu.Unlock()
		time.Sleep(answerTime)
		u.mu.Lock()
	}
	return nil
}

func (u *fakeUpstream) Release(ctx context.Context, r keyspace.Range, fence uint64) (string, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.gone {
		u.refused++
		return "", grant.ErrUpstreamGone
	}
	u.releases++
	if u.unanswered {
		u.mu.Unlock()
		<-ctx.Done()
		u.mu.Lock()
		return "", ctx.Err()
	}
	for k := range u.heldUntil {
		if r.Contains(k) {
			delete(u.heldUntil, k)
		}
	}
	for _, k := range trackedKeys(r) {
		if u.releaseRaises {
			u.fences[k] = max(u.fences[k], fence)
		}
	}
	if wait := time.Until(u.busyUntil); wait > 0 {
		u.mu.Unlock()
		time.Sleep(wait)
		u.mu.Lock()
	}
	return "handover", nil
}

// holds reports whether the upstream holds a key now. The key must be one of the trackedKeys of a granted range.
func (u *fakeUpstream) holds(k keyspace.Key) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Now().Before(u.heldUntil[k])
}

// longest returns the longest hold that was granted.
func (u *fakeUpstream) longest() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.longestHold
}

// set changes the upstream's fields under its lock.
func (u *fakeUpstream) set(change func(*fakeUpstream)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(u)
}

// fakeLease is valid until a time that extend sets.
type fakeLease struct {
	mu    sync.Mutex
	until time.Time
}

func (l *fakeLease) Valid() bool { return time.Now().Before(l.Expires()) }

func (l *fakeLease) Expires() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.until
}

// extend sets the end of the lease to a time from now.
func (l *fakeLease) extend(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = time.Now().Add(d)
}

// peers connects the managers of a test with each other.
type peers struct {
	mu       sync.Mutex
	managers map[member.Incarnation]*grant.Manager
	// unreachable holds the incarnations that don't respond, expired those whose lease is proved to have expired, and ended those whose
	// upstream has ended according to stored records.
	unreachable map[member.Incarnation]bool
	expired     map[member.Incarnation]bool
	ended       map[member.Incarnation]bool
	// refused is the number of the next release requests that fail at once without reaching the holder.
	refused int
	// lostAnswers is the number of the next release requests that the holder carries out and whose answers are lost.
	lostAnswers int
	// releases is the number of release requests.
	releases int
}

var (
	errUnreachable = errors.New("holder is unreachable")
	errReset       = errors.New("connection reset by peer")
)

func (p *peers) Release(ctx context.Context, r grant.ReleaseRequest) ([]grant.Handover, error) {
	p.mu.Lock()
	p.releases++
	manager, unreachable, refused := p.managers[r.Holder], p.unreachable[r.Holder], p.refused > 0
	answerLost := !refused && p.lostAnswers > 0
	if refused {
		p.refused--
	}
	if answerLost {
		p.lostAnswers--
	}
	p.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, errUnreachable
	}
	if refused {
		return nil, errReset
	}
	handovers, err := manager.Release(ctx, r)
	if answerLost {
		return nil, errReset
	}
	return handovers, err
}

func (p *peers) ProveExpired(ctx context.Context, i member.Incarnation) (bool, error) {
	for {
		p.mu.Lock()
		expired := p.expired[i]
		p.mu.Unlock()
		if expired || !wait.For(ctx, 10*time.Millisecond) {
			return expired, nil
		}
	}
}

// set changes the fields under their lock.
func (p *peers) set(change func(*peers)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

func (p *peers) Ended(i member.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended[i]
}

// node is an instance with its upstream, lease and manager.
type node struct {
	self     member.Incarnation
	upstream *fakeUpstream
	lease    *fakeLease
	manager  *grant.Manager
	// stop ends the session of the manager.
	stop func()
}

// newNode returns a node with a lease of one hour and registers it with the peers.
func newNode(ctx context.Context, p *peers, slot string, options ...grant.Option) *node {
	n := &node{self: member.NewIncarnation(slot, 1), upstream: newUpstream(), lease: &fakeLease{}}
	n.lease.extend(time.Hour)
	n.manager = grant.New(ctx, "bookings", n.self, n.lease, n.upstream, p, options...)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.managers[n.self] = n.manager
	return n
}

func newPeers() *peers {
	return &peers{
		managers: make(map[member.Incarnation]*grant.Manager), unreachable: make(map[member.Incarnation]bool),
		expired: make(map[member.Incarnation]bool), ended: make(map[member.Incarnation]bool),
	}
}

// assignAll returns a map in which one instance owns all keys.
func assignAll(t *testing.T, version uint64, owner member.Incarnation, previous ...member.Incarnation) *keyspace.Map {
	t.Helper()
	m, err := keyspace.NewMap(version, []keyspace.Entry{{
		Range: keyspace.AllKeys, Epoch: version, Members: []member.Incarnation{owner}, Previous: previous,
	}})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// maxRealTime bounds a test on the paused clock, which takes some milliseconds.
const maxRealTime = 20 * time.Second

// fixture holds two nodes, a and b, and the peers that connect them.
type fixture struct {
	t     *testing.T
	peers *peers
	a, b  *node
}

// withTwoNodes runs a test with two nodes and a paused clock. Node a serves all keys at the beginning. The test fails if it takes much
// real time, since the paused clock stops for good if goroutines wake each other without a pause or wait for a mutex.
func withTwoNodes(t *testing.T, test func(f fixture)) {
	t.Helper()
	var group sync.WaitGroup
	ended := make(chan struct{})
	group.Go(func() {
		defer close(ended)
		bubble.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			p := newPeers()
			a, b := newNode(ctx, p, "a"), newNode(ctx, p, "b")
			var running sync.WaitGroup
			for _, n := range []*node{a, b} {
				session, stop := context.WithCancel(ctx)
				n.stop = stop
				running.Go(func() { n.manager.Run(session) })
			}
			a.manager.Update(assignAll(t, 1, a.self))
			time.Sleep(10 * time.Millisecond)
			if !a.manager.Serves(5) {
				t.Fatal("the first owner doesn't serve its keys")
			}
			test(fixture{t: t, peers: p, a: a, b: b})
			cancel()
			running.Wait()
			a.manager.Wait()
			b.manager.Wait()
			a.manager.Close()
			b.manager.Close()
		})
	})
	select {
	case <-ended:
		group.Wait()
	case <-time.After(maxRealTime):
		t.Fatalf("the paused clock stands still: the test hasn't ended after %v", maxRealTime)
	}
}
