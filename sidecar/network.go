package sidecar

import (
	"context"
	"net"
	"net/http"
	"time"

	"sapphiretray/peer"
)

// Network opens TCP listeners and connections.
type Network interface {
	// Listen accepts connections at a host:port.
	Listen(ctx context.Context, address string) (net.Listener, error)
	// DialContext connects to a host:port. Its errors are *net.OpError.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// tcpNetwork is the machine's network.
type tcpNetwork struct{}

// Listen implements Network.
func (tcpNetwork) Listen(ctx context.Context, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
}

// DialContext implements Network.
func (tcpNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// newTransport returns a transport to other instances that closes connections after being idle for the given time.
func (sc *Sidecar) newTransport(idle time.Duration, options ...peer.TransportOption) *http.Transport {
	return peer.NewTransport("", idle, append([]peer.TransportOption{peer.WithDial(sc.adapters.Network.DialContext)}, options...)...)
}
