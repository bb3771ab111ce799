package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"sapphiretray/member"
)

const (
	// probeInterval is the minimum time between the starts of two probes of a member. It is less than the 300 ms after which a
	// dead connection is detected, so that a member that has recovered is used again soon.
	probeInterval = 200 * time.Millisecond
	// probeTimeout limits one probe. A dead connection is detected sooner.
	probeTimeout = time.Second
	// unreachableAge is the time since the last probe after which a member is retried without one. It passes only if no
	// request was meant for the member, as each such request starts a probe that is due.
	unreachableAge = 10 * time.Second
)

// unreachable is the set of members that could not be reached. Requests skip them and try the next member at once, because a
// request to a failed member waits until its connection is found dead, and a successor may serve long before the map names it.
// Skipped members are probed for as long as requests are meant for them. The zero value is an empty set.
type unreachable struct {
	mu sync.Mutex
	// probed holds the start of the last probe of each member.
	probed map[member.Incarnation]time.Time
	probes sync.WaitGroup
}

// add records that a member could not be reached.
func (u *unreachable) add(i member.Incarnation) {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.probed == nil {
		u.probed = make(map[member.Incarnation]time.Time)
	}
	for old, probed := range u.probed {
		if now.Sub(probed) >= unreachableAge {
			delete(u.probed, old)
		}
	}
	if _, ok := u.probed[i]; !ok {
		// The next request starts a probe.
		u.probed[i] = now.Add(-probeInterval)
	}
}

// remove records that a member can be reached.
func (u *unreachable) remove(i member.Incarnation) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.probed, i)
}

// shouldSkip reports whether requests should skip a member. If a probe is due, it starts one; probe returns true if it reached
// the member.
func (u *unreachable) shouldSkip(i member.Incarnation, probe func() bool) bool {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	probed, ok := u.probed[i]
	if !ok || now.Sub(probed) >= unreachableAge {
		return false
	}
	if now.Sub(probed) >= probeInterval {
		u.probed[i] = now
		u.probes.Go(func() {
			if probe() {
				u.remove(i)
			}
		})
	}
	return true
}

// probe reports whether a member responds at its address. The path "/" names no method of the peer server, so any response, also an
// error, shows that the member can be reached.
func (s *Server) probe(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return false
	}
	resp, err := s.transport.RoundTrip(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}
