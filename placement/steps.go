package placement

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	// largeShare is the load of a partition, as a share of the mean load of a member, from which the member that gets it
	// is found by visiting all: the least loaded one may be too small.
	largeShare = 0.25
	// moveCost is the difference of two members' loads, over the mean, at which a move of a partition of mean load has
	// the same weight as the imbalance that it removes if all weights are equal.
	moveCost = 0.02
)

// receiver returns the ready member that is best for a partition: a pinned one, else the least loaded one in an allowed
// data centre. It returns none if there is none.
func (s *state) receiver(p int) int32 {
	if pin, ok := s.pins[p]; ok {
		if n := s.pinned(p, pin); n != none {
			return n
		}
	}
	if s.loads[p] > largeShare*s.unit*float64(len(s.loads))/float64(len(s.nodes)) {
		return s.roomiest(p)
	}
	best := int32(none)
	for dc := range s.dcs {
		n := s.byLoad[dc].top()
		if n != none && s.permits(p, n) && (best == none || s.nodes[n].ratio() < s.nodes[best].ratio()) {
			best = n
		}
	}
	return best
}

// roomiest returns the member whose load over capacity is smallest with the partition added.
func (s *state) roomiest(p int) int32 {
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

// assignUnowned gives an owner to each partition that has none, largest load first.
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
		s.try(int(p), n, change{Unowned, "no member of the partition is left"})
	}
	if blocked > 0 {
		s.problem("%d partitions without an owner: no ready member is allowed", blocked)
	}
}

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
				s.problem("partition %d of %s: no ready member is allowed", p, old.incarnation)
				continue
			}
			s.try(int(p), to, change{Drain, reason})
		}
	}
}

// balance moves partitions from the most to the least loaded member while a move is worth its cost.
func (s *state) balance() {
	donors := newRanking(len(s.nodes), func(n int32) float64 { return -s.nodes[n].ratio() })
	for n := range s.nodes {
		if s.nodes[n].ready {
			donors.add(int32(n))
		}
	}
	for len(donors.entries) > 1 {
		from := donors.top()
		p, to := s.bestMove(from)
		if p == none {
			// Receivers only gain load from here on, so that a donor without a move gets none later.
			donors.pop()
			continue
		}
		reason := fmt.Sprintf("%s has %.2f of its share, %s %.2f", s.nodes[from].incarnation,
			s.nodes[from].ratio()/s.mean, s.nodes[to].incarnation, s.nodes[to].ratio()/s.mean)
		if !s.try(int(p), to, change{Balance, reason}) {
			return
		}
		donors.fix(from)
		donors.fix(to)
	}
}

// bestMove returns the partition of a member whose move is worth most, and where to; none if no move is worth its cost.
func (s *state) bestMove(from int32) (int32, int32) {
	best, to, most := int32(none), int32(none), 0.0
	last := s.base
	n := s.leastLoaded(last)
	for _, p := range s.nodes[from].owned {
		if _, pinned := s.pins[int(p)]; pinned {
			continue
		}
		mask := s.allowed(int(p))
		if mask != last {
			last, n = mask, s.leastLoaded(mask)
		}
		if n == none || n == from {
			continue
		}
		if worth := s.worth(int(p), from, n); worth > most {
			best, to, most = p, n, worth
		}
	}
	return best, to
}

func (s *state) leastLoaded(mask uint64) int32 {
	best := int32(none)
	for dc := range s.dcs {
		n := s.byLoad[dc].top()
		if n != none && mask&(1<<dc) != 0 && (best == none || s.nodes[n].ratio() < s.nodes[best].ratio()) {
			best = n
		}
	}
	return best
}

// worth returns the weighted imbalance that a move removes less its weighted cost, in units of a partition's mean load.
// The imbalance is the sum of squares of load over capacity. Churn counts moved keys, so that a partition of a single
// key is nearly free to move; unavailable time counts the load that a handover interrupts.
func (s *state) worth(p int, from, to int32) float64 {
	weights := s.in.Rules.Weights
	a, b := &s.nodes[from], &s.nodes[to]
	load := s.loads[p] / s.unit
	removed := load * ((a.ratio()-b.ratio())/s.mean - s.loads[p]*(1/a.capacity+1/b.capacity)/(2*s.mean))
	keys := 1.0
	if p >= s.in.Map.HashPartitions() {
		keys = 0
	}
	interrupted := load * s.in.Rules.Handover.Seconds() / DefaultHandover.Seconds()
	return weights.Imbalance*removed - moveCost*(weights.Churn*keys+weights.Unavailable*interrupted)
}
