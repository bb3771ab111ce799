package sidecar

import (
	"encoding/json"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/bubble"
	"sapphiretray/gateway"
	"sapphiretray/member"
	"sapphiretray/store"
)

// TestDepartureOutlastsProcess guards against requests to an upstream that announced to an earlier process in the slot that it leaves: a
// heartbeat from before may arrive at the next process, before or after this one knows the rows.
func TestDepartureOutlastsProcess(t *testing.T) {
	run := gateway.UpstreamRun{ID: "i-1", Started: 100}
	heartbeat := gateway.Registration{UpstreamRun: run, Service: "bookings", Address: "10.1.0.1:80", Slots: 2, Sequence: 7}
	tests := []struct {
		name           string
		announce       func(g *gateway.Gateway) error
		earlyHeartbeat bool
		next           gateway.UpstreamRun
		usable         bool
	}{
		{"deregistered", func(g *gateway.Gateway) error { g.Deregister(run); return nil }, false, run, false},
		{"deregistered, heartbeat before the rows", func(g *gateway.Gateway) error { g.Deregister(run); return nil }, true, run, false},
		{"draining", func(g *gateway.Gateway) error {
			n := heartbeat
			n.Leaving, n.Sequence = true, n.Sequence+1
			return g.Register(n)
		}, false, run, false},
		{"not announced", func(*gateway.Gateway) error { return nil }, false, run, true},
		{
			"next run", func(g *gateway.Gateway) error { g.Deregister(run); return nil }, false,
			gateway.UpstreamRun{ID: "i-1", Started: 101},
			true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				start := func() *Sidecar {
					sc := &Sidecar{settings: Settings{Slot: "slot-3", Service: "bookings"}, directory: newDirectory("slot-3")}
					sc.gateway = gateway.New(new(errgroup.Group), "bookings", heartbeat.Address, struct{ gateway.Protocol }{})
					return sc
				}
				before := start()
				if err := before.gateway.Register(heartbeat); err != nil {
					t.Fatal(err)
				}
				s := &session{sidecar: before, upstreamRun: trackedRun{run: run}, record: goodRecord()}
				s.record.Service, s.record.PeerAddress, s.record.HeartbeatAddress = "bookings", "10.1.0.1:7401", "10.1.0.1:7410"
				s.record.Upstream, s.record.UpstreamStarted = run.ID, run.Started
				if err := test.announce(before.gateway); err != nil {
					t.Fatal(err)
				}
				announced := time.Now()
				s.record.State, s.record.UpstreamLeft = before.wantedState(), s.upstreamLeft()
				value, err := json.Marshal(s.record)
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(1500 * time.Millisecond)

				next := start()
				late := heartbeat
				late.UpstreamRun = test.next
				if test.earlyHeartbeat {
					if err := next.gateway.Register(late); err != nil {
						t.Fatal(err)
					}
				}
				next.directory.apply([]store.Row{{Table: TableName, Key: member.RowKey("slot-3"), Value: value, Version: 9}})
				next.restoreDeparture()
				if err := next.gateway.Register(late); err != nil {
					t.Fatal(err)
				}
				state := next.gateway.State()
				if state.Usable() != test.usable {
					t.Fatalf("usable: %v, want %v", state.Usable(), test.usable)
				}
				if !test.usable && state.LeavingSince.Sub(announced).Abs() > time.Millisecond {
					t.Errorf("leaving since %v, announced %v", state.LeavingSince, announced)
				}
			})
		})
	}
}
