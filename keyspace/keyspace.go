// Package keyspace divides the keys of a service among its instances: a map assigns each range of keys an owner, and a
// rebalancer computes the next map from the load.
package keyspace

import (
	"fmt"
	"slices"

	"sapphiretray/member"
)

// Key is a key of a service.
type Key = uint16

// MaxKey is the largest key.
const MaxKey Key = 1<<16 - 1

// Range is a span of keys; both ends are part of it.
type Range struct {
	First, Last Key
}

// Contains reports whether a key is in the range.
func (r Range) Contains(k Key) bool { return r.First <= k && k <= r.Last }

// Overlaps reports whether two ranges share a key.
func (r Range) Overlaps(other Range) bool { return r.First <= other.Last && other.First <= r.Last }

// Intersect returns the keys that two overlapping ranges share.
func (r Range) Intersect(other Range) Range {
	return Range{First: max(r.First, other.First), Last: min(r.Last, other.Last)}
}

// Size returns the number of keys.
func (r Range) Size() int { return int(r.Last) - int(r.First) + 1 }

// String returns the form "100-199".
func (r Range) String() string { return fmt.Sprintf("%d-%d", r.First, r.Last) }

// generationBits is the number of bits of a fencing token that hold the generation; the others hold the epoch.
const generationBits = 20

// Fence returns a fencing token. It is greater than that of each older epoch, and than that of each older generation of the same
// epoch.
func Fence(epoch, generation uint64) uint64 {
	return epoch<<generationBits | min(generation, 1<<generationBits-1)
}

// Entry says who may serve a range.
type Entry struct {
	Range
	// Epoch grows with each change of the owner.
	Epoch uint64
	// Members are the owner and its successors, in order.
	Members []member.Incarnation
	// Previous are the incarnations that may still serve under an older epoch.
	Previous []member.Incarnation
}

// Owner returns the first member, or none.
func (e Entry) Owner() member.Incarnation {
	if len(e.Members) == 0 {
		return member.Incarnation{}
	}
	return e.Members[0]
}

// Rank returns the rank of an incarnation, or -1 if it isn't a member.
func (e Entry) Rank(i member.Incarnation) int { return slices.Index(e.Members, i) }

// Map assigns all keys of a service. It is immutable; the zero value assigns none.
type Map struct {
	version uint64
	entries []Entry
}

// NewMap returns a map with the given entries, which must cover all keys in order without a gap.
func NewMap(version uint64, entries []Entry) (*Map, error) {
	next := 0
	for _, e := range entries {
		if int(e.First) != next || e.Last < e.First {
			return nil, fmt.Errorf("map version %d: entry %s doesn't begin at key %d", version, e.Range, next)
		}
		next = int(e.Last) + 1
	}
	if next != int(MaxKey)+1 {
		return nil, fmt.Errorf("map version %d: keys from %d on are missing", version, next)
	}
	return &Map{version: version, entries: entries}, nil
}

// Version returns the version, which grows with each change.
func (m *Map) Version() uint64 {
	if m == nil {
		return 0
	}
	return m.version
}

// Entries returns the entries in the order of their keys. They must not be modified.
func (m *Map) Entries() []Entry {
	if m == nil {
		return nil
	}
	return m.entries
}

// Find returns the entry of a key, and false if the map is empty.
func (m *Map) Find(k Key) (Entry, bool) {
	if m == nil || len(m.entries) == 0 {
		return Entry{}, false
	}
	n, found := slices.BinarySearchFunc(m.entries, k, func(e Entry, k Key) int { return int(e.First) - int(k) })
	if !found {
		n--
	}
	return m.entries[n], true
}
