package store_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/store"
)

// TestFollowerRecovers guards against a copy that stays out of date after the store was unavailable, dropped its history or deleted
// rows.
func TestFollowerRecovers(t *testing.T) {
	tests := []struct {
		name   string
		events func(m *memory)
	}{
		{"change", func(m *memory) { m.put("a", "2") }},
		{"unavailable for a while", func(m *memory) {
			m.set(func(m *memory) { m.unavailable = true })
			m.put("a", "2")
			time.Sleep(9 * time.Second)
			m.set(func(m *memory) { m.unavailable = false })
		}},
		{"history dropped", func(m *memory) {
			m.put("a", "2")
			m.set(func(m *memory) { m.dropped, m.history = m.version, nil })
		}},
		{"deleted while the history was dropped", func(m *memory) {
			m.put("b", "1")
			time.Sleep(time.Second)
			m.remove("b")
			m.put("a", "2")
			m.set(func(m *memory) { m.dropped, m.history = m.version, nil })
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			follow(t, func(m *memory, f *store.Follower) {
				test.events(m)
				time.Sleep(time.Second)
				if got := value(f, "a"); got != "2" {
					t.Errorf("a is %q a second later, want 2", got)
				}
				if row := f.Get("b"); row.Version > 0 && !row.Deleted {
					t.Errorf("b is %+v, want none", row)
				}
				if !f.Reachable() {
					t.Error("the store counts as unreachable")
				}
			})
		})
	}
}

// TestFollowerFeedFails guards against a copy that stays out of date while the store answers listings but no calls for changes, against
// calls without a pause, and against a store that counts as reachable now and then: two instances would take turns as the planner.
func TestFollowerFeedFails(t *testing.T) {
	const (
		bound = 2 * time.Second
		// maxRate bounds the calls per second. 195 instances may make 2,000 reads per second, and each follows two tables.
		maxRate = 5
		changes = 30
	)
	tests := []struct {
		name string
		err  error
		// transfer is the time from the begin of a response to its end.
		transfer  time.Duration
		reachable bool
	}{
		{"refused", store.ErrUnavailable, 0, false},
		{"refused, slow processor", store.ErrUnavailable, 30 * time.Millisecond, false},
		{"history lost each time", store.ErrHistoryLost, 0, true},
		{"history lost each time, slow processor", store.ErrHistoryLost, 30 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			follow(t, func(m *memory, f *store.Follower) {
				m.set(func(m *memory) { m.feedErr, m.latency, m.transfer = test.err, 4*time.Millisecond, test.transfer })
				time.Sleep(10 * time.Second)
				m.set(func(m *memory) { m.calls = 0 })
				var latest time.Duration
				flips := 0
				start := time.Now()
				for n := range changes {
					written, arrived := time.Now(), false
					m.put("a", fmt.Sprint(n))
					for time.Since(written) < time.Second || !arrived && time.Since(written) < 2*bound {
						time.Sleep(10 * time.Millisecond)
						if !arrived {
							latest = max(latest, time.Since(written))
						}
						arrived = value(f, "a") == fmt.Sprint(n)
						if f.Reachable() != test.reachable {
							flips++
						}
					}
				}
				if flips > 0 {
					t.Errorf("the store counts as reachable: %v at %d times", !test.reachable, flips)
				}
				if latest > bound {
					t.Errorf("a change arrived after %v, want at most %v", latest, bound)
				}
				m.mu.Lock()
				defer m.mu.Unlock()
				rate := float64(m.calls) / time.Since(start).Seconds()
				if rate > maxRate {
					t.Errorf("%.1f calls per second, want at most %d", rate, maxRate)
				}
				t.Logf("%.1f calls per second, changes arrive after at most %v", rate, latest)
			})
		})
	}
}

// TestFollowerReachableOnceListed guards against a store that still counts as unreachable right after the first listing: an instance then
// refused the reports of others.
func TestFollowerReachableOnceListed(t *testing.T) {
	for range 1000 {
		failed := false
		follow(t, func(_ *memory, f *store.Follower) { failed = !f.Reachable() })
		if failed {
			t.Fatal("the store counts as unreachable after the first listing")
		}
	}
}

// TestFollowerNeverGoesBack guards against replacing a row by an older version.
func TestFollowerNeverGoesBack(t *testing.T) {
	follow(t, func(_ *memory, f *store.Follower) {
		f.Merge([]store.Row{{Key: "a", Value: []byte("9"), Version: 9}})
		f.Merge([]store.Row{{Key: "a", Value: []byte("5"), Version: 5}})
		if got := value(f, "a"); got != "9" {
			t.Errorf("a is %q, want 9", got)
		}
	})
}

// noPeer is a merge function for followers without peers.
func noPeer(context.Context, *store.Follower) bool { return false }

// TestFollowerSavesCalls guards against a call to the store for each change of a group, and against frequent calls while the follower
// doesn't watch the store.
func TestFollowerSavesCalls(t *testing.T) {
	tests := []struct {
		name     string
		watch    bool
		maxCalls int
	}{
		{"awaiting", true, 20},
		{"not awaiting", false, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			follow(t, func(m *memory, _ *store.Follower) {
				for n := range 300 {
					m.put("a", string(rune('a'+n%26)))
					time.Sleep(10 * time.Millisecond)
				}
				m.mu.Lock()
				defer m.mu.Unlock()
				if m.calls > test.maxCalls {
					t.Errorf("%d calls for 300 changes in 3 s", m.calls)
				}
			}, store.WithWatch(func() bool { return test.watch }, noPeer))
		})
	}
}

// TestFollowerPeers guards against frequent calls to the store while a peer responds, and against rows that stay out of date if no peer
// responds or if the peer is cut off from the store.
func TestFollowerPeers(t *testing.T) {
	tests := []struct {
		name     string
		responds bool
		maxCalls int
		maxAge   time.Duration
	}{
		{"a peer responds", true, 4, 67 * time.Second},
		{"no peer responds", false, 33, 7 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			mergeFromPeer := func(context.Context, *store.Follower) bool { return test.responds }
			follow(t, func(m *memory, f *store.Follower) {
				start := time.Now()
				m.put("b", "1")
				for value(f, "b") != "1" && time.Since(start) < 3*time.Minute {
					time.Sleep(time.Second)
				}
				if age := time.Since(start); age > test.maxAge {
					t.Errorf("a row of the store arrived after %v", age)
				}
				time.Sleep(time.Until(start.Add(3 * time.Minute)))
				m.mu.Lock()
				defer m.mu.Unlock()
				if m.calls > test.maxCalls {
					t.Errorf("%d calls in 3 minutes", m.calls)
				}
			}, store.WithWatch(func() bool { return false }, mergeFromPeer))
		})
	}
}

// TestFollowerMergeUpTo guards against missing rows because the copy counted as complete too early: a single newer row doesn't make it
// complete.
func TestFollowerMergeUpTo(t *testing.T) {
	follow(t, func(_ *memory, f *store.Follower) {
		f.Merge([]store.Row{{Key: "b", Value: []byte("1"), Version: 20}})
		if f.Version() != 1 || f.Newest() != 20 {
			t.Errorf("complete up to %d, newest %d", f.Version(), f.Newest())
		}
		f.MergeUpTo(nil, 20)
		if f.Version() != 20 {
			t.Errorf("complete up to %d, want 20", f.Version())
		}
	}, store.WithWatch(func() bool { return false }, noPeer))
}

// TestFollowerLearnsOfRemovals guards against a copy that counts as complete although it holds a removed row, because it was brought up to
// date from another copy that doesn't know of the removal. It also guards against frequent calls to the store after that copy listed the
// table.
func TestFollowerLearnsOfRemovals(t *testing.T) {
	tests := []struct {
		name string
		// events remove the row b. They may start the peer, which follows the store from then on.
		events func(m *memory, f *store.Follower, startPeer func())
	}{
		{"the peer started after the removal", func(m *memory, _ *store.Follower, startPeer func()) {
			m.put("b", "1")
			time.Sleep(2 * time.Minute)
			m.remove("b")
			m.put("c", "1")
			startPeer()
		}},
		{"the peer has lost the history", func(m *memory, f *store.Follower, startPeer func()) {
			startPeer()
			time.Sleep(2 * time.Minute)
			m.set(func(m *memory) { m.unavailable = true })
			m.put("b", "1")
			f.Merge([]store.Row{{Key: "b", Value: []byte("1"), Version: m.version}})
			m.remove("b")
			m.put("c", "1")
			m.set(func(m *memory) { m.dropped, m.history, m.unavailable = m.version, nil, false })
		}},
		{"the peer knows of the removal", func(m *memory, _ *store.Follower, startPeer func()) {
			m.put("b", "1")
			time.Sleep(2 * time.Minute)
			startPeer()
			time.Sleep(2 * time.Minute)
			m.remove("b")
			m.put("c", "1")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var peer atomic.Pointer[store.Follower]
			mergeFromPeer := func(_ context.Context, f *store.Follower) bool {
				p := peer.Load()
				if p == nil {
					return false
				}
				rows, complete := p.ChangesAfter(f.Version())
				f.MergeUpTo(rows, complete)
				return complete > 0
			}
			follow(t, func(m *memory, f *store.Follower) {
				ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
				var group sync.WaitGroup
				test.events(m, f, func() {
					started := store.NewFollower(m, "t", nil)
					group.Go(func() { started.Run(ctx) })
					if err := started.Wait(ctx); err != nil {
						t.Fatal(err)
					}
					peer.Store(started)
				})
				var before int
				m.set(func(m *memory) { before = m.calls })
				time.Sleep(10 * time.Second)
				if row := f.Get("b"); value(f, "c") != "1" || f.Version() < m.version || !row.Deleted {
					t.Errorf("complete up to %d of %d with b %+v and c %q", f.Version(), m.version, row, value(f, "c"))
				}
				// Ends just before the follower's next call, which is due a minute after its last one.
				time.Sleep(50*time.Second - time.Millisecond)
				cancel()
				group.Wait()
				m.set(func(m *memory) {
					// Both read the changes and list the table; then the peer makes up to 4 calls that wait for 15 to 20 s.
					if calls := m.calls - before; calls > 8 {
						t.Errorf("%d calls in a minute", calls)
					}
				})
			}, store.WithWatch(func() bool { return false }, mergeFromPeer))
		})
	}
}

// TestFollowerMergeConflict guards against a copy that keeps a removed row for ever, so that each write that replaces the row conflicts. It
// also guards against a listing for each conflict.
func TestFollowerMergeConflict(t *testing.T) {
	for _, watch := range []bool{true, false} {
		t.Run(fmt.Sprintf("watch %v", watch), func(t *testing.T) {
			mergeFromPeer := func(context.Context, *store.Follower) bool { return true }
			follow(t, func(m *memory, f *store.Follower) {
				var calls int
				// The feed doesn't show the removal, as if it were older than the copy.
				m.set(func(m *memory) {
					delete(m.rows, "a")
					m.version++
					calls = m.calls
				})
				f.MergeUpTo(nil, 2)
				time.Sleep(time.Second)
				conflict := store.NewConflictError([]store.Row{{Table: "t", Key: "a"}, {Table: "t", Key: "z"}})
				for range 10 {
					f.MergeConflict(conflict)
					time.Sleep(50 * time.Millisecond)
				}
				if row := f.Get("a"); !row.Deleted || row.Version != 2 || f.Version() != 2 {
					t.Errorf("half a second later the copy has %+v and is complete up to %d", row, f.Version())
				}
				if !f.Reachable() {
					t.Error("the store counts as unreachable")
				}
				m.set(func(m *memory) {
					if m.listings != 2 || m.calls > calls+3 {
						t.Errorf("%d listings, %d further calls", m.listings, m.calls-calls)
					}
				})
			}, store.WithWatch(func() bool { return watch }, mergeFromPeer))
		})
	}
}

// TestFollowerDelivery guards against rows whose source and call aren't reported, so that logs can't tell a slow store from a slow link.
func TestFollowerDelivery(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		m := newMemory()
		m.put("a", "1")
		m.transfer = 300 * time.Millisecond
		var deliveries []store.Delivery
		f := store.NewFollower(m, "t", func(_ []store.Row, d store.Delivery) { deliveries = append(deliveries, d) })
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { f.Run(ctx) })
		time.Sleep(2 * time.Second)
		m.put("a", "2")
		time.Sleep(2 * time.Second)
		f.Merge([]store.Row{{Key: "a", Value: []byte("9"), Version: 9}})
		cancel()
		group.Wait()
		want := []store.Delivery{
			// A response without delay has its first byte after a nanosecond, since 0 stands for none.
			{Source: store.SourceListing, Waited: 1, Took: 300 * time.Millisecond},
			// The call for changes began right after the listing.
			{Source: store.SourceChanges, Waited: 1700 * time.Millisecond, Took: 2 * time.Second},
			{Source: store.SourceMerge},
		}
		if !slices.Equal(deliveries, want) {
			t.Errorf("deliveries %+v, want %+v", deliveries, want)
		}
	})
}

// TestFollowerCountsCalls guards against calls that the store doesn't answer but that no metric shows, and against a configuration whose
// delay after such calls isn't reported.
func TestFollowerCountsCalls(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		m := newMemory()
		m.put("a", "1")
		var last store.Delivery
		f := store.NewFollower(m, "t", func(_ []store.Row, d store.Delivery) { last = d })
		if _, ok := f.ConfirmedFor(); ok {
			t.Error("the copy counts as confirmed before the first response")
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { f.Run(ctx) })
		time.Sleep(time.Second)
		m.deafen()
		m.put("a", "2")
		time.Sleep(time.Minute)
		s := f.Stats()
		if s.Failed() == 0 || s.Unanswered() != s.Failed() || s.Answered() < 2 {
			t.Errorf("%d calls answered, %d failed, %d of them unanswered", s.Answered(), s.Failed(), s.Unanswered())
		}
		if value(f, "a") != "2" || last.InDoubt <= 0 {
			t.Errorf("a is %q after %v in doubt", value(f, "a"), last.InDoubt)
		}
		if age, ok := f.ConfirmedFor(); !ok || age > time.Minute {
			t.Errorf("last confirmed %v ago: %v", age, ok)
		}
		cancel()
		group.Wait()
	})
}

// TestFollowerVersionOutOfRange guards against a row that is never updated again, and changes that are skipped, after a copy with an odd
// version was merged from a peer.
func TestFollowerVersionOutOfRange(t *testing.T) {
	follow(t, func(m *memory, f *store.Follower) {
		f.MergeUpTo([]store.Row{{Key: "a", Value: []byte("odd"), Version: 1<<64 - 1}}, 1<<64-1)
		if f.Newest() != 1 || f.Version() != 1 || value(f, "a") != "1" {
			t.Errorf("a is %q, complete up to %d, newest %d", value(f, "a"), f.Version(), f.Newest())
		}
		m.put("a", "2")
		time.Sleep(time.Second)
		if got := value(f, "a"); got != "2" {
			t.Errorf("a is %q a second later, want 2", got)
		}
	})
}

// TestFollowerRowWithoutVersion guards against a row that counts as deleted because its version in a listing can't be read.
func TestFollowerRowWithoutVersion(t *testing.T) {
	follow(t, func(m *memory, f *store.Follower) {
		m.put("b", "1")
		time.Sleep(time.Second)
		m.set(func(m *memory) {
			m.rows["a"] = store.Row{Table: "t", Key: "a"}
			m.dropped, m.history = m.version+1, nil
			m.version++
		})
		time.Sleep(time.Second)
		if row := f.Get("a"); row.Deleted || string(row.Value) != "1" {
			t.Errorf("a is %+v", row)
		}
	})
}

// TestFollowerExpectsUnknownRow guards against calls that are abandoned again and again because a row is expected that the store doesn't
// have.
func TestFollowerExpectsUnknownRow(t *testing.T) {
	for _, version := range []uint64{1000, store.MaxVersion + 1} {
		follow(t, func(m *memory, f *store.Follower) {
			f.Expect(version)
			time.Sleep(time.Minute)
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.calls > 8 {
				t.Errorf("%d calls in a minute after version %d was expected", m.calls, version)
			}
		})
	}
}

// TestFollowerInDoubtUntilApplied guards against a copy that counts as up to date, after failed calls to the store, before the rows that
// the first response brings are applied.
func TestFollowerInDoubtUntilApplied(t *testing.T) {
	for _, historyLost := range []bool{false, true} {
		t.Run(fmt.Sprint("history lost: ", historyLost), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				m := newMemory()
				m.put("a", "1")
				var doubts []bool
				var f *store.Follower
				f = store.NewFollower(m, "t", func([]store.Row, store.Delivery) { doubts = append(doubts, f.InDoubt()) })
				ctx, cancel := context.WithCancel(t.Context())
				var group sync.WaitGroup
				group.Go(func() { f.Run(ctx) })
				time.Sleep(time.Second)
				m.set(func(m *memory) { m.unavailable = true })
				time.Sleep(5 * time.Second)
				m.put("a", "2")
				m.set(func(m *memory) {
					m.unavailable = false
					if historyLost {
						m.dropped = m.version
					}
				})
				time.Sleep(5 * time.Second)
				if f.InDoubt() {
					t.Error("the copy is in doubt after the store has answered")
				}
				cancel()
				group.Wait()
				if want := []bool{false, true}; !slices.Equal(doubts, want) {
					t.Errorf("in doubt while rows are applied: %v, want %v", doubts, want)
				}
			})
		})
	}
}

// TestFollowerHungFeed guards against a call for changes that hangs for its whole wait, and a store that counts as reachable, although the
// process knows newer rows than the call has delivered: a planner went on writing key maps without the records of 17 s.
func TestFollowerHungFeed(t *testing.T) {
	merge := func(_ *memory, f *store.Follower, row store.Row) { f.Merge([]store.Row{row}) }
	tests := []struct {
		name  string
		learn func(m *memory, f *store.Follower, row store.Row)
	}{
		{"own write", merge},
		{"an announcement", func(_ *memory, f *store.Follower, row store.Row) { f.Expect(row.Version) }},
		{"an announcement after an own write", func(m *memory, f *store.Follower, row store.Row) {
			merge(m, f, row)
			f.Expect(row.Version)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			follow(t, func(m *memory, f *store.Follower) {
				time.Sleep(time.Second)
				m.set(func(m *memory) { m.silent = true })
				m.put("other", "1")
				m.put("own", "1")
				test.learn(m, f, store.Row{Key: "own", Value: []byte("1"), Version: 3})
				time.Sleep(time.Second)
				if value(f, "other") != "1" || f.Version() != 3 || f.IncompleteFor() != 0 {
					t.Errorf("a second later, the copy is complete up to %d and has lacked rows for %v", f.Version(), f.IncompleteFor())
				}
			})
		})
	}
}

// TestFollowerSlowStore guards against a store that is listed again and again because it answers slowly, and against more calls of
// followers that don't watch the store.
func TestFollowerSlowStore(t *testing.T) {
	tests := []struct {
		name     string
		latency  time.Duration
		transfer time.Duration
		watch    bool
		// calls and listings bound the calls in a minute, after the first listing.
		calls, listings int
	}{
		{"fast", 4 * time.Millisecond, 0, true, 62, 0},
		{"slow", 320 * time.Millisecond, 0, true, 62, 0},
		{"slower than usual", 700 * time.Millisecond, 0, true, 65, 2},
		{"slow link", 20 * time.Millisecond, 500 * time.Millisecond, true, 62, 0},
		{"peers instead of the store", 320 * time.Millisecond, 500 * time.Millisecond, false, 2, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			peer := func(context.Context, *store.Follower) bool { return true }
			follow(t, func(m *memory, f *store.Follower) {
				m.set(func(m *memory) { m.latency, m.transfer, m.calls, m.listings = test.latency, test.transfer, 0, 0 })
				for n := range 60 {
					m.put("own", "1")
					if !test.watch {
						f.Expect(uint64(n + 2))
					}
					time.Sleep(test.latency / 4)
					f.Merge([]store.Row{{Key: "own", Value: []byte("1"), Version: uint64(n + 2)}})
					time.Sleep(time.Second - test.latency/4)
				}
				m.mu.Lock()
				defer m.mu.Unlock()
				if m.calls > test.calls || m.listings > test.listings {
					t.Errorf("%d calls in a minute, of which %d were listings; want at most %d and %d", m.calls, m.listings, test.calls,
						test.listings)
				}
				if !f.Reachable() {
					t.Error("the store counts as unreachable")
				}
			}, store.WithWatch(func() bool { return test.watch }, peer))
		})
	}
}

// TestFollowerUnknownAnnouncements guards against a listing for each announcement of a version that the store doesn't have.
func TestFollowerUnknownAnnouncements(t *testing.T) {
	follow(t, func(m *memory, f *store.Follower) {
		for range 180 {
			f.Expect(1000)
			time.Sleep(time.Second / 3)
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.calls > 8 {
			t.Errorf("%d calls in a minute", m.calls)
		}
	})
}

// TestFollowerReachableAgain guards against a store that counts as unreachable for a minute after one failed call, because other instances
// have all rows: an instance that has lost its lease would wait for as long before it joins again.
func TestFollowerReachableAgain(t *testing.T) {
	never := func() bool { return false }
	merges := 0
	responds := func(context.Context, *store.Follower) bool {
		merges++
		return true
	}
	follow(t, func(m *memory, f *store.Follower) {
		m.set(func(m *memory) { m.unavailable = true })
		time.Sleep(70 * time.Second)
		if f.Reachable() || merges < 10 {
			t.Errorf("reachable: %v after calls that failed, %d merges from another instance", f.Reachable(), merges)
		}
		m.mu.Lock()
		calls := m.calls
		m.mu.Unlock()
		m.set(func(m *memory) { m.unavailable = false })
		time.Sleep(15 * time.Second)
		if !f.Reachable() {
			t.Error("the store counts as unreachable 15 s after it is back")
		}
		if calls > 20 {
			t.Errorf("%d calls within 70 s", calls)
		}
	}, store.WithWatch(never, responds))
}
