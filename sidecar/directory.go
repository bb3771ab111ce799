package sidecar

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"k8s.io/klog/v2"

	"sapphiretray/ingress"
	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/store"
)

// directory holds the records of the instances and the key maps of the services, as read from the store's rows. It implements
// ingress.Directory.
type directory struct {
	// self is the slot of this instance.
	self string

	mu sync.RWMutex
	// records holds the newest record of each slot, and history the records of up to maxHistory incarnations of each slot, oldest first.
	records map[string]member.Record
	history map[string][]member.Record
	// registered holds the newest version of the row of each slot. No incarnation in it has a higher number.
	registered map[string]uint64
	// maps holds the newest key map of each service.
	maps map[string]mapRow
	// unreachable holds the slots whose instances aren't chosen until they respond again.
	unreachable map[string]bool
	// leaving holds the incarnations that have announced that they take no more work.
	leaving map[member.Incarnation]bool
	// changed is closed and replaced by notify.
	changed chan struct{}
}

// mapRow is a key map with the version of its row. The zero value, with nil keys, means that the service has none.
type mapRow struct {
	keys    *keyspace.Map
	version uint64
}

func newDirectory(self string) *directory {
	return &directory{
		self: self, records: make(map[string]member.Record), history: make(map[string][]member.Record),
		registered: make(map[string]uint64), maps: make(map[string]mapRow),
		unreachable: make(map[string]bool), leaving: make(map[member.Incarnation]bool), changed: make(chan struct{}),
	}
}

// apply updates the directory from changed rows.
func (d *directory) apply(rows []store.Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, row := range rows {
		if slot, ok := strings.CutPrefix(row.Key, member.RowPrefix); ok {
			d.applyRecord(slot, row)
		} else if service, ok := strings.CutPrefix(row.Key, keyspace.RowPrefix); ok {
			d.applyMap(service, row)
		}
	}
	d.notify()
}

// applyRecord updates the record of a slot. It ignores a record that can't be used or is of an earlier incarnation than the known one. mu
// must be held.
func (d *directory) applyRecord(slot string, row store.Row) {
	d.registered[slot] = max(d.registered[slot], row.Version)
	if row.Deleted {
		delete(d.records, slot)
		delete(d.unreachable, slot)
		return
	}
	record, err := decodeRecord(row)
	known := d.records[slot].Incarnation
	if err == nil && record.Incarnation.Number() < known.Number() {
		err = fmt.Errorf("incarnation %s is older than %s", record.Incarnation, known)
	}
	if err != nil {
		klog.ErrorS(err, "directory: invalid record ignored", "slot", slot, "version", row.Version)
		return
	}
	if known != record.Incarnation {
		delete(d.unreachable, slot)
		delete(d.leaving, known)
	}
	d.records[slot] = record
	d.remember(record)
}

// applyMap updates the key map of a service if it is newer. mu must be held.
func (d *directory) applyMap(service string, row store.Row) {
	if row.Deleted {
		return
	}
	keys, err := keyspace.Decode(row.Value, row.Version)
	if err != nil {
		klog.ErrorS(err, "directory: invalid key map ignored", "service", service, "version", row.Version)
		return
	}
	if keys.Version() > d.maps[service].keys.Version() {
		d.maps[service] = mapRow{keys: keys, version: row.Version}
	}
}

// incarnationNumbers returns the number of the newest incarnation of each given slot, 0 for a slot without a record.
func (d *directory) incarnationNumbers(slots []string) map[string]uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	numbers := make(map[string]uint64, len(slots))
	for _, slot := range slots {
		numbers[slot] = d.records[slot].Incarnation.Number()
	}
	return numbers
}

// notify wakes all goroutines that wait for a change. mu must be held.
func (d *directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Self implements ingress.Directory.
func (d *directory) Self() string { return d.self }

// Changed implements ingress.Directory.
func (d *directory) Changed() <-chan struct{} {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changed
}

// Targets implements ingress.Directory.
func (d *directory) Targets(service string) []ingress.Target {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var targets []ingress.Target
	for slot, r := range d.records {
		if r.Service == service && r.State == member.Ready && !d.unreachable[slot] && !d.leaving[r.Incarnation] {
			targets = append(targets, target(r))
		}
	}
	return targets
}

// target converts the record of an instance to a target of requests.
func target(r member.Record) ingress.Target {
	return ingress.Target{Slot: r.Incarnation.Slot(), Address: r.PeerAddress, DataCentre: r.DataCentre}
}

// Owner implements ingress.Directory.
func (d *directory) Owner(service string, key uint16) (ingress.Target, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, ok := d.maps[service].keys.Find(key)
	if !ok {
		return ingress.Target{}, false
	}
	return d.instance(e.Owner().Slot())
}

// Instance implements ingress.Directory.
func (d *directory) Instance(slot string) (ingress.Target, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.instance(slot)
}

// instance returns the instance in a slot, and false if it is unknown or unreachable. mu must be held.
func (d *directory) instance(slot string) (ingress.Target, bool) {
	r, ok := d.records[slot]
	if !ok || d.unreachable[slot] {
		return ingress.Target{}, false
	}
	return target(r), true
}

// MarkUnreachable implements ingress.Directory.
func (d *directory) MarkUnreachable(slot string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slot == d.self || d.unreachable[slot] {
		return
	}
	klog.InfoS("directory: instance unreachable", "slot", slot, "name", d.records[slot].Name)
	d.unreachable[slot] = true
}

// MarkLeaving implements ingress.Directory.
func (d *directory) MarkLeaving(slot string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving[d.records[slot].Incarnation] = true
}

// markReachable records that an instance responds again.
func (d *directory) markReachable(slot string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.unreachable[slot] {
		return
	}
	klog.InfoS("directory: instance reachable", "slot", slot, "name", d.records[slot].Name)
	delete(d.unreachable, slot)
	d.notify()
}

// unreachableSlots returns the slots of the unreachable instances, in no particular order.
func (d *directory) unreachableSlots() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	slots := make([]string, 0, len(d.unreachable))
	for slot := range d.unreachable {
		slots = append(slots, slot)
	}
	return slots
}

// record returns the newest record of a slot, and false if there is none.
func (d *directory) record(slot string) (member.Record, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	r, ok := d.records[slot]
	return r, ok
}

// all returns the newest record of each slot, sorted by slot.
func (d *directory) all() []member.Record {
	d.mu.RLock()
	defer d.mu.RUnlock()
	records := make([]member.Record, 0, len(d.records))
	for _, r := range d.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b member.Record) int { return cmp.Compare(a.Incarnation.Slot(), b.Incarnation.Slot()) })
	return records
}

// size returns the number of instances with a record.
func (d *directory) size() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.records)
}

// newestRegistered returns the largest number that an incarnation of each slot can have had so far.
func (d *directory) newestRegistered() map[string]uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return maps.Clone(d.registered)
}

// keyMap returns the newest key map of a service.
func (d *directory) keyMap(service string) mapRow {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.maps[service]
}
