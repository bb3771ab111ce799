package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"sapphiretray/heartbeat"
	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/store"
)

// fetchLink serves the fetches of a process from other instances. Its other calls fail.
type fetchLink struct {
	mu sync.Mutex
	// rows are the rows that the other instances have, complete up to version.
	rows    []store.Row
	version uint64
}

// RoundTrip implements http.RoundTripper.
func (l *fetchLink) RoundTrip(r *http.Request) (*http.Response, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.version == 0 || !strings.HasSuffix(r.URL.Path, "/Fetch") {
		return nil, errors.ErrUnsupported
	}
	value, err := json.Marshal(l.rows)
	if err != nil {
		return nil, err
	}
	body, err := proto.Marshal(&peer.FetchResponse{Value: value, Version: l.version})
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/protobuf"}}, Body: io.NopCloser(bytes.NewReader(body)),
	}, err
}

// feedStore is a store whose feed shows the rows up to a version only.
type feedStore struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	version uint64
	// shown is the version up to which listings and the feed are complete.
	shown uint64
	// writes are the rows that were written by Commit, in order.
	writes []store.Row
}

// put stores rows without showing them.
func (s *feedStore) put(rows ...store.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		s.rows[row.Key] = row
		s.version = max(s.version, row.Version)
	}
}

// show makes the feed complete up to a version.
func (s *feedStore) show(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shown = version
}

// shownAfter returns the shown rows that are newer than a version.
func (s *feedStore) shownAfter(version uint64) ([]store.Row, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []store.Row
	for _, row := range s.rows {
		if row.Version > version && row.Version <= s.shown {
			rows = append(rows, row)
		}
	}
	return rows, s.shown
}

// List implements store.Store.
func (s *feedStore) List(context.Context, string) ([]store.Row, uint64, error) {
	rows, version := s.shownAfter(0)
	return slices.DeleteFunc(rows, func(r store.Row) bool { return r.Deleted }), version, nil
}

// Changes implements store.Store.
func (s *feedStore) Changes(ctx context.Context, _ string, after uint64, timeout time.Duration) ([]store.Row, uint64, error) {
	for started := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		rows, version := s.shownAfter(after)
		if version > after || ctx.Err() != nil || time.Since(started) > timeout {
			return rows, max(version, after), ctx.Err()
		}
	}
}

// Commit implements store.Store.
func (s *feedStore) Commit(_ context.Context, t store.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := t.Writes[0]
	if row := s.rows[w.Key]; row.Version != t.Conditions[0].Version && !row.Deleted {
		return 0, store.NewConflictError([]store.Row{row})
	}
	s.version++
	row := store.Row{Table: TableName, Key: w.Key, Value: w.Value, Version: s.version}
	s.rows[w.Key] = row
	s.writes = append(s.writes, row)
	return s.version, nil
}

// plannerTest is a process with a copy of the rows of a store, and links to other instances.
type plannerTest struct {
	t     *testing.T
	sc    *Sidecar
	store *feedStore
	link  *fetchLink
}

// testPlanner runs a process with a copy of the rows of a store, on the paused clock. The listing has the given rows and version.
func testPlanner(t *testing.T, listed uint64, rows []store.Row, test func(p plannerTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &feedStore{rows: make(map[string]store.Row), version: listed, shown: listed}
		s.put(rows...)
		sc := New(Settings{Slot: "slot-0", Service: "bookings", DataCentre: "dc-0"}, Adapters{Store: s})
		sc.rows = store.NewFollower(s, TableName, sc.applyRows)
		sc.endpoint = heartbeat.New(member.NewIncarnation("slot-0", 0), heartbeat.WithTiming(timing()))
		link := &fetchLink{}
		sc.dialer, sc.group = peer.NewDialer(link), &errgroup.Group{}
		sc.group.Go(func() error {
			sc.rows.Run(ctx)
			return nil
		})
		defer func() {
			cancel()
			_ = sc.group.Wait()
		}()
		if err := sc.rows.Wait(ctx); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		sc.endSilence()
		test(plannerTest{t: t, sc: sc, store: s, link: link})
	})
}

// witnessed returns a ready record with witnesses.
func witnessed(i member.Incarnation) member.Record {
	return member.Record{Incarnation: i, State: member.Ready, Capacity: 6, Witnesses: []string{"slot-4", "slot-5", "slot-6"}}
}

// oddMap returns a row of the key map that can't be decoded.
func oddMap(version uint64) store.Row {
	return store.Row{Table: TableName, Key: keyspace.RowKey("bookings"), Value: []byte("\x00\xff"), Version: version}
}

// removed returns the row that results from the removal of another one.
func removed(key string, version uint64) store.Row {
	return store.Row{Table: TableName, Key: key, Version: version, Deleted: true}
}

// TestHolderThatWasNeverRegistered guards against keys that are claimed for ever from an incarnation that doesn't exist, because another
// writer's map names it, and against one that is taken for absent while its record may not have arrived, so that two upstreams hold a key.
func TestHolderThatWasNeverRegistered(t *testing.T) {
	newer, older := member.NewIncarnation("slot-7", 34), member.NewIncarnation("slot-7", 3)
	tests := []struct {
		name   string
		holder member.Incarnation
		// shown is the version up to which the feed is complete, and after the time since the listing.
		shown uint64
		after time.Duration
		rows  []store.Row
		want  bool
	}{
		{"the rows are complete", newer, 44, 0, nil, true},
		{"the rows are incomplete", newer, 43, time.Minute, nil, false},
		{"a later map isn't covered", newer, 44, 0, []store.Row{oddMap(45)}, false},
		{"registered", newer, 44, time.Minute, []store.Row{recordRow(t, witnessed(newer), 35)}, false},
		{"record removed", newer, 44, time.Minute, []store.Row{removed(member.RowKey("slot-7"), 36)}, false},
		{"record replaced by an odd one", newer, 44, time.Minute, []store.Row{{Key: member.RowKey("slot-7"), Version: 36}}, false},
		{"an earlier incarnation is registered", newer, 44, 0, []store.Row{recordRow(t, witnessed(older), 30)}, true},
		{"may have been removed before the listing", older, 44, 5 * time.Second, nil, false},
		{"older than the listing, not back in time", older, 44, unlistedWait, nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			owner := member.NewIncarnation("slot-3", 4)
			rows := []store.Row{recordRow(t, goodRecord(), 5), mapOf(t, 7, owner, 20)}
			testPlanner(t, 25, rows, func(p plannerTest) {
				t, sc, s := p.t, p.sc, p.store
				s.show(test.shown)
				time.Sleep(time.Second)
				sc.rows.Merge(append(test.rows, mapOf(t, 8, test.holder, 44)))
				time.Sleep(test.after)
				if got := sc.Ended(test.holder); got != test.want {
					t.Errorf("%s counts as ended: %v, want %v; rows complete up to %d", test.holder, got, test.want, sc.rows.Version())
				}
			})
		})
	}
}
