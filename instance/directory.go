package instance

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"sapphiretray/member"
	"sapphiretray/partition"
	"sapphiretray/table"
)

// directory holds the member records by slot and the newest map of each service, as decoded from the cached table rows.
type directory struct {
	mu      sync.RWMutex
	members map[string]member.Record
	maps    map[string]*partition.Map
}

func newDirectory() *directory {
	return &directory{members: make(map[string]member.Record), maps: make(map[string]*partition.Map)}
}

// setMember stores the record in a slot's row and returns the incarnations of the slot that it proves can't serve any more.
func (d *directory) setMember(row table.Row) (ended []member.Incarnation) {
	var record member.Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		klog.Errorf("directory: row %s can't be decoded: %v", row.Key, err)
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old, known := d.members[record.Incarnation.Slot()]
	d.members[record.Incarnation.Slot()] = record
	if known && old.Incarnation != record.Incarnation {
		ended = append(ended, old.Incarnation)
	}
	if record.State.Ended() {
		ended = append(ended, record.Incarnation)
	}
	return ended
}

// ended reports whether the table proves that an incarnation can't serve any more.
func (d *directory) ended(i member.Incarnation) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	record, ok := d.members[i.Slot()]
	return ok && (record.Incarnation.Number() > i.Number() || (record.Incarnation == i && record.State.Ended()))
}

// slot returns the newest record of a slot.
func (d *directory) slot(name string) (member.Record, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	record, ok := d.members[name]
	return record, ok
}

// Record returns the record of an incarnation, and false if it isn't the newest one of its slot.
func (d *directory) Record(i member.Incarnation) (member.Record, bool) {
	record, ok := d.slot(i.Slot())
	return record, ok && record.Incarnation == i
}

// all returns the newest records of all slots, sorted by slot.
func (d *directory) all() []member.Record {
	d.mu.RLock()
	defer d.mu.RUnlock()
	records := make([]member.Record, 0, len(d.members))
	for _, record := range d.members {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b member.Record) int { return cmp.Compare(a.Incarnation.Slot(), b.Incarnation.Slot()) })
	return records
}

// hashRank returns how many ready members of a data centre have a lower slot hash than the given slot.
func (d *directory) hashRank(region, dataCentre, slot string) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	hash, rank := partition.Hash(slot), 0
	for name, m := range d.members {
		if m.DataCentre == dataCentre && m.Region == region && m.State == member.Ready && partition.Hash(name) < hash {
			rank++
		}
	}
	return rank
}

// Map returns the newest map of a service, or nil.
func (d *directory) Map(service string) *partition.Map {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.maps[service]
}

// setMap stores a map if it is newer than the stored one of its service, and reports whether it did.
func (d *directory) setMap(m *partition.Map) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.maps[m.Service()]; known != nil && known.Version() >= m.Version() {
		return false
	}
	d.maps[m.Service()] = m
	return true
}

// successors returns the incarnations that may take over partitions from one whose lease has expired, in no particular order.
func (d *directory) successors(i member.Incarnation) []member.Incarnation {
	record, ok := d.slot(i.Slot())
	if !ok {
		return nil
	}
	m := d.Map(record.Service)
	if m == nil {
		return nil
	}
	found := map[member.Incarnation]bool{}
	for p := range m.Partitions() {
		if m.MayServe(p, i) {
			for _, successor := range m.Entry(p).Members {
				found[successor] = true
			}
		}
	}
	delete(found, i)
	list := make([]member.Incarnation, 0, len(found))
	for successor := range found {
		list = append(list, successor)
	}
	return list
}
