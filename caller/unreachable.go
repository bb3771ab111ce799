package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"sapphiretray/member"
)

const (
	// probeInterval is the time between the starts of two probes of a member that could not be reached. It is less than the
	// 300 ms that a dead connection takes to be noticed, so that a member that returns is used again soon.
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds one probe; a connection that has gone silent is noticed before.
	probeTimeout = time.Second
	// unreachableAge is the time without a failure after which a member is tried again without a probe, if no request has
	// asked for it in between.
	unreachableAge = 10 * time.Second
)

// unreachable remembers the members that could not be reached. Requests go on to the next member at once: a successor may
// serve long before the map names it, and a request that tries a lost owner waits until its connection is found dead.
// The members are probed instead, for as long as requests ask for them. The zero value is empty.
type unreachable struct {
	mu     sync.Mutex
	probed map[member.Incarnation]time.Time
	probes sync.WaitGroup
}

// add notes that a member could not be reached.
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

// remove notes that a member has answered.
func (u *unreachable) remove(i member.Incarnation) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.probed, i)
}

// avoid reports whether a request should go on to the next member. It starts a probe if one is due; a probe that returns
// true has reached the member.
func (u *unreachable) avoid(i member.Incarnation, probe func() bool) bool {
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

// probe reports whether a member answers at its address. Any response will do: the call names no method.
func (s *Server) probe(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return false
	}
	resp, err := s.forward.RoundTrip(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}
