package keyspace

import (
	"cmp"
	"slices"

	"sapphiretray/member"
)

const (
	// maxUnevenness is the ratio of the largest to the smallest share, by concurrency slot, up to which the keys of an idle service stay.
	maxUnevenness = 1.25
	// leastShare is the part of its fair number of keys that a donor keeps.
	leastShare = 0.8
	// minPiece is the smallest part of a fair number of keys that is moved.
	minPiece = 1.0 / 16
)

// share is what a candidate owns of the keys of a service without load.
type share struct {
	Candidate
	// fair is the number of keys in proportion to the candidate's slots, and owned the number that it owns.
	fair, owned int
	// joined is set if the candidate has had no keys.
	joined bool
	// entries holds its entries that aren't being moved. Only those can be divided.
	entries []divisible
}

// divisible is an entry, of which size keys are left.
type divisible struct{ entry, size int }

// ratio returns the owned keys relative to the fair number.
func (s *share) ratio() float64 { return float64(s.owned) / float64(s.fair) }

// piece is the tail of an entry that moves to a candidate.
type piece struct {
	divisible
	to Candidate
}

// spread divides keys that carry no load in proportion to the slots of the candidates. A fresh map is evened out as a whole. In any other,
// only candidates without keys get some, because the ranges of the others were fitted to a load that may return.
func (b *builder) spread() {
	shares := b.shares()
	donors := slices.Clone(shares)
	receivers := slices.DeleteFunc(slices.Clone(shares), func(s *share) bool { return !s.joined && !b.input.Fresh })
	byRatio := func(s, other *share) int { return cmp.Compare(s.ratio(), other.ratio()) }
	var pieces []piece
	for len(receivers) > 0 && len(donors) > 0 {
		to, from := slices.MinFunc(receivers, byRatio), slices.MaxFunc(donors, byRatio)
		if from.ratio() <= maxUnevenness*to.ratio() {
			break
		}
		p, ok := from.give(to)
		if !ok {
			donors = slices.DeleteFunc(donors, func(s *share) bool { return s == from })
			continue
		}
		pieces = append(pieces, p)
	}
	// A split moves the entries behind it.
	slices.SortStableFunc(pieces, func(p, other piece) int { return cmp.Compare(other.entry, p.entry) })
	for _, p := range pieces {
		b.split(p.entry, b.entries[p.entry].Last-Key(p.size))
		b.assign(p.entry+1, p.to.Instance, "an even share of the keys of a service without load")
	}
}

// give takes the keys that another candidate lacks from the largest entry of a candidate. It returns false if it has too few.
func (s *share) give(to *share) (piece, bool) {
	if len(s.entries) == 0 {
		return piece{}, false
	}
	least := max(1, int(minPiece*float64(to.fair)))
	surplus := s.owned - s.fair
	if surplus < least {
		// No other candidate has more.
		surplus = s.owned - int(leastShare*float64(s.fair))
	}
	size := min(to.fair-to.owned, surplus)
	largest := 0
	for n, d := range s.entries {
		if d.size > s.entries[largest].size {
			largest = n
		}
	}
	// One key of the entry stays.
	d := &s.entries[largest]
	size = min(size, d.size-1)
	if size < least {
		return piece{}, false
	}
	d.size -= size
	s.owned -= size
	to.owned += size
	return piece{divisible: divisible{entry: d.entry, size: size}, to: to.Candidate}, true
}

// shares returns the shares of all candidates.
func (b *builder) shares() []*share {
	shares := make([]*share, 0, len(b.input.Candidates))
	keys, slots := 0, 0
	for _, c := range b.input.Candidates {
		shares = append(shares, &share{Candidate: c})
		slots += max(c.Slots, 1)
	}
	position := make(map[member.Incarnation]*share, len(shares))
	for _, s := range shares {
		position[s.Instance] = s
	}
	for n, e := range b.entries {
		s := position[e.Owner()]
		if s == nil {
			continue
		}
		keys += e.Size()
		s.owned += e.Size()
		if len(e.Previous) == 0 {
			s.entries = append(s.entries, divisible{entry: n, size: e.Size()})
		}
	}
	for _, s := range shares {
		s.fair, s.joined = max(1, keys*max(s.Slots, 1)/slots), s.owned == 0
	}
	return shares
}
