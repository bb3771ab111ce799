package sidecar

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/store"
)

// TestReadersWatchTheStore guards against more calls to the store than changes need, and against a data centre in which nobody watches it
// any more because its first reader has failed, or can't reach the store.
func TestReadersWatchTheStore(t *testing.T) {
	const instances = 12
	newProcess := func(t *testing.T, slot string) *Sidecar {
		t.Helper()
		sc := newLinkedSidecar(t, &slowLink{took: time.Millisecond}, instances)
		var rows []store.Row
		for n := range instances {
			rows = append(rows, linkedRecordRow(t, n, 1, uint64(n+1)))
		}
		sc.settings.Slot, sc.directory.self = slot, slot
		sc.settings.DataCentre = "dc-0"
		sc.directory.apply(rows)
		sc.rows = store.NewFollower(newLaggingStore(rows, 100), TableName, nil)
		return sc
	}
	bubble.Test(t, func(t *testing.T) {
		order := newProcess(t, "10.0.0.0").readers()
		first, second := newProcess(t, order[0]), newProcess(t, order[1])
		var others []*Sidecar
		for n := 0; n < instances; n += 3 {
			if slot := fmt.Sprint("10.0.0.", n); slot != order[0] && slot != order[1] {
				others = append(others, newProcess(t, slot))
			}
		}
		watching := func(want ...bool) {
			t.Helper()
			for n, sc := range append([]*Sidecar{first, second}, others...) {
				if got := sc.isReader(); got != (n < len(want) && want[n]) {
					t.Errorf("%s, number %d in order, watches the store: %v", sc.settings.Slot, n, got)
				}
			}
		}
		watching(true)
		// The store doesn't deliver a change that another data centre announces.
		second.rows.Expect(200)
		time.Sleep(standbyDelay - time.Millisecond)
		watching(true)
		time.Sleep(time.Millisecond)
		watching(true, true)
		second = newProcess(t, order[1])
		watching(true)
		second.directory.MarkUnreachable(order[0])
		if !second.isReader() {
			t.Error("no reader takes over from one that can't be reached")
		}
	})
}

// TestReadersAreReady guards against a data centre whose rows are late because the others ask readers that have left, whose records stay in
// the store.
func TestReadersAreReady(t *testing.T) {
	const instances = 12
	sc := newLinkedSidecar(t, &slowLink{took: time.Millisecond}, instances)
	sc.settings.DataCentre = "dc-0"
	for n := range instances {
		sc.directory.apply([]store.Row{linkedRecordRow(t, n, 1, uint64(n+1))})
	}
	left := sc.readers()
	for n := range instances {
		if row := linkedRecordRow(t, n, 1, uint64(instances+n+1)); slices.Contains(left, fmt.Sprint("10.0.0.", n)) {
			sc.directory.apply([]store.Row{drainingRow(row)})
		}
	}
	for _, slot := range sc.readers() {
		if slices.Contains(left, slot) {
			t.Errorf("%s is a reader after it has left", slot)
		}
	}
}
