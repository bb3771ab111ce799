package placement_test

import (
	"testing"

	"sapphiretray/member"
	"sapphiretray/placement"
)

const (
	benchMembers    = 5200
	benchPartitions = 1 << 19 // 64 for each member, rounded up to a power of two.
)

func BenchmarkFirstPlan(b *testing.B) {
	in := placement.Input{Members: fresh(cluster(benchMembers, 4)), Map: empty(b, benchPartitions), Budget: placement.NoLimit}
	for b.Loop() {
		placement.Compute(in)
	}
}

// BenchmarkStep plans with new loads, a lost member and a budget of 60 moves.
func BenchmarkStep(b *testing.B) {
	members := fresh(cluster(benchMembers, 4))
	in := placement.Input{Members: members, Map: empty(b, benchPartitions), Budget: placement.NoLimit}
	in.Loads = zipfLoads(benchPartitions, benchMembers, 1)
	in.Map, _ = apply(b, in)
	in.Loads = zipfLoads(benchPartitions, benchMembers, 2)
	members[7].Record.State = member.Lapsed
	b.Run("budget=60", func(b *testing.B) {
		in.Budget = 60
		for b.Loop() {
			placement.Compute(in)
		}
	})
	b.Run("budget=none", func(b *testing.B) {
		in.Budget = placement.NoLimit
		for b.Loop() {
			placement.Compute(in)
		}
	})
}

func BenchmarkOwner(b *testing.B) {
	in := placement.Input{Members: fresh(cluster(benchMembers, 4)), Map: empty(b, benchPartitions), Budget: placement.NoLimit}
	m, _ := apply(b, in)
	keys := []string{"booking/1", "booking/22", "booking/333", "booking/4444"}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		if _, ok := m.Owner(m.Partition(keys[n&3])); !ok {
			b.Fatal("no owner")
		}
		n++
	}
}
