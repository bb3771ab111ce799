package sidecar

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/forward"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/store"
	"sapphiretray/wait"
)

const (
	// fetchTimeout bounds fetching rows from another instance or pushing them to one.
	fetchTimeout = time.Second
	// configFetchTimeout bounds the first fetch of a configuration from another instance. It doubles with each fetch that takes longer,
	// up to maxFetchTimeout. fetchRetryDelay is the pause after all instances that have the configuration were asked.
	configFetchTimeout = 500 * time.Millisecond
	maxFetchTimeout    = 4 * time.Second
	fetchRetryDelay    = 250 * time.Millisecond
	// fetchDelay is how long to wait for the store's change feed before fetching announced rows from another instance.
	fetchDelay = 150 * time.Millisecond
	// readerDelay is how much longer the readers may take. They pause for 250 ms between two calls to the store, and a change is usually
	// announced within 50 ms.
	readerDelay = 60 * time.Millisecond
	// configFetchDelay is how long the store has to deliver an announced configuration before it is fetched from another instance. One
	// with 1,280 routes takes 0.3 s on a link of 10 Mbit/s; when instances also fetched it from each other at once, their links were
	// saturated, leases expired and requests were delayed.
	configFetchDelay = 700 * time.Millisecond
	// configPollInterval is the time between two checks whether an announced configuration is overdue.
	configPollInterval = 50 * time.Millisecond
	// maxAnnouncers bounds the slots whose announcements are kept, three times those of the largest deployment.
	maxAnnouncers = 16 << 10
	// maxSlotBytes bounds the name of a slot that announces versions.
	maxSlotBytes = 256
	// probeInterval is the time between two probes of an unreachable instance, and probeTimeout bounds one, with as much time for the
	// response as for the connection.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 2 * peer.DialTimeout
)

// applyOperatorRows puts what the operator has changed into effect: evacuations and the configuration.
func (sc *Sidecar) applyOperatorRows(rows []store.Row, d store.Delivery) {
	if len(rows) == 0 {
		return
	}
	sc.decodingConfig.Store(true)
	defer sc.decodingConfig.Store(false)
	newest := slices.MaxFunc(rows, func(a, b store.Row) int { return cmp.Compare(a.Version, b.Version) }).Version
	if !sc.configLag.isAnnounced(newest) {
		sc.announceConfig(sc.settings.Slot, newest)
	}
	var behind time.Duration
	// The newest row has arrived, even if it is refused below.
	if since := sc.configLag.arrive(newest); !since.IsZero() {
		behind = time.Since(since)
	}
	// Evacuations go first, since decoding a large configuration takes a slow processor a tenth of a second.
	sc.applyEvacuations(rows, d, behind)
	rows = slices.DeleteFunc(slices.Clone(rows), func(r store.Row) bool { return r.Key != sc.adapters.ConfigKey || r.Deleted })
	slices.SortFunc(rows, func(a, b store.Row) int { return cmp.Compare(b.Version, a.Version) })
	sc.adoptConfig(rows, d, behind)
}

// adoptConfig puts the newest valid configuration of the rows, the newest of which comes first, into effect unless it is older than that in
// effect. behind is the time since another instance announced the newest row, 0 if none did.
func (sc *Sidecar) adoptConfig(rows []store.Row, d store.Delivery, behind time.Duration) {
	sc.adoptMu.Lock()
	defer sc.adoptMu.Unlock()
	for n, row := range rows {
		decoding := time.Now()
		table, err := sc.adapters.DecodeConfig(row.Value)
		if err != nil {
			klog.ErrorS(err, "config: refused", "row", row.Version, "bytes", len(row.Value), "source", d.Source)
			continue
		}
		if current := sc.routes.Load(); current != nil && table.Version() <= current.Version() {
			klog.InfoS("config: ignored because it is not newer", "version", table.Version(), "current", current.Version(),
				"row", row.Version, "source", d.Source)
			continue
		}
		sc.routes.Store(table)
		sc.configRow.Store(&row)
		klog.InfoS("config: in effect", "version", table.Version(), "row", row.Version, "bytes", len(row.Value), "source", d.Source,
			"waited", d.Waited, "took", d.Took, "decoded", time.Since(decoding), "behind", behind, "inDoubt", d.InDoubt,
			"skipped", len(rows)-n-1)
		sc.wakeUp()
		return
	}
}

// rowsChanged applies changed records and key maps. With other records, this instance may have to check the configuration more often.
func (sc *Sidecar) rowsChanged(rows []store.Row, d store.Delivery) {
	sc.applyRows(rows, d)
	if slices.ContainsFunc(rows, func(r store.Row) bool { return strings.HasPrefix(r.Key, member.RowPrefix) }) {
		sc.config.LimitWait()
	}
}

// applyRows applies changed records and key maps.
func (sc *Sidecar) applyRows(rows []store.Row, _ store.Delivery) {
	sc.directory.apply(rows)
	sc.noteJoined(rows)
	if s := sc.session.Load(); s != nil {
		s.updateMap()
	}
	sc.wakeUp()
}

// heartbeatVersions returns the versions that the instance announces in its heartbeats.
func (sc *Sidecar) heartbeatVersions() *peer.Versions {
	return &peer.Versions{Config: sc.config.Newest(), Table: sc.rows.Newest()}
}

// observeHeartbeat handles the versions that another instance announced in a heartbeat.
func (sc *Sidecar) observeHeartbeat(slot string, v *peer.Versions) {
	sc.ObserveVersions(forward.Versions{Slot: slot, Config: v.GetConfig(), Rows: v.GetTable()})
}

// Versions implements forward.VersionExchange.
func (sc *Sidecar) Versions() forward.Versions {
	return forward.Versions{Slot: sc.settings.Slot, Config: sc.config.Newest(), Rows: sc.rows.Newest()}
}

// ObserveVersions implements forward.VersionExchange.
func (sc *Sidecar) ObserveVersions(v forward.Versions) {
	if len(v.Slot) > maxSlotBytes {
		return
	}
	sc.directory.hear(v.Slot)
	// A listing that begins after Expect shows whether the version exists, so the announcement must not count as a later one.
	now := time.Now()
	if known := sc.knownConfig(); v.Config > known && sc.config.Expect(v.Config) {
		if sc.configLag.announce(v.Slot, v.Config, now) {
			klog.InfoS("config: announced by an instance", "row", v.Config, "known", known, "slot", v.Slot)
			sc.announceConfig(v.Slot, v.Config)
		}
		select {
		case sc.configAnnounced <- struct{}{}:
		default:
		}
	}
	sc.rows.Expect(v.Rows)
	if v.Rows > sc.rows.Newest() {
		sc.announcedMu.Lock()
		if _, known := sc.announced[v.Slot]; known || len(sc.announced) < maxAnnouncers {
			sc.announced[v.Slot] = v.Rows
		}
		sc.announcedMu.Unlock()
		select {
		case sc.announcers <- v.Slot:
		default:
		}
	}
}

// fetchAnnounced fetches announced rows from other instances until ctx ends. It asks the readers of the local data centre, because traffic
// between data centres is expensive. The instance that announced the rows is asked only if the readers don't respond or don't get them from
// the store soon: each change is announced to all instances by the one that made it, and its link can't carry the rows to all of them.
func (sc *Sidecar) fetchAnnounced(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case slot := <-sc.announcers:
			wanted := sc.announcedBy(slot)
			wait.For(ctx, fetchDelay)
			failed := sc.fetchRowsFrom(ctx, wanted, sc.readers())
			if wanted > sc.rows.Newest() && wait.For(ctx, readerDelay) {
				readers := slices.DeleteFunc(sc.readers(), func(s string) bool { return slices.Contains(failed, s) })
				sc.fetchRowsFrom(ctx, wanted, append(readers, slot))
			}
		}
	}
}

// fetchRowsFrom fetches rows from one instance after the other until those of the wanted version have arrived. It returns the slots of
// those that didn't respond.
func (sc *Sidecar) fetchRowsFrom(ctx context.Context, wanted uint64, slots []string) (failed []string) {
	for _, slot := range slots {
		if slot == sc.settings.Slot || wanted <= sc.rows.Newest() || ctx.Err() != nil {
			continue
		}
		if _, ok := sc.fetchAndMerge(ctx, slot, sc.rows, fetchTimeout); !ok {
			failed = append(failed, slot)
		}
	}
	return failed
}

// announcedBy returns the last newer version of the rows that an instance has announced.
func (sc *Sidecar) announcedBy(slot string) uint64 {
	sc.announcedMu.Lock()
	defer sc.announcedMu.Unlock()
	return sc.announced[slot]
}

// fetchConfig fetches announced configurations that the store doesn't deliver from other instances, until ctx ends. Those that have
// announced them are asked first.
func (sc *Sidecar) fetchConfig(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sc.configAnnounced:
		}
		timeout := configFetchTimeout
		tried := make(map[string]bool)
		// After a failed fetch, another timeout isn't spent on an instance that doesn't respond.
		failed := false
		for delay := fetchDelay; sc.isConfigMissing() && wait.For(ctx, delay); {
			delay = configPollInterval
			if !sc.isConfigOverdue(time.Now()) {
				continue
			}
			slot, ok := sc.configSource(tried)
			if failed {
				if responding, found := sc.respondingSource(ctx, tried); found {
					slot, ok = responding, true
				}
			}
			if !ok {
				clear(tried)
				delay = fetchRetryDelay
				continue
			}
			tried[slot] = true
			started := time.Now()
			_, ok = sc.fetchAndMerge(ctx, slot, sc.config, timeout)
			failed = failed || !ok
			if !ok && time.Since(started) >= timeout {
				// The transfer may take longer than the timeout.
				timeout = min(2*timeout, maxFetchTimeout)
			}
		}
	}
}

// isConfigOverdue reports whether an announced configuration should be fetched from another instance, see isOverdue. While the store
// responds, a fetch would delay its responses on a slow link.
func (sc *Sidecar) isConfigOverdue(now time.Time) bool {
	since := sc.configLag.since(sc.knownConfig())
	if responded := sc.config.Responded(); !since.IsZero() && responded.After(since) {
		since = responded
	}
	return isOverdue(sc.config.Reachable(), since, now)
}

// isOverdue reports whether the store can't be reached, or hasn't delivered a newer configuration within configFetchDelay after another
// instance announced it. A zero behindSince means that none was announced.
func isOverdue(reachable bool, behindSince, now time.Time) bool {
	return !reachable || !behindSince.IsZero() && now.Sub(behindSince) >= configFetchDelay
}

// isConfigOutdated reports whether a newer configuration than that in effect has arrived, was announced by another instance, or may exist
// because the last call to the store failed.
func (sc *Sidecar) isConfigOutdated() bool {
	return sc.decodingConfig.Load() || sc.isConfigMissing() || sc.config.InDoubt()
}

// isConfigMissing reports whether another instance has announced a newer configuration than this one has.
func (sc *Sidecar) isConfigMissing() bool { return !sc.configLag.since(sc.knownConfig()).IsZero() }

// knownConfig drops the announcements of configurations that the store doesn't have, and returns the newest version of the row that this
// instance can't lack.
func (sc *Sidecar) knownConfig() uint64 {
	if version, listed := sc.config.Unknown(); version > 0 {
		sc.configLag.drop(version, listed)
	}
	return sc.config.Known()
}

// fetchAndMerge merges the newer rows of a table from an instance. It returns the version up to which they are complete, which is 0 if
// the instance doesn't know all changes, and false if the call fails.
func (sc *Sidecar) fetchAndMerge(ctx context.Context, slot string, f *store.Follower, timeout time.Duration) (complete uint64, ok bool) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rows, version, err := sc.fetchRows(ctx, slot, f)
	if f == sc.config {
		rows = sc.adoptLostConfig(rows)
	}
	if err != nil {
		if !errors.Is(context.Cause(ctx), context.Canceled) {
			sc.fetchLog(f).InfoS("news: fetch failed", "slot", slot, "table", f.Table(), "took", time.Since(started), "err", err)
		}
		return 0, false
	}
	sc.fetchLog(f).InfoS("news: fetched", "slot", slot, "table", f.Table(), "rows", len(rows), "version", version,
		"took", time.Since(started))
	f.MergeUpTo(rows, version)
	return version, true
}

// fetchLog returns the log level of fetches of a table. Fetches of the configuration are rare and are always logged.
func (sc *Sidecar) fetchLog(f *store.Follower) klog.Verbose {
	if f == sc.config {
		return klog.V(0)
	}
	return klog.V(1)
}

// fetchRows returns the rows of an instance that are newer than the follower's, and the version up to which they are complete.
func (sc *Sidecar) fetchRows(ctx context.Context, slot string, f *store.Follower) ([]store.Row, uint64, error) {
	client, err := sc.dialSlot(slot)
	if err != nil {
		return nil, 0, err
	}
	response, err := client.Fetch(ctx, &peer.FetchRequest{Kind: f.Table(), Have: f.Version()})
	if err != nil {
		return nil, 0, err
	}
	rows, err := store.DecodeRows(response.GetValue())
	return rows, response.GetVersion(), err
}

// probeUnreachable probes the unreachable instances at intervals and marks those that respond as reachable.
func (sc *Sidecar) probeUnreachable(ctx context.Context) {
	last := 0
	for ctx.Err() == nil {
		wait.For(ctx, probeInterval)
		unreachable := sc.directory.unreachableSlots()
		if len(unreachable) > last {
			sc.config.LimitWait()
		}
		last = len(unreachable)
		for _, slot := range unreachable {
			r, ok := sc.directory.record(slot)
			if !ok {
				continue
			}
			sc.group.Go(func() error {
				if sc.responds(ctx, r) {
					sc.directory.markReachable(slot)
				}
				return nil
			})
		}
	}
}
