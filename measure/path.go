package measure

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// PathEndpoint is one path to the upstream: direct, or through instances.
type PathEndpoint struct {
	Name string
	// URL is the URL of the GET requests.
	URL string
	// Processes are the ids of the processes on the path, whose processor time is measured.
	Processes []int
}

// PathSpec describes a comparison of the latency and processor time of paths.
type PathSpec struct {
	// Endpoints are measured one after the other in each round, so that they don't affect each other. The others are compared with
	// the first.
	Endpoints []PathEndpoint
	// Rate is the number of requests per second for each endpoint.
	Rate float64
	// Duration is the time for each endpoint in each round. Requests of the first fifth warm up connections and are not counted.
	Duration time.Duration
	// Rounds is the number of rounds; 0 means 1.
	Rounds int
	// Timeout bounds a request; 0 means 5 s.
	Timeout time.Duration
	Seed    uint64
	// ProcessorTime returns the processor time that a process has used; nil means that processor time is not measured.
	ProcessorTime func(process int) (time.Duration, error)
}

// PathResult is the result for one endpoint over all rounds.
type PathResult struct {
	Name     string  `json:"name"`
	Requests int     `json:"requests"`
	Failed   int     `json:"failed"`
	Rate     float64 `json:"requests_per_second"`
	// P50 and P99 are latencies from the intended start, so that delays behind slow responses count.
	P50 time.Duration `json:"p50_ns"`
	P99 time.Duration `json:"p99_ns"`
	// SentP50 and SentP99 are latencies from the moment of sending. They exclude the delay of the load generator's timers, which is
	// the same for all endpoints and would hide a part of the difference between them.
	SentP50 time.Duration `json:"sent_p50_ns"`
	SentP99 time.Duration `json:"sent_p99_ns"`
	// Relative is SentP50 relative to that of the first endpoint.
	Relative float64 `json:"relative"`
	// ProcessorTime is the processor time per request, including the warm-up.
	ProcessorTime time.Duration `json:"processor_ns_per_request"`
}

const defaultPathTimeout = 5 * time.Second

// Path measures all endpoints under the same open-loop load. The arrival times differ between rounds and are the same for all endpoints
// of a round.
func Path(ctx context.Context, spec PathSpec) ([]PathResult, error) {
	if len(spec.Endpoints) == 0 || spec.Rate <= 0 || spec.Duration <= 0 {
		return nil, fmt.Errorf("path: endpoints, a positive rate and a positive duration are required")
	}
	if spec.Timeout == 0 {
		spec.Timeout = defaultPathTimeout
	}
	client := newLoadClient(loadConnections)
	defer client.CloseIdleConnections()
	runs := make([]*pathRun, len(spec.Endpoints))
	for i, endpoint := range spec.Endpoints {
		runs[i] = &pathRun{spec: spec, endpoint: endpoint, client: client, intended: newPathLatencies(), sent: newPathLatencies()}
	}
	for round := range max(1, spec.Rounds) {
		arrivals := drawTimes(spec.Seed+uint64(round), spec.Rate, spec.Duration)
		for _, run := range runs {
			if err := run.measure(ctx, arrivals); err != nil {
				return nil, err
			}
		}
	}
	results := make([]PathResult, len(runs))
	for i, run := range runs {
		results[i] = run.result()
		results[i].Relative = ratio(float64(results[i].SentP50), float64(results[0].SentP50))
	}
	return results, nil
}

// drawTimes draws the arrival times of a Poisson process with a rate per second.
func drawTimes(seed uint64, rate float64, duration time.Duration) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 4))
	var times []time.Duration
	for at := random.ExpFloat64() / rate; at < duration.Seconds(); at += random.ExpFloat64() / rate {
		times = append(times, time.Duration(at*float64(time.Second)))
	}
	return times
}

// newPathLatencies returns a histogram of latencies from 1 µs to one minute, in nanoseconds.
func newPathLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1000, time.Minute.Nanoseconds(), 3)
}

// pathRun measures one endpoint.
type pathRun struct {
	spec     PathSpec
	endpoint PathEndpoint
	client   *http.Client
	mu       sync.Mutex
	intended *hdrhistogram.Histogram
	sent     *hdrhistogram.Histogram
	// requests and failed leave out the warm-up, and totalRequests includes it.
	requests      int
	failed        int
	totalRequests int
	elapsed       time.Duration
	processor     time.Duration
}

// measure runs one round.
func (r *pathRun) measure(ctx context.Context, arrivals []time.Duration) error {
	before, err := r.processorTime()
	if err != nil {
		return err
	}
	start := time.Now()
	warmUp := r.spec.Duration / 5
	openLoop(ctx, arrivals, func(i int, intended time.Time) { r.send(ctx, intended, arrivals[i] >= warmUp) })
	r.elapsed += time.Since(start) - warmUp
	r.totalRequests += len(arrivals)
	after, err := r.processorTime()
	if err != nil {
		return err
	}
	r.processor += after - before
	return ctx.Err()
}

func (r *pathRun) send(ctx context.Context, intended time.Time, counted bool) {
	ctx, cancel := context.WithTimeout(ctx, r.spec.Timeout)
	defer cancel()
	sent := time.Now()
	err := get(ctx, r.client, r.endpoint.URL)
	end := time.Now()
	if !counted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	if err != nil {
		r.failed++
		return
	}
	_ = r.intended.RecordValue(min(end.Sub(intended), time.Minute).Nanoseconds())
	_ = r.sent.RecordValue(min(end.Sub(sent), time.Minute).Nanoseconds())
}

// processorTime returns the sum over the endpoint's processes.
func (r *pathRun) processorTime() (time.Duration, error) {
	if r.spec.ProcessorTime == nil {
		return 0, nil
	}
	var sum time.Duration
	for _, process := range r.endpoint.Processes {
		used, err := r.spec.ProcessorTime(process)
		if err != nil {
			return 0, fmt.Errorf("path: processor time of %s: %w", r.endpoint.Name, err)
		}
		sum += used
	}
	return sum, nil
}

func (r *pathRun) result() PathResult {
	result := PathResult{
		Name: r.endpoint.Name, Requests: r.requests, Failed: r.failed,
		Rate: ratio(float64(r.requests-r.failed), r.elapsed.Seconds()),
		P50:  time.Duration(r.intended.ValueAtQuantile(50)), P99: time.Duration(r.intended.ValueAtQuantile(99)),
		SentP50: time.Duration(r.sent.ValueAtQuantile(50)), SentP99: time.Duration(r.sent.ValueAtQuantile(99)),
	}
	if r.totalRequests > 0 {
		result.ProcessorTime = r.processor / time.Duration(r.totalRequests)
	}
	return result
}

// WritePaths prints results as a table, with times in milliseconds.
func WritePaths(w io.Writer, results []PathResult) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeCells(table, "path\trequests\tfailed\trequests/s\tp50\tp99\tsent p50\tsent p99\trelative\tprocessor per request\n")
	for _, r := range results {
		writeCells(table, "%s\t%d\t%d\t%.0f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.3f\n", r.Name, r.Requests, r.Failed, r.Rate,
			inMilliseconds(r.P50), inMilliseconds(r.P99), inMilliseconds(r.SentP50), inMilliseconds(r.SentP99), r.Relative,
			inMilliseconds(r.ProcessorTime))
	}
	return table.Flush()
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
