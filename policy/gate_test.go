package policy_test

import (
	"testing"
	"time"

	"sapphiretray/policy"
)

// gateStart is an arbitrary time.
var gateStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func demand(priority int, objective time.Duration) policy.Demand {
	return policy.Demand{
		Priority: priority, Objective: gateStart.Add(objective), Deadline: gateStart.Add(2 * objective), Service: 100 * time.Millisecond,
	}
}

// fillGate admits requests until all slots are used.
func fillGate(t *testing.T, g *policy.Gate) []*policy.Place {
	t.Helper()
	places := make([]*policy.Place, 0, g.Slots())
	for range g.Slots() {
		place, verdict := g.Offer(gateStart, demand(1, time.Second), nil)
		if !verdict.Admitted {
			t.Fatalf("a free slot was refused: %+v", verdict)
		}
		places = append(places, place)
	}
	return places
}

// TestGateSlots guards against more requests at an upstream than it has slots: a full upstream never answers.
func TestGateSlots(t *testing.T) {
	g := policy.NewGate(2)
	fillGate(t, g)
	place, verdict := g.Offer(gateStart, demand(1, time.Second), func(policy.Verdict) {})
	if verdict.Admitted || !place.Waiting() || g.Running() != 2 {
		t.Errorf("third request at two slots: admitted %v, waiting %v, running %d", verdict.Admitted, place.Waiting(), g.Running())
	}
}

// TestGateOrder guards the order in which waiting requests get slots.
func TestGateOrder(t *testing.T) {
	tests := []struct {
		name   string
		demand policy.Demand
		other  policy.Demand
	}{
		{"more urgent first", demand(0, time.Second), demand(1, time.Second)},
		{"earlier objective first", demand(1, 900*time.Millisecond), demand(1, time.Second)},
		{"nested first", nested(demand(2, time.Second)), demand(0, time.Second)},
		{"on time before late", demand(1, time.Second), returning(demand(1, 50*time.Millisecond))},
		{"urgent and late before less urgent", returning(demand(0, 150*time.Millisecond)), demand(1, time.Second)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := policy.NewGate(1)
			running := fillGate(t, g)[0]
			var first, second bool
			g.Offer(gateStart, test.other, func(v policy.Verdict) { second = v.Admitted })
			g.Offer(gateStart, test.demand, func(v policy.Verdict) { first = v.Admitted })
			g.Finish(gateStart.Add(100*time.Millisecond), running)
			if !first || second {
				t.Errorf("admitted %v, the other %v", first, second)
			}
		})
	}
}

func nested(d policy.Demand) policy.Demand {
	d.Nested = true
	return d
}

func returning(d policy.Demand) policy.Demand {
	d.Returning = true
	return d
}

// TestGateRefusesHopeless guards against requests that wait although they can't be answered within their objective: they keep
// others from being in time.
func TestGateRefusesHopeless(t *testing.T) {
	g := policy.NewGate(1)
	fillGate(t, g)
	// The slot is free after 100 ms, so an answer takes 200 ms.
	_, verdict := g.Offer(gateStart, demand(1, 150*time.Millisecond), nil)
	if verdict.Admitted || verdict.RetryAfter != 100*time.Millisecond {
		t.Errorf("verdict %+v, want a refusal with a retry after 100 ms", verdict)
	}
	if g.Waiting() != 0 {
		t.Errorf("%d requests wait", g.Waiting())
	}
}

// TestGateReviewsWaiting guards against a waiting request that more urgent arrivals have made hopeless: it must be told at once.
func TestGateReviewsWaiting(t *testing.T) {
	g := policy.NewGate(1)
	fillGate(t, g)
	var verdict *policy.Verdict
	g.Offer(gateStart, demand(2, 250*time.Millisecond), func(v policy.Verdict) { verdict = &v })
	g.Offer(gateStart, demand(0, 250*time.Millisecond), func(policy.Verdict) {})
	if verdict == nil || verdict.Admitted {
		t.Fatalf("verdict %v, want a refusal", verdict)
	}
	if g.Waiting() != 1 {
		t.Errorf("%d requests wait, want the urgent one", g.Waiting())
	}
}

// TestGateReturningMayBeLate guards against a second refusal of a client that has no further attempt.
func TestGateReturningMayBeLate(t *testing.T) {
	g := policy.NewGate(1)
	fillGate(t, g)
	place, _ := g.Offer(gateStart, returning(demand(1, 150*time.Millisecond)), func(policy.Verdict) {})
	if !place.Waiting() {
		t.Error("a returning request that can be answered before its deadline doesn't wait")
	}
	d := returning(demand(1, 150*time.Millisecond))
	d.Deadline = gateStart.Add(150 * time.Millisecond)
	if place, _ := g.Offer(gateStart, d, func(policy.Verdict) {}); place.Waiting() {
		t.Error("a returning request that can't be answered before its deadline waits")
	}
}

// TestGateFreeSlotIsUsed guards against refusals beside free slots when an upstream is slower than the objective.
func TestGateFreeSlotIsUsed(t *testing.T) {
	g := policy.NewGate(1)
	d := demand(1, 50*time.Millisecond)
	if _, verdict := g.Offer(gateStart, d, nil); !verdict.Admitted {
		t.Errorf("verdict %+v, want admission", verdict)
	}
}

// TestGateWithdraw guards against a slot for a client that has left.
func TestGateWithdraw(t *testing.T) {
	g := policy.NewGate(1)
	running := fillGate(t, g)[0]
	called := false
	place, _ := g.Offer(gateStart, demand(1, time.Second), func(policy.Verdict) { called = true })
	g.Withdraw(place)
	g.Finish(gateStart.Add(time.Millisecond), running)
	if called || g.Running() != 0 {
		t.Errorf("decided %v, running %d", called, g.Running())
	}
}

// TestGateRefuseAll guards against requests that wait for an upstream that has gone.
func TestGateRefuseAll(t *testing.T) {
	g := policy.NewGate(1)
	fillGate(t, g)
	var verdict policy.Verdict
	g.Offer(gateStart, demand(1, time.Second), func(v policy.Verdict) { verdict = v })
	g.RefuseAll(300 * time.Millisecond)
	if verdict.RetryAfter != 300*time.Millisecond || g.Waiting() != 0 {
		t.Errorf("verdict %+v, waiting %d", verdict, g.Waiting())
	}
}

// TestStalled answers the pattern of an upstream that never answers what it can't queue: its slots must not stay in use until the
// deadlines of such requests, and slow requests must not be taken for stalled ones while nothing overtakes them.
func TestStalled(t *testing.T) {
	const service = 20 * time.Millisecond
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name string
		// ends is how many later requests end, each after the usual time.
		ends    int
		age     time.Duration
		stalled bool
	}{
		{"overtaken for long", 10, 15 * service, true},
		{"overtaken, not for long", 10, 2 * service, false},
		{"not overtaken", 0, 20 * service, false},
		{"overtaken by few", 2, 20 * service, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gate := policy.NewGate(2)
			demand := policy.Demand{Objective: start.Add(time.Minute), Deadline: start.Add(time.Minute), Service: service}
			if _, v := gate.Offer(start, demand, nil); !v.Admitted {
				t.Fatal("not admitted")
			}
			for n := range test.ends {
				now := start.Add(test.age * time.Duration(n+1) / time.Duration(test.ends))
				p, v := gate.Offer(now.Add(-time.Millisecond), demand, nil)
				if !v.Admitted {
					t.Fatal("not admitted")
				}
				gate.Finish(now, p)
			}
			now := start.Add(test.age)
			admitted := 0
			for range 3 {
				if _, v := gate.Offer(now, demand, func(policy.Verdict) {}); v.Admitted {
					admitted++
				}
			}
			want := 1
			if test.stalled {
				want = 2
			}
			if admitted != want {
				t.Errorf("%d more admitted, want %d", admitted, want)
			}
		})
	}
}
