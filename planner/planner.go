// Package planner is the control loop that keeps the partition maps in line with members, loads and rules. Any instance
// may run it; the one that holds the planner's lease acts. Correctness doesn't rest on the lease: each write is a
// compare-and-set on the map's row, on the lease and on the pause and sheet that the plan was made with.
package planner

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"sapphiretray/code"
	"sapphiretray/member"
	"sapphiretray/partition"
	"sapphiretray/pause"
	"sapphiretray/placement"
	"sapphiretray/table"

	"k8s.io/klog/v2"
)

const (
	// DefaultInterval is the time between two planning steps.
	DefaultInterval = time.Second
	// DefaultBudget is the number of planned moves a minute for a service.
	DefaultBudget = 60
	// restFactor is the least pause after a step over the step's own duration, so that planning uses at most about a
	// twentieth of a core with very many members.
	restFactor = 20
)

// Service is a service and the number of partitions that its keys are hashed to.
type Service struct {
	Name       string
	Partitions int
}

// LoadReport is the load report of one member.
type LoadReport struct {
	Total float64
	Age   time.Duration
}

// Loads are the measured loads of one service.
type Loads struct {
	Members map[member.Incarnation]LoadReport
	// Partitions is the load by partition; a negative one is unknown.
	Partitions []float64
	HotKeys    []placement.HotKey
}

// Sheet is what the operators' sheet says about one service.
type Sheet struct {
	Rules placement.Rules
	// Budget is the number of planned moves a minute; nil stands for DefaultBudget.
	Budget *int
	// Capacities overrides the capacity in the records, by slot.
	Capacities map[string]float64
	// Hold is the reason why moves that change who serves wait, such as the modes observe and propose; empty if they
	// don't.
	Hold string
}

// Planner runs the control loop. Use New.
type Planner struct {
	table       Table
	objects     Objects
	incarnation member.Incarnation
	interval    time.Duration
	length      time.Duration
	services    func(context.Context) ([]Service, error)
	loads       func(context.Context, string) (Loads, error)
	sheet       func(context.Context, table.Row, string) (Sheet, error)
	expired     func(context.Context, member.Record) bool
	settled     func(service string, p int, entry partition.Entry) bool
	report      func(Event)

	writes uint64
	states map[string]*serviceState

	mu    sync.Mutex
	lease lease
	held  map[string][]placement.Held
}

// Option changes a Planner under construction.
type Option func(*Planner)

// WithPlatform sets the clients of the table service and the object store.
func WithPlatform(t Table, o Objects) Option {
	return func(p *Planner) { p.table, p.objects = t, o }
}

// WithIncarnation names the instance that runs the planner; it becomes the lease's holder.
func WithIncarnation(i member.Incarnation) Option {
	return func(p *Planner) { p.incarnation = i }
}

// WithInterval sets the time between two planning steps.
func WithInterval(d time.Duration) Option {
	return func(p *Planner) { p.interval = d }
}

// WithLease sets the length of the planner's lease.
func WithLease(d time.Duration) Option {
	return func(p *Planner) { p.length = d }
}

// WithServices sets the function that returns the accepted services.
func WithServices(f func(ctx context.Context) ([]Service, error)) Option {
	return func(p *Planner) { p.services = f }
}

// WithLoads sets the function that collects the loads of a service. Without loads, members count by capacity.
func WithLoads(f func(ctx context.Context, service string) (Loads, error)) Option {
	return func(p *Planner) { p.loads = f }
}

// WithSheet sets the function that returns what the sheet named by the row "sheet" says about a service. It is called in
// each step, so it keeps what it parsed.
func WithSheet(f func(ctx context.Context, row table.Row, service string) (Sheet, error)) Option {
	return func(p *Planner) { p.sheet = f }
}

// WithExpired sets the function that reports whether the witnesses have proved that a member's lease expired and can't
// be re-acquired. It is called for each member in each step and must be quick for those whose lease is valid.
func WithExpired(f func(ctx context.Context, record member.Record) bool) Option {
	return func(p *Planner) { p.expired = f }
}

// WithSettled sets the function that reports whether the owner of an entry has been seen serving it, see
// placement.Input. It must not return true for an owner that only may serve.
func WithSettled(f func(service string, p int, entry partition.Entry) bool) Option {
	return func(p *Planner) { p.settled = f }
}

// WithReport sets the function that is called for each change that took effect, was held back or can't be made.
func WithReport(f func(Event)) Option {
	return func(p *Planner) { p.report = f }
}

// New returns a planner. WithPlatform, WithIncarnation and WithServices are required.
func New(options ...Option) *Planner {
	p := &Planner{
		interval: DefaultInterval, length: DefaultLease,
		loads:   func(context.Context, string) (Loads, error) { return Loads{}, nil },
		sheet:   func(context.Context, table.Row, string) (Sheet, error) { return Sheet{}, nil },
		expired: func(context.Context, member.Record) bool { return false },
		report:  func(Event) {},
		states:  make(map[string]*serviceState),
		held:    make(map[string][]placement.Held),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Run plans until the context ends, then gives the lease up. Errors of a step are logged, and the next step starts from
// what the table says.
func (p *Planner) Run(ctx context.Context) error {
	if p.table == nil || p.objects == nil || p.services == nil || p.incarnation.IsZero() {
		return code.New(code.BadSettings, "planner: platform, incarnation and services are required")
	}
	defer p.resign(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		start := time.Now()
		if err := p.Step(ctx); err != nil && ctx.Err() == nil {
			klog.ErrorS(err, "planner: step failed")
		}
		timer.Reset(max(p.interval, restFactor*time.Since(start)))
	}
}

// Held returns the moves of a service that the last step held back.
func (p *Planner) Held(service string) []placement.Held {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held[service]
}

// nextWrite returns an identifier of a write that no other write has.
func (p *Planner) nextWrite() string {
	p.writes++
	return fmt.Sprintf("%s/%d", p.incarnation, p.writes)
}

// commit makes a transaction whose last write's value has the member "write" and returns the version of that row. If the
// answer is lost, it reads the row back; code.WriteUnknown means that this failed too.
func (p *Planner) commit(ctx context.Context, transaction table.Transaction, write string) (uint64, error) {
	last := transaction.Writes[len(transaction.Writes)-1].Key
	rows, err := p.table.Commit(ctx, transaction)
	if err == nil && len(rows) > 0 {
		return rows[len(rows)-1].Version, nil
	}
	if c, _ := code.Of(err); err != nil && c != code.WriteUnknown && c != code.PlatformTimeout {
		return 0, err
	}
	stored, readErr := p.table.Get(ctx, last)
	if readErr != nil {
		return 0, code.Wrap(code.WriteUnknown, readErr, "read back row %s", last)
	}
	var row struct {
		Write string `json:"write"`
	}
	if json.Unmarshal(stored.Value, &row) == nil && row.Write == write {
		return stored.Version, nil
	}
	return 0, code.New(code.Conflict, "row %s was not written", last)
}

// Paused returns the reason why a service is paused by the operators' row, or an empty text.
func Paused(row table.Row, service string) (string, error) {
	accepted, err := table.Decode[pause.State](row)
	if err != nil {
		return "", err
	}
	if p, ok := accepted.Value.Paused(service); ok {
		return fmt.Sprintf("paused by %s: %s", p.By, p.Why), nil
	}
	return "", nil
}
