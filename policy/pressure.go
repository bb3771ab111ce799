package policy

import "time"

// Pressure is a moving average of the share of requests that were refused. The zero value is ready to use.
type Pressure struct {
	share float64
	at    time.Time // Time of the latest request.
}

// pressureWindow is the time over which refusals are averaged.
const pressureWindow = 700 * time.Millisecond

// Observe records a request.
func (p *Pressure) Observe(now time.Time, refused bool) {
	target := 0.0
	if refused {
		target = 1
	}
	// A single request changes the share by at most a tenth, so that one refusal at low traffic has little effect.
	weight := min(0.1, max(0.02, now.Sub(p.at).Seconds()/pressureWindow.Seconds()))
	p.share += weight * (target - p.share)
	p.at = now
}

// Share returns the share of requests that were refused, from 0 to 1. It decays while there are no requests.
func (p *Pressure) Share(now time.Time) float64 {
	if idle := now.Sub(p.at); idle > pressureWindow {
		return p.share * pressureWindow.Seconds() / idle.Seconds()
	}
	return p.share
}
