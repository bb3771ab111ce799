package ingress

import (
	"testing"
	"time"

	"sapphiretray/gateway"
)

// TestChooseAvoidsFaults guards against an upstream with a partial failure that attracts requests: it fails part of them so quickly
// that it seems to be the least loaded. It must get few requests while others have free concurrency slots, and be tried again later.
func TestChooseAvoidsFaults(t *testing.T) {
	targets := []Target{{Slot: "a"}, {Slot: "b"}, {Slot: "c"}}
	c := newChooser("")
	counts := make(map[string]int)
	const requests = 300
	for n := range requests {
		target, ok := c.choose(time.Now(), targets, nil, 0)
		if !ok {
			t.Fatal("no target")
		}
		counts[target.Slot]++
		done := c.begin(target.Slot)
		o := outcomeServed
		if target.Slot == "a" && n%5 < 2 {
			o = outcomeFault
		}
		load := gateway.Load{Running: 2, Slots: 6}
		if target.Slot == "a" {
			load.Running = 0
		}
		done(load, o)
	}
	if counts["a"] > requests/10 {
		t.Errorf("the upstream with the partial failure got %d of %d requests", counts["a"], requests)
	}
	if share := c.target("a").decayedFaultRate(time.Now().Add(time.Minute)); share > 0.01 {
		t.Errorf("fault rate %.2f after a minute without requests", share)
	}
}
