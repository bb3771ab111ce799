package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"sapphiretray/member"
	"sapphiretray/partition"
	"sapphiretray/placement"
)

const (
	benchMembers    = 5200
	benchPartitions = 1 << 19 // 64 for each member, rounded up to a power of two.
)

// BenchmarkFirstPlan measures a plan that assigns all partitions of an empty map.
func BenchmarkFirstPlan(b *testing.B) {
	in := placement.Input{
		Members: withReports(newMembers(benchMembers, 4)), Map: emptyMap(b, benchPartitions), MoveBudget: placement.NoLimit,
	}
	for b.Loop() {
		placement.Compute(in)
	}
}

// BenchmarkStep measures a plan with new loads and a lost member, with a budget of 60 moves and without one.
func BenchmarkStep(b *testing.B) {
	members := withReports(newMembers(benchMembers, 4))
	in := placement.Input{Members: members, Map: emptyMap(b, benchPartitions), MoveBudget: placement.NoLimit}
	in.Loads = zipfLoads(benchPartitions, benchMembers, 1)
	in.Map, _ = apply(b, in)
	in.Loads = zipfLoads(benchPartitions, benchMembers, 2)
	members[7].Record.State = member.Expired
	b.Run("budget=60", func(b *testing.B) {
		in.MoveBudget = 60
		for b.Loop() {
			placement.Compute(in)
		}
	})
	b.Run("budget=none", func(b *testing.B) {
		in.MoveBudget = placement.NoLimit
		for b.Loop() {
			placement.Compute(in)
		}
	})
}

// BenchmarkOwner measures the lookup of a key's owner, without overrides and with the largest number of them.
func BenchmarkOwner(b *testing.B) {
	in := placement.Input{
		Members: withReports(newMembers(benchMembers, 4)), Map: emptyMap(b, benchPartitions), MoveBudget: placement.NoLimit,
	}
	m, _ := apply(b, in)
	b.Run("overrides=0", func(b *testing.B) { lookUp(b, m) })
	hashes := make([]uint64, placement.MaxOverrides)
	random := rand.New(rand.NewPCG(1, 1))
	for n := range hashes {
		hashes[n] = random.Uint64()
	}
	m, err := m.Change(m.Version()+1, hashes, nil)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("overrides=65536", func(b *testing.B) { lookUp(b, m) })
}

func lookUp(b *testing.B, m *partition.Map) {
	b.Helper()
	b.ReportAllocs()
	keys := make([]string, 1<<16)
	for n := range keys {
		keys[n] = fmt.Sprintf("booking/%d", n)
	}
	n := 0
	for b.Loop() {
		if _, ok := m.Owner(m.Partition(keys[n&(1<<16-1)])); !ok {
			b.Fatal("no owner")
		}
		n++
	}
}
