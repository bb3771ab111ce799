package peer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Traffic counts the bytes of TCP payload that were sent and received. The zero value is ready to use.
type Traffic struct {
	sent, received atomic.Uint64
}

// Sent returns the number of bytes sent.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Received returns the number of bytes received.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// Count makes the connections of a transport count their bytes. It is called before the transport is used.
func (t *Traffic) Count(transport *http.Transport) {
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, traffic: t}, nil
	}
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads from the connection.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write writes to the connection.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(uint64(n))
	return n, err
}
