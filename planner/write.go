package planner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sapphiretray/code"
	"sapphiretray/partition"
	"sapphiretray/placement"
	"sapphiretray/table"
)

// writePlan writes a plan's changes by compare-and-set. The conditions include the lease, so that a planner that lost it
// changes nothing, and the pause and the sheet, so that the write fails if one of them changed after planning.
func (p *Planner) writePlan(ctx context.Context, t *tableState, service string, plan placement.Plan) error {
	s := p.state(service)
	row, next, err := p.nextRow(ctx, s, plan)
	if err != nil {
		return err
	}
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	events := planEvents(service, row.Version, s.rowVersion == 0, plan)
	s.useBudget(plan)
	version, err := p.commit(ctx, table.Transaction{
		Conditions: []table.Condition{
			{Key: MapKey(service), Version: s.rowVersion},
			{Key: LeaseKey, Version: p.lease.version},
			{Key: PauseKey, Version: t.pause.Version},
			{Key: SheetKey, Version: t.sheet.Version},
		},
		Writes: []table.Write{{Key: MapKey(service), Value: value}},
	}, row.WriteID)
	var conflict *table.ConflictError
	switch {
	case errors.As(err, &conflict):
		s.undoBudgetUse()
		p.dropLeaseOnConflict(conflict)
		return err
	case err != nil:
		// The write may still take effect; the next read of the row shows whether it did.
		s.unconfirmed[row.WriteID] = events
		return err
	}
	s.current, s.row, s.rowVersion = next, row, version
	p.reportAll(events)
	return nil
}

// dropLeaseOnConflict drops the lease if the lease row is among the conflicts, which means that another planner took it.
func (p *Planner) dropLeaseOnConflict(conflict *table.ConflictError) {
	for _, row := range conflict.Rows() {
		if row.Key == LeaseKey {
			p.dropLease()
		}
	}
}

// nextRow returns the row and the map with a plan's changes. If the row needs a new snapshot, nextRow writes it.
func (p *Planner) nextRow(ctx context.Context, s *serviceState, plan placement.Plan) (MapRow, *partition.Map, error) {
	batch := Batch{BaseVersion: s.current.Version(), Version: s.current.Version(), WriteID: p.nextWriteID(), Moves: plan.Moves()}
	for _, o := range plan.Overrides {
		batch.Overrides = append(batch.Overrides, o.Hash)
	}
	for range maxSnapshotAttempts {
		batch.Version++
		next, err := s.current.Change(batch.Version, batch.Overrides, batch.Moves)
		if err != nil {
			return MapRow{}, nil, err
		}
		row, needsSnapshot := s.row.withBatch(batch)
		if !needsSnapshot {
			return row, next, nil
		}
		row.Snapshot, row.SnapshotVersion = fmt.Sprintf("%s/%d", MapKey(next.Service()), next.Version()), next.Version()
		err = p.putSnapshot(ctx, row.Snapshot, next)
		if c, _ := code.Of(err); c == code.Conflict {
			continue
		}
		return row, next, err
	}
	return MapRow{}, nil, code.New(code.Conflict, "map %s: snapshots with other content exist for the versions after %d",
		s.current.Service(), s.current.Version())
}

// putSnapshot writes a snapshot to the object store. The error carries code.Conflict if the name is taken by other content.
func (p *Planner) putSnapshot(ctx context.Context, name string, m *partition.Map) error {
	content, err := m.Encode()
	if err != nil {
		return err
	}
	return p.objects.Put(ctx, name, content)
}

// useBudget counts the moves of a plan that change the serving member against the budget, except those of partitions without an owner.
func (s *serviceState) useBudget(plan placement.Plan) {
	moves := 0
	for _, c := range plan.Changes {
		if c.Kind.ChangesServer() && c.Kind != placement.Unowned {
			moves++
		}
	}
	s.budgetUses = append(s.budgetUses, budgetUse{at: time.Now(), moves: moves})
}

// undoBudgetUse reverts the last call of useBudget.
func (s *serviceState) undoBudgetUse() { s.budgetUses = s.budgetUses[:len(s.budgetUses)-1] }
