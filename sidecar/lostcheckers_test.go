package sidecar

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// inDataCentres returns the slots of the instances in the first data centres.
func (f *configFleet) inDataCentres(count int) []string {
	var slots []string
	for _, sc := range f.instances {
		if slices.Contains([]string{"dc-0", "dc-1", "dc-2"}[:count], sc.settings.DataCentre) {
			slots = append(slots, sc.settings.Slot)
		}
	}
	return slots
}

// TestConfigAfterSilenceAndLoss guards against a configuration that is in effect late on the remaining instances because those that check
// for changes most often, or whole data centres, fail at the moment from which on no call for changes is answered any more.
func TestConfigAfterSilenceAndLoss(t *testing.T) {
	// bound is the time after the loss of connections from which on a configuration has to be in effect within its limit again. The longest
	// limit is as long.
	const bound = 3 * time.Second
	first := func(count int) func(*configFleet) []string {
		return func(f *configFleet) []string { return slotsOf(checkOrder(f.instances[0].reachable())[:count]) }
	}
	tests := []struct {
		name string
		// lost returns the slots of the instances that fail.
		lost func(f *configFleet) []string
	}{
		{"first 3", first(3)},
		{"first 5", first(5)},
		{"first 7", first(7)},
		{"one data centre", func(f *configFleet) []string { return f.inDataCentres(1) }},
		{"two data centres", func(f *configFleet) []string { return f.inDataCentres(2) }},
	}
	for _, instances := range []int{12, 24, 60, 195} {
		for _, limit := range []time.Duration{2 * time.Second, 3 * time.Second} {
			for _, test := range tests {
				t.Run(fmt.Sprintf("%d instances, limit of %v, %s lost", instances, limit, test.name), func(t *testing.T) {
					runConfigFleetWithin(t, instances, limit, func(f *configFleet) {
						// A configuration ends all calls for changes, so that all open ones are new.
						f.latest(time.Now(), f.store.put())
						time.Sleep(400 * time.Millisecond)
						f.fail(test.lost(f))
						f.store.forget()
						silent := time.Now()
						took := f.latest(silent, f.store.put())
						if took > bound {
							t.Errorf("in effect on all remaining instances after %v, want at most %v", took, bound)
						}
					})
				})
			}
		}
	}
}
