package sidecar

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/grant"
	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/store"
)

// TestReleaseOfEarlierIncarnation guards against a release that returns while a grant of an earlier incarnation may be in force: because
// the successor stopped waiting, or because the grant arrived late. It also guards against a token that doesn't make the upstream refuse
// such a grant when it is carried out later.
func TestReleaseOfEarlierIncarnation(t *testing.T) {
	const holds = grant.MaxHeld
	answered, gone := func() error { return nil }, func() error { return grant.ErrUpstreamGone }
	keys := keyspace.Range{First: 100, Last: 199}
	release := fmt.Sprint("release ", keys, " ", keyspace.Fence(9, 0)-1)
	tests := []struct {
		name string
		// after is the time from the start of the session to the request, and timeout that after which the successor stops waiting.
		after, timeout time.Duration
		released       func() error
		newestMap      uint64
		err            error
		took           time.Duration
		calls          []string
		handovers      int
	}{
		{"at once", 0, time.Minute, answered, 9, nil, 0, []string{release}, 1},
		{"after the holds", 3 * time.Second, time.Minute, answered, 9, nil, 0, []string{release}, 1},
		{"no late grant is possible any more", time.Minute, time.Minute, answered, 9, nil, 0, nil, 0},
		{"upstream ended", 0, time.Minute, gone, 9, nil, 0, []string{release}, 0},
		{"unanswered", 0, time.Minute, nil, 9, nil, holds, []string{release, release, release}, 0},
		{"unanswered after the holds", 3 * time.Second, time.Minute, nil, 9, nil, 700 * time.Millisecond, []string{release}, 0},
		{"successor stops waiting", 0, time.Second, nil, 9, context.DeadlineExceeded, time.Second, []string{release, release}, 0},
		{"successor with an older map", 0, time.Minute, answered, 10, code.New(code.Conflict, ""), 0, nil, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				upstream := &testUpstream{released: test.released}
				sc := &Sidecar{settings: Settings{Slot: "slot-3", Service: "bookings"}, directory: newDirectory("slot-3")}
				sc.adapters.Grants = func(*gateway.Gateway) grant.Upstream { return upstream }
				successor, self := member.NewIncarnation("slot-5", 8), member.NewIncarnation("slot-3", 7)
				sc.directory.apply([]store.Row{
					recordRow(t, goodRecord(), 5), recordRow(t, member.Record{Incarnation: successor, State: member.Ready}, 8),
					mapOf(t, test.newestMap, successor, 30),
				})
				bound := newSessionUpstream(upstream, func() bool { return true })
				sc.session.Store(&session{
					sidecar: sc, record: member.Record{Incarnation: self}, started: time.Now(), upstream: bound,
					grantManager: grant.New(t.Context(), "bookings", self, nil, bound, nil),
				})
				time.Sleep(test.after)
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				started := time.Now()
				handovers, err := sc.release(ctx, grant.ReleaseRequest{
					Range: keys, Service: "bookings", Epoch: 9, Holder: goodRecord().Incarnation, Successor: successor,
				})
				got, _ := code.Of(err)
				wantCode, _ := code.Of(test.err)
				if took := time.Since(started); got != wantCode || wantCode == 0 && !errors.Is(err, test.err) || took != test.took {
					t.Errorf("error %v after %v, want %v after %v", err, took, test.err, test.took)
				}
				if !slices.Equal(upstream.calls, test.calls) {
					t.Errorf("calls %v, want %v", upstream.calls, test.calls)
				}
				want := []grant.Handover{{Range: keys, Token: "handover"}}[:test.handovers]
				if !slices.Equal(handovers, want) {
					t.Errorf("handovers %v, want %v", handovers, want)
				}
			})
		})
	}
}

// TestNewerMapEndsRelease guards against a release for an earlier incarnation that goes on when a newer map has assigned the keys again,
// and takes keys from the upstream that the current incarnation serves.
func TestNewerMapEndsRelease(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		upstream := &testUpstream{}
		sc := &Sidecar{settings: Settings{Slot: "slot-3", Service: "bookings"}, directory: newDirectory("slot-3")}
		successor, self := member.NewIncarnation("slot-5", 8), member.NewIncarnation("slot-3", 7)
		sc.directory.apply([]store.Row{
			recordRow(t, goodRecord(), 5), recordRow(t, member.Record{Incarnation: successor, State: member.Ready}, 8),
			mapOf(t, 9, successor, 30),
		})
		bound := newSessionUpstream(upstream, func() bool { return true })
		sc.session.Store(&session{
			sidecar: sc, record: member.Record{Incarnation: self}, started: time.Now(), upstream: bound,
			grantManager: grant.New(t.Context(), "bookings", self, nil, bound, nil),
		})
		time.AfterFunc(100*time.Millisecond, func() {
			// The upstream doesn't answer the release that is in flight.
			sc.directory.apply([]store.Row{mapOf(t, 10, self, 31)})
		})
		keys := keyspace.Range{First: 100, Last: 199}
		_, err := sc.release(t.Context(), grant.ReleaseRequest{
			Range: keys, Service: "bookings", Epoch: 9, Holder: goodRecord().Incarnation, Successor: successor,
		})
		if got, _ := code.Of(err); got != code.Conflict {
			t.Errorf("error %v, want code.Conflict", err)
		}
		if want := []string{fmt.Sprint("release ", keys, " ", keyspace.Fence(9, 0)-1)}; !slices.Equal(upstream.calls, want) {
			t.Errorf("calls %v, want %v", upstream.calls, want)
		}
	})
}

// TestReleaseCoversEarlierIncarnations guards against a release of keys of the current incarnation that returns while grants of earlier
// ones of the same run of the upstream may be in force or be carried out later: a successor that knows only the newest record of a slot
// asks no other incarnation.
func TestReleaseCoversEarlierIncarnations(t *testing.T) {
	const holds = grant.MaxHeld
	answered, gone := func() error { return nil }, func() error { return grant.ErrUpstreamGone }
	keys := keyspace.Range{First: 100, Last: 199}
	release := fmt.Sprint("release ", keys, " ", keyspace.Fence(9, 0)-1)
	tests := []struct {
		name string
		// after is the time from the start of the session to the request.
		after     time.Duration
		cleared   bool
		released  func() error
		newestMap uint64
		conflict  bool
		took      time.Duration
		calls     []string
		handovers int
	}{
		{"at once", 0, false, answered, 9, false, 0, []string{release}, 1},
		{"after the holds", 3 * time.Second, false, answered, 9, false, 0, []string{release}, 1},
		{"no late grant is possible any more", time.Minute, false, answered, 9, false, 0, nil, 0},
		{"nothing was held", 0, true, answered, 9, false, 0, nil, 0},
		{"upstream ended", 0, false, gone, 9, false, 0, []string{release}, 0},
		{"unanswered", 0, false, nil, 9, false, holds, []string{release, release, release}, 0},
		{"the keys may be served under a newer map", 0, false, answered, 10, true, 0, nil, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				upstream := &testUpstream{released: test.released}
				sc := &Sidecar{settings: Settings{Slot: "slot-3", Service: "bookings"}, directory: newDirectory("slot-3")}
				successor, self := member.NewIncarnation("slot-5", 8), member.NewIncarnation("slot-3", 7)
				sc.directory.apply([]store.Row{
					recordRow(t, goodRecord(), 5), recordRow(t, member.Record{Incarnation: successor, State: member.Ready}, 8),
					mapOf(t, test.newestMap, successor, 30),
				})
				bound := newSessionUpstream(upstream, func() bool { return true })
				sc.session.Store(&session{
					sidecar: sc, record: member.Record{Incarnation: self}, started: time.Now(), upstream: bound,
					clearing: newClearing(test.cleared), grantManager: grant.New(t.Context(), "bookings", self, nil, bound, nil),
				})
				time.Sleep(test.after)
				started := time.Now()
				handovers, err := sc.release(t.Context(), grant.ReleaseRequest{
					Range: keys, Service: "bookings", Epoch: 9, Holder: self, Successor: successor,
				})
				got, _ := code.Of(err)
				took := time.Since(started)
				if (got == code.Conflict) != test.conflict || (err != nil) != test.conflict || took != test.took {
					t.Errorf("error %v after %v, want a conflict: %v, after %v", err, took, test.conflict, test.took)
				}
				if !slices.Equal(upstream.calls, test.calls) {
					t.Errorf("calls %v, want %v", upstream.calls, test.calls)
				}
				want := []grant.Handover{{Range: keys, Token: "handover"}}[:test.handovers]
				if !slices.Equal(handovers, want) {
					t.Errorf("handovers %v, want %v", handovers, want)
				}
			})
		})
	}
}
