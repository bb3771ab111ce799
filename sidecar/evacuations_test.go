package sidecar

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/evacuation"
	"sapphiretray/gateway"
	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/store"
)

// fleetEvacuationLimit is the limit for evacuations in the settings of a configFleet.
const fleetEvacuationLimit = 5 * time.Second

// decodeTestEvacuation is the DecodeEvacuation of tests. A row with the value "odd" can't be used.
func decodeTestEvacuation(r store.Row) (evacuation.Notice, bool, error) {
	dataCentre, ok := strings.CutPrefix(r.Key, "evacuate/")
	if string(r.Value) == "odd" {
		return evacuation.Notice{}, ok, errors.New("odd")
	}
	return evacuation.Notice{DataCentre: dataCentre, Ended: r.Deleted}, ok, nil
}

// evacuationTest is an instance with the records of two others in each of three data centres, of which dc-0 is its own.
func evacuationTest(t *testing.T) *Sidecar {
	t.Helper()
	sc := New(Settings{Slot: "10.0.0.0", Service: "books", DataCentre: "dc-0", EvacuationLimit: 5 * time.Second}, Adapters{
		Store:       operatorStore{rows: func() []store.Row { return nil }},
		ConfigTable: "op", ConfigKey: "config", DecodeEvacuation: decodeTestEvacuation,
	})
	for n := range 6 {
		sc.directory.apply([]store.Row{linkedRecordRow(t, n, 1, uint64(n+1))})
	}
	return sc
}

// operatorStore is a store that lists rows, as of version 1, and never has changes.
type operatorStore struct {
	store.Store
	rows func() []store.Row
}

// List implements store.Store.
func (s operatorStore) List(context.Context, string) ([]store.Row, uint64, error) {
	return s.rows(), 1, nil
}

// Changes implements store.Store.
func (operatorStore) Changes(ctx context.Context, _ string, after uint64, _ time.Duration) ([]store.Row, uint64, error) {
	<-ctx.Done()
	return nil, after, ctx.Err()
}

// followOperator makes an instance list the operator's rows and returns a function that ends that.
func followOperator(t *testing.T, sc *Sidecar) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { sc.config.Run(ctx) })
	if err := sc.config.Wait(ctx); err != nil {
		t.Fatal(err)
	}
	return func() {
		cancel()
		group.Wait()
	}
}

// targetsOf returns the data centres of the targets of requests, sorted.
func targetsOf(sc *Sidecar) string {
	var dataCentres []string
	for _, target := range sc.directory.Targets("books") {
		dataCentres = append(dataCentres, target.DataCentre)
	}
	slices.Sort(dataCentres)
	return strings.Join(slices.Compact(dataCentres), " ")
}

// TestEvacuationRows guards against an evacuation that isn't in effect, is lost with a row of another writer, or stays after its end, and
// against a change that others aren't told of.
func TestEvacuationRows(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		sc := evacuationTest(t)
		var announced []uint64
		sc.sendAnnouncement = func(_ member.Record, _ string, v *peer.Versions) error {
			announced = append(announced, v.GetConfig())
			return nil
		}
		tests := []struct {
			name string
			row  store.Row
			want string
		}{
			{"begin", store.Row{Key: "evacuate/dc-1"}, "dc-0 dc-2"},
			{"another data centre", store.Row{Key: "evacuate/dc-2"}, "dc-0"},
			{"odd row", store.Row{Key: "evacuate/dc-1", Value: []byte("odd")}, "dc-0"},
			{"odd row of an open data centre", store.Row{Key: "evacuate/dc-0", Value: []byte("odd")}, "dc-0"},
			{"unknown data centre", store.Row{Key: "evacuate/elsewhere"}, "dc-0"},
			{"unknown row", store.Row{Key: "notes"}, "dc-0"},
			{"end", store.Row{Key: "evacuate/dc-1", Deleted: true}, "dc-0 dc-1"},
			{"end of one that never began", store.Row{Key: "evacuate/dc-0", Deleted: true}, "dc-0 dc-1"},
			{"own data centre", store.Row{Key: "evacuate/dc-0"}, "dc-1"},
			{"all", store.Row{Key: "evacuate/dc-1"}, ""},
		}
		for n, test := range tests {
			announced = nil
			test.row.Version = uint64(n + 1)
			sc.config.Merge([]store.Row{test.row})
			time.Sleep(time.Second)
			if got := targetsOf(sc); got != test.want {
				t.Errorf("%s: targets in %q, want %q", test.name, got, test.want)
			}
			if len(announced) == 0 || announced[0] != test.row.Version {
				t.Errorf("%s: announced %v", test.name, announced)
			}
		}
	})
}

// TestEvacuationAfterStart guards against requests that a restarted process sends to its upstream although the data centre has been
// evacuated for long.
func TestEvacuationAfterStart(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		sc := evacuationTest(t)
		sc.adapters.Store = operatorStore{rows: func() []store.Row { return []store.Row{{Key: "evacuate/dc-0", Version: 1}} }}
		sc.config = store.NewFollower(sc.adapters.Store, "op", sc.applyOperatorRows)
		defer followOperator(t, sc)()
		if !sc.isClosed() {
			t.Error("the data centre is open")
		}
	})
}

// TestEvacuatedKeys guards against requests that wait for a key whose owner can't serve it because its data centre is closed, and against
// requests that are refused while the key may still move or its service has open data centres.
func TestEvacuatedKeys(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		sc := evacuationTest(t)
		defer followOperator(t, sc)()
		m := mapOf(t, 7, member.NewIncarnation("10.0.0.1", 1), 20)
		m.Key = keyspace.RowKey("books")
		sc.directory.apply([]store.Row{m})
		sc.config.Merge([]store.Row{{Key: "evacuate/dc-1", Version: 2}})
		started := time.Now()
		tests := []struct {
			name  string
			after time.Duration
			owner bool
			keyed bool
		}{
			{"at first", 0, true, false},
			{"before the close", 2400 * time.Millisecond, true, false},
			{"after the close", 2600 * time.Millisecond, false, false},
			{"the key doesn't move", 3600 * time.Millisecond, false, true},
		}
		for _, test := range tests {
			time.Sleep(test.after - time.Since(started))
			if _, ok := sc.directory.Owner("books", 100); ok != test.owner {
				t.Errorf("%s: owner %v", test.name, ok)
			}
			if got := sc.directory.Evacuated("books", 100); got != test.keyed {
				t.Errorf("%s: evacuated %v", test.name, got)
			}
			if sc.directory.Evacuated("books", gateway.NoKey) || sc.isClosed() {
				t.Errorf("%s: requests without a key are refused", test.name)
			}
		}
		sc.config.Merge([]store.Row{{Key: "evacuate/dc-0", Version: 3}, {Key: "evacuate/dc-2", Version: 4}})
		if !sc.directory.Evacuated("books", gateway.NoKey) || sc.directory.Evacuated("unknown", gateway.NoKey) {
			t.Error("not refused although all data centres of the service are evacuated")
		}
		sc.config.Merge([]store.Row{{Key: "evacuate/dc-1", Version: 5, Deleted: true}})
		if _, ok := sc.directory.Owner("books", 100); !ok || sc.directory.Evacuated("books", 100) {
			t.Error("the key isn't served after the end of the evacuation")
		}
	})
}

// TestEvacuationAfterSilence guards against requests that reach an evacuated data centre after the limit because the instances there, or
// all, get no answers from the store when the evacuation is written.
func TestEvacuationAfterSilence(t *testing.T) {
	tests := []struct {
		name  string
		begin func(s *configStore)
		// failed is the number of instances that have failed, unnoticed by the others: those that check for changes most often.
		failed int
	}{
		{"store answers", func(*configStore) {}, 0},
		{"calls forgotten", (*configStore).forget, 0},
		{"calls forgotten, two checkers failed", (*configStore).forget, 2},
		{"feed silent for good", (*configStore).silenceFeed, 0},
		{"feed refused", (*configStore).refuseFeed, 0},
		{"store silent for 9 s", func(s *configStore) { s.beSilent(9 * time.Second) }, 0},
		{"calls forgotten after slow ones", forgetAfterSlow, 0},
	}
	for _, instances := range []int{4, 12, 60} {
		for _, test := range tests {
			t.Run(fmt.Sprintf("%d instances, %s", instances, test.name), func(t *testing.T) {
				runConfigFleetWithin(t, instances, 2500*time.Millisecond, func(f *configFleet) {
					f.fail(slotsOf(checkers(f.instances[0].reachable())[:test.failed]))
					test.begin(f.store)
					written := time.Now()
					f.store.evacuate()
					time.Sleep(fleetEvacuationLimit)
					for _, sc := range f.instances {
						if f.hasFailed(sc) {
							continue
						}
						closes, ok := sc.directory.evacuations.Closes("dc-1")
						if !ok || closes.Sub(written) > fleetEvacuationLimit {
							t.Errorf("%s: known %v, closes %v after the evacuation", sc.settings.Slot, ok, closes.Sub(written))
						}
					}
				})
			})
		}
	}
}
