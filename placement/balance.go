package placement

import "fmt"

const (
	// moveCost is the difference between two members' relative loads, divided by the mean, at which moving a partition of mean load
	// costs as much as the imbalance that it removes if all weights are equal.
	moveCost = 0.02
	// shareTolerance is the fraction of its share by which a member may end up below (donor) or above (receiver) that share, since
	// partitions can't be divided.
	shareTolerance = 0.01
	// acceptableLoad is the relative load, divided by the mean, above which a member gives away partitions even if the move takes a
	// member across the mean. It keeps a margin to the target of 1.10.
	acceptableLoad = 1.05
	// minExchangeLoad is the relative load, divided by the mean, above which a member gives a large partition to a member that then
	// has to give away others.
	minExchangeLoad = 1.08
	// maxExchanges bounds these moves in one plan. minExchangeBudget is the remaining budget that one requires: without budget for
	// the moves that follow, the receiver would be overloaded until the next plan.
	maxExchanges      = 64
	minExchangeBudget = 32
)

// balance moves partitions from the most to the least loaded member while the benefit of a move exceeds its cost. The first pass
// takes no member across the mean, so that no partition moves twice. The second pass does so for members that are still above
// acceptableLoad, because their partitions are too large for the first pass. Exchanges relieve members whose partitions are
// too large for both.
func (s *state) balance() {
	for range 1 + maxExchanges {
		if !s.balancePass(1, true) || !s.balancePass(acceptableLoad, false) || !s.exchange() {
			return
		}
	}
}

// balancePass moves partitions away from members whose relative load is above the given multiple of the mean. It returns false if a
// move was held back, because the budget is spent or moves are on hold.
func (s *state) balancePass(above float64, noOvershoot bool) bool {
	donors := newMemberHeap(len(s.nodes), func(n int32) float64 { return -s.nodes[n].relativeLoad() })
	for n := range s.nodes {
		if s.nodes[n].ready {
			donors.add(int32(n))
		}
	}
	for len(donors.entries) > 1 {
		from := donors.top()
		if s.nodes[from].relativeLoad() <= above*s.meanRelativeLoad {
			break
		}
		p, to := s.bestMove(from, noOvershoot)
		if p == none {
			// Receivers only gain load in a pass, so a donor without a useful move won't get one later.
			donors.pop()
			continue
		}
		reason := fmt.Sprintf("%s has %.2f of its share, %s %.2f", s.nodes[from].incarnation,
			s.nodes[from].relativeLoad()/s.meanRelativeLoad, s.nodes[to].incarnation, s.nodes[to].relativeLoad()/s.meanRelativeLoad)
		if !s.tryMove(int(p), to, cause{Balance, reason}) {
			return false
		}
		donors.fix(from)
		donors.fix(to)
	}
	return true
}

// overshoots reports whether a move takes the receiver above or the donor below its share by more than shareTolerance.
func (s *state) overshoots(p, from, to int32) bool {
	a, b, load := &s.nodes[from], &s.nodes[to], s.loads[p]
	return a.load-load < (1-shareTolerance)*s.meanRelativeLoad*a.capacity || b.load+load > (1+shareTolerance)*s.meanRelativeLoad*b.capacity
}

// bestMove returns the partition of a member whose move has the largest net benefit, and its receiver. Both are none if no move has
// a benefit.
func (s *state) bestMove(from int32, noOvershoot bool) (int32, int32) {
	best, to, most := int32(none), int32(none), 0.0
	last := s.commonMask
	n := s.leastLoaded(last)
	for _, p := range s.nodes[from].owned {
		if _, pinned := s.pins[int(p)]; pinned {
			continue
		}
		mask := s.allowed(int(p))
		if mask != last {
			last, n = mask, s.leastLoaded(mask)
		}
		if n == none || n == from || noOvershoot && s.overshoots(p, from, n) {
			continue
		}
		if benefit := s.benefit(int(p), from, n); benefit > most {
			best, to, most = p, n, benefit
		}
	}
	return best, to
}

// leastLoaded returns the ready member with the least relative load in a set of data centres, or none.
func (s *state) leastLoaded(mask uint64) int32 {
	best := int32(none)
	for dc := range s.dcs {
		n := s.byLoad[dc].top()
		if n != none && mask&(1<<dc) != 0 && (best == none || s.nodes[n].relativeLoad() < s.nodes[best].relativeLoad()) {
			best = n
		}
	}
	return best
}

// benefit returns the weighted imbalance that a move removes minus its weighted cost, in units of the mean load of a partition. The
// imbalance is the sum over the members of load squared divided by capacity. Churn counts moved keys, so it is 0 for a partition of
// a single key. Unavailability counts the load that the handover interrupts.
func (s *state) benefit(p int, from, to int32) float64 {
	weights := s.in.Rules.Weights
	a, b := &s.nodes[from], &s.nodes[to]
	load := s.loads[p] / s.meanPartitionLoad
	removed := load * ((a.relativeLoad()-b.relativeLoad())/s.meanRelativeLoad -
		s.loads[p]*(1/a.capacity+1/b.capacity)/(2*s.meanRelativeLoad))
	keys := 1.0
	if p >= s.in.Map.HashPartitions() {
		keys = 0
	}
	interrupted := load * s.in.Rules.HandoverTime.Seconds() / DefaultHandoverTime.Seconds()
	return weights.Imbalance*removed - moveCost*(weights.Churn*keys+weights.Unavailable*interrupted)
}

// exchange moves a large partition away from the most loaded member if that is above minExchangeLoad when the passes find no more
// moves. The receiver is the member that can best give away its other partitions, which the next pass does. It returns false if
// there is no such move.
func (s *state) exchange() bool {
	if s.in.MoveBudget >= 0 && s.in.MoveBudget-s.spent < minExchangeBudget {
		return false
	}
	from := int32(none)
	for n := range s.nodes {
		over := s.nodes[n].ready && s.nodes[n].relativeLoad() > minExchangeLoad*s.meanRelativeLoad
		if over && (from == none || s.nodes[n].relativeLoad() > s.nodes[from].relativeLoad()) {
			from = int32(n)
		}
	}
	if from == none {
		return false
	}
	p := s.smallestAbove(from, s.nodes[from].load-s.meanRelativeLoad*s.nodes[from].capacity)
	if p == none {
		return false
	}
	to := s.exchangeReceiver(p, from)
	if to == none {
		return false
	}
	reason := fmt.Sprintf("%s has %.2f of its share; %s can make room", s.nodes[from].incarnation,
		s.nodes[from].relativeLoad()/s.meanRelativeLoad, s.nodes[to].incarnation)
	return s.tryMove(int(p), to, cause{Balance, reason})
}

// smallestAbove returns the smallest partition of a member whose load is at least excess, or none. It skips pinned partitions and
// those that an exchange has moved already.
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

// exchangeReceiver returns the member that would have the most headroom if it kept only its large partitions and the given one, or
// none if no member would have any. It marks the partition as exchanged.
func (s *state) exchangeReceiver(p, from int32) int32 {
	best, most := int32(none), 0.0
	for n := range s.nodes {
		to := &s.nodes[n]
		if int32(n) == from || !s.permits(int(p), int32(n)) {
			continue
		}
		share := s.meanRelativeLoad * to.capacity
		headroom := (1+shareTolerance)*share - s.loads[p]
		for _, q := range to.owned {
			if s.loads[q] > largePartitionShare*share {
				headroom -= s.loads[q]
			}
		}
		if headroom > most {
			best, most = int32(n), headroom
		}
	}
	if best != none {
		s.exchanged[p] = true
	}
	return best
}
