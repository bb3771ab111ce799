package keyspace_test

import (
	"slices"
	"testing"

	"sapphiretray/keyspace"
	"sapphiretray/member"
)

// restarted returns the candidates with newer incarnations of those at some positions, which are cold.
func restarted(c []keyspace.Candidate, coldLoad float64, positions ...int) []keyspace.Candidate {
	c = slices.Clone(c)
	for _, n := range positions {
		c[n].Instance = member.NewIncarnation(c[n].Instance.Slot(), c[n].Instance.Number()+1)
		c[n].ColdLoad = coldLoad
	}
	return c
}

// evenLoads returns a load of each 64th part of the keys, in busy slots.
func evenLoads(total float64) []keyspace.RangeLoad {
	const parts = 64
	loads := make([]keyspace.RangeLoad, 0, parts)
	size := (int(keyspace.MaxKey) + 1) / parts
	for n := range parts {
		loads = append(loads, keyspace.RangeLoad{
			Range: keyspace.Range{First: keyspace.Key(n * size), Last: keyspace.Key((n+1)*size - 1)}, Load: total / parts,
		})
	}
	return loads
}

// TestColdOwnersReceiveLittle plays the load "upstreams restart one by one under full load". It guards against cold upstreams that get more
// keys than they can serve, and against keys that don't return once these are warm.
func TestColdOwnersReceiveLittle(t *testing.T) {
	const coldLoad, upstreams, total = 1.5, 8, 36.0
	loads := evenLoads(total)
	warm := candidates(slices.Repeat([]float64{1}, upstreams)...)
	m, _ := converge(t, mustPlan(t, planInput(nil, warm, loads)), warm, loads)
	tests := []struct {
		name      string
		positions []int
		// newSlots makes the restarted candidates ones without earlier keys.
		newSlots bool
	}{
		{"one restarts", []int{2}, false},
		{"two restart", []int{2, 5}, false},
		{"one joins", []int{2}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cold := restarted(warm, coldLoad, test.positions...)
			if test.newSlots {
				for _, n := range test.positions {
					cold[n].Instance = incarnation(100 + n)
				}
			}
			next, _ := converge(t, m, cold, loads)
			got := carried(next, loads)
			for _, n := range test.positions {
				if load := got[cold[n].Instance]; load > coldLoad || load == 0 {
					t.Errorf("candidate %d is cold and carries %.2f busy slots, want up to %.2f", n, load, coldLoad)
				}
			}
			for n := range cold {
				cold[n].ColdLoad = 0
			}
			next, _ = converge(t, next, cold, loads)
			got = carried(next, loads)
			for _, n := range test.positions {
				if load := got[cold[n].Instance]; load < 0.6*total/upstreams {
					t.Errorf("candidate %d is warm and carries %.2f busy slots, want about %.2f", n, load, total/upstreams)
				}
			}
		})
	}
}

// TestColdOwnersKeepKeysAfterRestartOfAll plays the load "all upstreams restart at once under full load". It guards against keys that move
// although no other upstream can bear more.
func TestColdOwnersKeepKeysAfterRestartOfAll(t *testing.T) {
	loads := evenLoads(36)
	warm := candidates(slices.Repeat([]float64{1}, 8)...)
	m, _ := converge(t, mustPlan(t, planInput(nil, warm, loads)), warm, loads)
	cold := restarted(warm, 1.5, 0, 1, 2, 3, 4, 5, 6, 7)
	// Callers that return make the load of some keys rise.
	loads = append(loads, keyspace.RangeLoad{Range: keyspace.Range{First: 100, Last: 5000}, Load: 4})
	next, _ := converge(t, m, cold, loads)
	for _, e := range m.Entries() {
		for _, key := range []keyspace.Key{e.First, e.Last} {
			after, _ := next.Find(key)
			if after.Owner().Slot() != e.Owner().Slot() {
				t.Errorf("key %d moved from slot %s to %s", key, e.Owner().Slot(), after.Owner().Slot())
			}
		}
	}
}
