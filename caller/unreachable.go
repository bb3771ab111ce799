package caller

import (
	"sync"
	"time"

	"sapphiretray/member"
)

// unreachableFor is the time for which a member that refused a connection isn't tried again, so that a lost host doesn't
// cost every request the time to connect.
const unreachableFor = 200 * time.Millisecond

// unreachable remembers the members that could not be reached a moment ago. The zero value is empty.
type unreachable struct {
	mu    sync.Mutex
	since map[member.Incarnation]time.Time
}

func (u *unreachable) add(i member.Incarnation) {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.since == nil {
		u.since = make(map[member.Incarnation]time.Time)
	}
	for old, since := range u.since {
		if now.Sub(since) >= unreachableFor {
			delete(u.since, old)
		}
	}
	u.since[i] = now
}

func (u *unreachable) recent(i member.Incarnation) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	since, ok := u.since[i]
	return ok && time.Since(since) < unreachableFor
}
