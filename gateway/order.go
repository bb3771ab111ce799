package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"syscall"
)

// Order is a control request from the instance to its upstream, as opposed to a request of a caller.
type Order struct {
	Method string
	Target string
	Body   []byte
}

// Order sends an order and returns the status and headers of the response. The order function is called once there is a connection;
// fresh is set if the connection is new, in which case the upstream may have been restarted.
func (g *Gateway) Order(ctx context.Context, order func(fresh bool) Order) (int, http.Header, error) {
	c, reused, err := g.pool.get(ctx, maxIdle)
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.markDown()
	}
	if err != nil {
		return 0, nil, err
	}
	o := order(!reused)
	var head bytes.Buffer
	head.WriteString(o.Method + " " + o.Target + " HTTP/1.1\r\nHost: " + g.pool.address + "\r\n")
	if len(o.Body) > 0 {
		head.WriteString("Content-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(o.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	a, _, err := c.do(ctx, "", o.Method, head.Bytes(), o.Body, g.spawn)
	if err != nil {
		return 0, nil, err
	}
	g.pool.put(c)
	return a.status, a.header, nil
}
