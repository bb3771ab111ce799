package store_test

import (
	"testing"
	"time"

	"sapphiretray/store"
)

// TestFollowerIncompleteFor guards against a copy that counts as complete although a newer row is known, or as incomplete for ever because
// rows are written all the time or because a version was announced that the store doesn't have.
func TestFollowerIncompleteFor(t *testing.T) {
	own := func(f *store.Follower, version uint64) {
		f.Merge([]store.Row{{Key: "own", Value: []byte("1"), Version: version}})
	}
	never := func() bool { return false }
	tests := []struct {
		name     string
		events   func(m *memory, f *store.Follower)
		min, max time.Duration
		options  []store.Option
	}{
		{"no newer row", func(*memory, *store.Follower) { time.Sleep(time.Minute) }, 0, 0, nil},
		{"the feed delivers a row", func(m *memory, _ *store.Follower) {
			m.put("b", "1")
			time.Sleep(time.Second)
		}, 0, 0, nil},
		{"a merged row", func(_ *memory, f *store.Follower) {
			own(f, 20)
			time.Sleep(5 * time.Second)
		}, 5 * time.Second, 5 * time.Second, []store.Option{store.WithWatch(never, noPeer)}},
		{"a merged row, then complete rows of a peer", func(_ *memory, f *store.Follower) {
			own(f, 20)
			time.Sleep(5 * time.Second)
			f.MergeUpTo(nil, 20)
		}, 0, 0, []store.Option{store.WithWatch(never, noPeer)}},
		{"rows of a peer that has some of them", func(_ *memory, f *store.Follower) {
			own(f, 20)
			time.Sleep(3 * time.Second)
			own(f, 30)
			time.Sleep(2 * time.Second)
			f.MergeUpTo(nil, 25)
		}, 2 * time.Second, 2 * time.Second, []store.Option{store.WithWatch(never, noPeer)}},
		{"own rows without a pause", func(m *memory, f *store.Follower) {
			for n := range 1000 {
				m.put("own", "1")
				own(f, uint64(n+2))
				time.Sleep(10 * time.Millisecond)
			}
		}, 0, 350 * time.Millisecond, nil},
		{"a version that the store doesn't have", func(_ *memory, f *store.Follower) {
			f.Expect(1000)
			time.Sleep(2 * time.Second)
		}, 0, 0, nil},
		{"a version out of range", func(_ *memory, f *store.Follower) {
			f.Expect(store.MaxVersion + 1)
			time.Sleep(100 * time.Millisecond)
		}, 0, 0, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			follow(t, func(m *memory, f *store.Follower) {
				test.events(m, f)
				if got := f.IncompleteFor(); got < test.min || got > test.max {
					t.Errorf("incomplete for %v, want %v to %v", got, test.min, test.max)
				}
			}, test.options...)
		})
	}
}
