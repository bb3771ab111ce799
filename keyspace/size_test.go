package keyspace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"sapphiretray/keyspace"
	"sapphiretray/member"
)

// fleet returns candidates with unequal numbers of slots.
func fleet(random *rand.Rand, n int) []keyspace.Candidate {
	list := make([]keyspace.Candidate, 0, n)
	for i := range n {
		list = append(list, keyspace.Candidate{
			Instance: member.NewIncarnation(fmt.Sprintf("10.%d.%d.%d", i%5, i/250, i%250), 1),
			Slots:    4 + random.IntN(5), RelativeServiceTime: 1,
		})
	}
	random.Shuffle(n, func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// unevenness returns the largest share of keys by concurrency slot divided by the smallest; a candidate without keys counts as having half
// a key.
func unevenness(m *keyspace.Map, c []keyspace.Candidate) float64 {
	owned := make(map[member.Incarnation]float64)
	for _, e := range m.Entries() {
		owned[e.Owner()] += float64(e.Size())
	}
	least, most := 0.0, 0.0
	for n, c := range c {
		share := max(owned[c.Instance], 0.5) / float64(c.Slots)
		if n == 0 || share < least {
			least = share
		}
		most = max(most, share)
	}
	return most / least
}

// TestIdleServiceIsDividedEvenly guards against a first map that gives most keys to the instances that were first, as when 21 of 155 were
// registered and the others got halves of halves: at the start of traffic the first ones were full and the others idle.
func TestIdleServiceIsDividedEvenly(t *testing.T) {
	const (
		allowed  = 1.5
		maxPlans = 3
	)
	for _, size := range []int{1, 2, 3, 12, 155, 1040} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%d instances, seed %d", size, seed), func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, uint64(size)))
				all := fleet(random, size)
				var current *keyspace.Map
				arrived := 0
				for arrived < size {
					arrived = min(size, arrived+1+random.IntN(1+size/(1+int(seed))))
					input := planInput(current, all[:arrived], nil)
					input.Fresh = true
					if random.IntN(3) > 0 && current != nil {
						input.Candidates = settle(all[:arrived], current)
					}
					if next, _ := keyspace.Plan(input); next != nil {
						current = next
					}
				}
				plans := 0
				for ; unevenness(current, all) > allowed; plans++ {
					input := planInput(current, settle(all, current), nil)
					input.Fresh = true
					next, _ := keyspace.Plan(input)
					if next == nil || plans == maxPlans {
						t.Fatalf("the shares differ by a factor of %.2f after %d plans", unevenness(current, all), plans)
					}
					current = next
				}
				if next, _ := keyspace.Plan(keyspace.PlanInput{
					Service: "bookings", Current: current, Candidates: settle(all, current), Ended: never, Keep: never, Fresh: true,
				}); next != nil && unevenness(next, all) > allowed {
					t.Errorf("a further plan makes the shares differ by a factor of %.2f", unevenness(next, all))
				}
			})
		}
	}
}

// TestJoinedInstancesGetFairShares guards against instances that join a service with an idle map in use before, and get halves of halves.
// The others keep what they have, since the map was fitted to their load.
func TestJoinedInstancesGetFairShares(t *testing.T) {
	const allowed = 1.5
	random := rand.New(rand.NewPCG(1, 1))
	all := fleet(random, 60)
	current := mustPlan(t, planInput(nil, all[:20], nil))
	for plans := 0; unevenness(current, all) > allowed; plans++ {
		if plans == 3 {
			t.Fatalf("the shares differ by a factor of %.2f", unevenness(current, all))
		}
		current = mustPlan(t, planInput(current, settle(all, current), nil))
	}
	lopsided := mustPlan(t, planInput(nil, all[:3], nil))
	lopsided = mustPlan(t, planInput(lopsided, settle(all[:2], lopsided), nil))
	if next, moves := keyspace.Plan(planInput(lopsided, settle(all[:2], lopsided), nil)); next != nil {
		t.Errorf("%d ranges of a map in use are moved without a reason", len(moves))
	}
}

// BenchmarkPlan measures a plan for a deployment under load, of which a part of the upstreams is full.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []int{12, 155, 1040} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, uint64(size)))
			all := fleet(random, size)
			current, _ := keyspace.Plan(planInput(nil, all, nil))
			var loads []keyspace.RangeLoad
			for _, e := range current.Entries() {
				// Each instance reports its load in up to 16 ranges.
				for n := range min(16, e.Size()) {
					width := e.Size() / min(16, e.Size())
					first := int(e.First) + n*width
					loads = append(loads, rangeLoad(keyspace.Key(first), keyspace.Key(first+width-1), random.ExpFloat64()*0.2))
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				keyspace.Plan(planInput(current, settle(all, current), loads))
			}
		})
	}
}
