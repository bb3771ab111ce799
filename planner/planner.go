// Package planner runs the control loop that adapts the partition maps to the instances, their loads and the operators' rules.
// Any instance may run it; only the holder of the planner lease changes anything. Correctness doesn't depend on the lease:
// each write is a compare-and-set on the map's row, the lease, and the pause and sheet rows that the plan was computed from.
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
	"sapphiretray/processor"
	"sapphiretray/table"

	"k8s.io/klog/v2"
)

const (
	// DefaultInterval is the time between two planning steps.
	DefaultInterval = time.Second
	// DefaultMovesPerMinute is the budget of planned moves of a service for which the sheet sets none.
	DefaultMovesPerMinute = 60
	// minIdleFactor is the minimum pause after a step as a multiple of the processor time that the process used during it. It limits
	// planning to about 5% of a core, also with very many instances. Time in which a step waits for the platform or other instances, or
	// in which the process is suspended, doesn't count.
	minIdleFactor = 20
)

// Service is a service and the number of partitions that its keys are hashed to.
type Service struct {
	Name       string
	Partitions int
}

// LoadReport is the load report of one instance of a service.
type LoadReport struct {
	Total float64
	Age   time.Duration
}

// Loads are the measured loads of one service.
type Loads struct {
	// Members holds the load reports of the service's instances.
	Members map[member.Incarnation]LoadReport
	// Partitions is the load by partition; a negative one is unknown.
	Partitions []float64
	HotKeys    []placement.HotKey
}

// ServiceSheet holds the part of the operators' sheet that applies to one service.
type ServiceSheet struct {
	Rules placement.Rules
	// Budget is the maximum number of planned moves a minute; nil stands for DefaultMovesPerMinute.
	Budget *int
	// Capacities overrides the capacities in the member records, by the instance's slot.
	Capacities map[string]float64
	// HoldReason is the reason why moves that change the serving member are held back, such as the modes observe and propose. It
	// is empty if they aren't held back.
	HoldReason string
}

// Planner runs the control loop. Use New.
type Planner struct {
	table         Table
	objects       ObjectStore
	incarnation   member.Incarnation
	interval      time.Duration
	leaseDuration time.Duration
	services      func(context.Context) ([]Service, error)
	loads         func(context.Context, string) (Loads, error)
	sheet         func(context.Context, table.Row, string) (ServiceSheet, error)
	expired       func(context.Context, member.Record) bool
	settled       func(service string, p int, entry partition.Entry) bool
	report        func(Event)

	writeCount uint64
	states     map[string]*serviceState

	// mu guards heldMoves and the fields of lease that Leading reads. Only Step and Run use the other fields.
	mu        sync.Mutex
	lease     lease
	heldMoves map[string][]placement.Held
}

// Option configures a Planner that New creates.
type Option func(*Planner)

// WithPlatform sets the clients of the table service and the object store.
func WithPlatform(t Table, o ObjectStore) Option {
	return func(p *Planner) { p.table, p.objects = t, o }
}

// WithIncarnation sets the incarnation of the instance that runs the planner, which the lease names as its holder.
func WithIncarnation(i member.Incarnation) Option {
	return func(p *Planner) { p.incarnation = i }
}

// WithInterval sets the time between two planning steps.
func WithInterval(d time.Duration) Option {
	return func(p *Planner) { p.interval = d }
}

// WithLeaseDuration sets the duration of the planner lease.
func WithLeaseDuration(d time.Duration) Option {
	return func(p *Planner) { p.leaseDuration = d }
}

// WithServices sets the function that returns the services of the accepted configuration.
func WithServices(f func(ctx context.Context) ([]Service, error)) Option {
	return func(p *Planner) { p.services = f }
}

// WithLoads sets the function that collects the loads of a service. Without it, placement uses capacities only.
func WithLoads(f func(ctx context.Context, service string) (Loads, error)) Option {
	return func(p *Planner) { p.loads = f }
}

// WithSheet sets the function that returns the part of the sheet that applies to a service; row is the row "sheet", which
// names the sheet. It is called for each service in each step, so it should cache the parsed sheet.
func WithSheet(f func(ctx context.Context, row table.Row, service string) (ServiceSheet, error)) Option {
	return func(p *Planner) { p.sheet = f }
}

// WithExpired sets the function that reports whether the witnesses have proved that an instance's lease expired and can't
// be re-acquired. It is called for each instance in each step and must be fast for instances with a valid lease.
func WithExpired(f func(ctx context.Context, record member.Record) bool) Option {
	return func(p *Planner) { p.expired = f }
}

// WithSettled sets the function that reports whether the owner of an entry has been seen serving it, see
// placement.Input. It must return false for an owner that may serve the partition but hasn't been seen to do so.
func WithSettled(f func(service string, p int, entry partition.Entry) bool) Option {
	return func(p *Planner) { p.settled = f }
}

// WithReport sets the function that is called with each event.
func WithReport(f func(Event)) Option {
	return func(p *Planner) { p.report = f }
}

// New returns a planner. WithPlatform, WithIncarnation and WithServices are required.
func New(options ...Option) *Planner {
	p := &Planner{
		interval: DefaultInterval, leaseDuration: DefaultLeaseDuration,
		loads:     func(context.Context, string) (Loads, error) { return Loads{}, nil },
		sheet:     func(context.Context, table.Row, string) (ServiceSheet, error) { return ServiceSheet{}, nil },
		expired:   func(context.Context, member.Record) bool { return false },
		report:    func(Event) {},
		states:    make(map[string]*serviceState),
		heldMoves: make(map[string][]placement.Held),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Run plans until the context ends, then releases the lease. Errors of a step are logged, and the next step starts from
// the state of the table. The error carries code.BadSettings if a required option is missing.
func (p *Planner) Run(ctx context.Context) error {
	if p.table == nil || p.objects == nil || p.services == nil || p.incarnation.IsZero() {
		return code.New(code.BadSettings, "planner: platform, incarnation and services are required")
	}
	defer p.releaseLease(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		start, used := time.Now(), processor.Time()
		if err := p.Step(ctx); err != nil && ctx.Err() == nil {
			klog.ErrorS(err, "planner: step failed")
		}
		timer.Reset(max(p.interval, minIdleFactor*min(time.Since(start), processor.Time()-used)))
	}
}

// HeldMoves returns the moves of a service that the last step held back.
func (p *Planner) HeldMoves(service string) []placement.Held {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heldMoves[service]
}

// nextWriteID returns a unique identifier for a write.
func (p *Planner) nextWriteID() string {
	p.writeCount++
	return fmt.Sprintf("%s/%d", p.incarnation, p.writeCount)
}

// commit runs a transaction and returns the new version of the row that its last write changes, whose value contains writeID
// in the field "write". If the response is lost, commit reads the row back; an error with code.WriteUnknown means that this
// failed, too, and one with code.Conflict that the transaction had no effect.
func (p *Planner) commit(ctx context.Context, transaction table.Transaction, writeID string) (uint64, error) {
	key := transaction.Writes[len(transaction.Writes)-1].Key
	rows, err := p.table.Commit(ctx, transaction)
	if err == nil && len(rows) > 0 {
		return rows[len(rows)-1].Version, nil
	}
	if c, _ := code.Of(err); err != nil && c != code.WriteUnknown && c != code.PlatformTimeout {
		return 0, err
	}
	stored, readErr := p.table.Get(ctx, key)
	if readErr != nil {
		return 0, code.Wrap(code.WriteUnknown, readErr, "read back row %s", key)
	}
	var row struct {
		Write string `json:"write"`
	}
	if json.Unmarshal(stored.Value, &row) == nil && row.Write == writeID {
		return stored.Version, nil
	}
	return 0, code.New(code.Conflict, "row %s was not written", key)
}

// PauseReason returns who paused a service and why, by the given pause row, or "" if the service isn't paused. The error carries
// code.BadConfig if the row is malformed.
func PauseReason(row table.Row, service string) (string, error) {
	accepted, err := table.Decode[pause.State](row)
	if err != nil {
		return "", err
	}
	if p, ok := accepted.Value.Paused(service); ok {
		return fmt.Sprintf("paused by %s: %s", p.By, p.Why), nil
	}
	return "", nil
}
