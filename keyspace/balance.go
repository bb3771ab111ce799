package keyspace

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"sapphiretray/member"
)

const (
	// maxMoves bounds the moves of load in one plan.
	maxMoves = 24
	// worthwhile is the ratio of two costs that is worth a move. Measured loads differ from the true ones by about a fifth.
	worthwhile = 1.15
	// bearable is the cost, in service times at a mean upstream, below which an upstream keeps its load: objectives are three
	// times the service times and more, and each move makes requests wait.
	bearable = 1.3
	// roomyUse is the use of its slots up to which an upstream gets load. A move between full upstreams serves nobody more.
	roomyUse = 0.85
	// fasterRatio is how much faster an upstream has to be for a key of which it can't carry all load either.
	fasterRatio = 1.3
	// leastLoad is the least load, in busy slots, that is worth a move.
	leastLoad = 0.15
)

// balance moves spans from the candidates with the highest cost to those with the lowest, until each carries about what it would
// if the cost were the same everywhere. Candidates that can't give load, because it is a single key or on its way, are left as
// they are, and the others are balanced among themselves.
func (b *builder) balance() {
	candidates := slices.Clone(b.problem.Candidates)
	targets := b.targets(candidates)
	for moves := 0; moves < maxMoves && len(candidates) > 1; {
		dearest := slices.MaxFunc(candidates, func(a, c Candidate) int { return cmp.Compare(b.cost(a, 0), b.cost(c, 0)) })
		cheapest := slices.MinFunc(candidates, func(a, c Candidate) int {
			return cmp.Compare(b.cost(a, leastLoad), b.cost(c, leastLoad))
		})
		if b.cost(dearest, 0) < max(bearable, worthwhile*b.cost(cheapest, leastLoad)) {
			return
		}
		surplus := b.carried[dearest.Instance] - targets[dearest.Instance]
		room := targets[cheapest.Instance] - b.carried[cheapest.Instance]
		if room < leastLoad || cheapest.use(b.carried[cheapest.Instance]+leastLoad) > roomyUse {
			return
		}
		if surplus >= leastLoad && b.moveLoad(dearest, cheapest, min(surplus, room), true) {
			moves++
			continue
		}
		omitted := dearest.Instance
		fastest := b.fastest(candidates)
		if dearest.use(b.carried[omitted]) >= fullUse && dearest.Pace >= fasterRatio*fastest.Pace && b.moveHotRange(dearest, fastest) {
			// Its other keys move away with the next plans.
			moves++
			omitted = fastest.Instance
		}
		candidates = slices.DeleteFunc(candidates, func(c Candidate) bool { return c.Instance == omitted })
		targets = b.targets(candidates)
	}
}

// fastest returns the candidate that serves most requests in a given time.
func (b *builder) fastest(candidates []Candidate) Candidate {
	return slices.MinFunc(candidates, func(a, c Candidate) int {
		return cmp.Compare(a.Pace/float64(a.Slots), c.Pace/float64(c.Slots))
	})
}

// moveHotRange moves the only range of a candidate that can't be relieved: nearly all of its load is on one key, which exceeds what
// any upstream can carry. The faster its upstream, the more of its requests are served. It returns false if the candidate has
// more ranges, or its range is on its way.
func (b *builder) moveHotRange(from, to Candidate) bool {
	n := slices.IndexFunc(b.entries, func(e Entry) bool { return e.Owner() == from.Instance })
	if n < 0 || b.ranges(from.Instance) != 1 || len(b.entries[n].Previous) > 0 {
		return false
	}
	b.assign(n, to.Instance, fmt.Sprintf("%.1f busy slots, nearly all on one key, from pace %.2f to pace %.2f",
		b.carried[from.Instance], from.Pace, to.Pace))
	return true
}

// targets returns the load that each of the candidates would carry if the cost were the same for all of them.
func (b *builder) targets(candidates []Candidate) map[member.Incarnation]float64 {
	total := 0.0
	for _, c := range candidates {
		total += b.carried[c.Instance]
	}
	targets := make(map[member.Incarnation]float64, len(candidates))
	// The cost at which all load is carried lies between that of an idle upstream and that of one with all load.
	low, high := 0.0, 0.0
	for _, c := range candidates {
		high = max(high, c.cost(total))
	}
	for range costSteps {
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

// costSteps is the number of halvings by which the common cost is found; 30 make it exact to a billionth.
const costSteps = 30

// part is a beginning, an end or the whole of an entry.
type part struct {
	entry int
	// last is the last key of the beginning, or of what stays if the end moves.
	last Key
	end  bool
	load float64
}

// moveLoad moves a span with about the wanted load and returns false if there is none. Of a candidate's only range, one key stays:
// a candidate without keys gets some as a newcomer, and if it is slow, they would leave it again with the next plan. A range of a
// single key moves as a whole only if lastKey is set.
func (b *builder) moveLoad(from, to Candidate, wanted float64, lastKey bool) bool {
	best, found := part{}, false
	only := b.ranges(from.Instance) == 1
	for n, e := range b.entries {
		if e.Owner() != from.Instance || len(e.Previous) > 0 {
			continue
		}
		for _, p := range b.movable(n, wanted, only, lastKey) {
			if p.load >= min(leastLoad, wanted)/2 && p.load <= excess*wanted && (!found || b.better(p, best, wanted)) {
				best, found = p, true
			}
		}
	}
	if !found {
		return false
	}
	reason := fmt.Sprintf("%.2f of %.2f busy slots from cost %.2f (pace %.2f, load %.1f) to cost %.2f (pace %.2f, load %.1f)",
		best.load, wanted, b.cost(from, 0), from.Pace, b.carried[from.Instance], b.cost(to, 0), to.Pace, b.carried[to.Instance])
	n := best.entry
	if best.last < b.entries[n].Last {
		b.split(n, best.last)
		if best.end {
			n++
		}
	}
	b.assign(n, to.Instance, reason)
	return true
}

// movable returns the parts of an entry that may move; only tells that its owner has no other entry.
func (b *builder) movable(n int, wanted float64, only, lastKey bool) []part {
	parts, e := b.parts(n, wanted), b.entries[n]
	if !only || len(parts) != 1 || b.size(parts[0]) < e.Size() {
		return parts
	}
	if e.Size() == 1 {
		if lastKey {
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

// better reports whether a part suits a move better than another: it has enough of the wanted load, and the fewest keys.
func (b *builder) better(p, than part, wanted float64) bool {
	enough, thanEnough := p.load >= enoughShare*wanted, than.load >= enoughShare*wanted
	switch {
	case enough != thanEnough:
		return enough
	case enough:
		return b.size(p) < b.size(than)
	default:
		return p.load > than.load
	}
}

// size returns the number of keys of a part.
func (b *builder) size(p part) int {
	e := b.entries[p.entry]
	if p.end {
		return int(e.Last) - int(p.last)
	}
	return int(p.last) - int(e.First) + 1
}

// enoughShare is the share of the wanted load above which the number of keys decides: each key that changes hands has a price.
const enoughShare = 0.6

// excess is how much more than the wanted load may be moved, because keys can't be divided.
const excess = 1.2

// parts returns the parts of an entry whose load is next to the wanted one.
func (b *builder) parts(n int, wanted float64) []part {
	e := b.entries[n]
	load := b.density.load(e.Range)
	if load <= excess*wanted || e.Size() == 1 {
		return []part{{entry: n, last: e.Last, load: load}}
	}
	var parts []part
	add := func(last int, end bool) {
		if last < int(e.First) || last >= int(e.Last) {
			return
		}
		p := part{entry: n, last: Key(last), end: end, load: b.density.load(Range{First: e.First, Last: Key(last)})}
		if end {
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

// density is the load of the keys: spans that cover all keys in order, each with a load that is spread evenly over it.
type density struct {
	spans []SpanLoad
	sums  []float64
}

// backgroundLoad is added over all keys, so that keys without known load are divided evenly too.
const backgroundLoad = 0.01

// newDensity adds up the loads. Spans may overlap: for a time after a move, the earlier owner's average still holds the part of
// the load that the new owner's doesn't hold yet.
func newDensity(loads []SpanLoad) density {
	steps := map[int]float64{0: backgroundLoad / float64(int(MaxKey)+1)}
	for _, s := range loads {
		rate := s.Load / float64(s.Size())
		steps[int(s.First)] += rate
		steps[int(s.Last)+1] -= rate
	}
	var d density
	rate, sum := 0.0, 0.0
	keys := slices.Sorted(maps.Keys(steps))
	for n, first := range keys {
		rate += steps[first]
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
		d.spans, d.sums = append(d.spans, SpanLoad{Range: r, Load: load}), append(d.sums, sum)
	}
	return d
}

// before returns the load of all keys below the given one, which may be one more than the largest key.
func (d density) before(key int) float64 {
	n, _ := slices.BinarySearchFunc(d.spans, key, func(s SpanLoad, k int) int {
		if int(s.Last) < k {
			return -1
		}
		return 1
	})
	if n == len(d.spans) {
		return d.sums[len(d.sums)-1]
	}
	s := d.spans[n]
	below := d.sums[n] - s.Load
	return below + s.Load*float64(key-int(s.First))/float64(s.Size())
}

// load returns the load of a range.
func (d density) load(r Range) float64 { return d.before(int(r.Last)+1) - d.before(int(r.First)) }

// cut returns the last key of the shortest beginning of a range that has at least the given load.
func (d density) cut(r Range, load float64) Key {
	base := d.before(int(r.First))
	low, high := int(r.First), int(r.Last)
	for low < high {
		middle := (low + high) / 2
		if d.before(middle+1)-base >= load {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return Key(low)
}
