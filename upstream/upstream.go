// Package upstream is the client of the local upstream. It sends requests, grants, the drain command and probes, which are requests
// for the upstream's health.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sapphiretray/code"
	"sapphiretray/httplimit"
	"sapphiretray/member"
)

const (
	// DefaultProbeInterval is the time between the starts of two probes.
	DefaultProbeInterval = 200 * time.Millisecond
	// DefaultProbeTimeout is the timeout of one probe.
	DefaultProbeTimeout = 150 * time.Millisecond
	// DownAfterFailures is the number of consecutive failed probes after which the upstream counts as down.
	DownAfterFailures = 3

	controlTimeout = time.Second
	dialTimeout    = time.Second
	// Idle connections are closed after idleTimeout; it is also the TCP keep-alive interval.
	idleTimeout        = 10 * time.Second
	maxIdleConnections = 256
	// maxControlBytes is the maximum size of a response to a control call.
	maxControlBytes = 1 << 20
	// maxClockDriftPercent is the largest assumed relative difference in rate between the local clock and the upstream's.
	maxClockDriftPercent = 1
)

// Client sends requests and control calls to one upstream. Create it with New.
type Client struct {
	baseURL string
	address string
	// control is the transport of calls that may be repeated. final is that of the others, which closes each connection after its call:
	// their responses carry no id, so that one to an earlier call on the same connection couldn't be told apart.
	control       *http.Transport
	final         *http.Transport
	connections   connections
	probeInterval time.Duration
	probeTimeout  time.Duration
	mu            sync.Mutex
	clock         clock // The newest reading.
}

// clock is a reading of the upstream's clock, in milliseconds, and the local time at which it arrived.
type clock struct {
	reading int64
	at      time.Time
}

// Option configures a Client.
type Option func(*Client)

// WithProbes sets the interval and the timeout of probes.
func WithProbes(interval, timeout time.Duration) Option {
	return func(c *Client) { c.probeInterval, c.probeTimeout = interval, timeout }
}

// New returns a Client for the upstream at an address such as "127.0.0.1:8080".
func New(address string, options ...Option) *Client {
	c := &Client{
		baseURL: "http://" + address, address: address,
		probeInterval: DefaultProbeInterval, probeTimeout: DefaultProbeTimeout,
	}
	c.control, c.final = newTransport(&c.connections.open), newTransport(&c.connections.open)
	c.final.DisableKeepAlives = true
	for _, option := range options {
		option(c)
	}
	return c
}

// newTransport returns an HTTP transport whose connections count their bytes, and count in open while they are open.
func newTransport(open *atomic.Int64) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			open.Add(1)
			return &countingConn{Conn: conn, open: open}, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: httplimit.MaxHeadBytes,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.connections.closeIdle()
	c.control.CloseIdleConnections()
}

// Grant allows the upstream to serve the requests of a partition that an incarnation sends, until the lease of that incarnation ends.
type Grant struct {
	Incarnation member.Incarnation
	Partition   int
	// Fence is the fencing token; the upstream refuses tokens that are lower than the highest it knows.
	Fence uint64
	// LeaseEnd is the end of the incarnation's lease by the local monotonic clock.
	LeaseEnd time.Time
}

// grantBody is the body of a grant call; Expires is in milliseconds of the upstream's clock.
type grantBody struct {
	Incarnation member.Incarnation `json:"incarnation"`
	Partition   int                `json:"partition"`
	Fence       uint64             `json:"fence"`
	Expires     int64              `json:"expires"`
}

// renewBody is the body of a renewal; Expires is in milliseconds of the upstream's clock.
type renewBody struct {
	Incarnation member.Incarnation `json:"incarnation"`
	Expires     int64              `json:"expires"`
}

// Grant registers a grant at the upstream. The error carries code.Conflict if the upstream knows a higher fencing token.
func (c *Client) Grant(ctx context.Context, g Grant) error {
	expires, err := c.expiry(ctx, g.LeaseEnd)
	if err != nil {
		return err
	}
	return c.sendControl(ctx, c.control, http.MethodPut, "/sapphire/grant", grantBody{
		Incarnation: g.Incarnation, Partition: g.Partition, Fence: g.Fence, Expires: expires,
	})
}

// Renew extends all grants of an incarnation to the end of its lease. It doesn't shorten any.
func (c *Client) Renew(ctx context.Context, incarnation member.Incarnation, leaseEnd time.Time) error {
	expires, err := c.expiry(ctx, leaseEnd)
	if err != nil {
		return err
	}
	return c.sendControl(ctx, c.control, http.MethodPost, "/sapphire/renew", renewBody{Incarnation: incarnation, Expires: expires})
}

// Revoke ends the grant of a partition.
func (c *Client) Revoke(ctx context.Context, partition int, fence uint64) error {
	path := "/sapphire/grant/" + strconv.Itoa(partition) + "?fence=" + strconv.FormatUint(fence, 10)
	return c.sendControl(ctx, c.final, http.MethodDelete, path, nil)
}

// Drain tells the upstream to refuse new work.
func (c *Client) Drain(ctx context.Context) error {
	return c.sendControl(ctx, c.final, http.MethodPost, "/sapphire/drain", nil)
}

// expiry converts a local time to the upstream's clock, based on the newest reading of that clock. The result is never too late:
// the reading was taken before it arrived, and the time from its arrival is reduced by the assumed clock drift.
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

// convert converts a local time to the upstream's clock, in milliseconds.
func (r clock) convert(local time.Time) int64 {
	left := local.Sub(r.at)
	if left > 0 {
		left -= left * maxClockDriftPercent / 100
	}
	return r.reading + left.Milliseconds()
}

// sendControl sends a control call, records the clock in the response and turns statuses other than 200 into errors.
func (c *Client) sendControl(ctx context.Context, transport *http.Transport, method, path string, body any) error {
	var response struct {
		Clock int64 `json:"clock"`
	}
	status, err := c.call(ctx, transport, method, path, body, &response)
	if err != nil {
		return err
	}
	c.recordClock(response.Clock)
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return code.New(code.Conflict, "upstream knows a higher fencing token: %s %s", method, path)
	default:
		return code.New(code.UpstreamFailed, "upstream responded with status %d to %s %s", status, method, path)
	}
}

// recordClock records a reading of the upstream's clock that has just arrived; 0 stands for none.
func (c *Client) recordClock(reading int64) {
	if reading == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock = clock{reading: reading, at: time.Now()}
}

// call sends body as JSON, decodes the JSON of the response into response and returns the status.
func (c *Client) call(ctx context.Context, transport *http.Transport, method, path string, body, response any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	encoded := []byte{}
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return 0, code.Wrap(code.BadRequest, err, "encode the body of a control call to the upstream")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, code.Wrap(code.BadRequest, err, "create a control call to the upstream")
	}
	resp, err := transport.RoundTrip(req) //nolint:bodyclose // Limit.ReadAll closes the body.
	if err != nil {
		c.control.CloseIdleConnections()
		return 0, code.Wrap(code.UpstreamFailed, err, "control call %s to the upstream", path)
	}
	content, err := httplimit.Limit{Max: maxControlBytes}.ReadAll(ctx, resp)
	if err != nil {
		c.control.CloseIdleConnections()
		return 0, code.Wrap(code.Truncated, err, "control call %s to the upstream", path)
	}
	if err := json.Unmarshal(content, response); err != nil && resp.StatusCode == http.StatusOK {
		return 0, code.Wrap(code.UpstreamFailed, err, "control call %s to the upstream", path)
	}
	return resp.StatusCode, nil
}
