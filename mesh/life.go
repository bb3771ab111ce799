package mesh

import (
	"sync"

	"sapphiretray/gateway"
)

// upstreamLife is the life of the upstream that a session serves.
type upstreamLife struct {
	mu   sync.Mutex
	life gateway.Life
}

// get returns the life as it is known.
func (u *upstreamLife) get() gateway.Life {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.life
}

// continues reports whether the upstream still has this life. The start of an upstream that was asked for its id is learnt from
// its first heartbeat; a later start is another life.
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
