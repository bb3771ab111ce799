package sidecar

import (
	"math"
	"testing"
	"time"

	"sapphiretray/member"
	"sapphiretray/peer"
)

// TestColdLoad guards against a cold upstream that is assigned more load than it bears, and against a warm one, or one that is warm before
// keys could move, whose load is bounded.
func TestColdLoad(t *testing.T) {
	reports := map[member.Incarnation]*peer.ReportRequest{
		member.NewIncarnation("a", 1): {Routes: []*peer.RouteTime{{Seconds: 0.2, Requests: 30}, {Seconds: 0.4, Requests: 10}}},
		member.NewIncarnation("b", 1): {},
	}
	serviceTime := meanServiceTime(reports)
	if serviceTime != 250*time.Millisecond {
		t.Errorf("mean service time %v, want 250ms", serviceTime)
	}
	if got := meanServiceTime(nil); got != defaultServiceTime {
		t.Errorf("mean service time without reports %v", got)
	}
	tests := []struct {
		name    string
		rate    float64
		seconds float64
		want    float64
	}{
		{"warm", 0, 0, 0},
		{"cold", 10, 2.5, 2.5},
		{"about to be warm", 10, 0.3, 0},
		{"negative rate", -1, 2.5, 0},
		{"no number", math.NaN(), 2.5, 0},
	}
	for _, test := range tests {
		got := coldLoad(&peer.ReportRequest{StartRate: test.rate, ColdSeconds: test.seconds}, serviceTime)
		if math.Abs(got-test.want) > 1e-9 || math.IsNaN(got) {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
