// Package peer implements the protocol between instances: the twirp service in peer.proto and the HTTP/2 transport that it shares
// with forwarded requests.
package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path"
	"slices"
	"sync"
	"time"

	"sapphiretray/httplimit"
	"sapphiretray/member"
)

// Timeouts and limits of connections between instances.
const (
	// ControlIdleTimeout is the idle timeout of connections for control calls. Such calls are rare and idle connections are pinged too:
	// with a longer timeout, the pings took half of the processor time of control calls.
	ControlIdleTimeout = 300 * time.Millisecond
	// ForwardIdleTimeout is the idle timeout of connections for forwarded requests.
	ForwardIdleTimeout = 5 * time.Second
	// PingAfter is the time without a received frame after which a connection is pinged, and PingTimeout bounds the response. A dead
	// connection is detected within their sum.
	PingAfter   = 100 * time.Millisecond
	PingTimeout = 200 * time.Millisecond
	// DialTimeout is less than half of the default lease of 600 ms, so that a lost host is detected before its successor may serve.
	DialTimeout = 250 * time.Millisecond
	// ContinueTimeout is how long a request with a large body waits for "100 Continue" from the owner before the body is sent. It is longer
	// than requests last: bodies that the owner hasn't asked for would fill the flow-control window of the connection, and those of other
	// requests would not arrive.
	ContinueTimeout = time.Minute
	// maxIdleConns is the number of idle connections that are kept per transport.
	maxIdleConns = 64
	// MaxHeadBytes bounds the head of a response: that of an upstream's response of up to 256 KiB and the headers that instances add.
	// HTTP/2 counts 32 bytes more for each header, of which 2,000 fit.
	MaxHeadBytes = httplimit.MaxHeadBytes + 64<<10
	// streamWindow is the flow-control window of a response's body, in bytes, which the transport buffers until the body is read. It allows
	// 3 MB/s at a round-trip time of 80 ms.
	streamWindow = 256 << 10
	// DefaultMaxResponse bounds the response to a call for rows or for the state of another instance, in bytes. The rows of 5,200 instances
	// take 4 MB, and the key map of a service with 1,040 instances 0.4 MB.
	DefaultMaxResponse = 16 << 20
	// maxReleaseBytes bounds the handover tokens of released keys. A decoded message may take 40 times as much.
	maxReleaseBytes = 1 << 20
)

// TransportOption changes a transport under construction.
type TransportOption func(*http.Transport)

// WithPings sets the time without a received frame after which a connection is pinged, and the timeout of the response. An idle
// connection, too, costs one ping and one response in each such time.
func WithPings(after, timeout time.Duration) TransportOption {
	return func(t *http.Transport) { t.HTTP2.SendPingTimeout, t.HTTP2.PingTimeout = after, timeout }
}

// WithDial sets the function that connects to other instances, which takes DialTimeout at most.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) TransportOption {
	return func(t *http.Transport) {
		t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, DialTimeout)
			defer cancel()
			return dial(ctx, network, address)
		}
	}
}

// NewTransport returns an HTTP/2 transport without TLS. Connections use localIP as their source address if it is a valid IP address,
// and are closed after being idle for the given time.
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

		ExpectContinueTimeout:  ContinueTimeout,
		MaxResponseHeaderBytes: MaxHeadBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: PingAfter,
			PingTimeout:     PingTimeout,

			MaxReceiveBufferPerStream: streamWindow,
		},
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// FromIncarnation converts an incarnation to its protobuf message.
func FromIncarnation(i member.Incarnation) *Incarnation {
	return &Incarnation{Slot: i.Slot(), Number: i.Number()}
}

// ToIncarnation converts the message to an incarnation; nil yields the zero value.
func (x *Incarnation) ToIncarnation() member.Incarnation {
	if x == nil {
		return member.Incarnation{}
	}
	return member.NewIncarnation(x.GetSlot(), x.GetNumber())
}

// Dialer creates and caches clients, one for each address. Create it with NewDialer.
type Dialer struct {
	client      *http.Client
	maxResponse int64
	// memory bounds the large responses that are read at the same time.
	memory  *httplimit.Memory
	mu      sync.Mutex
	clients map[string]Peer
}

// DialerOption configures a Dialer.
type DialerOption func(*Dialer)

// WithMaxResponse sets the largest size in bytes of a response with rows or with the state of an instance, which is DefaultMaxResponse
// otherwise.
func WithMaxResponse(size int64) DialerOption { return func(d *Dialer) { d.maxResponse = size } }

// NewDialer returns a dialer whose clients use the transport. Calls with a response that is too large fail.
func NewDialer(transport http.RoundTripper, options ...DialerOption) *Dialer {
	d := &Dialer{maxResponse: DefaultMaxResponse, clients: make(map[string]Peer)}
	for _, option := range options {
		option(d)
	}
	d.client = &http.Client{Transport: &httplimit.Transport{Base: transport, Limit: d.limit}}
	d.memory = httplimit.NewMemory(d.maxResponse)
	return d
}

// smallCalls are the calls whose responses have a few fields only.
var smallCalls = []string{"ConfirmExpiry", "Reacquire", "Resign", "NotifyExpiry", "Quarantine", "Report", "Push"}

// limit returns the limit of the response to a call. The server announces the length of each response, so one without is faulty unless it
// is small.
func (d *Dialer) limit(request *http.Request, response *http.Response) httplimit.Limit {
	if response.StatusCode != http.StatusOK || response.ContentLength < 0 || slices.Contains(smallCalls, path.Base(request.URL.Path)) {
		return httplimit.Limit{Max: httplimit.SmallBytes}
	}
	limit := httplimit.Limit{Max: d.maxResponse, Memory: []*httplimit.Memory{d.memory}}
	if path.Base(request.URL.Path) == "ReleaseKeys" {
		limit.Max = maxReleaseBytes
	}
	return limit
}

// Dial returns the client of the instance at a host:port, or an error if the address is malformed. It doesn't connect.
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

// Probe returns nil if the process at a host:port responds. The path names no call, so that any response shows that it does, also an error.
// An established connection alone doesn't: the kernel accepts it for a process that stands still.
func (d *Dialer) Probe(ctx context.Context, address string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", http.NoBody)
	if err != nil {
		return fmt.Errorf("peer address: %w", err)
	}
	response, err := d.client.Do(r)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
