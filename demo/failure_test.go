package demo_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphiretray/demo"
	"sapphiretray/fake"
)

// recoveryTarget is the longest time for which a key may have no serving owner after a failure.
const recoveryTarget = time.Second

// setup is the deployment that a failure is injected into.
type setup struct {
	d *demo.Deployment
	// victim is the instance that fails: the owner of the first key.
	victim *demo.Node
	others []*demo.Node
}

func sleepFor(d time.Duration) { time.Sleep(d) }

// TestFailures guards against keys that stay without an owner, requests that run twice or have a wrong outcome, and two owners at once,
// when an instance, the network or the platform fails under load.
func TestFailures(t *testing.T) {
	tests := []struct {
		name string
		// inject causes the failure while requests are sent.
		inject func(s setup)
		// maxGap is the longest time for which a key may have no owner.
		maxGap time.Duration
		// avoidVictim moves the callers to other instances before the failure, because the victim then can't serve them.
		avoidVictim bool
	}{
		{"kill", func(s setup) { s.victim.Kill() }, recoveryTarget, true},
		{"freeze and return", func(s setup) {
			s.victim.Freeze()
			sleepFor(2500 * time.Millisecond)
			s.victim.Thaw()
		}, recoveryTarget, true},
		{"isolated both ways", func(s setup) {
			s.d.Isolate(s.victim, true, true)
			sleepFor(3 * time.Second)
			s.d.Rejoin(s.victim)
		}, recoveryTarget, true},
		{"heartbeats lost", func(s setup) {
			s.d.Isolate(s.victim, true, false)
			sleepFor(3 * time.Second)
			s.d.Rejoin(s.victim)
		}, recoveryTarget, true},
		{"acknowledgements lost", func(s setup) {
			s.d.Isolate(s.victim, false, true)
			sleepFor(3 * time.Second)
			s.d.Rejoin(s.victim)
		}, recoveryTarget, true},
		{"kill while the platform is down", func(s setup) {
			s.d.Platform().Faults().Set(fake.Fault{Mode: fake.Down})
			sleepFor(500 * time.Millisecond)
			s.victim.Kill()
			sleepFor(2500 * time.Millisecond)
			s.d.Platform().Faults().Set(fake.Fault{})
		}, recoveryTarget, true},
		{"kill while the platform is slow", func(s setup) {
			s.d.Platform().Faults().Set(fake.Fault{Mode: fake.Slow, DelayMS: 700})
			s.victim.Kill()
			sleepFor(3 * time.Second)
			s.d.Platform().Faults().Set(fake.Fault{})
		}, recoveryTarget, true},
		{"kill while responses to writes are lost", func(s setup) {
			s.d.Platform().Faults().Set(fake.Fault{Mode: fake.LostResponse, Count: 10})
			s.victim.Kill()
		}, recoveryTarget, true},
		{"upstream crash", func(s setup) { s.victim.Upstream().Crash() }, recoveryTarget, true},
		{"planned stop", func(s setup) { s.victim.Stop() }, recoveryTarget, true},
		{"planned stop while the platform is down", func(s setup) {
			s.d.Platform().Faults().Set(fake.Fault{Mode: fake.Down})
			s.victim.Stop()
			sleepFor(5 * time.Second)
			s.d.Platform().Faults().Set(fake.Fault{})
		}, recoveryTarget, true},
		{"platform down alone", func(s setup) {
			s.d.Platform().Faults().Set(fake.Fault{Mode: fake.Down})
			sleepFor(3 * time.Second)
			s.d.Platform().Faults().Set(fake.Fault{})
		}, recoveryTarget, false},
		{"second loss during the first", func(s setup) {
			s.victim.Kill()
			sleepFor(200 * time.Millisecond)
			s.others[0].Kill()
		}, recoveryTarget + 200*time.Millisecond, true},
	}
	for n, test := range tests {
		t.Run(test.name, func(t *testing.T) { checkFailure(t, uint64(n+1), test.inject, test.maxGap, test.avoidVictim) })
	}
}

func checkFailure(t *testing.T, seed uint64, inject func(setup), maxGap time.Duration, avoidVictim bool) {
	t.Helper()
	d := startDeployment(t, 7, true)
	keys := make([]string, 24)
	for k := range keys {
		keys[k] = fmt.Sprintf("club-%d", k)
	}
	s := setup{d: d, victim: d.Owner(t.Context(), "bookings", partitionOf(t, keys[0]))}
	for _, n := range d.Nodes() {
		if n != s.victim {
			s.others = append(s.others, n)
		}
	}
	// Requests to a failed instance fail, so during such a failure callers use only instances that stay up. One test kills others[0], too.
	var instances atomic.Value
	instances.Store(d.Nodes())
	ctx, cancel := context.WithCancel(t.Context())
	var history *demo.History
	var callers sync.WaitGroup
	workload := demo.Workload{
		Callers: 24, Keys: keys, Prefix: "/bookings/", Timeout: 6 * time.Second, Pause: 5 * time.Millisecond, Seed: seed,
		Through: func() []*demo.Node { return instances.Load().([]*demo.Node) },
	}
	callers.Go(func() { history = workload.Run(ctx) })
	sleepFor(time.Second)
	if avoidVictim {
		instances.Store(s.others[2:])
		sleepFor(200 * time.Millisecond)
	}
	began := time.Now()
	inject(s)
	sleepFor(2500 * time.Millisecond)
	ended := time.Now()
	cancel()
	callers.Wait()
	operations := history.Operations()
	for _, violation := range append(demo.CheckOutcomes(operations, d.Effects()), demo.CheckFences(d.Effects())...) {
		t.Error(violation)
	}
	gap := demo.LongestGap(operations, began, ended)
	outcomes := map[string]int{}
	for _, o := range operations {
		outcomes[o.Code.String()+" ran "+string(o.Ran)]++
	}
	t.Logf("longest time without a response: %v for key %s; outcomes %v", gap.Length, gap.Key, outcomes)
	if gap.Length > maxGap {
		t.Errorf("key %s had no owner for %v, want at most %v", gap.Key, gap.Length, maxGap)
	}
}
