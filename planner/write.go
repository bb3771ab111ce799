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

// write makes a plan's changes by compare-and-set. The conditions include the lease, so that a planner that lost it
// changes nothing, and the pause and the sheet, so that a pause that is accepted after planning stops the write.
func (p *Planner) write(ctx context.Context, v *view, service string, plan placement.Plan) error {
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
	s.spend(plan)
	version, err := p.commit(ctx, table.Transaction{
		Conditions: []table.Condition{
			{Key: MapKey(service), Version: s.rowVersion},
			{Key: LeaseKey, Version: p.lease.version},
			{Key: PauseKey, Version: v.pause.Version},
			{Key: SheetKey, Version: v.sheet.Version},
		},
		Writes: []table.Write{{Key: MapKey(service), Value: value}},
	}, row.Write)
	var conflict *table.ConflictError
	switch {
	case errors.As(err, &conflict):
		s.refund()
		p.yield(conflict)
		return err
	case err != nil:
		// The write may still take effect; the next read of the row tells.
		s.unsettled[row.Write] = events
		return err
	}
	s.current, s.row, s.rowVersion = next, row, version
	p.reportAll(events)
	return nil
}

// yield drops the lease if the conflict shows that someone else has it.
func (p *Planner) yield(conflict *table.ConflictError) {
	for _, row := range conflict.Rows() {
		if row.Key == LeaseKey {
			p.drop()
		}
	}
}

// nextRow returns the row and the map after a plan, and writes the snapshot that the row names if it names a new one.
func (p *Planner) nextRow(ctx context.Context, s *serviceState, plan placement.Plan) (MapRow, *partition.Map, error) {
	batch := Batch{After: s.current.Version(), Version: s.current.Version(), Write: p.nextWrite(), Moves: plan.Moves()}
	for _, o := range plan.Overrides {
		batch.Overrides = append(batch.Overrides, o.Hash)
	}
	for range maxSnapshotNames {
		batch.Version++
		next, err := s.current.Change(batch.Version, batch.Overrides, batch.Moves)
		if err != nil {
			return MapRow{}, nil, err
		}
		row, snapshot := s.row.next(batch)
		if !snapshot {
			return row, next, nil
		}
		row.Snapshot, row.SnapshotVersion = fmt.Sprintf("%s/%d", MapKey(next.Service()), next.Version()), next.Version()
		err = p.putSnapshot(ctx, row.Snapshot, next)
		if c, _ := code.Of(err); c == code.Conflict {
			continue
		}
		return row, next, err
	}
	return MapRow{}, nil, code.New(code.Conflict, "map %s: snapshots after version %d exist with other content",
		s.current.Service(), s.current.Version())
}

func (p *Planner) putSnapshot(ctx context.Context, name string, m *partition.Map) error {
	content, err := m.Encode()
	if err != nil {
		return err
	}
	return p.objects.Put(ctx, name, content)
}

func (s *serviceState) spend(plan placement.Plan) {
	moves := 0
	for _, c := range plan.Changes {
		if c.Kind.ChangesServer() && c.Kind != placement.Unowned {
			moves++
		}
	}
	s.spent = append(s.spent, spending{at: time.Now(), moves: moves})
}

func (s *serviceState) refund() { s.spent = s.spent[:len(s.spent)-1] }
