package mesh

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sapphiretray/store"
)

// readersPerDataCentre is the number of instances in a data centre that await changes of the rows; one may fail.
const readersPerDataCentre = 2

// isReader reports whether this instance awaits changes of the rows at the store: a few in each data centre do, and the planner.
// The others get them from these. Each call to the store is priced, and every change would cost one for each instance. An instance
// that knows of none has nobody else to ask.
func (m *Mesh) isReader() bool {
	slots := m.readers()
	return m.planner.active(time.Now()) || len(slots) == 0 || slices.Contains(slots, m.settings.Slot)
}

// fetchFromReader merges the rows that a reader of the data centre has, and returns false if none answers.
func (m *Mesh) fetchFromReader(ctx context.Context, f *store.Follower) bool {
	return slices.ContainsFunc(m.readers(), func(slot string) bool {
		return slot != m.settings.Slot && m.fetchAndMerge(ctx, slot, f)
	})
}

// readers returns the slots that await changes of the rows in the own data centre. Instances that don't answer are left out.
func (m *Mesh) readers() []string {
	unreachable := m.directory.unreachableSlots()
	var slots []string
	for _, r := range m.directory.all() {
		slot := r.Incarnation.Slot()
		if r.DataCentre == m.settings.DataCentre && !r.State.Gone() && !slices.Contains(unreachable, slot) {
			slots = append(slots, slot)
		}
	}
	slices.SortFunc(slots, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	return slots[:min(len(slots), readersPerDataCentre)]
}
