package keyspace

import (
	"fmt"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"sapphiretray/member"
	"sapphiretray/store"
)

// allHolders is the only reference of an entry whose previous holders are all holders of the row but its owner. It keeps the row of a
// restored map below the store's limit of 64 KB. Entries with fewer than minAllHolders previous holders list them.
const (
	allHolders    = math.MaxUint32
	minAllHolders = 16
)

// maxRowBytes bounds the row of a map that is decoded: empty entries take 40 times their size. The row of a service with 1,040 instances
// takes 0.3 MB.
const maxRowBytes = 1 << 20

// Encode returns the map as a serialized MapRow. m must not be nil.
func (m *Map) Encode() ([]byte, error) {
	row := &MapRow{Version: m.version}
	positions := make(map[member.Incarnation]uint32)
	refer := func(holders []member.Incarnation) []uint32 {
		references := make([]uint32, 0, len(holders))
		for _, h := range holders {
			position, ok := positions[h]
			if !ok {
				position = uint32(len(row.Holders))
				positions[h] = position
				row.Holders = append(row.Holders, &Holder{Slot: h.Slot(), Number: h.Number()})
			}
			references = append(references, position)
		}
		return references
	}
	for _, e := range m.entries {
		row.Entries = append(row.Entries, &EntryRow{
			First: uint32(e.First), Epoch: e.Epoch, Members: refer(e.Members), Previous: refer(e.Previous),
		})
	}
	for n, e := range m.entries {
		// Each holder is listed once, so that their number shows that all are.
		if len(e.Previous) >= minAllHolders && len(e.Previous) == len(row.Holders)-1 && !slices.Contains(e.Previous, e.Owner()) {
			row.Entries[n].Previous = []uint32{allHolders}
		}
	}
	return proto.Marshal(row)
}

// Decode parses a serialized MapRow, which another writer may have written. limit is the version of the row in the store: each version of
// a map, epoch and incarnation is registered by a write, so that none is above it. Decode returns an error if the content is malformed,
// a number is out of range, an entry has no owner, or the entries don't cover all keys in order.
func Decode(content []byte, limit uint64) (*Map, error) {
	row, err := unmarshalRow(content)
	if err != nil {
		return nil, err
	}
	if version := row.GetVersion(); version == 0 || version > min(limit, store.MaxVersion) {
		return nil, fmt.Errorf("map row: version %d is out of range", version)
	}
	holders, err := decodeHolders(row, limit)
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(row.Entries))
	for n, e := range row.Entries {
		last := uint32(MaxKey)
		if n+1 < len(row.Entries) {
			last = row.Entries[n+1].GetFirst() - 1
		}
		if e.GetFirst() > last || last > uint32(MaxKey) {
			return nil, fmt.Errorf("map row: entry %d is out of order", n)
		}
		if e.GetEpoch() == 0 || e.GetEpoch() > row.GetVersion() {
			return nil, fmt.Errorf("map row: epoch %d of entry %d is out of range", e.GetEpoch(), n)
		}
		members, err := resolve(holders, e.GetMembers())
		if err == nil && len(members) == 0 {
			err = fmt.Errorf("map row: entry %d has no owner", n)
		}
		if err != nil {
			return nil, err
		}
		previous, err := resolvePrevious(holders, e.GetPrevious(), members[0])
		if err != nil {
			return nil, err
		}
		entries = append(entries, Entry{
			Range: Range{First: Key(e.GetFirst()), Last: Key(last)}, Epoch: e.GetEpoch(), Members: members, Previous: previous,
		})
	}
	return NewMap(row.GetVersion(), entries)
}

func unmarshalRow(content []byte) (*MapRow, error) {
	if len(content) > maxRowBytes {
		return nil, fmt.Errorf("map row: %d bytes, limit %d", len(content), maxRowBytes)
	}
	row := &MapRow{}
	if err := proto.Unmarshal(content, row); err != nil {
		return nil, fmt.Errorf("map row: %w", err)
	}
	return row, nil
}

// decodeHolders returns the holders of a row.
func decodeHolders(row *MapRow, limit uint64) ([]member.Incarnation, error) {
	holders := make([]member.Incarnation, 0, len(row.Holders))
	for _, h := range row.Holders {
		if h.GetSlot() == "" || h.GetNumber() == 0 || h.GetNumber() > limit {
			return nil, fmt.Errorf("map row: holder %.100q, number %d, is out of range", h.GetSlot(), h.GetNumber())
		}
		holders = append(holders, member.NewIncarnation(h.GetSlot(), h.GetNumber()))
	}
	return holders, nil
}

// resolve returns the holders at the given positions.
func resolve(holders []member.Incarnation, references []uint32) ([]member.Incarnation, error) {
	if len(references) > len(holders) {
		return nil, fmt.Errorf("map row: %d references to %d holders", len(references), len(holders))
	}
	resolved := make([]member.Incarnation, 0, len(references))
	for _, position := range references {
		if int(position) >= len(holders) {
			return nil, fmt.Errorf("map row: holder %d is missing", position)
		}
		resolved = append(resolved, holders[position])
	}
	return resolved, nil
}

// resolvePrevious returns the previous holders of an entry at the given positions, which may be allHolders.
func resolvePrevious(holders []member.Incarnation, references []uint32, owner member.Incarnation) ([]member.Incarnation, error) {
	if len(references) != 1 || references[0] != allHolders {
		return resolve(holders, references)
	}
	return slices.DeleteFunc(slices.Clone(holders), func(i member.Incarnation) bool { return i == owner }), nil
}

// RowPrefix is the common prefix of the row keys under which maps are stored.
const RowPrefix = "map/"

// RowKey returns the row key under which the map of a service is stored.
func RowKey(service string) string { return RowPrefix + service }
