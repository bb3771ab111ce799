package grant_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"sapphiretray/grant"
	"sapphiretray/keyspace"
	"sapphiretray/member"
)

// sendLate carries out the latest unanswered grant of the fake upstream.
func (u *fakeUpstream) sendLate(t *testing.T) error {
	t.Helper()
	var late grant.Grant
	u.set(func(u *fakeUpstream) {
		late, u.unanswered, u.arrivalTime = u.lateGrant, false, 0
		fence := u.lateFence
		late.Fence = func(bool) uint64 { return fence }
	})
	if late.Hold == nil {
		t.Fatal("no grant was left unanswered")
	}
	return u.Grant(t.Context(), late)
}

// TestHoldBeyondLapsedLease guards against an upstream that holds keys after the lease has ended because a grant arrived late.
func TestHoldBeyondLapsedLease(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, a := f.t, f.a
		a.lease.extend(2 * time.Second)
		time.Sleep(1300 * time.Millisecond)
		a.upstream.set(func(u *fakeUpstream) { u.arrivalTime = 500 * time.Millisecond })
		time.Sleep(200 * time.Millisecond)
		a.upstream.set(func(u *fakeUpstream) { u.arrivalTime = 0 })
		time.Sleep(time.Until(a.lease.Expires()) + 10*time.Millisecond)
		for range 500 {
			if a.upstream.holds(innerKey) || a.manager.Serves(innerKey) {
				t.Fatalf("%v after the end of the lease, the upstream holds the keys: %v, they are served: %v",
					time.Since(a.lease.Expires()), a.upstream.holds(innerKey), a.manager.Serves(innerKey))
			}
			time.Sleep(time.Millisecond)
		}
	})
}

// TestLateGrantAfterLapsedLease guards against an unanswered grant that the upstream carries out after the lease has ended, when another
// upstream may have the keys with a higher fencing token. Only the instance beside the upstream can prevent it.
func TestLateGrantAfterLapsedLease(t *testing.T) {
	tests := []struct {
		name string
		// unresponsive is for how long after the end of the lease the upstream answers nothing.
		unresponsive time.Duration
		// ended means that the session ends with the lease.
		ended bool
	}{
		{name: "the upstream responds"},
		{name: "the upstream responds within the hold", unresponsive: time.Second},
		{name: "the upstream responds after the hold", unresponsive: 8 * time.Second},
		{name: "session ended", ended: true},
		{name: "session ended, the upstream responds after the hold", unresponsive: 8 * time.Second, ended: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTwoNodes(t, func(f fixture) {
				t, a := f.t, f.a
				a.lease.extend(2 * time.Second)
				time.Sleep(time.Second)
				a.upstream.set(func(u *fakeUpstream) { u.unanswered, u.releaseRaises = true, true })
				time.Sleep(time.Until(a.lease.Expires()))
				if test.ended {
					a.stop()
				}
				time.Sleep(test.unresponsive)
				a.upstream.set(func(u *fakeUpstream) { u.unanswered = false })
				time.Sleep(300 * time.Millisecond)
				if err := a.upstream.sendLate(t); !errors.Is(err, grant.ErrFenced) {
					t.Errorf("a late grant wasn't refused: %v", err)
				}
			})
		})
	}
}

// TestLapsedKeysAreClaimedAgain guards against keys without an owner after the lease was re-acquired, and against grants that the upstream
// refuses because of the fencing token of the release.
func TestLapsedKeysAreClaimedAgain(t *testing.T) {
	for _, invalid := range []time.Duration{20 * time.Millisecond, 3 * time.Second} {
		withTwoNodes(t, func(f fixture) {
			t, a := f.t, f.a
			a.upstream.set(func(u *fakeUpstream) { u.releaseRaises, u.unanswered = true, true })
			a.lease.extend(2 * time.Second)
			time.Sleep(2*time.Second + invalid)
			if a.manager.Serves(innerKey) || a.manager.Admit(t.Context(), innerKey, time.Now()) == nil {
				t.Error("the keys are served without a lease")
			}
			a.upstream.set(func(u *fakeUpstream) { u.unanswered = false })
			a.lease.extend(time.Hour)
			time.Sleep(ownerGap)
			if !a.manager.Serves(innerKey) || !a.upstream.holds(innerKey) || a.manager.SettledVersion() != 1 {
				t.Errorf("%v after the lease was re-acquired, invalid for %v: serves %v, upstream holds %v, settled on map %d", ownerGap,
					invalid, a.manager.Serves(innerKey), a.upstream.holds(innerKey), a.manager.SettledVersion())
			}
			var releases int
			a.upstream.set(func(u *fakeUpstream) { releases = u.releases })
			time.Sleep(20 * time.Second)
			a.upstream.set(func(u *fakeUpstream) {
				if u.releases != releases {
					t.Errorf("%d releases while the lease is valid", u.releases-releases)
				}
			})
		})
	}
}

// TestLateGrantAfterFailedReleases guards against an unanswered grant that the upstream carries out after all releases have failed until
// the end of the hold and the keys have moved to another upstream. The successor must not wait longer for the refusal of the grant.
func TestLateGrantAfterFailedReleases(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, a, b := f.t, f.a, f.b
		a.upstream.set(func(u *fakeUpstream) { u.unanswered, u.releaseRaises = true, true })
		time.Sleep(250 * time.Millisecond)
		var lastGrantAt time.Time
		a.upstream.set(func(u *fakeUpstream) { lastGrantAt = u.lastGrantAt })
		b.manager.Update(assignAll(t, 2, b.self, a.self))
		for !b.manager.Serves(innerKey) && time.Since(lastGrantAt) < 10*time.Second {
			time.Sleep(time.Millisecond)
		}
		if took := time.Since(lastGrantAt); took > grant.MaxHeld+100*time.Millisecond {
			t.Errorf("the successor serves the keys %v after the last grant", took)
		}
		started := time.Now()
		if _, err := a.manager.Release(t.Context(), grant.ReleaseRequest{
			Range: keyspace.AllKeys, Service: "bookings", Epoch: 2, Holder: a.self, Successor: b.self,
		}); err != nil || time.Since(started) > 0 {
			t.Errorf("a repeated release request took %v, error %v", time.Since(started), err)
		}
		time.Sleep(time.Second)
		a.upstream.set(func(u *fakeUpstream) { u.unanswered = false })
		time.Sleep(300 * time.Millisecond)
		if err := a.upstream.sendLate(t); !errors.Is(err, grant.ErrFenced) {
			t.Errorf("a late grant wasn't refused: %v", err)
		}
	})
}

// TestLateGrantsOfGoneUpstream guards against releases that are repeated for seconds, with a log line each, to refuse the late grants of an
// upstream whose process has ended.
func TestLateGrantsOfGoneUpstream(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		f.a.upstream.set(func(u *fakeUpstream) { u.unanswered = true })
		time.Sleep(250 * time.Millisecond)
		f.b.manager.Update(assignAll(f.t, 2, f.b.self, f.a.self))
		time.Sleep(grant.MaxHeld + time.Second)
		f.a.upstream.set(func(u *fakeUpstream) { u.gone = true })
		time.Sleep(5 * time.Second)
		f.a.upstream.set(func(u *fakeUpstream) {
			if u.refused > 1 {
				f.t.Errorf("%d releases after the upstream had ended, want at most 1", u.refused)
			}
		})
	})
}

// rejoin ends the session of a node and returns a node with the same upstream and the next incarnation, whose manager takes over. Its lease
// is valid at once.
func (f fixture) rejoin(n *node) (next *node, end func()) {
	lease := &fakeLease{}
	lease.extend(time.Hour)
	return f.rejoinWithLease(n, lease)
}

// rejoinWithLease does what rejoin does, with a lease of the caller.
func (f fixture) rejoinWithLease(n *node, lease *fakeLease) (next *node, end func()) {
	n.stop()
	ctx, cancel := context.WithCancel(f.t.Context())
	next = &node{self: member.NewIncarnation(n.self.Slot(), n.self.Number()+1), upstream: n.upstream, lease: lease}
	next.manager = grant.New(ctx, "bookings", next.self, next.lease, n.upstream, f.peers, grant.WithEarlier(n.manager))
	f.peers.set(func(p *peers) { p.managers[next.self] = next.manager })
	var running sync.WaitGroup
	running.Go(func() { next.manager.Run(ctx) })
	return next, func() {
		cancel()
		running.Wait()
		next.manager.Wait()
		next.manager.Close()
	}
}

// TestNextSessionRefusesLateGrants guards against a session that forgets the unanswered grants of the one before it.
func TestNextSessionRefusesLateGrants(t *testing.T) {
	for _, unresponsive := range []time.Duration{0, time.Second, 6 * time.Second} {
		withTwoNodes(t, func(f fixture) {
			t, a := f.t, f.a
			a.upstream.set(func(u *fakeUpstream) { u.unanswered, u.releaseRaises = true, true })
			time.Sleep(450 * time.Millisecond)
			_, end := f.rejoin(a)
			defer end()
			time.Sleep(unresponsive)
			a.upstream.set(func(u *fakeUpstream) { u.unanswered = false })
			time.Sleep(300 * time.Millisecond)
			if err := a.upstream.sendLate(t); !errors.Is(err, grant.ErrFenced) {
				t.Errorf("a late grant wasn't refused: %v", err)
			}
		})
	}
}

// TestNextSessionCountsEarlierHolds guards against a session that releases keys at once to a successor although the upstream holds them
// by a grant of the session before.
func TestNextSessionCountsEarlierHolds(t *testing.T) {
	for _, unanswered := range []bool{false, true} {
		withTwoNodes(t, func(f fixture) {
			t, a, b := f.t, f.a, f.b
			a.upstream.set(func(u *fakeUpstream) { u.unanswered = unanswered })
			next, end := f.rejoin(a)
			defer end()
			b.manager.Update(assignAll(t, 2, b.self, next.self))
			if both := f.heldByBoth(innerKey, 3*time.Second); both > 0 || !b.manager.Serves(innerKey) {
				t.Errorf("unanswered %v: both upstreams held key %d for %v, the successor serves it: %v", unanswered, innerKey, both,
					b.manager.Serves(innerKey))
			}
		})
	}
}

// TestNextSessionAwaitsReleases guards against a release of an earlier session that arrives after the next session has granted the keys,
// and takes them away, and against a fencing token of the next session that the upstream refuses.
func TestNextSessionAwaitsReleases(t *testing.T) {
	for _, busy := range []time.Duration{0, 300 * time.Millisecond} {
		withTwoNodes(t, func(f fixture) {
			t, a := f.t, f.a
			a.upstream.set(func(u *fakeUpstream) { u.releaseRaises, u.unanswered = true, true })
			a.lease.extend(0)
			time.Sleep(210 * time.Millisecond)
			a.upstream.set(func(u *fakeUpstream) { u.unanswered, u.busyUntil = false, time.Now().Add(busy) })
			next, end := f.rejoin(a)
			defer end()
			next.manager.Update(assignAll(t, 1, next.self))
			for started := time.Now(); time.Since(started) < 3*time.Second; time.Sleep(time.Millisecond) {
				if next.manager.Serves(innerKey) && !a.upstream.holds(innerKey) {
					t.Fatalf("%v after the next session began, it serves keys that the upstream doesn't hold", time.Since(started))
				}
				if time.Since(started) > ownerGap && !next.manager.Serves(innerKey) {
					t.Fatalf("the keys aren't served %v after the next session began", time.Since(started))
				}
			}
			request := grant.ReleaseRequest{Range: keyspace.AllKeys, Epoch: 3, Holder: a.self}
			if _, err := a.manager.Release(t.Context(), request); err == nil {
				t.Error("the earlier manager releases keys that the next session serves")
			}
		})
	}
}

// TestLapsedKeysNeedNoHolders guards against keys without an owner after a short loss of the lease because an earlier holder, which had
// released them before, doesn't respond any more.
func TestLapsedKeysNeedNoHolders(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, a, b := f.t, f.a, f.b
		b.manager.Update(assignAll(t, 2, b.self, a.self))
		time.Sleep(100 * time.Millisecond)
		f.peers.set(func(p *peers) { p.unreachable[a.self] = true })
		b.lease.extend(2 * time.Second)
		time.Sleep(2100 * time.Millisecond)
		b.lease.extend(time.Hour)
		time.Sleep(200 * time.Millisecond)
		if !b.manager.Serves(innerKey) || !b.upstream.holds(innerKey) {
			t.Errorf("200ms after the lease was re-acquired, the keys are served: %v, the upstream holds them: %v",
				b.manager.Serves(innerKey), b.upstream.holds(innerKey))
		}
	})
}

// TestNextSessionGrantsNothingForEarlierKeys guards against a grant that raises the fencing token before a release of keys of an earlier
// session: the lease of that session has expired, so a successor may have the keys, and the next session's lease says nothing of them.
func TestNextSessionGrantsNothingForEarlierKeys(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, a, b := f.t, f.a, f.b
		// The process stands still with a renewal in flight until its lease has expired. The upstream doesn't respond.
		a.lease.extend(1600 * time.Millisecond)
		a.upstream.set(func(u *fakeUpstream) {
			u.unanswered, u.releaseRaises, u.arrivalTime = true, true, 2200*time.Millisecond
		})
		time.Sleep(1900 * time.Millisecond)
		f.peers.set(func(p *peers) { p.unreachable[a.self], p.expired[a.self] = true, true })
		b.manager.Update(assignAll(t, 2, b.self, a.self))
		time.Sleep(600 * time.Millisecond)
		if !b.manager.Serves(innerKey) || a.upstream.holds(innerKey) {
			t.Fatal("the successor hasn't taken over")
		}
		lease := &fakeLease{}
		_, end := f.rejoinWithLease(a, lease)
		defer end()
		// The first attempt to release the keys fails, and the lease of the next session is valid at the second one.
		time.Sleep(200 * time.Millisecond)
		lease.extend(time.Hour)
		time.Sleep(300 * time.Millisecond)
		a.upstream.set(func(u *fakeUpstream) { u.unanswered, u.arrivalTime = false, 0 })
		var before, after time.Time
		a.upstream.set(func(u *fakeUpstream) { before = u.lastGrantAt })
		if both := f.heldByBoth(innerKey, 4*time.Second); both > 0 {
			t.Errorf("both upstreams held key %d for %v", innerKey, both)
		}
		a.upstream.set(func(u *fakeUpstream) { after = u.lastGrantAt })
		if !after.Equal(before) {
			t.Error("keys of the earlier session were granted")
		}
	})
}
