package sidecar

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/bubble"
	"sapphiretray/heartbeat"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/store"
)

// listedStore is a store with rows that don't change.
type listedStore struct {
	store.Store
	rows    []store.Row
	version uint64
}

// List implements store.Store.
func (s listedStore) List(context.Context, string) ([]store.Row, uint64, error) {
	return s.rows, s.version, nil
}

// Changes implements store.Store.
func (s listedStore) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]store.Row, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	<-ctx.Done()
	return nil, after, ctx.Err()
}

// TestSilenceTowardsUnlisted guards against a restarted witness that confirms the expiry of a valid lease at once, because the record of
// the holder was removed by another writer, or couldn't be read, when the witness started. It also guards against one that delays new
// instances.
func TestSilenceTowardsUnlisted(t *testing.T) {
	owner := member.NewIncarnation("slot-3", 4)
	tests := []struct {
		name   string
		rows   []store.Row
		holder member.Incarnation
		silent bool
	}{
		{"listed", []store.Row{recordRow(t, goodRecord(), 5), mapOf(t, 7, owner, 20)}, owner, true},
		{"restarted since", []store.Row{recordRow(t, goodRecord(), 5), mapOf(t, 7, owner, 20)}, member.NewIncarnation("slot-3", 6), false},
		{"removed", []store.Row{mapOf(t, 7, owner, 20)}, owner, true},
		{"not readable", []store.Row{mapOf(t, 7, owner, 20), {Key: member.RowKey("slot-3")}}, owner, true},
		{"new", []store.Row{mapOf(t, 7, owner, 20)}, member.NewIncarnation("slot-7", 32), false},
		{"new, no keys assigned yet", nil, member.NewIncarnation("slot-7", 3), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				sc := &Sidecar{directory: newDirectory("slot-0"), wake: make(chan struct{}, 1)}
				sc.rows = store.NewFollower(listedStore{rows: test.rows, version: 30}, TableName, sc.applyRows)
				sc.endpoint = heartbeat.New(member.NewIncarnation("slot-0", 0), heartbeat.WithTiming(timing()))
				var group errgroup.Group
				group.Go(func() error {
					sc.rows.Run(ctx)
					return nil
				})
				if err := sc.rows.Wait(ctx); err != nil {
					t.Fatal(err)
				}
				sc.endSilence()
				r, err := sc.endpoint.ConfirmExpiry(ctx, &peer.ConfirmExpiryRequest{Holder: peer.FromIncarnation(test.holder)})
				if err != nil || r.GetExpired() == test.silent {
					t.Errorf("expired %v, wait %d ms, error %v; want silence: %v", r.GetExpired(), r.GetWaitMs(), err, test.silent)
				}
				cancel()
				_ = group.Wait()
			})
		})
	}
}
