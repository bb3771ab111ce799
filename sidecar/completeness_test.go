package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/store"
)

// laggingStore is a store whose feed delivers no rows above a version to this process. All other calls work.
type laggingStore struct {
	mu      sync.Mutex
	rows    []store.Row
	version uint64
	// fed is the last version that the feed delivers. If hung, the feed doesn't respond while there are newer rows, otherwise it responds
	// without them.
	fed  uint64
	hung bool
	// commits counts the transactions.
	commits int
}

// newLaggingStore returns a store with the rows, whose feed delivers all rows.
func newLaggingStore(rows []store.Row, version uint64) *laggingStore {
	return &laggingStore{rows: rows, version: version, fed: store.MaxVersion}
}

// put writes a row and returns its version.
func (s *laggingStore) put(row store.Row) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row.Table, row.Version = TableName, s.version
	s.rows = append(s.rows, row)
	return s.version
}

// stopFeed makes the feed deliver no further rows, and not respond if hung is true.
func (s *laggingStore) stopFeed(hung bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fed, s.hung = s.version, hung
}

// resumeFeed makes the feed deliver all rows.
func (s *laggingStore) resumeFeed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fed = store.MaxVersion
}

// written returns the number of transactions.
func (s *laggingStore) written() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// Commit implements store.Store.
func (s *laggingStore) Commit(_ context.Context, t store.Transaction) (uint64, error) {
	s.mu.Lock()
	s.commits++
	s.mu.Unlock()
	w := t.Writes[0]
	return s.put(store.Row{Key: w.Key, Value: w.Value}), nil
}

// List implements store.Store.
func (s *laggingStore) List(context.Context, string) ([]store.Row, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]store.Row{}, s.rows...), s.version, nil
}

// Changes implements store.Store.
func (s *laggingStore) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]store.Row, uint64, error) {
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		version, lags, hung := min(s.version, s.fed), s.version > s.fed, s.hung
		var rows []store.Row
		for _, r := range s.rows {
			if r.Version > after && r.Version <= version {
				rows = append(rows, r)
			}
		}
		s.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return nil, 0, ctx.Err()
		case len(rows) > 0, lags && !hung, time.Now().After(end):
			return rows, max(after, version), nil
		}
	}
}

// runPlannerOf runs the planner of a process that knows of the given number of instances, and the copy of its rows, while test runs. All
// records are at most at version 100, that of the store.
func runPlannerOf(t *testing.T, instances int, test func(sc *Sidecar, s *laggingStore)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		sc := newLinkedSidecar(t, &slowLink{took: time.Millisecond}, instances)
		var rows []store.Row
		for n := range instances {
			rows = append(rows, linkedRecordRow(t, n, 1, uint64(n+1)))
		}
		s := newLaggingStore(rows, 100)
		sc.adapters.Store = s
		sc.rows = store.NewFollower(s, TableName, sc.applyRows, store.WithWatch(sc.isReader, sc.fetchFromReader))
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for _, task := range []func(context.Context){sc.rows.Run, sc.runPlanner} {
			group.Go(func() { task(ctx) })
		}
		defer func() {
			cancel()
			group.Wait()
			_ = sc.group.Wait()
		}()
		if err := sc.rows.Wait(ctx); err != nil {
			t.Fatal(err)
		}
		test(sc, s)
	})
}

// reportFor sends reports of incarnations to a process for some time, and returns whether the last one was accepted.
func reportFor(sc *Sidecar, d time.Duration, incarnations ...member.Incarnation) (accepted bool) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(reportInterval) {
		for _, i := range incarnations {
			accepted = sc.acceptReport(&peer.ReportRequest{
				Service: "books", Instance: peer.FromIncarnation(i), Usable: true, Slots: 6,
			})
		}
	}
	return accepted
}

// TestPlannerLacksRows guards against a planner that gives keys away, and doesn't leave that to the next instance in the order of planners,
// although the store's feed has stopped delivering records to it.
func TestPlannerLacksRows(t *testing.T) {
	runPlannerOf(t, 4, func(sc *Sidecar, s *laggingStore) {
		a, b, c := member.NewIncarnation("10.0.0.1", 1), member.NewIncarnation("10.0.0.2", 1), member.NewIncarnation("10.0.0.3", 1)
		if !reportFor(sc, 4*time.Second, a) || s.written() != 1 {
			t.Fatalf("%d key maps written, want 1", s.written())
		}
		s.stopFeed(false)
		// Another instance gets keys, and the planner's own write shows it that its feed lags.
		reportFor(sc, 2*time.Second, a, b)
		written := s.written()
		if written < 2 {
			t.Fatalf("%d key maps written, want 2", written)
		}
		if reportFor(sc, 3*time.Second, a, b, c) {
			t.Error("reports are accepted while rows are missing")
		}
		if s.written() != written {
			t.Errorf("%d key maps written while rows were missing, want %d", s.written(), written)
		}
		s.resumeFeed()
		if !reportFor(sc, 3*time.Second, a, b, c) || s.written() == written {
			t.Errorf("%d key maps written after the missing rows arrived", s.written())
		}
	})
}

// TestLostMapIsNotRestoredWithoutRows guards against a restored key map without the holders whose records are missing.
func TestLostMapIsNotRestoredWithoutRows(t *testing.T) {
	runPlannerOf(t, 3, func(sc *Sidecar, s *laggingStore) {
		a := member.NewIncarnation("10.0.0.1", 1)
		reportFor(sc, 4*time.Second, a)
		s.stopFeed(false)
		sc.rows.Merge([]store.Row{{Key: "other", Version: s.put(store.Row{Key: "other"})}})
		time.Sleep(2 * time.Second)
		written := s.written()
		sc.rows.Merge([]store.Row{{Key: "map/books", Value: []byte("{"), Version: s.put(store.Row{Key: "map/books", Value: []byte("{")})}})
		time.Sleep(3 * time.Second)
		if s.written() != written {
			t.Error("the map is restored while rows are missing")
		}
		s.resumeFeed()
		time.Sleep(3 * time.Second)
		if s.written() == written {
			t.Error("the map isn't restored after the missing rows arrived")
		}
	})
}

// TestReportRevealsMissingRecord guards against a planner that goes on with a hung call to the store although an instance reports to it
// whose record the call hasn't delivered.
func TestReportRevealsMissingRecord(t *testing.T) {
	tests := []struct {
		name string
		// number is the number of the incarnation, which replaced an old record or a newer one.
		number uint64
	}{
		{"newest version", 101},
		{"old record", 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runPlannerOf(t, 3, func(sc *Sidecar, s *laggingStore) {
				time.Sleep(time.Second)
				s.stopFeed(true)
				s.put(linkedRecordRow(t, 1, test.number, 0))
				reporter := member.NewIncarnation("10.0.0.1", test.number)
				reportFor(sc, time.Second, reporter)
				if r, ok := sc.directory.record("10.0.0.1"); !ok || r.Incarnation != reporter {
					t.Errorf("a second after the first report, the record names %s, want %s", r.Incarnation, reporter)
				}
			})
		})
	}
}

// TestNextPlannerTakesOver guards against a service without a planner because the next instance in the order refuses reports: one that gets
// the rows from other instances every few seconds often knows of rows that it lacks.
func TestNextPlannerTakesOver(t *testing.T) {
	runPlannerOf(t, 60, func(sc *Sidecar, s *laggingStore) {
		if sc.isReader() {
			t.Fatal("the instance is a reader")
		}
		time.Sleep(time.Second)
		sc.rows.Merge([]store.Row{{Key: "other", Version: s.put(store.Row{Key: "other"})}})
		time.Sleep(3 * time.Second)
		if lacked := sc.rows.IncompleteFor(); lacked != 3*time.Second {
			t.Fatalf("rows have been missing for %v", lacked)
		}
		a := member.NewIncarnation("10.0.0.1", 1)
		for range 10 {
			if !reportFor(sc, reportInterval, a) {
				t.Error("a report isn't accepted")
			}
		}
		if s.written() != 1 || sc.rows.IncompleteFor() > 0 {
			t.Errorf("%d key maps written, rows missing for %v", s.written(), sc.rows.IncompleteFor())
		}
	})
}

// linkedRecordRow returns the row with the record of an instance of newLinkedSidecar.
func linkedRecordRow(t *testing.T, n int, number, version uint64) store.Row {
	t.Helper()
	slot := fmt.Sprint("10.0.0.", n)
	value, err := json.Marshal(member.Record{
		Incarnation: member.NewIncarnation(slot, number), Service: "books", DataCentre: fmt.Sprint("dc-", n%3),
		PeerAddress: slot + ":1", HeartbeatAddress: slot + ":2", State: member.Ready,
	})
	if err != nil {
		t.Fatal(err)
	}
	return store.Row{Table: TableName, Key: member.RowKey(slot), Value: value, Version: version}
}

// TestReportRefutesExpiry guards against a live owner that is left out of all later lists of earlier holders because its lease counts as
// expired, although it has reported a valid one since.
func TestReportRefutesExpiry(t *testing.T) {
	runPlannerOf(t, 3, func(sc *Sidecar, _ *laggingStore) {
		owner := member.NewIncarnation("10.0.0.1", 1)
		sc.planner.startProof(owner)
		sc.planner.endProof(owner, true)
		if !sc.endedOrExpired(owner) {
			t.Fatal("the proof doesn't count")
		}
		reportFor(sc, reportInterval, owner)
		if sc.endedOrExpired(owner) {
			t.Error("the lease counts as expired after a report of a valid one")
		}
	})
}
