package sidecar

import (
	"fmt"
	"slices"
	"testing"

	"sapphiretray/store"
)

// TestAnnouncementsWithinDataCentre guards against instances that get no announcement of a configuration, although others in their data
// centre have it, because all other data centres are lost or cut off and most announcements go there.
func TestAnnouncementsWithinDataCentre(t *testing.T) {
	const (
		dataCentres = 3
		// draws is the number of times that the random targets are drawn.
		draws = 10
	)
	for _, instances := range []int{12, 24, 60, 195} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			var rows []store.Row
			for n := range instances {
				rows = append(rows, linkedRecordRow(t, n, 1, uint64(n+1)))
			}
			remaining := make(map[string]*Sidecar)
			for n := 0; n < instances; n += dataCentres {
				sc := New(Settings{Slot: fmt.Sprint("10.0.0.", n), Service: "books", DataCentre: "dc-0"}, Adapters{})
				sc.directory.apply(rows)
				remaining[sc.settings.Slot] = sc
			}
			for range draws {
				if reached := reachedBy(remaining, "10.0.0.0"); len(reached) != len(remaining) {
					t.Errorf("an announcement reached %d of %d instances", len(reached), len(remaining))
				}
			}
		})
	}
}

// reachedBy returns the slots that an announcement of the instance in a slot reaches if no datagram between the given instances is lost and
// no other instance receives any.
func reachedBy(instances map[string]*Sidecar, slot string) []string {
	reached := []string{slot}
	for next := 0; next < len(reached); next++ {
		for _, target := range slotsOf(instances[reached[next]].announcementTargets()) {
			if instances[target] != nil && !slices.Contains(reached, target) {
				reached = append(reached, target)
			}
		}
	}
	return reached
}
