package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"sapphiretray/code"
	"sapphiretray/gateway"
)

const (
	// maxResponseBytes bounds the body of a response, which is held in memory.
	maxResponseBytes = 16 << 20
	// maxUnannouncedBody is the size, in bytes, above which a body is sent with "Expect: 100-continue", so that it isn't sent to an
	// instance that refuses the request. For smaller bodies the extra round trip costs more than it saves.
	maxUnannouncedBody = 2 << 10
	// responseGrace is how long after its deadline a request is still waited for, so that a failure that the other instance reports
	// at the deadline arrives.
	responseGrace = 50 * time.Millisecond
)

var errTooLarge = errors.New("the response body exceeds 16 MiB")

// Client forwards requests to other instances. Create it with NewClient.
type Client struct {
	transport http.RoundTripper
	exchange  VersionExchange
	started   time.Time
}

// NewClient returns a client that sends requests through a transport and exchanges versions with the instances it calls.
func NewClient(transport http.RoundTripper, exchange VersionExchange) *Client {
	return &Client{transport: transport, exchange: exchange, started: time.Now()}
}

// Do forwards a request to the instance at an address. The error is a *gateway.Failure. It has code.NoOwner if the instance could
// not be reached, code.PeerFailed if the connection failed later or the response is malformed, code.UpstreamTimeout if no response
// arrived by the deadline, code.CallerGone if ctx was cancelled, and otherwise the code that the other instance sent.
func (c *Client) Do(ctx context.Context, address string, r *gateway.Request) (Result, error) {
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(responseGrace))
	defer cancel()
	// An opaque URL is sent as it is, without being parsed and encoded again.
	target := &url.URL{Scheme: "http", Host: address, Opaque: r.Target}
	header := r.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(headerCall, encodeCall(r, now, c.exchange.Versions(), newSendTime(c.started, now)))
	request := (&http.Request{
		Method: r.Method, URL: target, Host: address, Header: header,
		ContentLength: int64(len(r.Body)), Body: http.NoBody,
	}).WithContext(ctx)
	if len(r.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	if len(r.Body) > maxUnannouncedBody {
		header.Set("Expect", "100-continue")
	}
	// An empty value keeps the transport from adding its own User-Agent.
	if _, ok := header["User-Agent"]; !ok {
		header.Set("User-Agent", "")
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return Result{}, roundTripFailure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errTooLarge
	}
	if err != nil {
		return Result{}, roundTripFailure(ctx, err)
	}
	return c.decodeResponse(response, body)
}

// roundTripFailure returns the failure of a request to which no whole response arrived.
func roundTripFailure(ctx context.Context, err error) error {
	var operation *net.OpError
	switch {
	case errors.As(err, &operation) && operation.Op == "dial":
		return &gateway.Failure{Code: code.NoOwner, Reason: err.Error()}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &gateway.Failure{Code: code.UpstreamTimeout, Arrived: true, Reason: "no response until the deadline"}
	case ctx.Err() != nil:
		return &gateway.Failure{Code: code.CallerGone, Reason: "the caller left while the request ran"}
	default:
		return &gateway.Failure{Code: code.PeerFailed, Arrived: true, Reason: err.Error()}
	}
}

// decodeResponse turns the HTTP response of another instance into a result or a *gateway.Failure.
func (c *Client) decodeResponse(response *http.Response, body []byte) (Result, error) {
	fields, err := decodeResult(response.Header)
	if err != nil {
		return Result{}, &gateway.Failure{Code: code.PeerFailed, Reason: err.Error()}
	}
	c.exchange.ObserveVersions(fields.versions)
	result := Result{Load: fields.load}
	if fields.code != code.OK {
		return result, &gateway.Failure{
			Code: fields.code, RetryAfter: fields.retryAfter, Arrived: fields.arrived, OwnerSlot: fields.owner, Reason: string(body),
		}
	}
	response.Header.Del(headerResult)
	// The Date was added by the other instance's HTTP server, not by the upstream.
	response.Header.Del("Date")
	result.Response = &gateway.Response{
		Status: fields.status, Header: response.Header, Body: body, Waited: fields.waited, Took: fields.took,
	}
	return result, nil
}
