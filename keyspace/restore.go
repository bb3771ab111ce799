package keyspace

import (
	"slices"

	"sapphiretray/member"
)

// Restore returns a map with the owners of m, to be written after another writer has replaced or removed the row of the service's map.
// lostAt is the version of that change in the store, which no version or epoch of an earlier map exceeds, because each was written with a
// version below it. A newer map than m may have been lost, so that the owners have to claim their keys from all holders, the
// incarnations that may serve keys under any earlier map.
func (m *Map) Restore(lostAt uint64, holders []member.Incarnation) *Map {
	version := max(m.version, lostAt) + 1
	entries := make([]Entry, 0, len(m.entries))
	for _, e := range m.entries {
		previous := slices.Concat(e.Previous, holders)
		e.Epoch, e.Previous = version, distinct(previous, e.Owner())
		entries = append(entries, e)
	}
	return &Map{version: version, entries: entries}
}

// distinct returns the given incarnations once each, in order, without the zero Incarnation and the omitted one.
func distinct(incarnations []member.Incarnation, omitted member.Incarnation) []member.Incarnation {
	var unique []member.Incarnation
	for _, i := range incarnations {
		if !i.IsZero() && i != omitted && !slices.Contains(unique, i) {
			unique = append(unique, i)
		}
	}
	return unique
}
