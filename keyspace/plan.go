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
	// Slots is the number of requests that the upstream runs at once: its concurrency slots, not the slots of instances.
	Slots int
	// RelativeServiceTime is the upstream's service time divided by the mean of all upstreams; a larger value is a slower upstream.
	RelativeServiceTime float64
	// SettledVersion is the newest map version of which the instance serves all keys that are assigned to it.
	SettledVersion uint64
	// ColdLoad is the load that the upstream bears while it is cold, in busy slots of an upstream with the mean service time; 0 if it isn't
	// cold. It bounds the load that is moved to the candidate, which keeps what it has.
	ColdLoad float64
}

// RangeLoad is the load of a range of keys, in busy concurrency slots of an upstream with the mean service time.
type RangeLoad struct {
	Range
	Load float64
}

// PlanInput is the input of Plan. Ended and Keep must not be nil; Current may be.
type PlanInput struct {
	Service string
	Current *Map
	// Used is a version that is not below those of all earlier maps of the service. The next map has a higher one.
	Used uint64
	// Holders are the incarnations, candidates included, that may serve keys under an earlier map, if Current is nil because that map was
	// lost.
	Holders []member.Incarnation
	// Candidates are the instances that may own keys.
	Candidates []Candidate
	// Ended reports whether an incarnation is known to serve no keys any more: it has ended, or its lease is proved to have expired.
	Ended func(member.Incarnation) bool
	// Keep reports whether an owner that isn't a candidate keeps its keys for now.
	Keep func(member.Incarnation) bool
	// Fresh is set if the map was made for a service without load and has carried none since, so that nothing is known of its keys.
	Fresh bool
	// Loads holds the measured loads. Where ranges overlap, their loads add up.
	Loads []RangeLoad
}

// Move is the reassignment of a range to a new owner.
type Move struct {
	Range
	From, To member.Incarnation
	Reason   string
}

// Plan returns the next map and its moves, or nil if no move is needed or there are no candidates. It sorts input.Candidates by slot.
func Plan(input PlanInput) (*Map, []Move) {
	if len(input.Candidates) == 0 {
		return nil, nil
	}
	slices.SortFunc(input.Candidates, func(a, b Candidate) int { return cmp.Compare(a.Instance.Slot(), b.Instance.Slot()) })
	b := newBuilder(input)
	if len(input.Current.Entries()) == 0 {
		b.initial()
	} else {
		b.reassignLost()
		b.seedNewCandidates()
		b.balanceIfWorthwhile()
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

// builder holds the entries of the next map while Plan changes them.
type builder struct {
	input   PlanInput
	version uint64
	entries []Entry
	moves   []Move
	density density
	// carried is the load of each owner under the next map, in busy slots of an upstream with the mean service time.
	carried    map[member.Incarnation]float64
	byInstance map[member.Incarnation]Candidate
}

func newBuilder(input PlanInput) *builder {
	b := &builder{
		input: input, version: max(input.Current.Version(), input.Used) + 1, density: newDensity(input.Loads),
		carried: make(map[member.Incarnation]float64), byInstance: make(map[member.Incarnation]Candidate),
	}
	for _, c := range input.Candidates {
		b.byInstance[c.Instance] = c
	}
	for _, e := range input.Current.Entries() {
		e.Previous = b.pending(e)
		b.entries = append(b.entries, e)
		b.carried[e.Owner()] += b.density.load(e.Range)
	}
	return b
}

// pending returns the earlier holders that may still serve an entry: none once the owner serves all its keys of the current map.
func (b *builder) pending(e Entry) []member.Incarnation {
	if c, ok := b.byInstance[e.Owner()]; ok && c.SettledVersion >= b.input.Current.Version() {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(e.Previous), b.input.Ended)
}

// initial divides the keys among the candidates in proportion to their slots.
func (b *builder) initial() {
	total := 0.0
	for _, c := range b.input.Candidates {
		total += float64(c.Slots)
	}
	others := func(member.Incarnation) []member.Incarnation { return nil }
	if len(b.input.Holders) > 0 {
		all := make(map[member.Incarnation]bool)
		add(all, b.input.Holders)
		others = otherHolders(all, b.input.Ended)
	}
	first, sum := 0, 0.0
	for n, c := range b.input.Candidates {
		sum += float64(c.Slots)
		last := int(sum/total*float64(int(MaxKey)+1)) - 1
		if n == len(b.input.Candidates)-1 {
			last = int(MaxKey)
		}
		if last < first {
			continue
		}
		e := Entry{
			Range: Range{First: Key(first), Last: Key(last)}, Epoch: b.version, Members: []member.Incarnation{c.Instance},
			Previous: others(c.Instance),
		}
		b.entries = append(b.entries, e)
		b.moves = append(b.moves, Move{Range: e.Range, To: c.Instance, Reason: "first assignment"})
		first = last + 1
	}
}

// lostRange is a part of a lost owner's keys, with its load and the reason why it moves.
type lostRange struct {
	Range
	load   float64
	reason string
}

// reassignLost reassigns the keys of owners that are neither candidates nor kept: to a newer incarnation in the same slot, whose
// upstream may still hold them, or else to the candidates with the lowest cost. Parts with the most load come first, so that the last ones
// even out what these leave uneven.
func (b *builder) reassignLost() {
	var lost []lostRange
	for n := 0; n < len(b.entries); n++ {
		owner := b.entries[n].Owner()
		if _, ok := b.byInstance[owner]; ok || b.input.Keep(owner) {
			continue
		}
		reason := fmt.Sprintf("%s is no longer a candidate", owner)
		if next, ok := b.newerIncarnation(owner); ok {
			if b.keepsInSlot(n, next) {
				b.assign(n, next, fmt.Sprintf("%s replaces %s in its slot", next, owner))
				continue
			}
			load := b.density.load(b.entries[n].Range)
			reason = fmt.Sprintf("%s replaces %s in its slot and is too cold for %.2f busy slots", next, owner, load)
		}
		first := n
		n = b.divide(n)
		for _, e := range b.entries[first : n+1] {
			lost = append(lost, lostRange{Range: e.Range, load: b.density.load(e.Range), reason: reason})
		}
	}
	slices.SortStableFunc(lost, func(x, y lostRange) int { return cmp.Compare(y.load, x.load) })
	for _, r := range lost {
		n, _ := slices.BinarySearchFunc(b.entries, r.First, func(e Entry, first Key) int { return cmp.Compare(e.First, first) })
		b.assign(n, b.lowestCost(r.load), r.reason)
	}
}

// divide divides an entry of a lost owner into a few parts with the same load and returns the position of the last one.
func (b *builder) divide(n int) int {
	parts := min(maxReceivers, len(b.input.Candidates), max(1, b.entries[n].Size()/minSplitKeys))
	loadPerPart := b.density.load(b.entries[n].Range) / float64(parts)
	for range parts - 1 {
		cut := b.density.cut(b.entries[n].Range, loadPerPart)
		if cut >= b.entries[n].Last {
			break
		}
		b.split(n, cut)
		n++
	}
	return n
}

// newCandidateShare is the fraction of the mean load of a candidate that one without keys gets at once. Balancing moves more to it
// when the speed of its upstream is known.
const newCandidateShare = 0.3

// seedNewCandidates gives keys to candidates that have none, from the candidate with the highest cost that can give some up.
func (b *builder) seedNewCandidates() {
	owned := make(map[member.Incarnation]bool)
	total := 0.0
	for _, e := range b.entries {
		owned[e.Owner()] = true
		total += b.density.load(e.Range)
	}
	meanLoad := total / float64(len(b.input.Candidates))
	if meanLoad < minMoveLoad {
		// There is too little load to select keys by. An even share brings load once there is some.
		b.spread()
		return
	}
	for _, c := range b.input.Candidates {
		if owned[c.Instance] {
			continue
		}
		// The new candidate itself is left out: if it is slow, its cost may be the highest even without load.
		others := slices.DeleteFunc(slices.Clone(b.input.Candidates), func(o Candidate) bool { return o.Instance == c.Instance })
		slices.SortFunc(others, func(a, c Candidate) int { return cmp.Compare(b.cost(c, 0), b.cost(a, 0)) })
		for _, from := range others {
			// A candidate can't give up a single key, or keys that are being moved already.
			if b.moveLoad(from, c, min(newCandidateShare*meanLoad, b.coldRoom(c)/maxOvershoot), false) {
				break
			}
		}
	}
}

const (
	// maxRangesPerCandidate is the mean number of ranges per candidate above which the map is defragmented.
	maxRangesPerCandidate = 8
	// maxDefragMoves is the largest number of ranges that defragment moves in one plan.
	maxDefragMoves = 8
	// maxDefragLoad is the load, in busy slots, below which a range may be moved only to reduce the number of ranges.
	maxDefragLoad = 0.1
)

// defragment moves ranges with little load to the owner of an adjacent range, while the candidates have too many ranges. The next
// plan that moves keys merges them.
func (b *builder) defragment() {
	for range maxDefragMoves {
		if len(b.entries) <= maxRangesPerCandidate*len(b.input.Candidates) {
			return
		}
		best, bestLoad, to := -1, maxDefragLoad, member.Incarnation{}
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
		b.assign(best, to, "joins the owner of an adjacent range, to reduce the number of ranges")
	}
}

// neighbour returns the owner of a range adjacent to entry n, other than the entry's own; of two, the one with the lower cost.
func (b *builder) neighbour(n int) (member.Incarnation, bool) {
	var owner member.Incarnation
	found := false
	for _, other := range []int{n - 1, n + 1} {
		if other < 0 || other >= len(b.entries) {
			continue
		}
		candidate, ok := b.byInstance[b.entries[other].Owner()]
		if !ok || candidate.Instance == b.entries[n].Owner() {
			continue
		}
		if !found || b.cost(candidate, 0) < b.cost(b.byInstance[owner], 0) {
			owner, found = candidate.Instance, true
		}
	}
	return owner, found
}

// merge joins adjacent entries of one owner that no earlier holder may still serve. Moves split entries, and each entry needs grants
// of its own. The joined entry has a new epoch, since its owner has to grant it as a whole.
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

// isCandidate reports whether an incarnation is one of the candidates.
func (b *builder) isCandidate(i member.Incarnation) bool {
	_, ok := b.byInstance[i]
	return ok
}

// newerIncarnation returns the candidate that replaces an incarnation in its slot, and false if there is none.
func (b *builder) newerIncarnation(i member.Incarnation) (member.Incarnation, bool) {
	for _, c := range b.input.Candidates {
		if c.Instance.Slot() == i.Slot() && c.Instance.Number() > i.Number() {
			return c.Instance, true
		}
	}
	return member.Incarnation{}, false
}

// maxReceivers bounds the candidates among which a range of a lost owner is divided, so that the number of ranges stays small.
const maxReceivers = 3

// minSplitKeys is the smallest mean number of keys per part when a range of a lost owner is divided.
const minSplitKeys = 64

// split ends entry n at the key last; the remaining keys become entry n+1.
func (b *builder) split(n int, last Key) {
	rest := b.entries[n]
	rest.Members, rest.Previous = slices.Clone(rest.Members), slices.Clone(rest.Previous)
	rest.First = last + 1
	b.entries[n].Last = last
	b.entries = slices.Insert(b.entries, n+1, rest)
}

// assign makes an instance the owner of entry n. The old owner joins the earlier holders unless it is known to serve no more.
func (b *builder) assign(n int, to member.Incarnation, reason string) {
	e := &b.entries[n]
	from := e.Owner()
	previous := make([]member.Incarnation, 0, len(e.Previous)+1)
	for _, i := range append([]member.Incarnation{from}, e.Previous...) {
		if !i.IsZero() && i != to && !b.input.Ended(i) && !slices.Contains(previous, i) {
			previous = append(previous, i)
		}
	}
	load := b.density.load(e.Range)
	b.carried[from] -= load
	b.carried[to] += load
	e.Members, e.Previous, e.Epoch = []member.Incarnation{to}, previous, b.version
	b.moves = append(b.moves, Move{Range: e.Range, From: from, To: to, Reason: reason})
}

// utilisation returns the share of a candidate's slots that are busy at a load.
func (c Candidate) utilisation(load float64) float64 {
	return load * c.RelativeServiceTime / float64(c.Slots)
}

// cost returns the mean response time at a load, in mean service times: the upstream's own service time and the wait for a slot.
func (c Candidate) cost(load float64) float64 {
	return c.RelativeServiceTime * responseTime(c.utilisation(load))
}

// loadAt returns the load at which a candidate has the given cost, or 0 if its cost is higher even when it is idle.
func (c Candidate) loadAt(cost float64) float64 {
	return utilisationAt(cost/c.RelativeServiceTime) * float64(c.Slots) / c.RelativeServiceTime
}

// responseTime returns the mean response time, in service times of the upstream, at a utilisation of its slots. Queueing time
// diverges near a utilisation of 1, so the curve continues as a straight line above fullUtilisation.
func responseTime(utilisation float64) float64 {
	below := min(utilisation, fullUtilisation)
	return 1 + math.Pow(below, waitPower)/(waitDivisor*(1-below)) + overloadSlope*(utilisation-below)
}

// utilisationAt is the inverse of responseTime. It returns 0 for response times below that of an idle upstream.
func utilisationAt(wanted float64) float64 {
	atFull := responseTime(fullUtilisation)
	if wanted >= atFull {
		return fullUtilisation + (wanted-atFull)/overloadSlope
	}
	n, _ := slices.BinarySearch(responseTimes[:], wanted)
	return float64(n) / float64(len(responseTimes)) * fullUtilisation
}

// responseTimes holds the response times at utilisations from 0 to fullUtilisation, in equal steps.
var responseTimes = func() (table [256]float64) {
	for n := range table {
		table[n] = responseTime(float64(n) / float64(len(table)) * fullUtilisation)
	}
	return table
}()

// The wait for a slot is fitted to the M/M/6 queue: 0.07 service times at a utilisation of 0.6 and 0.5 at 0.8. fullUtilisation is the
// utilisation above which the curve is a straight line with the slope overloadSlope, in service times per unit of utilisation.
const (
	waitPower       = 5
	waitDivisor     = 3
	fullUtilisation = 0.94
	overloadSlope   = 20
)

// cost returns the cost of a candidate with its load under the next map and some more.
func (b *builder) cost(c Candidate, more float64) float64 {
	return c.cost(b.carried[c.Instance] + more)
}

// lowestCost returns the candidate with the lowest cost once it has got a load; of several, the one with the least load. Candidates that
// are too cold for it come last, and before them those that would be full, the least overloaded first: a fast upstream has a low cost even
// when it gets more than it can serve.
func (b *builder) lowestCost(load float64) member.Incarnation {
	load = max(load, minMoveLoad)
	excess := func(c Candidate) float64 {
		return max(0, c.utilisation(b.carried[c.Instance]+load)-fullUtilisation)
	}
	return slices.MinFunc(b.input.Candidates, func(a, c Candidate) int {
		return cmp.Or(-compareBool(b.canReceive(a, load), b.canReceive(c, load)),
			cmp.Compare(excess(a), excess(c)), cmp.Compare(b.cost(a, load), b.cost(c, load)),
			cmp.Compare(b.carried[a.Instance], b.carried[c.Instance]))
	}).Instance
}
