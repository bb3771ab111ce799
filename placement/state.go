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
	none = -1
	// maxDataCentres is the width of the set of allowed data centres.
	maxDataCentres = 64
)

// node is a member during planning. A member without a record, or in a state other than ready, gets no partitions.
type node struct {
	incarnation member.Incarnation
	record      member.Record
	reported    float64
	trusted     bool
	ready       bool
	dc          int
	capacity    float64
	load        float64
	// duty is the load of the partitions that the member is a successor of.
	duty  float64
	owned []int32
}

func (n *node) ratio() float64 { return n.load / n.capacity }

type dataCentre struct{ region, name string }

// change notes why the entry of a partition differs from the map's.
type change struct {
	kind   Kind
	reason string
}

type state struct {
	in      Input
	plan    Plan
	nodes   []node
	dcs     []dataCentre
	ranks   [][partition.Replicas]int32
	loads   []float64
	changes []change // By partition; the zero value stands for none.
	// parents holds the partition that each new override was split from, by the override's partition.
	parents map[int]int
	gone    map[member.Incarnation]bool
	mean    float64 // Load for each unit of capacity.
	unit    float64 // Mean load of a partition.
	byLoad  []*ranking
	byDuty  []*ranking
	base    uint64
	masks   map[int]uint64
	pins    map[int]Pin
	spent   int
	// exchanged are the partitions that an exchange moved; each moves once.
	exchanged map[int32]bool
}

func newState(in Input) *state {
	if in.Rules.Weights == (Weights{}) {
		in.Rules.Weights = BookingWeights()
	}
	if in.Rules.Handover == 0 {
		in.Rules.Handover = DefaultHandover
	}
	if in.Rules.ReportLimit == 0 {
		in.Rules.ReportLimit = DefaultReportLimit
	}
	s := &state{
		in: in, parents: make(map[int]int), gone: make(map[member.Incarnation]bool),
		masks: make(map[int]uint64), pins: make(map[int]Pin), exchanged: make(map[int32]bool),
	}
	s.addNodes()
	s.readRanks()
	s.readRules()
	return s
}

func (s *state) addNodes() {
	members := slices.Clone(s.in.Members)
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(a.Record.Incarnation.Slot(), b.Record.Incarnation.Slot()),
			cmp.Compare(a.Record.Incarnation.Number(), b.Record.Incarnation.Number()),
		)
	})
	for _, m := range members {
		if m.Record.State.Gone() {
			continue
		}
		s.nodes = append(s.nodes, node{
			incarnation: m.Record.Incarnation, record: m.Record, reported: m.Load,
			trusted:  m.Reported && m.Age <= s.in.Rules.ReportLimit && finite(m.Load),
			capacity: m.Record.Capacity, dc: s.dataCentre(m.Record.Region, m.Record.DataCentre),
			ready: m.Record.State == member.Ready && m.Record.Capacity > 0 && finite(m.Record.Capacity),
		})
	}
}

func finite(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

func (s *state) dataCentre(region, name string) int {
	dc := dataCentre{region, name}
	n := slices.Index(s.dcs, dc)
	if n < 0 && len(s.dcs) < maxDataCentres {
		s.dcs = append(s.dcs, dc)
		return len(s.dcs) - 1
	}
	if n < 0 {
		s.problem("data centre %s: more than %d data centres", name, maxDataCentres)
		return maxDataCentres - 1
	}
	return n
}

// readRanks translates the map's incarnations to nodes. An incarnation that left, expired or was replaced by a newer one
// in its slot is gone. One without a record is kept as a node that gets nothing, because nothing proves that it stopped.
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
		case known && (record.Incarnation.Number() > i.Number() || record.Incarnation == i && record.State.Gone()):
			s.gone[i] = true
		case ok:
			nodes[n] = at
		default:
			nodes[n] = int32(len(s.nodes))
			s.nodes = append(s.nodes, node{incarnation: i, dc: none, capacity: 1, record: member.Record{Region: "?"}})
		}
	}
	s.ranks = make([][partition.Replicas]int32, s.in.Map.Partitions(), s.in.Map.Partitions()+len(s.in.Rules.Pins)+len(s.in.HotKeys))
	s.changes = make([]change, len(s.ranks), cap(s.ranks))
	for p := range s.ranks {
		s.ranks[p] = [partition.Replicas]int32{none, none, none}
		for rank, at := range s.in.Map.Positions(p) {
			if at >= 0 {
				s.ranks[p][rank] = nodes[at]
			}
		}
	}
}

func (s *state) problem(format string, args ...any) {
	s.plan.Problems = append(s.plan.Problems, fmt.Sprintf(format, args...))
}

// bookkeeping replaces lost owners by the first successor that is left: it serves already, so nothing is interrupted.
func (s *state) bookkeeping() {
	for p := range s.ranks {
		old := s.in.Map.Positions(p)
		ranks := &s.ranks[p]
		if old[0] < 0 || ranks[0] != none {
			continue
		}
		left := [partition.Replicas]int32{none, none, none}
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
			s.changes[p] = change{Takeover, "owner " + lost.String() + " is gone; its first live successor serves"}
		}
	}
}

// emit turns the changed ranks into entries.
func (s *state) emit() {
	changed := 0
	for _, c := range s.changes {
		if c.kind != "" {
			changed++
		}
	}
	s.plan.Changes = make([]Change, 0, changed)
	gone := func(i member.Incarnation) bool { return s.gone[i] }
	members := make([]member.Incarnation, 0, partition.Replicas)
	for p, c := range s.changes {
		if c.kind == "" {
			continue
		}
		old := s.entry(p)
		if len(old.From) > 0 && p < s.in.Map.Partitions() && s.in.Settled != nil && s.in.Settled(p, old) {
			old.From = nil
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
		made.Move = partition.Move{Partition: p, Entry: old.Next(members, gone), Reason: c.reason}
		s.plan.Changes = append(s.plan.Changes, made)
	}
}

func (s *state) entry(p int) partition.Entry {
	if p >= s.in.Map.Partitions() {
		return s.in.Map.Entry(s.parents[p])
	}
	return s.in.Map.Entry(p)
}

// move makes n the owner of p in the working state.
func (s *state) move(p int, n int32, c change) {
	ranks := s.ranks[p]
	if ranks[0] != none {
		old := &s.nodes[ranks[0]]
		old.owned = slices.DeleteFunc(old.owned, func(q int32) bool { return int(q) == p })
		old.load -= s.loads[p]
		s.fix(ranks[0])
	}
	next := [partition.Replicas]int32{n, none, none}
	kept := next[:1]
	for _, other := range [...]int32{ranks[1], ranks[2], ranks[0]} {
		if other != none && other != n && len(kept) < partition.Replicas && s.fits(kept, other) {
			kept = append(kept, other)
		}
	}
	s.setSuccessors(p, next)
	s.nodes[n].owned = append(s.nodes[n].owned, int32(p))
	s.nodes[n].load += s.loads[p]
	s.fix(n)
	s.changes[p] = c
}

// fits reports whether a member is a good successor beside those kept: ready, in the owner's region and in a data centre
// of its own.
func (s *state) fits(kept []int32, n int32) bool {
	if !s.nodes[n].ready || s.nodes[n].record.Region != s.nodes[kept[0]].record.Region {
		return false
	}
	return !slices.ContainsFunc(kept, func(k int32) bool { return s.nodes[k].dc == s.nodes[n].dc })
}

func (s *state) fix(n int32) {
	if s.nodes[n].ready {
		s.byLoad[s.nodes[n].dc].fix(n)
	}
}

// try makes a move that changes who serves, or holds it back. It returns false if it was held back.
func (s *state) try(p int, n int32, c change) bool {
	limited := c.kind != Unowned && s.in.Budget >= 0
	if s.in.Hold != "" {
		return false
	}
	if !limited || s.spent < s.in.Budget {
		if c.kind != Unowned {
			s.spent++
		}
		s.move(p, n, c)
		return true
	}
	reason := fmt.Sprintf("budget of %d moves is spent: %s", s.in.Budget, c.reason)
	held := Held{Partition: p, Kind: c.kind, New: s.nodes[n].incarnation, Reason: reason}
	if old := s.ranks[p][0]; old != none {
		held.Old = s.nodes[old].incarnation
	}
	s.plan.hold(held)
	return false
}
