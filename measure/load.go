package measure

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LoadScenario is the behaviour of the upstreams in the load experiment.
type LoadScenario string

// The scenarios. Faults of one upstream hit the first of the fastest ones and start 8 s into the run.
const (
	// LoadSteady has no faults.
	LoadSteady LoadScenario = "steady"
	// LoadFreeze freezes one upstream for 6 s; its connections stay open.
	LoadFreeze LoadScenario = "freeze"
	// LoadShed makes all upstreams refuse requests above 9 in flight, which is less than the highest limit that admission can reach.
	LoadShed LoadScenario = "shed"
	// LoadCold restarts one upstream, which is slower under load for 10 s.
	LoadCold LoadScenario = "cold"
)

// LoadPolicies tells which policies are enabled: concurrency limit, priority by importance, refusal of requests that would miss their
// deadline, retry budget and slow start.
type LoadPolicies struct {
	Limit      bool `json:"limit"`
	Importance bool `json:"importance"`
	Deadline   bool `json:"deadline"`
	Budget     bool `json:"budget"`
	SlowStart  bool `json:"slow_start"`
}

// AllLoadPolicies enables every policy.
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

// LoadResult is the result of one run. Apart from Retries, it counts requests, not attempts. Shed requests were refused by an instance
// or an upstream, and late ones missed their deadline.
type LoadResult struct {
	Requests int     `json:"requests"`
	Goodput  float64 `json:"goodput_per_second"`
	OK       int     `json:"ok"`
	Shed     int     `json:"shed"`
	Late     int     `json:"late"`
	// Retries is the number of retries during the whole run, and RetryShare their share of all first attempts.
	Retries    int     `json:"retries"`
	RetryShare float64 `json:"retry_share"`
	// Routes are ordered by importance, highest first.
	Routes []LoadRouteResult `json:"routes"`
	// Others is the result for requests to all upstreams but the first, which is the one that has faults.
	Others LoadRouteResult `json:"others"`
}

// LoadRouteResult is the result for one route. P50 and P99 are latencies of successful requests, measured from the intended start.
type LoadRouteResult struct {
	Name       string        `json:"name"`
	Importance int           `json:"importance"`
	Requests   int           `json:"requests"`
	OK         int           `json:"ok"`
	P50        time.Duration `json:"p50_ns"`
	P99        time.Duration `json:"p99_ns"`
	latencies  *hdrhistogram.Histogram
}

// loadRoute is one kind of request; share is its share of all requests.
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

// loadServiceTimes are the mean service times of the upstreams, fastest first.
var loadServiceTimes = []time.Duration{
	10 * time.Millisecond, 10 * time.Millisecond, 15 * time.Millisecond, 15 * time.Millisecond,
	20 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond, 40 * time.Millisecond,
}

const (
	// loadSlots is the number of requests that an upstream runs at once.
	loadSlots = 6
	// loadConnections is the number of requests that all callers together can have in flight: 130 for each of 8 instances.
	loadConnections = 8 * 130
	// loadAttempts is the largest number of attempts for one request.
	loadAttempts = 3
	// loadShedThreshold is the number of requests in flight from which an upstream refuses further ones in the scenario LoadShed.
	loadShedThreshold = 9
	// loadFaultAt is the start of the faults of LoadFreeze and LoadCold; the next two constants are their durations.
	loadFaultAt        = 8 * time.Second
	loadFreezeDuration = 6 * time.Second
	loadColdDuration   = 10 * time.Second
)

// LoadCapacity returns the requests per second that the upstreams of the experiment can finish.
func LoadCapacity() float64 {
	capacity := 0.0
	for _, mean := range loadServiceTimes {
		capacity += loadSlots / mean.Seconds()
	}
	return capacity
}

// loadArrival is one request of the generated load.
type loadArrival struct {
	// at is the arrival time since the start of the run.
	at time.Duration
	// route and owner are indices of the request's route and upstream.
	route int
	owner int
	// work is the service time relative to the upstream's mean.
	work float64
}

// drawArrivals draws the arrivals of a Poisson process before the run, so that a slow system doesn't reduce its own load. Upstreams
// receive requests in proportion to their capacities.
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
	owner, route := newWeightedSampler(weights), newWeightedSampler(shares)
	var arrivals []loadArrival
	for at := 0.0; ; {
		at += random.ExpFloat64() / rate
		if at >= duration.Seconds() {
			return arrivals
		}
		arrivals = append(arrivals, loadArrival{
			at:    time.Duration(at * float64(time.Second)),
			route: route.sample(random),
			owner: owner.sample(random),
			work:  0.5 + 0.5*random.ExpFloat64(),
		})
	}
}

// weightedSampler draws random indices in proportion to weights; sums are the cumulative weights.
type weightedSampler struct{ sums []float64 }

func newWeightedSampler(weights []float64) weightedSampler {
	sums := make([]float64, len(weights))
	sum := 0.0
	for i, weight := range weights {
		sum += weight
		sums[i] = sum
	}
	return weightedSampler{sums}
}

func (d weightedSampler) sample(random *rand.Rand) int {
	last := len(d.sums) - 1
	x := random.Float64() * d.sums[last]
	return min(last, sort.Search(len(d.sums), func(i int) bool { return d.sums[i] > x }))
}

// requestOutcome is the final outcome of a request.
type requestOutcome int

const (
	outcomeOK requestOutcome = iota
	outcomeShed
	outcomeLate
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

// newLatencies returns a histogram of latencies from one microsecond to one minute, in microseconds.
func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

// record counts a request and its latency; other tells that it went to an upstream other than the first.
func (r *LoadResult) record(route int, other bool, outcome requestOutcome, latency time.Duration) {
	r.Requests++
	r.Routes[route].record(outcome, latency)
	if other {
		r.Others.record(outcome, latency)
	}
	switch outcome {
	case outcomeOK:
		r.OK++
	case outcomeShed:
		r.Shed++
	case outcomeLate:
		r.Late++
	}
}

func (r *LoadRouteResult) record(outcome requestOutcome, latency time.Duration) {
	r.Requests++
	if outcome == outcomeOK {
		r.OK++
		_ = r.latencies.RecordValue(min(max(latency.Microseconds(), 1), time.Minute.Microseconds()))
	}
}

func (r *LoadRouteResult) finish() {
	r.P50, r.P99 = quantile(r.latencies, 50), quantile(r.latencies, 99)
}

// quantile returns a percentile of a histogram in microseconds.
func quantile(latencies *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(latencies.ValueAtQuantile(percentile)) * time.Microsecond
}

// finish computes rates and quantiles. It takes the duration over which requests were counted and the number of first attempts.
func (r *LoadResult) finish(counted time.Duration, firstAttempts int) {
	r.Goodput = float64(r.OK) / counted.Seconds()
	if firstAttempts > 0 {
		r.RetryShare = float64(r.Retries) / float64(firstAttempts)
	}
	for i := range r.Routes {
		r.Routes[i].finish()
	}
	r.Others.finish()
}
