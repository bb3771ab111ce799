package instance

import (
	"sync"
	"time"

	"sapphiretray/member"
)

// suspectAge is how long a sign of a loss counts without being repeated.
const suspectAge = time.Minute

// suspects are the incarnations that may be lost; only these are checked with their witnesses. The zero value is empty.
type suspects struct {
	mu    sync.Mutex
	since map[member.Incarnation]time.Time
}

func (s *suspects) add(i member.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since == nil {
		s.since = make(map[member.Incarnation]time.Time)
	}
	for old, since := range s.since {
		if time.Since(since) > suspectAge {
			delete(s.since, old)
		}
	}
	s.since[i] = time.Now()
}

func (s *suspects) has(i member.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, ok := s.since[i]
	return ok && time.Since(since) <= suspectAge
}

func (i *Instance) suspect(m member.Incarnation) { i.suspects.add(m) }

func (i *Instance) requestFetch(slot string) {
	select {
	case i.fetches <- slot:
	default:
	}
}
