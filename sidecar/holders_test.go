package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
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

	"sapphiretray/bubble"
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
		row.Table, row.Key = TableName, w.Key
		return 0, store.NewConflictError([]store.Row{row})
	}
	s.version++
	row := store.Row{Table: TableName, Key: w.Key, Value: w.Value, Version: s.version}
	s.rows[w.Key] = row
	s.writes = append(s.writes, row)
	return s.version, nil
}

// written returns the maps that were written, in order.
func (s *feedStore) written(t *testing.T) []*keyspace.Map {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	var maps []*keyspace.Map
	for _, row := range s.writes {
		m, err := keyspace.Decode(row.Value, row.Version)
		if err != nil {
			t.Fatal(err)
		}
		maps = append(maps, m)
	}
	return maps
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
	bubble.Test(t, func(t *testing.T) {
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

// mapWithPrevious returns the row of a map with one owner of all keys and its previous holders.
func mapWithPrevious(t *testing.T, version uint64, owner member.Incarnation, previous []member.Incarnation, row uint64) store.Row {
	t.Helper()
	m, err := keyspace.NewMap(version, []keyspace.Entry{{
		Range: keyspace.Range{Last: keyspace.MaxKey}, Epoch: version, Members: []member.Incarnation{owner}, Previous: previous,
	}})
	if err != nil {
		t.Fatal(err)
	}
	value, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return store.Row{Table: TableName, Key: keyspace.RowKey("bookings"), Value: value, Version: row}
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

// usableReports returns the reports of instances that can own keys and have claimed none.
func usableReports(instances ...member.Incarnation) map[member.Incarnation]*peer.ReportRequest {
	reports := make(map[member.Incarnation]*peer.ReportRequest)
	for _, i := range instances {
		reports[i] = &peer.ReportRequest{Service: "bookings", Instance: peer.FromIncarnation(i), Usable: true, Slots: 6}
	}
	return reports
}

// report sends the reports of instances to a planner until the test ends or stop is called.
func report(ctx context.Context, sc *Sidecar, instances ...member.Incarnation) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	sc.group.Go(func() error {
		for ctx.Err() == nil {
			for _, r := range usableReports(instances...) {
				sc.acceptReport(r)
			}
			select {
			case <-ctx.Done():
			case <-time.After(reportInterval):
			}
		}
		return nil
	})
	return cancel
}

// checkClaimed fails the test unless each key of a map is owned by or claimed from all given incarnations.
func checkClaimed(t *testing.T, m *keyspace.Map, holders ...member.Incarnation) {
	t.Helper()
	for _, e := range m.Entries() {
		for _, i := range holders {
			if e.Owner() != i && !slices.Contains(e.Previous, i) {
				t.Errorf("keys %s of %s aren't claimed from %s but from %v", e.Range, e.Owner(), i, e.Previous)
			}
		}
	}
}

// TestRestoredMapNamesHoldersOfLostRows guards against two owners of a key after a map is restored: an instance that got keys under a row
// that wasn't used, or whose record was removed, isn't asked to release them.
func TestRestoredMapNamesHoldersOfLostRows(t *testing.T) {
	owner, other := member.NewIncarnation("slot-3", 4), member.NewIncarnation("slot-4", 6)
	unknown, unknown2 := member.NewIncarnation("slot-7", 34), member.NewIncarnation("slot-8", 35)
	restarted := member.NewIncarnation("slot-4", 30)
	tests := []struct {
		name string
		rows []store.Row
		want []member.Incarnation
	}{
		{"owner without a record", []store.Row{mapOf(t, 8, unknown, 44)}, []member.Incarnation{unknown}},
		{
			"previous holder without a record",
			[]store.Row{mapWithPrevious(t, 8, unknown, []member.Incarnation{unknown2}, 44)},
			[]member.Incarnation{unknown, unknown2},
		},
		{
			"not newer than the known map",
			[]store.Row{mapWithPrevious(t, 7, unknown, []member.Incarnation{restarted}, 44)},
			[]member.Incarnation{unknown, restarted},
		},
		{
			"several rows",
			[]store.Row{mapOf(t, 8, unknown, 44), mapOf(t, 9, unknown2, 45), oddMap(46)},
			[]member.Incarnation{unknown, unknown2},
		},
		{
			"removed after another row",
			[]store.Row{mapOf(t, 8, unknown, 44), removed(keyspace.RowKey("bookings"), 45)},
			[]member.Incarnation{unknown},
		},
		{
			"odd, and a record was removed",
			[]store.Row{removed(member.RowKey("slot-4"), 32), oddMap(44)},
			[]member.Incarnation{other},
		},
		{
			"odd, and a record has a state that no running process writes", []store.Row{
				recordRow(t, member.Record{Incarnation: other, State: member.Left}, 32), oddMap(44),
			}, []member.Incarnation{other},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rows := []store.Row{recordRow(t, goodRecord(), 5), recordRow(t, witnessed(other), 6), mapOf(t, 7, owner, 20)}
			testPlanner(t, 25, rows, func(p plannerTest) {
				t, sc, s := p.t, p.sc, p.store
				for _, row := range test.rows {
					s.put(row)
					sc.rows.Merge([]store.Row{row})
				}
				sc.restoreMap(t.Context(), sc.directory.keyMap("bookings"), nil)
				written := s.written(t)
				if len(written) != 1 {
					t.Fatalf("%d maps were written", len(written))
				}
				checkClaimed(t, written[0], append(test.want, owner)...)
			})
		})
	}
}

// TestFirstPlanNamesPossibleHolders guards against two owners of a key after keys were assigned without a known map: an instance that may
// hold keys under an earlier map isn't asked to release them because it hasn't settled. It also guards against a new service whose
// instances ask each other for keys that none can hold.
func TestFirstPlanNamesPossibleHolders(t *testing.T) {
	first, second := member.NewIncarnation("slot-3", 4), member.NewIncarnation("slot-4", 6)
	later, unknown := member.NewIncarnation("slot-5", 31), member.NewIncarnation("slot-7", 34)
	listed := []store.Row{recordRow(t, witnessed(first), 5), recordRow(t, witnessed(second), 7)}
	tests := []struct {
		name          string
		listed, later []store.Row
		want          []member.Incarnation
	}{
		{"removed before the table was listed", listed, nil, []member.Incarnation{first, second}},
		{"removed", listed, []store.Row{removed(keyspace.RowKey("bookings"), 40)}, []member.Incarnation{first, second}},
		{
			"owner without a record, then odd", listed,
			[]store.Row{mapOf(t, 8, unknown, 44), oddMap(45)},
			[]member.Incarnation{first, second, unknown},
		},
		{
			"removed, and so was a record", listed,
			[]store.Row{removed(member.RowKey("slot-4"), 39), oddMap(40)},
			[]member.Incarnation{first, second},
		},
		{"new service", nil, []store.Row{recordRow(t, witnessed(later), 32)}, nil},
		{
			"new service, an instance is about to join",
			[]store.Row{recordRow(t, member.Record{Incarnation: first, State: member.Ready}, 5)},
			[]store.Row{recordRow(t, witnessed(later), 32)},
			nil,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			testPlanner(t, 25, test.listed, func(p plannerTest) {
				t, sc := p.t, p.sc
				for _, row := range test.later {
					sc.rows.Merge([]store.Row{row})
				}
				reports := usableReports(first, later)
				input := sc.buildPlanInput(sc.directory.keyMap("bookings"), reports)
				for _, i := range test.want {
					if !slices.Contains(input.Holders, i) {
						t.Errorf("%s isn't among the holders %v", i, input.Holders)
					}
				}
				if test.want == nil && len(input.Holders) > 0 {
					t.Errorf("holders %v of a new service", input.Holders)
				}
			})
		})
	}
}

// TestLostMapAwaitsRecords guards against two owners of a key after a map was replaced that this instance couldn't use: an instance that
// joined before, whose record hasn't arrived yet, isn't asked to release its keys.
func TestLostMapAwaitsRecords(t *testing.T) {
	owner, joined := member.NewIncarnation("slot-3", 4), member.NewIncarnation("slot-7", 34)
	record := recordRow(t, goodRecord(), 5)
	tests := []struct {
		name string
		rows []store.Row
		lost store.Row
	}{
		{"known map", []store.Row{record, mapOf(t, 7, owner, 20)}, oddMap(44)},
		{"known map removed", []store.Row{record, mapOf(t, 7, owner, 20)}, removed(keyspace.RowKey("bookings"), 44)},
		{"no known map", []store.Row{record}, oddMap(44)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			testPlanner(t, 25, test.rows, func(p plannerTest) {
				t, sc, s := p.t, p.sc, p.store
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				stop := report(ctx, sc, owner)
				defer stop()
				sc.group.Go(func() error {
					sc.runPlanner(ctx)
					return nil
				})
				s.put(recordRow(t, witnessed(joined), 34), test.lost)
				// The row of the map arrives from another instance, before the feed has the rows in between.
				sc.rows.Merge([]store.Row{test.lost})
				time.Sleep(2 * lostMapWait)
				if written := s.written(t); len(written) > 0 {
					t.Errorf("a map was written while the records were complete up to version %d", sc.rows.Version())
				}
				s.show(44)
				time.Sleep(time.Second)
				written := s.written(t)
				if len(written) == 0 {
					t.Fatal("no map was written")
				}
				checkClaimed(t, written[0], joined)
			})
		})
	}
}

// TestCandidatesAreRegistered guards against keys that no instance serves for seconds and against two owners of a key afterwards: a
// planner without the record of an instance gives it keys, and all others set the row aside, as does the planner. It also guards against
// an instance that waits for keys until the feed shows its record.
func TestCandidatesAreRegistered(t *testing.T) {
	owner := member.NewIncarnation("slot-3", 4)
	tests := []struct {
		name   string
		joined member.Incarnation
		// linked means that the other instances have the record.
		linked bool
	}{
		{"new instance", member.NewIncarnation("slot-7", 34), false},
		{"new instance, others have its record", member.NewIncarnation("slot-7", 34), true},
		{"restarted instance", member.NewIncarnation("slot-4", 34), false},
		{"restarted instance, others have its record", member.NewIncarnation("slot-4", 34), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reader := witnessed(owner)
			reader.DataCentre = "dc-0"
			earlier := member.NewIncarnation("slot-4", 6)
			rows := []store.Row{
				recordRow(t, reader, 5), recordRow(t, witnessed(earlier), 7),
				mapWithPrevious(t, 7, owner, nil, 20),
			}
			testPlanner(t, 25, rows, func(p plannerTest) {
				t, sc, s := p.t, p.sc, p.store
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				record := recordRow(t, witnessed(test.joined), 35)
				s.put(record)
				if test.linked {
					p.link.rows, p.link.version = []store.Row{record}, 35
				}
				defer report(ctx, sc, owner, test.joined)()
				sc.group.Go(func() error {
					sc.runPlanner(ctx)
					return nil
				})
				owns := func() bool {
					written := s.written(t)
					return len(written) > 0 && slices.Contains(written[len(written)-1].Holders(), test.joined)
				}
				time.Sleep(3 * planInterval / 2)
				if owns() != test.linked {
					t.Errorf("%s got keys: %v, although others have its record: %v", test.joined, owns(), test.linked)
				}
				time.Sleep(2 * time.Second)
				if owns() != test.linked {
					t.Errorf("%s got keys before its record was known", test.joined)
				}
				s.show(35)
				time.Sleep(time.Second)
				if keys := sc.directory.keyMap("bookings"); !owns() || keys.lostAt > 0 {
					t.Errorf("%s got keys: %v; the map was lost at row %d", test.joined, owns(), keys.lostAt)
				}
			})
		})
	}
}

// TestRecordsOfOtherInstancesEndWait guards against keys that can't move for as long as the planner's feed is silent, after it has learned
// of a row that it can't use, although other instances have the records that it lacks.
func TestRecordsOfOtherInstancesEndWait(t *testing.T) {
	owner, joined := member.NewIncarnation("slot-3", 4), member.NewIncarnation("slot-7", 34)
	tests := []struct {
		name string
		row  store.Row
		// written means that the planner has to write a map; otherwise it has to use the row.
		written bool
	}{
		{"odd row", oddMap(44), true},
		{"owner without a record", mapWithPrevious(t, 8, joined, []member.Incarnation{owner}, 44), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rows := []store.Row{recordRow(t, goodRecord(), 5), mapOf(t, 7, owner, 20)}
			testPlanner(t, 25, rows, func(p plannerTest) {
				t, sc, s := p.t, p.sc, p.store
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				record := recordRow(t, witnessed(joined), 34)
				s.put(record, test.row)
				p.link.rows, p.link.version = []store.Row{record, test.row}, 44
				defer report(ctx, sc, owner)()
				sc.group.Go(func() error {
					sc.runPlanner(ctx)
					return nil
				})
				sc.rows.Merge([]store.Row{test.row})
				time.Sleep(2 * planInterval)
				keys, written := sc.directory.keyMap("bookings"), s.written(t)
				if keys.lostAt > 0 || keys.keys.Version() <= 7 {
					t.Errorf("map version %d, lost at %d", keys.keys.Version(), keys.lostAt)
				}
				if test.written != (len(written) > 0) {
					t.Errorf("%d maps were written, want any: %v", len(written), test.written)
				}
				if test.written && len(written) > 0 {
					checkClaimed(t, written[0], joined)
				}
			})
		})
	}
}

// TestLostMapAwaitsOddRecord guards against two owners of a key after a map was lost: a running instance whose record was odd when the rows
// were listed isn't asked to release its keys. It also guards against keys without an owner for as long as a record stays odd.
func TestLostMapAwaitsOddRecord(t *testing.T) {
	owner, holder := member.NewIncarnation("slot-3", 4), member.NewIncarnation("slot-7", 9)
	for _, back := range []bool{true, false} {
		t.Run(fmt.Sprint("record comes back: ", back), func(t *testing.T) {
			odd := store.Row{Table: TableName, Key: member.RowKey("slot-7"), Value: []byte("{"), Version: 12}
			rows := []store.Row{recordRow(t, goodRecord(), 5), odd, oddMap(20)}
			testPlanner(t, 25, rows, func(p plannerTest) {
				t, sc, s := p.t, p.sc, p.store
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				defer report(ctx, sc, owner)()
				sc.group.Go(func() error {
					sc.runPlanner(ctx)
					return nil
				})
				time.Sleep(2 * lostMapWait)
				if written := s.written(t); len(written) > 0 {
					t.Error("a map was written before the record could come back")
				}
				if back {
					s.put(recordRow(t, witnessed(holder), 30))
					s.show(30)
				} else {
					time.Sleep(unlistedWait - 2*lostMapWait)
				}
				time.Sleep(time.Second)
				written := s.written(t)
				if len(written) == 0 {
					t.Fatal("no map was written")
				}
				if back {
					checkClaimed(t, written[0], holder)
				}
			})
		})
	}
}

// TestReportingHolderIsRegistered guards against two owners of a key after the record of a running instance was removed and can't be
// written again, because the store rejects that instance: its reports prove that it is registered, and it may hold keys.
func TestReportingHolderIsRegistered(t *testing.T) {
	holder, owner := member.NewIncarnation("slot-7", 3), member.NewIncarnation("slot-3", 4)
	testPlanner(t, 25, []store.Row{recordRow(t, goodRecord(), 5), mapOf(t, 7, owner, 20)}, func(p plannerTest) {
		t, sc, s := p.t, p.sc, p.store
		s.show(44)
		stop := report(t.Context(), sc, holder, owner)
		defer stop()
		time.Sleep(time.Second)
		sc.rows.Merge([]store.Row{mapOf(t, 8, holder, 44)})
		time.Sleep(2 * unlistedWait)
		if sc.Ended(holder) {
			t.Errorf("%s counts as ended although it reports a valid lease", holder)
		}
	})
}
