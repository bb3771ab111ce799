package upstream

import (
	"context"
	"net/http"
	"time"

	"sapphiretray/code"
)

// Health is the state that an upstream reports of itself. It may be outdated or wrong.
type Health struct {
	Ready    bool    `json:"ready"`     // The upstream can serve requests: it is warmed up and not draining.
	Load     float64 `json:"load"`      // Running and queued requests per concurrency slot.
	Slots    int     `json:"slots"`     // Requests that can run at once.
	InFlight int     `json:"in_flight"` // Running requests.
	Clock    int64   `json:"clock"`     // The upstream's clock in milliseconds.
}

// Probe is the result of one probe.
type Probe struct {
	Health Health
	// Err is nil if the upstream responded in time.
	Err error
	// Failures is the number of consecutive failed probes, including this one.
	Failures int
	// Took is the time from the start of the probe to its response or failure.
	Took time.Duration
}

// Down reports whether so many consecutive probes have failed that the upstream counts as down.
func (p Probe) Down() bool { return p.Failures >= DownAfterFailures }

// Probe requests the upstream's health. It also records the upstream's clock.
func (c *Client) Probe(ctx context.Context) (Health, error) {
	ctx, cancel := context.WithTimeout(ctx, c.probeTimeout)
	defer cancel()
	var health Health
	status, err := c.call(ctx, c.control, http.MethodGet, "/sapphire/health", nil, &health)
	if err != nil {
		return Health{}, err
	}
	if status != http.StatusOK {
		return Health{}, code.New(code.UpstreamFailed, "upstream responded with status %d to a probe", status)
	}
	c.recordClock(health.Clock)
	return health, nil
}

// Watch probes the upstream until ctx ends and calls report after each probe. It closes the idle connections after a failed probe,
// so that dead connections fail one probe and not DownAfterFailures in a row.
func (c *Client) Watch(ctx context.Context, report func(Probe)) {
	ticker := time.NewTicker(c.probeInterval)
	defer ticker.Stop()
	failures := 0
	for {
		start := time.Now()
		health, err := c.Probe(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			c.connections.closeIdle()
		} else {
			failures = 0
		}
		report(Probe{Health: health, Err: err, Failures: failures, Took: time.Since(start)})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
