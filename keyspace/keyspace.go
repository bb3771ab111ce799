// Package keyspace divides the keys of a service among its instances: a Map assigns an owner to each range of keys, and Plan
// computes the next map from the load.
package keyspace

import (
	"fmt"
	"slices"

	"sapphiretray/member"
	"sapphiretray/store"
)

// Key is a key of a service.
type Key = uint16

// MaxKey is the largest key.
const MaxKey Key = 1<<16 - 1

// Range is an interval of keys that includes both ends.
type Range struct {
	First, Last Key
}

// AllKeys is the range of all keys.
var AllKeys = Range{Last: MaxKey}

// Contains reports whether a key is in the range.
func (r Range) Contains(k Key) bool { return r.First <= k && k <= r.Last }

// Overlaps reports whether two ranges share a key.
func (r Range) Overlaps(other Range) bool { return r.First <= other.Last && other.First <= r.Last }

// Intersect returns the keys that two ranges share. The ranges must overlap.
func (r Range) Intersect(other Range) Range {
	return Range{First: max(r.First, other.First), Last: min(r.Last, other.Last)}
}

// Size returns the number of keys.
func (r Range) Size() int { return int(r.Last) - int(r.First) + 1 }

// String returns the form "100-199".
func (r Range) String() string { return fmt.Sprintf("%d-%d", r.First, r.Last) }

const (
	// generationBits is the number of low bits of a fencing token that hold the generation; the high bits hold the epoch.
	generationBits = 20
	// eraBits is how far a new era of the store raises the epoch in a fencing token. A copy that the store comes back from lacks fewer
	// transactions than 2^eraBits. Few bits keep fencing tokens below 2^53, up to which upstreams read JSON numbers exactly, for the first
	// 100 eras and 2^26 transactions.
	eraBits = 26
)

// Fence returns the fencing token of a generation of an epoch, which is a version of the store. Fencing tokens are ordered by epoch, then
// by generation. Generations from 2^20-1 on have the same fencing token.
func Fence(epoch, generation uint64) uint64 {
	return (store.Era(epoch)<<eraBits+store.Counter(epoch))<<generationBits | min(generation, 1<<generationBits-1)
}

// Entry assigns a range to an owner and its successors.
type Entry struct {
	Range
	// Epoch grows with each change of the owner.
	Epoch uint64
	// Members are the owner and its successors, in order. Plan sets only the owner.
	Members []member.Incarnation
	// Previous are the incarnations that may still serve under an older epoch.
	Previous []member.Incarnation
}

// Owner returns the first member, or the zero Incarnation if there is none.
func (e Entry) Owner() member.Incarnation {
	if len(e.Members) == 0 {
		return member.Incarnation{}
	}
	return e.Members[0]
}

// Rank returns the position of an incarnation in Members (0 is the owner), or -1 if it isn't a member.
func (e Entry) Rank(i member.Incarnation) int { return slices.Index(e.Members, i) }

// Map assigns all keys of a service to instances. It is immutable. The zero value and a nil Map assign none.
type Map struct {
	version uint64
	entries []Entry
}

// NewMap returns a map with the given entries. It returns an error unless they cover all keys, in order and without gaps or overlaps.
// The map takes over entries, which must not be modified afterwards.
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

// Version returns the version, which grows with each change, or 0 for a nil Map.
func (m *Map) Version() uint64 {
	if m == nil {
		return 0
	}
	return m.version
}

// Entries returns the entries in key order. They must not be modified.
func (m *Map) Entries() []Entry {
	if m == nil {
		return nil
	}
	return m.entries
}

// Holders returns the owners, successors and previous holders of all keys, each once and sorted by slot and number.
func (m *Map) Holders() []member.Incarnation {
	all := make(map[member.Incarnation]bool)
	for _, e := range m.Entries() {
		add(all, e.Members)
		add(all, e.Previous)
	}
	return sorted(all)
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
