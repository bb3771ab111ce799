package sidecar

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/evacuation"
	"sapphiretray/ingress"
	"sapphiretray/keyspace"
	"sapphiretray/loglimit"
	"sapphiretray/member"
	"sapphiretray/store"
)

// directory holds the records of the instances and the key maps of the services, as read from the store's rows. It implements
// ingress.Directory.
type directory struct {
	// self is the slot of this instance.
	self string
	// evacuations holds the data centres that are evacuated.
	evacuations *evacuation.Registry

	mu sync.RWMutex
	// records holds the newest record of each slot, and history the records of up to maxHistory incarnations of each slot, oldest first.
	records map[string]member.Record
	history map[string][]member.Record
	// registered holds the newest version of the row of each slot. No incarnation in it has a higher number.
	registered map[string]uint64
	// listed is when the rows had been listed, zero before, and listedUpTo the version of the listing. Rows that were removed before it
	// aren't known.
	listed     time.Time
	listedUpTo uint64
	// era is the newest era of the store of which a row is known.
	era uint64
	// heard is when the instance in a slot that was never registered gave the last sign of life.
	heard map[string]time.Time
	// maps holds the newest key map of each service.
	maps map[string]mapRow
	// awaiting holds the rows of key maps that aren't used because no record names one of their owners, by service.
	awaiting map[string]store.Row
	// pushed holds the versions of the rows of key maps that the planner has sent, by service.
	pushed map[string]uint64
	// unreachable holds the slots whose instances aren't chosen until they respond again.
	unreachable map[string]bool
	// logLimit limits the log lines about rows and holders.
	logLimit loglimit.Limiter
	// leaving holds the incarnations that have announced that they take no more work.
	leaving map[member.Incarnation]bool
	// changed is closed and replaced by notify.
	changed chan struct{}
}

// mapRow is a key map with the state of its row. The zero value, with nil keys, means that the service has none.
type mapRow struct {
	keys *keyspace.Map
	// version is the version of the row that the next map has to replace, 0 if there is none.
	version uint64
	// lostAt is the version at which another writer has replaced the row by one that isn't a newer map, or removed it; 0 if the row
	// holds keys.
	lostAt uint64
	// awaitsRecords means that the row at lostAt holds a map with owners that no record names. Their records may arrive later.
	awaitsRecords bool
	// awaited is the version of that map, 0 if there is none. A planner may have sent it to its owners already.
	awaited uint64
	// earlierEra means that keys is of an earlier era of the store than its row or the loss of that. Newer maps may have been lost, and
	// with them the records of their owners.
	earlierEra bool
	// unconfirmed means that this process knows keys only from a row of a later era, whose writer may have known nothing of the maps before
	// it. Requests are routed by it, but no keys are claimed.
	unconfirmed bool
	// setAside are the incarnations that the rows since that of keys name, none of which could be used.
	setAside []member.Incarnation
}

// lastFence returns the highest fencing token of the maps so far. The tokens of later maps are higher.
func (r mapRow) lastFence() uint64 {
	last := keyspace.Fence(max(r.keys.Version(), r.awaited)+1, 0) - 1
	if !r.awaitsRecords {
		// The next map will have a version above that of a lost row.
		last = max(last, keyspace.Fence(r.lostAt+1, 0)-1)
	}
	return last
}

func newDirectory(self string) *directory {
	return &directory{
		self: self, evacuations: new(evacuation.Registry),
		records: make(map[string]member.Record), history: make(map[string][]member.Record),
		registered: make(map[string]uint64), maps: make(map[string]mapRow), awaiting: make(map[string]store.Row),
		pushed: make(map[string]uint64), heard: make(map[string]time.Time),
		unreachable: make(map[string]bool), leaving: make(map[member.Incarnation]bool), changed: make(chan struct{}),
	}
}

// apply updates the directory from changed rows.
func (d *directory) apply(rows []store.Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteEra(rows)
	for _, row := range rows {
		if slot, ok := strings.CutPrefix(row.Key, member.RowPrefix); ok {
			d.applyRecord(slot, row)
		} else if service, ok := strings.CutPrefix(row.Key, keyspace.RowPrefix); ok {
			d.awaiting[service] = row
		}
	}
	for service, row := range d.awaiting {
		d.applyMap(service, row)
		if !d.maps[service].awaitsRecords {
			delete(d.awaiting, service)
		}
	}
	d.notify()
}

// applyRecord updates the record of a slot. It ignores a record that can't be used or is of an earlier incarnation than the known one. mu
// must be held.
func (d *directory) applyRecord(slot string, row store.Row) {
	d.registered[slot] = max(d.registered[slot], row.Version)
	if row.Lost {
		// The instance may run, and writes its record again.
		return
	}
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
		d.logInvalid(row, err)
		return
	}
	if known != record.Incarnation {
		delete(d.unreachable, slot)
		delete(d.leaving, known)
	}
	d.records[slot] = record
	d.remember(record)
}

// logInvalid logs the row of a record that isn't used.
func (d *directory) logInvalid(row store.Row, err error) {
	if reason := loglimit.Text(err.Error()); d.logLimit.Allow(row.Key + "\x00" + reason) {
		klog.InfoS("directory: invalid record ignored", "key", loglimit.Text(row.Key), "version", row.Version, "err", reason)
	}
}

// applyMap updates the key map of a service if it is newer. The known one stays in use if the row holds no newer map any more, or one
// with an owner that no record names. mu must be held.
func (d *directory) applyMap(service string, row store.Row) {
	known := d.maps[service]
	earlierEra := store.Era(known.keys.Version()) < store.Era(row.Version)
	if row.Deleted {
		klog.InfoS("directory: key map removed", "service", service, "version", row.Version, "lost", row.Lost)
		d.maps[service] = mapRow{
			keys: known.keys, lostAt: row.Version, earlierEra: earlierEra, unconfirmed: known.unconfirmed, setAside: known.setAside,
		}
		return
	}
	keys, err := keyspace.Decode(row.Value, row.Version)
	switch {
	case err != nil:
	case store.Era(keys.Version()) < store.Era(row.Version):
		// Maps that were written after this one may be lost, or it was written late over another one.
		err = fmt.Errorf("map version %d is of an earlier era of the store", keys.Version())
		if known.keys == nil {
			d.logSetAside(row, known, keys.Holders(), err)
			d.maps[service] = mapRow{
				keys: keys, version: row.Version, lostAt: row.Version, earlierEra: true, unconfirmed: true, setAside: known.setAside,
			}
			return
		}
	case keys.Version() <= known.keys.Version():
		err = fmt.Errorf("map version %d isn't newer than %d", keys.Version(), known.keys.Version())
	}
	awaits, awaited := false, uint64(0)
	if err == nil && d.pushed[service] != row.Version {
		err = d.checkOwners(keys)
		if awaits = err != nil; awaits {
			awaited = keys.Version()
		}
	}
	if err == nil {
		d.maps[service] = mapRow{keys: keys, version: row.Version}
		return
	}
	named := keys.Holders()
	d.logSetAside(row, known, named, err)
	d.maps[service] = mapRow{
		keys: known.keys, version: row.Version, lostAt: row.Version, awaitsRecords: awaits, awaited: awaited,
		earlierEra: earlierEra, unconfirmed: known.unconfirmed, setAside: union(known.setAside, named),
	}
}

// logSetAside logs the row of a key map that isn't used, with the incarnations that it names.
func (d *directory) logSetAside(row store.Row, known mapRow, named []member.Incarnation, err error) {
	reason := loglimit.Text(err.Error())
	if !d.logLimit.Allow(row.Key + "\x00" + reason) {
		return
	}
	klog.InfoS("directory: key map set aside", "key", loglimit.Text(row.Key), "version", row.Version, "known", known.keys.Version(),
		"knownRow", known.version, "holders", len(named), "err", reason)
	klog.V(1).InfoS("directory: holders of a key map that was set aside", "version", row.Version, "holders", named)
}

// union returns the incarnations that are in either list, each of which has no duplicates.
func union(a, b []member.Incarnation) []member.Incarnation {
	all, known := slices.Clone(a), make(map[member.Incarnation]bool, len(a)+len(b))
	for _, i := range a {
		known[i] = true
	}
	return append(all, slices.DeleteFunc(slices.Clone(b), func(i member.Incarnation) bool { return known[i] })...)
}

// acceptPushed lets the key maps in rows that the planner has sent be used before the records of their owners, which the planner knows,
// arrive from the store.
func (d *directory) acceptPushed(rows []store.Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, row := range rows {
		if service, ok := strings.CutPrefix(row.Key, keyspace.RowPrefix); ok {
			d.pushed[service] = row.Version
		}
	}
}

// checkOwners returns an error if a map has an owner in a slot that was never registered. The incarnation isn't checked: the planner may
// have the record of a restarted owner before this instance. mu must be held.
func (d *directory) checkOwners(keys *keyspace.Map) error {
	for _, e := range keys.Entries() {
		owner := e.Owner()
		if d.registered[owner.Slot()] == 0 {
			return fmt.Errorf("no record names %s, the owner of keys %s", owner, e.Range)
		}
	}
	return nil
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

// notifyChange wakes all goroutines that wait for a change.
func (d *directory) notifyChange() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notify()
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
	now := time.Now()
	for slot, r := range d.records {
		if r.Service == service && r.State == member.Ready && !d.unreachable[slot] && !d.leaving[r.Incarnation] &&
			!d.evacuations.Avoids(r.DataCentre, now) {
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
	if _, closed := d.evacuations.ClosedFor(r.DataCentre, time.Now()); closed {
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

// count returns the number of instances of a service with a record.
func (d *directory) count(service string) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	n := 0
	for _, r := range d.records {
		if r.Service == service {
			n++
		}
	}
	return n
}

// dataCentres returns the number of data centres with a record.
func (d *directory) dataCentres() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	names := make(map[string]struct{})
	for _, r := range d.records {
		names[r.DataCentre] = struct{}{}
	}
	return len(names)
}

// isRegistered reports whether a row of the slot is known that may have registered an incarnation, see nextIncarnation.
func (d *directory) isRegistered(i member.Incarnation) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return i.Number() > 0 && d.registered[i.Slot()] >= i.Number()
}

// newestRegistered returns the largest number that an incarnation of each slot can have had so far.
func (d *directory) newestRegistered() map[string]uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return maps.Clone(d.registered)
}

// hasMaps reports whether a row of a key map is known, even if it can't be used.
func (d *directory) hasMaps() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.maps) > 0
}

// newestEpoch returns the newest epoch of the keys in a range, 0 if there is no key map.
func (d *directory) newestEpoch(service string, r keyspace.Range) uint64 {
	var newest uint64
	for _, e := range d.keyMap(service).keys.Entries() {
		if e.Overlaps(r) {
			newest = max(newest, e.Epoch)
		}
	}
	return newest
}

// keyMap returns the newest key map of a service.
func (d *directory) keyMap(service string) mapRow {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.maps[service]
}
