package grant_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/grant"
	"sapphiretray/keyspace"
	"sapphiretray/member"
)

// TestPlannedMove checks that a planned move never leaves two upstreams with the same key and that requests wait for the new owner.
func TestPlannedMove(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, a, b := f.t, f.a, f.b
		a.upstream.set(func(u *fakeUpstream) { u.busyUntil = time.Now().Add(300 * time.Millisecond) })
		next := assignAll(t, 2, b.self, a.self)
		b.manager.Update(next)
		time.Sleep(100 * time.Millisecond)
		if a.manager.Serves(5) || b.manager.Serves(5) {
			t.Error("the key is served while the releasing upstream still works on it")
		}
		if err := b.manager.Admit(t.Context(), 5, time.Now().Add(time.Second)); err != nil {
			t.Errorf("a request that waits for the key was refused: %v", err)
		}
		if a.upstream.holds(0) || !b.upstream.holds(0) {
			t.Errorf("the old upstream holds the key: %v, the new one: %v; want false, true", a.upstream.holds(0), b.upstream.holds(0))
		}
		var notOwner *grant.NotOwnerError
		if err := a.manager.Admit(t.Context(), 5, time.Now()); !errors.As(err, &notOwner) || notOwner.Successor() != b.self {
			t.Errorf("the old owner doesn't name the new one: %v", err)
		}
		if b.manager.SettledVersion() != 2 {
			t.Errorf("settled version %d, want 2", b.manager.SettledVersion())
		}
	})
}

// TestPromiseBindsAgainstOlderMap guards against an instance that claims released keys again because of a map that is older than the
// release.
func TestPromiseBindsAgainstOlderMap(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, a, b := f.t, f.a, f.b
		b.manager.Update(assignAll(t, 3, b.self, a.self))
		time.Sleep(50 * time.Millisecond)
		a.manager.Update(assignAll(t, 2, a.self))
		time.Sleep(time.Second)
		if a.manager.Serves(5) || !b.manager.Serves(5) {
			t.Errorf("the old owner serves: %v, the new one: %v; want false, true", a.manager.Serves(5), b.manager.Serves(5))
		}
	})
}

// TestTakeoverWaitsForProof guards against two instances that serve a key: when the old owner is unreachable, the new one must wait
// until the old lease is proved to have expired.
func TestTakeoverWaitsForProof(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, p, a, b := f.t, f.peers, f.a, f.b
		p.mu.Lock()
		p.unreachable[a.self] = true
		p.mu.Unlock()
		b.manager.Update(assignAll(t, 2, b.self, a.self))
		time.Sleep(5 * time.Second)
		if b.manager.Serves(5) {
			t.Fatal("the successor serves before the old lease is proved to have expired")
		}
		p.mu.Lock()
		p.expired[a.self] = true
		p.mu.Unlock()
		time.Sleep(time.Second)
		if !b.manager.Serves(5) {
			t.Error("the successor doesn't serve within 1 s of the proof of expiry")
		}
	})
}

// TestHoldEndsWithLease guards against an upstream that, with a clock that runs 2% slow, still holds keys when the lease has ended.
func TestHoldEndsWithLease(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, a := f.t, f.a
		a.lease.extend(time.Second)
		time.Sleep(time.Second + time.Millisecond)
		if a.upstream.holds(0) || a.manager.Serves(5) {
			t.Error("the upstream holds the key after the lease has ended")
		}
	})
}

// TestNoGrantNearEndOfLease guards against a grant that a busy process sends late, so that it arrives when the next owner's upstream
// has the keys. In a large deployment, a grant sent less than 90 ms before the end of the lease arrived 30 ms after it.
func TestNoGrantNearEndOfLease(t *testing.T) {
	const minRemaining = 200 * time.Millisecond
	for lease := time.Second; lease < 1200*time.Millisecond; lease += 20 * time.Millisecond {
		withTwoNodes(t, func(f fixture) {
			t, a := f.t, f.a
			a.lease.extend(lease)
			end := a.lease.Expires()
			time.Sleep(lease + time.Millisecond)
			a.upstream.mu.Lock()
			defer a.upstream.mu.Unlock()
			if left := end.Sub(a.upstream.lastGrantAt); left < minRemaining {
				t.Errorf("the last grant was sent with %v left of the lease, want at least %v", left, minRemaining)
			}
		})
	}
}

// TestMaxHoldIsShort guards against an unanswered grant that is still valid when the upstream carries it out seconds later.
func TestMaxHoldIsShort(t *testing.T) {
	if grant.MaxHold >= 2*time.Second {
		t.Errorf("a hold lasts %v, want less than 2 s, the delay after which late grants are carried out", grant.MaxHold)
	}
}

// TestWithMaxHold guards against holds that are longer than the upstreams of a deployment accept, and against a limit above MaxHold
// that lengthens them.
func TestWithMaxHold(t *testing.T) {
	tests := []struct{ limit, want time.Duration }{
		{0, grant.MaxHold}, {10 * time.Second, grant.MaxHold}, {500 * time.Millisecond, 500 * time.Millisecond},
	}
	for _, test := range tests {
		bubble.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			n := newNode(ctx, newPeers(), "a", grant.WithMaxHold(test.limit))
			n.manager.Update(assignAll(t, 1, n.self))
			time.Sleep(10 * time.Millisecond)
			if got := n.upstream.longest(); got != test.want {
				t.Errorf("with a limit of %v, the longest hold is %v, want %v", test.limit, got, test.want)
			}
			cancel()
			n.manager.Wait()
		})
	}
}

// TestUnresponsiveUpstream guards against a release that is confirmed too early: an instance whose upstream doesn't respond may
// confirm it only when the upstream's hold must have ended.
func TestUnresponsiveUpstream(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, a, b := f.t, f.a, f.b
		a.upstream.set(func(u *fakeUpstream) { u.unanswered = true })
		time.Sleep(time.Second)
		if a.manager.UnansweredFor() == 0 {
			t.Error("UnansweredFor returns 0 for an upstream that doesn't respond")
		}
		b.manager.Update(assignAll(t, 2, b.self, a.self))
		for range 60 {
			time.Sleep(50 * time.Millisecond)
			if a.upstream.holds(0) && b.upstream.holds(0) {
				t.Fatal("both upstreams hold the key")
			}
		}
		if !b.manager.Serves(5) {
			t.Error("the successor doesn't serve after the hold has ended")
		}
	})
}

// TestUnresponsiveUpstreamReturns guards against an upstream that never gets keys again because it left grants unanswered before its keys
// moved elsewhere, and against one that gets them again and again while it doesn't respond.
func TestUnresponsiveUpstreamReturns(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, a, b := f.t, f.a, f.b
		version := uint64(1)
		for _, pause := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
			a.upstream.set(func(u *fakeUpstream) { u.unanswered = true })
			time.Sleep(time.Second)
			b.manager.Update(assignAll(t, version+1, b.self, a.self))
			a.manager.Update(assignAll(t, version+1, b.self, a.self))
			time.Sleep(3 * time.Second)
			for began := time.Now(); a.manager.UnansweredFor() > 0; time.Sleep(10 * time.Millisecond) {
				if time.Since(began) > pause {
					t.Fatalf("still unanswered for %v after the keys have moved, want a pause of %v", a.manager.UnansweredFor(), pause)
				}
			}
			version += 2
			a.manager.Update(assignAll(t, version, a.self, b.self))
			b.manager.Update(assignAll(t, version, a.self, b.self))
		}
		a.upstream.set(func(u *fakeUpstream) { u.unanswered = false })
		time.Sleep(3 * time.Second)
		if !a.manager.Serves(5) || a.manager.UnansweredFor() > time.Second {
			t.Errorf("serves %v, unanswered for %v after the upstream has returned", a.manager.Serves(5), a.manager.UnansweredFor())
		}
	})
}

// TestUpstreamGone guards against a release that waits for the end of a hold though the upstream's process has ended.
func TestUpstreamGone(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, a, b := f.t, f.a, f.b
		a.upstream.set(func(u *fakeUpstream) { u.gone = true })
		b.manager.Update(assignAll(t, 2, b.self, a.self))
		time.Sleep(250 * time.Millisecond)
		if !b.manager.Serves(5) {
			t.Error("the successor waits for an upstream whose process has ended")
		}
	})
}

// TestNewConnectionRaisesFence guards against a renewal that reaches a restarted upstream with a fencing token from before the
// restart.
func TestNewConnectionRaisesFence(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, a := f.t, f.a
		a.upstream.mu.Lock()
		before := a.upstream.fences[0]
		a.upstream.newConnection = true
		a.upstream.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		a.upstream.mu.Lock()
		defer a.upstream.mu.Unlock()
		if a.upstream.fences[0] <= before {
			t.Errorf("fencing token %d after %d, want a higher one", a.upstream.fences[0], before)
		}
	})
}

// TestAdmit checks that the owner admits a request, that others return a NotOwnerError, by which the request is forwarded, and that
// nothing is admitted after the hold.
func TestAdmit(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, a, b := f.t, f.a, f.b
		tests := []struct {
			name    string
			manager *grant.Manager
			owner   bool
		}{
			{"owner", a.manager, true},
			{"another instance", b.manager, false},
		}
		for _, test := range tests {
			err := test.manager.Admit(t.Context(), 5, time.Now().Add(100*time.Millisecond))
			var notOwner *grant.NotOwnerError
			if (err == nil) != test.owner || errors.As(err, &notOwner) == test.owner {
				t.Errorf("%s: unexpected result: %v", test.name, err)
			}
		}
		a.lease.extend(0)
		time.Sleep(2 * time.Second)
		if err := a.manager.Admit(t.Context(), 5, time.Now().Add(50*time.Millisecond)); err == nil {
			t.Error("a request was admitted after the hold has ended")
		}
	})
}

// TestRetriedRelease guards against a handover that is lost together with the response to a release request.
func TestRetriedRelease(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, a, b := f.t, f.a, f.b
		request := grant.ReleaseRequest{
			Range: keyspace.Range{First: 100, Last: 199}, Service: "bookings", Epoch: 2, Holder: a.self, Successor: b.self,
		}
		for range 2 {
			handovers, err := a.manager.Release(t.Context(), request)
			if err != nil || len(handovers) != 1 || handovers[0].Token == "" || handovers[0].Range != request.Range {
				t.Errorf("handovers %+v, error %v", handovers, err)
			}
		}
		if !a.manager.Serves(99) || !a.manager.Serves(200) || a.manager.Serves(150) {
			t.Error("the release of keys 100-199 affected other keys or had no effect")
		}
		request.Epoch = 1
		request.Range = keyspace.Range{First: 0, Last: 9}
		if _, err := a.manager.Release(t.Context(), request); err == nil {
			t.Error("keys were released for an epoch that isn't newer")
		}
	})
}

// TestLateGrantIsRefused guards against an unanswered grant that the upstream carries out after the keys have moved to another
// upstream: the upstream must get a higher fencing token before it releases the keys.
func TestLateGrantIsRefused(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, a, b := f.t, f.a, f.b
		a.upstream.set(func(u *fakeUpstream) { u.unanswered = true })
		time.Sleep(450 * time.Millisecond)
		a.upstream.mu.Lock()
		late := a.upstream.lateGrant
		a.upstream.unanswered = false
		a.upstream.mu.Unlock()
		b.manager.Update(assignAll(t, 2, b.self, a.self))
		time.Sleep(time.Second)
		if !b.manager.Serves(5) {
			t.Fatal("the successor doesn't serve")
		}
		late.Fence = func(bool) uint64 { return a.upstream.lateFence }
		if err := a.upstream.Grant(t.Context(), late); !errors.Is(err, grant.ErrFenced) {
			t.Errorf("a late grant with fencing token %d wasn't refused: %v", a.upstream.lateFence, err)
		}
	})
}

// TestGrantInFlightIsRefused guards against a renewal that is in flight when its keys are released, is left unanswered, and is carried out
// by the upstream after the keys have moved to another one.
func TestGrantInFlightIsRefused(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, a, b := f.t, f.a, f.b
		a.upstream.set(func(u *fakeUpstream) { u.unanswered = true })
		var late grant.Grant
		var fence uint64
		for late.Fence == nil {
			time.Sleep(10 * time.Millisecond)
			a.upstream.set(func(u *fakeUpstream) { late, fence = u.lateGrant, u.lateFence })
		}
		a.upstream.set(func(u *fakeUpstream) { u.unanswered = false })
		b.manager.Update(assignAll(t, 2, b.self, a.self))
		time.Sleep(time.Second)
		if !b.manager.Serves(5) {
			t.Fatal("the successor doesn't serve")
		}
		late.Fence = func(bool) uint64 { return fence }
		if err := a.upstream.Grant(t.Context(), late); !errors.Is(err, grant.ErrFenced) {
			t.Errorf("a late grant with fencing token %d wasn't refused: %v", fence, err)
		}
	})
}

// TestEpochRaisedWhileServing guards against keys that aren't served while their owner claims them again from all possible holders, after
// the key map was restored, and against a burst of requests to the holders, which takes the processor time of other requests.
func TestEpochRaisedWhileServing(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := newPeers()
		owner := newNode(ctx, p, "owner")
		var holders []member.Incarnation
		for n := range 100 {
			holders = append(holders, newNode(ctx, p, fmt.Sprint("holder-", n)).self)
		}
		lost := holders[50]
		p.unreachable[lost] = true
		var group sync.WaitGroup
		group.Go(func() { owner.manager.Run(ctx) })
		owner.manager.Update(assignAll(t, 1, owner.self))
		time.Sleep(time.Second)
		started := time.Now()
		owner.manager.Update(assignAll(t, 40, owner.self, holders...))
		time.Sleep(100 * time.Millisecond)
		p.mu.Lock()
		if p.releases > 25 {
			t.Errorf("%d release requests in 100 ms", p.releases)
		}
		p.mu.Unlock()
		settledAfter := time.Duration(0)
		for time.Since(started) < 10*time.Second {
			if !owner.manager.Serves(100) || !owner.upstream.holds(0) {
				t.Fatalf("the keys aren't served %v after the restored map", time.Since(started))
			}
			if time.Since(started) > 2*time.Second {
				p.mu.Lock()
				p.expired[lost] = true
				p.mu.Unlock()
			}
			if settledAfter == 0 && owner.manager.SettledVersion() == 40 {
				settledAfter = time.Since(started)
			}
			time.Sleep(time.Millisecond)
		}
		if settledAfter < 2*time.Second {
			t.Errorf("settled after %v, before the lease of a lost holder had expired", settledAfter)
		}
		if served := owner.manager.Serving(); len(served) != 1 || served[0].Epoch != 40 {
			t.Errorf("serves %v", served)
		}
		cancel()
		group.Wait()
		owner.manager.Wait()
	})
}
