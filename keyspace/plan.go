package keyspace

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"sapphiretray/member"
)

// Candidate is an instance that keys may be assigned to.
type Candidate struct {
	Instance member.Incarnation
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Pace is the time that the upstream needs for a request, relative to the mean of the upstreams.
	Pace float64
	// Settled is the newest map version whose assignments to the instance are all served.
	Settled uint64
}

// SpanLoad is the load of a span of keys, in busy slots of an upstream of mean pace.
type SpanLoad struct {
	Range
	Load float64
}

// Problem is what a plan is computed from.
type Problem struct {
	Service string
	Current *Map
	// Candidates are the instances that may own keys.
	Candidates []Candidate
	// Gone reports whether an incarnation can't serve any more.
	Gone func(member.Incarnation) bool
	// Keep reports whether an owner that isn't a candidate keeps its keys for now.
	Keep func(member.Incarnation) bool
	// Loads holds the loads of spans that don't overlap.
	Loads []SpanLoad
}

// Move is a change of owner with its reason.
type Move struct {
	Range
	From, To member.Incarnation
	Reason   string
}

// Plan returns the next map and its moves, or nil if nothing has to change.
func Plan(p Problem) (*Map, []Move) {
	if len(p.Candidates) == 0 {
		return nil, nil
	}
	slices.SortFunc(p.Candidates, func(a, b Candidate) int { return cmp.Compare(a.Instance.Slot(), b.Instance.Slot()) })
	b := newBuilder(p)
	if len(p.Current.Entries()) == 0 {
		b.initial()
	} else {
		b.adoptOrphans()
		b.admitNewcomers()
		b.balance()
	}
	if len(b.moves) == 0 {
		return nil, nil
	}
	b.merge()
	b.defragment()
	m, err := NewMap(b.version, b.entries)
	if err != nil {
		// The builder only splits and reassigns entries of a valid map.
		panic(err)
	}
	return m, b.moves
}

// builder holds the entries of the next map while it is made.
type builder struct {
	problem Problem
	version uint64
	entries []Entry
	moves   []Move
	density density
	// carried is the load of each candidate.
	carried map[member.Incarnation]float64
	byID    map[member.Incarnation]Candidate
}

func newBuilder(p Problem) *builder {
	b := &builder{
		problem: p, version: p.Current.Version() + 1, density: newDensity(p.Loads),
		carried: make(map[member.Incarnation]float64), byID: make(map[member.Incarnation]Candidate),
	}
	for _, c := range p.Candidates {
		b.byID[c.Instance] = c
	}
	for _, e := range p.Current.Entries() {
		e.Previous = b.pending(e)
		b.entries = append(b.entries, e)
		b.carried[e.Owner()] += b.density.load(e.Range)
	}
	return b
}

// pending returns the earlier holders of an entry that its owner has not replaced yet, as far as is known.
func (b *builder) pending(e Entry) []member.Incarnation {
	if c, ok := b.byID[e.Owner()]; ok && c.Settled >= b.problem.Current.Version() {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(e.Previous), b.problem.Gone)
}

// initial divides the keys evenly by capacity.
func (b *builder) initial() {
	total := 0.0
	for _, c := range b.problem.Candidates {
		total += float64(c.Slots)
	}
	first, sum := 0, 0.0
	for n, c := range b.problem.Candidates {
		sum += float64(c.Slots)
		last := int(sum/total*float64(int(MaxKey)+1)) - 1
		if n == len(b.problem.Candidates)-1 {
			last = int(MaxKey)
		}
		if last < first {
			continue
		}
		e := Entry{Range: Range{First: Key(first), Last: Key(last)}, Epoch: b.version, Members: []member.Incarnation{c.Instance}}
		b.entries = append(b.entries, e)
		b.moves = append(b.moves, Move{Range: e.Range, To: c.Instance, Reason: "first assignment"})
		first = last + 1
	}
}

// adoptOrphans gives the keys of owners that can't go on to others: to the next incarnation in the same slot, whose upstream
// may have them still, or to the candidates with the most room.
func (b *builder) adoptOrphans() {
	for n := 0; n < len(b.entries); n++ {
		owner := b.entries[n].Owner()
		if _, ok := b.byID[owner]; ok || b.problem.Keep(owner) {
			continue
		}
		if next, ok := b.sameSlot(owner); ok {
			b.assign(n, next, fmt.Sprintf("%s continues %s", next, owner))
			continue
		}
		n = b.share(n, fmt.Sprintf("%s can't serve", owner))
	}
}

// share divides an entry among a few of the candidates with the most room and returns the position of its last part.
func (b *builder) share(n int, reason string) int {
	parts := min(maxParts, len(b.problem.Candidates), max(1, b.entries[n].Size()/minSplit))
	part := b.density.load(b.entries[n].Range) / float64(parts)
	for range parts - 1 {
		cut := b.density.cut(b.entries[n].Range, part)
		if cut >= b.entries[n].Last {
			break
		}
		b.split(n, cut)
		b.assign(n, b.roomiest(), reason)
		n++
	}
	b.assign(n, b.roomiest(), reason)
	return n
}

// newcomerShare is the part of an even share of the keys that a candidate without keys gets at once. The balance does the rest
// once it is known how fast the upstream is.
const newcomerShare = 0.3

// admitNewcomers gives keys to candidates that have none, from the one that carries most.
func (b *builder) admitNewcomers() {
	owned := make(map[member.Incarnation]bool)
	total := 0.0
	for _, e := range b.entries {
		owned[e.Owner()] = true
		total += b.density.load(e.Range)
	}
	for _, c := range b.problem.Candidates {
		if owned[c.Instance] {
			continue
		}
		// A slow candidate without load may have the highest cost, so the newcomer itself is left out.
		others := slices.DeleteFunc(slices.Clone(b.problem.Candidates), func(o Candidate) bool { return o.Instance == c.Instance })
		share := total / float64(len(b.problem.Candidates))
		if share < leastLoad {
			b.giveHalf(c)
			continue
		}
		slices.SortFunc(others, func(a, c Candidate) int { return cmp.Compare(b.cost(c, 0), b.cost(a, 0)) })
		for _, from := range others {
			// The one that carries most may have a single key, or keys that are on their way.
			if b.moveLoad(from, c, newcomerShare*share, false) {
				break
			}
		}
	}
}

// giveHalf gives a candidate half of the keys of the largest entry that isn't on its way to an owner. Next to no load says which part
// to move, and the candidate is to be of use once there is some.
func (b *builder) giveHalf(to Candidate) {
	largest := -1
	for n, e := range b.entries {
		if len(e.Previous) == 0 && e.Size() > 1 && (largest < 0 || e.Size() > b.entries[largest].Size()) {
			largest = n
		}
	}
	if largest < 0 {
		return
	}
	e := b.entries[largest]
	b.split(largest, e.First+Key(e.Size()/2)-1)
	b.assign(largest+1, to.Instance, "it has no keys yet")
}

const (
	// maxRanges is the number of ranges for each candidate above which ranges without much load join their neighbours.
	maxRanges = 8
	// maxJoins bounds the ranges that join a neighbour in one plan.
	maxJoins = 8
	// quietLoad is the load, in busy slots, below which a range may join a neighbour for the sake of their number alone.
	quietLoad = 0.1
)

// defragment gives ranges without much load to the owner of a neighbour, while there are more ranges than is reasonable.
func (b *builder) defragment() {
	for range maxJoins {
		if len(b.entries) <= maxRanges*len(b.problem.Candidates) {
			return
		}
		best, bestLoad, to := -1, quietLoad, member.Incarnation{}
		for n, e := range b.entries {
			load := b.density.load(e.Range)
			if load >= bestLoad || len(e.Previous) > 0 || !b.isCandidate(e.Owner()) {
				continue
			}
			if owner, ok := b.neighbour(n); ok {
				best, bestLoad, to = n, load, owner
			}
		}
		if best < 0 {
			return
		}
		b.assign(best, to, "its neighbour has the same owner then")
	}
}

// neighbour returns another owner of a range next to entry n, the one whose use is lower.
func (b *builder) neighbour(n int) (member.Incarnation, bool) {
	var owner member.Incarnation
	found := false
	for _, other := range []int{n - 1, n + 1} {
		if other < 0 || other >= len(b.entries) {
			continue
		}
		candidate, ok := b.byID[b.entries[other].Owner()]
		if !ok || candidate.Instance == b.entries[n].Owner() {
			continue
		}
		if !found || b.cost(candidate, 0) < b.cost(b.byID[owner], 0) {
			owner, found = candidate.Instance, true
		}
	}
	return owner, found
}

// merge joins neighbouring entries of one owner that no earlier holder may still serve. Each entry costs grants, and moves leave many.
// The joined entry has a new epoch, since its owner has to grant it as a whole.
func (b *builder) merge() {
	joined := b.entries[:1]
	for _, e := range b.entries[1:] {
		last := &joined[len(joined)-1]
		settled := len(last.Previous) == 0 && len(e.Previous) == 0 && b.isCandidate(e.Owner())
		if settled && last.Owner() == e.Owner() {
			last.Last, last.Epoch = e.Last, b.version
			continue
		}
		joined = append(joined, e)
	}
	b.entries = joined
}

func (b *builder) isCandidate(i member.Incarnation) bool {
	_, ok := b.byID[i]
	return ok
}

func (b *builder) sameSlot(i member.Incarnation) (member.Incarnation, bool) {
	for _, c := range b.problem.Candidates {
		if c.Instance.Slot() == i.Slot() && c.Instance.Number() > i.Number() {
			return c.Instance, true
		}
	}
	return member.Incarnation{}, false
}

// maxParts bounds the candidates among which one range is divided, so that the number of ranges stays small.
const maxParts = 3

// minSplit is the smallest number of keys for which a range without load is split.
const minSplit = 64

// split ends entry n at a key; the rest becomes entry n+1.
func (b *builder) split(n int, last Key) {
	rest := b.entries[n]
	rest.Members, rest.Previous = slices.Clone(rest.Members), slices.Clone(rest.Previous)
	rest.First = last + 1
	b.entries[n].Last = last
	b.entries = slices.Insert(b.entries, n+1, rest)
}

// assign gives an entry to a new owner.
func (b *builder) assign(n int, to member.Incarnation, reason string) {
	e := &b.entries[n]
	from := e.Owner()
	previous := make([]member.Incarnation, 0, len(e.Previous)+1)
	for _, i := range append([]member.Incarnation{from}, e.Previous...) {
		if !i.IsZero() && i != to && !b.problem.Gone(i) && !slices.Contains(previous, i) {
			previous = append(previous, i)
		}
	}
	load := b.density.load(e.Range)
	b.carried[from] -= load
	b.carried[to] += load
	e.Members, e.Previous, e.Epoch = []member.Incarnation{to}, previous, b.version
	b.moves = append(b.moves, Move{Range: e.Range, From: from, To: to, Reason: reason})
}

// use returns the share of a candidate's slots that is busy with the given load.
func (c Candidate) use(load float64) float64 { return load * c.Pace / float64(c.Slots) }

// cost is the mean time until a request is answered, relative to the mean pace, at a load: the upstream's own time and the wait
// for a slot.
func (c Candidate) cost(load float64) float64 { return c.Pace * delay(c.use(load)) }

// loadAt returns the load at which a candidate has the given cost, or 0 if it costs more when it is idle.
func (c Candidate) loadAt(cost float64) float64 {
	return useAt(cost/c.Pace) * float64(c.Slots) / c.Pace
}

// delay is the mean time until a request is answered, in service times, at an upstream whose slots are used to the given share.
// Beyond full use the wait grows without bound, so the delay goes on as a line.
func delay(use float64) float64 {
	below := min(use, fullUse)
	return 1 + math.Pow(below, waitPower)/(waitDivisor*(1-below)) + overloadSlope*(use-below)
}

// useAt is the inverse of delay; it is 0 for delays below that of an idle upstream.
func useAt(wanted float64) float64 {
	atFull := delay(fullUse)
	if wanted >= atFull {
		return fullUse + (wanted-atFull)/overloadSlope
	}
	n, _ := slices.BinarySearch(delays[:], wanted)
	return float64(n) / float64(len(delays)) * fullUse
}

// delays holds the delay at uses from 0 to fullUse.
var delays = func() (table [256]float64) {
	for n := range table {
		table[n] = delay(float64(n) / float64(len(table)) * fullUse)
	}
	return table
}()

// The wait for one of several slots is fitted to the M/M/6 queue: 0.07 service times at a use of 0.6, 0.5 at 0.8.
const (
	waitPower     = 5
	waitDivisor   = 3
	fullUse       = 0.94
	overloadSlope = 20
)

// cost returns the cost at a candidate with its load and some more.
func (b *builder) cost(c Candidate, more float64) float64 {
	return c.cost(b.carried[c.Instance] + more)
}

// roomiest returns the candidate at which a request is answered first.
func (b *builder) roomiest() member.Incarnation {
	return slices.MinFunc(b.problem.Candidates, func(a, c Candidate) int {
		return cmp.Or(cmp.Compare(b.cost(a, leastLoad), b.cost(c, leastLoad)), cmp.Compare(b.carried[a.Instance], b.carried[c.Instance]))
	}).Instance
}
