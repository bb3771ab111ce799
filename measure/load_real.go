package measure

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sapphiretray/code"
	"sapphiretray/policy"
	"sapphiretray/wait"
)

// RealLoadSpec describes a run over loopback HTTP against four servers in this process, half as many as in the simulation.
type RealLoadSpec struct {
	// Limited enables the admission limits.
	Limited bool
	// Load is the arrival rate relative to the capacity of all servers.
	Load float64
	Seed uint64
	// Duration is the time during which requests arrive.
	Duration time.Duration
}

// realServiceTimes are the mean service times of the servers, fastest first.
var realServiceTimes = []time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond}

// realLoad is the state of one run; URLs and limiters are by server, and connections bounds the requests in flight.
type realLoad struct {
	client      *http.Client
	urls        []string
	limiters    []*policy.Limiter
	connections chan struct{}
	mu          sync.Mutex
	result      LoadResult
}

// RealLoad runs the steady scenario in real time over loopback HTTP. It counts all requests, also those of the first quarter, and
// its results vary between runs, both unlike SimulateLoad. Requests that fail without being shed count as late.
func RealLoad(ctx context.Context, spec RealLoadSpec) (LoadResult, error) {
	load := &realLoad{
		client: newLoadClient(loadConnections), connections: make(chan struct{}, loadConnections), result: newLoadResult(),
	}
	defer load.client.CloseIdleConnections()
	rate := 0.0
	for _, mean := range realServiceTimes {
		url, stop, err := startRealServer(ctx, mean)
		if err != nil {
			return LoadResult{}, err
		}
		defer stop()
		load.urls = append(load.urls, url)
		slots := 0
		if spec.Limited {
			slots = loadSlots
		}
		load.limiters = append(load.limiters, policy.NewLimiter(slots))
		rate += spec.Load * loadSlots / mean.Seconds()
	}
	drawn := drawArrivals(spec.Seed, rate, spec.Duration, realServiceTimes)
	times := make([]time.Duration, len(drawn))
	for i, arrival := range drawn {
		times[i] = arrival.at
	}
	openLoop(ctx, times, func(i int, intended time.Time) {
		outcome := load.send(ctx, drawn[i], intended)
		load.mu.Lock()
		defer load.mu.Unlock()
		load.result.record(drawn[i].route, drawn[i].owner != 0, outcome, time.Since(intended))
	})
	load.result.finish(spec.Duration, len(drawn))
	return load.result, ctx.Err()
}

// send sends one request after admission and returns its outcome.
func (l *realLoad) send(ctx context.Context, arrival loadArrival, intended time.Time) requestOutcome {
	route := loadRoutes[arrival.route]
	deadline := intended.Add(route.timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case l.connections <- struct{}{}:
		defer func() { <-l.connections }()
	case <-ctx.Done():
		return outcomeLate
	}
	release, err := l.limiters[arrival.owner].Acquire(ctx, route.importance, deadline)
	if number, _ := code.Of(err); number == code.Shed {
		return outcomeShed
	}
	if err != nil {
		return outcomeLate
	}
	start := time.Now()
	url := l.urls[arrival.owner] + "?work=" + strconv.FormatFloat(arrival.work, 'f', -1, 64)
	err = get(ctx, l.client, url)
	release(time.Since(start), err == nil)
	if err != nil {
		return outcomeLate
	}
	return outcomeOK
}

// get sends a GET request, reads the whole response, and fails unless its status is 200.
func get(ctx context.Context, client *http.Client, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("unexpected status %s", response.Status)
	}
	return nil
}

// startRealServer starts a server on loopback that runs loadSlots requests at once, and returns its URL and a function that stops it.
// The query parameter work of a request is its service time relative to the mean.
func startRealServer(ctx context.Context, mean time.Duration) (url string, stop func(), err error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	slots := make(chan struct{}, loadSlots)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		work, err := strconv.ParseFloat(r.URL.Query().Get("work"), 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-r.Context().Done():
			return
		}
		wait.For(r.Context(), time.Duration(work*float64(mean)))
	})}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	return "http://" + listener.Addr().String() + "/", func() {
		_ = server.Close()
		group.Wait()
	}, nil
}

// RealLoads runs RealLoad at all loads, without and with admission limits.
func RealLoads(ctx context.Context, seed uint64, duration time.Duration) ([]LoadRow, error) {
	var rows []LoadRow
	for _, limited := range []bool{false, true} {
		variant := "none"
		if limited {
			variant = "limit"
		}
		for _, load := range Loads {
			result, err := RealLoad(ctx, RealLoadSpec{Limited: limited, Load: load, Seed: seed, Duration: duration})
			if err != nil {
				return nil, err
			}
			rows = append(rows, LoadRow{"real", variant, load, result})
		}
	}
	return rows, nil
}
