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

// servedAgain is the target for the time without an owner after a loss.
const servedAgain = time.Second

// scene is what a failure acts on.
type scene struct {
	d *demo.Deployment
	// victim owns the most partitions, first is its most frequent first successor.
	victim *demo.Node
	others []*demo.Node
}

func sleepFor(d time.Duration) { time.Sleep(d) }

func TestFailures(t *testing.T) {
	tests := []struct {
		name string
		// failure guarded against, with the requests going on.
		cause func(s scene)
		// bound is the longest time that a key may have no owner.
		bound time.Duration
		// dead means that callers can't use the victim afterwards.
		dead bool
	}{
		{"kill", func(s scene) { s.victim.Kill() }, servedAgain, true},
		{"freeze and return", func(s scene) {
			s.victim.Freeze()
			sleepFor(2500 * time.Millisecond)
			s.victim.Thaw()
		}, servedAgain, true},
		{"isolated both ways", func(s scene) {
			s.d.Isolate(s.victim, true, true)
			sleepFor(3 * time.Second)
			s.d.Rejoin(s.victim)
		}, servedAgain, true},
		{"heartbeats lost", func(s scene) {
			s.d.Isolate(s.victim, true, false)
			sleepFor(3 * time.Second)
			s.d.Rejoin(s.victim)
		}, servedAgain, true},
		{"acknowledgements lost", func(s scene) {
			s.d.Isolate(s.victim, false, true)
			sleepFor(3 * time.Second)
			s.d.Rejoin(s.victim)
		}, servedAgain, true},
		{"kill while the platform is down", func(s scene) {
			s.d.Platform().Faults().Set(fake.Fault{Mode: fake.Down})
			sleepFor(500 * time.Millisecond)
			s.victim.Kill()
			sleepFor(2500 * time.Millisecond)
			s.d.Platform().Faults().Set(fake.Fault{})
		}, servedAgain, true},
		{"kill while the platform is slow", func(s scene) {
			s.d.Platform().Faults().Set(fake.Fault{Mode: fake.Slow, DelayMS: 700})
			s.victim.Kill()
			sleepFor(3 * time.Second)
			s.d.Platform().Faults().Set(fake.Fault{})
		}, servedAgain, true},
		{"kill while answers of writes are lost", func(s scene) {
			s.d.Platform().Faults().Set(fake.Fault{Mode: fake.LostAnswer, Count: 10})
			s.victim.Kill()
		}, servedAgain, true},
		{"upstream crash", func(s scene) { s.victim.Upstream().Crash() }, servedAgain, true},
		{"planned stop", func(s scene) { s.victim.Stop() }, servedAgain, true},
		{"planned stop while the platform is down", func(s scene) {
			s.d.Platform().Faults().Set(fake.Fault{Mode: fake.Down})
			s.victim.Stop()
			sleepFor(5 * time.Second)
			s.d.Platform().Faults().Set(fake.Fault{})
		}, servedAgain, true},
		{"platform down alone", func(s scene) {
			s.d.Platform().Faults().Set(fake.Fault{Mode: fake.Down})
			sleepFor(3 * time.Second)
			s.d.Platform().Faults().Set(fake.Fault{})
		}, servedAgain, false},
		{"second loss during the first", func(s scene) {
			s.victim.Kill()
			sleepFor(200 * time.Millisecond)
			s.others[0].Kill()
		}, servedAgain + 200*time.Millisecond, true},
	}
	for n, test := range tests {
		t.Run(test.name, func(t *testing.T) { checkFailure(t, uint64(n+1), test.cause, test.bound, test.dead) })
	}
}

func checkFailure(t *testing.T, seed uint64, cause func(scene), bound time.Duration, dead bool) {
	t.Helper()
	d := start(t, 7, true)
	keys := make([]string, 24)
	for k := range keys {
		keys[k] = fmt.Sprintf("club-%d", k)
	}
	s := scene{d: d, victim: d.Owner(t.Context(), "bookings", partitionOf(t, keys[0]))}
	for _, n := range d.Nodes() {
		if n != s.victim {
			s.others = append(s.others, n)
		}
	}
	// Callers of a lost instance see its connections fail; the keys are observed through the last two instances.
	var through atomic.Value
	through.Store(d.Nodes())
	ctx, cancel := context.WithCancel(t.Context())
	var history *demo.History
	var callers sync.WaitGroup
	workload := demo.Workload{
		Callers: 24, Keys: keys, Prefix: "/bookings/", Timeout: 6 * time.Second, Pause: 5 * time.Millisecond, Seed: seed,
		Through: func() []*demo.Node { return through.Load().([]*demo.Node) },
	}
	callers.Go(func() { history = workload.Run(ctx) })
	sleepFor(time.Second)
	if dead {
		through.Store(s.others[2:])
		sleepFor(200 * time.Millisecond)
	}
	began := time.Now()
	cause(s)
	sleepFor(2500 * time.Millisecond)
	ended := time.Now()
	cancel()
	callers.Wait()
	operations := history.Operations()
	for _, fault := range append(demo.CheckRuns(operations, d.Effects()), demo.CheckFences(d.Effects())...) {
		t.Error(fault)
	}
	gap := demo.LongestGap(operations, began, ended)
	outcomes := map[string]int{}
	for _, o := range operations {
		outcomes[o.Code.String()+" ran "+string(o.Ran)]++
	}
	t.Logf("longest time without an answer: %v for key %s; outcomes %v", gap.Length, gap.Key, outcomes)
	if gap.Length > bound {
		t.Errorf("key %s had no owner for %v, want at most %v", gap.Key, gap.Length, bound)
	}
}
