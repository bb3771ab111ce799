package measure

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// openLoop calls send for each arrival at its time, whether or not earlier calls have returned, and waits for all calls.
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

// newLoadClient returns a client that keeps enough idle connections that an open loop doesn't open new ones for each
// request.
func newLoadClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConns: connections, MaxIdleConnsPerHost: connections}}
}
