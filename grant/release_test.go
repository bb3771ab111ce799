package grant_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphiretray/grant"
	"sapphiretray/keyspace"
)

// TestReleaseOfClaimedKeys guards against a release of keys that are only claimed, and that were served before, which grants them to the
// upstream while another one holds them.
func TestReleaseOfClaimedKeys(t *testing.T) {
	tests := []struct {
		name string
		// answerLost means that the upstream of a carries out grants without an answer.
		answerLost bool
	}{
		{name: "the upstream responds"},
		{name: "the upstream's answers are lost", answerLost: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTwoNodes(t, func(f fixture) {
				t, a, b := f.t, f.a, f.b
				// The last grant before the release is left unanswered.
				a.upstream.set(func(u *fakeUpstream) { u.unanswered = true })
				time.Sleep(450 * time.Millisecond)
				a.upstream.set(func(u *fakeUpstream) { u.unanswered = false })
				b.manager.Update(assignAll(t, 2, b.self, a.self))
				time.Sleep(300 * time.Millisecond)
				if a.upstream.holds(innerKey) || !b.manager.Serves(innerKey) {
					t.Fatal("the keys haven't moved to b")
				}

				f.peers.set(func(p *peers) { p.unreachable[b.self] = true })
				a.upstream.set(func(u *fakeUpstream) { u.answerLost = test.answerLost })
				claimedAt := time.Now()
				a.manager.Update(assignAll(t, 3, a.self, b.self))
				time.Sleep(50 * time.Millisecond)
				b.manager.Update(assignAll(t, 4, b.self, a.self))
				if both := f.heldByBoth(innerKey, ownerGap); both > 0 {
					t.Errorf("both upstreams held key %d for %v", innerKey, both)
				}
				a.upstream.set(func(u *fakeUpstream) {
					if !u.lastGrantAt.Before(claimedAt) {
						t.Errorf("a grant was sent %v after the claim, though b hasn't released the keys", u.lastGrantAt.Sub(claimedAt))
					}
				})
				if a.upstream.holds(innerKey) || !b.upstream.holds(innerKey) || b.manager.SettledVersion() != 4 {
					t.Errorf("a's upstream holds the key: %v, b's: %v, b has settled on map %d; want false, true, 4",
						a.upstream.holds(innerKey), b.upstream.holds(innerKey), b.manager.SettledVersion())
				}
			})
		})
	}
}

// TestLateGrantOfStalledClaim guards against a grant of a claim that was left unanswered, isn't followed by another one since the claim
// waits for an earlier holder, and is carried out after the keys have moved to another upstream.
func TestLateGrantOfStalledClaim(t *testing.T) {
	tests := []struct {
		name string
		// stalled is the time between the unanswered grant and the release.
		stalled time.Duration
		// releaseRaises makes releases raise the fencing token. Later than 0.26 s before the end of the hold, no grant raises it.
		releaseRaises bool
	}{
		{name: "early in the hold", stalled: 500 * time.Millisecond},
		{name: "near the end of the hold", stalled: grant.MaxHold - 50*time.Millisecond, releaseRaises: true},
		{name: "after the hold", stalled: grant.MaxHold + 400*time.Millisecond, releaseRaises: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTwoNodes(t, func(f fixture) {
				t, a, b := f.t, f.a, f.b
				b.manager.Update(assignAll(t, 2, b.self, a.self))
				time.Sleep(100 * time.Millisecond)
				a.upstream.set(func(u *fakeUpstream) { u.unanswered, u.releaseRaises = true, test.releaseRaises })
				a.manager.Update(assignAll(t, 3, a.self, b.self))
				time.Sleep(50 * time.Millisecond)
				f.peers.set(func(p *peers) { p.unreachable[b.self] = true })
				var late grant.Grant
				var fence uint64
				a.upstream.set(func(u *fakeUpstream) { late, fence, u.unanswered = u.lateGrant, u.lateFence, false })
				if late.Fence == nil || a.manager.Serves(innerKey) {
					t.Fatal("want an unanswered grant")
				}
				time.Sleep(test.stalled)
				b.manager.Update(assignAll(t, 4, b.self, a.self))
				time.Sleep(ownerGap)
				if !b.manager.Serves(innerKey) || a.upstream.holds(innerKey) {
					t.Fatal("the keys haven't moved to b")
				}
				late.Fence = func(bool) uint64 { return fence }
				if err := a.upstream.Grant(t.Context(), late); !errors.Is(err, grant.ErrFenced) {
					t.Errorf("a late grant with fencing token %d wasn't refused: %v", fence, err)
				}
			})
		})
	}
}

// wakeUpCounter is a context that counts how often a function begins to wait for its end, and ends at the limit.
type wakeUpCounter struct {
	context.Context
	cancel context.CancelFunc
	limit  int64
	count  atomic.Int64
}

func (c *wakeUpCounter) Done() <-chan struct{} {
	if c.count.Add(1) == c.limit {
		c.cancel()
	}
	return c.Context.Done()
}

// TestConcurrentReleasesWait guards against release requests for the same keys that wake each other without a pause while they wait for
// the upstream. This takes processor time and stops the paused clock.
func TestConcurrentReleasesWait(t *testing.T) {
	withTwoNodes(t, func(f fixture) {
		t, a, b := f.t, f.a, f.b
		c := newNode(t.Context(), f.peers, "c")
		a.upstream.set(func(u *fakeUpstream) { u.busyUntil = time.Now().Add(500 * time.Millisecond) })
		counted, stop := context.WithCancel(t.Context())
		defer stop()
		counter := &wakeUpCounter{Context: counted, cancel: stop, limit: 200}
		started := time.Now()
		var releases sync.WaitGroup
		for n, successor := range []*node{b, b, c, c} {
			releases.Go(func() {
				_, err := a.manager.Release(counter, grant.ReleaseRequest{
					Range: keyspace.Range{First: 0, Last: keyspace.MaxKey}, Service: "bookings", Epoch: uint64(n + 2), Holder: a.self,
					Successor: successor.self,
				})
				if err != nil {
					t.Errorf("release for epoch %d after %v: %v", n+2, time.Since(started), err)
				}
			})
		}
		releases.Wait()
		if n := counter.count.Load(); n >= counter.limit {
			t.Errorf("four releases waited %d times or more within %v", n, time.Since(started))
		}
		if a.upstream.holds(innerKey) || a.manager.Serves(innerKey) {
			t.Error("the keys are still held after their release")
		}
	})
}

// TestNoGrantBeforeReleaseNearEndOfLease guards against a grant before a release that arrives, or that the upstream still holds, when the
// lease has ended and the next owner's upstream may have the keys.
func TestNoGrantBeforeReleaseNearEndOfLease(t *testing.T) {
	const minRemaining, transit = 200 * time.Millisecond, 200 * time.Millisecond
	for lease := 1900 * time.Millisecond; lease < 2150*time.Millisecond; lease += 25 * time.Millisecond {
		withTwoNodes(t, func(f fixture) {
			t, a, b := f.t, f.a, f.b
			time.Sleep(400 * time.Millisecond)
			a.lease.extend(lease)
			end := a.lease.Expires()
			a.upstream.set(func(u *fakeUpstream) { u.unanswered = true })
			time.Sleep(time.Second)
			b.manager.Update(assignAll(t, 2, b.self, a.self))
			time.Sleep(time.Until(end))
			a.upstream.set(func(u *fakeUpstream) {
				left := end.Sub(u.lastGrantAt)
				if left < minRemaining {
					t.Errorf("with a lease of %v, a grant was sent %v before its end, want at least %v", lease, left, minRemaining)
				}
				if after := transit + slowClockDuration(u.lateHold) - left; after > 0 {
					t.Errorf("with a lease of %v, a grant that arrives late ends %v after it", lease, after)
				}
			})
		})
	}
}

// TestLateGrantAfterHoldIsRefused guards against an unanswered grant that the upstream carries out after its hold has ended and after
// another upstream has got the keys with a higher fencing token.
func TestLateGrantAfterHoldIsRefused(t *testing.T) {
	tests := []struct {
		name string
		// abandoned means that a newer map ends the claim before the keys are released.
		abandoned bool
		// after is the time from the grant to the release.
		after time.Duration
	}{
		{name: "abandoned, shortly after the hold", abandoned: true, after: 2200 * time.Millisecond},
		{name: "abandoned, later", abandoned: true, after: 8 * time.Second},
		{name: "served, lease expired", after: 8 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTwoNodes(t, func(f fixture) {
				t, a, b := f.t, f.a, f.b
				a.upstream.set(func(u *fakeUpstream) { u.releaseRaises = true })
				if test.abandoned {
					b.manager.Update(assignAll(t, 2, b.self, a.self))
					time.Sleep(100 * time.Millisecond)
				}
				a.upstream.set(func(u *fakeUpstream) { u.unanswered = true })
				a.manager.Update(assignAll(t, 3, a.self, b.self))
				time.Sleep(400 * time.Millisecond)
				a.lease.extend(0)
				var late grant.Grant
				var fence uint64
				a.upstream.set(func(u *fakeUpstream) { late, fence, u.unanswered = u.lateGrant, u.lateFence, false })
				if late.Fence == nil {
					t.Fatal("no grant was left unanswered")
				}
				next := assignAll(t, 4, b.self, a.self)
				if test.abandoned {
					a.manager.Update(next)
				}
				time.Sleep(test.after)
				b.manager.Update(next)
				time.Sleep(ownerGap)
				if !b.manager.Serves(innerKey) {
					t.Fatalf("the successor doesn't serve after %v", ownerGap)
				}
				late.Fence = func(bool) uint64 { return fence }
				if err := a.upstream.Grant(t.Context(), late); !errors.Is(err, grant.ErrFenced) {
					t.Errorf("a late grant with fencing token %d wasn't refused: %v", fence, err)
				}
			})
		})
	}
}
