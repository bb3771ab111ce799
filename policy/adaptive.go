package policy

import (
	"math"
	"time"
)

const (
	windowSamples = 50
	// A slow upstream closes its windows by time, with fewer samples.
	windowTime       = time.Second
	windowMinSamples = 10
	// latencyTolerance is the rise of a window's mean over the baseline, as a factor, that is not taken as queueing.
	latencyTolerance = 1.5
	// significance is the number of standard errors within which two means count as equal. Without it, the noise of
	// windows that mix slow and fast requests shrinks the limit.
	significance = 2
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
//
// Means are of the logarithm, with a baseline for each importance, so that a few long uploads among short look-ups don't
// look like an overload.
type adaptiveLimit struct {
	slots    float64
	maximum  float64
	value    float64
	baseline [MaxImportance + 1]float64 // Logarithm of seconds.
	known    [MaxImportance + 1]bool
	window   latencyWindow
}

type latencyWindow struct {
	start    time.Time
	failures int
	peak     int
	samples  int
	counts   [MaxImportance + 1]int
	sums     [MaxImportance + 1]float64
	squares  [MaxImportance + 1]float64
}

func newAdaptiveLimit(slots, maximum int) adaptiveLimit {
	return adaptiveLimit{slots: float64(slots), maximum: float64(max(slots, maximum)), value: float64(slots)}
}

func (l *adaptiveLimit) observe(now time.Time, importance, inFlight int, latency time.Duration, ok bool) {
	w := &l.window
	if w.samples+w.failures == 0 {
		w.start = now
	}
	w.peak = max(w.peak, inFlight)
	if ok {
		w.samples++
		w.counts[importance]++
		logarithm := math.Log(max(latency, time.Microsecond).Seconds())
		w.sums[importance] += logarithm
		w.squares[importance] += logarithm * logarithm
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
		l.updateBaselines()
		factor = min(1, max(maxShrink, latencyTolerance*math.Exp(-l.excess())))
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

// excess returns by how much the mean logarithm of the window's latencies exceeds the baselines, less the part that is
// within the error of the mean.
func (l *adaptiveLimit) excess() float64 {
	w := &l.window
	sum, variance := 0.0, 0.0
	for i, count := range w.counts {
		if count > 0 {
			sum += w.sums[i] - float64(count)*l.baseline[i]
			variance += float64(count) * w.variance(i)
		}
	}
	n := float64(w.samples)
	return sum/n - significance*math.Sqrt(variance)/n
}

func (l *adaptiveLimit) updateBaselines() {
	w := &l.window
	unloaded := float64(w.peak) <= max(1, l.slots/2)
	for i, count := range w.counts {
		if count == 0 {
			continue
		}
		mean := w.sums[i] / float64(count)
		tolerance := significance * math.Sqrt(w.variance(i)/float64(count))
		switch {
		case !l.known[i]:
			l.baseline[i], l.known[i] = mean, true
		case mean < l.baseline[i]-tolerance || unloaded:
			weight := baselineWeight * float64(count) / float64(w.samples)
			l.baseline[i] += weight * (mean - l.baseline[i])
		}
	}
}

// variance returns the variance of the logarithms of one importance.
func (w *latencyWindow) variance(importance int) float64 {
	n := float64(w.counts[importance])
	mean := w.sums[importance] / n
	return max(0, w.squares[importance]/n-mean*mean)
}
