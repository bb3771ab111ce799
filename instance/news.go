package instance

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/config"
	"sapphiretray/member"
	"sapphiretray/pause"
	"sapphiretray/peer"
	"sapphiretray/planner"
	"sapphiretray/sheet"
	"sapphiretray/table"
	"sapphiretray/timeline"
)

const (
	pollInterval = time.Second
	fetchTimeout = time.Second
	// readersPerDataCentre bounds the instances that poll the table: 5 data centres x 3 readers x 1 read a second are well
	// below the platform's two thousand reads a second.
	readersPerDataCentre = 3
)

// pollTable reads changed rows once a second if this instance is one of the readers of its data centre, and as long as it
// has no members to learn from.
func (i *Instance) pollTable(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if i.isReader() {
			revision := i.rows.Revision()
			if changes, err := i.table.Changes(ctx, revision); err == nil {
				i.apply(ctx, revision, changes)
			} else if ctx.Err() == nil {
				klog.V(1).Infof("table: poll failed: %v", err)
			}
		}
		select {
		case <-ticker.C:
		case <-i.changed:
		case <-ctx.Done():
			return
		}
	}
}

// isReader reports whether this instance is among the first of its data centre in the order of a hash of the slot.
func (i *Instance) isReader() bool {
	s := i.session.Load()
	if s == nil || !s.lease().Valid() {
		return true
	}
	return i.directory.precede(i.settings.Region(), i.settings.DataCentre(), i.settings.Slot()) < readersPerDataCentre
}

// versions are what the instance announces with each heartbeat.
func (i *Instance) versions() *peer.Versions {
	return &peer.Versions{Table: i.rows.Revision(), Clock: uint64(i.clock.Now())}
}

// observe takes what another instance announced.
func (i *Instance) observe(slot string, v *peer.Versions) {
	i.clock.Observe(timeline.Stamp(v.GetClock()))
	if v.GetTable() > i.rows.Revision() {
		i.requestFetch(slot)
	}
}

// fetchNews fetches the rows that are missing here from the instances that announced them.
func (i *Instance) fetchNews(ctx context.Context) {
	for {
		select {
		case slot := <-i.fetches:
			if err := i.fetch(ctx, slot); err != nil {
				klog.V(1).Infof("peer: fetch from %s failed: %v", slot, err)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (i *Instance) fetch(ctx context.Context, slot string) error {
	client, err := i.dialSlot(slot)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	revision := i.rows.Revision()
	answer, err := client.Fetch(ctx, &peer.FetchRequest{Have: revision})
	if err != nil {
		return err
	}
	var changes table.Changes
	if err := json.Unmarshal(answer.GetValue(), &changes); err != nil {
		return err
	}
	i.apply(ctx, revision, changes)
	return nil
}

// apply takes changed rows and puts them into effect.
func (i *Instance) apply(ctx context.Context, after uint64, changes table.Changes) {
	for _, row := range i.rows.merge(after, changes) {
		switch {
		case strings.HasPrefix(row.Key, member.RowPrefix):
			i.applyMember(row)
		case strings.HasPrefix(row.Key, planner.MapPrefix):
			i.applyMap(ctx, row)
		case row.Key == config.RowKey:
			i.applyConfig(row)
		case row.Key == sheet.RowKey:
			_ = i.sheetState.Fire("accepted", "version "+strconv.FormatUint(i.acceptedVersion(row.Key), 10)+" is in effect")
		case row.Key == pause.RowKey:
			i.applyPause(row)
		}
	}
}

func (i *Instance) applyMember(row table.Row) {
	gone := i.directory.setMember(row)
	s := i.session.Load()
	if s == nil {
		return
	}
	for _, g := range gone {
		if g == s.self {
			s.end("the table names a newer incarnation or records this one as expired")
			continue
		}
		s.owned.SetGone(g)
	}
}

func (i *Instance) applyMap(ctx context.Context, row table.Row) {
	name := strings.TrimPrefix(row.Key, planner.MapPrefix)
	decoded, err := planner.DecodeMapRow(row.Value)
	if err != nil {
		klog.Errorf("map: row %s can't be decoded: %v", row.Key, err)
		return
	}
	m, err := decoded.Map(ctx, i.objects, name, i.directory.Map(name))
	if err != nil {
		klog.Errorf("map: %s can't be built: %v", name, err)
		return
	}
	if i.directory.setMap(m) && name == i.settings.Service() {
		if s := i.session.Load(); s != nil {
			s.owned.Update(m)
		}
	}
}

func (i *Instance) applyConfig(row table.Row) {
	accepted, err := table.Decode[config.Config](row)
	if err != nil {
		klog.Errorf("config: row can't be decoded: %v", err)
		return
	}
	i.routes.current.Store(&accepted.Value)
	i.log.Add(timeline.Event{Chart: "config", Subject: "config", Trigger: "in-effect", To: strconv.FormatUint(accepted.Version, 10)})
	klog.Infof("config: version %d is in effect", accepted.Version)
}

// applyPause records that moves are held back or go on; the planner reads the row itself before it writes a move.
func (i *Instance) applyPause(row table.Row) {
	accepted, err := table.Decode[pause.State](row)
	if err != nil {
		klog.Errorf("pause: row can't be decoded: %v", err)
		return
	}
	trigger := "resumed"
	targets := accepted.Value.Targets()
	if len(targets) > 0 {
		trigger = "paused"
	}
	_ = i.sheetState.Fire(trigger, "paused: "+strings.Join(targets, ", "))
}

// acceptedVersion returns the version of an operators' row that is in effect here, and 0 if there is none.
func (i *Instance) acceptedVersion(key string) uint64 {
	accepted, err := table.Decode[json.RawMessage](i.rows.get(key))
	if err != nil {
		return 0
	}
	return accepted.Version
}
