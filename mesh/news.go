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
	// fetchTimeout bounds the fetch of rows from another instance.
	fetchTimeout = time.Second
	// feedWait is how long the store's own feed has before rows are fetched from the instance that announced them.
	feedWait = 150 * time.Millisecond
	// configFeedWait is the same for the configuration. With 1,280 routes it takes 0.3 s on a link of 10 Mbit/s; when instances fetched
	// such configurations from each other as well, their links were full, leases expired and requests were held up.
	configFeedWait = 700 * time.Millisecond
	// probeInterval is the pause between two checks of an instance that did not answer, and probeTimeout bounds one.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
)

// applyConfig puts a newer configuration into force. One that can't be used whole is refused whole.
func (m *Mesh) applyConfig(rows []store.Row) {
	for _, row := range rows {
		if row.Key != m.adapters.ConfigKey || row.Deleted {
			continue
		}
		// Also a configuration that is refused below has arrived.
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
			klog.InfoS("config: not newer", "version", table.Version(), "current", current.Version())
			continue
		}
		m.routes.Store(table)
		klog.InfoS("config: in force", "version", table.Version(), "row", row.Version)
		m.wakeUp()
	}
}

// applyRows takes changed records and maps.
func (m *Mesh) applyRows(rows []store.Row) {
	m.directory.apply(rows)
	if s := m.session.Load(); s != nil {
		s.updateMap()
	}
	m.wakeUp()
}

// versions are what the instance announces with its heartbeats.
func (m *Mesh) heartbeatVersions() *peer.Versions {
	return &peer.Versions{Config: m.config.Newest(), Table: m.rows.Newest()}
}

// observe takes what another instance announced with a heartbeat.
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

// fetchAnnounced fetches rows from other instances that announced them: from a reader of the own data centre first, since bytes between
// data centres are dear.
func (m *Mesh) fetchAnnounced(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case slot := <-m.announcers:
			wanted := m.announcedBy(slot)
			wait.For(ctx, feedWait)
			sources := append(m.readers(), slot)
			for _, source := range sources {
				if source != m.settings.Slot && m.isBehind(wanted) && ctx.Err() == nil {
					m.fetchFrom(ctx, source, wanted)
				}
			}
		}
	}
}

// announcedBy returns the newest versions that an instance has announced.
func (m *Mesh) announcedBy(slot string) forward.Versions {
	m.announcedMu.Lock()
	defer m.announcedMu.Unlock()
	return m.announced[slot]
}

// behind reports whether versions are newer than what is known here.
func (m *Mesh) isBehind(v forward.Versions) bool {
	return v.Config > m.config.Newest() || v.Rows > m.rows.Newest()
}

// isConfigOverdue reports whether a newer configuration is to be fetched from another instance.
func (m *Mesh) isConfigOverdue(now time.Time) bool {
	m.announcedMu.Lock()
	defer m.announcedMu.Unlock()
	return isOverdue(m.config.Reachable(), m.configBehindSince, now)
}

// isOverdue reports whether the store has had its time to deliver a configuration that others have had since the given time, or can't be
// reached.
func isOverdue(reachable bool, behindSince, now time.Time) bool {
	return !reachable || !behindSince.IsZero() && now.Sub(behindSince) >= configFeedWait
}

// fetchFrom fetches what is wanted from an instance, as far as it isn't known yet.
func (m *Mesh) fetchFrom(ctx context.Context, slot string, wanted forward.Versions) {
	if wanted.Config > m.config.Newest() && m.isConfigOverdue(time.Now()) {
		m.fetchAndMerge(ctx, slot, m.config)
	}
	if wanted.Rows > m.rows.Newest() {
		m.fetchAndMerge(ctx, slot, m.rows)
	}
}

// fetch merges the rows of a table that an instance has, and returns false if it can't.
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

// fetchRows returns the rows that an instance has and a follower lacks, and the version up to which they are complete.
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

// probeUnreachable checks the instances that did not answer until they do.
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
