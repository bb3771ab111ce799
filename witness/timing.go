// Package witness holds the rules of leases as state machines without goroutines, sockets or clocks. Holder holds the lease of
// an incarnation, Witness supports the leases of others, and ExpiryProof collects the proof that a lease has expired.
//
// A witness supports a lease by acknowledging a heartbeat: it then doesn't confirm the expiry of the lease for some time. A lease
// is valid while a majority of its witnesses supports it, and its expiry is proved once a majority has confirmed it. Since two
// majorities share a witness, a lease isn't valid after the proof of its expiry.
//
// Each heartbeat echoes the newest acknowledgement from its witness: it repeats the acknowledgement's run and sequence. The run of a
// witness's record is a number that changes whenever the witness has lost the record, as by a restart. It tells holders and witnesses
// whether an echo refers to the present record.
//
// A holder whose lease has expired can re-acquire it by a round of votes, in which it asks all its witnesses at once. The lease is
// valid again if a majority grants the same round.
//
// Each method that takes a time expects the current time with a monotonic clock reading, like that of time.Now.
package witness

import "time"

// The default settings. A lease lasts three heartbeat intervals, so that a lost heartbeat doesn't end it. It is short enough for a key to
// be served again within a second of the loss of its instance. DefaultDrift is a relative difference of clock rates; see Timing.Drift.
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

// NewTiming returns settings. A value that isn't positive stands for its default.
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

// reduction returns the time by which support is shortened if the heartbeat's echo is old. With a whole interval, such support
// ends no later than that of the heartbeat before. From a cut of the acknowledgements to the proof of the expiry, at most one
// interval and LeaseWithDrift pass: 806 ms at the default timing. With half an interval it would be 906 ms, which leaves too little
// of the second within which a key has to be served again for the takeover and the callers' next attempt.
func (t Timing) reduction() time.Duration { return t.Interval() }

// Drift returns the bound on the relative difference between the rates of any two clocks: while one clock advances by
// d, no other advances by more than d + drift*d. Two clocks that each err by half the bound satisfy it.
func (t Timing) Drift() float64 {
	if t.drift <= 0 {
		return DefaultDrift
	}
	return t.drift
}

// LeaseWithDrift returns the duration of a lease plus its greatest possible drift, rounded up. After this time on its own clock, a witness
// can rely on a lease having ended on the holder's clock, and on a confirmation no longer counting on a successor's clock.
func (t Timing) LeaseWithDrift() time.Duration {
	return t.Lease() + time.Duration(float64(t.Lease())*t.Drift()) + 1
}

// clockReading is the time on both clocks of a machine, the monotonic clock and the wall clock. The monotonic clock stops while the
// machine is suspended; the wall clock doesn't, but it can be set.
type clockReading struct {
	mono time.Time
	wall time.Time
}

func readClocks(now time.Time) clockReading { return clockReading{mono: now, wall: now.Round(0)} }

// since returns the time that has passed since an earlier reading on the clock that has advanced further. The time for which the
// machine was suspended thus counts, and a wall clock that is set forward can only shorten a lease.
func (r clockReading) since(earlier clockReading) time.Duration {
	return max(r.mono.Sub(earlier.mono), r.wall.Sub(earlier.wall))
}

// minus returns the reading that is earlier by d on both clocks.
func (r clockReading) minus(d time.Duration) clockReading {
	return clockReading{mono: r.mono.Add(-d), wall: r.wall.Add(-d)}
}

// earliest returns the earlier reading of each clock.
func (r clockReading) earliest(other clockReading) clockReading {
	if other.mono.Before(r.mono) {
		r.mono = other.mono
	}
	if other.wall.Before(r.wall) {
		r.wall = other.wall
	}
	return r
}

// majority returns the smallest number of witnesses that is more than half of all.
func majority(witnesses int) int { return witnesses/2 + 1 }
