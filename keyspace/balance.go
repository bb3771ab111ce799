package keyspace

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"sapphiretray/member"
)

const (
	// maxMoves is the largest number of balancing moves in one plan; of more than twice as many candidates, it is half their number.
	maxMoves = 24
	// minCostRatio is the ratio of the donor's cost to the receiver's from which load moves. Measured loads are off by about 20%.
	minCostRatio = 1.15
	// minDonorCost is the cost, in mean service times, below which an upstream keeps its load: latency objectives are at least three
	// service times, and each move makes requests wait.
	minDonorCost = 1.3
	// maxReceiverUtilisation is the utilisation up to which an upstream receives load. A move between full upstreams doesn't raise
	// the number of requests that are served.
	maxReceiverUtilisation = 0.85
	// minSpeedup is the least ratio of the service times of two upstreams at which a key that overloads either of them moves to the
	// faster one.
	minSpeedup = 1.3
	// minMoveLoad is the smallest load, in busy slots, that is moved.
	minMoveLoad = 0.15
	// minGain is the part of the mean response time that balancing must save for a map of its own: each map is sent to all instances, and
	// makes requests for the moved keys wait. Smaller gains wait until further ones add up, or until a map is made for another reason.
	minGain = 0.01
)

// balanceIfWorthwhile balances the load, and takes that back if it is the only reason for a new map and gains too little.
func (b *builder) balanceIfWorthwhile() {
	alone := len(b.moves) == 0
	entries, carried := slices.Clone(b.entries), maps.Clone(b.carried)
	before := b.totalCost()
	b.balance()
	if alone && before-b.totalCost() < minGain*before {
		b.entries, b.carried, b.moves = entries, carried, nil
	}
}

// totalCost returns the sum of the costs of all requests that run or wait, in mean service times.
func (b *builder) totalCost() float64 {
	sum := 0.0
	for _, c := range b.input.Candidates {
		sum += b.carried[c.Instance] * b.cost(c, 0)
	}
	return sum
}

// balance moves ranges from the candidates with the highest cost to those with the lowest until the costs are about equal.
// Candidates that can't give up load, because it is on a single key or being moved already, are skipped, and the others are
// balanced among themselves.
func (b *builder) balance() {
	costs := b.costsOf(slices.Clone(b.input.Candidates))
	targets := b.targets(costs.candidates)
	limit := max(maxMoves, len(costs.candidates)/2)
	for moves := 0; moves < limit && len(costs.candidates) > 1; {
		from, to := slices.Index(costs.present, slices.Max(costs.present)), slices.Index(costs.receiving, slices.Min(costs.receiving))
		costliest, cheapest := costs.candidates[from], costs.candidates[to]
		if costs.present[from] < max(minDonorCost, minCostRatio*costs.receiving[to]) {
			return
		}
		surplus := b.carried[costliest.Instance] - targets[costliest.Instance]
		headroom := targets[cheapest.Instance] - b.carried[cheapest.Instance]
		if headroom < minMoveLoad || cheapest.utilisation(b.carried[cheapest.Instance]+minMoveLoad) > maxReceiverUtilisation {
			return
		}
		if surplus >= minMoveLoad && b.moveLoad(costliest, cheapest, min(surplus, headroom), true) {
			moves++
			costs.update(b, from)
			costs.update(b, to)
			continue
		}
		omitted := from
		fastest := b.fastest(costs.candidates)
		if !fastest.isCold() &&
			costliest.utilisation(b.carried[costliest.Instance]) >= fullUtilisation &&
			costliest.RelativeServiceTime >= minSpeedup*fastest.RelativeServiceTime &&
			b.moveHotRange(costliest, fastest) {
			// The next plans move the receiver's other keys away.
			moves++
			costs.update(b, from)
			omitted = slices.IndexFunc(costs.candidates, func(c Candidate) bool { return c.Instance == fastest.Instance })
		}
		costs.remove(omitted)
		targets = b.targets(costs.candidates)
	}
}

// candidateCosts holds candidates with their costs, which are needed for all of them at each step of the balance.
type candidateCosts struct {
	candidates []Candidate
	// present is the cost of each candidate at its load, and receiving that with minMoveLoad more. Cold candidates receive nothing: their
	// loads and service times say little about those after the cold time.
	present, receiving []float64
}

// costsOf returns the costs of candidates.
func (b *builder) costsOf(candidates []Candidate) *candidateCosts {
	costs := &candidateCosts{
		candidates: candidates, present: make([]float64, len(candidates)), receiving: make([]float64, len(candidates)),
	}
	for n := range candidates {
		costs.update(b, n)
	}
	return costs
}

// update computes the costs of candidate n anew.
func (c *candidateCosts) update(b *builder, n int) {
	c.present[n], c.receiving[n] = b.cost(c.candidates[n], 0), b.cost(c.candidates[n], minMoveLoad)
	if c.candidates[n].isCold() {
		c.receiving[n] = math.Inf(1)
	}
}

// remove removes candidate n.
func (c *candidateCosts) remove(n int) {
	c.candidates = slices.Delete(c.candidates, n, n+1)
	c.present, c.receiving = slices.Delete(c.present, n, n+1), slices.Delete(c.receiving, n, n+1)
}

// fastest returns the candidate with the highest throughput.
func (b *builder) fastest(candidates []Candidate) Candidate {
	return slices.MinFunc(candidates, func(a, c Candidate) int {
		return cmp.Compare(a.RelativeServiceTime/float64(a.Slots), c.RelativeServiceTime/float64(c.Slots))
	})
}

// moveHotRange moves the only range of an overloaded candidate that balance can't relieve, as when nearly all of its load is on one
// key. A faster upstream serves more of the key's requests. It returns false if the candidate has several ranges or the range is
// being moved already.
func (b *builder) moveHotRange(from, to Candidate) bool {
	n := slices.IndexFunc(b.entries, func(e Entry) bool { return e.Owner() == from.Instance })
	if n < 0 || b.ranges(from.Instance) != 1 || len(b.entries[n].Previous) > 0 {
		return false
	}
	b.assign(n, to.Instance, fmt.Sprintf("%.1f busy slots, nearly all on one key, from relative service time %.2f to %.2f",
		b.carried[from.Instance], from.RelativeServiceTime, to.RelativeServiceTime))
	return true
}

// targets returns the load that each candidate should have: it divides their present load so that all have the same cost.
func (b *builder) targets(candidates []Candidate) map[member.Incarnation]float64 {
	total := 0.0
	for _, c := range candidates {
		total += b.carried[c.Instance]
	}
	targets := make(map[member.Incarnation]float64, len(candidates))
	// The common cost lies between 0 and the highest cost of a candidate that carries the whole load alone.
	low, high := 0.0, 0.0
	for _, c := range candidates {
		high = max(high, c.cost(total))
	}
	for range bisectionSteps {
		middle := (low + high) / 2
		sum := 0.0
		for _, c := range candidates {
			targets[c.Instance] = c.loadAt(middle)
			sum += targets[c.Instance]
		}
		if sum < total {
			low = middle
		} else {
			high = middle
		}
	}
	return targets
}

// bisectionSteps is the number of bisection steps that find the common cost; 30 give a relative precision of 1e-9.
const bisectionSteps = 30

// part is the head, the tail or the whole of an entry.
type part struct {
	entry int
	// last is the last key of the head: of the part itself, or of what remains if the part is a tail.
	last Key
	tail bool
	load float64
}

// moveLoad moves a range with about the wanted load and returns false if there is none. One key of a candidate's only range stays:
// a candidate without keys is given some by seedNewCandidates, and if it is slow, the next plan would move them away again. An
// only range of a single key moves only if allowSingleKey is set.
func (b *builder) moveLoad(from, to Candidate, wanted float64, allowSingleKey bool) bool {
	best, found := part{}, false
	onlyRange := b.ranges(from.Instance) == 1
	for n, e := range b.entries {
		if e.Owner() != from.Instance || len(e.Previous) > 0 {
			continue
		}
		for _, p := range b.movable(n, wanted, onlyRange, allowSingleKey) {
			if p.load >= min(minMoveLoad, wanted)/2 && p.load <= maxOvershoot*wanted && (!found || b.better(p, best, wanted)) {
				best, found = p, true
			}
		}
	}
	if !found {
		return false
	}
	reason := fmt.Sprintf(
		"%.2f of %.2f busy slots from cost %.2f (relative service time %.2f, load %.1f) to %.2f (relative service time %.2f, load %.1f)",
		best.load, wanted, b.cost(from, 0), from.RelativeServiceTime, b.carried[from.Instance],
		b.cost(to, 0), to.RelativeServiceTime, b.carried[to.Instance])
	n := best.entry
	if best.last < b.entries[n].Last {
		b.split(n, best.last)
		if best.tail {
			n++
		}
	}
	b.assign(n, to.Instance, reason)
	return true
}

// movable returns the parts of an entry that may move. onlyRange is set if its owner has no other entry.
func (b *builder) movable(n int, wanted float64, onlyRange, allowSingleKey bool) []part {
	parts, e := b.parts(n, wanted), b.entries[n]
	if !onlyRange || len(parts) != 1 || b.size(parts[0]) < e.Size() {
		return parts
	}
	if e.Size() == 1 {
		if allowSingleKey {
			return parts
		}
		return nil
	}
	last := e.Last - 1
	return []part{{entry: n, last: last, load: b.density.load(Range{First: e.First, Last: last})}}
}

// ranges returns the number of entries of an instance.
func (b *builder) ranges(i member.Incarnation) int {
	n := 0
	for _, e := range b.entries {
		if e.Owner() == i {
			n++
		}
	}
	return n
}

// better reports whether a part is preferred to another. Among parts with enough of the wanted load, the one with fewer keys is;
// otherwise the one with more load.
func (b *builder) better(p, other part, wanted float64) bool {
	enough, otherEnough := p.load >= sufficientShare*wanted, other.load >= sufficientShare*wanted
	switch {
	case enough != otherEnough:
		return enough
	case enough:
		return b.size(p) < b.size(other)
	default:
		return p.load > other.load
	}
}

// size returns the number of keys of a part.
func (b *builder) size(p part) int {
	e := b.entries[p.entry]
	if p.tail {
		return int(e.Last) - int(p.last)
	}
	return int(p.last) - int(e.First) + 1
}

// sufficientShare is the share of the wanted load from which fewer keys are preferred to more load: each moved key has a cost.
const sufficientShare = 0.6

// maxOvershoot is the largest ratio of moved to wanted load: the load of a single key can't be divided.
const maxOvershoot = 1.2

// parts returns the heads and tails of an entry whose load is closest to the wanted load, or the whole entry if that fits.
func (b *builder) parts(n int, wanted float64) []part {
	e := b.entries[n]
	load := b.density.load(e.Range)
	if load <= maxOvershoot*wanted || e.Size() == 1 {
		return []part{{entry: n, last: e.Last, load: load}}
	}
	var parts []part
	add := func(last int, tail bool) {
		if last < int(e.First) || last >= int(e.Last) {
			return
		}
		p := part{entry: n, last: Key(last), tail: tail, load: b.density.load(Range{First: e.First, Last: Key(last)})}
		if tail {
			p.load = load - p.load
		}
		parts = append(parts, p)
	}
	cut := int(b.density.cut(e.Range, wanted))
	add(cut, false)
	add(cut-1, false)
	cut = int(b.density.cut(e.Range, load-wanted))
	add(cut, true)
	add(cut-1, true)
	return parts
}

// density is the load by key: ranges that cover all keys in order, each with a load that is spread evenly over it.
type density struct {
	ranges []RangeLoad
	sums   []float64 // Load of all ranges up to and including the one at the same position.
}

// backgroundLoad is spread over all keys, so that keys without known load are divided evenly, too.
const backgroundLoad = 0.01

// newDensity adds up the loads, whose ranges may overlap: for a while after a move, the average of the earlier owner still contains
// the part of the load that the new owner's average lacks.
func newDensity(loads []RangeLoad) density {
	rateChanges := map[int]float64{0: backgroundLoad / float64(int(MaxKey)+1)}
	for _, s := range loads {
		rate := s.Load / float64(s.Size())
		rateChanges[int(s.First)] += rate
		rateChanges[int(s.Last)+1] -= rate
	}
	var d density
	rate, sum := 0.0, 0.0
	keys := slices.Sorted(maps.Keys(rateChanges))
	for n, first := range keys {
		rate += rateChanges[first]
		last := int(MaxKey)
		if n+1 < len(keys) {
			last = keys[n+1] - 1
		}
		if first > last {
			break
		}
		r := Range{First: Key(first), Last: Key(last)}
		load := max(rate, 0) * float64(r.Size())
		sum += load
		d.ranges, d.sums = append(d.ranges, RangeLoad{Range: r, Load: load}), append(d.sums, sum)
	}
	return d
}

// loadBelow returns the load of all keys below the given one, which may be MaxKey+1.
func (d density) loadBelow(key int) float64 {
	n, _ := slices.BinarySearchFunc(d.ranges, key, func(r RangeLoad, k int) int {
		if int(r.Last) < k {
			return -1
		}
		return 1
	})
	if n == len(d.ranges) {
		return d.sums[len(d.sums)-1]
	}
	s := d.ranges[n]
	below := d.sums[n] - s.Load
	return below + s.Load*float64(key-int(s.First))/float64(s.Size())
}

// load returns the load of a range.
func (d density) load(r Range) float64 { return d.loadBelow(int(r.Last)+1) - d.loadBelow(int(r.First)) }

// cut returns the last key of the shortest head of a range that has at least the given load.
func (d density) cut(r Range, load float64) Key {
	base := d.loadBelow(int(r.First))
	low, high := int(r.First), int(r.Last)
	for low < high {
		middle := (low + high) / 2
		if d.loadBelow(middle+1)-base >= load {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return Key(low)
}
