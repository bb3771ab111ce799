package sidecar

import (
	"sync"

	"sapphiretray/gateway"
)

// trackedRun identifies the run of the upstream that a session serves.
type trackedRun struct {
	mu  sync.Mutex
	run gateway.UpstreamRun
}

// get returns the run as far as it is known: its start may be missing.
func (u *trackedRun) get() gateway.UpstreamRun {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.run
}

// continues reports whether the current run of the upstream is still this one. If only the id was known so far, it also records the
// start from the first heartbeat; from then on, a different start means another run.
func (u *trackedRun) continues(current gateway.UpstreamRun) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.run.Same(current) {
		return false
	}
	if u.run.Started == 0 {
		u.run = current
	}
	return true
}
