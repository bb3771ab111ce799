package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphiretray/bubble"
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

// TestLoadsIncludeSlowSpells guards against a plan that counts the upstreams as less used than they are, since the usual service times
// leave out slow spells: the planner then gave the keys of slower upstreams to the fastest ones, which refused requests.
func TestLoadsIncludeSlowSpells(t *testing.T) {
	a, b, c := member.NewIncarnation("a", 1), member.NewIncarnation("b", 1), member.NewIncarnation("c", 1)
	tests := []struct {
		name     string
		slowness [3]float64
		want     float64
	}{
		{"not reported", [3]float64{}, 1},
		{"reported by two", [3]float64{1.2, 1.6, 0}, 1.4},
		{"a spell of one", [3]float64{1, 2.5, 1}, 1.5},
	}
	for _, test := range tests {
		reports := make(map[member.Incarnation]*peer.ReportRequest)
		relative := make(map[member.Incarnation]float64)
		for n, i := range []member.Incarnation{a, b, c} {
			reports[i] = &peer.ReportRequest{
				Slowness: test.slowness[n], Keys: []*peer.KeyLoad{{First: uint32(n), Last: uint32(n), Load: 2}},
			}
			relative[i] = 0.5
		}
		for _, load := range reportedLoads(reports, relative) {
			if want := 2 / 0.5 * test.want; load.Load < want-1e-9 || load.Load > want+1e-9 {
				t.Errorf("%s: load of key %d is %v, want %v", test.name, load.First, load.Load, want)
			}
		}
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

// reportLink serves the reports of a process. Planners don't respond while silent returns true.
type reportLink struct {
	silent func(slot string) bool
	// accepted holds when reports were accepted, and planner by which instance the last one was.
	accepted []time.Time
	planner  string
}

// RoundTrip implements http.RoundTripper.
func (l *reportLink) RoundTrip(r *http.Request) (*http.Response, error) {
	slot := r.URL.Hostname()
	if l.silent(slot) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	l.accepted, l.planner = append(l.accepted, time.Now()), slot
	body, err := proto.Marshal(&peer.ReportResponse{Accepted: true})
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/protobuf"}}, Body: io.NopCloser(bytes.NewReader(body)),
	}, err
}

// TestReportsPassSilentPlanners guards against reports that reach the planner so rarely that it forgets the instance between two of them,
// because each waits for all the instances before it that don't respond.
func TestReportsPassSilentPlanners(t *testing.T) {
	for _, lost := range []int{1, 5, 12} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				const settled, recovered = 5 * time.Second, 20 * time.Second
				started := time.Now()
				sc := newLinkedSidecar(t, &slowLink{}, 21)
				planners := slices.DeleteFunc(sc.planners(), func(slot string) bool { return slot == sc.settings.Slot })
				link := &reportLink{silent: func(slot string) bool {
					return slices.Index(planners, slot) < lost && time.Since(started) < recovered
				}}
				sc.dialer = peer.NewDialer(link)
				sc.directory.apply([]store.Row{{Key: member.RowKey(sc.settings.Slot), Version: 100, Deleted: true}})
				ctx, cancel := context.WithTimeout(t.Context(), 2*recovered)
				defer cancel()
				for ticker := time.NewTicker(reportInterval); ctx.Err() == nil; <-ticker.C {
					sc.sendReport(ctx, &peer.ReportRequest{})
				}
				last := started.Add(settled)
				for _, at := range link.accepted {
					if gap := at.Sub(last); gap > reportLifetime {
						t.Errorf("no report was accepted for %v until %v, want at most %v", gap, at.Sub(started), reportLifetime)
						break
					}
					last = at
				}
				if link.planner != planners[0] {
					t.Errorf("in the end the planner is %s, want %s", link.planner, planners[0])
				}
			})
		})
	}
}
