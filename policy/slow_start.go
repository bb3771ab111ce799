package policy

import "time"

// slowStartShare is the weight at the beginning of a cold start. A cold upstream does work, though slowly under full load, so a
// smaller share lowers the goodput.
const slowStartShare = 0.3

// SlowStart is the weight of an upstream, which grows linearly from 0.3 to 1 after a cold start. The zero value has weight 1.
type SlowStart struct {
	start    time.Time
	duration time.Duration
}

// Start begins a cold start of the given duration.
func (s *SlowStart) Start(now time.Time, duration time.Duration) { s.start, s.duration = now, duration }

// Weight returns the current weight.
func (s *SlowStart) Weight() float64 { return s.WeightAt(time.Now()) }

// WeightAt is Weight at the given time.
func (s *SlowStart) WeightAt(now time.Time) float64 {
	elapsed := now.Sub(s.start)
	if s.duration <= 0 || elapsed >= s.duration {
		return 1
	}
	progress := max(0, float64(elapsed)/float64(s.duration))
	return slowStartShare + (1-slowStartShare)*progress
}
