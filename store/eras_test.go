package store_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/store"
)

// scriptedBackend implements store.Backend with functions.
type scriptedBackend struct {
	commit func(t store.Transaction) (store.Response, error)
	list   func() (store.Response, error)
}

func (b scriptedBackend) Commit(_ context.Context, t store.Transaction) (store.Response, error) {
	return b.commit(t)
}

func (b scriptedBackend) List(context.Context, string) (store.Response, error) { return b.list() }

func (scriptedBackend) Changes(context.Context, string, uint64, time.Duration) (store.Response, error) {
	return store.Response{}, errors.ErrUnsupported
}

// TestErasCommit guards against a write whose condition holds because the store has given out the counter of a lost row again, and against
// one that counts as done although the store has lost it or has carried it out on another row.
func TestErasCommit(t *testing.T) {
	conflict := store.NewConflictError([]store.Row{{Table: "t", Key: "k", Version: 12}})
	tests := []struct {
		name      string
		condition uint64
		// counter is the condition that the backend gets in era 3.
		counter  uint64
		response store.Response
		err      error
		// version is that of the commit, row that of the row of a conflict, and wantErr what another error wraps.
		version, row uint64
		wantErr      error
	}{
		{
			"current row", store.NewVersion(3, 9), 9,
			store.Response{Version: 10, Arrived: true, Era: "3"},
			nil, store.NewVersion(3, 10), 0, nil,
		},
		{"no row", 0, 0, store.Response{Version: 10, Arrived: true, Era: "3"}, nil, store.NewVersion(3, 10), 0, nil},
		{
			"row of an earlier era", store.NewVersion(2, 9), store.MaxCounter,
			store.Response{Version: 12, Arrived: true, Era: "3"},
			conflict, 0, store.NewVersion(3, 12), nil,
		},
		{
			"row of a later era", store.NewVersion(4, 9), 9,
			store.Response{Version: 10, Arrived: true, Era: "4"},
			nil, store.NewVersion(4, 10), 0, nil,
		},
		{
			"carried out in a later era", store.NewVersion(3, 9), 9,
			store.Response{Version: 10, Arrived: true, Era: "4"},
			nil, 0, 0, store.ErrUnknown,
		},
		{
			"refused in a later era", store.NewVersion(3, 9), 9,
			store.Response{Version: 12, Arrived: true, Era: "4"},
			conflict, 0, store.NewVersion(4, 12), nil,
		},
		{"no response", store.NewVersion(3, 9), 9, store.Response{}, store.ErrUnknown, 0, 0, store.ErrUnknown},
		{
			"unavailable", store.NewVersion(3, 9), 9,
			store.Response{Arrived: true, Era: "3"},
			store.ErrUnavailable, 0, 0, store.ErrUnavailable,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got store.Transaction
			s := store.NewEras(scriptedBackend{
				commit: func(t store.Transaction) (store.Response, error) {
					got = t
					return test.response, test.err
				},
				list: func() (store.Response, error) { return store.Response{Version: 9, Arrived: true, Era: "3"}, nil },
			})
			if _, _, err := s.List(t.Context(), "t"); err != nil {
				t.Fatal(err)
			}
			version, err := s.Commit(t.Context(), store.Transaction{
				Conditions: []store.Condition{{Table: "t", Key: "k", Version: test.condition}},
			})
			if counter := got.Conditions[0].Version; counter != test.counter {
				t.Errorf("the condition is counter %d, want %d", counter, test.counter)
			}
			var failed *store.ConflictError
			switch {
			case test.row > 0 && (!errors.As(err, &failed) || failed.Rows()[0].Version != test.row):
				t.Errorf("error %v, want a conflict with row version %d", err, test.row)
			case test.row == 0 && (version != test.version || !errors.Is(err, test.wantErr)):
				t.Errorf("version %d, error %v, want %d, %v", version, err, test.version, test.wantErr)
			}
		})
	}
}

// TestErasOddNames guards against an era that is malformed, missing, absurd or falls and that makes the store unusable, or its versions go
// back.
func TestErasOddNames(t *testing.T) {
	const none = "no version"
	tests := []struct {
		named string
		// want is the era of the version of the listing.
		want string
	}{
		{"", "0"},
		{"x", "0"},
		{"2", "2"},
		{"", "2"},
		{"-3", "2"},
		{"3.0", "2"},
		{fmt.Sprint(store.MaxEra + 1), "2"},
		{strings.Repeat("9", 1000), "2"},
		{"1", "2"},
		{"0", "2"},
		{"2", "2"},
		{"7", "7"},
		{"6", "7"},
		{"8", "8"},
	}
	named := ""
	s := store.NewEras(scriptedBackend{list: func() (store.Response, error) {
		return store.Response{Version: 5, Arrived: true, Era: named}, nil
	}})
	for _, test := range tests {
		named = test.named
		got := none
		if _, version, err := s.List(t.Context(), "t"); err == nil && store.Counter(version) == 5 {
			got = fmt.Sprint(store.Era(version))
		}
		if got != test.want {
			t.Errorf("after %.20q: era %s, want %s", test.named, got, test.want)
		}
	}
}

// TestErasLateResponse guards against a response of an earlier era that arrives after one of the next and counts as newer.
func TestErasLateResponse(t *testing.T) {
	for _, late := range []string{"3", "", "x"} {
		bubble.Test(t, func(t *testing.T) {
			delays := []time.Duration{0, time.Second, 0}
			names := []string{"3", late, "4"}
			var calls atomic.Int32
			s := store.NewEras(scriptedBackend{list: func() (store.Response, error) {
				n := calls.Add(1) - 1
				time.Sleep(delays[n])
				return store.Response{Version: 40, Arrived: true, Era: names[n]}, nil
			}})
			if _, _, err := s.List(t.Context(), "t"); err != nil {
				t.Fatal(err)
			}
			var group sync.WaitGroup
			group.Go(func() {
				if _, version, err := s.List(t.Context(), "t"); !errors.Is(err, store.ErrHistoryLost) {
					t.Errorf("a late response that names era %q: version %d, error %v", late, version, err)
				}
			})
			time.Sleep(100 * time.Millisecond)
			if _, version, err := s.List(t.Context(), "t"); err != nil || store.Era(version) != 4 {
				t.Errorf("version %d, error %v", version, err)
			}
			group.Wait()
		})
	}
}

// TestFollowerNewEra guards against a copy that keeps rows that the store has lost, lacks what was written since under versions that were
// given out again, or counts as out of date because of versions that the store doesn't have any more.
func TestFollowerNewEra(t *testing.T) {
	tests := []struct {
		name   string
		events func(m *memory, f *store.Follower)
	}{
		{"fewer versions than known", func(m *memory, _ *store.Follower) { m.restore(2) }},
		{"the same versions again", func(m *memory, _ *store.Follower) {
			m.restore(2)
			m.put("c", "3")
			m.put("c", "4")
			m.put("c", "5")
		}},
		{"two eras within a second", func(m *memory, _ *store.Follower) {
			m.restore(3)
			m.put("d", "1")
			time.Sleep(400 * time.Millisecond)
			m.restore(2)
		}},
		{"while the store is away", func(m *memory, _ *store.Follower) {
			m.set(func(m *memory) { m.unavailable = true })
			m.restore(2)
			time.Sleep(3 * time.Second)
			m.set(func(m *memory) { m.unavailable = false })
		}},
		{"announced by an instance while the feed hangs", func(m *memory, f *store.Follower) {
			m.deafen()
			m.restore(2)
			f.Expect(store.NewVersion(1, 2))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				m := newMemory()
				m.put("a", "1")
				m.put("b", "1")
				lost := make(map[string]bool)
				f := store.NewFollower(store.NewEras(memoryBackend{m}), "t", func(rows []store.Row, _ store.Delivery) {
					for _, row := range rows {
						lost[row.Key] = row.Lost
					}
				})
				ctx, cancel := context.WithCancel(t.Context())
				var group sync.WaitGroup
				group.Go(func() { f.Run(ctx) })
				if err := f.Wait(ctx); err != nil {
					t.Fatal(err)
				}
				m.put("b", "2")
				m.put("d", "2")
				time.Sleep(time.Second)
				known := f.Version()
				test.events(m, f)
				time.Sleep(2 * time.Second)
				// An instance that doesn't know of the new era.
				f.Expect(known)
				f.MergeUpTo([]store.Row{
					{Key: "d", Value: []byte("2"), Version: known}, {Key: "e", Value: []byte("2"), Version: known},
				}, known)
				time.Sleep(time.Second)
				m.mu.Lock()
				want := make(map[string]string)
				for key, row := range m.rows {
					want[key] = string(row.Value)
				}
				version := store.NewVersion(m.era, m.version)
				m.mu.Unlock()
				for _, key := range []string{"a", "b", "c", "d", "e"} {
					if got := value(f, key); got != want[key] {
						t.Errorf("%s is %q, want %q", key, got, want[key])
					}
				}
				if f.Version() != version || f.IncompleteFor() > 0 || !lost["d"] || lost["a"] {
					t.Errorf("version %d, want %d; incomplete for %v; lost %v", f.Version(), version, f.IncompleteFor(), lost)
				}
				cancel()
				group.Wait()
			})
		})
	}
}
