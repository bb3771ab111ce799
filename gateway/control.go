package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"syscall"
)

// ControlRequest is a request of the instance itself to its upstream, as opposed to a request of a caller.
type ControlRequest struct {
	Method string
	Target string
	Body   []byte
}

// SendControlRequest sends a control request and returns the status and headers of the response. Control requests share no connections
// with requests, since their responses carry no request id by which they could be told apart. newRequest is called once there is a
// connection, immediately before the request is written; fresh is set if the connection is new, in which case the upstream may have been
// restarted. If newRequest returns an error, or ctx has ended when it returns, nothing is sent. The error is that of newRequest, the
// context or the connection. If the connection was refused, the upstream is marked as down.
func (g *Gateway) SendControlRequest(
	ctx context.Context, newRequest func(fresh bool) (ControlRequest, error),
) (int, http.Header, error) {
	c, reused, err := g.control.get(ctx, "", maxIdle)
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.markDown()
	}
	if err != nil {
		return 0, nil, err
	}
	request, err := newRequest(!reused)
	if err == nil {
		err = contextError(ctx)
	}
	if err != nil {
		if !reused {
			// The next request must find that its connection is new.
			c.retire()
		}
		g.control.put(c)
		return 0, nil, err
	}
	response, err := g.exchangeControl(ctx, c, request)
	if err != nil {
		g.control.retire()
		return 0, nil, err
	}
	if response.status >= http.StatusMultipleChoices {
		// If the upstream wrote this response once more, it would be taken as the refusal of another request.
		c.retire()
	}
	g.control.put(c)
	return response.status, response.header, nil
}

// SendControlRequestOnce is like SendControlRequest, but uses a connection of its own. Only the response to this request can arrive on it,
// not one that the upstream writes once more to an earlier request.
func (g *Gateway) SendControlRequestOnce(ctx context.Context, request ControlRequest) (int, http.Header, error) {
	c, err := g.control.open(ctx)
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.markDown()
	}
	if err != nil {
		return 0, nil, err
	}
	defer c.fail(errClosed)
	response, err := g.exchangeControl(ctx, c, request)
	if err != nil {
		return 0, nil, err
	}
	return response.status, response.header, nil
}

// exchangeControl sends a control request on a connection and waits for its response.
func (g *Gateway) exchangeControl(ctx context.Context, c *conn, request ControlRequest) (*rawResponse, error) {
	var head bytes.Buffer
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + g.control.address + "\r\n")
	if len(request.Body) > 0 {
		head.WriteString("Content-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	response, _, err := c.do(ctx, outgoing{method: request.Method, head: head.Bytes(), body: request.Body}, g.spawn)
	return response, err
}
