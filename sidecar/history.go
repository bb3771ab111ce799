package sidecar

import (
	"sapphiretray/gateway"
	"sapphiretray/member"
)

// maxHistory is the largest number of incarnations of a slot whose records are kept, the current one included.
const maxHistory = 16

// holdersPerSlot is the number of incarnations of a slot that are possible holders of keys. The release of keys by the one before the
// current waits for the end of all grants of earlier processes.
const holdersPerSlot = 2

// remember keeps a record, so that its incarnation can still be looked up after the record was replaced. mu must be held.
func (d *directory) remember(r member.Record) {
	slot := r.Incarnation.Slot()
	history := d.history[slot]
	if n := len(history); n > 0 && history[n-1].Incarnation == r.Incarnation {
		history[n-1] = r
		return
	}
	if len(history) >= maxHistory {
		history = history[1:]
	}
	d.history[slot] = append(history, r)
}

// recordOf returns the record of an incarnation, which may have been replaced. mu must be held.
func (d *directory) recordOf(i member.Incarnation) (member.Record, bool) {
	for _, r := range d.history[i.Slot()] {
		if r.Incarnation == i {
			return r, true
		}
	}
	return member.Record{}, false
}

// witnessesOf returns the slots of an incarnation's witnesses, and false if they aren't known.
func (d *directory) witnessesOf(i member.Incarnation) ([]string, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	r, ok := d.recordOf(i)
	return r.Witnesses, ok && len(r.Witnesses) > 0
}

// ended reports whether a newer record names another run of the upstream, or a record says that the lease of the incarnation or of a newer
// one in its slot has expired. The run of the incarnation has then ended. What the incarnation may have granted to a later run, before that
// run had registered, was released before the record was written, see clearEarlierGrants.
func (d *directory) ended(i member.Incarnation) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, r := range d.history[i.Slot()] {
		if r.State == member.Expired && r.Incarnation.Number() >= i.Number() {
			return true
		}
	}
	current, ok := d.records[i.Slot()]
	if !ok {
		return false
	}
	past, known := d.recordOf(i)
	return known && current.Incarnation.Number() > i.Number() && !upstreamRunOf(current).Same(upstreamRunOf(past))
}

// lastRecord returns the newest record of a slot, which may have been removed, and false if there was none.
func (d *directory) lastRecord(slot string) (member.Record, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if r, ok := d.records[slot]; ok {
		return r, true
	}
	if history := d.history[slot]; len(history) > 0 {
		return history[len(history)-1], true
	}
	return member.Record{}, false
}

// upstreamRunOf returns the run of the upstream in a record.
func upstreamRunOf(r member.Record) gateway.UpstreamRun {
	return gateway.UpstreamRun{ID: r.Upstream, Started: r.UpstreamStarted}
}
