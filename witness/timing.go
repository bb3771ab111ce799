// Package witness holds the rules of leases as state machines without goroutines, sockets or clocks: Holder holds a
// lease, Witness supports the leases of others, and Claim collects the proof that a lease has expired.
//
// Each method takes the caller's current time. It should carry a monotonic reading, as time.Now provides it.
package witness

import "time"

// The default settings. Three heartbeats may be lost in a row before a lease expires, and a key is served again within
// a second of a loss.
const (
	DefaultLease    = 600 * time.Millisecond
	DefaultInterval = 200 * time.Millisecond
	DefaultDrift    = 0.01
)

// Timing holds the settings that all instances of a deployment share. The zero value has the defaults.
type Timing struct {
	lease    time.Duration
	interval time.Duration
	drift    float64
}

// NewTiming returns settings; a value that isn't positive stands for its default.
func NewTiming(lease, interval time.Duration, drift float64) Timing {
	return Timing{lease: lease, interval: interval, drift: drift}
}

// Lease returns how long a lease lasts from the sending time of a heartbeat.
func (t Timing) Lease() time.Duration {
	if t.lease <= 0 {
		return DefaultLease
	}
	return t.lease
}

// Interval returns the time between two heartbeats to one witness.
func (t Timing) Interval() time.Duration {
	if t.interval <= 0 {
		return DefaultInterval
	}
	return t.interval
}

// reduction returns the time by which the support of a heartbeat with an old echo is shorter. With a whole interval, such
// support ends no later than that of the heartbeat before, so at most one interval and a wait pass from a cut of the
// acknowledgements to the proof of the expiry: 806 ms at the default timing. It would be 906 ms with half an interval, which
// left too little of the second within which a key is served again for the takeover and the callers' next attempt.
func (t Timing) reduction() time.Duration { return t.Interval() }

// Drift returns the bound on the relative difference between the rates of any two clocks: while one clock advances by
// d, no other advances by more than d + drift*d. Two clocks that each err by half the bound satisfy it.
func (t Timing) Drift() float64 {
	if t.drift <= 0 {
		return DefaultDrift
	}
	return t.drift
}

// Wait returns the lease plus the drift. A witness waits this long on its own clock before it relies on a lease having
// ended on the holder's clock, or on a confirmation having left the window on a successor's clock.
func (t Timing) Wait() time.Duration {
	return t.Lease() + time.Duration(float64(t.Lease())*t.Drift()) + 1
}

// reading is one look at both clocks of a machine. The monotonic clock stops while the machine is suspended; the wall
// clock doesn't, but can be set.
type reading struct {
	mono time.Time
	wall time.Time
}

func read(now time.Time) reading { return reading{mono: now, wall: now.Round(0)} }

// since returns the time that has passed since an earlier reading by the clock that has advanced further. A suspended
// machine thus counts the time that it slept, and a wall clock that is set forward only shortens a lease.
func (r reading) since(earlier reading) time.Duration {
	return max(r.mono.Sub(earlier.mono), r.wall.Sub(earlier.wall))
}

// before returns the reading that both clocks showed the given time earlier.
func (r reading) before(d time.Duration) reading {
	return reading{mono: r.mono.Add(-d), wall: r.wall.Add(-d)}
}

func majority(witnesses int) int { return witnesses/2 + 1 }
