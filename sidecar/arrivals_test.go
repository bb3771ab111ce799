package sidecar

import (
	"testing"
	"time"

	"sapphiretray/member"
	"sapphiretray/peer"
)

// TestFirstMapAwaitsArrivals guards against a first map for the few instances that were registered first, as when 21 of 155 were after
// 1.5 s: all others then got their keys by moves.
func TestFirstMapAwaitsArrivals(t *testing.T) {
	const step = 100 * time.Millisecond
	tests := []struct {
		name string
		// arrivals are the numbers of instances that arrive in each step; the last is repeated.
		arrivals []int
		// silent is set if some of them don't report to the planner.
		silent bool
		lost   bool
		due    time.Duration
	}{
		{"all at once", []int{12, 0}, false, false, firstPlanWait},
		{"some report to another planner", []int{12, 0}, true, false, maxSilentWait},
		{"over 4 s", []int{
			1, 0, 2, 3, 5, 8, 5, 5, 5, 5, 5, 5, 4, 5, 5, 5, 5, 5, 4, 5, 5, 5, 5, 5, 4, 4, 4, 4, 4, 3, 3, 3, 3, 2, 2, 1, 1, 1, 0, 0, 1, 0,
		}, false, false, 4*time.Second + arrivalPause},
		{"without end", []int{1}, false, false, maxFirstPlanWait},
		{"the map was lost", []int{1}, false, true, lostMapWait},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var timer arrivalTimer
			started := time.Now()
			known := 0
			for n := 0; ; n++ {
				known += test.arrivals[min(n, len(test.arrivals)-1)]
				now := started.Add(time.Duration(n) * step)
				timer.observe(now, known)
				if timer.isDue(now, !test.silent, test.lost) {
					if due := now.Sub(started); due != test.due {
						t.Errorf("keys are assigned after %v, want %v", due, test.due)
					}
					return
				}
			}
		})
	}
}

// TestFreshMap guards against evening out the ranges of a map that were fitted to its load: after a restart of all instances there is no
// load for a moment.
func TestFreshMap(t *testing.T) {
	loads := func(load float64) map[member.Incarnation]*peer.ReportRequest {
		return map[member.Incarnation]*peer.ReportRequest{member.NewIncarnation("a", 1): {Load: load}}
	}
	tests := []struct {
		name  string
		steps []float64
		// assigned means that the service has a map from the beginning.
		assigned, fresh bool
	}{
		{"new service", []float64{0, 0}, false, true},
		{"new service with load", []float64{0, 2, 0}, false, false},
		{"restart", []float64{0, 0}, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var p plannerState
			for n, load := range test.steps {
				p.observeLoad(n == 0 && !test.assigned, loads(load))
			}
			if p.isFresh() != test.fresh {
				t.Errorf("fresh %v", !test.fresh)
			}
		})
	}
}
