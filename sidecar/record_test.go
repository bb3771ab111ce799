package sidecar

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"k8s.io/klog/v2"

	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/store"
)

// oddRecords are changes that make the value of a record one of another writer that can't be used.
var oddRecords = []struct{ name, old, replacement string }{
	{"nested", `"witnesses":null`, `"witnesses":` + strings.Repeat("[", 200000) + strings.Repeat("]", 200000)},
	{"no JSON", `{`, "\x00"},
	{"no object", `{`, `[{`},
	{"capacity too large for a float", `"capacity":6`, `"capacity":1e400`},
	{"capacity too large", `"capacity":6`, `"capacity":1e308`},
	{"negative capacity", `"capacity":6`, `"capacity":-6`},
	{"port too large", `:7401`, `:99999`},
	{"negative port", `:7401`, `:-4`},
	{"port 0", `:7401`, `:0`},
	{"no port", `:7401`, ``},
	{"no peer address", `"10.1.0.1:7401"`, `""`},
	{"heartbeat port too large", `:7410`, `:99999`},
	{"host name", `10.1.0.1:7401`, `nowhere:7401`},
	{"unspecified address", `10.1.0.1:7401`, `0.0.0.0:7401`},
	{"another slot", `slot-3#4`, `slot-4#4`},
	{"no incarnation", `slot-3#4`, ``},
	{"incarnation number too large", `slot-3#4`, `slot-3#18446744073709551615`},
	{"incarnation number larger than the version", `slot-3#4`, `slot-3#10`},
	{"earlier incarnation", `slot-3#4`, `slot-3#3`},
	{"no service", `"service":"bookings"`, `"service":""`},
	{"number as service", `"service":"bookings"`, `"service":3`},
	{"unknown state", `"state":"ready"`, `"state":"asleep"`},
	{"no state", `"state":"ready"`, `"stat":""`},
	{"many witnesses", `"witnesses":null`, `"witnesses":["a"` + strings.Repeat(`,"a"`, 5000) + `]`},
	{"start of the upstream", `"state":"ready"`, `"state":"ready","upstream_started":-5`},
}

// goodRecord is a record of slot-3 that can be used.
func goodRecord() member.Record {
	return member.Record{Incarnation: member.NewIncarnation("slot-3", 4), Capacity: 6, State: member.Ready, Name: "good"}
}

// TestOddRecord guards against a record of another writer that replaces a sound one, or is used where there was none: the instance then
// can't be reached, or counts as one that serves.
func TestOddRecord(t *testing.T) {
	for _, test := range oddRecords {
		t.Run(test.name, func(t *testing.T) {
			d := newDirectory("slot-0")
			good := recordRow(t, goodRecord(), 5)
			value := strings.Replace(string(good.Value), test.old, test.replacement, 1)
			if value == string(good.Value) {
				t.Fatal("the record wasn't changed")
			}
			odd := store.Row{Table: TableName, Key: good.Key, Value: []byte(value), Version: 9}
			if test.name != "earlier incarnation" {
				d.apply([]store.Row{odd})
				if r, ok := d.record("slot-3"); ok {
					t.Errorf("record %.200v is used", r)
				}
			}
			d = newDirectory("slot-0")
			d.apply([]store.Row{good})
			d.apply([]store.Row{odd})
			if r, ok := d.record("slot-3"); !ok || r.Name != "good" || r.Capacity != 6 || r.Incarnation.Number() != 4 {
				t.Errorf("record %.200v replaced the sound one", r)
			}
		})
	}
}

// TestOddRecordsAndRestartedWitness guards against a restarted witness that takes an incarnation for a new one because its record can't
// be decoded: an earlier process in the slot of the witness may have supported that incarnation.
func TestOddRecordsAndRestartedWitness(t *testing.T) {
	d := newDirectory("slot-0")
	d.apply([]store.Row{{Table: TableName, Key: member.RowKey("slot-3"), Value: []byte("{"), Version: 9}})
	if newest := d.newestRegistered()["slot-3"]; newest < 9 {
		t.Errorf("incarnations above %d count as new; earlier ones may have numbers up to 9", newest)
	}
}

// FuzzDecodeRecord guards against a record that ends the process and against one that is used with a field out of range.
func FuzzDecodeRecord(f *testing.F) {
	good := []byte(`{"incarnation":"slot-3#4","service":"bookings","data_centre":"a","peer_address":"10.1.0.1:7401",` +
		`"heartbeat_address":"10.1.0.1:7410","capacity":6,"witnesses":null,"state":"ready"}`)
	f.Add(good)
	for _, odd := range oddRecords {
		f.Add([]byte(strings.Replace(string(good), odd.old, odd.replacement, 1)))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		d := newDirectory("slot-0")
		d.apply([]store.Row{{Table: TableName, Key: member.RowKey("slot-3"), Value: value, Version: 9}})
		for _, r := range d.all() {
			if i := r.Incarnation; i.Slot() != "slot-3" || i.Number() == 0 || i.Number() > 9 || int(r.Capacity) < 0 {
				t.Errorf("record %+v", r)
			}
		}
	})
}

// TestOddRecordIsLoggedOnce guards against unbounded log lines while another writer replaces a record again and again.
func TestOddRecordIsLoggedOnce(t *testing.T) {
	var output bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&output)
	t.Cleanup(func() {
		klog.SetOutput(io.Discard)
		klog.LogToStderr(true)
	})
	d := newDirectory("slot-0")
	for version := range uint64(300) {
		d.apply([]store.Row{{Table: TableName, Key: member.RowKey("slot-3"), Value: []byte("{"), Version: version + 1}})
		d.apply([]store.Row{{Table: TableName, Key: keyspace.RowKey("bookings"), Value: []byte("{"), Version: version + 1}})
	}
	klog.Flush()
	// Ends the writes to output. Timers that earlier tests have started may have logged to it, but not about a directory.
	klog.SetOutput(io.Discard)
	if lines := strings.Count(output.String(), `"directory: `); lines < 1 || lines > 2 {
		t.Errorf("%d lines for 600 odd rows:\n%.300s", lines, output.String())
	}
}
