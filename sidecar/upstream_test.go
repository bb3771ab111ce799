package sidecar

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/bubble"
	"sapphiretray/gateway"
	"sapphiretray/grant"
	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/store"
)

// testUpstream implements grant.Upstream. A grant takes the time took. A release returns the error of released, or remains unanswered if
// that is nil.
type testUpstream struct {
	took     time.Duration
	released func() error
	calls    []string
}

// Grant implements grant.Upstream.
func (u *testUpstream) Grant(_ context.Context, g grant.Grant) error {
	time.Sleep(u.took)
	u.calls = append(u.calls, fmt.Sprint("grant ", g.Range))
	return nil
}

// Release implements grant.Upstream.
func (u *testUpstream) Release(ctx context.Context, r keyspace.Range, fence uint64) (string, error) {
	u.calls = append(u.calls, fmt.Sprint("release ", r, " ", fence))
	if u.released == nil {
		<-ctx.Done()
		return "", ctx.Err()
	}
	return "handover", u.released()
}

// TestNoGrantAfterSession guards against grants of a session that reach the next run of the upstream, or are in flight while the next
// session grants keys.
func TestNoGrantAfterSession(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		upstream, isCurrent := &testUpstream{took: 100 * time.Millisecond}, true
		u := newSessionUpstream(upstream, func() bool { return isCurrent })
		g := grant.Grant{Range: keyspace.Range{First: 1, Last: 9}}
		var group errgroup.Group
		started := time.Now()
		group.Go(func() error { return u.Grant(t.Context(), g) })
		synctest.Wait()
		isCurrent = false
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if err := u.Grant(ctx, g); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("a grant after a restart of the upstream returned %v", err)
		}
		isCurrent = true
		u.end()
		if took := time.Since(started); took != upstream.took {
			t.Errorf("the session ended %v after a grant that took %v", took, upstream.took)
		}
		if err := u.Grant(t.Context(), g); !errors.Is(err, errSessionEnded) {
			t.Errorf("a grant after the end of the session returned %v", err)
		}
		if err := group.Wait(); err != nil || !slices.Equal(upstream.calls, []string{"grant 1-9"}) {
			t.Errorf("error %v, calls %v", err, upstream.calls)
		}
	})
}

// TestReleaseAwaitsNextSession guards against a release by the session of an earlier run that returns while the next run holds the keys. It
// also guards against keys without an owner until the end of a hold, because the grant that precedes such a release fails.
func TestReleaseAwaitsNextSession(t *testing.T) {
	keys := keyspace.Range{First: 1, Last: 9}
	tests := []struct {
		name string
		call func(ctx context.Context, u *sessionUpstream) error
	}{
		{"release", func(ctx context.Context, u *sessionUpstream) error {
			_, err := u.Release(ctx, keys, 7)
			return err
		}},
		{"grant", func(ctx context.Context, u *sessionUpstream) error { return u.Grant(ctx, grant.Grant{Range: keys}) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				upstream := &testUpstream{released: func() error { return nil }}
				u := newSessionUpstream(upstream, func() bool { return false })
				u.end()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if err := test.call(ctx, u); !errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("before the keys were released: %v", err)
				}
				u.markCleared()
				if err := test.call(t.Context(), u); !errors.Is(err, grant.ErrUpstreamGone) || len(upstream.calls) > 0 {
					t.Errorf("error %v, calls %v", err, upstream.calls)
				}
			})
		})
	}
}

// TestClearEarlierGrants guards against a run of the upstream that keeps keys which a session of an earlier run has granted to it, and
// against a session that never begins because its upstream doesn't respond.
func TestClearEarlierGrants(t *testing.T) {
	earlier := gateway.UpstreamRun{ID: "i-1", Started: 1000}
	next := gateway.UpstreamRun{ID: "i-2", Started: 2000}
	sameID := gateway.UpstreamRun{ID: earlier.ID, Started: 1500}
	owner := member.NewIncarnation("slot-3", 4)
	keys := []store.Row{mapOf(t, 7, owner, 20)}
	lost := append(slices.Clone(keys), store.Row{Key: keyspace.RowKey("bookings"), Value: []byte("{"), Version: 30})
	release := func(version uint64) string {
		return fmt.Sprint("release ", keyspace.Range{Last: keyspace.MaxKey}, " ", keyspace.Fence(version+1, 0)-1)
	}
	answered, gone := func() error { return nil }, func() error { return grant.ErrUpstreamGone }
	refused := errors.New("refused")
	failures := 2
	tests := []struct {
		name     string
		rows     []store.Row
		run      gateway.UpstreamRun
		released func() error
		cleared  bool
		err      error
		calls    int
		call     string
		took     time.Duration
		// restarted means that the earlier session was one of an earlier process.
		restarted bool
	}{
		{"no keys assigned yet", nil, next, answered, false, nil, 0, "", 0, false},
		{"the same run", keys, earlier, answered, false, nil, 0, "", 0, false},
		{"the same run, start unknown", keys, gateway.UpstreamRun{ID: "i-1"}, answered, false, nil, 0, "", 0, false},
		{"the same run, process restarted", keys, earlier, answered, false, nil, 0, "", 0, true},
		{"another run", keys, next, answered, true, nil, 1, release(7), 0, false},
		{"another run, process restarted", keys, next, answered, true, nil, 1, release(7), 0, true},
		{"another run under the same id", keys, sameID, answered, true, nil, 1, release(7), 0, false},
		{"another run, map lost", lost, next, answered, true, nil, 1, release(30), 0, false},
		{
			"the first attempts fail", keys, next, func() error {
				if failures--; failures >= 0 {
					return refused
				}
				return nil
			}, true, nil, 3, release(7), 2 * clearRetryDelay, false,
		},
		{"the upstream has ended", keys, next, gone, false, grant.ErrUpstreamGone, 1, release(7), 0, false},
		{"the upstream doesn't respond", keys, next, nil, false, nil, 3, release(7), 3 * (clearTimeout + clearRetryDelay), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				upstream := &testUpstream{released: test.released}
				sc := &Sidecar{settings: Settings{Slot: "slot-3", Service: "bookings"}, directory: newDirectory("slot-3")}
				sc.adapters.Grants = func(*gateway.Gateway) grant.Upstream { return upstream }
				record := goodRecord()
				record.Upstream, record.UpstreamStarted = earlier.ID, earlier.Started
				sc.directory.apply(append([]store.Row{recordRow(t, record, 5)}, test.rows...))
				s := &session{sidecar: sc, upstreamRun: trackedRun{run: earlier}, upstream: newSessionUpstream(upstream, nil)}
				if !test.restarted {
					sc.session.Store(s)
				}
				started := time.Now()
				cleared, err := sc.clearEarlierGrants(t.Context(), test.run)
				if cleared != test.cleared || !errors.Is(err, test.err) || time.Since(started) != test.took {
					t.Errorf("cleared %v, error %v after %v; want %v, %v after %v", cleared, err, time.Since(started),
						test.cleared, test.err, test.took)
				}
				if len(upstream.calls) != test.calls || test.calls > 0 && upstream.calls[test.calls-1] != test.call {
					t.Errorf("calls %v, want %d as %q", upstream.calls, test.calls, test.call)
				}
				select {
				case <-s.upstream.cleared:
				default:
					if test.calls > 0 && test.err == nil && !test.restarted {
						t.Error("releases by the earlier session still wait")
					}
				}
			})
		})
	}
}

// connectingUpstream implements grant.Upstream. A grant waits for a connection before its hold is computed.
type connectingUpstream struct {
	testUpstream
}

// Grant implements grant.Upstream.
func (u *connectingUpstream) Grant(ctx context.Context, g grant.Grant) error {
	time.Sleep(u.took)
	if g.Hold() == 0 {
		return grant.ErrTooLate
	}
	return u.testUpstream.Grant(ctx, g)
}

// TestNoGrantToNextRun guards against a grant that waits for a connection while another run of the upstream registers, and then reaches
// that run.
func TestNoGrantToNextRun(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		upstream, isCurrent := &connectingUpstream{testUpstream{took: 100 * time.Millisecond}}, atomic.Bool{}
		isCurrent.Store(true)
		u := newSessionUpstream(upstream, isCurrent.Load)
		time.AfterFunc(50*time.Millisecond, func() { isCurrent.Store(false) })
		err := u.Grant(t.Context(), grant.Grant{
			Range: keyspace.Range{First: 1, Last: 9}, Fence: func(bool) uint64 { return 1 },
			Hold: func() time.Duration { return time.Second },
		})
		if !errors.Is(err, grant.ErrTooLate) || len(upstream.calls) > 0 {
			t.Errorf("error %v, calls %v; want %v and none", err, upstream.calls, grant.ErrTooLate)
		}
	})
}
