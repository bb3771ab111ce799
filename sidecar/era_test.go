package sidecar

import (
	"context"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/bubble"
	"sapphiretray/gateway"
	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/store"
)

// lostRow returns the row that tells that the store lacks another one in a new era.
func lostRow(key string, version uint64) store.Row {
	return store.Row{Table: TableName, Key: key, Version: version, Deleted: true, Lost: true}
}

// TestKeyMapOfEarlierEra guards against a key map from before a loss of the store's last seconds that is planned on, or claimed from, as if
// it were the newest: another one may have been in use that the store has lost, or the row was written late.
func TestKeyMapOfEarlierEra(t *testing.T) {
	owner := member.NewIncarnation("slot-3", 4)
	second := func(counter uint64) uint64 { return store.NewVersion(1, counter) }
	tests := []struct {
		name string
		// rows are read in the new era.
		rows []store.Row
		// known is the version of the map that is used afterwards, lostAt that at which the row lost its map.
		known, lostAt           uint64
		earlierEra, unconfirmed bool
		fresh                   bool
	}{
		{"the same row", []store.Row{mapOf(t, 7, owner, second(20))}, 7, second(20), true, false, false},
		{"an older row", []store.Row{mapOf(t, 6, owner, second(18))}, 7, second(18), true, false, false},
		{"a newer row", []store.Row{mapOf(t, 19, owner, second(20))}, 7, second(20), true, false, false},
		{"a lost row", []store.Row{lostRow(keyspace.RowKey("bookings"), second(21))}, 7, second(21), true, false, false},
		{"a map of the new era", []store.Row{mapOf(t, second(22), owner, second(23))}, second(22), 0, false, false, false},
		{
			"written late over a map of the new era",
			[]store.Row{mapOf(t, second(22), owner, second(23)), mapOf(t, 24, owner, second(24))},
			second(22), second(24), false, false, false,
		},
		{"the same row, new process", []store.Row{mapOf(t, 7, owner, second(20))}, 7, second(20), true, true, true},
		{
			"rows of two eras, new process",
			[]store.Row{mapOf(t, 7, owner, second(20)), mapOf(t, 8, owner, store.NewVersion(2, 9))},
			7, store.NewVersion(2, 9), true, true, true,
		},
		{
			"a map of the new era, new process",
			[]store.Row{mapOf(t, 7, owner, second(20)), mapOf(t, second(22), owner, second(23))},
			second(22), 0, false, false, true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDirectory("slot-0")
			if !test.fresh {
				d.apply([]store.Row{mapOf(t, 7, owner, 20), recordRow(t, goodRecord(), 5)})
			}
			before := d.keyMap("bookings").lastFence()
			d.apply([]store.Row{recordRow(t, goodRecord(), second(5))})
			for _, row := range test.rows {
				d.apply([]store.Row{row})
			}
			got := d.keyMap("bookings")
			if got.keys.Version() != test.known || got.lostAt != test.lostAt {
				t.Errorf("map version %d, lost at %d, want %d, %d", got.keys.Version(), got.lostAt, test.known, test.lostAt)
			}
			if got.earlierEra != test.earlierEra || got.unconfirmed != test.unconfirmed {
				t.Errorf("earlier era %v, unconfirmed %v", got.earlierEra, got.unconfirmed)
			}
			if target, ok := d.Owner("bookings", 100); !ok || target.Slot != "slot-3" {
				t.Errorf("key 100 is routed to %q", target.Slot)
			}
			if got.lastFence() < before || test.lostAt > 0 && got.lastFence() >= keyspace.Fence(test.lostAt+1, 0) {
				t.Errorf("last fencing token %d after %d", got.lastFence(), before)
			}
		})
	}
}

// TestLostRecordStaysInUse guards against requests that find no instance because the store has lost the record of one that runs, and
// against one that stays for ever although it doesn't.
func TestLostRecordStaysInUse(t *testing.T) {
	tests := []struct {
		name string
		// written is when the record is written again, 0 if it isn't.
		written, after time.Duration
		want           bool
	}{
		{"at first", 0, 0, true},
		{"until it must have been written", 0, 9 * time.Second, true},
		{"not written", 0, 11 * time.Second, false},
		{"written", time.Second, time.Minute, true},
	}
	for _, test := range tests {
		bubble.Test(t, func(t *testing.T) {
			sc := New(Settings{Slot: "slot-0", Service: "bookings"}, Adapters{})
			sc.rows.Merge([]store.Row{recordRow(t, goodRecord(), 5)})
			sc.rows.Merge([]store.Row{lostRow(member.RowKey("slot-3"), store.NewVersion(1, 4))})
			if test.written > 0 {
				time.Sleep(test.written)
				sc.rows.Merge([]store.Row{recordRow(t, goodRecord(), store.NewVersion(1, 5))})
			}
			time.Sleep(test.after)
			if got := len(sc.directory.Targets("bookings")) == 1; got != test.want {
				t.Errorf("%s: the instance is a target: %v, want %v", test.name, got, test.want)
			}
		})
	}
}

// TestRestoredMapAfterNewEra guards against two owners of a key after a return of the store from a copy: the restored map has a version
// that an earlier one had, or keys aren't claimed from an instance whose record the store has lost.
func TestRestoredMapAfterNewEra(t *testing.T) {
	owner, joined := member.NewIncarnation("slot-3", 4), member.NewIncarnation("slot-7", 34)
	rows := []store.Row{recordRow(t, goodRecord(), 5), mapOf(t, 7, owner, 20)}
	testPlanner(t, 25, rows, func(p plannerTest) {
		t, sc, s := p.t, p.sc, p.store
		version := store.NewVersion(1, 30)
		// The row is old, as are the transactions that the store hasn't lost.
		s.put(mapOf(t, 7, owner, store.NewVersion(1, 20)), recordRow(t, goodRecord(), version))
		s.show(version)
		time.Sleep(time.Second)
		if sc.Ended(joined) {
			t.Errorf("%s counts as ended although the store may have lost its record", joined)
		}
		current := sc.directory.keyMap("bookings")
		sc.restoreMap(t.Context(), current, usableReports(owner, joined))
		written := s.written(t)
		if len(written) != 1 {
			t.Fatalf("%d maps were written", len(written))
		}
		checkClaimed(t, written[0], owner, joined)
		for _, e := range written[0].Entries() {
			if e.Epoch <= version {
				t.Errorf("keys %s have epoch %d, and the store had version %d", e.Range, e.Epoch, version)
			}
		}
	})
}

// TestFirstPlanAfterNewEra guards against a first map that names no holders although the store may have lost an earlier one.
func TestFirstPlanAfterNewEra(t *testing.T) {
	first, second := member.NewIncarnation("slot-3", 4), member.NewIncarnation("slot-7", 34)
	rows := []store.Row{recordRow(t, witnessed(first), store.NewVersion(1, 5))}
	testPlanner(t, store.NewVersion(1, 25), rows, func(p plannerTest) {
		t, sc, s := p.t, p.sc, p.store
		reports := usableReports(first, second)
		if !sc.mapWasLost(mapRow{}, reports) {
			t.Error("the planner doesn't wait for instances that know the map")
		}
		sc.directory.apply([]store.Row{recordRow(t, witnessed(second), store.NewVersion(1, 24))})
		sc.plan(t.Context(), mapRow{}, reports)
		written := s.written(t)
		if len(written) != 1 {
			t.Fatalf("%d maps were written", len(written))
		}
		checkClaimed(t, written[0], first, second)
	})
}

// TestFirstEraIsBase guards against a process that takes the first era that it hears of for a new one: the first map of a service would
// claim keys from instances that have never had any.
func TestFirstEraIsBase(t *testing.T) {
	record := recordRow(t, witnessed(member.NewIncarnation("slot-3", store.NewVersion(3, 6))), store.NewVersion(3, 7))
	tests := []struct {
		name string
		// listed is the version of the first listing, which has rows.
		listed uint64
		rows   []store.Row
		// want is the number of possible holders once the record has arrived.
		want int
	}{
		{"empty listing", store.NewVersion(3, 5), nil, 0},
		{"empty store", store.NewVersion(3, 0), nil, 0},
		{"other rows", store.NewVersion(3, 5), []store.Row{{Key: "other", Version: store.NewVersion(3, 5)}}, 0},
		{"record in the listing", store.NewVersion(3, 7), []store.Row{record}, 1},
		{"earlier era", store.NewVersion(2, 5), nil, 1},
	}
	for _, test := range tests {
		d := newDirectory("slot-0")
		d.apply(test.rows)
		d.markListed(test.listed)
		d.apply([]store.Row{record})
		if holders := d.holdersBeforeListing("bookings"); len(holders) != test.want {
			t.Errorf("%s: possible holders %v, want %d", test.name, holders, test.want)
		}
	}
}

// refusingStore is a store that counts and refuses writes while refuses is set.
type refusingStore struct {
	*feedStore
	refuses bool
	calls   int
}

// Commit implements store.Store.
func (s *refusingStore) Commit(ctx context.Context, t store.Transaction) (uint64, error) {
	s.calls++
	if s.refuses {
		return 0, store.ErrUnavailable
	}
	return s.feedStore.Commit(ctx, t)
}

// TestRecordWrittenAgain guards against an instance whose record stays lost, one that writes its record although the store still has it,
// and one that tries without a pause while the store refuses writes.
func TestRecordWrittenAgain(t *testing.T) {
	record := goodRecord()
	record.State, record.Service = member.Draining, "bookings"
	record.PeerAddress, record.HeartbeatAddress = "10.1.0.1:7401", "10.1.0.1:7410"
	own := recordRow(t, record, store.NewVersion(1, 5))
	older := record
	older.Incarnation = member.NewIncarnation("slot-3", 2)
	tests := []struct {
		name    string
		row     store.Row
		refuses time.Duration
		// writes bounds the calls to the store, the refused ones included.
		minWrites, maxWrites int
	}{
		{"unchanged", own, 0, 0, 0},
		{"lost", lostRow(member.RowKey("slot-3"), store.NewVersion(1, 8)), 0, 1, 1},
		{"earlier incarnation", recordRow(t, older, store.NewVersion(1, 6)), 0, 1, 1},
		{
			"earlier incarnation, while the store refuses writes",
			recordRow(t, older, store.NewVersion(1, 6)), 10 * time.Second, 9, 13,
		},
		{"lost, while the store refuses writes", lostRow(member.RowKey("slot-3"), store.NewVersion(1, 8)), 10 * time.Second, 9, 13},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				feed := &feedStore{rows: make(map[string]store.Row)}
				s := &refusingStore{feedStore: feed, refuses: test.refuses > 0}
				sc := New(Settings{Slot: "slot-3", Service: "bookings"}, Adapters{Store: s})
				sc.gateway = gateway.New(new(errgroup.Group), "bookings", "", struct{ gateway.Protocol }{})
				sc.rows.Merge([]store.Row{recordRow(t, record, 20)})
				sess := &session{sidecar: sc, record: record, version: 20}
				// The store has the rows of the new era, complete up to version 9.
				feed.put(store.Row{Key: "other", Version: store.NewVersion(1, 9)})
				if !test.row.Lost {
					feed.put(test.row)
				}
				sc.rows.MergeUpTo([]store.Row{test.row}, store.NewVersion(1, 9))
				for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(retryWait) {
					s.refuses = time.Since(began) < test.refuses
					sess.updateRecord(t.Context())
				}
				if s.calls < test.minWrites || s.calls > test.maxWrites {
					t.Errorf("%d writes, want %d to %d", s.calls, test.minWrites, test.maxWrites)
				}
				stored, err := decodeRecord(sc.rows.Get(member.RowKey("slot-3")))
				if err != nil || stored.Incarnation != record.Incarnation || slices.Contains([]uint64{0, 20}, sess.version) {
					t.Errorf("the record is %+v, error %v, row %d", stored, err, sess.version)
				}
			})
		})
	}
}
