package sidecar

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/bubble"
	"sapphiretray/gateway"
	"sapphiretray/grant"
	"sapphiretray/heartbeat"
	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/routing"
	"sapphiretray/store"
)

// fencedUpstream is an upstream that refuses grants with a fencing token below one that it has seen.
type fencedUpstream struct {
	// answersAfter is the time until a release is answered; it stays unanswered if that is negative.
	answersAfter time.Duration
	started      time.Time

	mu   sync.Mutex
	seen uint64
	// grants holds the time, the fencing token and the handover of each grant that was carried out, and releases the number of releases.
	grants   []fencedGrant
	releases int
}

// fencedGrant is a grant that was carried out.
type fencedGrant struct {
	at       time.Duration
	fence    uint64
	handover string
}

// Grant implements grant.Upstream.
func (u *fencedUpstream) Grant(_ context.Context, g grant.Grant) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	fence := g.Fence(false)
	if fence < u.seen {
		return grant.ErrFenced
	}
	u.seen = fence
	u.grants = append(u.grants, fencedGrant{at: time.Since(u.started), fence: fence, handover: g.Handover})
	return nil
}

// Release implements grant.Upstream.
func (u *fencedUpstream) Release(ctx context.Context, _ keyspace.Range, fence uint64) (string, error) {
	u.mu.Lock()
	u.seen = max(u.seen, fence)
	u.releases++
	release := u.releases
	u.mu.Unlock()
	answered := ctx.Done()
	if u.answersAfter >= 0 {
		answered = make(chan struct{})
		timer := time.NewTimer(u.answersAfter)
		defer timer.Stop()
		select {
		case <-timer.C:
			return fmt.Sprint("handover-", release), nil
		case <-ctx.Done():
		}
	}
	<-answered
	return "", ctx.Err()
}

// newJoiningSidecar returns a process in slot-3, which has started beside a running upstream. An earlier process there has registered as
// slot-3#4 and owns all keys under epoch 7.
func newJoiningSidecar(t *testing.T, u grant.Upstream) *Sidecar {
	t.Helper()
	run := gateway.UpstreamRun{ID: "i-1", Started: 1000}
	record := goodRecord()
	record.Upstream, record.UpstreamStarted = run.ID, run.Started
	rows := []store.Row{recordRow(t, record, 5), mapOf(t, 7, record.Incarnation, 20)}
	for n := range 3 {
		other := member.Record{Incarnation: member.NewIncarnation(fmt.Sprint("slot-", 5+n), 8), State: member.Ready}
		rows = append(rows, recordRow(t, other, uint64(8+n)))
	}
	sc := New(Settings{
		Slot: "slot-3", Service: "bookings", UpstreamAddress: "10.1.0.1:80", PeerAddress: "10.1.0.1:7401",
		HeartbeatAddress: "10.1.0.1:7410",
	}, Adapters{Store: newLaggingStore(rows, 30), Grants: func(*gateway.Gateway) grant.Upstream { return u }})
	sc.group = &errgroup.Group{}
	sc.gateway = gateway.New(sc.group, "bookings", "10.1.0.1:80", struct{ gateway.Protocol }{})
	sc.gateway.Assume(gateway.Registration{UpstreamRun: run, Service: "bookings", Address: "10.1.0.1:80", Slots: 6})
	sc.endpoint = heartbeat.New(sc.firstIncarnation(), heartbeat.WithTiming(timing()))
	table, err := routing.New(1, routing.Limits{}, []routing.Service{{Name: "bookings", Keyed: true, HealthPath: "/"}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	sc.routes.Store(table)
	sc.rows.Merge(rows)
	return sc
}

// TestLateGrantOfEarlierSession guards against an upstream that carries out a grant of an earlier session late, when the next owner has the
// keys: that one took them over by a proof of expiry, so that nobody raised the token at the upstream.
func TestLateGrantOfEarlierSession(t *testing.T) {
	keys := keyspace.Range{First: 100, Last: 199}
	grantOf := func(epoch uint64) grant.Grant {
		return grant.Grant{
			Range: keys, Fence: func(bool) uint64 { return keyspace.Fence(epoch, 3) },
			Hold: func() time.Duration { return time.Second },
		}
	}
	for _, test := range []struct {
		name     string
		sessions int
	}{{"new process", 0}, {"new session", 1}} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				u := &fencedUpstream{started: time.Now()}
				sc := newJoiningSidecar(t, u)
				for range test.sessions {
					s, err := sc.join(t.Context())
					if err != nil {
						t.Fatal(err)
					}
					ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
					s.run(ctx)
					cancel()
					// The session has granted keys under epoch 7.
					u.seen = keyspace.Fence(7, 2)
				}
				started := time.Now()
				s, err := sc.join(t.Context())
				if err != nil || time.Since(started) > 0 {
					t.Fatalf("error %v after %v", err, time.Since(started))
				}
				time.Sleep(time.Second)
				if err := u.Grant(t.Context(), grantOf(7)); !errors.Is(err, grant.ErrFenced) {
					t.Errorf("a grant of an earlier session was carried out after %s had joined (error %v)", s.self(), err)
				}
				if err := u.Grant(t.Context(), grantOf(8)); err != nil {
					t.Errorf("a grant under the next map fails: %v", err)
				}
			})
		})
	}
}

// alwaysValid is a lease that doesn't expire.
type alwaysValid struct{}

func (alwaysValid) Valid() bool        { return true }
func (alwaysValid) Expires() time.Time { return time.Now().Add(leaseDuration) }

// TestClearingBeforeGrants guards against keys that are granted while a release of all keys may still take them away, that have no owner
// for longer than one attempt takes, or that the upstream gets back without its handover, so that it is slow at first.
func TestClearingBeforeGrants(t *testing.T) {
	tests := []struct {
		name         string
		answersAfter time.Duration
		// first is the time of the first grant, and handover what it brings.
		first    time.Duration
		handover string
	}{
		{"nothing is held", 0, 0, "handover-1"},
		{"work is running", 300 * time.Millisecond, 300 * time.Millisecond, "handover-1"},
		{"unanswered", -1, clearTimeout, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				u := &fencedUpstream{answersAfter: test.answersAfter, started: time.Now()}
				sc := newJoiningSidecar(t, u)
				s, err := sc.join(t.Context())
				if err != nil || time.Since(u.started) > 0 {
					t.Fatalf("error %v after %v", err, time.Since(u.started))
				}
				ctx, cancel := context.WithCancel(t.Context())
				bound := newSessionUpstream(u, func() bool { return true })
				bound.clearing = s.clearing
				m := grant.New(ctx, "bookings", s.self(), clearedLease{Lease: alwaysValid{}, clearing: s.clearing}, bound, nil)
				var group errgroup.Group
				group.Go(func() error {
					m.Run(ctx)
					return nil
				})
				next, err := keyspace.NewMap(8, []keyspace.Entry{
					{Range: keyspace.Range{Last: keyspace.MaxKey}, Epoch: 8, Members: []member.Incarnation{s.self()}},
				})
				if err != nil {
					t.Fatal(err)
				}
				m.Update(next)
				time.Sleep(2 * time.Second)
				cancel()
				_ = group.Wait()
				m.Wait()
				if len(u.grants) < 2 || u.releases != 1 {
					t.Fatalf("%d grants, %d releases", len(u.grants), u.releases)
				}
				if g := u.grants[0]; g.at < test.first || g.at > test.first+50*time.Millisecond || g.handover != test.handover {
					t.Errorf("first grant %+v, want one after %v with handover %q", g, test.first, test.handover)
				}
				if n := slices.IndexFunc(u.grants[1:], func(g fencedGrant) bool { return g.handover != "" }); n >= 0 {
					t.Errorf("renewal %+v has a handover", u.grants[n+1])
				}
			})
		})
	}
}

// TestReleaseDuringClearing guards against a release that returns while the upstream may hold keys of earlier sessions, or loses the
// handover.
func TestReleaseDuringClearing(t *testing.T) {
	tests := []struct {
		name         string
		answersAfter time.Duration
		// after is the time from the start of the session to the request.
		after, took time.Duration
		releases    int
		handover    string
		// otherOwner means that the keys belonged to another slot.
		otherOwner bool
	}{
		{"answered before", 0, time.Second, 0, 1, "handover-1", false},
		{"answered later", 300 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 1, "handover-1", false},
		{"unanswered", -1, 0, earlierGrants, 3, "", false},
		{"the keys may have had other owners", 0, time.Minute, 0, 1, "", false},
		{"keys of another owner", 0, time.Second, 0, 1, "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				u := &fencedUpstream{answersAfter: test.answersAfter, started: time.Now()}
				sc := newJoiningSidecar(t, u)
				if test.otherOwner {
					sc.rows.Merge([]store.Row{mapOf(t, 8, member.NewIncarnation("slot-6", 8), 31)})
				}
				s, err := sc.join(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				s.upstream = newSessionUpstream(u, func() bool { return true })
				s.grantManager = grant.New(t.Context(), "bookings", s.self(), nil, s.upstream, nil)
				sc.session.Store(s)
				time.Sleep(test.after)
				started := time.Now()
				r := grant.ReleaseRequest{
					Range: keyspace.Range{First: 100, Last: 199}, Service: "bookings", Epoch: 9, Holder: goodRecord().Incarnation,
					Successor: member.NewIncarnation("slot-5", 8),
				}
				handovers, err := sc.release(t.Context(), r)
				if took := time.Since(started); err != nil || took != test.took || u.releases != test.releases {
					t.Errorf("error %v after %v, %d releases; want %v, %d releases", err, took, u.releases, test.took, test.releases)
				}
				var want []grant.Handover
				if test.handover != "" {
					want = []grant.Handover{{Range: r.Range, Token: test.handover}}
				}
				if !slices.Equal(handovers, want) {
					t.Errorf("handovers %v, want %v", handovers, want)
				}
				_ = sc.group.Wait()
			})
		})
	}
}

// TestClearingOnceWhileStoreIsAway guards against a release of all keys at each attempt to join while the store can't be reached.
func TestClearingOnceWhileStoreIsAway(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		u := &fencedUpstream{started: time.Now()}
		sc := newJoiningSidecar(t, u)
		sc.adapters.Store = unavailableStore{}
		for range 5 {
			if _, err := sc.join(t.Context()); !errors.Is(err, store.ErrUnavailable) {
				t.Errorf("error %v", err)
			}
			time.Sleep(retryWait)
		}
		if u.releases != 1 {
			t.Errorf("%d releases, want 1", u.releases)
		}
		_ = sc.group.Wait()
	})
}

// unavailableStore is a store that refuses transactions.
type unavailableStore struct{ store.Store }

// Commit implements store.Store.
func (unavailableStore) Commit(context.Context, store.Transaction) (uint64, error) {
	return 0, store.ErrUnavailable
}
