package partition_test

import (
	"fmt"
	"reflect"
	"testing"

	"sapphiretray/member"
	"sapphiretray/partition"

	"pgregory.net/rapid"
)

// noneEnded is the argument ended of Entry.Next that keeps all incarnations.
func noneEnded(member.Incarnation) bool { return false }

// TestChange guards against a Change whose result differs from that of WithOverride and Apply in sequence, and against a snapshot that
// loses members, epochs, previous incarnations or overrides.
func TestChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, err := partition.New("bookings", 8)
		if err != nil {
			t.Fatal(err)
		}
		single := whole
		for version := uint64(1); version <= 4; version++ {
			hashes := rapid.SliceOfNDistinct(rapid.Uint64(), 0, 3, rapid.ID[uint64]).Draw(t, "hashes")
			for n, hash := range hashes {
				if single, err = single.WithOverride(single.Version()+uint64(n)+1, hash); err != nil {
					t.Fatal(err)
				}
			}
			var moves []partition.Move
			for _, p := range rapid.SliceOfNDistinct(rapid.IntRange(0, single.Partitions()-1), 0, 5, rapid.ID[int]).Draw(t, "moves") {
				var members []member.Incarnation
				for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 1, 3, rapid.ID[int]).Draw(t, "members") {
					members = append(members, member.NewIncarnation(fmt.Sprintf("s-%d", n), version))
				}
				moves = append(moves, partition.Move{Partition: p, Entry: single.Entry(p).Next(members, noneEnded)})
			}
			if single, err = single.Apply(single.Version()+100, moves); err != nil {
				t.Fatal(err)
			}
			if whole, err = whole.Change(single.Version(), hashes, moves); err != nil {
				t.Fatal(err)
			}
			requireEqual(t, whole, single)
		}
		encoded, err := whole.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := partition.Decode(encoded)
		if err != nil {
			t.Fatal(err)
		}
		requireEqual(t, decoded, whole)
	})
}

// requireEqual stops the test if two maps differ.
func requireEqual(t *rapid.T, a, b *partition.Map) {
	t.Helper()
	if a.Version() != b.Version() || a.Partitions() != b.Partitions() || !reflect.DeepEqual(a.Overrides(), b.Overrides()) {
		t.Fatalf("versions %d and %d, %d and %d partitions", a.Version(), b.Version(), a.Partitions(), b.Partitions())
	}
	for p := range a.Partitions() {
		if x, y := a.Entry(p), b.Entry(p); !reflect.DeepEqual(x, y) {
			t.Fatalf("partition %d: %+v and %+v", p, x, y)
		}
		for rank, at := range a.Positions(p) {
			i, ok := a.Member(p, rank)
			if ok != (at >= 0) || ok && a.Incarnations()[at] != i {
				t.Fatalf("partition %d, rank %d: position %d, member %s", p, rank, at, i)
			}
		}
	}
}

// TestLookUpDoesNotAllocate guards against an owner look-up that allocates memory, since each request makes one.
func TestLookUpDoesNotAllocate(t *testing.T) {
	m, err := partition.New("bookings", 1024)
	if err != nil {
		t.Fatal(err)
	}
	if m, err = m.WithOverride(1, partition.Hash("club-1")); err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"club-1", "club-2"} {
		if n := testing.AllocsPerRun(100, func() { _, _ = m.Owner(m.Partition(key)) }); n != 0 {
			t.Errorf("%s: %v allocations", key, n)
		}
	}
}
