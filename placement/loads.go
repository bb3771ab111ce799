package placement

import "math"

// minLoadShare is the least load of a partition, as a share of the mean: idle partitions are spread too, since they may
// not stay idle.
const minLoadShare = 0.01

// estimateLoads fills in the load of each partition and member. A member without a recent report counts with its share by
// capacity, so that it is neither relieved nor filled up on a guess. If neither an old report nor the number of its
// partitions explains that much, as when it has just joined, it counts with the larger of the two.
func (s *state) estimateLoads() {
	s.loads = make([]float64, len(s.ranks), cap(s.ranks))
	unknown := s.knownLoads()
	// The mean includes old figures, so that all are in one unit if no report is recent.
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
	s.unit = 1
	if known > 0 && sum > 0 {
		s.unit = sum / float64(known)
	}
	capacity := 0.0
	for n := range s.nodes {
		if s.nodes[n].ready {
			capacity += s.nodes[n].capacity
		}
	}
	s.mean = s.unit * float64(len(s.ranks)) / math.Max(capacity, math.SmallestNonzeroFloat32)
	scale := s.guessLoads(unknown)
	for p, load := range s.loads {
		if load < 0 {
			s.loads[p] = s.unit
			if n := s.ranks[p][0]; n != none {
				s.loads[p] = s.guess(p) * scale[n]
			}
		}
		s.loads[p] = math.Max(s.loads[p], minLoadShare*s.unit)
	}
	s.sumLoads()
}

// guess returns the load of a partition by an old report, else the mean.
func (s *state) guess(p int) float64 {
	if p < len(s.in.Loads) && finite(s.in.Loads[p]) {
		return s.in.Loads[p]
	}
	return s.unit
}

// guessLoads returns by member the factor that takes the guessed loads of its partitions to what it counts with.
func (s *state) guessLoads(unknown []int) []float64 {
	sum := make([]float64, len(s.nodes))
	for p, ranks := range s.ranks {
		if s.loads[p] < 0 && ranks[0] != none {
			sum[ranks[0]] += s.guess(p)
		}
	}
	for n, guessed := range sum {
		total := math.Min(math.Max(guessed, float64(unknown[n])*s.unit), s.mean*s.nodes[n].capacity)
		sum[n] = total / math.Max(guessed, math.SmallestNonzeroFloat32)
	}
	return sum
}

// knownLoads sets the loads that are known, leaves the others negative and counts these by member.
func (s *state) knownLoads() []int {
	unknown := make([]int, len(s.nodes))
	rest := make([]float64, len(s.nodes))
	for p := range s.ranks {
		s.loads[p] = -1
		n := s.ranks[p][0]
		if n != none && !s.nodes[n].trusted {
			unknown[n]++
			continue
		}
		if p < len(s.in.Loads) && finite(s.in.Loads[p]) {
			s.loads[p] = s.in.Loads[p]
			if n != none {
				rest[n] -= s.in.Loads[p]
			}
		} else if n != none {
			unknown[n]++
		}
	}
	// The part of a member's reported load that no partition's figure explains is spread over the other partitions.
	for p := range s.ranks {
		n := s.ranks[p][0]
		if s.loads[p] < 0 && n != none && s.nodes[n].trusted {
			s.loads[p] = math.Max(0, s.nodes[n].reported+rest[n]) / float64(unknown[n])
		}
	}
	return unknown
}

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
				s.nodes[n].duty += s.loads[p]
			}
		}
	}
	capacity := 0.0
	s.byLoad = make([]*ranking, len(s.dcs))
	s.byDuty = make([]*ranking, len(s.dcs))
	for dc := range s.dcs {
		s.byLoad[dc] = newRanking(len(s.nodes), func(n int32) float64 { return s.nodes[n].ratio() })
		s.byDuty[dc] = newRanking(len(s.nodes), func(n int32) float64 { return s.nodes[n].duty / s.nodes[n].capacity })
	}
	for n := range s.nodes {
		if s.nodes[n].ready {
			capacity += s.nodes[n].capacity
			s.byLoad[s.nodes[n].dc].add(int32(n))
			s.byDuty[s.nodes[n].dc].add(int32(n))
		}
	}
	s.unit = total / float64(max(len(s.ranks), 1))
	s.mean = total / math.Max(capacity, math.SmallestNonzeroFloat32)
}

// imbalance returns the largest load over the capacity-weighted mean.
func (s *state) imbalance() float64 {
	worst := 0.0
	for n := range s.nodes {
		if s.nodes[n].ready {
			worst = math.Max(worst, s.nodes[n].ratio()/s.mean)
		}
	}
	return worst
}
