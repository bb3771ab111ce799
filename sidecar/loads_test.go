package sidecar

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"sapphiretray/bubble"
)

// TestLoadAtTheStartOfTraffic guards against loads that are too low in the first seconds of traffic: the planner took upstreams for idle
// and moved the ranges of several others to the fastest one.
func TestLoadAtTheStartOfTraffic(t *testing.T) {
	const (
		service = 200 * time.Millisecond
		rate    = 50
		want    = 10.0
	)
	for _, after := range []time.Duration{time.Second, 2 * time.Second, 6 * time.Second} {
		bubble.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			var l loads
			started := time.Now()
			for time.Since(started) < after {
				l.observe(uint16(random.IntN(100)), service)
				time.Sleep(time.Second / rate)
			}
			sum := 0.0
			for _, r := range l.rangeLoads(time.Now()) {
				sum += r.Load
			}
			if math.Abs(sum/want-1) > 0.1 {
				t.Errorf("load %.1f after %v, want %.1f", sum, after, want)
			}
		})
	}
}
