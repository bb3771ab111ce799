package sidecar

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sapphiretray/member"
	"sapphiretray/store"
)

const (
	// readersPerDataCentre is the number of instances in a data centre that the others ask for changed rows, so that one may fail.
	readersPerDataCentre = 2
	// standbyDataCentres is the number of data centres from which on only the first reader of each watches the store. Each watcher makes a
	// call for each change, and with so many, another watcher announces the changes that one misses.
	standbyDataCentres = 3
	// standbyDelay is how long rows must have been missing for a standby to watch the store itself. The first reader usually has an
	// announced row within 310 ms: it pauses for 250 ms between two calls.
	standbyDelay = 500 * time.Millisecond
)

// isReader reports whether this instance watches the store for changed rows. The planner and one or two instances in each data centre do;
// the others fetch the rows from these, because calls to the store are billed and each change would cost one call per instance.
// An instance that knows of no reader watches the store itself.
func (sc *Sidecar) isReader() bool {
	slots := sc.readers()
	position := slices.Index(slots, sc.settings.Slot)
	switch {
	case sc.planner.active(time.Now()), len(slots) == 0, position == 0:
		return true
	case position < 0:
		return false
	default:
		return sc.directory.dataCentres() < standbyDataCentres || sc.rows.IncompleteFor() >= standbyDelay
	}
}

// fetchFromReader merges the rows of another reader in the data centre and returns false if none responds that knows all changes. A
// reader that has listed the table again lacks changes before its listing; one call to the store gets past these.
func (sc *Sidecar) fetchFromReader(ctx context.Context, f *store.Follower) bool {
	return slices.ContainsFunc(sc.readers(), func(slot string) bool {
		if slot == sc.settings.Slot {
			return false
		}
		complete, ok := sc.fetchAndMerge(ctx, slot, f, fetchTimeout)
		return ok && complete > 0
	})
}

// readers returns the slots of the readers in the local data centre. Unreachable instances are left out.
func (sc *Sidecar) readers() []string {
	records := slices.DeleteFunc(sc.reachable(), func(r member.Record) bool { return r.DataCentre != sc.settings.DataCentre })
	return slotsOf(records[:min(len(records), readersPerDataCentre)])
}

// reachable returns the records of the instances that haven't ended and aren't unreachable: those that are ready first, since the records
// of instances that have drained and left stay in the store, and among them those with most processor time, which also tend to have the
// best links.
func (sc *Sidecar) reachable() []member.Record {
	unreachable := sc.directory.unreachableSlots()
	records := slices.DeleteFunc(sc.directory.all(), func(r member.Record) bool {
		return r.State.Ended() || slices.Contains(unreachable, r.Incarnation.Slot())
	})
	slices.SortFunc(records, func(a, b member.Record) int {
		return cmp.Or(compareReady(a, b), cmp.Compare(b.Processor, a.Processor),
			cmp.Compare(xxhash.Sum64String(a.Incarnation.Slot()), xxhash.Sum64String(b.Incarnation.Slot())))
	})
	return records
}

// compareReady orders records of instances that are ready before others.
func compareReady(a, b member.Record) int {
	return compareFirst(a.State == member.Ready, b.State == member.Ready)
}

// compareFirst orders what has a property before what hasn't.
func compareFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// slotsOf returns the slots of records.
func slotsOf(records []member.Record) []string {
	slots := make([]string, 0, len(records))
	for _, r := range records {
		slots = append(slots, r.Incarnation.Slot())
	}
	return slots
}
