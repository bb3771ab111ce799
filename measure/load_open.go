package measure

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// openLoop generates an open-loop load: it calls send at each arrival time after the start, whether or not earlier calls have
// returned, and then waits for all calls. It stops early if ctx ends.
func openLoop(ctx context.Context, arrivals []time.Duration, send func(i int, intended time.Time)) {
	var group sync.WaitGroup
	defer group.Wait()
	start := time.Now()
	for i, at := range arrivals {
		intended := start.Add(at)
		if wait := time.Until(intended); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			return
		}
		group.Go(func() { send(i, intended) })
	}
}

// newLoadClient returns a client that keeps up to the given number of idle connections, so that an open loop doesn't open a new one
// for each request.
func newLoadClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConns: connections, MaxIdleConnsPerHost: connections}}
}
