package heartbeat

import (
	"sync/atomic"
	"time"

	"sapphiretray/witness"
)

// Lease is a live view of an instance's own lease. Its methods take no lock, so that each request can call them. The zero value is
// never valid.
type Lease struct {
	term *atomic.Pointer[witness.Term]
	lost *atomic.Bool
}

// Valid reports whether the lease is valid now.
func (l Lease) Valid() bool { return l.current().Valid(time.Now()) }

// Expires returns the time at which the lease ends unless it is extended. It is zero while the lease isn't held.
func (l Lease) Expires() time.Time { return l.current().Expires() }

// Generation returns the number of times that the lease has been acquired, or 0 while it isn't held. If a request finds the lease valid
// and the generation the same at its start and its end, then the lease was valid throughout.
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
