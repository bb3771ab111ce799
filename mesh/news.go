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
)

const (
	// fetchTimeout bounds the fetch of rows from another instance.
	fetchTimeout = time.Second
	// feedHeadStart is how long the store's own feed has before rows are fetched from the instance that announced them.
	feedHeadStart = 150 * time.Millisecond
	// probeInterval is the pause between two checks of an instance that did not answer, and probeTimeout bounds one.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
)

// applyConfig puts a newer configuration into force. One that can't be used whole is refused whole.
func (m *Mesh) applyConfig(rows []store.Row) {
	for _, row := range rows {
		if row.Key != m.ports.ConfigKey || row.Deleted {
			continue
		}
		table, err := m.ports.DecodeConfig(row.Value)
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
		s.update()
	}
	m.wakeUp()
}

// versions are what the instance announces with its heartbeats.
func (m *Mesh) versions() *peer.Versions {
	return &peer.Versions{Config: m.config.Newest(), Table: m.rows.Newest()}
}

// observe takes what another instance announced with a heartbeat.
func (m *Mesh) observe(slot string, v *peer.Versions) {
	m.Heard(forward.Versions{Slot: slot, Config: v.GetConfig(), Rows: v.GetTable()})
}

// Versions implements forward.News.
func (m *Mesh) Versions() forward.Versions {
	return forward.Versions{Slot: m.settings.Slot, Config: m.config.Newest(), Rows: m.rows.Newest()}
}

// Heard implements forward.News.
func (m *Mesh) Heard(v forward.Versions) {
	if v.Config > m.config.Newest() || v.Rows > m.rows.Newest() {
		select {
		case m.news <- v.Slot:
		default:
		}
	}
}

// fetchNews fetches rows that the store's feed has not delivered from the instances that announced them.
func (m *Mesh) fetchNews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case slot := <-m.news:
			pause(ctx, feedHeadStart)
			for _, f := range []*store.Follower{m.config, m.rows} {
				if err := m.fetch(ctx, slot, f); err != nil && ctx.Err() == nil {
					klog.V(1).InfoS("news: fetch failed", "slot", slot, "err", err)
				}
			}
		}
	}
}

func (m *Mesh) fetch(ctx context.Context, slot string, f *store.Follower) error {
	client, err := m.dialSlot(slot)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answer, err := client.Fetch(ctx, &peer.FetchRequest{Kind: f.Table(), Have: f.Version()})
	if err != nil {
		return err
	}
	var rows []store.Row
	if err := json.Unmarshal(answer.GetValue(), &rows); err != nil {
		return err
	}
	f.Merge(rows)
	return nil
}

// probeUnreachable checks the instances that did not answer until they do.
func (m *Mesh) probeUnreachable(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, probeInterval)
		for _, slot := range m.directory.unreachableSlots() {
			r, ok := m.directory.record(slot)
			if !ok {
				continue
			}
			m.group.Go(func() error {
				conn, err := (&net.Dialer{Timeout: probeTimeout}).DialContext(ctx, "tcp", r.PeerAddress)
				if err == nil {
					_ = conn.Close()
					m.directory.reachable(slot)
				}
				return nil
			})
		}
	}
}
