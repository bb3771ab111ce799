package sidecar

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"sapphiretray/processor"
	"sapphiretray/wait"
)

const (
	// stallInterval is the time between two readings of the clock. Stalls of half a second and more span several readings. They matter
	// because the platform allows no work to begin more than half a second after its caller has left.
	stallInterval = 100 * time.Millisecond
	// stallLogThreshold is the lateness from which a stall is logged. 100 ms are within the latency objectives of all requests.
	stallLogThreshold = 150 * time.Millisecond
)

// stallMonitor detects stalls of the process: by how much the time between two readings of the clock exceeds stallInterval, and how
// much processor time the process used in between.
type stallMonitor struct {
	// lastRead is the time of the previous reading, and lastUsed the processor time that the process had used by then.
	lastRead time.Time
	lastUsed time.Duration
	// late is the histogram of the readings' lateness, in seconds.
	late prometheus.Histogram
}

func newStallMonitor(r prometheus.Registerer) *stallMonitor {
	s := &stallMonitor{late: prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "sapphiretray_timer_late_seconds", Help: "How late a timer of 0.1 s was.", Buckets: []float64{.01, .05, .1, .2, .5, 1, 2, 5},
	})}
	r.MustRegister(s.late)
	return s
}

// observe records a reading and returns its lateness and the processor time used since the previous one, both 0 for the first.
// The argument used is the processor time that the process has used in total.
func (s *stallMonitor) observe(now time.Time, used time.Duration) (late, busy time.Duration) {
	if !s.lastRead.IsZero() {
		late, busy = max(0, now.Sub(s.lastRead)-stallInterval), used-s.lastUsed
		s.late.Observe(late.Seconds())
	}
	s.lastRead, s.lastUsed = now, used
	return late, busy
}

// watchStalls logs stalls of the process until ctx ends. Processor time close to the lateness means that the process was busy;
// less means that it wasn't scheduled.
func (sc *Sidecar) watchStalls(ctx context.Context) {
	s := newStallMonitor(sc.registry)
	s.observe(time.Now(), processor.Time())
	for wait.For(ctx, stallInterval) {
		if late, busy := s.observe(time.Now(), processor.Time()); late >= stallLogThreshold {
			klog.InfoS("process: stalled", "late", late, "processorTime", busy, "running", sc.gateway.Load().Running)
		}
	}
}
