package policy

import "time"

// slowStartShare is the weight at the moment of a cold start. Smaller shares cost more goodput in the load experiment,
// where a cold upstream still works, but slowly at full use.
const slowStartShare = 0.3

// SlowStart is a weight that grows linearly from 0.3 to 1 over a time after a cold start. The zero value has weight 1.
type SlowStart struct {
	start    time.Time
	duration time.Duration
}

// Start begins a cold start.
func (s *SlowStart) Start(now time.Time, duration time.Duration) { s.start, s.duration = now, duration }

// Weight returns the present weight.
func (s *SlowStart) Weight() float64 { return s.WeightAt(time.Now()) }

// WeightAt returns the weight at a time.
func (s *SlowStart) WeightAt(now time.Time) float64 {
	elapsed := now.Sub(s.start)
	if s.duration <= 0 || elapsed >= s.duration {
		return 1
	}
	progress := max(0, float64(elapsed)/float64(s.duration))
	return slowStartShare + (1-slowStartShare)*progress
}
