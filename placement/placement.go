// Package placement plans which members own which partitions. A plan is a pure function of its input: equal inputs yield equal
// plans, without I/O, clocks or random numbers.
package placement

import (
	"time"

	"sapphiretray/member"
	"sapphiretray/partition"
)

const (
	// DefaultHandoverTime is the time for which a planned move interrupts a partition.
	DefaultHandoverTime = 20 * time.Millisecond
	// DefaultMaxReportAge is the age above which a load report is ignored.
	DefaultMaxReportAge = 10 * time.Second
	// NoLimit is the MoveBudget that allows any number of moves.
	NoLimit = -1
	// MaxOverrides bounds the single-key partitions of a service. Each reader of the map keeps them in memory.
	MaxOverrides = 1 << 16
)

// Member is an instance of the service with its latest load report.
type Member struct {
	Record member.Record
	// Load is the total load that the member reported, in the same unit as Input.Loads.
	Load float64
	// Reported is false if there is no report.
	Reported bool
	// Age is the age of the report.
	Age time.Duration
}

// Pin requires a key to be owned by the member in a slot or by any member in a data centre. Either Slot or DataCentre is set.
type Pin struct {
	// Key is the name of the key. It is only used in texts; Hash identifies the key.
	Key        string
	Hash       uint64
	Slot       string
	DataCentre string
}

// Allow restricts keys with a prefix to data centres. Since keys are hashed, each partition may hold keys with any prefix. The rule
// therefore applies to all partitions of the service, and so to keys without the prefix, too.
type Allow struct {
	Prefix string
	// Partitions limits the rule to these partitions, unless it is empty.
	Partitions  []int
	DataCentres []string
}

// Weights are the relative costs of moved keys, uneven load and interrupted load. Only their ratios matter. Churn weighs moved keys, in
// partitions; Imbalance weighs load squared over capacity; Unavailable weighs interrupted load. The zero value stands for
// ChurnAverseWeights in Rules.
type Weights struct {
	Churn       float64
	Imbalance   float64
	Unavailable float64
}

// ChurnAverseWeights returns weights that mainly avoid moved keys, since each move risks a lost or duplicated booking.
func ChurnAverseWeights() Weights { return Weights{Churn: 3, Imbalance: 2, Unavailable: 1} }

// AvailabilityWeights returns weights that mainly avoid interrupted requests.
func AvailabilityWeights() Weights { return Weights{Churn: 1, Imbalance: 2, Unavailable: 3} }

// Rules are the placement rules that operators set. The zero value has no pins, allows all data centres and uses ChurnAverseWeights.
type Rules struct {
	Pins    []Pin
	Allow   []Allow
	Weights Weights
	// HandoverTime is the time for which a planned move interrupts a partition; 0 means DefaultHandoverTime.
	HandoverTime time.Duration
	// MaxReportAge is the age above which a load report is ignored; 0 means DefaultMaxReportAge.
	MaxReportAge time.Duration
}

// HotKey is a key with a measured load that is large for a single key.
type HotKey struct {
	Hash uint64
	// Load is in the unit of Input.Loads.
	Load float64
}

// Input holds everything that a plan depends on.
type Input struct {
	Members []Member
	Rules   Rules
	Map     *partition.Map
	// Loads is the measured load by partition. It is unknown for partitions with a negative value and for those past the end.
	Loads   []float64
	HotKeys []HotKey
	// MoveBudget is the number of moves that may change the owner of a partition that has one; NoLimit means any number.
	MoveBudget int
	// HoldReason is the reason why all moves that change the serving member are held back; empty if they aren't.
	HoldReason string
	// Settled reports whether the owner of an entry has been observed to serve it. All incarnations in the entry's Previous have then
	// promised not to serve it, so the next entry omits them; otherwise Previous would grow with each move. Nil counts as never settled.
	Settled func(p int, entry partition.Entry) bool
}

// Kind is the cause of a change.
type Kind string

// The kinds of changes. They are planned in this order, except that Successors is planned last.
const (
	// Takeover makes the successor that already serves in place of a lost owner the owner in the map.
	Takeover Kind = "takeover"
	// Successors replaces successors and keeps the owner.
	Successors Kind = "successors"
	// Unowned assigns a partition whose members have all ended or that never had any.
	Unowned Kind = "unowned"
	// Drain moves a partition away from a member that isn't ready.
	Drain Kind = "drain"
	// Rule moves a partition from a member that the rules forbid to one that they allow.
	Rule Kind = "rule"
	// Balance moves a partition to a member with less load relative to its capacity.
	Balance Kind = "balance"
)

// ChangesServer reports whether a change of this kind changes the member that serves the partition.
func (k Kind) ChangesServer() bool { return k != Takeover && k != Successors }

// Change is a planned change of one partition's entry.
type Change struct {
	Move partition.Move
	Kind Kind
	// Old is the owner before and New the one after the change; Old is zero for an unowned partition.
	Old, New member.Incarnation
}

// Override is a new partition for a single key. Its members are those of the partition that held the key before.
type Override struct {
	Hash      uint64
	Partition int
	Reason    string
}

// Held is a move that the plan would need but holds back, with the reason why.
type Held struct {
	Partition int
	Kind      Kind
	Old, New  member.Incarnation
	Reason    string
}

// Plan is the difference between the map and the next one. Apply makes the overrides first and then the changes, in order.
type Plan struct {
	Overrides []Override
	Changes   []Change
	// Held lists the first MaxHeldMoves moves that are held back; HeldCount counts all that were found.
	Held      []Held
	HeldCount int
	// Problems describe rules and limits that can't be met.
	Problems []string
	// Before and After are the estimated imbalance without and with the plan: the largest load relative to capacity of a ready member,
	// divided by the mean of the ready members.
	Before, After float64
}

// MaxHeldMoves bounds the length of Plan.Held.
const MaxHeldMoves = 1000

// Moves returns the changes of the plan as moves of a map.
func (p Plan) Moves() []partition.Move {
	moves := make([]partition.Move, len(p.Changes))
	for n, change := range p.Changes {
		moves[n] = change.Move
	}
	return moves
}

// Apply returns the map that results from the plan, with the next version. It returns the error of partition.Map.Change.
func (p Plan) Apply(m *partition.Map) (*partition.Map, error) {
	version := m.Version() + 1
	hashes := make([]uint64, len(p.Overrides))
	for n, o := range p.Overrides {
		hashes[n] = o.Hash
	}
	return m.Change(version, hashes, p.Moves())
}

// Compute returns the plan for an input. If in.HoldReason is set, the plan makes only moves that keep the serving member and lists the
// others in Held.
func Compute(in Input) Plan {
	if in.HoldReason == "" {
		return compute(in)
	}
	unheld := in
	unheld.HoldReason = ""
	wanted := compute(unheld)
	plan := compute(in)
	plan.Held, plan.HeldCount = wanted.Held, wanted.HeldCount
	for _, c := range wanted.Changes {
		if c.Kind.ChangesServer() {
			plan.addHeld(Held{
				Partition: c.Move.Partition, Kind: c.Kind, Old: c.Old, New: c.New, Reason: in.HoldReason + ": " + c.Move.Reason,
			})
		}
	}
	return plan
}

// addHeld counts a move that is held back and lists it if there is space.
func (p *Plan) addHeld(held Held) {
	p.HeldCount++
	if len(p.Held) < MaxHeldMoves {
		p.Held = append(p.Held, held)
	}
}

// compute plans all kinds of moves. If in.HoldReason is set, it omits moves that change the serving member.
func compute(in Input) Plan {
	s := newState(in)
	s.recordTakeovers()
	s.estimateLoads()
	s.plan.Before = s.imbalance()
	s.addOverrides()
	s.assignUnowned()
	s.drain()
	s.applyRules()
	s.balance()
	s.fillSuccessors()
	s.plan.After = s.imbalance()
	s.buildChanges()
	return s.plan
}
