// Package upstream is the client of the local upstream: grants, requests, health checks and drain.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sapphiretray/code"
	"sapphiretray/member"
)

const (
	// DefaultProbeInterval is the time between two health checks.
	DefaultProbeInterval = 200 * time.Millisecond
	// DefaultProbeTimeout bounds one health check.
	DefaultProbeTimeout = 150 * time.Millisecond
	// FailuresInARow is the number of failed probes after which the upstream counts as down.
	FailuresInARow = 3

	controlTimeout    = time.Second
	dialTimeout       = time.Second
	idleTimeout       = 10 * time.Second
	maxIdle           = 256
	maxControlBytes   = 1 << 20
	driftBoundPercent = 1
)

// Client calls one upstream. Create it with New.
type Client struct {
	base          string
	address       string
	requests      *http.Transport
	control       *http.Transport
	probeInterval time.Duration
	probeTimeout  time.Duration
	mu            sync.Mutex
	clock         clock
}

// clock is a reading of the upstream's clock and the local time at which it arrived.
type clock struct {
	reading int64
	at      time.Time
}

// Option changes a Client under construction.
type Option func(*Client)

// WithProbes sets the interval and the timeout of health checks.
func WithProbes(interval, timeout time.Duration) Option {
	return func(c *Client) { c.probeInterval, c.probeTimeout = interval, timeout }
}

// New returns a client of the upstream at address, such as "127.0.0.1:8080".
func New(address string, options ...Option) *Client {
	c := &Client{
		base: "http://" + address, address: address,
		probeInterval: DefaultProbeInterval, probeTimeout: DefaultProbeTimeout,
	}
	c.requests, c.control = c.transport(), c.transport()
	for _, option := range options {
		option(c)
	}
	return c
}

func (c *Client) transport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.requests.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Grant allows an incarnation to have requests of a partition served.
type Grant struct {
	Incarnation member.Incarnation
	Partition   int
	Fence       uint64
	// LeaseEnd is the end of the incarnation's lease by the local monotonic clock.
	LeaseEnd time.Time
}

type grantBody struct {
	Incarnation member.Incarnation `json:"incarnation"`
	Partition   int                `json:"partition"`
	Fence       uint64             `json:"fence"`
	Expires     int64              `json:"expires"`
}

type renewBody struct {
	Incarnation member.Incarnation `json:"incarnation"`
	Expires     int64              `json:"expires"`
}

// Grant registers a grant. An error with code.Conflict means that the upstream knows a newer fence.
func (c *Client) Grant(ctx context.Context, g Grant) error {
	expires, err := c.expiry(ctx, g.LeaseEnd)
	if err != nil {
		return err
	}
	return c.put(ctx, http.MethodPut, "/sapphire/grant", grantBody{
		Incarnation: g.Incarnation, Partition: g.Partition, Fence: g.Fence, Expires: expires,
	})
}

// Renew extends all grants of an incarnation to the end of its lease. It never shortens one.
func (c *Client) Renew(ctx context.Context, incarnation member.Incarnation, leaseEnd time.Time) error {
	expires, err := c.expiry(ctx, leaseEnd)
	if err != nil {
		return err
	}
	return c.put(ctx, http.MethodPost, "/sapphire/renew", renewBody{Incarnation: incarnation, Expires: expires})
}

// Revoke ends the grant of a partition.
func (c *Client) Revoke(ctx context.Context, partition int, fence uint64) error {
	path := "/sapphire/grant/" + strconv.Itoa(partition) + "?fence=" + strconv.FormatUint(fence, 10)
	return c.put(ctx, http.MethodDelete, path, nil)
}

// Drain tells the upstream to refuse new work.
func (c *Client) Drain(ctx context.Context) error {
	return c.put(ctx, http.MethodPost, "/sapphire/drain", nil)
}

// expiry converts a local time to the upstream's clock. The clock's newest reading is at least as old as its arrival, and
// the time since is shortened by the drift bound, so the result is never later than the local time on any clock within
// the bound.
func (c *Client) expiry(ctx context.Context, local time.Time) (int64, error) {
	c.mu.Lock()
	newest := c.clock
	c.mu.Unlock()
	if newest.at.IsZero() {
		if _, err := c.Probe(ctx); err != nil {
			return 0, err
		}
		c.mu.Lock()
		newest = c.clock
		c.mu.Unlock()
	}
	return newest.convert(local), nil
}

func (r clock) convert(local time.Time) int64 {
	left := local.Sub(r.at)
	if left > 0 {
		left -= left * driftBoundPercent / 100
	}
	return r.reading + left.Milliseconds()
}

func (c *Client) put(ctx context.Context, method, path string, body any) error {
	var answer struct {
		Clock int64 `json:"clock"`
	}
	status, err := c.call(ctx, method, path, body, &answer)
	if err != nil {
		return err
	}
	c.learnClock(answer.Clock)
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return code.New(code.Conflict, "upstream knows a newer fence: %s %s", method, path)
	default:
		return code.New(code.UpstreamFailed, "upstream answered %d to %s %s", status, method, path)
	}
}

func (c *Client) learnClock(reading int64) {
	if reading == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock = clock{reading: reading, at: time.Now()}
}

func (c *Client) call(ctx context.Context, method, path string, body, answer any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	encoded := []byte{}
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return 0, code.Wrap(code.BadRequest, err, "encode upstream call")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, code.Wrap(code.BadRequest, err, "upstream call")
	}
	resp, err := c.control.RoundTrip(req)
	if err != nil {
		c.control.CloseIdleConnections()
		return 0, code.Wrap(code.UpstreamFailed, err, "upstream call %s", path)
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		c.control.CloseIdleConnections()
		return 0, code.Wrap(code.Truncated, err, "upstream call %s", path)
	}
	if err := json.Unmarshal(content, answer); err != nil && resp.StatusCode == http.StatusOK {
		return 0, code.Wrap(code.UpstreamFailed, err, "upstream call %s", path)
	}
	return resp.StatusCode, nil
}
