package store

import "errors"

// Stats counts the calls of a Follower by their outcome.
type Stats struct {
	answered, failed, unanswered, abandoned uint64
}

// Answered returns the number of calls that succeeded or found the history lost.
func (s Stats) Answered() uint64 { return s.answered }

// Failed returns the number of calls that failed, the unanswered ones included.
func (s Stats) Failed() uint64 { return s.failed }

// Unanswered returns the number of calls that failed before the first byte of a response.
func (s Stats) Unanswered() uint64 { return s.unanswered }

// Abandoned returns the number of unanswered calls that the follower ended because a response was overdue.
func (s Stats) Abandoned() uint64 { return s.abandoned }

// count adds a call that has ended. Calls that were cancelled because the table has to be listed aren't counted.
func (s *Stats) count(c *call, err error) {
	switch {
	case err == nil, errors.Is(err, ErrHistoryLost):
		s.answered++
	case c.superseded:
	default:
		s.failed++
		if c.waited.Load() == 0 {
			s.unanswered++
		}
		if c.abandoned {
			s.abandoned++
		}
	}
}

// Stats returns the counts so far.
func (f *Follower) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}
