package policy

import (
	"sync"
	"time"
)

const (
	// crashLimit is the number of crashes during a request's runs after which it is refused. Requests that were in flight beside the
	// one that crashes upstreams rarely meet as many.
	crashLimit = 3
	// suspectAge is how long a crash is held against a request.
	suspectAge = 10 * time.Minute
	// maxSuspects bounds the memory.
	maxSuspects = 4096
)

// Suspects remembers which requests were running when upstreams crashed, by their fingerprints. A request that runs to its end is no
// longer suspected. The zero value is ready to use.
type Suspects struct {
	mu      sync.Mutex
	crashes map[uint64]*crashes
}

type crashes struct {
	count  int
	newest time.Time
}

// Crashed counts a crash during the runs of requests.
func (s *Suspects) Crashed(now time.Time, fingerprints []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashes == nil {
		s.crashes = make(map[uint64]*crashes)
	}
	for fingerprint, c := range s.crashes {
		if now.Sub(c.newest) > suspectAge {
			delete(s.crashes, fingerprint)
		}
	}
	for _, fingerprint := range fingerprints {
		c := s.crashes[fingerprint]
		if c == nil {
			if len(s.crashes) >= maxSuspects {
				continue
			}
			c = &crashes{}
			s.crashes[fingerprint] = c
		}
		c.count++
		c.newest = now
	}
}

// Served notes that a request ran to its end.
func (s *Suspects) Served(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.crashes, fingerprint)
}

// Refused reports whether a request is not to run because upstreams crashed too often while it ran.
func (s *Suspects) Refused(now time.Time, fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.crashes[fingerprint]
	return c != nil && c.count >= crashLimit && now.Sub(c.newest) <= suspectAge
}
