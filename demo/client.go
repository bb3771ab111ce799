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

// Client is a caller that follows the protocol: it takes the token from each answer and repeats a request with the same id.
type Client struct {
	client *http.Client
}

// NewClient returns a client with connections of its own.
func NewClient() *Client {
	return &Client{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// Response is the answer to a request.
type Response struct {
	Status int
	Code   code.Code
	Ran    code.Ran
	Token  string
	Body   []byte
	Took   time.Duration
}

// Request is one request of a caller.
type Request struct {
	Method string
	URL    string
	ID     string
	Token  string
	Body   []byte
}

// Do sends a request once.
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
	answer := Response{
		Status: resp.StatusCode, Code: code.Code(number), Ran: code.Ran(resp.Header.Get(caller.HeaderRan)),
		Token: resp.Header.Get(caller.HeaderToken), Body: body, Took: time.Since(start),
	}
	if got := resp.Header.Get(caller.HeaderRequestID); err == nil && r.ID != "" && got != r.ID {
		err = fmt.Errorf("answer to request %q instead of %q", got, r.ID)
	}
	return answer, err
}

// ErrUnknown means that the request may have run.
var ErrUnknown = errors.New("the outcome is unknown")

// Post runs a request that isn't idempotent: it repeats the request as long as it certainly did not run, and returns ErrUnknown
// if it may have run.
func (c *Client) Post(ctx context.Context, url, id string, body []byte) (Response, error) {
	request := Request{Method: http.MethodPost, URL: url, ID: id, Body: body}
	for {
		answer, err := c.Do(ctx, request)
		switch {
		case err != nil:
			return answer, errors.Join(ErrUnknown, err)
		case answer.Code == code.OK:
			return answer, nil
		case answer.Code == code.TokenTooOld && answer.Token != "":
			// This attempt did not run, and no earlier one can have: otherwise this loop would have ended.
		case answer.Ran != code.RanNo:
			return answer, fmt.Errorf("%w: %s", ErrUnknown, answer.Code)
		}
		if answer.Token != "" {
			request.Token = answer.Token
		}
		if answer.Code == code.TokenNeeded {
			continue
		}
		if !wait.For(ctx, pollInterval) {
			return answer, ctx.Err()
		}
	}
}
