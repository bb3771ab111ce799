package sidecar

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/bubble"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/routing"
	"sapphiretray/store"
)

// newConfigured returns a process with the rows of a configuration, one after the other, whose values are their versions. The store has the
// last one.
func newConfigured(slot string, rows ...store.Row) *Sidecar {
	last := rows[len(rows)-1]
	s := &feedStore{rows: map[string]store.Row{last.Key: last}, version: last.Version, shown: last.Version}
	sc := New(Settings{Slot: slot, Service: "bookings"}, Adapters{
		Store: s, ConfigTable: "op", ConfigKey: "config",
		DecodeConfig: func(content []byte) (*routing.Table, error) {
			version, err := strconv.ParseUint(string(content), 10, 64)
			if err != nil {
				return nil, err
			}
			return routing.New(version, routing.Limits{}, nil, nil)
		},
	})
	sc.group = &errgroup.Group{}
	for _, row := range rows {
		sc.config.Merge([]store.Row{row})
	}
	return sc
}

// TestLostConfiguration guards against a process that takes a configuration from a copy of the store although other instances have a newer
// one in effect, which the store has lost, and against one in effect that is replaced by an older one.
func TestLostConfiguration(t *testing.T) {
	config := func(version int, row uint64) store.Row {
		return store.Row{Table: "op", Key: "config", Value: fmt.Append(nil, version), Version: row}
	}
	tests := []struct {
		name string
		// known are the rows that the other instance got.
		known []store.Row
		// row is that of the store at the start of the process, and want the version in effect at the other instance and at the process.
		row        store.Row
		want, took uint64
	}{
		{"not lost", []store.Row{config(7, 20)}, config(7, 20), 7, 7},
		{"lost", []store.Row{config(6, 18), config(7, 20), config(6, store.NewVersion(1, 18))}, config(6, store.NewVersion(1, 18)), 7, 7},
		{
			"lost, then written again",
			[]store.Row{config(6, 18), config(7, 20), config(6, store.NewVersion(1, 18)), config(7, store.NewVersion(1, 19))},
			config(7, store.NewVersion(1, 19)), 7, 7,
		},
		{
			"lost, then a newer one",
			[]store.Row{config(7, 20), config(6, store.NewVersion(1, 18)), config(9, store.NewVersion(1, 19))},
			config(9, store.NewVersion(1, 19)), 9, 9,
		},
		{
			"lost in each of two eras",
			[]store.Row{config(7, 20), config(6, store.NewVersion(1, 18)), config(6, store.NewVersion(2, 18))},
			config(6, store.NewVersion(2, 18)), 7, 7,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				other := newConfigured("slot-3", test.known...)
				if got := other.routes.Load().Version(); got != test.want {
					t.Errorf("version %d is in effect at the other instance, want %d", got, test.want)
				}
				sc := newConfigured("slot-0", test.row)
				sc.directory.apply([]store.Row{recordRow(t, goodRecord(), 5), recordRow(t, member.Record{
					Incarnation: member.NewIncarnation("slot-0", 6), State: member.Ready,
				}, 6)})
				sc.dialer = peer.NewDialer(&crashLink{handler: peer.NewHandler(&peerService{sidecar: other})})
				ctx, cancel := context.WithCancel(t.Context())
				for _, run := range []func(context.Context){sc.config.Run, sc.rows.Run} {
					sc.group.Go(func() error {
						run(ctx)
						return nil
					})
				}
				sc.fetchLostConfig(ctx)
				if got := sc.routes.Load().Version(); got != test.took {
					t.Errorf("version %d is in effect, want %d", got, test.took)
				}
				if newest := sc.config.Newest(); newest != test.row.Version {
					t.Errorf("the copy has version %d, want that of the store, %d", newest, test.row.Version)
				}
				cancel()
				_ = sc.group.Wait()
			})
		})
	}
}

// TestEvacuationInNewEra guards against an evacuation that ends because the store has lost its row, one that stays for ever although the
// operator doesn't write it again, and one that is in effect again for good because the store has lost its end.
func TestEvacuationInNewEra(t *testing.T) {
	const all, evacuated = "dc-0 dc-1 dc-2", "dc-0 dc-2"
	key := "evacuate/dc-1"
	row := func(version uint64) store.Row { return store.Row{Table: "op", Key: key, Version: version} }
	ended := func(version uint64) store.Row {
		return store.Row{Table: "op", Key: key, Version: version, Deleted: true}
	}
	second := store.NewVersion(1, 8)
	tests := []struct {
		name string
		rows []store.Row
		// want are the data centres that get requests at once, and later those a minute later.
		want, later string
	}{
		{"lost", []store.Row{row(9), lostRow(key, second)}, evacuated, all},
		{"lost and written again", []store.Row{row(9), lostRow(key, second), row(second + 1)}, evacuated, evacuated},
		{"lost and ended", []store.Row{row(9), lostRow(key, second), row(second + 1), ended(second + 2)}, all, all},
		{"still there", []store.Row{row(7), row(store.NewVersion(1, 7))}, evacuated, evacuated},
		{"end lost", []store.Row{row(7), ended(9), row(store.NewVersion(1, 7))}, evacuated, evacuated},
		{"end lost and written again", []store.Row{row(7), ended(9), row(store.NewVersion(1, 7)), ended(second + 1)}, all, all},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				sc := evacuationTest(t)
				for _, row := range test.rows {
					sc.config.Merge([]store.Row{row})
				}
				// A data centre gets requests again with a delay.
				time.Sleep(5 * time.Second)
				if got := targetsOf(sc); got != test.want {
					t.Errorf("%q get requests, want %q", got, test.want)
				}
				time.Sleep(time.Minute)
				if got := targetsOf(sc); got != test.later {
					t.Errorf("%q get requests a minute later, want %q", got, test.later)
				}
			})
		})
	}
}
