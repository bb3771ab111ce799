package placement

import (
	"cmp"
	"fmt"
	"slices"
)

// largePartitionShare is the load of a partition, as a fraction of the mean load of a member, above which all members are compared to
// find its receiver: the capacity of the least loaded one may be too small.
const largePartitionShare = 0.25

// receiver returns the ready member to which a partition is best moved: one that its pin names, or else the least loaded one in an
// allowed data centre. It returns none if there is no such member.
func (s *state) receiver(p int) int32 {
	if pin, ok := s.pins[p]; ok {
		if n := s.leastLoadedForPin(p, pin); n != none {
			return n
		}
	}
	if s.loads[p] > largePartitionShare*s.meanPartitionLoad*float64(len(s.loads))/float64(len(s.nodes)) {
		return s.leastLoadedWith(p)
	}
	best := int32(none)
	for dc := range s.dcs {
		n := s.byLoad[dc].top()
		if n != none && s.permits(p, n) && (best == none || s.nodes[n].relativeLoad() < s.nodes[best].relativeLoad()) {
			best = n
		}
	}
	return best
}

// leastLoadedWith returns the allowed member other than the owner whose relative load is smallest with a partition added, or none.
func (s *state) leastLoadedWith(p int) int32 {
	best, least := int32(none), 0.0
	for n := range s.nodes {
		if !s.permits(p, int32(n)) || s.ranks[p][0] == int32(n) {
			continue
		}
		after := (s.nodes[n].load + s.loads[p]) / s.nodes[n].capacity
		if best == none || after < least {
			best, least = int32(n), after
		}
	}
	return best
}

// assignUnowned assigns an owner to each partition without one, in descending order of load.
func (s *state) assignUnowned() {
	var unowned []int32
	for p := range s.ranks {
		if s.ranks[p][0] == none {
			unowned = append(unowned, int32(p))
		}
	}
	s.sortByLoad(unowned)
	blocked := 0
	for _, p := range unowned {
		n := s.receiver(int(p))
		if n == none {
			blocked++
			continue
		}
		s.tryMove(int(p), n, cause{Unowned, "no member of the partition is left"})
	}
	if blocked > 0 {
		s.addProblem("%d partitions without an owner: no ready member is allowed", blocked)
	}
}

// sortByLoad sorts partitions in descending order of load.
func (s *state) sortByLoad(partitions []int32) {
	slices.SortFunc(partitions, func(a, b int32) int {
		return cmp.Or(cmp.Compare(s.loads[b], s.loads[a]), cmp.Compare(a, b))
	})
}

// drain moves partitions away from members that aren't ready.
func (s *state) drain() {
	for n := range s.nodes {
		old := &s.nodes[n]
		if old.ready || len(old.owned) == 0 {
			continue
		}
		reason := fmt.Sprintf("%s is %s", old.incarnation, old.record.State)
		if old.record.State == "" {
			reason = old.incarnation.String() + " has no record"
		} else if old.record.Capacity <= 0 {
			reason = old.incarnation.String() + " has no capacity"
		}
		partitions := slices.Clone(old.owned)
		s.sortByLoad(partitions)
		for _, p := range partitions {
			to := s.receiver(int(p))
			if to == none {
				s.addProblem("partition %d of %s: no ready member is allowed", p, old.incarnation)
				continue
			}
			s.tryMove(int(p), to, cause{Drain, reason})
		}
	}
}
