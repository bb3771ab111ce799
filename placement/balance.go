package placement

import "fmt"

const (
	// moveCost is the difference of two members' loads, over the mean, at which a move of a partition of mean load has
	// the same weight as the imbalance that it removes if all weights are equal.
	moveCost = 0.02
	// slack is how far below its share a donor may get, over that share: partitions have a size.
	slack = 0.01
	// acceptable is the load over the mean above which a member is relieved of partitions that are too large to go
	// straight; it leaves room to the target of 1.10.
	acceptable = 1.05
	// exchangeAbove is the load over the mean from which a large partition is moved to a member that must make room.
	exchangeAbove = 1.08
	// exchanges bounds these moves in one plan, and exchangeBudget is what must be left of the budget to begin one: a
	// member that took a large partition and has no budget to make room would be overloaded until the next plan.
	exchanges      = 64
	exchangeBudget = 32
)

// balance moves partitions from the most to the least loaded member while a move is worth its cost. The first pass takes
// no member across the mean, so that load goes straight from where there is too much to where there is too little and
// none moves twice. The second pass lifts that for members that are still above acceptable: their
// partitions are too large for the first.
func (s *state) balance() {
	for range 1 + exchanges {
		if !s.balancePass(1, true) || !s.balancePass(acceptable, false) || !s.exchange() {
			return
		}
	}
}

// balancePass relieves the members above a share of the mean and returns false if the budget is spent.
func (s *state) balancePass(above float64, straight bool) bool {
	donors := newRanking(len(s.nodes), func(n int32) float64 { return -s.nodes[n].ratio() })
	for n := range s.nodes {
		if s.nodes[n].ready {
			donors.add(int32(n))
		}
	}
	for len(donors.entries) > 1 {
		from := donors.top()
		if s.nodes[from].ratio() <= above*s.mean {
			break
		}
		p, to := s.bestMove(from, straight)
		if p == none {
			// Receivers only gain load from here on, so that a donor without a move gets none later.
			donors.pop()
			continue
		}
		reason := fmt.Sprintf("%s has %.2f of its share, %s %.2f", s.nodes[from].incarnation,
			s.nodes[from].ratio()/s.mean, s.nodes[to].incarnation, s.nodes[to].ratio()/s.mean)
		if !s.try(int(p), to, change{Balance, reason}) {
			return false
		}
		donors.fix(from)
		donors.fix(to)
	}
	return true
}

// crosses reports whether a move takes the receiver above the mean or the donor below it by more than slack.
func (s *state) crosses(p, from, to int32) bool {
	a, b, load := &s.nodes[from], &s.nodes[to], s.loads[p]
	return a.load-load < (1-slack)*s.mean*a.capacity || b.load+load > (1+slack)*s.mean*b.capacity
}

// bestMove returns the partition of a member whose move is worth most, and where to; none if no move is worth its cost.
func (s *state) bestMove(from int32, straight bool) (int32, int32) {
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
		if n == none || n == from || straight && s.crosses(p, from, n) {
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

// exchange moves a large partition away from the most loaded member if that has more than exchangeAbove and nothing
// smaller helps. The receiver is the member whose other load is easiest to move away; the next pass does that. It
// returns false if there is no such move.
func (s *state) exchange() bool {
	if s.in.Budget >= 0 && s.in.Budget-s.spent < exchangeBudget {
		return false
	}
	from := int32(none)
	for n := range s.nodes {
		over := s.nodes[n].ready && s.nodes[n].ratio() > exchangeAbove*s.mean
		if over && (from == none || s.nodes[n].ratio() > s.nodes[from].ratio()) {
			from = int32(n)
		}
	}
	if from == none {
		return false
	}
	p := s.smallestAbove(from, s.nodes[from].load-s.mean*s.nodes[from].capacity)
	if p == none {
		return false
	}
	to := s.roomFor(p, from)
	if to == none {
		return false
	}
	reason := fmt.Sprintf("%s has %.2f of its share; %s can make room", s.nodes[from].incarnation,
		s.nodes[from].ratio()/s.mean, s.nodes[to].incarnation)
	return s.try(int(p), to, change{Balance, reason})
}

// smallestAbove returns the smallest partition of a member that brings it to its share or below, or none.
func (s *state) smallestAbove(from int32, excess float64) int32 {
	best := int32(none)
	for _, p := range s.nodes[from].owned {
		if _, pinned := s.pins[int(p)]; pinned || s.loads[p] < excess || s.exchanged[p] {
			continue
		}
		if best == none || s.loads[p] < s.loads[best] {
			best = p
		}
	}
	return best
}

// roomFor returns the member in which a partition leaves the most room beside its large partitions, or none.
func (s *state) roomFor(p, from int32) int32 {
	best, most := int32(none), 0.0
	for n := range s.nodes {
		to := &s.nodes[n]
		if int32(n) == from || !s.permits(int(p), int32(n)) {
			continue
		}
		share := s.mean * to.capacity
		room := (1+slack)*share - s.loads[p]
		for _, q := range to.owned {
			if s.loads[q] > largeShare*share {
				room -= s.loads[q]
			}
		}
		if room > most {
			best, most = int32(n), room
		}
	}
	if best != none {
		s.exchanged[p] = true
	}
	return best
}
