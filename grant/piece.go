package grant

import (
	"slices"
	"time"

	"sapphiretray/keyspace"
	"sapphiretray/member"
)

// state is the state of a piece of the keys.
type state int

const (
	// stateNone means that the keys aren't served here.
	stateNone state = iota
	// stateClaiming means that the keys are assigned to this incarnation but not granted yet.
	stateClaiming
	// stateServing means that the keys are granted.
	stateServing
	// stateReleasing means that the upstream finishes its work on the keys.
	stateReleasing
)

// piece is a span of keys with one state.
type piece struct {
	keyspace.Range
	state state
	// epoch is the epoch under which the keys are claimed or served.
	epoch uint64
	// promised is the lowest epoch under which the keys may be served here.
	promised uint64
	// successor is the incarnation that the keys were promised to.
	successor member.Incarnation
	// handover is kept after a release, because the answer to the successor may be lost and asked for again.
	handover string
	// unanswered means that the upstream may yet carry out an order with the newest token that it has seen.
	unanswered bool
	// usableUntil is the earliest and heldUntil the latest time at which the upstream's hold may end.
	usableUntil time.Time
	heldUntil   time.Time
}

func (p piece) sameAs(other piece) bool {
	other.Range = p.Range
	return p == other
}

// pieces covers all keys, in order.
type pieces []piece

func newPieces() pieces {
	return pieces{{Range: keyspace.Range{First: 0, Last: keyspace.MaxKey}}}
}

// at returns the position of the piece that contains a key.
func (p pieces) at(k keyspace.Key) int {
	n, found := slices.BinarySearchFunc(p, k, func(e piece, k keyspace.Key) int { return int(e.First) - int(k) })
	if !found {
		n--
	}
	return n
}

// split makes pieces begin at the range's first key and end at its last key, and returns the positions of those inside.
func (p *pieces) split(r keyspace.Range) (from, to int) {
	if n := p.at(r.First); (*p)[n].First < r.First {
		left := (*p)[n]
		left.Last = r.First - 1
		(*p)[n].First = r.First
		*p = slices.Insert(*p, n, left)
	}
	if n := p.at(r.Last); (*p)[n].Last > r.Last {
		right := (*p)[n]
		right.First = r.Last + 1
		(*p)[n].Last = r.Last
		*p = slices.Insert(*p, n+1, right)
	}
	return p.at(r.First), p.at(r.Last) + 1
}

// change applies a function to the pieces of a range and joins equal neighbours.
func (p *pieces) change(r keyspace.Range, apply func(*piece)) {
	from, to := p.split(r)
	for n := from; n < to; n++ {
		apply(&(*p)[n])
	}
	p.join()
}

// join joins neighbours that differ only in their keys.
func (p *pieces) join() {
	joined := (*p)[:1]
	for _, next := range (*p)[1:] {
		last := &joined[len(joined)-1]
		if last.sameAs(next) {
			last.Last = next.Last
			continue
		}
		joined = append(joined, next)
	}
	*p = joined
}

// within returns copies of the pieces of a range, cut to the range.
func (p pieces) within(r keyspace.Range) []piece {
	var cut []piece
	for n := p.at(r.First); n < len(p) && p[n].First <= r.Last; n++ {
		c := p[n]
		c.Range = c.Intersect(r)
		cut = append(cut, c)
	}
	return cut
}
