package heartbeat

import (
	"sync"
	"time"

	"sapphiretray/peer"

	"google.golang.org/protobuf/proto"
)

// heartbeatsPerVersions is the number of heartbeats of which one carries the versions even if they have not changed. Versions in each
// datagram would take 5.5 KB/s for each instance, which may use at most 5 KB/s for control.
const heartbeatsPerVersions = 4

// versionTracker notices changes of the versions (see WithVersions). All datagrams carry the versions for two intervals after a
// change. Otherwise one in heartbeatsPerVersions heartbeats carries them, and its acknowledgement carries those of the witness if
// they differ.
type versionTracker struct {
	mu      sync.Mutex
	last    *peer.Versions
	changed time.Time
}

// recentlyChanged reports whether the versions have changed within the given time before now.
func (t *versionTracker) recentlyChanged(versions *peer.Versions, within time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last != versions && !proto.Equal(t.last, versions) {
		t.changed = now
	}
	t.last = versions
	return now.Sub(t.changed) < within
}

// heartbeatVersions returns the versions to send with a heartbeat, or nil.
func (e *Endpoint) heartbeatVersions(sequence uint64, now time.Time) *peer.Versions {
	versions := e.versions()
	if versions == nil || (!e.versionTracker.recentlyChanged(versions, 2*e.timing.Interval(), now) && sequence%heartbeatsPerVersions != 1) {
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
	recentlyChanged := e.versionTracker.recentlyChanged(versions, 2*e.timing.Interval(), now)
	if recentlyChanged || (received != nil && !proto.Equal(received, versions)) {
		return versions
	}
	return nil
}
