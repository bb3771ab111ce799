package sidecar

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/gateway"
	"sapphiretray/keyspace"
	"sapphiretray/loglimit"
	"sapphiretray/member"
	"sapphiretray/store"
)

// stuckAfter is the time after the close of a data centre from which keys that still have an owner there count as stuck: the planner can't
// write the key map. A planned move takes less.
const stuckAfter = time.Second

// applyEvacuations begins and ends the evacuations in the rows, in the order of their versions. A row that can't be used leaves the state
// of its data centre as it was. behind is the time since another instance announced the newest row, 0 if none did.
func (sc *Sidecar) applyEvacuations(rows []store.Row, d store.Delivery, behind time.Duration) {
	if sc.adapters.DecodeEvacuation == nil {
		return
	}
	age := behind
	switch {
	case sc.config.Version() == 0:
		// A process that has just started and hasn't listed the table finds evacuations of any age.
		age = sc.settings.EvacuationLimit
	case age == 0:
		// No other instance has announced the rows, so none may have got an answer from the store for as long.
		age = d.InDoubt
	}
	changed := false
	for _, row := range slices.SortedFunc(slices.Values(rows), func(a, b store.Row) int { return cmp.Compare(a.Version, b.Version) }) {
		if row.Lost {
			// The operator writes it again, or the follower delivers it once more as a deleted one.
			continue
		}
		n, ok, err := sc.adapters.DecodeEvacuation(row)
		switch now := time.Now(); {
		case !ok:
		case err != nil:
			klog.ErrorS(err, "evacuation: row refused", "key", loglimit.Text(row.Key), "row", row.Version, "source", d.Source)
		case n.Ended:
			if sc.directory.evacuations.End(n.DataCentre, now) {
				changed = true
				klog.InfoS("evacuation: ended", "dataCentre", n.DataCentre, "row", row.Version, "source", d.Source, "behind", behind)
			}
		default:
			if closes, begun := sc.directory.evacuations.Begin(n.DataCentre, now, age); begun {
				changed = true
				klog.InfoS("evacuation: begun", "dataCentre", loglimit.Text(n.DataCentre), "row", row.Version, "source", d.Source,
					"behind", behind, "inDoubt", d.InDoubt, "closesIn", closes.Sub(now),
					"instances", sc.directory.inDataCentre(n.DataCentre))
			}
		}
	}
	if changed {
		sc.directory.notifyChange()
		sc.planSoon()
	}
}

// isClosed reports whether the data centre of this instance is evacuated and closed, so that its upstream gets no further requests.
func (sc *Sidecar) isClosed() bool {
	_, closed := sc.directory.evacuations.ClosedFor(sc.settings.DataCentre, time.Now())
	return closed
}

// isEvacuated reports whether the data centre of an incarnation is evacuated.
func (sc *Sidecar) isEvacuated(i member.Incarnation) bool {
	r, ok := sc.directory.record(i.Slot())
	return ok && sc.directory.evacuations.Has(r.DataCentre)
}

// isAvoided reports whether an incarnation gets no keys because its data centre is evacuated, or was until a moment ago.
func (sc *Sidecar) isAvoided(i member.Incarnation) bool {
	r, ok := sc.directory.record(i.Slot())
	return ok && sc.directory.evacuations.Avoids(r.DataCentre, time.Now())
}

// explainEvacuations gives the moves from evacuated data centres their reason, and logs their number.
func (sc *Sidecar) explainEvacuations(version uint64, moves []keyspace.Move) {
	var dataCentres []string
	ranges, keys := 0, 0
	for n, move := range moves {
		r, ok := sc.directory.record(move.From.Slot())
		if !ok || !sc.directory.evacuations.Has(r.DataCentre) {
			continue
		}
		moves[n].Reason = "data centre " + r.DataCentre + " is evacuated"
		ranges, keys = ranges+1, keys+move.Size()
		if !slices.Contains(dataCentres, r.DataCentre) {
			dataCentres = append(dataCentres, r.DataCentre)
		}
	}
	if ranges > 0 {
		klog.InfoS("evacuation: keys leave", "service", sc.settings.Service, "version", version, "dataCentres", dataCentres,
			"ranges", ranges, "keys", keys)
	}
}

// inDataCentre returns the number of instances with a record in a data centre.
func (d *directory) inDataCentre(dataCentre string) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	n := 0
	for _, r := range d.records {
		if r.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// Evacuated implements ingress.Directory.
func (d *directory) Evacuated(service string, key int) bool {
	evacuated := d.evacuations.DataCentres()
	if len(evacuated) == 0 {
		return false
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	if key != gateway.NoKey {
		if e, ok := d.maps[service].keys.Find(uint16(key)); ok {
			closed, _ := d.evacuations.ClosedFor(d.records[e.Owner().Slot()].DataCentre, time.Now())
			if closed >= stuckAfter {
				return true
			}
		}
	}
	instances := 0
	for _, r := range d.records {
		if r.Service != service || r.State.Ended() {
			continue
		}
		if !slices.Contains(evacuated, r.DataCentre) {
			return false
		}
		instances++
	}
	return instances > 0
}
