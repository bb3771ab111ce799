package heartbeat

import (
	"sync"
	"time"

	"sapphiretray/peer"

	"google.golang.org/protobuf/proto"
)

// versionsEvery is the number of heartbeats of which one carries the versions even if they have not changed. Versions in
// each datagram would take 5.5 KB/s a node, more than the 5 KB/s that a node may spend on control.
const versionsEvery = 4

// announcer decides which datagrams carry the versions: all for two intervals after a change, and otherwise one in
// versionsEvery heartbeats, whose acknowledgement carries the witness's versions if they differ.
type announcer struct {
	mu      sync.Mutex
	last    *peer.Versions
	changed time.Time
}

// recent reports whether the versions have changed within the given time.
func (a *announcer) recent(versions *peer.Versions, within time.Duration, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.last != versions && !proto.Equal(a.last, versions) {
		a.changed = now
	}
	a.last = versions
	return now.Sub(a.changed) < within
}

// heartbeatVersions returns the versions to send with a heartbeat, or nil.
func (e *Endpoint) heartbeatVersions(sequence uint64, now time.Time) *peer.Versions {
	versions := e.versions()
	if versions == nil || (!e.announcer.recent(versions, 2*e.timing.Interval(), now) && sequence%versionsEvery != 1) {
		return nil
	}
	return versions
}

// ackVersions returns the versions to send with the acknowledgement of a heartbeat with the given versions, or nil.
func (e *Endpoint) ackVersions(received *peer.Versions, now time.Time) *peer.Versions {
	versions := e.versions()
	if versions == nil {
		return nil
	}
	recent := e.announcer.recent(versions, 2*e.timing.Interval(), now)
	if recent || (received != nil && !proto.Equal(received, versions)) {
		return versions
	}
	return nil
}
