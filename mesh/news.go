package mesh

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/forward"
	"sapphiretray/peer"
	"sapphiretray/store"
	"sapphiretray/wait"
)

const (
	// fetchTimeout bounds fetching rows from another instance or pushing them to one.
	fetchTimeout = time.Second
	// fetchDelay is how long to wait for the store's change feed before fetching announced rows from another instance.
	fetchDelay = 150 * time.Millisecond
	// configFetchDelay is the same for the configuration. One with 1,280 routes takes 0.3 s on a link of 10 Mbit/s; when instances also
	// fetched it from each other at once, their links were saturated, leases expired and requests were delayed.
	configFetchDelay = 700 * time.Millisecond
	// probeInterval is the time between two probes of an unreachable instance, and probeTimeout bounds one.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
)

// applyConfig puts a newer configuration into effect. An invalid one is rejected as a whole.
func (m *Mesh) applyConfig(rows []store.Row) {
	for _, row := range rows {
		if row.Key != m.adapters.ConfigKey || row.Deleted {
			continue
		}
		// The newest row has arrived, even if its configuration is rejected below.
		m.announcedMu.Lock()
		m.configBehindSince = time.Time{}
		m.announcedMu.Unlock()
		table, err := m.adapters.DecodeConfig(row.Value)
		if err != nil {
			klog.ErrorS(err, "config: refused", "row", row.Version)
			continue
		}
		current := m.routes.Load()
		if current != nil && table.Version() <= current.Version() {
			klog.InfoS("config: ignored because it is not newer", "version", table.Version(), "current", current.Version())
			continue
		}
		m.routes.Store(table)
		klog.InfoS("config: in effect", "version", table.Version(), "row", row.Version)
		m.wakeUp()
	}
}

// applyRows applies changed records and key maps.
func (m *Mesh) applyRows(rows []store.Row) {
	m.directory.apply(rows)
	if s := m.session.Load(); s != nil {
		s.updateMap()
	}
	m.wakeUp()
}

// heartbeatVersions returns the versions that the instance announces in its heartbeats.
func (m *Mesh) heartbeatVersions() *peer.Versions {
	return &peer.Versions{Config: m.config.Newest(), Table: m.rows.Newest()}
}

// observeHeartbeat handles the versions that another instance announced in a heartbeat.
func (m *Mesh) observeHeartbeat(slot string, v *peer.Versions) {
	m.Heard(forward.Versions{Slot: slot, Config: v.GetConfig(), Rows: v.GetTable()})
}

// Versions implements forward.News.
func (m *Mesh) Versions() forward.Versions {
	return forward.Versions{Slot: m.settings.Slot, Config: m.config.Newest(), Rows: m.rows.Newest()}
}

// Heard implements forward.News.
func (m *Mesh) Heard(v forward.Versions) {
	if m.isBehind(v) {
		m.announcedMu.Lock()
		m.announced[v.Slot] = v
		if m.configBehindSince.IsZero() && v.Config > m.config.Newest() {
			m.configBehindSince = time.Now()
		}
		m.announcedMu.Unlock()
		select {
		case m.announcers <- v.Slot:
		default:
		}
	}
}

// fetchAnnounced fetches announced rows from other instances until ctx ends. It asks the readers of the local data centre first,
// because traffic between data centres is expensive, and then the instance that announced the rows.
func (m *Mesh) fetchAnnounced(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case slot := <-m.announcers:
			wanted := m.announcedBy(slot)
			wait.For(ctx, fetchDelay)
			sources := append(m.readers(), slot)
			for _, source := range sources {
				if source != m.settings.Slot && m.isBehind(wanted) && ctx.Err() == nil {
					m.fetchFrom(ctx, source, wanted)
				}
			}
		}
	}
}

// announcedBy returns the last newer versions that an instance has announced.
func (m *Mesh) announcedBy(slot string) forward.Versions {
	m.announcedMu.Lock()
	defer m.announcedMu.Unlock()
	return m.announced[slot]
}

// isBehind reports whether this instance lacks rows of the given versions.
func (m *Mesh) isBehind(v forward.Versions) bool {
	return v.Config > m.config.Newest() || v.Rows > m.rows.Newest()
}

// isConfigOverdue reports whether a newer configuration should be fetched from another instance, see isOverdue.
func (m *Mesh) isConfigOverdue(now time.Time) bool {
	m.announcedMu.Lock()
	defer m.announcedMu.Unlock()
	return isOverdue(m.config.Reachable(), m.configBehindSince, now)
}

// isOverdue reports whether the store can't be reached, or hasn't delivered a newer configuration within configFetchDelay after another
// instance announced it. A zero behindSince means that none was announced.
func isOverdue(reachable bool, behindSince, now time.Time) bool {
	return !reachable || !behindSince.IsZero() && now.Sub(behindSince) >= configFetchDelay
}

// fetchFrom fetches from an instance the tables in which this one lacks the wanted versions.
func (m *Mesh) fetchFrom(ctx context.Context, slot string, wanted forward.Versions) {
	if wanted.Config > m.config.Newest() && m.isConfigOverdue(time.Now()) {
		m.fetchAndMerge(ctx, slot, m.config)
	}
	if wanted.Rows > m.rows.Newest() {
		m.fetchAndMerge(ctx, slot, m.rows)
	}
}

// fetchAndMerge merges the newer rows of a table from an instance and returns false if the call fails.
func (m *Mesh) fetchAndMerge(ctx context.Context, slot string, f *store.Follower) bool {
	rows, version, err := m.fetchRows(ctx, slot, f)
	if err != nil {
		if ctx.Err() == nil {
			klog.V(1).InfoS("news: fetch failed", "slot", slot, "table", f.Table(), "err", err)
		}
		return false
	}
	f.MergeUpTo(rows, version)
	return true
}

// fetchRows returns the rows of an instance that are newer than the follower's, and the version up to which they are complete.
func (m *Mesh) fetchRows(ctx context.Context, slot string, f *store.Follower) ([]store.Row, uint64, error) {
	client, err := m.dialSlot(slot)
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answer, err := client.Fetch(ctx, &peer.FetchRequest{Kind: f.Table(), Have: f.Version()})
	if err != nil {
		return nil, 0, err
	}
	var rows []store.Row
	err = json.Unmarshal(answer.GetValue(), &rows)
	return rows, answer.GetVersion(), err
}

// probeUnreachable connects to the unreachable instances at intervals and marks those that answer as reachable.
func (m *Mesh) probeUnreachable(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, probeInterval)
		for _, slot := range m.directory.unreachableSlots() {
			r, ok := m.directory.record(slot)
			if !ok {
				continue
			}
			m.group.Go(func() error {
				conn, err := (&net.Dialer{Timeout: probeTimeout}).DialContext(ctx, "tcp", r.PeerAddress)
				if err == nil {
					_ = conn.Close()
					m.directory.markReachable(slot)
				}
				return nil
			})
		}
	}
}
