// Package peer is the protocol between instances: the twirp service in peer.proto and the HTTP/2 transport that forwarded
// requests share with it.
package peer

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"sapphiretray/member"
)

// The bounds of connections between instances. A connection that has gone silent is found within PingAfter + PingTimeout.
// Idle connections are pinged as well, so those for control calls, which are rare, are closed soon: pings on idle ones took
// half of the processor time of control.
const (
	ControlIdle = 300 * time.Millisecond
	ForwardIdle = 5 * time.Second
	PingAfter   = 100 * time.Millisecond
	PingTimeout = 200 * time.Millisecond
	// DialTimeout is well below the lease, so that a lost host is noticed before its successor may serve.
	DialTimeout = 250 * time.Millisecond
	// ContinueTimeout is the time that the owner has to ask for a large body before it is sent unasked.
	ContinueTimeout = 2 * time.Second
	maxIdleConns    = 64
)

// TransportOption changes a transport under construction.
type TransportOption func(*http.Transport)

// WithPings sets when a connection without a frame is checked by a ping, and how long the answer may take. Each idle
// connection costs a ping and an answer in that time.
func WithPings(after, timeout time.Duration) TransportOption {
	return func(t *http.Transport) { t.HTTP2.SendPingTimeout, t.HTTP2.PingTimeout = after, timeout }
}

// NewTransport returns an HTTP/2 transport without TLS. Connections leave from localIP if it isn't empty, and are closed once
// they have been idle for a time.
func NewTransport(localIP string, idle time.Duration, options ...TransportOption) *http.Transport {
	dialer := &net.Dialer{Timeout: DialTimeout}
	if ip := net.ParseIP(localIP); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	t := &http.Transport{
		DialContext:  dialer.DialContext,
		Protocols:    protocols,
		MaxIdleConns: maxIdleConns,

		IdleConnTimeout:    idle,
		DisableCompression: true,

		ExpectContinueTimeout: ContinueTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: PingAfter,
			PingTimeout:     PingTimeout,
		},
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// FromIncarnation converts an incarnation to its message.
func FromIncarnation(i member.Incarnation) *Incarnation {
	return &Incarnation{Slot: i.Slot(), Number: i.Number()}
}

// Member converts the message to an incarnation; nil yields the zero value.
func (x *Incarnation) Member() member.Incarnation {
	if x == nil {
		return member.Incarnation{}
	}
	return member.NewIncarnation(x.GetSlot(), x.GetNumber())
}

// Dialer keeps one client for each address. Its zero value isn't usable; call NewDialer.
type Dialer struct {
	client  *http.Client
	mu      sync.Mutex
	clients map[string]Peer
}

// NewDialer returns a dialer whose calls go through the transport.
func NewDialer(transport http.RoundTripper) *Dialer {
	return &Dialer{client: &http.Client{Transport: transport}, clients: make(map[string]Peer)}
}

// Dial returns the client of the instance at a host:port. It doesn't connect.
func (d *Dialer) Dial(address string) (Peer, error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	client, ok := d.clients[address]
	if !ok {
		client = NewPeerProtobufClient("http://"+address, d.client)
		d.clients[address] = client
	}
	return client, nil
}
