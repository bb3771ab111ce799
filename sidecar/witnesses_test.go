package sidecar

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/store"
)

// recordRow returns the row with a record, whose service and addresses it sets.
func recordRow(t *testing.T, r member.Record, version uint64) store.Row {
	t.Helper()
	r.Service, r.PeerAddress, r.HeartbeatAddress = "bookings", "10.1.0.1:7401", "10.1.0.1:7410"
	value, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return store.Row{Table: TableName, Key: member.RowKey(r.Incarnation.Slot()), Value: value, Version: version}
}

// newTestSidecar returns a process whose directory has nine instances in three data centres. States are given by the instance's number;
// the default is Ready.
func newTestSidecar(t *testing.T, states map[int]member.State) *Sidecar {
	t.Helper()
	sc := &Sidecar{
		settings: Settings{Slot: "slot-0", Region: "island", DataCentre: "dc-0"}, directory: newDirectory("slot-0"),
		unresponsiveSince: make(map[string]time.Time),
	}
	var rows []store.Row
	for n := range 9 {
		state := member.Ready
		if s, ok := states[n]; ok {
			state = s
		}
		slot := fmt.Sprint("slot-", n)
		rows = append(rows, recordRow(t, member.Record{
			Incarnation: member.NewIncarnation(slot, 1), Region: "island", DataCentre: fmt.Sprint("dc-", n%3), State: state,
		}, uint64(n+1)))
	}
	sc.directory.apply(rows)
	return sc
}

// TestChooseWitnesses guards against an instance that never gets a lease because most of its witnesses are permanently down while
// their records remain in the store.
func TestChooseWitnesses(t *testing.T) {
	before := newTestSidecar(t, nil).chooseWitnesses()
	if len(before) != witnessCount || slices.Contains(before, "slot-0") {
		t.Fatalf("witnesses %v", before)
	}
	numbers := make([]int, 0, len(before))
	for _, slot := range before {
		numbers = append(numbers, int(slot[len("slot-")]-'0'))
	}
	tests := []struct {
		name   string
		states map[int]member.State
		change func(sc *Sidecar)
		kept   bool
	}{
		{"nothing changed", nil, func(*Sidecar) {}, true},
		{"two leave", map[int]member.State{numbers[0]: member.Draining, numbers[1]: member.Draining}, func(*Sidecar) {}, false},
		{
			"two are unresponsive", nil,
			func(sc *Sidecar) {
				sc.unresponsiveSince[before[0]], sc.unresponsiveSince[before[1]] = time.Now(), time.Now()
			}, false,
		},
		{
			"two can't be reached", nil,
			func(sc *Sidecar) {
				sc.directory.MarkUnreachable(before[0])
				sc.directory.MarkUnreachable(before[1])
			}, false,
		},
		{
			"two were unresponsive long ago", nil,
			func(sc *Sidecar) {
				sc.unresponsiveSince[before[0]], sc.unresponsiveSince[before[1]] = time.Now().Add(-time.Hour), time.Now().Add(-time.Hour)
			}, true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sc := newTestSidecar(t, test.states)
			test.change(sc)
			chosen := sc.chooseWitnesses()
			kept := slices.Contains(chosen, before[0]) && slices.Contains(chosen, before[1])
			if len(chosen) != witnessCount || kept != test.kept {
				t.Errorf("witnesses %v, before %v", chosen, before)
			}
		})
	}
}

// TestWitnessesStartedLater guards against an instance that, after a restart of all instances, waits for witnesses that don't support
// it yet, and against one that joins again although a majority of its witnesses can support it.
func TestWitnessesStartedLater(t *testing.T) {
	sc := newTestSidecar(t, nil)
	s := &session{sidecar: sc, record: member.Record{Witnesses: sc.chooseWitnesses()}}
	s.witnessNumbers = sc.directory.incarnationNumbers(s.record.Witnesses)
	restart := func(slot string, version uint64) {
		record := member.Record{Incarnation: member.NewIncarnation(slot, 2), Region: "island", State: member.Ready}
		sc.directory.apply([]store.Row{recordRow(t, record, version)})
	}
	for n, want := range []bool{false, false, true, true} {
		if n > 0 {
			restart(s.record.Witnesses[n-1], uint64(100+n))
		}
		if got := s.witnessesStartedLater(0); got != want {
			t.Errorf("after the restart of %d of %d witnesses: %v, want %v", n, witnessCount, got, want)
		}
		if s.witnessesStartedLater(1) {
			t.Error("witnesses that supported the lease before they were restarted count as started later")
		}
	}
}

// TestRestartedOwnerKeepsKeys guards against the first instance to report after a restart of all instances getting all their keys.
func TestRestartedOwnerKeepsKeys(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		sc := newTestSidecar(t, nil)
		owner, next := member.NewIncarnation("slot-3", 0), member.NewIncarnation("slot-3", 1)
		reports := map[member.Incarnation]*peer.ReportRequest{}
		if !sc.keepsKeys(owner, reports) {
			t.Error("the keys go to others before the restarted instance can have reported")
		}
		time.Sleep(restartWait)
		if sc.keepsKeys(owner, reports) {
			t.Error("the keys are kept indefinitely for an instance that doesn't report")
		}
		reports[next] = &peer.ReportRequest{}
		if !sc.keepsKeys(owner, reports) {
			t.Error("the keys go to others while the restarted instance is about to get its lease")
		}
		reports[next] = &peer.ReportRequest{Leaving: true}
		if sc.keepsKeys(owner, reports) {
			t.Error("the keys are kept for an instance that leaves")
		}
	})
}

// TestChooseAmongLost guards against an instance that never gets a lease because it chooses witnesses that are permanently down although
// fewer others are left than a lease usually has witnesses.
func TestChooseAmongLost(t *testing.T) {
	tests := []struct {
		name string
		// left is the number of other instances that respond.
		left int
		want []string
	}{
		{"three left", 3, []string{"slot-1", "slot-2", "slot-3"}},
		{"two left", 2, []string{"slot-0", "slot-1", "slot-2"}},
		{"one left", 1, []string{"slot-0", "slot-1"}},
		{"none left", 0, []string{"slot-0"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sc := newTestSidecar(t, nil)
			for n := test.left + 1; n < 9; n++ {
				sc.unresponsiveSince[fmt.Sprint("slot-", n)] = time.Now()
			}
			if chosen := slices.Sorted(slices.Values(sc.chooseWitnesses())); !slices.Equal(chosen, test.want) {
				t.Errorf("witnesses %v, want %v", chosen, test.want)
			}
		})
	}
}

// respondingInstances is a network in which only the instances at some addresses respond to probes.
type respondingInstances struct{ hosts []string }

// RoundTrip implements http.RoundTripper.
func (n respondingInstances) RoundTrip(r *http.Request) (*http.Response, error) {
	if !slices.Contains(n.hosts, r.URL.Host) {
		return nil, errOwnerRefused
	}
	return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody, Request: r}, nil
}

// TestProbeWitnesses guards against an instance that gets a lease only after a minute, because its sessions find out one after the other
// which of many records are of machines that are permanently down.
func TestProbeWitnesses(t *testing.T) {
	sc := newTestSidecar(t, nil)
	var rows []store.Row
	for n := range 60 {
		slot := fmt.Sprint("slot-", n+1)
		row := recordRow(t, member.Record{
			Incarnation: member.NewIncarnation(slot, 2), Region: "island", DataCentre: fmt.Sprint("dc-", n%3), State: member.Ready,
		}, uint64(100+n))
		row.Value = bytes.ReplaceAll(row.Value, []byte("10.1.0.1:"), fmt.Appendf(nil, "10.2.0.%d:", n+1))
		rows = append(rows, row)
	}
	sc.directory.apply(rows)
	sc.dialer = peer.NewDialer(respondingInstances{hosts: []string{"10.2.0.17:7401", "10.2.0.42:7401"}})
	sc.probeWitnesses(t.Context())
	if chosen := slices.Sorted(slices.Values(sc.chooseWitnesses())); !slices.Equal(chosen, []string{"slot-0", "slot-17", "slot-42"}) {
		t.Errorf("witnesses %v", chosen)
	}
}
