package sidecar

import (
	"sync"

	"sapphiretray/gateway"
)

// upstreamLife identifies the run of the upstream that a session serves.
type upstreamLife struct {
	mu   sync.Mutex
	life gateway.Life
}

// get returns the run as far as it is known: its start may be missing.
func (u *upstreamLife) get() gateway.Life {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.life
}

// continues reports whether the current run of the upstream is still this one. If only the id was known so far, it also records the
// start from the first heartbeat; from then on, a different start means another run.
func (u *upstreamLife) continues(current gateway.Life) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.life.Same(current) {
		return false
	}
	if u.life.Started == 0 {
		u.life = current
	}
	return true
}
