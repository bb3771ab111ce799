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
	// maxResponseBytes bounds a response that is held in memory.
	maxResponseBytes = 16 << 20
	// unaskedBody is the size of a body that is sent without asking first whether the other instance will take the request. A
	// question costs a round trip.
	unaskedBody = 2 << 10
	// answerSlack is how much longer than the deadline the other instance is waited for, so that its own failure arrives.
	answerSlack = 50 * time.Millisecond
)

// Client forwards requests.
type Client struct {
	transport http.RoundTripper
	news      News
	started   time.Time
}

// NewClient returns a client that reaches other instances through a transport.
func NewClient(transport http.RoundTripper, news News) *Client {
	return &Client{transport: transport, news: news, started: time.Now()}
}

// Do forwards a request to the instance at an address. The error is a *gateway.Failure; it has code.PeerFailed if the
// outcome is unknown and code.NoOwner if the instance could not be reached.
func (c *Client) Do(ctx context.Context, address string, r *gateway.Request) (Result, error) {
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(answerSlack))
	defer cancel()
	// An opaque target is sent byte for byte.
	target := &url.URL{Scheme: "http", Host: address, Opaque: r.Target}
	header := r.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(headerCall, encodeCall(r, now, c.news.Versions(), stampOf(c.started, now)))
	request := (&http.Request{
		Method: r.Method, URL: target, Host: address, Header: header,
		ContentLength: int64(len(r.Body)), Body: http.NoBody,
	}).WithContext(ctx)
	if len(r.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	if len(r.Body) > unaskedBody {
		header.Set("Expect", "100-continue")
	}
	if _, ok := header["User-Agent"]; !ok {
		header.Set("User-Agent", "")
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return Result{}, failed(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return Result{}, failed(ctx, err)
	}
	return c.interpret(response, body)
}

// failed returns the failure of a request that was not answered.
func failed(ctx context.Context, err error) error {
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

func (c *Client) interpret(response *http.Response, body []byte) (Result, error) {
	fields, err := decodeResult(response.Header)
	if err != nil {
		return Result{}, &gateway.Failure{Code: code.PeerFailed, Reason: err.Error()}
	}
	c.news.Heard(fields.versions)
	result := Result{Load: fields.load}
	if fields.code != code.OK {
		return result, &gateway.Failure{
			Code: fields.code, RetryAfter: fields.retryAfter, Arrived: fields.arrived, Owner: fields.owner, Reason: string(body),
		}
	}
	response.Header.Del(headerResult)
	// Added by the other instance's HTTP server.
	response.Header.Del("Date")
	result.Response = &gateway.Response{
		Status: fields.status, Header: response.Header, Body: body, Waited: fields.waited, Took: fields.took,
	}
	return result, nil
}
