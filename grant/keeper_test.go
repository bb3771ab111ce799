package grant_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sapphiretray/grant"
	"sapphiretray/keyspace"
	"sapphiretray/member"
)

// upstreamDouble enforces grants as an upstream does: by fencing token and by a hold that runs from the arrival of the order.
type upstreamDouble struct {
	mu     sync.Mutex
	fences map[keyspace.Key]uint64
	until  map[keyspace.Key]time.Time
	// unanswered orders are not carried out; the caller waits until its time ends.
	unanswered bool
	gone       bool
	// fresh makes the next order go over a new connection.
	fresh bool
	// busyUntil is when work on released keys ends.
	busyUntil time.Time
	// last is the newest order that was left unanswered, with its token.
	last      grant.Grant
	lastFence uint64
	// longestHold is the longest hold of a grant.
	longestHold time.Duration
	// newest is when the newest order came.
	newest time.Time
}

// slowClock returns how long a hold lasts at an upstream whose clock runs 2% slow, the most that the platform states.
func slowClock(hold time.Duration) time.Duration { return hold * 102 / 100 }

func newUpstream() *upstreamDouble {
	return &upstreamDouble{fences: make(map[keyspace.Key]uint64), until: make(map[keyspace.Key]time.Time)}
}

func (u *upstreamDouble) Grant(ctx context.Context, g grant.Grant) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.gone {
		return grant.ErrUpstreamGone
	}
	u.longestHold = max(u.longestHold, g.Hold)
	u.newest = time.Now()
	fence := g.Fence(u.fresh)
	u.fresh = false
	if u.unanswered {
		u.last, u.lastFence = g, fence
		u.mu.Unlock()
		<-ctx.Done()
		u.mu.Lock()
		return ctx.Err()
	}
	for _, k := range []keyspace.Key{g.First, g.Last} {
		if fence < u.fences[k] {
			return grant.ErrFenced
		}
		u.fences[k], u.until[k] = fence, time.Now().Add(slowClock(g.Hold))
	}
	return nil
}

func (u *upstreamDouble) Release(ctx context.Context, r keyspace.Range, _ uint64) (string, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.gone {
		return "", grant.ErrUpstreamGone
	}
	if u.unanswered {
		u.mu.Unlock()
		<-ctx.Done()
		u.mu.Lock()
		return "", ctx.Err()
	}
	for k := range u.until {
		if r.Contains(k) {
			delete(u.until, k)
		}
	}
	if wait := time.Until(u.busyUntil); wait > 0 {
		u.mu.Unlock()
		time.Sleep(wait)
		u.mu.Lock()
	}
	return "handover", nil
}

// holds reports whether the upstream holds a key now. Only the first and the last key of a range are recorded.
func (u *upstreamDouble) holds(k keyspace.Key) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Now().Before(u.until[k])
}

func (u *upstreamDouble) longest() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.longestHold
}

func (u *upstreamDouble) set(change func(*upstreamDouble)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(u)
}

// leaseDouble is valid until a time that advance moves.
type leaseDouble struct {
	mu    sync.Mutex
	until time.Time
}

func (l *leaseDouble) Valid() bool { return time.Now().Before(l.Expires()) }

func (l *leaseDouble) Expires() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.until
}

func (l *leaseDouble) extend(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = time.Now().Add(d)
}

// cluster connects keepers with each other.
type cluster struct {
	mu      sync.Mutex
	keepers map[member.Incarnation]*grant.Keeper
	// cut incarnations can't be reached; expired ones have a proof.
	cut     map[member.Incarnation]bool
	expired map[member.Incarnation]bool
}

var errCut = errors.New("cut off")

func (c *cluster) Release(ctx context.Context, r grant.Request) ([]grant.Handover, error) {
	c.mu.Lock()
	keeper, cut := c.keepers[r.Holder], c.cut[r.Holder]
	c.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, errCut
	}
	return keeper.Release(ctx, r)
}

func (c *cluster) Expired(ctx context.Context, i member.Incarnation) (bool, error) {
	c.mu.Lock()
	expired := c.expired[i]
	c.mu.Unlock()
	if !expired {
		<-ctx.Done()
	}
	return expired, nil
}

func (c *cluster) Ended(member.Incarnation) bool { return false }

// node is one instance of the test.
type node struct {
	self     member.Incarnation
	upstream *upstreamDouble
	lease    *leaseDouble
	keeper   *grant.Keeper
}

func newNode(ctx context.Context, c *cluster, slot string, options ...grant.Option) *node {
	n := &node{self: member.NewIncarnation(slot, 1), upstream: newUpstream(), lease: &leaseDouble{}}
	n.lease.extend(time.Hour)
	n.keeper = grant.New(ctx, "bookings", n.self, n.lease, n.upstream, c, options...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepers[n.self] = n.keeper
	return n
}

func newCluster() *cluster {
	return &cluster{
		keepers: make(map[member.Incarnation]*grant.Keeper), cut: make(map[member.Incarnation]bool),
		expired: make(map[member.Incarnation]bool),
	}
}

// assign returns a map in which one instance owns all keys.
func assign(t *testing.T, version uint64, owner member.Incarnation, previous ...member.Incarnation) *keyspace.Map {
	t.Helper()
	m, err := keyspace.NewMap(version, []keyspace.Entry{{
		Range: keyspace.Range{First: 0, Last: keyspace.MaxKey}, Epoch: version, Members: []member.Incarnation{owner}, Previous: previous,
	}})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// scene is what a test plays with.
type scene struct {
	t       *testing.T
	cluster *cluster
	a, b    *node
}

// run starts two nodes under the test's clock, of which the first serves all keys.
func run(t *testing.T, test func(s scene)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster()
		a, b := newNode(ctx, c, "a"), newNode(ctx, c, "b")
		var group sync.WaitGroup
		for _, n := range []*node{a, b} {
			group.Go(func() { n.keeper.Run(ctx) })
		}
		a.keeper.Update(assign(t, 1, a.self))
		time.Sleep(10 * time.Millisecond)
		if !a.keeper.Serves(5) {
			t.Fatal("the first owner doesn't serve")
		}
		test(scene{t: t, cluster: c, a: a, b: b})
		cancel()
		group.Wait()
		a.keeper.Wait()
		b.keeper.Wait()
	})
}

// TestMove guards the planned move: never two upstreams with a key, and the handover reaches the new one.
func TestMove(t *testing.T) {
	run(t, func(s scene) {
		t, a, b := s.t, s.a, s.b
		a.upstream.set(func(u *upstreamDouble) { u.busyUntil = time.Now().Add(300 * time.Millisecond) })
		next := assign(t, 2, b.self, a.self)
		b.keeper.Update(next)
		time.Sleep(100 * time.Millisecond)
		if a.keeper.Serves(5) || b.keeper.Serves(5) {
			t.Error("the key is served while work on it runs at the upstream that releases it")
		}
		if err := b.keeper.Admit(t.Context(), 5, time.Now().Add(time.Second)); err != nil {
			t.Errorf("a request that waits for the key is refused: %v", err)
		}
		if a.upstream.holds(0) || !b.upstream.holds(0) {
			t.Errorf("holds: old %v, new %v", a.upstream.holds(0), b.upstream.holds(0))
		}
		var notOwner *grant.NotOwnerError
		if err := a.keeper.Admit(t.Context(), 5, time.Now()); !errors.As(err, &notOwner) || notOwner.Successor() != b.self {
			t.Errorf("the old owner doesn't name the new one: %v", err)
		}
		if b.keeper.Settled() != 2 {
			t.Errorf("settled at %d", b.keeper.Settled())
		}
	})
}

// TestPromiseBindsAgainstOlderMap guards against an owner that takes released keys back because it has not seen the new map yet.
func TestPromiseBindsAgainstOlderMap(t *testing.T) {
	run(t, func(s scene) {
		t, a, b := s.t, s.a, s.b
		b.keeper.Update(assign(t, 3, b.self, a.self))
		time.Sleep(50 * time.Millisecond)
		a.keeper.Update(assign(t, 2, a.self))
		time.Sleep(time.Second)
		if a.keeper.Serves(5) || !b.keeper.Serves(5) {
			t.Errorf("serves: old %v, new %v", a.keeper.Serves(5), b.keeper.Serves(5))
		}
	})
}

// TestTakeoverWaitsForProof guards against two owners when the old one can't be reached.
func TestTakeoverWaitsForProof(t *testing.T) {
	run(t, func(s scene) {
		t, c, a, b := s.t, s.cluster, s.a, s.b
		c.mu.Lock()
		c.cut[a.self] = true
		c.mu.Unlock()
		b.keeper.Update(assign(t, 2, b.self, a.self))
		time.Sleep(5 * time.Second)
		if b.keeper.Serves(5) {
			t.Fatal("the successor serves without a proof")
		}
		c.mu.Lock()
		c.expired[a.self] = true
		c.mu.Unlock()
		time.Sleep(time.Second)
		if !b.keeper.Serves(5) {
			t.Error("the successor doesn't serve within a second of the proof")
		}
	})
}

// TestHoldEndsWithLease guards against an upstream that holds keys after the lease that a successor waits for, with a clock that runs
// 2% slow.
func TestHoldEndsWithLease(t *testing.T) {
	run(t, func(s scene) {
		t, a := s.t, s.a
		a.lease.extend(time.Second)
		time.Sleep(time.Second + time.Millisecond)
		if a.upstream.holds(0) || a.keeper.Serves(5) {
			t.Error("the upstream holds the key after the lease")
		}
	})
}

// TestNoOrderNearEndOfLease guards against an order that a busy process sends late, when the next owner's upstream has the keys already: on
// the users' large site, one that was sent with less than 90 ms left of the lease came 30 ms after its end.
func TestNoOrderNearEndOfLease(t *testing.T) {
	const latest = 200 * time.Millisecond
	for lease := time.Second; lease < 1200*time.Millisecond; lease += 20 * time.Millisecond {
		run(t, func(s scene) {
			t, a := s.t, s.a
			a.lease.extend(lease)
			end := a.lease.Expires()
			time.Sleep(lease + time.Millisecond)
			a.upstream.mu.Lock()
			defer a.upstream.mu.Unlock()
			if left := end.Sub(a.upstream.newest); left < latest {
				t.Errorf("the last order was sent with %v left of the lease, want %v at least", left, latest)
			}
		})
	}
}

// TestHoldIsShort guards against a grant that an upstream leaves unanswered and carries out seconds later: it must have ended by then.
func TestHoldIsShort(t *testing.T) {
	if grant.MaxHold >= 2*time.Second {
		t.Errorf("a hold lasts %v; late grants are carried out after 2 s", grant.MaxHold)
	}
}

// TestMaxHold guards against a hold that is longer than the upstreams of a deployment accept, which they refuse, and against
// one that is lengthened by a generous deployment.
func TestMaxHold(t *testing.T) {
	tests := []struct{ limit, want time.Duration }{
		{0, grant.MaxHold}, {10 * time.Second, grant.MaxHold}, {500 * time.Millisecond, 500 * time.Millisecond},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			n := newNode(ctx, newCluster(), "a", grant.WithMaxHold(test.limit))
			n.keeper.Update(assign(t, 1, n.self))
			time.Sleep(10 * time.Millisecond)
			if got := n.upstream.longest(); got != test.want {
				t.Errorf("with a limit of %v, the longest hold is %v, want %v", test.limit, got, test.want)
			}
			cancel()
			n.keeper.Wait()
		})
	}
}

// TestSilentUpstream guards the release of keys by an instance whose upstream doesn't answer: it may say that they are released only
// after the hold must have ended.
func TestSilentUpstream(t *testing.T) {
	run(t, func(s scene) {
		t, a, b := s.t, s.a, s.b
		a.upstream.set(func(u *upstreamDouble) { u.unanswered = true })
		time.Sleep(time.Second)
		if a.keeper.Silent() == 0 {
			t.Error("the silence isn't noticed")
		}
		b.keeper.Update(assign(t, 2, b.self, a.self))
		for range 60 {
			time.Sleep(50 * time.Millisecond)
			if a.upstream.holds(0) && b.upstream.holds(0) {
				t.Fatal("two upstreams hold the key")
			}
		}
		if !b.keeper.Serves(5) {
			t.Error("the successor doesn't serve after the hold has ended")
		}
	})
}

// TestUpstreamGone guards against a wait for the hold of an upstream whose process has ended.
func TestUpstreamGone(t *testing.T) {
	run(t, func(s scene) {
		t, a, b := s.t, s.a, s.b
		a.upstream.set(func(u *upstreamDouble) { u.gone = true })
		b.keeper.Update(assign(t, 2, b.self, a.self))
		time.Sleep(250 * time.Millisecond)
		if !b.keeper.Serves(5) {
			t.Error("the successor waits for an upstream that has ended")
		}
	})
}

// TestNewConnectionRaisesFence guards against a renewal that reaches another run of the upstream with a token that the earlier run
// had seen.
func TestNewConnectionRaisesFence(t *testing.T) {
	run(t, func(s scene) {
		t, a := s.t, s.a
		a.upstream.mu.Lock()
		before := a.upstream.fences[0]
		a.upstream.fresh = true
		a.upstream.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		a.upstream.mu.Lock()
		defer a.upstream.mu.Unlock()
		if a.upstream.fences[0] <= before {
			t.Errorf("fence %d after %d", a.upstream.fences[0], before)
		}
	})
}

// TestAdmit guards the errors by which requests find the way to the owner.
func TestAdmit(t *testing.T) {
	run(t, func(s scene) {
		t, a, b := s.t, s.a, s.b
		tests := []struct {
			name   string
			keeper *grant.Keeper
			owner  bool
		}{
			{"owner", a.keeper, true},
			{"another instance", b.keeper, false},
		}
		for _, test := range tests {
			err := test.keeper.Admit(t.Context(), 5, time.Now().Add(100*time.Millisecond))
			var notOwner *grant.NotOwnerError
			if (err == nil) != test.owner || errors.As(err, &notOwner) == test.owner {
				t.Errorf("%s: error %v", test.name, err)
			}
		}
		a.lease.extend(0)
		time.Sleep(2 * time.Second)
		if err := a.keeper.Admit(t.Context(), 5, time.Now().Add(50*time.Millisecond)); err == nil {
			t.Error("admitted after the hold has ended")
		}
	})
}

// TestRepeatedRelease guards against a handover that is lost with the answer to the release.
func TestRepeatedRelease(t *testing.T) {
	run(t, func(s scene) {
		t, a, b := s.t, s.a, s.b
		request := grant.Request{
			Range: keyspace.Range{First: 100, Last: 199}, Service: "bookings", Epoch: 2, Holder: a.self, Successor: b.self,
		}
		for range 2 {
			handovers, err := a.keeper.Release(t.Context(), request)
			if err != nil || len(handovers) != 1 || handovers[0].Token == "" || handovers[0].Range != request.Range {
				t.Errorf("handovers %+v, error %v", handovers, err)
			}
		}
		if !a.keeper.Serves(99) || !a.keeper.Serves(200) || a.keeper.Serves(150) {
			t.Error("the release of a part changed other keys or left the part")
		}
		request.Epoch = 1
		request.Range = keyspace.Range{First: 0, Last: 9}
		if _, err := a.keeper.Release(t.Context(), request); err == nil {
			t.Error("keys are released for an epoch that isn't newer")
		}
	})
}

// TestLateOrderIsRefused guards against an order that the upstream left unanswered and carries out after the keys have moved to
// another upstream: the upstream must have seen a higher token before it releases the keys.
func TestLateOrderIsRefused(t *testing.T) {
	run(t, func(s scene) {
		t, a, b := s.t, s.a, s.b
		a.upstream.set(func(u *upstreamDouble) { u.unanswered = true })
		time.Sleep(450 * time.Millisecond)
		a.upstream.mu.Lock()
		late := a.upstream.last
		a.upstream.unanswered = false
		a.upstream.mu.Unlock()
		b.keeper.Update(assign(t, 2, b.self, a.self))
		time.Sleep(time.Second)
		if !b.keeper.Serves(5) {
			t.Fatal("the successor doesn't serve")
		}
		late.Fence = func(bool) uint64 { return a.upstream.lastFence }
		if err := a.upstream.Grant(t.Context(), late); !errors.Is(err, grant.ErrFenced) {
			t.Errorf("a late order with token %d is carried out: %v", a.upstream.lastFence, err)
		}
	})
}
