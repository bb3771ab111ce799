package policy

import "time"

const (
	// A window has enough samples that the mean of exponentially distributed latencies varies by about 14%.
	windowSamples = 50
	// A slow upstream closes its windows by time, with fewer samples.
	windowTime       = time.Second
	windowMinSamples = 10
	// latencyTolerance is the rise of a window's mean over the baseline that is not taken as queueing.
	latencyTolerance = 1.5
	// Bounds of one window's change.
	maxShrink       = 0.5
	growth          = 1
	failureShrink   = 0.8
	maxFailureShare = 0.05
	// Failures alone don't shrink the limit below this share of the slots, since they may come from one kind of request
	// that always fails.
	failureFloor = 0.25
	// Weights of a window's mean in the baseline.
	baselineWeight = 0.2
)

// adaptiveLimit is a concurrency limit that follows the latency. It shrinks when the mean latency of a window exceeds
// the baseline, or when requests fail, and grows by one for each window that used the whole limit without either.
//
// The baseline follows lower means at any time, and higher ones only while at most half of the declared slots were in
// use: above that, a higher latency may be caused by the limit itself, and following it would let the limit grow
// without bound.
type adaptiveLimit struct {
	slots    float64
	maximum  float64
	value    float64
	baseline float64 // Seconds; 0 means unknown.
	window   latencyWindow
}

type latencyWindow struct {
	start    time.Time
	samples  int
	failures int
	sum      float64
	peak     int
}

func newAdaptiveLimit(slots, maximum int) adaptiveLimit {
	return adaptiveLimit{slots: float64(slots), maximum: float64(max(slots, maximum)), value: float64(slots)}
}

func (l *adaptiveLimit) observe(now time.Time, inFlight int, latency time.Duration, ok bool) {
	w := &l.window
	if w.samples+w.failures == 0 {
		w.start = now
	}
	w.peak = max(w.peak, inFlight)
	if ok {
		w.samples++
		w.sum += latency.Seconds()
	} else {
		w.failures++
	}
	total := w.samples + w.failures
	if total < windowSamples && (total < windowMinSamples || now.Sub(w.start) < windowTime) {
		return
	}
	l.adapt()
	l.window = latencyWindow{}
}

func (l *adaptiveLimit) adapt() {
	w := l.window
	factor := 1.0
	if w.samples > 0 {
		mean := w.sum / float64(w.samples)
		l.updateBaseline(mean)
		if mean > 0 {
			factor = min(1, max(maxShrink, latencyTolerance*l.baseline/mean))
		}
	}
	if float64(w.failures) > maxFailureShare*float64(w.samples+w.failures) && l.value*failureShrink >= failureFloor*l.slots {
		factor = min(factor, failureShrink)
	}
	switch {
	case factor < 1:
		l.value *= factor
	case w.failures == 0 && w.peak >= int(l.value):
		l.value += growth
	}
	l.value = min(max(l.value, 1), l.maximum)
}

func (l *adaptiveLimit) updateBaseline(mean float64) {
	half := max(1, l.slots/2)
	if l.baseline == 0 {
		l.baseline = mean
	} else if mean < l.baseline || float64(l.window.peak) <= half {
		l.baseline += baselineWeight * (mean - l.baseline)
	}
}
