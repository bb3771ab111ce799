package heartbeat

import (
	"fmt"
	"net"
)

// Network opens the sockets of an endpoint.
type Network interface {
	// ListenPacket receives datagrams at a UDP address, host:port.
	ListenPacket(address string) (net.PacketConn, error)
	// Dial returns a socket that exchanges datagrams with a UDP address, host:port. A local address of nil selects any source address,
	// and its port 0 any free port.
	Dial(local *net.UDPAddr, address string) (net.Conn, error)
}

// udpNetwork is the machine's network.
type udpNetwork struct{}

// ListenPacket implements Network.
func (udpNetwork) ListenPacket(address string) (net.PacketConn, error) {
	listen, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve heartbeat address %s: %w", address, err)
	}
	conn, err := net.ListenUDP("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("listen for heartbeats: %w", err)
	}
	return conn, nil
}

// Dial implements Network.
func (udpNetwork) Dial(local *net.UDPAddr, address string) (net.Conn, error) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve heartbeat address %s: %w", address, err)
	}
	conn, err := net.DialUDP("udp", local, to)
	if err != nil {
		return nil, fmt.Errorf("connect to %s for heartbeats: %w", address, err)
	}
	return conn, nil
}
