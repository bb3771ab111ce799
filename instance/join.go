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
	// membersTimeout is how long a new instance waits for other members to choose witnesses from.
	membersTimeout = 3 * time.Second
	// membersPollInterval is the time between two checks of the known members.
	membersPollInterval = 100 * time.Millisecond
)

// join writes the record of a new incarnation to the table and retries until it succeeds. It returns nil if a planned stop
// begins first.
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

// tryJoin writes the record of the next incarnation, waits for other members and adds the chosen witnesses to the record. It
// returns the record and the version of its row.
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
	record := i.newRecord(old.Incarnation.Number() + 1)
	version, err := i.writeRecord(ctx, record, row.Version)
	if err != nil {
		return member.Record{}, 0, err
	}
	record.Witnesses = chooseWitnesses(record, i.awaitMembers(ctx, record))
	version, err = i.writeRecord(ctx, record, version)
	return record, version, err
}

func (i *Instance) newRecord(number uint64) member.Record {
	s := i.settings
	return member.Record{
		Incarnation: member.NewIncarnation(s.Slot(), number), Service: s.Service(), DataCentre: s.DataCentre(), Region: s.Region(),
		PeerAddress: s.PeerAddress().String(), HeartbeatAddress: s.HeartbeatAddress().String(),
		CallerAddress: s.CallerAddress().String(), AdminAddress: s.AdminAddress().String(),
		Capacity: s.Capacity(), State: member.Joining,
	}
}

// writeRecord replaces this instance's record if its row still has the given version, and returns the new version. After a
// conflict or if the outcome of the write is unknown, the row is read back: no other instance writes the same value.
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

// awaitMembers returns the known members once enough others are in the region for the preferred number of witnesses, or after
// membersTimeout.
func (i *Instance) awaitMembers(ctx context.Context, self member.Record) []member.Record {
	deadline := time.Now().Add(membersTimeout)
	for {
		members := i.directory.all()
		others := 0
		for _, m := range members {
			if m.Incarnation.Slot() != self.Incarnation.Slot() && m.Region == self.Region && !m.State.Ended() {
				others++
			}
		}
		if others >= preferredWitnesses || time.Now().After(deadline) || ctx.Err() != nil {
			return members
		}
		time.Sleep(membersPollInterval)
	}
}

// setState changes the state in this instance's record if the record is still that of this incarnation.
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
