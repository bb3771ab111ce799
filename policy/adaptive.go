package policy

import (
	"math"
	"time"
)

const (
	// windowSamples is the number of requests after which a window ends.
	windowSamples = 50
	// windowTime is the age at which a window with at least windowMinSamples requests ends, for upstreams with few requests.
	windowTime       = time.Second
	windowMinSamples = 10
	// latencyTolerance is the ratio of a window's mean latency to the baseline above which requests are assumed to queue in the
	// upstream.
	latencyTolerance = 1.5
	// significance is the number of standard errors within which two means count as equal. Without it, the variance of
	// windows that mix slow and fast requests shrinks the limit.
	significance = 2
	// maxShrink is the smallest factor by which a window's latency changes the limit.
	maxShrink = 0.5
	// growth is added to the limit after a window that used all of it without failures or a higher latency.
	growth = 1
	// failureShrink is the factor by which a window with a larger share of failures than maxFailureShare changes the limit.
	failureShrink   = 0.8
	maxFailureShare = 0.05
	// failureFloor is the share of the slots below which failures alone don't shrink the limit, since they may come from one
	// kind of request that always fails.
	failureFloor = 0.25
	// baselineWeight is the weight of a window's mean in the moving average of the baseline.
	baselineWeight = 0.2
)

// adaptiveLimit is a concurrency limit that adapts to the latency. It shrinks when the mean latency of a window exceeds
// the baseline, or when requests fail, and grows by one after each window that used the whole limit without either.
//
// The baseline adapts to lower means at any time, and to higher ones only while at most half of the declared slots were in
// use: above that, the limit itself may cause the higher latency, and adapting to it would let the limit grow without bound.
//
// Means are of the logarithm of the latency, with a baseline for each importance, so that a few long uploads among short
// look-ups don't look like an overload.
type adaptiveLimit struct {
	slots    float64
	maximum  float64
	value    float64                    // Current limit.
	baseline [MaxImportance + 1]float64 // Natural logarithm of seconds.
	known    [MaxImportance + 1]bool    // Whether the baseline has been set.
	window   latencyWindow
}

// latencyWindow holds the results of the requests that have ended since the limit was last adapted.
type latencyWindow struct {
	start    time.Time
	failures int
	peak     int // Most requests in flight.
	samples  int // Successful requests, of all importances.
	// Successful requests of each importance, and sums of the logarithms of their latencies and of the squares.
	counts  [MaxImportance + 1]int
	sums    [MaxImportance + 1]float64
	squares [MaxImportance + 1]float64
}

func newAdaptiveLimit(slots, maximum int) adaptiveLimit {
	return adaptiveLimit{slots: float64(slots), maximum: float64(max(slots, maximum)), value: float64(slots)}
}

// observe records a finished request, and adapts the limit at the end of a window.
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

// adapt changes the limit according to the window.
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

// excess returns by how much the mean logarithm of the window's latencies exceeds the baselines, minus the margin of error of
// the mean.
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

// updateBaselines moves the baselines towards the means of the window.
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

// variance returns the variance of the logarithms of the latencies of one importance.
func (w *latencyWindow) variance(importance int) float64 {
	n := float64(w.counts[importance])
	mean := w.sums[importance] / n
	return max(0, w.squares[importance]/n-mean*mean)
}
