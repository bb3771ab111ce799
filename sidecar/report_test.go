package sidecar

import (
	"testing"

	"sapphiretray/member"
	"sapphiretray/peer"
)

// TestRelativeServiceTimes guards against an upstream that counts as much faster or slower than the others after a single request, and
// against one whose service time isn't detected after many requests.
func TestRelativeServiceTimes(t *testing.T) {
	fast, slow, newcomer := member.NewIncarnation("a", 1), member.NewIncarnation("b", 1), member.NewIncarnation("c", 1)
	report := func(seconds float64, requests uint32) *peer.ReportRequest {
		return &peer.ReportRequest{Routes: []*peer.RouteTime{{Route: "browse", Seconds: seconds, Requests: requests}}}
	}
	tests := []struct {
		name     string
		requests uint32
		seconds  float64
		min, max float64
	}{
		{"one short request", 1, 0.02, 0.5, 0.7},
		{"one long request", 1, 1, 1, 3},
		{"no request", 0, 0, 1, 1},
		{"many short requests", 100, 0.02, 0.1, 0.25},
		{"many long requests", 100, 0.4, 1.4, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := relativeServiceTimes(map[member.Incarnation]*peer.ReportRequest{
				fast: report(0.15, 100), slow: report(0.25, 100), newcomer: report(test.seconds, test.requests),
			})
			if serviceTime := got[newcomer]; serviceTime < test.min || serviceTime > test.max {
				t.Errorf("relative service time %.2f, want %.2f to %.2f", serviceTime, test.min, test.max)
			}
			if got[fast] >= got[slow] {
				t.Errorf("relative service times %.2f and %.2f of the fast and the slow upstream", got[fast], got[slow])
			}
		})
	}
}
