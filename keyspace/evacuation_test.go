package keyspace_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"sapphiretray/keyspace"
	"sapphiretray/member"
)

// TestEvacuatedThird guards against keys that stay behind when a data centre with a third of the upstreams is evacuated, against keys that
// move to upstreams that can't take them while others can, and against needless moves of other keys, which make requests wait.
//
// The load is that of an evacuation in a busy hour: 67 upstreams of different speed, a tenth of the load on a few neighbouring keys, and
// as much in all as 0.85 of the remaining slots can serve.
func TestEvacuatedThird(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	times := make([]float64, 67)
	for n := range times {
		times[n] = 0.6 + random.Float64()
	}
	all := candidates(times...)
	evacuated := make(map[member.Incarnation]bool)
	capacity := 0.0
	for n, c := range all {
		if n%3 == 0 {
			evacuated[c.Instance] = true
			continue
		}
		capacity += float64(c.Slots) / c.RelativeServiceTime
	}
	const use = 0.85
	var loads []keyspace.RangeLoad
	for first := 0; first < 1<<16; first += 1 << 8 {
		load := 2 * random.Float64() * 0.9 * use * capacity / (1 << 8)
		loads = append(loads, rangeLoad(keyspace.Key(first), keyspace.Key(first+1<<8-1), load))
	}
	loads = append(loads, rangeLoad(30000, 30999, 0.1*use*capacity))
	m, _ := converge(t, mustPlan(t, planInput(nil, all, nil)), all, loads)
	rest := slices.DeleteFunc(slices.Clone(all), func(c keyspace.Candidate) bool { return evacuated[c.Instance] })
	input := planInput(m, settle(rest, m), loads)
	input.Keep = func(i member.Incarnation) bool { return !evacuated[i] }
	next, moves := keyspace.Plan(input)
	for _, move := range moves {
		if !evacuated[move.From] {
			t.Errorf("keys %s move from %s, which isn't evacuated", move.Range, move.From)
		}
	}
	after := carried(next, loads)
	for i := range evacuated {
		if after[i] > 0 {
			t.Errorf("%s keeps %.2f busy slots", i, after[i])
		}
	}
	for _, c := range rest {
		if busy := after[c.Instance] * c.RelativeServiceTime / float64(c.Slots); busy > 1 {
			t.Errorf("%s gets %.2f times as much as it can take, though all together get %.2f", c.Instance, busy, use)
		}
	}
}
