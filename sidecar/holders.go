package sidecar

import (
	"maps"
	"slices"
	"time"

	"sapphiretray/member"
	"sapphiretray/store"
)

// markListed records that the rows were listed at a version.
func (d *directory) markListed(version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed, d.listedUpTo, d.era = time.Now(), version, max(d.era, store.Era(version))
}

// unlistedWait is how long after the listing a record that was removed or replaced before it may come back. A running instance writes its
// record again within restoreInterval after it has learned of the change, which takes up to 6 s if it doesn't watch the store.
const unlistedWait = 10 * time.Second

// neverRegistered reports whether an incarnation that a key map names doesn't exist. complete is the version up to which the rows are known
// to be complete. An incarnation is registered by a row of its slot, of a version that isn't below its number, before any map names it.
// The row of one with a number up to the first listing may have been removed before it. It counts as absent once unlistedWait has passed
// without a sign of life of its slot.
func (d *directory) neverRegistered(i member.Incarnation, complete uint64) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	newest := d.registered[i.Slot()]
	if newest >= i.Number() || d.listed.IsZero() {
		return false
	}
	for _, m := range d.maps {
		if complete < max(m.version, m.lostAt) {
			return false
		}
	}
	silent := time.Since(d.listed) >= unlistedWait && time.Since(d.heard[i.Slot()]) >= unlistedWait
	return newest > 0 || i.Number() > d.listedUpTo || silent
}

// hear records a sign of life of the instance in a slot without a known row, which the store may keep from writing its record again.
func (d *directory) hear(slot string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.heard[slot]; d.registered[slot] == 0 && (known || len(d.heard) < maxAnnouncers) {
		d.heard[slot] = time.Now()
	}
}

// lacksRecords reports whether an instance may run whose record another writer had replaced by an odd one when the rows were listed, so
// that its incarnation isn't known.
func (d *directory) lacksRecords() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if !d.listed.IsZero() && time.Since(d.listed) >= unlistedWait {
		return false
	}
	for slot := range d.registered {
		if len(d.history[slot]) == 0 {
			return true
		}
	}
	return false
}

// possibleHolders returns the incarnations of a service that may serve keys under any key map, or whose upstream still may. One whose
// record was removed counts, since it may run. They are complete up to the version up to which the rows are.
func (d *directory) possibleHolders(service string) []member.Incarnation {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var holders []member.Incarnation
	for _, slot := range slices.Sorted(maps.Keys(d.history)) {
		history := d.history[slot]
		last := history[len(history)-1]
		for _, r := range history[max(0, len(history)-holdersPerSlot):] {
			if r.Service == service && upstreamRunOf(r).Same(upstreamRunOf(last)) {
				holders = append(holders, r.Incarnation)
			}
		}
	}
	return holders
}

// holdersBeforeListing returns the incarnations of a service that may serve keys under a map that was removed before the rows were listed.
// Without witnesses, an incarnation has had no lease.
func (d *directory) holdersBeforeListing(service string) []member.Incarnation {
	holders := d.possibleHolders(service)
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.DeleteFunc(holders, func(i member.Incarnation) bool {
		r, _ := d.recordOf(i)
		return len(r.Witnesses) == 0 || !d.listed.IsZero() && i.Number() > d.listedUpTo
	})
}
