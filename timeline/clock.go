package timeline

import (
	"sync"
	"time"
)

const logicalBits = 16

// Stamp is a time of a hybrid logical clock: milliseconds since 1970 in the upper 48 bits, a counter in the lower 16.
type Stamp uint64

// Time returns the stamp's wall clock part.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> logicalBits)) }

// Logical returns the counter that orders events within one millisecond.
func (s Stamp) Logical() uint16 { return uint16(s) }

// Clock is a hybrid logical clock: an event that was caused by another one has the later stamp, also when the wall clocks
// of their instances differ. The zero value is ready to use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp later than all that the clock has returned or observed.
func (c *Clock) Now() Stamp {
	wall := Stamp(time.Now().UnixMilli()) << logicalBits
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(wall, c.last+1)
	return c.last
}

// Observe moves the clock past a stamp that was received from another instance.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, s)
}
