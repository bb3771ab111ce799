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
	// PauseKey is the table key of the operators' pauses.
	PauseKey = "pause"
	// maxExpiriesPerStep bounds the records that one step marks as expired, since the platform accepts only a few hundred
	// writes a second.
	maxExpiriesPerStep = 50
	// startupQuietPeriod applies while most partitions of a service have no owner: they are assigned once the set of instances
	// hasn't changed for that long, or after maxStartupWait. Without this wait the first instances to start would get all
	// partitions, and nearly all of them would be moved again.
	startupQuietPeriod = 2 * time.Second
	maxStartupWait     = 10 * time.Second
	// budgetWindow is the time for which a planned move counts against the budget.
	budgetWindow = time.Minute
	// maxSnapshotAttempts bounds the versions that are tried if a write that failed left a snapshot of the same name with
	// other content.
	maxSnapshotAttempts = 3
)

// serviceState is what the planner keeps about a service between steps.
type serviceState struct {
	// current is the newest known map, row the value of its row and rowVersion the row's version in the table.
	current    *partition.Map
	row        MapRow
	rowVersion uint64
	// budgetUses are the moves written in the last budgetWindow.
	budgetUses []budgetUse
	// reported holds the held moves and the problems of the previous step.
	reported map[reportKey]bool
	// unconfirmed holds the events of plans whose write has an unknown outcome, by the identifier of the write.
	unconfirmed map[string][]Event
	// startingInstances lists the ready and joining instances with their states, and unchangedSince is the time of its last
	// change. unownedSince is the time at which most partitions were first found without an owner.
	startingInstances string
	unchangedSince    time.Time
	unownedSince      time.Time
}

// budgetUse is a number of moves that count against the budget and the time at which they were written.
type budgetUse struct {
	at    time.Time
	moves int
}

// tableState holds the rows that a step reads once for all services.
type tableState struct {
	// records holds the member records by service.
	records map[string][]member.Record
	sheet   table.Row
	pause   table.Row
}

// state returns the state of a service, which it creates on the first call.
func (p *Planner) state(service string) *serviceState {
	s, ok := p.states[service]
	if !ok {
		s = &serviceState{unconfirmed: make(map[string][]Event)}
		p.states[service] = s
	}
	return s
}

// Step runs one iteration of the loop: it renews the lease and, if the planner holds it, plans each service once. An error
// of one service doesn't keep the others from being planned.
func (p *Planner) Step(ctx context.Context) error {
	leading, err := p.acquireOrRenewLease(ctx)
	if !leading || err != nil {
		return err
	}
	services, err := p.services(ctx)
	if err != nil {
		return err
	}
	t, err := p.readTable(ctx)
	if err != nil {
		return err
	}
	var failures []error
	for _, service := range services {
		if err := p.planService(ctx, t, service); err != nil {
			failures = append(failures, fmt.Errorf("service %s: %w", service.Name, err))
		}
	}
	return errors.Join(failures...)
}

// readTable reads the rows that all services need and marks instances whose lease is proved to have expired.
func (p *Planner) readTable(ctx context.Context) (*tableState, error) {
	t := &tableState{records: make(map[string][]member.Record)}
	var err error
	// The pause and the sheet are read first, since their versions are conditions of each write.
	if t.pause, err = p.table.Get(ctx, PauseKey); err != nil {
		return nil, err
	}
	if t.sheet, err = p.table.Get(ctx, SheetKey); err != nil {
		return nil, err
	}
	rows, err := p.table.List(ctx, member.RowPrefix)
	if err != nil {
		return nil, err
	}
	var expired []expiredInstance
	for _, row := range rows {
		var record member.Record
		if err := json.Unmarshal(row.Value, &record); err != nil {
			klog.ErrorS(err, "planner: failed to decode a member record", "row", row.Key)
			continue
		}
		if !record.State.Ended() && len(expired) < maxExpiriesPerStep && p.expired(ctx, record) {
			expired = append(expired, expiredInstance{row, record})
			continue
		}
		t.records[record.Service] = append(t.records[record.Service], record)
	}
	return t, p.recordExpired(ctx, t, expired)
}

// expiredInstance is the record of an instance whose lease is proved to have expired, with its row.
type expiredInstance struct {
	row    table.Row
	record member.Record
}

// recordExpired marks the records of expired instances in the table and adds them to t. A record that has changed since it was
// read isn't marked and is added to t as it was read.
func (p *Planner) recordExpired(ctx context.Context, t *tableState, expired []expiredInstance) error {
	for len(expired) > 0 {
		var transaction table.Transaction
		for _, e := range expired {
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
			expired = dropConflicts(t, expired, conflict.Rows())
			continue
		}
		if err != nil {
			return err
		}
		for _, e := range expired {
			e.record.State = member.Expired
			t.records[e.record.Service] = append(t.records[e.record.Service], e.record)
			p.report(Event{
				Service: e.record.Service, Kind: Expired, Old: e.record.Incarnation, Reason: "witnesses proved that its lease expired",
			})
		}
		return nil
	}
	return nil
}

// dropConflicts returns the expired instances without those whose rows are in conflicts, and adds the records of the latter to t.
func dropConflicts(t *tableState, expired []expiredInstance, conflicts []table.Row) []expiredInstance {
	return slices.DeleteFunc(expired, func(e expiredInstance) bool {
		changed := slices.ContainsFunc(conflicts, func(row table.Row) bool { return row.Key == e.row.Key })
		if changed {
			t.records[e.record.Service] = append(t.records[e.record.Service], e.record)
		}
		return changed
	})
}

// planService computes a plan for a service and writes it.
func (p *Planner) planService(ctx context.Context, t *tableState, service Service) error {
	s := p.state(service.Name)
	created, err := p.refreshMap(ctx, s, service)
	if err != nil {
		return err
	}
	in, err := p.placementInput(ctx, t, service.Name, s)
	if err != nil {
		return err
	}
	plan := placement.Compute(in)
	if in.HoldReason == "" && s.waitsForInstances(in, plan) {
		in.HoldReason = "waiting for members to start"
		plan = placement.Compute(in)
	}
	if partitions := s.current.HashPartitions(); partitions != service.Partitions {
		plan.Problems = append(plan.Problems, fmt.Sprintf("the map has %d partitions, the configuration %d; the map's number stays",
			partitions, service.Partitions))
	}
	if created || len(plan.Changes) > 0 || len(plan.Overrides) > 0 {
		if err := p.writePlan(ctx, t, service.Name, plan); err != nil {
			return err
		}
	}
	p.reportHeldAndProblems(service.Name, plan)
	return nil
}

// refreshMap reads the map's row and reports the events of writes with an unknown outcome that turn out to have taken
// effect. It returns true if there is no map yet.
func (p *Planner) refreshMap(ctx context.Context, s *serviceState, service Service) (bool, error) {
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
	for writeID, events := range s.unconfirmed {
		applied := row.WriteID == writeID || slices.ContainsFunc(row.Batches, func(b Batch) bool { return b.WriteID == writeID })
		if applied {
			p.reportAll(events)
		}
		if applied || len(events) == 0 || row.Version >= events[0].Version {
			delete(s.unconfirmed, writeID)
		}
	}
	return false, nil
}

func (p *Planner) reportAll(events []Event) {
	for _, e := range events {
		p.report(e)
	}
}

// placementInput collects what placement needs to plan a service.
func (p *Planner) placementInput(ctx context.Context, t *tableState, service string, s *serviceState) (placement.Input, error) {
	in := placement.Input{Map: s.current}
	sheet, err := p.sheet(ctx, t.sheet, service)
	if err != nil {
		return in, err
	}
	if in.HoldReason, err = PauseReason(t.pause, service); err != nil {
		// Moves are held back, since the row may contain a pause of this service.
		klog.ErrorS(err, "planner: failed to decode the pause row")
		in.HoldReason = "the pause row is unreadable"
	}
	if in.HoldReason == "" {
		in.HoldReason = sheet.HoldReason
	}
	loads, err := p.loads(ctx, service)
	if err != nil {
		klog.ErrorS(err, "planner: failed to collect loads, placement uses capacities only", "service", service)
		loads = Loads{}
	}
	in.Rules, in.Loads, in.HotKeys = sheet.Rules, loads.Partitions, loads.HotKeys
	in.MoveBudget = s.remainingBudget(sheet)
	if p.settled != nil {
		in.Settled = func(part int, entry partition.Entry) bool { return p.settled(service, part, entry) }
	}
	for _, record := range t.records[service] {
		if capacity, ok := sheet.Capacities[record.Incarnation.Slot()]; ok {
			record.Capacity = capacity
		}
		load, reported := loads.Members[record.Incarnation]
		in.Members = append(in.Members, placement.Member{Record: record, Load: load.Total, Age: load.Age, Reported: reported})
	}
	return in, nil
}

// remainingBudget returns the number of moves that the sheet's budget still allows now.
func (s *serviceState) remainingBudget(sheet ServiceSheet) int {
	budget := DefaultMovesPerMinute
	if sheet.Budget != nil {
		budget = *sheet.Budget
	}
	now := time.Now()
	s.budgetUses = slices.DeleteFunc(s.budgetUses, func(use budgetUse) bool { return now.Sub(use.at) >= budgetWindow })
	for _, use := range s.budgetUses {
		budget -= use.moves
	}
	return max(budget, 0)
}

// waitsForInstances reports whether most partitions have no owner and instances are still starting, see startupQuietPeriod.
func (s *serviceState) waitsForInstances(in placement.Input, plan placement.Plan) bool {
	unowned := 0
	for _, c := range plan.Changes {
		if c.Kind == placement.Unowned {
			unowned++
		}
	}
	if 2*unowned <= s.current.Partitions() {
		s.unownedSince = time.Time{}
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
	if s.unownedSince.IsZero() {
		s.unownedSince = now
	}
	if instances := b.String(); instances != s.startingInstances || s.unownedSince.Equal(now) {
		s.startingInstances, s.unchangedSince = instances, now
	}
	return now.Sub(s.unownedSince) < maxStartupWait && (joining || now.Sub(s.unchangedSince) < startupQuietPeriod)
}
