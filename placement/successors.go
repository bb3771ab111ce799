package placement

import (
	"slices"

	"sapphiretray/partition"
)

// heapLayers is the number of heap entries that hold the three smallest keys: two may be looked past.
const heapLayers = 7

// fillSuccessors completes the successors of each partition: members of the owner's region, each in a data centre of its
// own while there are enough. One that is there already is preferred to an equally good one.
func (s *state) fillSuccessors() {
	for p := range s.ranks {
		owner := s.ranks[p][0]
		if owner == none || !s.nodes[owner].ready || s.complete(p) {
			continue
		}
		next := [partition.Replicas]int32{owner, none, none}
		for rank := 1; rank < partition.Replicas; rank++ {
			next[rank] = s.successor(p, next[:rank])
			if next[rank] == none {
				break
			}
		}
		if next == s.ranks[p] || next[1] == none {
			continue
		}
		s.setSuccessors(p, next)
		if s.changes[p].kind == "" {
			s.changes[p] = change{Successors, "a successor is gone or shares a data centre"}
		}
	}
}

// setSuccessors replaces the ranks of a partition and accounts for the successors' duty.
func (s *state) setSuccessors(p int, next [partition.Replicas]int32) {
	old := s.ranks[p]
	for _, n := range old[1:] {
		if n != none && n != next[1] && n != next[2] {
			s.addDuty(n, -s.loads[p])
		}
	}
	for _, n := range next[1:] {
		if n != none && n != old[1] && n != old[2] {
			s.addDuty(n, s.loads[p])
		}
	}
	s.ranks[p] = next
}

func (s *state) addDuty(n int32, load float64) {
	s.nodes[n].duty += load
	if s.nodes[n].ready {
		s.byDuty[s.nodes[n].dc].fix(n)
	}
}

// complete reports whether a partition has successors for all ranks in different data centres. A successor that drains
// still counts: it is replaced when it is gone, and not twice.
func (s *state) complete(p int) bool {
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

// successor returns the best member for the rank after those kept, or none. The fewest shared data centres count first,
// then that the member is a successor already, then the least duty.
func (s *state) successor(p int, kept []int32) int32 {
	best, grade := s.present(p, kept)
	present := best != none
	for dc := range s.dcs {
		if s.dcs[dc].region != s.nodes[kept[0]].record.Region {
			continue
		}
		shared := s.shared(dc, kept)
		if best != none && (shared > grade || present && shared == grade) {
			continue
		}
		n := s.leastDuty(p, dc, kept)
		if n == none {
			continue
		}
		if best == none || shared < grade || s.duty(n) < s.duty(best) {
			best, grade, present = n, shared, false
		}
	}
	return best
}

// present returns the best member for a rank among the present successors, with its grade.
func (s *state) present(p int, kept []int32) (best int32, grade int) {
	best = none
	for _, n := range s.ranks[p][1:] {
		if n == none || slices.Contains(kept, n) || !s.permits(p, n) ||
			s.nodes[n].record.Region != s.nodes[kept[0]].record.Region {
			continue
		}
		if shared := s.shared(s.nodes[n].dc, kept); best == none || shared < grade {
			best, grade = n, shared
		}
	}
	return best, grade
}

// shared grades a data centre: 0 if none of the kept members is in it, 2 if the owner is, otherwise 1.
func (s *state) shared(dc int, kept []int32) int {
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

func (s *state) duty(n int32) float64 { return s.nodes[n].duty / s.nodes[n].capacity }

// leastDuty returns the member of a data centre with the least duty that isn't kept yet, or none. Only the kept ones
// need to be looked past.
func (s *state) leastDuty(p, dc int, kept []int32) int32 {
	best, least := int32(none), ranked{}
	entries := s.byDuty[dc].entries
	if len(entries) > 0 && s.permits(p, entries[0].node) && !slices.Contains(kept, entries[0].node) {
		return entries[0].node
	}
	for _, e := range entries[:min(len(entries), heapLayers)] {
		if s.permits(p, e.node) && !slices.Contains(kept, e.node) && (best == none || e.before(least)) {
			best, least = e.node, e
		}
	}
	return best
}
