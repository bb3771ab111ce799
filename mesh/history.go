package mesh

import (
	"sapphiretray/gateway"
	"sapphiretray/member"
)

// maxHistory bounds the remembered records of earlier incarnations of one slot.
const maxHistory = 16

// remember keeps a record for questions about its incarnation after it was replaced. The lock is held.
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

func (d *directory) recordOf(i member.Incarnation) (member.Record, bool) {
	for _, r := range d.history[i.Slot()] {
		if r.Incarnation == i {
			return r, true
		}
	}
	return member.Record{}, false
}

// witnessesOf returns the witnesses of an incarnation.
func (d *directory) witnessesOf(i member.Incarnation) ([]string, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	r, ok := d.recordOf(i)
	return r.Witnesses, ok && len(r.Witnesses) > 0
}

// ended reports whether a newer record shows that the upstream of an incarnation has ended, so that it holds nothing.
func (d *directory) ended(i member.Incarnation) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	current, ok := d.records[i.Slot()]
	if !ok {
		return false
	}
	past, known := d.recordOf(i)
	return known && current.Incarnation.Number() > i.Number() && !lifeOf(current).Same(lifeOf(past))
}

// lifeOf returns the run of the upstream that a record names.
func lifeOf(r member.Record) gateway.Life {
	return gateway.Life{ID: r.Upstream, Started: r.UpstreamStarted}
}
