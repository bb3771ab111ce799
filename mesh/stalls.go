package mesh

import (
	"context"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"sapphiretray/wait"
)

const (
	// stallInterval is the pause between two readings of the clock: a stall that breaks a rule, half a second, covers several.
	stallInterval = 100 * time.Millisecond
	// stallLogThreshold is the lateness that is logged. A tenth of a second is within the objectives of all requests.
	stallLogThreshold = 150 * time.Millisecond
)

// stalls measures how late the process runs: by how much the time between two readings of the clock exceeds the pause between
// them, and how much processor time the process used in between.
type stallMonitor struct {
	read time.Time
	used time.Duration
	// late counts the readings by their lateness, in seconds.
	late prometheus.Histogram
}

func newStallMonitor(r prometheus.Registerer) *stallMonitor {
	s := &stallMonitor{late: prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "sapphiretray_timer_late_seconds", Help: "How late a timer of 0.1 s was.", Buckets: []float64{.01, .05, .1, .2, .5, 1, 2, 5},
	})}
	r.MustRegister(s.late)
	return s
}

// observe takes a reading and returns the lateness since the one before, and the processor time that was used since then.
func (s *stallMonitor) observe(now time.Time, used time.Duration) (late, busy time.Duration) {
	if !s.read.IsZero() {
		late, busy = max(0, now.Sub(s.read)-stallInterval), used-s.used
		s.late.Observe(late.Seconds())
	}
	s.read, s.used = now, used
	return late, busy
}

// watchStalls logs when the process stood still, until ctx ends. Processor time near the lateness tells a busy process from one that
// was not given the processor.
func (m *Mesh) watchStalls(ctx context.Context) {
	s := newStallMonitor(m.registry)
	s.observe(time.Now(), processorTime())
	for wait.For(ctx, stallInterval) {
		if late, busy := s.observe(time.Now(), processorTime()); late >= stallLogThreshold {
			klog.InfoS("process: stood still", "late", late, "processorTime", busy, "running", m.gateway.Load().Running)
		}
	}
}

// processorTime returns the processor time that the process has used, or 0 where the system doesn't tell.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		klog.V(1).InfoS("process: processor time unknown", "err", err)
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
