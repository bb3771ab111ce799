package mesh

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"sapphiretray/peer"
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
	for _, slot := range m.readers() {
		if slot == m.settings.Slot {
			continue
		}
		err := m.fetch(ctx, slot, f)
		if err == nil {
			return true
		}
		klog.V(1).InfoS("news: fetch failed", "slot", slot, "table", f.Table(), "err", err)
	}
	return false
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

// pushRow brings a row of the product's table to another instance.
func (m *Mesh) pushRow(slot string, row store.Row) {
	value, err := json.Marshal([]store.Row{row})
	if err != nil {
		klog.ErrorS(err, "news: row can't be pushed", "key", row.Key)
		return
	}
	ctx, cancel := context.WithTimeout(m.running, fetchTimeout)
	defer cancel()
	client, err := m.dialSlot(slot)
	if err == nil {
		_, err = client.Push(ctx, &peer.PushRequest{Kind: Table, Value: value})
	}
	if err != nil && m.running.Err() == nil {
		klog.V(1).InfoS("news: row not pushed", "slot", slot, "key", row.Key, "err", err)
	}
}
