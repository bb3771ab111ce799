package sidecar

import (
	"strings"
	"testing"
	"time"

	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/store"
)

// mapOf returns the row of a map, of a version, with one owner of all keys.
func mapOf(t *testing.T, version uint64, owner member.Incarnation, row uint64) store.Row {
	t.Helper()
	m, err := keyspace.NewMap(version, []keyspace.Entry{
		{Range: keyspace.Range{Last: keyspace.MaxKey}, Epoch: version, Members: []member.Incarnation{owner}},
	})
	if err != nil {
		t.Fatal(err)
	}
	value, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return store.Row{Table: TableName, Key: keyspace.RowKey("bookings"), Value: value, Version: row}
}

// TestOddKeyMap guards against a planner that writes on the condition of a version that its row no longer has, and against a map of
// another writer that is used: one that isn't newer, or whose owners don't exist.
func TestOddKeyMap(t *testing.T) {
	owner := member.NewIncarnation("slot-3", 4)
	tests := []struct {
		name          string
		row           store.Row
		version       uint64
		awaitsRecords bool
	}{
		{"bytes that aren't a map", store.Row{Key: keyspace.RowKey("bookings"), Value: []byte("\x00\xff"), Version: 30}, 30, false},
		{"no value", store.Row{Key: keyspace.RowKey("bookings"), Version: 30}, 30, false},
		{"removed", store.Row{Key: keyspace.RowKey("bookings"), Version: 30, Deleted: true}, 0, false},
		{"not newer", mapOf(t, 7, owner, 30), 30, false},
		{"version above that of the row", mapOf(t, 31, owner, 30), 30, false},
		{"unknown slot", mapOf(t, 8, member.NewIncarnation("slot-7", 1), 30), 30, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDirectory("slot-0")
			d.apply([]store.Row{mapOf(t, 7, owner, 20), recordRow(t, goodRecord(), 5)})
			if got := d.keyMap("bookings"); got.keys.Version() != 7 || got.version != 20 || got.lostAt != 0 {
				t.Fatalf("map version %d, row %d, lost at %d", got.keys.Version(), got.version, got.lostAt)
			}
			d.apply([]store.Row{test.row})
			got := d.keyMap("bookings")
			if got.keys.Version() != 7 || got.version != test.version || got.lostAt != 30 || got.awaitsRecords != test.awaitsRecords {
				t.Errorf("map version %d, row %d, lost at %d, awaits records %v",
					got.keys.Version(), got.version, got.lostAt, got.awaitsRecords)
			}
			if e, ok := got.keys.Find(100); !ok || e.Owner() != owner {
				t.Errorf("owner %v", e.Owner())
			}
			d.apply([]store.Row{mapOf(t, 31, owner, 40)})
			if got := d.keyMap("bookings"); got.keys.Version() != 31 || got.version != 40 || got.lostAt != 0 || got.awaitsRecords {
				t.Errorf("the next map isn't used: version %d, row %d, lost at %d", got.keys.Version(), got.version, got.lostAt)
			}
		})
	}
}

// TestMapOfRestartedOwner guards against a map that isn't used until the record of a restarted owner arrives, so that keys have no owner
// and the planner stands still: it names owners that have reported to it.
func TestMapOfRestartedOwner(t *testing.T) {
	d := newDirectory("slot-0")
	d.apply([]store.Row{recordRow(t, goodRecord(), 5), mapOf(t, 7, goodRecord().Incarnation, 20)})
	restarted := member.NewIncarnation("slot-3", 25)
	d.apply([]store.Row{mapOf(t, 8, restarted, 30)})
	got := d.keyMap("bookings")
	if e, ok := got.keys.Find(100); !ok || e.Owner() != restarted || got.lostAt != 0 || got.awaitsRecords {
		t.Errorf("map version %d, owner %v, lost at %d", got.keys.Version(), e.Owner(), got.lostAt)
	}
}

// TestKeyMapBeforeRecord guards against a map that is never used because it arrived before the record of one of its owners.
func TestKeyMapBeforeRecord(t *testing.T) {
	d := newDirectory("slot-0")
	record := goodRecord()
	d.apply([]store.Row{mapOf(t, 7, record.Incarnation, 20)})
	if got := d.keyMap("bookings"); got.keys != nil || !got.awaitsRecords {
		t.Errorf("map version %d is used without the record of its owner", got.keys.Version())
	}
	d.apply([]store.Row{recordRow(t, record, 5)})
	if got := d.keyMap("bookings"); got.keys.Version() != 7 || got.version != 20 || got.lostAt != 0 || got.awaitsRecords {
		t.Errorf("map version %d, row %d, lost at %d", got.keys.Version(), got.version, got.lostAt)
	}
	// The planner sends the map to instances that have to claim keys.
	d = newDirectory("slot-0")
	pushed := []store.Row{mapOf(t, 7, record.Incarnation, 20)}
	d.acceptPushed(pushed)
	d.apply(pushed)
	if got := d.keyMap("bookings"); got.keys.Version() != 7 {
		t.Errorf("map version %d isn't used although the planner sent it", got.keys.Version())
	}
	// The owner may run although another writer has replaced its record.
	d = newDirectory("slot-0")
	d.apply([]store.Row{mapOf(t, 7, record.Incarnation, 20), {Key: member.RowKey("slot-3"), Value: []byte("{"), Version: 12}})
	if got := d.keyMap("bookings"); got.keys.Version() != 7 {
		t.Errorf("map version %d isn't used because the record of an owner is odd", got.keys.Version())
	}
}

// TestRestoreTimer guards against a lost map that all instances write at once, or none, and against a newer map that is replaced before
// the records of its owners have arrived.
func TestRestoreTimer(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name                   string
		planner, awaitsRecords bool
		after                  time.Duration
		want                   bool
	}{
		{"planner", true, false, 0, true},
		{"planner that lacks records, at first", true, true, restoreDelay / 2, false},
		{"planner that lacks records", true, true, 2 * restoreDelay, true},
		{"another instance, at first", false, false, restoreDelay / 2, false},
		{"another instance", false, false, 2 * restoreDelay, true},
		{"another instance that lacks records", false, true, time.Minute, false},
		{"planner in a new era, at first", true, false, eraWait - 1, false},
		{"planner in a new era", true, false, eraWait, true},
		{"another instance in a new era, at first", false, false, eraWait + restoreDelay/2, false},
		{"another instance in a new era", false, false, eraWait + 2*restoreDelay, true},
	}
	for _, test := range tests {
		var timer restoreTimer
		lost := mapRow{lostAt: 30, awaitsRecords: test.awaitsRecords, earlierEra: strings.Contains(test.name, "in a new era")}
		timer.isDue(lost, start, false)
		if got := timer.isDue(lost, start.Add(test.after), test.planner); got != test.want {
			t.Errorf("%s: due %v after %v, want %v", test.name, got, test.after, test.want)
		}
	}
}

// TestLastFenceCoversSetAsideMap guards against a release at the start of a session whose token is below those of grants that an earlier
// incarnation sent under a map that was pushed to it and that this process has set aside.
func TestLastFenceCoversSetAsideMap(t *testing.T) {
	d := newDirectory("slot-3")
	d.apply([]store.Row{recordRow(t, goodRecord(), 5), mapOf(t, 6, goodRecord().Incarnation, 7)})
	d.apply([]store.Row{mapOf(t, 9, member.NewIncarnation("slot-7", 8), 20)})
	if granted, fence := keyspace.Fence(9, 12), d.keyMap("bookings").lastFence(); fence < granted || fence >= keyspace.Fence(10, 0) {
		t.Errorf("last fencing token %d, want at least that of a grant, %d, and below those of the next map, %d", fence, granted,
			keyspace.Fence(10, 0))
	}
}
