package heartbeat

import (
	"sync/atomic"
	"time"

	"sapphiretray/witness"
)

// Lease is a live view of an instance's own lease. Its methods take no lock. The zero value is never valid.
type Lease struct {
	term *atomic.Pointer[witness.Term]
	lost *atomic.Bool
}

// Valid reports whether the lease is valid now.
func (l Lease) Valid() bool { return l.current().Valid(time.Now()) }

// Expires returns the time at which the lease ends unless it is extended; it is zero if none is held.
func (l Lease) Expires() time.Time { return l.current().Expires() }

// Generation returns a number that is different after each loss of the lease, and 0 while none is held. A request that
// sees the same generation and a valid lease at its start and its end was covered in between.
func (l Lease) Generation() uint64 { return l.current().Generation() }

// Lost reports whether the lease can't be acquired any more, so that the instance has to rejoin as a new incarnation.
func (l Lease) Lost() bool { return l.lost != nil && l.lost.Load() }

func (l Lease) current() witness.Term {
	if l.term == nil {
		return witness.Term{}
	}
	if term := l.term.Load(); term != nil {
		return *term
	}
	return witness.Term{}
}
