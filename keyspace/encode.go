package keyspace

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"sapphiretray/member"
)

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
	return proto.Marshal(row)
}

// Decode parses a serialized MapRow. It returns an error if the content is malformed or the entries don't cover all keys in order.
func Decode(content []byte) (*Map, error) {
	row := &MapRow{}
	if err := proto.Unmarshal(content, row); err != nil {
		return nil, fmt.Errorf("map row: %w", err)
	}
	resolve := func(references []uint32) ([]member.Incarnation, error) {
		holders := make([]member.Incarnation, 0, len(references))
		for _, position := range references {
			if int(position) >= len(row.Holders) {
				return nil, fmt.Errorf("map row: holder %d is missing", position)
			}
			h := row.Holders[position]
			holders = append(holders, member.NewIncarnation(h.GetSlot(), h.GetNumber()))
		}
		return holders, nil
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
		members, err := resolve(e.GetMembers())
		if err != nil {
			return nil, err
		}
		previous, err := resolve(e.GetPrevious())
		if err != nil {
			return nil, err
		}
		entries = append(entries, Entry{
			Range: Range{First: Key(e.GetFirst()), Last: Key(last)}, Epoch: e.GetEpoch(), Members: members, Previous: previous,
		})
	}
	return NewMap(row.GetVersion(), entries)
}

// RowPrefix is the common prefix of the row keys under which maps are stored.
const RowPrefix = "map/"

// RowKey returns the row key under which the map of a service is stored.
func RowKey(service string) string { return RowPrefix + service }
