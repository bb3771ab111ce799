package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"sapphiretray/member"
	"sapphiretray/partition"
)

const (
	// none stands for a missing member, partition or data centre.
	none = -1
	// maxDataCentres is the number of bits in a set of data centres.
	maxDataCentres = 64
)

// node is the working state of a member. A member that isn't ready is assigned no partitions.
type node struct {
	incarnation  member.Incarnation
	record       member.Record
	reportedLoad float64
	recentReport bool // Whether reportedLoad is valid and recent.
	ready        bool
	dc           int // Position in state.dcs; none if the member has no record.
	capacity     float64
	load         float64
	// successorLoad is the load of the partitions of which the member is a successor.
	successorLoad float64
	owned         []int32
}

// relativeLoad returns the load per unit of capacity.
func (n *node) relativeLoad() float64 { return n.load / n.capacity }

type dataCentre struct{ region, name string }

// cause is the reason why the plan changes the entry of a partition.
type cause struct {
	kind   Kind
	reason string
}

// state is the working state of one plan. Members and data centres are identified by their positions in nodes and dcs, and
// partitions by their numbers.
type state struct {
	in     Input
	plan   Plan
	nodes  []node
	dcs    []dataCentre
	ranks  [][partition.MaxMembers]int32 // Owner and successors by partition.
	loads  []float64                     // By partition.
	causes []cause                       // By partition; the zero value means that the entry doesn't change.
	// parents holds, by the partition of each new override, the partition that held the key before.
	parents           map[int]int
	ended             map[member.Incarnation]bool // Incarnations that can't serve any more.
	meanRelativeLoad  float64                     // Load per unit of capacity of the ready members.
	meanPartitionLoad float64                     // Mean load of a partition.
	byLoad            []*memberHeap               // Ready members by relative load, for each data centre.
	bySuccessorLoad   []*memberHeap               // The same by successor load per unit of capacity.
	commonMask        uint64                      // Data centres that the rules for all partitions allow.
	partitionMasks    map[int]uint64              // Data centres that the rules for single partitions allow.
	pins              map[int]Pin
	spent             int // Moves that count towards the budget.
	// exchanged holds the partitions that an exchange has moved. An exchange moves each at most once.
	exchanged map[int32]bool
}

func newState(in Input) *state {
	if in.Rules.Weights == (Weights{}) {
		in.Rules.Weights = ChurnAverseWeights()
	}
	if in.Rules.HandoverTime == 0 {
		in.Rules.HandoverTime = DefaultHandoverTime
	}
	if in.Rules.MaxReportAge == 0 {
		in.Rules.MaxReportAge = DefaultMaxReportAge
	}
	s := &state{
		in: in, parents: make(map[int]int), ended: make(map[member.Incarnation]bool),
		partitionMasks: make(map[int]uint64), pins: make(map[int]Pin), exchanged: make(map[int32]bool),
	}
	s.addNodes()
	s.readRanks()
	s.readRules()
	return s
}

// addNodes adds a node for each member that hasn't ended, sorted by slot and number: the plan must not depend on the order of the input.
func (s *state) addNodes() {
	members := slices.Clone(s.in.Members)
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(a.Record.Incarnation.Slot(), b.Record.Incarnation.Slot()),
			cmp.Compare(a.Record.Incarnation.Number(), b.Record.Incarnation.Number()),
		)
	})
	for _, m := range members {
		if m.Record.State.Ended() {
			continue
		}
		s.nodes = append(s.nodes, node{
			incarnation: m.Record.Incarnation, record: m.Record, reportedLoad: m.Load,
			recentReport: m.Reported && m.Age <= s.in.Rules.MaxReportAge && finite(m.Load),
			capacity:     m.Record.Capacity, dc: s.dataCentre(m.Record.Region, m.Record.DataCentre),
			ready: m.Record.State == member.Ready && m.Record.Capacity > 0 && finite(m.Record.Capacity),
		})
	}
}

// finite reports whether x is neither negative, infinite nor NaN.
func finite(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// dataCentre returns the position of a data centre in s.dcs and adds it if it is new.
func (s *state) dataCentre(region, name string) int {
	dc := dataCentre{region, name}
	n := slices.Index(s.dcs, dc)
	if n < 0 && len(s.dcs) < maxDataCentres {
		s.dcs = append(s.dcs, dc)
		return len(s.dcs) - 1
	}
	if n < 0 {
		s.addProblem("data centre %s: more than %d data centres", name, maxDataCentres)
		return maxDataCentres - 1
	}
	return n
}

// readRanks converts the members of the map's entries to nodes. An incarnation that left, expired or was replaced by a newer one in
// its slot has ended. One without a record becomes a node that isn't ready, since nothing proves that it has stopped serving.
func (s *state) readRanks() {
	newest := make(map[string]member.Record, len(s.in.Members))
	for _, m := range s.in.Members {
		i := m.Record.Incarnation
		if old, ok := newest[i.Slot()]; !ok || old.Incarnation.Number() < i.Number() {
			newest[i.Slot()] = m.Record
		}
	}
	position := make(map[member.Incarnation]int32, len(s.nodes))
	for n := range s.nodes {
		position[s.nodes[n].incarnation] = int32(n)
	}
	incarnations := s.in.Map.Incarnations()
	nodes := make([]int32, len(incarnations))
	for n, i := range incarnations {
		record, known := newest[i.Slot()]
		nodes[n] = none
		switch at, ok := position[i]; {
		case known && (record.Incarnation.Number() > i.Number() || record.Incarnation == i && record.State.Ended()):
			s.ended[i] = true
		case ok:
			nodes[n] = at
		default:
			nodes[n] = int32(len(s.nodes))
			s.nodes = append(s.nodes, node{incarnation: i, dc: none, capacity: 1, record: member.Record{Region: "?"}})
		}
	}
	s.ranks = make([][partition.MaxMembers]int32, s.in.Map.Partitions(), s.in.Map.Partitions()+len(s.in.Rules.Pins)+len(s.in.HotKeys))
	s.causes = make([]cause, len(s.ranks), cap(s.ranks))
	for p := range s.ranks {
		s.ranks[p] = [partition.MaxMembers]int32{none, none, none}
		for rank, at := range s.in.Map.Positions(p) {
			if at >= 0 {
				s.ranks[p][rank] = nodes[at]
			}
		}
	}
}

// addProblem adds a text to the problems of the plan.
func (s *state) addProblem(format string, args ...any) {
	s.plan.Problems = append(s.plan.Problems, fmt.Sprintf(format, args...))
}

// recordTakeovers makes the first live successor of a lost owner the owner. It serves already, so no request is interrupted.
func (s *state) recordTakeovers() {
	for p := range s.ranks {
		old := s.in.Map.Positions(p)
		ranks := &s.ranks[p]
		if old[0] < 0 || ranks[0] != none {
			continue
		}
		left := [partition.MaxMembers]int32{none, none, none}
		at := 0
		for _, n := range ranks {
			if n != none {
				left[at] = n
				at++
			}
		}
		*ranks = left
		if left[0] != none {
			lost := s.in.Map.Incarnations()[old[0]]
			s.causes[p] = cause{Takeover, "owner " + lost.String() + " is gone; its first live successor serves"}
		}
	}
}

// buildChanges adds the changed entries to the plan.
func (s *state) buildChanges() {
	changed := 0
	for _, c := range s.causes {
		if c.kind != "" {
			changed++
		}
	}
	s.plan.Changes = make([]Change, 0, changed)
	ended := func(i member.Incarnation) bool { return s.ended[i] }
	members := make([]member.Incarnation, 0, partition.MaxMembers)
	for p, c := range s.causes {
		if c.kind == "" {
			continue
		}
		old := s.entry(p)
		if len(old.Previous) > 0 && p < s.in.Map.Partitions() && s.in.Settled != nil && s.in.Settled(p, old) {
			old.Previous = nil
		}
		members = members[:0]
		for _, n := range s.ranks[p] {
			if n != none {
				members = append(members, s.nodes[n].incarnation)
			}
		}
		made := Change{Kind: c.kind, New: members[0]}
		if len(old.Members) > 0 {
			made.Old = old.Members[0]
		}
		made.Move = partition.Move{Partition: p, Entry: old.Next(members, ended), Reason: c.reason}
		s.plan.Changes = append(s.plan.Changes, made)
	}
}

// entry returns the entry of a partition in the map; for a new override, that of the partition that held the key.
func (s *state) entry(p int) partition.Entry {
	if p >= s.in.Map.Partitions() {
		return s.in.Map.Entry(s.parents[p])
	}
	return s.in.Map.Entry(p)
}

// move makes n the owner of partition p. Its former members remain successors if they are good ones.
func (s *state) move(p int, n int32, c cause) {
	ranks := s.ranks[p]
	if ranks[0] != none {
		old := &s.nodes[ranks[0]]
		old.owned = slices.DeleteFunc(old.owned, func(q int32) bool { return int(q) == p })
		old.load -= s.loads[p]
		s.fix(ranks[0])
	}
	next := [partition.MaxMembers]int32{n, none, none}
	kept := next[:1]
	for _, other := range [...]int32{ranks[1], ranks[2], ranks[0]} {
		if other != none && other != n && len(kept) < partition.MaxMembers && s.isGoodSuccessor(kept, other) {
			kept = append(kept, other)
		}
	}
	s.setSuccessors(p, next)
	s.nodes[n].owned = append(s.nodes[n].owned, int32(p))
	s.nodes[n].load += s.loads[p]
	s.fix(n)
	s.causes[p] = c
}

// isGoodSuccessor reports whether a member is ready, in the region of kept[0], the owner, and in a data centre of none of kept.
func (s *state) isGoodSuccessor(kept []int32, n int32) bool {
	if !s.nodes[n].ready || s.nodes[n].record.Region != s.nodes[kept[0]].record.Region {
		return false
	}
	return !slices.ContainsFunc(kept, func(k int32) bool { return s.nodes[k].dc == s.nodes[n].dc })
}

// fix updates the position of a member in the heap by load.
func (s *state) fix(n int32) {
	if s.nodes[n].ready {
		s.byLoad[s.nodes[n].dc].fix(n)
	}
}

// tryMove makes a move that changes the serving member, or holds it back if moves are on hold or the budget is spent. It returns false
// if the move was held back. Moves of unowned partitions don't count towards the budget.
func (s *state) tryMove(p int, n int32, c cause) bool {
	limited := c.kind != Unowned && s.in.MoveBudget >= 0
	if s.in.HoldReason != "" {
		return false
	}
	if !limited || s.spent < s.in.MoveBudget {
		if c.kind != Unowned {
			s.spent++
		}
		s.move(p, n, c)
		return true
	}
	reason := fmt.Sprintf("budget of %d moves is spent: %s", s.in.MoveBudget, c.reason)
	held := Held{Partition: p, Kind: c.kind, New: s.nodes[n].incarnation, Reason: reason}
	if old := s.ranks[p][0]; old != none {
		held.Old = s.nodes[old].incarnation
	}
	s.plan.addHeld(held)
	return false
}
