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

const (
	// readersPerDataCentre is the number of instances in a data centre that await changes of the rows; one may fail.
	readersPerDataCentre = 2
	// configReadersPerDataCentre is the same for the configuration, which has to be in force everywhere within two seconds. Small
	// deployments read it at each instance.
	configReadersPerDataCentre = 4
	// configSources is the number of readers that push a new configuration to an instance; one may fail.
	configSources = 2
)

// isReader reports whether this instance awaits changes of the rows at the store: a few in each data centre do, and the planner.
// The others get them from these. Each call to the store is priced, and every change would cost one for each instance.
func (m *Mesh) isReader() bool {
	return m.planner.active(time.Now()) || m.isAmongReaders(readersPerDataCentre)
}

// isConfigReader reports whether this instance awaits changes of the configuration at the store. Without a configuration, each does.
func (m *Mesh) isConfigReader() bool {
	return m.routes.Load() == nil || m.isAmongReaders(configReadersPerDataCentre)
}

// isAmongReaders reports whether this instance is one of the first of its data centre. One that knows of none has nobody else to ask.
func (m *Mesh) isAmongReaders(count int) bool {
	slots := m.readers(count)
	return len(slots) == 0 || slices.Contains(slots, m.settings.Slot)
}

// fetchFromReader merges the rows that a reader of the data centre has, and returns false if none answers.
func (m *Mesh) fetchFromReader(ctx context.Context, f *store.Follower) bool {
	for _, slot := range m.readers(readersPerDataCentre) {
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

// readers returns the first slots of the own data centre, in an order that all instances agree on.
func (m *Mesh) readers(count int) []string {
	slots := m.neighbours()
	return slots[:min(len(slots), count)]
}

// neighbours returns the slots of the own data centre. Instances that don't answer are left out.
func (m *Mesh) neighbours() []string {
	unreachable := m.directory.unreachableSlots()
	var slots []string
	for _, r := range m.directory.all() {
		slot := r.Incarnation.Slot()
		if r.DataCentre == m.settings.DataCentre && !r.State.Gone() && !slices.Contains(unreachable, slot) {
			slots = append(slots, slot)
		}
	}
	slices.SortFunc(slots, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	return slots
}

// spreadConfig pushes a new configuration to the instances of the data centre that don't await it at the store. Who misses it learns
// of it from the versions in heartbeats and forwarded requests.
func (m *Mesh) spreadConfig(row store.Row) {
	if m.group == nil {
		return
	}
	for _, slot := range configTargets(m.neighbours(), m.settings.Slot) {
		m.group.Go(func() error {
			m.pushRow(slot, m.ports.ConfigTable, row)
			return nil
		})
	}
}

// configTargets returns the slots, out of those of a data centre in their order, that a slot pushes a configuration to.
func configTargets(slots []string, self string) []string {
	readers := slots[:min(len(slots), configReadersPerDataCentre)]
	rank := slices.Index(readers, self)
	if rank < 0 {
		return nil
	}
	var targets []string
	for n, slot := range slots[len(readers):] {
		if (n-rank+len(readers))%len(readers) < configSources {
			targets = append(targets, slot)
		}
	}
	return targets
}

// pushRow brings a row to another instance.
func (m *Mesh) pushRow(slot, table string, row store.Row) {
	value, err := json.Marshal([]store.Row{row})
	if err != nil {
		klog.ErrorS(err, "news: row can't be pushed", "table", table, "key", row.Key)
		return
	}
	ctx, cancel := context.WithTimeout(m.running, fetchTimeout)
	defer cancel()
	client, err := m.dialSlot(slot)
	if err == nil {
		_, err = client.Push(ctx, &peer.PushRequest{Kind: table, Value: value})
	}
	if err != nil && m.running.Err() == nil {
		klog.V(1).InfoS("news: row not pushed", "slot", slot, "table", table, "key", row.Key, "err", err)
	}
}
