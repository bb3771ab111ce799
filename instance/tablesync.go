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
	// pollInterval is the time between two reads of the table.
	pollInterval = time.Second
	// fetchTimeout bounds a fetch of rows from another instance, and the write of a batch of events.
	fetchTimeout = time.Second
	// readersPerDataCentre bounds the instances that poll the table: 5 data centres x 3 readers x 1 read a second are far
	// below the platform's limit of 2000 reads a second.
	readersPerDataCentre = 3
)

// pollTable reads changed rows every pollInterval, and at once after pollNow, while this instance is a reader. Others do so while they lack
// an announced revision for longer, which may not exist.
func (i *Instance) pollTable(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var announced uint64
	for {
		before := announced
		announced = i.routes.announced.Load()
		if i.isReader() || before > i.rowCache.Revision() {
			i.poll(ctx)
		} else {
			i.routes.pollFailed.Store(false)
		}
		select {
		case <-ticker.C:
		case <-i.pollNow:
		case <-ctx.Done():
			return
		}
	}
}

// poll reads the rows that have changed. Announced revisions above that of the table don't exist.
func (i *Instance) poll(ctx context.Context) {
	announced, revision := i.routes.announced.Load(), i.rowCache.Revision()
	changes, err := i.table.Changes(ctx, revision)
	if err == nil {
		i.apply(revision, changes)
		i.routes.announced.CompareAndSwap(announced, 0)
	} else if ctx.Err() == nil {
		klog.V(1).Infof("table: poll failed: %v", err)
	}
	i.routes.pollFailed.Store(err != nil)
}

// isReader reports whether this instance polls the table: it is among the first readersPerDataCentre ready members of its
// data centre in the order of their slot hashes, or has no valid lease and therefore gets no versions with heartbeats.
func (i *Instance) isReader() bool {
	s := i.session.Load()
	if s == nil || !s.lease().Valid() {
		return true
	}
	return i.directory.hashRank(i.settings.Region(), i.settings.DataCentre(), i.settings.Slot()) < readersPerDataCentre
}

// versions returns the table revision and the clock that the instance sends with heartbeats.
func (i *Instance) versions() *peer.Versions {
	return &peer.Versions{Table: i.rowCache.Revision(), Clock: uint64(i.clock.Now())}
}

// observeVersions advances the clock to that of another instance, and fetches rows if the other one has a newer revision.
func (i *Instance) observeVersions(slot string, v *peer.Versions) {
	i.clock.Observe(timeline.Stamp(v.GetClock()))
	if v.GetTable() > i.rowCache.Revision() {
		i.routes.announce(v.GetTable())
		requestFetch(i.fetchRequests, slot)
	}
}

// runFetches fetches missing rows from the instances whose slots arrive in fetchRequests and refreshRequests, one at a time.
func (i *Instance) runFetches(ctx context.Context) {
	for {
		var slot string
		select {
		case slot = <-i.fetchRequests:
		case slot = <-i.refreshRequests:
		case <-ctx.Done():
			return
		}
		if err := i.fetch(ctx, slot); err != nil {
			klog.V(1).Infof("peer: fetch from %s failed: %v", slot, err)
		}
	}
}

// fetch gets the rows that were written after the cache's revision from the instance in a slot, and puts them into effect.
func (i *Instance) fetch(ctx context.Context, slot string) error {
	client, err := i.dialSlot(slot)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	revision := i.rowCache.Revision()
	response, err := client.Fetch(ctx, &peer.FetchRequest{Have: revision})
	if err != nil {
		return err
	}
	var changes table.Changes
	if err := json.Unmarshal(response.GetValue(), &changes); err != nil {
		return err
	}
	i.apply(revision, changes)
	return nil
}

// apply merges rows that were written after the revision since into the cache, and puts those that changed into effect.
// runMaps does so with maps.
func (i *Instance) apply(since uint64, changes table.Changes) {
	i.applyMu.Lock()
	defer i.applyMu.Unlock()
	for _, row := range i.rowCache.merge(since, changes) {
		switch {
		case strings.HasPrefix(row.Key, member.RowPrefix):
			i.applyMember(row)
		case strings.HasPrefix(row.Key, planner.MapPrefix):
			i.pendingMaps.add(row)
			select {
			case i.mapsChanged <- struct{}{}:
			default:
			}
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
	ended := i.directory.setMember(row)
	s := i.session.Load()
	if s == nil {
		return
	}
	for _, incarnation := range ended {
		if incarnation == s.self {
			s.end("the table names a newer incarnation or records this one as expired")
			continue
		}
		s.owned.SetEnded(incarnation)
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

// applyPause records that moves were paused or resumed; the planner reads the row itself before it writes a move.
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

// acceptedVersion returns the version of a row that operators write (config, sheet or pause) as this instance has it in effect,
// and 0 if there is none.
func (i *Instance) acceptedVersion(key string) uint64 {
	accepted, err := table.Decode[json.RawMessage](i.rowCache.get(key))
	if err != nil {
		return 0
	}
	return accepted.Version
}
