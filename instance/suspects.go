package instance

import (
	"sync"
	"time"

	"sapphiretray/member"
)

// suspectAge is how long an incarnation stays suspected after the last sign of a failure.
const suspectAge = time.Minute

// suspectedIncarnations holds the incarnations that may have failed; only their witnesses are asked for proof. The zero value is empty.
type suspectedIncarnations struct {
	mu sync.Mutex
	// since holds the time of the last sign of a failure.
	since map[member.Incarnation]time.Time
}

func (s *suspectedIncarnations) add(i member.Incarnation) {
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

func (s *suspectedIncarnations) has(i member.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, ok := s.since[i]
	return ok && time.Since(since) <= suspectAge
}

// suspect records a sign that an incarnation has failed.
func (i *Instance) suspect(m member.Incarnation) { i.suspects.add(m) }

// requestFetch makes runFetches fetch rows from a slot, unless another request waits in the channel already.
func requestFetch(requests chan<- string, slot string) {
	select {
	case requests <- slot:
	default:
	}
}
