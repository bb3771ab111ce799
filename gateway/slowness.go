package gateway

import (
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/loglimit"
)

const (
	// slownessLifetime is the age up to which a reported slowness is used. It changes several times a second.
	slownessLifetime = 200 * time.Millisecond
	// usualWindow is the time over which the usual slowness is the median. Slow spells last for a part of a second and fill less than half
	// of the window, unlike a lasting change.
	usualWindow = 5 * time.Second
	// usualInterval is the time between two samples of the window.
	usualInterval = 100 * time.Millisecond
)

// slowness tracks how long work takes at the upstream, from the upstream's load reports: now, and usually. Values are multiples of the time
// that the same work takes at an upstream of mean speed. It is safe for concurrent use, and its zero value is ready to use.
type slowness struct {
	mu sync.Mutex
	// reported is the newest report, 0 before the first one, and at when it arrived.
	reported float64
	at       time.Time
	// samples are the reports of the last usualWindow, one per usualInterval. mean and median are those of the samples, 0 before the first.
	samples      []slownessSample
	mean, median float64
}

// slownessSample is a reported slowness with the time of its arrival.
type slownessSample struct {
	at       time.Time
	slowness float64
}

// observe records a reported slowness, which must be above 0.
func (s *slowness) observe(now time.Time, reported float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reported, s.at = reported, now
	if n := len(s.samples); n > 0 && now.Sub(s.samples[n-1].at) < usualInterval {
		return
	}
	s.samples = slices.DeleteFunc(s.samples, func(o slownessSample) bool { return now.Sub(o.at) > usualWindow })
	s.samples = append(s.samples, slownessSample{at: now, slowness: reported})
	values, sum := make([]float64, 0, len(s.samples)), 0.0
	for _, o := range s.samples {
		values = append(values, o.slowness)
		sum += o.slowness
	}
	slices.Sort(values)
	s.mean = sum / float64(len(values))
	s.median = values[(len(values)-1)/2]
}

// usual returns the lasting slowness, 1 before the first report.
func (s *slowness) usual() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.median == 0 {
		return 1
	}
	return s.median
}

// meanTime returns the time that work takes in the mean, spells included, if it takes a time at an upstream of mean speed.
func (s *slowness) meanTime(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mean == 0 {
		return d
	}
	return time.Duration(s.mean * float64(d))
}

// excess returns the mean slowness as a multiple of the usual one, or 0 before the first report.
func (s *slowness) excess() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.median == 0 {
		return 0
	}
	return s.mean / s.median
}

// current returns the slowness now, and false if no recent report contains it; it is the usual one then.
func (s *slowness) current(now time.Time) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.median == 0:
		return 1, false
	case now.Sub(s.at) > slownessLifetime:
		return s.median, false
	default:
		return s.reported, true
	}
}

// relative returns the slowness now as a multiple of the usual one, or 0 if no recent report contains it.
func (s *slowness) relative(now time.Time) float64 {
	current, ok := s.current(now)
	if !ok {
		return 0
	}
	return current / s.usual()
}

// observeReport uses the load report in a response. A malformed one is logged, and the last valid one stays in use.
func (g *Gateway) observeReport(now time.Time, info ResponseInfo) {
	if info.ReportError != nil && g.reportLog.Allow(info.ReportError.Error()) {
		klog.InfoS("upstream: invalid load report ignored", "life", g.State().UpstreamRun, "err", loglimit.Text(info.ReportError.Error()))
	}
	if info.Report.Slowness > 0 {
		g.slowness.observe(now, info.Report.Slowness)
	}
}

// usualServiceTime returns the time that the upstream usually needs for a request of a route.
func (g *Gateway) usualServiceTime(route string) time.Duration {
	return time.Duration(g.slowness.usual() * float64(g.estimates.get(route)))
}

// serviceTime returns the time that the upstream is expected to need for a request of a route that begins now.
func (g *Gateway) serviceTime(route string) time.Duration {
	current, _ := g.slowness.current(time.Now())
	return time.Duration(current * float64(g.estimates.get(route)))
}

// MeanSlowness returns how long work took at the upstream recently, as a multiple of the usual time, or 0 if the upstream doesn't report
// it. Slow spells raise it.
func (g *Gateway) MeanSlowness() float64 { return g.slowness.excess() }

// ServiceTimes returns the usual service time of each route that the upstream has served. Slow spells don't change them.
func (g *Gateway) ServiceTimes() map[string]ServiceTime {
	usual, times := g.slowness.usual(), g.estimates.all()
	for route, t := range times {
		t.Mean = time.Duration(usual * float64(t.Mean))
		times[route] = t
	}
	return times
}
