package gateway

import (
	"testing"
	"time"
)

// TestEstimates guards against a first sample that outweighs the next ones, and against a mean without its number of samples.
func TestEstimates(t *testing.T) {
	var e estimates
	e.observe("browse", 20*time.Millisecond)
	for range 4 {
		e.observe("browse", 220*time.Millisecond)
	}
	got := e.all()["browse"]
	if got.Mean.Round(time.Millisecond) != 180*time.Millisecond || got.Requests != 5 {
		t.Errorf("one request of 20 ms and four of 220 ms: mean %v of %d requests", got.Mean, got.Requests)
	}
	if estimate := e.get("browse"); estimate != got.Mean {
		t.Errorf("estimate %v, reported mean %v", estimate, got.Mean)
	}
	if got := e.get("book"); got != firstEstimate {
		t.Errorf("route without requests: %v, want %v", got, firstEstimate)
	}
	// When the upstream becomes slower, the mean adapts within 100 requests.
	for range 100 {
		e.observe("browse", 500*time.Millisecond)
	}
	if got := e.get("browse").Round(time.Millisecond); got != 500*time.Millisecond {
		t.Errorf("after 100 requests of 500 ms: %v", got)
	}
}
