package planner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"sapphiretray/member"
	"sapphiretray/partition"
	"sapphiretray/placement"
	"sapphiretray/table"

	"k8s.io/klog/v2"
)

const (
	// SheetKey is the table key of the accepted sheet.
	SheetKey = "sheet"
	// PauseKey is the table key of the pause.
	PauseKey = "pause"
	// expiredAtOnce bounds the records that one step marks as expired: the platform takes a few hundred writes a second.
	expiredAtOnce = 50
	// gatherFor is the time without a change among the members after which a service of which most partitions have no
	// owner gets owners; gatherLimit bounds the wait. Without it the first members to start would get everything, and
	// nearly all of that would have to be moved again.
	gatherFor   = 2 * time.Second
	gatherLimit = 10 * time.Second
	budgetSpan  = time.Minute
	// maxSnapshotNames bounds the versions tried when a snapshot with other content exists, left by a write that failed.
	maxSnapshotNames = 3
)

// serviceState is what the planner remembers of a service from step to step.
type serviceState struct {
	current    *partition.Map
	row        MapRow
	rowVersion uint64
	spent      []spending
	noticed    map[notice]bool
	// unsettled are plans whose write may have taken effect, by the identifier of the write.
	unsettled map[string][]Event
	// members identifies the members seen and since when there was no change; start is the time at which most partitions
	// were first seen without owner.
	members string
	since   time.Time
	start   time.Time
}

type spending struct {
	at    time.Time
	moves int
}

// view is what one step reads once for all services.
type view struct {
	records map[string][]member.Record
	sheet   table.Row
	pause   table.Row
}

func (p *Planner) state(service string) *serviceState {
	s, ok := p.states[service]
	if !ok {
		s = &serviceState{unsettled: make(map[string][]Event)}
		p.states[service] = s
	}
	return s
}

// Step makes one step of the loop: it renews the lease and, if the planner holds it, plans each service once. A service
// that fails doesn't keep others from being planned.
func (p *Planner) Step(ctx context.Context) error {
	leading, err := p.lead(ctx)
	if !leading || err != nil {
		return err
	}
	services, err := p.services(ctx)
	if err != nil {
		return err
	}
	v, err := p.read(ctx)
	if err != nil {
		return err
	}
	var failures []error
	for _, service := range services {
		if err := p.planService(ctx, v, service); err != nil {
			failures = append(failures, fmt.Errorf("service %s: %w", service.Name, err))
		}
	}
	return errors.Join(failures...)
}

func (p *Planner) read(ctx context.Context) (*view, error) {
	v := &view{records: make(map[string][]member.Record)}
	var err error
	// Pause and sheet are read before anything else: their versions are conditions of each write.
	if v.pause, err = p.table.Get(ctx, PauseKey); err != nil {
		return nil, err
	}
	if v.sheet, err = p.table.Get(ctx, SheetKey); err != nil {
		return nil, err
	}
	rows, err := p.table.List(ctx, member.RowPrefix)
	if err != nil {
		return nil, err
	}
	var expired []expiry
	for _, row := range rows {
		var record member.Record
		if err := json.Unmarshal(row.Value, &record); err != nil {
			klog.ErrorS(err, "planner: a member's record is unreadable", "row", row.Key)
			continue
		}
		if !record.State.Gone() && len(expired) < expiredAtOnce && p.expired(ctx, record) {
			expired = append(expired, expiry{row, record})
			continue
		}
		v.records[record.Service] = append(v.records[record.Service], record)
	}
	return v, p.recordExpired(ctx, v, expired)
}

// expiry is a record of a member whose lease is proved to have expired.
type expiry struct {
	row    table.Row
	record member.Record
}

// recordExpired writes the state of expired members and adds their records to the view. A record that changed meanwhile
// is left out of the write and counts as it was read.
func (p *Planner) recordExpired(ctx context.Context, v *view, expiries []expiry) error {
	for len(expiries) > 0 {
		var transaction table.Transaction
		for _, e := range expiries {
			e.record.State = member.Expired
			value, err := json.Marshal(e.record)
			if err != nil {
				return err
			}
			transaction.Conditions = append(transaction.Conditions, table.Condition{Key: e.row.Key, Version: e.row.Version})
			transaction.Writes = append(transaction.Writes, table.Write{Key: e.row.Key, Value: value})
		}
		_, err := p.table.Commit(ctx, transaction)
		var conflict *table.ConflictError
		if errors.As(err, &conflict) && len(conflict.Rows()) > 0 {
			expiries = without(v, expiries, conflict.Rows())
			continue
		}
		if err != nil {
			return err
		}
		for _, e := range expiries {
			e.record.State = member.Expired
			v.records[e.record.Service] = append(v.records[e.record.Service], e.record)
			p.report(Event{
				Service: e.record.Service, Kind: Expired, Old: e.record.Incarnation, Reason: "witnesses proved that its lease expired",
			})
		}
		return nil
	}
	return nil
}

func without(v *view, expiries []expiry, conflicts []table.Row) []expiry {
	return slices.DeleteFunc(expiries, func(e expiry) bool {
		changed := slices.ContainsFunc(conflicts, func(row table.Row) bool { return row.Key == e.row.Key })
		if changed {
			v.records[e.record.Service] = append(v.records[e.record.Service], e.record)
		}
		return changed
	})
}

// planService makes one plan for a service and writes it.
func (p *Planner) planService(ctx context.Context, v *view, service Service) error {
	s := p.state(service.Name)
	created, err := p.refresh(ctx, s, service)
	if err != nil {
		return err
	}
	in, err := p.input(ctx, v, service.Name, s)
	if err != nil {
		return err
	}
	plan := placement.Compute(in)
	if in.Hold == "" && s.gathering(in, plan) {
		in.Hold = "waiting for members to start"
		plan = placement.Compute(in)
	}
	if partitions := s.current.HashPartitions(); partitions != service.Partitions {
		plan.Problems = append(plan.Problems, fmt.Sprintf("the map has %d partitions, the configuration %d; the map's number stays",
			partitions, service.Partitions))
	}
	if created || len(plan.Changes) > 0 || len(plan.Overrides) > 0 {
		if err := p.write(ctx, v, service.Name, plan); err != nil {
			return err
		}
	}
	p.reportWaiting(service.Name, plan)
	return nil
}

// refresh reads the map's row and settles writes whose answer was lost. It reports whether there is no map yet.
func (p *Planner) refresh(ctx context.Context, s *serviceState, service Service) (bool, error) {
	stored, err := p.table.Get(ctx, MapKey(service.Name))
	if err != nil {
		return false, err
	}
	if stored.Version == 0 {
		s.row, s.rowVersion = MapRow{Partitions: service.Partitions}, 0
		s.current, err = partition.New(service.Name, service.Partitions)
		return true, err
	}
	if stored.Version == s.rowVersion {
		return false, nil
	}
	row, err := DecodeMapRow(stored.Value)
	if err != nil {
		return false, err
	}
	m, err := row.Map(ctx, p.objects, service.Name, s.current)
	if err != nil {
		return false, err
	}
	s.current, s.row, s.rowVersion = m, row, stored.Version
	for write, events := range s.unsettled {
		made := row.Write == write || slices.ContainsFunc(row.Batches, func(b Batch) bool { return b.Write == write })
		if made {
			p.reportAll(events)
		}
		if made || len(events) == 0 || row.Version >= events[0].Version {
			delete(s.unsettled, write)
		}
	}
	return false, nil
}

func (p *Planner) reportAll(events []Event) {
	for _, e := range events {
		p.report(e)
	}
}

func (p *Planner) input(ctx context.Context, v *view, service string, s *serviceState) (placement.Input, error) {
	in := placement.Input{Map: s.current}
	sheet, err := p.sheet(ctx, v.sheet, service)
	if err != nil {
		return in, err
	}
	if in.Hold, err = Paused(v.pause, service); err != nil {
		// An unreadable pause may be one of this service.
		klog.ErrorS(err, "planner: the pause row is unreadable")
		in.Hold = "the pause row is unreadable"
	}
	if in.Hold == "" {
		in.Hold = sheet.Hold
	}
	loads, err := p.loads(ctx, service)
	if err != nil {
		klog.ErrorS(err, "planner: loads are unknown, members count by capacity", "service", service)
		loads = Loads{}
	}
	in.Rules, in.Loads, in.HotKeys = sheet.Rules, loads.Partitions, loads.HotKeys
	in.Budget = s.budget(sheet)
	if p.settled != nil {
		in.Settled = func(part int, entry partition.Entry) bool { return p.settled(service, part, entry) }
	}
	for _, record := range v.records[service] {
		if capacity, ok := sheet.Capacities[record.Incarnation.Slot()]; ok {
			record.Capacity = capacity
		}
		load, reported := loads.Members[record.Incarnation]
		in.Members = append(in.Members, placement.Member{Record: record, Load: load.Total, Age: load.Age, Reported: reported})
	}
	return in, nil
}

// budget returns the moves that are left of the budget of the last minute.
func (s *serviceState) budget(sheet Sheet) int {
	budget := DefaultBudget
	if sheet.Budget != nil {
		budget = *sheet.Budget
	}
	now := time.Now()
	s.spent = slices.DeleteFunc(s.spent, func(sp spending) bool { return now.Sub(sp.at) >= budgetSpan })
	for _, sp := range s.spent {
		budget -= sp.moves
	}
	return max(budget, 0)
}

// gathering reports whether most partitions have no owner and members are still starting.
func (s *serviceState) gathering(in placement.Input, plan placement.Plan) bool {
	unowned := 0
	for _, c := range plan.Changes {
		if c.Kind == placement.Unowned {
			unowned++
		}
	}
	if 2*unowned <= s.current.Partitions() {
		s.start = time.Time{}
		return false
	}
	var b strings.Builder
	joining := false
	for _, m := range in.Members {
		if m.Record.State == member.Ready || m.Record.State == member.Joining {
			b.WriteString(m.Record.Incarnation.String() + " " + string(m.Record.State) + "\n")
		}
		joining = joining || m.Record.State == member.Joining
	}
	now := time.Now()
	if s.start.IsZero() {
		s.start = now
	}
	if members := b.String(); members != s.members || s.start.Equal(now) {
		s.members, s.since = members, now
	}
	return now.Sub(s.start) < gatherLimit && (joining || now.Sub(s.since) < gatherFor)
}
