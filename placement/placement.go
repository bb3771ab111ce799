// Package placement plans which members own which partitions. It is a pure function of its input: it reads no clock and
// no socket, draws no random numbers, and equal input yields an equal plan.
package placement

import (
	"time"

	"sapphiretray/member"
	"sapphiretray/partition"
)

const (
	// DefaultHandover is the time for which a planned move interrupts a partition.
	DefaultHandover = 20 * time.Millisecond
	// DefaultReportLimit is the age from which a load report is ignored.
	DefaultReportLimit = 10 * time.Second
	// NoLimit is a budget that holds nothing back.
	NoLimit = -1
	// MaxOverrides bounds the partitions of single keys of a service, which each reader of the map keeps in memory.
	MaxOverrides = 1 << 16
)

// Member is an instance of the service with its newest load report.
type Member struct {
	Record member.Record
	// Load is the total load that the member reported, in the unit of Input.Loads.
	Load float64
	// Reported is false if there is no report.
	Reported bool
	// Age is the age of the report.
	Age time.Duration
}

// Pin requires a key to be owned by a slot or by any member in a data centre; one of the two is set.
type Pin struct {
	// Key is the key's name and only used in reasons.
	Key        string
	Hash       uint64
	Slot       string
	DataCentre string
}

// Allow restricts keys to data centres. Keys are hashed, so a partition holds keys of every prefix: a rule for a prefix
// binds each partition of the service, which never breaks the rule but also binds other keys.
type Allow struct {
	Prefix string
	// Partitions limits the rule to these partitions if it isn't empty.
	Partitions  []int
	DataCentres []string
}

// Weights say how much a share of moved keys, of uneven load and of interrupted load count against each other.
type Weights struct {
	Churn       float64
	Imbalance   float64
	Unavailable float64
}

// BookingWeights avoid moves of keys above all: each one is a chance to lose or double a booking.
func BookingWeights() Weights { return Weights{Churn: 3, Imbalance: 2, Unavailable: 1} }

// BusWeights avoid interrupted requests above all.
func BusWeights() Weights { return Weights{Churn: 1, Imbalance: 2, Unavailable: 3} }

// Rules are the operators' rules. The zero value has no pins, allows every data centre and uses BookingWeights.
type Rules struct {
	Pins    []Pin
	Allow   []Allow
	Weights Weights
	// Handover is the time for which a planned move interrupts a partition; 0 stands for DefaultHandover.
	Handover time.Duration
	// ReportLimit is the age from which a load report is ignored; 0 stands for DefaultReportLimit.
	ReportLimit time.Duration
}

// HotKey is a key with a large load of its own.
type HotKey struct {
	Hash uint64
	Load float64
}

// Input is everything that a plan depends on.
type Input struct {
	Members []Member
	Rules   Rules
	Map     *partition.Map
	// Loads is the measured load by partition; a negative one or one past the end is unknown.
	Loads   []float64
	HotKeys []HotKey
	// Budget is the number of moves that may change the owner of a partition that has one.
	Budget int
	// Hold is the reason why each move that changes who serves is held back; empty if none is.
	Hold string
	// Settled reports whether the owner of an entry has been seen serving it. Then all incarnations in its From have
	// promised not to serve, and the next entry leaves them out; else From would grow with each move. Nil stands for
	// never.
	Settled func(p int, entry partition.Entry) bool
}

// Kind is the cause of a move.
type Kind string

// The kinds of moves, in the order in which they are planned.
const (
	// Takeover records the successor that already serves in place of a lost owner.
	Takeover Kind = "takeover"
	// Successors replaces successors only.
	Successors Kind = "successors"
	// Unowned assigns a partition of which no member is left.
	Unowned Kind = "unowned"
	// Drain moves a partition away from a member that is leaving.
	Drain Kind = "drain"
	// Rule moves a partition to a member that the rules allow.
	Rule Kind = "rule"
	// Balance moves a partition to a member with less load for its capacity.
	Balance Kind = "balance"
)

// ChangesServer reports whether a move of this kind changes who serves the partition.
func (k Kind) ChangesServer() bool { return k != Takeover && k != Successors }

// Change is one planned move.
type Change struct {
	Move partition.Move
	Kind Kind
	// Old is the owner before and New the one after the move; Old is zero for an unowned partition.
	Old, New member.Incarnation
}

// Override is a new partition for a single key, with the members of the partition that the key was in.
type Override struct {
	Hash      uint64
	Partition int
	Reason    string
}

// Held is a move that was planned but not made.
type Held struct {
	Partition int
	Kind      Kind
	Old, New  member.Incarnation
	Reason    string
}

// Plan is the difference between the map and its successor. Overrides are to be made before Changes, in order.
type Plan struct {
	Overrides []Override
	Changes   []Change
	// Held lists at most MaxHeld moves; HeldCount counts all that are known.
	Held      []Held
	HeldCount int
	// Problems name rules that can't be met.
	Problems []string
	// Before and After are the largest load over the capacity-weighted mean without and with the plan, as estimated.
	Before, After float64
}

// MaxHeld bounds the list of moves held back.
const MaxHeld = 1000

// Moves returns the moves of the plan.
func (p Plan) Moves() []partition.Move {
	moves := make([]partition.Move, len(p.Changes))
	for n, change := range p.Changes {
		moves[n] = change.Move
	}
	return moves
}

// Apply returns the map after the plan.
func (p Plan) Apply(m *partition.Map) (*partition.Map, error) {
	version := m.Version() + 1
	hashes := make([]uint64, len(p.Overrides))
	for n, o := range p.Overrides {
		hashes[n] = o.Hash
	}
	return m.Change(version, hashes, p.Moves())
}

// Compute returns the plan for an input.
func Compute(in Input) Plan {
	if in.Hold == "" {
		return compute(in)
	}
	free := in
	free.Hold = ""
	wanted := compute(free)
	plan := compute(in)
	plan.Held, plan.HeldCount = wanted.Held, wanted.HeldCount
	for _, c := range wanted.Changes {
		if c.Kind.ChangesServer() {
			plan.hold(Held{Partition: c.Move.Partition, Kind: c.Kind, Old: c.Old, New: c.New, Reason: in.Hold + ": " + c.Move.Reason})
		}
	}
	return plan
}

func (p *Plan) hold(held Held) {
	p.HeldCount++
	if len(p.Held) < MaxHeld {
		p.Held = append(p.Held, held)
	}
}

func compute(in Input) Plan {
	s := newState(in)
	s.bookkeeping()
	s.estimateLoads()
	s.plan.Before = s.imbalance()
	s.addOverrides()
	s.assignUnowned()
	s.drain()
	s.applyRules()
	s.balance()
	s.fillSuccessors()
	s.plan.After = s.imbalance()
	s.emit()
	return s.plan
}
