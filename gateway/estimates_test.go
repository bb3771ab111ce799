package gateway

import (
	"testing"
	"time"
)

// TestKnownEstimates guards against the time of a single request that is told to the planner as the pace of the upstream, and against
// a first request that outweighs the next ones.
func TestKnownEstimates(t *testing.T) {
	var e estimates
	e.observe("browse", 20*time.Millisecond)
	if known := e.known(); len(known) != 0 {
		t.Errorf("known after one request: %v", known)
	}
	for range knownCount - 1 {
		e.observe("browse", 220*time.Millisecond)
	}
	if got, want := e.known()["browse"], 180*time.Millisecond; got.Round(time.Millisecond) != want {
		t.Errorf("mean of one request of 20 ms and four of 220 ms: %v, want %v", got, want)
	}
	if got := e.get("browse"); got != e.known()["browse"] {
		t.Errorf("used %v, told %v", got, e.known()["browse"])
	}
	if got := e.get("book"); got != firstEstimate {
		t.Errorf("route without requests: %v, want %v", got, firstEstimate)
	}
}
