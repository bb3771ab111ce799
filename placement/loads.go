package placement

import "math"

// minLoadShare is the smallest load that a partition counts with, as a fraction of the mean: idle partitions are spread evenly, too,
// since they may become busy.
const minLoadShare = 0.01

// estimateLoads sets the load of each partition and member. A member without a recent report counts with the share of the load that
// corresponds to its capacity, so that an estimate neither moves load away from it nor to it. If both its old loads and the number
// of its partitions amount to less, as after it has joined, it counts with the larger of the two.
func (s *state) estimateLoads() {
	s.loads = make([]float64, len(s.ranks), cap(s.ranks))
	unknown := s.setKnownLoads()
	// The mean includes loads from old reports, so that all loads have the same unit if there is no recent report.
	known, sum := 0, 0.0
	for p, load := range s.loads {
		if load < 0 && p < len(s.in.Loads) {
			load = s.in.Loads[p]
		}
		if finite(load) {
			known++
			sum += load
		}
	}
	s.meanPartitionLoad = 1
	if known > 0 && sum > 0 {
		s.meanPartitionLoad = sum / float64(known)
	}
	capacity := 0.0
	for n := range s.nodes {
		if s.nodes[n].ready {
			capacity += s.nodes[n].capacity
		}
	}
	s.meanRelativeLoad = s.meanPartitionLoad * float64(len(s.ranks)) / math.Max(capacity, math.SmallestNonzeroFloat32)
	scale := s.estimateScale(unknown)
	for p, load := range s.loads {
		if load < 0 {
			s.loads[p] = s.meanPartitionLoad
			if n := s.ranks[p][0]; n != none {
				s.loads[p] = s.estimate(p) * scale[n]
			}
		}
		s.loads[p] = math.Max(s.loads[p], minLoadShare*s.meanPartitionLoad)
	}
	s.sumLoads()
}

// estimate returns the load of a partition from an old report, or the mean load if there is none.
func (s *state) estimate(p int) float64 {
	if p < len(s.in.Loads) && finite(s.in.Loads[p]) {
		return s.in.Loads[p]
	}
	return s.meanPartitionLoad
}

// estimateScale returns, by member, the factor by which to multiply the estimated loads of its partitions, so that their sum is the
// load that the member counts with.
func (s *state) estimateScale(unknown []int) []float64 {
	sum := make([]float64, len(s.nodes))
	for p, ranks := range s.ranks {
		if s.loads[p] < 0 && ranks[0] != none {
			sum[ranks[0]] += s.estimate(p)
		}
	}
	for n, estimated := range sum {
		total := math.Min(math.Max(estimated, float64(unknown[n])*s.meanPartitionLoad), s.meanRelativeLoad*s.nodes[n].capacity)
		sum[n] = total / math.Max(estimated, math.SmallestNonzeroFloat32)
	}
	return sum
}

// setKnownLoads sets the loads of partitions whose owner has a recent report and of measured partitions without an owner. It leaves
// the others negative and returns, by member, the number of its partitions without a measured load.
func (s *state) setKnownLoads() []int {
	unknown := make([]int, len(s.nodes))
	// negatedLoads are the negated sums of the measured loads, by member.
	negatedLoads := make([]float64, len(s.nodes))
	for p := range s.ranks {
		s.loads[p] = -1
		n := s.ranks[p][0]
		if n != none && !s.nodes[n].recentReport {
			unknown[n]++
			continue
		}
		if p < len(s.in.Loads) && finite(s.in.Loads[p]) {
			s.loads[p] = s.in.Loads[p]
			if n != none {
				negatedLoads[n] -= s.in.Loads[p]
			}
		} else if n != none {
			unknown[n]++
		}
	}
	// The part of a member's reported load that isn't measured by partition is divided among its other partitions.
	for p := range s.ranks {
		n := s.ranks[p][0]
		if s.loads[p] < 0 && n != none && s.nodes[n].recentReport {
			s.loads[p] = math.Max(0, s.nodes[n].reportedLoad+negatedLoads[n]) / float64(unknown[n])
		}
	}
	return unknown
}

// sumLoads computes the loads of the members and the means from the loads of the partitions, and builds the heaps of members.
func (s *state) sumLoads() {
	total := 0.0
	for n := range s.nodes {
		s.nodes[n].owned = make([]int32, 0, 2*len(s.ranks)/len(s.nodes))
	}
	for p, ranks := range s.ranks {
		total += s.loads[p]
		if ranks[0] != none {
			s.nodes[ranks[0]].load += s.loads[p]
			s.nodes[ranks[0]].owned = append(s.nodes[ranks[0]].owned, int32(p))
		}
		for _, n := range ranks[1:] {
			if n != none {
				s.nodes[n].successorLoad += s.loads[p]
			}
		}
	}
	capacity := 0.0
	s.byLoad = make([]*memberHeap, len(s.dcs))
	s.bySuccessorLoad = make([]*memberHeap, len(s.dcs))
	for dc := range s.dcs {
		s.byLoad[dc] = newMemberHeap(len(s.nodes), func(n int32) float64 { return s.nodes[n].relativeLoad() })
		s.bySuccessorLoad[dc] = newMemberHeap(len(s.nodes), func(n int32) float64 { return s.nodes[n].successorLoad / s.nodes[n].capacity })
	}
	for n := range s.nodes {
		if s.nodes[n].ready {
			capacity += s.nodes[n].capacity
			s.byLoad[s.nodes[n].dc].add(int32(n))
			s.bySuccessorLoad[s.nodes[n].dc].add(int32(n))
		}
	}
	s.meanPartitionLoad = total / float64(max(len(s.ranks), 1))
	s.meanRelativeLoad = total / math.Max(capacity, math.SmallestNonzeroFloat32)
}

// imbalance returns the largest relative load of a ready member, divided by the mean.
func (s *state) imbalance() float64 {
	worst := 0.0
	for n := range s.nodes {
		if s.nodes[n].ready {
			worst = math.Max(worst, s.nodes[n].relativeLoad()/s.meanRelativeLoad)
		}
	}
	return worst
}
