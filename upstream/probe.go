package upstream

import (
	"context"
	"net/http"
	"time"

	"sapphiretray/code"
)

// Health is an upstream's report of itself. It may be stale or wrong.
type Health struct {
	Ready    bool    `json:"ready"`
	Load     float64 `json:"load"`
	Slots    int     `json:"slots"`
	InFlight int     `json:"in_flight"`
	Clock    int64   `json:"clock"`
}

// Probe is the result of one health check.
type Probe struct {
	Health Health
	// Err is nil if the upstream answered in time.
	Err error
	// Failures is the number of failed probes in a row, this one included.
	Failures int
	// Took is the time until the response or the failure.
	Took time.Duration
}

// Down reports whether so many probes in a row failed that the upstream counts as down.
func (p Probe) Down() bool { return p.Failures >= FailuresInARow }

// Probe asks for the upstream's health once.
func (c *Client) Probe(ctx context.Context) (Health, error) {
	ctx, cancel := context.WithTimeout(ctx, c.probeTimeout)
	defer cancel()
	var health Health
	status, err := c.call(ctx, http.MethodGet, "/sapphire/health", nil, &health)
	if err != nil {
		return Health{}, err
	}
	if status != http.StatusOK {
		return Health{}, code.New(code.UpstreamFailed, "upstream answered %d to a probe", status)
	}
	c.learnClock(health.Clock)
	return health, nil
}

// Watch probes the upstream until ctx ends and calls report after each probe. A failed probe closes the idle connections,
// so that a silent connection fails one probe and not three.
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
			c.requests.CloseIdleConnections()
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
