package keyspace

import (
	"cmp"
	"maps"
	"slices"

	"sapphiretray/member"
)

// Restore returns a map with the owners of m, to be written after another writer has replaced or removed the row of the service's map.
// lostAt is the version of that change in the store, which no version or epoch of an earlier map exceeds, because each was written with a
// version below it. A newer map than m may have been lost, so that the owners have to claim their keys from all others that may serve
// keys: those in m and holders, the possible holders under a map that isn't known or wasn't used, without those that ended reports as
// ended.
func (m *Map) Restore(lostAt uint64, holders []member.Incarnation, ended func(member.Incarnation) bool) *Map {
	version := max(m.version, lostAt) + 1
	all := make(map[member.Incarnation]bool)
	add(all, m.Holders())
	add(all, holders)
	others := otherHolders(all, ended)
	entries := make([]Entry, 0, len(m.entries))
	for _, e := range m.entries {
		e.Epoch, e.Previous = version, others(e.Owner())
		entries = append(entries, e)
	}
	return &Map{version: version, entries: entries}
}

// add adds incarnations to a set.
func add(set map[member.Incarnation]bool, incarnations []member.Incarnation) {
	for _, i := range incarnations {
		set[i] = true
	}
}

// otherHolders returns a function that returns, sorted, the incarnations in a set that haven't ended, without the given owner.
func otherHolders(set map[member.Incarnation]bool, ended func(member.Incarnation) bool) func(member.Incarnation) []member.Incarnation {
	running := slices.DeleteFunc(sorted(set), func(i member.Incarnation) bool { return i.IsZero() || ended(i) })
	return func(owner member.Incarnation) []member.Incarnation {
		return slices.DeleteFunc(slices.Clone(running), func(i member.Incarnation) bool { return i == owner })
	}
}

// sorted returns the incarnations in a set, sorted by slot and number.
func sorted(set map[member.Incarnation]bool) []member.Incarnation {
	return slices.SortedFunc(maps.Keys(set), func(a, b member.Incarnation) int {
		return cmp.Or(cmp.Compare(a.Slot(), b.Slot()), cmp.Compare(a.Number(), b.Number()))
	})
}
