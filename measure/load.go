package measure

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LoadScenario is the behaviour of the upstreams in a load experiment.
type LoadScenario string

// The scenarios. The fault happens at the fastest upstream, from 8 s on.
const (
	LoadSteady LoadScenario = "steady"
	// LoadFreeze stops one upstream for 6 s without closing its connections.
	LoadFreeze LoadScenario = "freeze"
	// LoadShed makes all upstreams reject requests above 9 in flight, which is less than the highest limit.
	LoadShed LoadScenario = "shed"
	// LoadCold restarts one upstream, which is slow at full use for 10 s.
	LoadCold LoadScenario = "cold"
)

// LoadPolicies tells which policies are in use.
type LoadPolicies struct {
	Limit      bool `json:"limit"`
	Importance bool `json:"importance"`
	Deadline   bool `json:"deadline"`
	Budget     bool `json:"budget"`
	SlowStart  bool `json:"slow_start"`
}

// AllLoadPolicies has every policy in use.
var AllLoadPolicies = LoadPolicies{Limit: true, Importance: true, Deadline: true, Budget: true, SlowStart: true}

// LoadSpec describes one run of the load experiment.
type LoadSpec struct {
	Scenario LoadScenario
	Policies LoadPolicies
	// Load is the arrival rate relative to the capacity of all upstreams.
	Load float64
	Seed uint64
	// Duration is the time during which requests arrive; the first quarter is not counted.
	Duration time.Duration
}

// LoadResult is the result of one run. Counts are of requests, not of attempts, but for Retries.
type LoadResult struct {
	Requests int     `json:"requests"`
	Goodput  float64 `json:"goodput_per_second"`
	OK       int     `json:"ok"`
	Shed     int     `json:"shed"`
	Late     int     `json:"late"`
	// Retries is the number of retries during the whole run, and RetryShare their share of all first attempts.
	Retries    int               `json:"retries"`
	RetryShare float64           `json:"retry_share"`
	Routes     []LoadRouteResult `json:"routes"`
	// Others counts the requests to upstreams that have no fault.
	Others LoadRouteResult `json:"others"`
}

// LoadRouteResult is the part of a result for one route, ordered by importance. The quantiles are of requests that
// succeeded, from the intended start.
type LoadRouteResult struct {
	Name       string        `json:"name"`
	Importance int           `json:"importance"`
	Requests   int           `json:"requests"`
	OK         int           `json:"ok"`
	P50        time.Duration `json:"p50_ns"`
	P99        time.Duration `json:"p99_ns"`
	latencies  *hdrhistogram.Histogram
}

type loadRoute struct {
	name       string
	importance int
	share      float64
	timeout    time.Duration
}

// loadRoutes is the mix of requests, most important first.
var loadRoutes = []loadRoute{
	{"roster", 9, 0.2, 300 * time.Millisecond},
	{"position", 7, 0.3, 150 * time.Millisecond},
	{"booking", 5, 0.3, 5 * time.Second},
	{"clip", 1, 0.2, 10 * time.Second},
}

// loadMeans are the mean service times of the upstreams, fastest first.
var loadMeans = []time.Duration{
	10 * time.Millisecond, 10 * time.Millisecond, 15 * time.Millisecond, 15 * time.Millisecond,
	20 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond, 40 * time.Millisecond,
}

const (
	loadSlots = 6
	// loadConnections is the number of requests that callers can have in flight together: 130 for each instance.
	loadConnections = 8 * 130
	loadAttempts    = 3
	loadShedBound   = 9
	loadFaultAt     = 8 * time.Second
	loadFreezeFor   = 6 * time.Second
	loadColdFor     = 10 * time.Second
)

// LoadCapacity returns the requests per second that the upstreams of the experiment can finish.
func LoadCapacity() float64 {
	capacity := 0.0
	for _, mean := range loadMeans {
		capacity += loadSlots / mean.Seconds()
	}
	return capacity
}

type loadArrival struct {
	at    time.Duration
	route int
	owner int
	work  float64
}

// drawArrivals draws all arrivals before the run, so that a slow system doesn't slow its own load. Keys are placed in
// proportion to the upstreams' capacities.
func drawArrivals(seed uint64, rate float64, duration time.Duration, means []time.Duration) []loadArrival {
	random := rand.New(rand.NewPCG(seed, 1))
	weights := make([]float64, len(means))
	for i, mean := range means {
		weights[i] = 1 / mean.Seconds()
	}
	shares := make([]float64, len(loadRoutes))
	for i, route := range loadRoutes {
		shares[i] = route.share
	}
	owner, route := newLoadDice(weights), newLoadDice(shares)
	var arrivals []loadArrival
	for at := 0.0; ; {
		at += random.ExpFloat64() / rate
		if at >= duration.Seconds() {
			return arrivals
		}
		arrivals = append(arrivals, loadArrival{
			at:    time.Duration(at * float64(time.Second)),
			route: route.draw(random),
			owner: owner.draw(random),
			work:  0.5 + 0.5*random.ExpFloat64(),
		})
	}
}

// loadDice draws indices with given weights.
type loadDice struct{ sums []float64 }

func newLoadDice(weights []float64) loadDice {
	sums := make([]float64, len(weights))
	sum := 0.0
	for i, weight := range weights {
		sum += weight
		sums[i] = sum
	}
	return loadDice{sums}
}

func (d loadDice) draw(random *rand.Rand) int {
	last := len(d.sums) - 1
	x := random.Float64() * d.sums[last]
	return min(last, sort.Search(len(d.sums), func(i int) bool { return d.sums[i] > x }))
}

type loadOutcome int

const (
	loadOK loadOutcome = iota
	loadShed
	loadLate
)

func newLoadResult() LoadResult {
	result := LoadResult{Others: newLoadRouteResult("others", 0)}
	for _, route := range loadRoutes {
		result.Routes = append(result.Routes, newLoadRouteResult(route.name, route.importance))
	}
	return result
}

func newLoadRouteResult(name string, importance int) LoadRouteResult {
	return LoadRouteResult{Name: name, Importance: importance, latencies: newLatencies()}
}

// newLatencies returns a histogram of microseconds up to a minute.
func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func (r *LoadResult) record(route int, other bool, outcome loadOutcome, latency time.Duration) {
	r.Requests++
	r.Routes[route].record(outcome, latency)
	if other {
		r.Others.record(outcome, latency)
	}
	switch outcome {
	case loadOK:
		r.OK++
	case loadShed:
		r.Shed++
	case loadLate:
		r.Late++
	}
}

func (r *LoadRouteResult) record(outcome loadOutcome, latency time.Duration) {
	r.Requests++
	if outcome == loadOK {
		r.OK++
		_ = r.latencies.RecordValue(min(max(latency.Microseconds(), 1), time.Minute.Microseconds()))
	}
}

func (r *LoadRouteResult) finish() {
	r.P50, r.P99 = quantile(r.latencies, 50), quantile(r.latencies, 99)
}

func quantile(latencies *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(latencies.ValueAtQuantile(percentile)) * time.Microsecond
}

func (r *LoadResult) finish(counted time.Duration, attempts int) {
	r.Goodput = float64(r.OK) / counted.Seconds()
	if attempts > 0 {
		r.RetryShare = float64(r.Retries) / float64(attempts)
	}
	for i := range r.Routes {
		r.Routes[i].finish()
	}
	r.Others.finish()
}
