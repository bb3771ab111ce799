package grant_test

import (
	"testing"
	"time"

	"sapphiretray/grant"
	"sapphiretray/keyspace"
	"sapphiretray/member"
)

// ownerGap is the longest time for which keys may be without an owner whose upstream responds.
const ownerGap = time.Second

// newMap returns a map of the given entries.
func newMap(t *testing.T, version uint64, entries ...keyspace.Entry) *keyspace.Map {
	t.Helper()
	m, err := keyspace.NewMap(version, entries)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// entry returns the entry of a range.
func entry(first, last keyspace.Key, epoch uint64, owner member.Incarnation, previous ...member.Incarnation) keyspace.Entry {
	return keyspace.Entry{
		Range: keyspace.Range{First: first, Last: last}, Epoch: epoch, Members: []member.Incarnation{owner}, Previous: previous,
	}
}

// heldByBoth returns for how long of a duration both upstreams hold a key at once.
func (f fixture) heldByBoth(k keyspace.Key, d time.Duration) time.Duration {
	both := time.Duration(0)
	for start := time.Now(); time.Since(start) < d; time.Sleep(time.Millisecond) {
		if f.a.upstream.holds(k) && f.b.upstream.holds(k) {
			both += time.Millisecond
		}
	}
	return both
}

// TestAbandonedClaimIsReleased guards against a claim that ends after its grant was carried out and the answer lost: a release of its
// keys that returns at once leaves them with two upstreams.
func TestAbandonedClaimIsReleased(t *testing.T) {
	tests := []struct {
		name string
		// part means that the newer map takes only a part of the keys.
		part bool
		// fenced means that the upstream refuses the second grant, which ends the claim.
		fenced bool
	}{
		{name: "superseded by a newer map"},
		{name: "a newer map takes a part", part: true},
		{name: "fenced", fenced: true},
		{name: "fenced, a newer map takes a part", part: true, fenced: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTwoNodes(t, func(f fixture) {
				t, a, b := f.t, f.a, f.b
				b.manager.Update(assignAll(t, 2, b.self, a.self))
				time.Sleep(100 * time.Millisecond)
				if !b.manager.Serves(innerKey) {
					t.Fatal("b doesn't serve the keys")
				}

				a.upstream.set(func(u *fakeUpstream) { u.answerLost = true })
				a.manager.Update(assignAll(t, 3, a.self, b.self))
				time.Sleep(100 * time.Millisecond)
				if !a.upstream.holds(innerKey) || a.manager.Serves(innerKey) {
					t.Fatal("want a grant that is carried out and not answered")
				}
				if test.fenced {
					a.upstream.set(func(u *fakeUpstream) { u.fenced = true })
					time.Sleep(200 * time.Millisecond)
					a.upstream.set(func(u *fakeUpstream) { u.answerLost, u.fenced = false, false })
				}
				next := assignAll(t, 4, b.self, a.self)
				if test.part {
					next = newMap(
						t, 4, entry(0, 99, 3, a.self, b.self), entry(100, 199, 4, b.self, a.self),
						entry(200, keyspace.MaxKey, 3, a.self, b.self),
					)
				}
				a.manager.Update(next)
				time.Sleep(300 * time.Millisecond)
				a.upstream.set(func(u *fakeUpstream) { u.answerLost = false })
				b.manager.Update(next)
				if both := f.heldByBoth(innerKey, ownerGap); both > 0 {
					t.Errorf("both upstreams held key %d for %v", innerKey, both)
				}
				if !b.manager.Serves(innerKey) {
					t.Errorf("key %d isn't served by its owner after %v", innerKey, ownerGap)
				}
				if test.part && !a.manager.Serves(0) {
					t.Errorf("key 0 isn't served by its owner after %v", ownerGap)
				}
				if both := f.heldByBoth(innerKey, 2*grant.MaxHold); both > 0 {
					t.Errorf("both upstreams held key %d for %v later", innerKey, both)
				}
			})
		})
	}
}

// TestClaimAsksAgain guards against keys without an owner until the timeout of a release request that failed at once.
func TestClaimAsksAgain(t *testing.T) {
	tests := []struct {
		name                 string
		refused, lostAnswers int
	}{
		{name: "one request refused", refused: 1},
		{name: "one answer lost", lostAnswers: 1},
		{name: "three answers lost", lostAnswers: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTwoNodes(t, func(f fixture) {
				t, a, b := f.t, f.a, f.b
				f.peers.set(func(p *peers) { p.refused, p.lostAnswers = test.refused, test.lostAnswers })
				started := time.Now()
				b.manager.Update(assignAll(t, 2, b.self, a.self))
				for !b.manager.Serves(innerKey) && time.Since(started) < 10*time.Second {
					time.Sleep(time.Millisecond)
				}
				if took := time.Since(started); took > ownerGap {
					t.Errorf("the keys had an owner again after %v", took)
				}
			})
		})
	}
}

// TestRefusedRequestsProveNothing guards against a takeover from a holder that refuses connections but whose lease may still be valid,
// and against a takeover that is late after the proof that the lease has expired.
func TestRefusedRequestsProveNothing(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, a, b := f.t, f.a, f.b
		f.peers.set(func(p *peers) { p.refused = 1 << 30 })
		a.lease.extend(3 * time.Second)
		b.manager.Update(assignAll(t, 2, b.self, a.self))
		for started := time.Now(); time.Since(started) < 4*time.Second; time.Sleep(time.Millisecond) {
			if b.manager.Serves(innerKey) || b.upstream.holds(innerKey) {
				t.Fatalf("the keys were taken over %v after the first request, without a proof", time.Since(started))
			}
		}
		f.peers.set(func(p *peers) { p.expired[a.self] = true })
		time.Sleep(ownerGap)
		if !b.manager.Serves(innerKey) {
			t.Errorf("the keys aren't served %v after the lease was proved to have expired", ownerGap)
		}
	})
}

// TestClaimOfEndedHolder guards against a claim that goes on waiting for an earlier holder after stored records have shown that the
// holder's upstream has ended.
func TestClaimOfEndedHolder(t *testing.T) {
	tests := []struct {
		name    string
		refused int
		// unreachable means that the request isn't answered: a new incarnation delays requests to the one before it.
		unreachable bool
	}{
		{name: "requests refused", refused: 1 << 30},
		{name: "request not answered", unreachable: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTwoNodes(t, func(f fixture) {
				t, a, b := f.t, f.a, f.b
				a.upstream.set(func(u *fakeUpstream) { u.gone, u.heldUntil = true, nil })
				f.peers.set(func(p *peers) { p.refused, p.unreachable[a.self] = test.refused, test.unreachable })
				started := time.Now()
				b.manager.Update(assignAll(t, 2, b.self, a.self))
				time.Sleep(300 * time.Millisecond)
				f.peers.set(func(p *peers) { p.ended[a.self] = true })
				for !b.manager.Serves(innerKey) && time.Since(started) < 10*time.Second {
					time.Sleep(time.Millisecond)
				}
				if took := time.Since(started); took > ownerGap {
					t.Errorf("the keys had an owner again %v after the upstream had ended", took)
				}
			})
		})
	}
}

// TestConcurrentClaimsOfServedKeys guards against claims of served keys that hold a mutex while they pause, which stops the paused clock,
// and against claims that don't share the pace of the requests.
func TestConcurrentClaimsOfServedKeys(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, owner := f.t, f.a
		holders := []member.Incarnation{f.b.self}
		for _, slot := range []string{"c", "d"} {
			holders = append(holders, newNode(t.Context(), f.peers, slot).self)
		}
		var entries []keyspace.Entry
		for n := range keyspace.Key(16) {
			entries = append(entries, entry(n<<12, n<<12+1<<12-1, 2, owner.self, holders...))
		}
		owner.manager.Update(newMap(t, 2, entries...))
		time.Sleep(100 * time.Millisecond)
		f.peers.set(func(p *peers) {
			if p.releases > 25 {
				t.Errorf("%d release requests in 100 ms", p.releases)
			}
		})
		time.Sleep(ownerGap)
		if owner.manager.SettledVersion() != 2 || !owner.manager.Serves(innerKey) {
			t.Errorf("the claims haven't ended after %v", ownerGap)
		}
	})
}

// TestSplitClaimIsServed guards against keys that stay without an owner until the next map: a claim whose range a newer map divides is
// abandoned while the grant of its successor is in flight.
func TestSplitClaimIsServed(t *testing.T) {
	tests := []struct {
		name string
		// answerTime is the time from the effect of the successors' grants to their answers. The first claim is abandoned after 150 ms.
		answerTime time.Duration
	}{
		{name: "answered before the first claim is abandoned", answerTime: 100 * time.Millisecond},
		{name: "answered afterwards", answerTime: 190 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTwoNodes(t, func(f fixture) {
				t, a, b := f.t, f.a, f.b
				b.manager.Update(assignAll(t, 2, b.self, a.self))
				time.Sleep(100 * time.Millisecond)
				a.upstream.set(func(u *fakeUpstream) { u.unanswered = true })
				a.manager.Update(assignAll(t, 3, a.self, b.self))
				time.Sleep(100 * time.Millisecond)
				a.upstream.set(func(u *fakeUpstream) { u.unanswered, u.answerTime = false, test.answerTime })
				next := newMap(
					t, 4, entry(0, 99, 3, a.self, b.self), entry(100, 199, 4, b.self, a.self),
					entry(200, keyspace.MaxKey, 3, a.self, b.self),
				)
				a.manager.Update(next)
				b.manager.Update(next)
				time.Sleep(ownerGap)
				if !a.manager.Serves(0) || !a.manager.Serves(200) || a.manager.SettledVersion() != 4 {
					t.Errorf("after %v, a serves key 0: %v, key 200: %v, and has settled on map %d; want true, true, 4", ownerGap,
						a.manager.Serves(0), a.manager.Serves(200), a.manager.SettledVersion())
				}
			})
		})
	}
}

// TestReleaseAwaitsUnwrittenGrant guards against a release that returns while a grant of an abandoned claim waits to be written.
func TestReleaseAwaitsUnwrittenGrant(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, a, b := f.t, f.a, f.b
		b.manager.Update(assignAll(t, 2, b.self, a.self))
		time.Sleep(100 * time.Millisecond)
		// The grant of the first claim isn't written before its call ends.
		a.upstream.set(func(u *fakeUpstream) { u.waitingTime = time.Second })
		a.manager.Update(assignAll(t, 3, a.self, b.self))
		time.Sleep(100 * time.Millisecond)
		a.upstream.set(func(u *fakeUpstream) { u.waitingTime = 190 * time.Millisecond })
		a.manager.Update(newMap(
			t, 4, entry(0, 99, 3, a.self, b.self), entry(100, 199, 3, a.self, b.self), entry(200, keyspace.MaxKey, 3, a.self, b.self),
		))
		time.Sleep(160 * time.Millisecond)
		// The first claim has been abandoned.
		b.manager.Update(assignAll(t, 5, b.self, a.self))
		if both := f.heldByBoth(innerKey, 4*time.Second); both > 0 {
			t.Errorf("both upstreams held key %d for %v", innerKey, both)
		}
		if !b.manager.Serves(innerKey) {
			t.Error("the successor doesn't serve the keys")
		}
	})
}
