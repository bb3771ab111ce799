package keyspace_test

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"sapphiretray/keyspace"
)

// oddMaps are changes that make a map one of another writer that can't be used. The map has version 7, and its row version 9.
var oddMaps = []struct {
	name   string
	change func(row *keyspace.MapRow)
}{
	{"no version", func(row *keyspace.MapRow) { row.Version = 0 }},
	{"version above that of the row", func(row *keyspace.MapRow) { row.Version = 10 }},
	{"version too large", func(row *keyspace.MapRow) { row.Version = math.MaxUint64 }},
	{"no epoch", func(row *keyspace.MapRow) { row.Entries[0].Epoch = 0 }},
	{"epoch above the version", func(row *keyspace.MapRow) { row.Entries[1].Epoch = 8 }},
	{"epoch too large", func(row *keyspace.MapRow) { row.Entries[0].Epoch = math.MaxUint64 }},
	{"no entries", func(row *keyspace.MapRow) { row.Entries = nil }},
	{"no owner", func(row *keyspace.MapRow) { row.Entries[0].Members = nil }},
	{"owner without a slot", func(row *keyspace.MapRow) { row.Holders[0].Slot = "" }},
	{"owner without a number", func(row *keyspace.MapRow) { row.Holders[0].Number = 0 }},
	{"incarnation above the version of the row", func(row *keyspace.MapRow) { row.Holders[1].Number = 10 }},
	{"missing holder", func(row *keyspace.MapRow) { row.Entries[0].Previous = []uint32{2} }},
	{"many references", func(row *keyspace.MapRow) { row.Entries[0].Previous = make([]uint32, 5000) }},
	{"gap at the first key", func(row *keyspace.MapRow) { row.Entries[0].First = 1 }},
	{"two ranges with one first key", func(row *keyspace.MapRow) { row.Entries[1].First = 0 }},
	{"ranges out of order", func(row *keyspace.MapRow) { row.Entries[0], row.Entries[1] = row.Entries[1], row.Entries[0] }},
	{"key too large", func(row *keyspace.MapRow) { row.Entries[1].First = 1 << 16 }},
	{"first key of 2^32-1", func(row *keyspace.MapRow) { row.Entries[1].First = math.MaxUint32 }},
}

// mapRow returns the row of a sound map.
func mapRow() *keyspace.MapRow {
	return &keyspace.MapRow{
		Version: 7, Holders: []*keyspace.Holder{{Slot: "a", Number: 1}, {Slot: "b", Number: 9}},
		Entries: []*keyspace.EntryRow{
			{First: 0, Epoch: 7, Members: []uint32{0}, Previous: []uint32{1}},
			{First: 1000, Epoch: 3, Members: []uint32{1}},
		},
	}
}

// TestDecodeOddMap guards against a map of another writer that is used: keys without an owner, an epoch after which none can follow, or
// a version that no later map exceeds.
func TestDecodeOddMap(t *testing.T) {
	for _, test := range oddMaps {
		t.Run(test.name, func(t *testing.T) {
			row := mapRow()
			decode := func() error {
				content, err := proto.Marshal(row)
				if err != nil {
					t.Fatal(err)
				}
				_, err = keyspace.Decode(content, 9)
				return err
			}
			if err := decode(); err != nil {
				t.Fatalf("sound map: %v", err)
			}
			test.change(row)
			if decode() == nil {
				t.Error("no error")
			}
		})
	}
}

// FuzzDecode guards against a map row that ends the process, and against a decoded map that leaves keys without an owner.
func FuzzDecode(f *testing.F) {
	for _, odd := range oddMaps {
		row := mapRow()
		odd.change(row)
		content, err := proto.Marshal(row)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Add([]byte("\x00\xff{"))
	f.Fuzz(func(t *testing.T, content []byte) {
		m, err := keyspace.Decode(content, 9)
		if err != nil {
			return
		}
		next := 0
		for _, e := range m.Entries() {
			if int(e.First) != next || e.Owner().IsZero() || e.Epoch == 0 || e.Epoch > m.Version() || m.Version() > 9 {
				t.Fatalf("version %d, entry %+v after key %d", m.Version(), e, next-1)
			}
			next = int(e.Last) + 1
		}
		if next != int(keyspace.MaxKey)+1 {
			t.Errorf("the entries end at key %d", next-1)
		}
	})
}
