package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"sapphiretray/caller"
	"sapphiretray/code"
	"sapphiretray/wait"
)

// Client is a caller that follows the protocol for callers (see package caller): Post sends the latest token it was given and retries with
// the same request id.
type Client struct {
	client *http.Client
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	return &Client{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// Response is the response to one attempt. Duration is the time from sending the request to the end of the body.
type Response struct {
	Status   int
	Code     code.Code
	Ran      code.Ran
	Token    string
	Body     []byte
	Duration time.Duration
}

// Request is one HTTP request of a caller. ID and Token are left out of the headers if empty.
type Request struct {
	Method string
	URL    string
	ID     string
	Token  string
	Body   []byte
}

// Do sends a request once. It fails if the response carries another request id.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, err
	}
	if r.ID != "" {
		req.Header.Set(caller.HeaderRequestID, r.ID)
	}
	if r.Token != "" {
		req.Header.Set(caller.HeaderToken, r.Token)
	}
	start := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	number, _ := strconv.Atoi(resp.Header.Get(caller.HeaderCode))
	response := Response{
		Status: resp.StatusCode, Code: code.Code(number), Ran: code.Ran(resp.Header.Get(caller.HeaderRan)),
		Token: resp.Header.Get(caller.HeaderToken), Body: body, Duration: time.Since(start),
	}
	if got := resp.Header.Get(caller.HeaderRequestID); err == nil && r.ID != "" && got != r.ID {
		err = fmt.Errorf("response is for request %q, want %q", got, r.ID)
	}
	return response, err
}

// ErrUnknown means that the request may or may not have run.
var ErrUnknown = errors.New("outcome of the request is unknown")

// Post sends a request that isn't idempotent. It retries until ctx ends while responses state that the request did not run, and
// returns an error that wraps ErrUnknown if the request may have run.
func (c *Client) Post(ctx context.Context, url, id string, body []byte) (Response, error) {
	request := Request{Method: http.MethodPost, URL: url, ID: id, Body: body}
	for {
		response, err := c.Do(ctx, request)
		switch {
		case err != nil:
			return response, errors.Join(ErrUnknown, err)
		case response.Code == code.OK:
			return response, nil
		case response.Code == code.TokenTooOld && response.Token != "":
			// Neither this attempt nor an earlier one ran: the loop only goes on after attempts that did not run.
		case response.Ran != code.RanNo:
			return response, fmt.Errorf("%w: %s", ErrUnknown, response.Code)
		}
		if response.Token != "" {
			request.Token = response.Token
		}
		if response.Code == code.TokenNeeded {
			continue
		}
		if !wait.For(ctx, pollInterval) {
			return response, ctx.Err()
		}
	}
}
