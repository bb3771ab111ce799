package instance

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/code"
	"sapphiretray/member"
	"sapphiretray/table"
	"sapphiretray/wait"
)

const (
	// joinWait is how long a new instance waits for other members to choose witnesses from.
	joinWait = 3 * time.Second
	joinPoll = 100 * time.Millisecond
)

// join announces a new incarnation in the table. It returns nil if a planned stop begins first.
func (i *Instance) join(stop, running context.Context) *session {
	for {
		record, version, err := i.tryJoin(stop)
		if err == nil {
			_ = i.state.Fire("joined", record.Incarnation.String())
			return newSession(running, i, record, version)
		}
		if stop.Err() != nil {
			return nil
		}
		klog.Warningf("instance: join failed: %v", err)
		wait.For(stop, retryDelay)
	}
}

func (i *Instance) tryJoin(ctx context.Context) (member.Record, uint64, error) {
	if err := i.awaitUpstream(ctx); err != nil {
		return member.Record{}, 0, err
	}
	row, err := i.table.Get(ctx, member.RowKey(i.settings.Slot()))
	if err != nil {
		return member.Record{}, 0, err
	}
	var old member.Record
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &old); err != nil {
			return member.Record{}, 0, code.Wrap(code.PlatformDown, err, "decode row %s", row.Key)
		}
	}
	record := i.record(old.Incarnation.Number() + 1)
	version, err := i.writeRecord(ctx, record, row.Version)
	if err != nil {
		return member.Record{}, 0, err
	}
	record.Witnesses = chooseWitnesses(record, i.awaitMembers(ctx, record))
	version, err = i.writeRecord(ctx, record, version)
	return record, version, err
}

func (i *Instance) record(number uint64) member.Record {
	s := i.settings
	return member.Record{
		Incarnation: member.NewIncarnation(s.Slot(), number), Service: s.Service(), DataCentre: s.DataCentre(), Region: s.Region(),
		PeerAddress: s.PeerAddress().String(), HeartbeatAddress: s.HeartbeatAddress().String(),
		CallerAddress: s.CallerAddress().String(), AdminAddress: s.AdminAddress().String(),
		Capacity: s.Capacity(), State: member.Joining,
	}
}

// writeRecord replaces the own record. A write whose answer was lost is found by reading back: nobody else writes the same.
func (i *Instance) writeRecord(ctx context.Context, record member.Record, version uint64) (uint64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, code.Wrap(code.BadRequest, err, "encode record")
	}
	key := member.RowKey(record.Incarnation.Slot())
	written, err := i.table.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: key, Version: version}},
		Writes:     []table.Write{{Key: key, Value: value}},
	})
	if err == nil {
		return written[0].Version, nil
	}
	if c, _ := code.Of(err); c != code.WriteUnknown && c != code.Conflict {
		return 0, err
	}
	row, readErr := i.table.Get(ctx, key)
	if readErr == nil && row.Version > version && string(row.Value) == string(value) {
		return row.Version, nil
	}
	return 0, err
}

// awaitMembers returns the members once there are enough others for all witnesses, or after a bounded wait.
func (i *Instance) awaitMembers(ctx context.Context, self member.Record) []member.Record {
	deadline := time.Now().Add(joinWait)
	for {
		members := i.directory.all()
		others := 0
		for _, m := range members {
			if m.Incarnation.Slot() != self.Incarnation.Slot() && m.Region == self.Region && !m.State.Gone() {
				others++
			}
		}
		if others >= manyWitnesses || time.Now().After(deadline) || ctx.Err() != nil {
			return members
		}
		time.Sleep(joinPoll)
	}
}

// setState changes the state in the own record, if the record is still that of this incarnation.
func (s *session) setState(ctx context.Context, state member.State) error {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	record := s.record
	record.State = state
	version, err := s.instance.writeRecord(ctx, record, s.recordVersion)
	if err != nil {
		return err
	}
	s.record, s.recordVersion = record, version
	return nil
}
