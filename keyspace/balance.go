package keyspace

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	// maxMoves bounds the moves of load in one plan.
	maxMoves = 8
	// tolerance is the difference in use, as a share of the capacity, that isn't worth a move.
	tolerance = 0.12
	// minUse is the use below which a candidate has room enough as it is.
	minUse = 0.35
)

// balance moves spans from the candidates with the highest use to those with the lowest.
func (b *builder) balance() {
	for range maxMoves {
		busiest := slices.MaxFunc(b.problem.Candidates, func(a, c Candidate) int { return cmp.Compare(b.use(a), b.use(c)) })
		idlest := slices.MinFunc(b.problem.Candidates, func(a, c Candidate) int { return cmp.Compare(b.use(a), b.use(c)) })
		gap := b.use(busiest) - b.use(idlest)
		if gap < tolerance || b.use(busiest) < minUse {
			return
		}
		// Moving this load makes the use of both equal.
		wanted := gap * busiest.Capacity * idlest.Capacity / (busiest.Capacity + idlest.Capacity)
		if !b.moveLoad(busiest, idlest, wanted) {
			return
		}
	}
}

// moveLoad moves a span with about the wanted load and returns false if there is none.
func (b *builder) moveLoad(from, to Candidate, wanted float64) bool {
	best, bestLoad := -1, 0.0
	for n, e := range b.entries {
		if e.Owner() != from.Instance || len(e.Previous) > 0 {
			continue
		}
		if load := b.density.load(e.Range); best < 0 || load > bestLoad {
			best, bestLoad = n, load
		}
	}
	if best < 0 || bestLoad <= 0 {
		return false
	}
	reason := fmt.Sprintf("use of %s is %.2f, of %s %.2f", from.Instance, b.use(from), to.Instance, b.use(to))
	if bestLoad > 1.2*wanted && b.entries[best].Size() > 1 {
		cut := b.density.cut(b.entries[best].Range, wanted)
		if cut >= b.entries[best].Last {
			return false
		}
		b.split(best, cut)
	} else if bestLoad > 2*wanted {
		return false
	}
	b.assign(best, to.Instance, reason)
	return true
}

// density is the load of the keys: spans that cover all keys, each with a load that is spread evenly over it.
type density struct {
	spans []SpanLoad
	sums  []float64
}

// backgroundLoad is added over all keys, so that keys without known load are divided evenly too.
const backgroundLoad = 0.01

func newDensity(loads []SpanLoad) density {
	sorted := slices.Clone(loads)
	slices.SortFunc(sorted, func(a, b SpanLoad) int { return cmp.Compare(a.First, b.First) })
	var d density
	next := 0
	add := func(first, last int, load float64) {
		if first > last {
			return
		}
		r := Range{First: Key(first), Last: Key(last)}
		load += backgroundLoad * float64(r.Size()) / float64(int(MaxKey)+1)
		sum := load
		if n := len(d.sums); n > 0 {
			sum += d.sums[n-1]
		}
		d.spans, d.sums = append(d.spans, SpanLoad{Range: r, Load: load}), append(d.sums, sum)
	}
	for _, s := range sorted {
		if int(s.First) < next {
			continue
		}
		add(next, int(s.First)-1, 0)
		add(int(s.First), int(s.Last), s.Load)
		next = int(s.Last) + 1
	}
	add(next, int(MaxKey), 0)
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
