package sidecar

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/store"
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

// TestAbleInstancesPlan guards against a planner that can't keep up with the reports of a large service: on a machine of 0.16 cores, those
// of 155 instances timed out, so that five instances planned at the same time, each with a part of the reports.
func TestAbleInstancesPlan(t *testing.T) {
	const instances, able = 155, 15
	sc := newLinkedSidecar(t, &slowLink{}, instances)
	sc.settings.DataCentre = "dc-0"
	rows := make([]store.Row, 0, instances)
	strong := make(map[string]bool)
	for n := range instances {
		var record member.Record
		row := linkedRecordRow(t, n, 1, uint64(n+1))
		if err := json.Unmarshal(row.Value, &record); err != nil {
			t.Fatal(err)
		}
		record.Processor = 0.16
		if n%(instances/able) == 3 {
			record.Processor = 0.8
			strong[fmt.Sprint("10.0.0.", n)] = true
		}
		row.Value, _ = json.Marshal(record)
		rows = append(rows, row)
	}
	sc.directory.apply(rows)
	planners := sc.planners()
	if len(planners) != instances || slices.ContainsFunc(planners[:len(strong)], func(slot string) bool { return !strong[slot] }) {
		t.Errorf("the first of %d planners are %v, want those with most processor time", len(planners), planners[:len(strong)])
	}
	if readers := sc.readers(); slices.ContainsFunc(readers, func(slot string) bool { return !strong[slot] }) {
		t.Errorf("readers %v, want those with most processor time", readers)
	}
	sc.directory.MarkUnreachable(planners[0])
	if next := sc.planners(); next[0] != planners[1] || next[instances-1] != planners[0] {
		t.Errorf("after the first planner was lost, the first is %s and the last %s", next[0], next[instances-1])
	}
}
