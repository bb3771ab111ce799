package ownership

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/member"
	"sapphiretray/partition"
	"sapphiretray/peer"
)

// slowUpstream is an upstream that takes grantDelay for a grant, which it carries out at the end of that time. It fails the first
// failRevokes revocations.
type slowUpstream struct {
	mu          sync.Mutex
	grantDelay  time.Duration
	failRevokes int
	held        map[int]uint64
	grants      int
}

func (u *slowUpstream) Warm(context.Context) error { return nil }

func (u *slowUpstream) Grant(_ context.Context, p int, fence uint64) error {
	time.Sleep(u.grantDelay)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.grants++
	u.held[p] = fence
	return nil
}

func (u *slowUpstream) Revoke(_ context.Context, p int, _ uint64) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.failRevokes > 0 {
		u.failRevokes--
		return errors.New("no response")
	}
	delete(u.held, p)
	return nil
}

func (u *slowUpstream) holds(p int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.held[p]
	return ok
}

// promiseUntil asks a manager for its promise every retryDelay, as a claim does, until it promises.
func promiseUntil(t *testing.T, m *Manager, self, successor member.Incarnation, epoch uint64) {
	t.Helper()
	for range 100 {
		response, err := m.Promise(t.Context(), &peer.PromiseRequest{
			Epoch: epoch, Commit: true, Receiver: peer.FromIncarnation(self), Successor: peer.FromIncarnation(successor),
		})
		if err != nil {
			t.Fatal(err)
		}
		if response.GetPromised() {
			return
		}
		time.Sleep(retryDelay)
	}
	t.Fatal("no promise within 100 attempts")
}

// TestPromiseEndsGrants guards against a promise while the upstream may hold the partition. The renewals of the incarnation would extend
// that grant as long as its lease is valid.
func TestPromiseEndsGrants(t *testing.T) {
	for _, test := range []struct {
		name     string
		upstream *slowUpstream
		// wait is the time from the assignment to the request for the promise.
		wait time.Duration
	}{
		{"served", &slowUpstream{}, time.Second},
		{"grant in flight", &slowUpstream{grantDelay: 300 * time.Millisecond}, 100 * time.Millisecond},
		{"revocation fails", &slowUpstream{failRevokes: 2}, time.Second},
		{"both", &slowUpstream{grantDelay: 300 * time.Millisecond, failRevokes: 2}, 100 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				upstream := test.upstream
				upstream.held = make(map[int]uint64)
				owner, successor := member.NewIncarnation("slot-0", 1), member.NewIncarnation("slot-1", 1)
				m, cancel := managerOf(t, owner, upstream, alwaysValid{})
				defer cancel()
				m.Update(assign(t, owner))
				time.Sleep(test.wait)
				promiseUntil(t, m, owner, successor, 2)
				for range 20 {
					if upstream.holds(0) {
						t.Fatal("the upstream holds the partition after the promise")
					}
					time.Sleep(retryDelay)
				}
			})
		})
	}
}

// TestOutdatedRequestKeepsGrant guards against a promise to an incarnation with an older entry, which would revoke the grant of the newer
// one.
func TestOutdatedRequestKeepsGrant(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		upstream := &slowUpstream{held: make(map[int]uint64), grantDelay: 300 * time.Millisecond}
		owner, outdated := member.NewIncarnation("slot-0", 1), member.NewIncarnation("slot-1", 1)
		m, cancel := managerOf(t, owner, upstream, alwaysValid{})
		defer cancel()
		m.Update(assign(t, owner))
		time.Sleep(100 * time.Millisecond)
		response, err := m.Promise(t.Context(), &peer.PromiseRequest{
			Epoch: 1, Commit: true, Receiver: peer.FromIncarnation(owner), Successor: peer.FromIncarnation(outdated),
		})
		if err != nil || response.GetPromised() {
			t.Errorf("promised: %v, error: %v; want neither", response.GetPromised(), err)
		}
		time.Sleep(time.Second)
		if _, err := m.Admit(0); err != nil || !upstream.holds(0) {
			t.Errorf("the partition isn't served: %v", err)
		}
	})
}

// TestNoGrantWithoutLease guards against a grant after the lease has expired, such as while the machine was suspended: its end would be
// computed from the monotonic clock, which has stopped meanwhile.
func TestNoGrantWithoutLease(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		upstream := &slowUpstream{held: make(map[int]uint64)}
		owner := member.NewIncarnation("slot-0", 1)
		m, cancel := managerOf(t, owner, upstream, neverValid{})
		defer cancel()
		m.Update(assign(t, owner))
		time.Sleep(time.Second)
		if upstream.grants > 0 {
			t.Errorf("%d grants without a valid lease", upstream.grants)
		}
	})
}

// alwaysValid is a lease that never expires, and neverValid one that expired although its end by the monotonic clock is ahead.
type (
	alwaysValid struct{}
	neverValid  struct{ alwaysValid }
)

func (alwaysValid) Valid() bool        { return true }
func (alwaysValid) Expires() time.Time { return time.Now().Add(simLease) }
func (alwaysValid) Generation() uint64 { return 1 }
func (neverValid) Valid() bool         { return false }

// noHandover is a cache of request ids that stays empty.
type noHandover struct{}

func (noHandover) Export(int) *peer.PromiseResponse                              { return &peer.PromiseResponse{} }
func (noHandover) Import(int, uint64, member.Incarnation, *peer.PromiseResponse) {}

// managerOf returns the manager of an incarnation that reaches no other one, and a function that ends it.
func managerOf(t *testing.T, self member.Incarnation, granter Granter, lease Lease) (m *Manager, end func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	prove := func(context.Context, member.Incarnation) (bool, error) { return false, nil }
	dial := func(member.Incarnation) (peer.Peer, error) { return nil, errors.New("not reachable") }
	m = New(ctx, self, lease, granter, noHandover{}, prove, dial)
	return m, func() {
		cancel()
		m.Wait()
	}
}

// assign returns a map with one partition, which belongs to the given incarnation.
func assign(t *testing.T, owner member.Incarnation) *partition.Map {
	t.Helper()
	empty, err := partition.New("bookings", 1)
	if err != nil {
		t.Fatal(err)
	}
	entry := partition.Entry{Epoch: 1, Members: []member.Incarnation{owner}}
	m, err := empty.Apply(1, []partition.Move{{Partition: 0, Entry: entry}})
	if err != nil {
		t.Fatal(err)
	}
	return m
}
