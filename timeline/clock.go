package timeline

import (
	"sync"
	"time"
)

// counterBits is the number of low bits of a Stamp that hold the counter.
const counterBits = 16

// Stamp is a timestamp of a hybrid logical clock: milliseconds since the Unix epoch in the upper 48 bits and a counter in the
// lower 16 bits.
type Stamp uint64

// Time returns the wall-clock part of the stamp.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> counterBits)) }

// Logical returns the counter that orders events within one millisecond.
func (s Stamp) Logical() uint16 { return uint16(s) }

// Clock is a hybrid logical clock: an event that was caused by another one has a later stamp, even if the wall clocks of their
// instances differ. The zero value is ready to use. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp that is later than all stamps that the clock has returned or observed.
func (c *Clock) Now() Stamp {
	wall := Stamp(time.Now().UnixMilli()) << counterBits
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(wall, c.last+1)
	return c.last
}

// Observe advances the clock past a stamp that was received from another instance.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, s)
}
