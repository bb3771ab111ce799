package placement

import (
	"slices"

	"sapphiretray/partition"
)

// heapPrefix is the number of leading heap entries (three levels) that contain the three smallest sort keys. At most two members are
// skipped, because they are kept already.
const heapPrefix = 7

// fillSuccessors completes the successors of each partition with members of the owner's region, in different data centres if
// possible. An existing successor is preferred to a new one that is equally good.
func (s *state) fillSuccessors() {
	for p := range s.ranks {
		owner := s.ranks[p][0]
		if owner == none || !s.nodes[owner].ready || s.hasGoodSuccessors(p) {
			continue
		}
		next := [partition.MaxMembers]int32{owner, none, none}
		for rank := 1; rank < partition.MaxMembers; rank++ {
			next[rank] = s.successor(p, next[:rank])
			if next[rank] == none {
				break
			}
		}
		if next == s.ranks[p] || next[1] == none {
			continue
		}
		s.setSuccessors(p, next)
		if s.causes[p].kind == "" {
			s.causes[p] = cause{Successors, "a successor is gone or shares a data centre"}
		}
	}
}

// setSuccessors replaces the ranks of a partition and updates the successor loads.
func (s *state) setSuccessors(p int, next [partition.MaxMembers]int32) {
	old := s.ranks[p]
	for _, n := range old[1:] {
		if n != none && n != next[1] && n != next[2] {
			s.addSuccessorLoad(n, -s.loads[p])
		}
	}
	for _, n := range next[1:] {
		if n != none && n != old[1] && n != old[2] {
			s.addSuccessorLoad(n, s.loads[p])
		}
	}
	s.ranks[p] = next
}

func (s *state) addSuccessorLoad(n int32, load float64) {
	s.nodes[n].successorLoad += load
	if s.nodes[n].ready {
		s.bySuccessorLoad[s.nodes[n].dc].fix(n)
	}
}

// hasGoodSuccessors reports whether a partition has a member for each rank, all in the owner's region and in different data centres. A
// draining successor counts: it is replaced only once, when it has ended.
func (s *state) hasGoodSuccessors(p int) bool {
	ranks := s.ranks[p]
	for rank, n := range ranks {
		if n == none || s.nodes[n].record.Region != s.nodes[ranks[0]].record.Region {
			return false
		}
		if s.nodes[n].ready && rank > 0 && !s.permits(p, n) {
			return false
		}
		for _, other := range ranks[:rank] {
			if s.nodes[other].dc == s.nodes[n].dc {
				return false
			}
		}
	}
	return true
}

// successor returns the best member for the rank after those kept, or none. It prefers, in this order, the lowest overlap of the
// data centre, a member that is a successor already, and the least successor load.
func (s *state) successor(p int, kept []int32) int32 {
	best, bestOverlap := s.existing(p, kept)
	existing := best != none
	for dc := range s.dcs {
		if s.dcs[dc].region != s.nodes[kept[0]].record.Region {
			continue
		}
		overlap := s.overlap(dc, kept)
		if best != none && (overlap > bestOverlap || existing && overlap == bestOverlap) {
			continue
		}
		n := s.leastSuccessorLoad(p, dc, kept)
		if n == none {
			continue
		}
		if best == none || overlap < bestOverlap || s.successorLoad(n) < s.successorLoad(best) {
			best, bestOverlap, existing = n, overlap, false
		}
	}
	return best
}

// existing returns the best member for a rank among the partition's successors, or none, and the overlap of its data centre.
func (s *state) existing(p int, kept []int32) (best int32, bestOverlap int) {
	best = none
	for _, n := range s.ranks[p][1:] {
		if n == none || slices.Contains(kept, n) || !s.permits(p, n) ||
			s.nodes[n].record.Region != s.nodes[kept[0]].record.Region {
			continue
		}
		if overlap := s.overlap(s.nodes[n].dc, kept); best == none || overlap < bestOverlap {
			best, bestOverlap = n, overlap
		}
	}
	return best, bestOverlap
}

// overlap returns how a data centre is used by the kept members: 2 if the owner is in it, 1 if only another kept member is, 0 if none
// is.
func (s *state) overlap(dc int, kept []int32) int {
	for rank, k := range kept {
		switch {
		case s.nodes[k].dc != dc:
		case rank == 0:
			return 2
		default:
			return 1
		}
	}
	return 0
}

// successorLoad returns the successor load of a member per unit of capacity.
func (s *state) successorLoad(n int32) float64 { return s.nodes[n].successorLoad / s.nodes[n].capacity }

// leastSuccessorLoad returns the member of a data centre with the least successor load that isn't kept already, or none.
func (s *state) leastSuccessorLoad(p, dc int, kept []int32) int32 {
	best, least := int32(none), heapEntry{}
	entries := s.bySuccessorLoad[dc].entries
	if len(entries) > 0 && s.permits(p, entries[0].node) && !slices.Contains(kept, entries[0].node) {
		return entries[0].node
	}
	for _, e := range entries[:min(len(entries), heapPrefix)] {
		if s.permits(p, e.node) && !slices.Contains(kept, e.node) && (best == none || e.before(least)) {
			best, least = e.node, e
		}
	}
	return best
}
