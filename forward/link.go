package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/httplimit"
	"sapphiretray/peer"
)

const (
	// silentAfter is how long an instance may send nothing while requests to it are in flight before it is probed.
	silentAfter = 700 * time.Millisecond
	// probeStep and probeSteps bound the wait for the response to a probe. It is counted in short steps, so that a stall of this process
	// counts as one step and the response that arrived in the meantime is still read.
	probeStep  = 50 * time.Millisecond
	probeSteps = 6
	// unusedAfter is how long the link of an address is kept without requests.
	unusedAfter = time.Minute
)

// link is a connection to an instance, with the requests on it. Once the instance doesn't respond to a probe, further requests use another
// link, so that they don't wait for a connection that may be dead. The requests on this one go on: the instance may only be slow, and
// its upstream may be at work on them.
type link struct {
	address   string
	transport *http.Transport
	// memory bounds the large responses on the link that are read at the same time.
	memory *httplimit.Memory
	// http2 is true if the transport uses HTTP/2 only.
	http2 bool
	// silent is closed when the instance hasn't responded to a probe.
	silent chan struct{}

	mu       sync.Mutex
	inFlight int
	// probed is closed when the probe in progress ends. It is nil if there is none.
	probed chan struct{}
	// heard is when something was last received from the instance, and began when the first request was sent since which nothing may have
	// been received: earlier ones have ended, and something was received after them. A new connection isn't a sign: the transport may open
	// one and send the request on another.
	heard, began time.Time
	// unanswered is when the newest request was sent that has ended while nothing had been received since.
	unanswered time.Time
	// connections are the open ones.
	connections map[*linkConn]struct{}
}

// linkConn is a connection of a link. It records when something is received. A response alone isn't enough: while a large one or one
// on a slow network arrives, the response to a probe is behind it.
type linkConn struct {
	net.Conn
	link *link
	// goAway finds the announcement that the instance stops, and announced is true once it has arrived. They are used by Read only.
	goAway    peer.GoAwayDetector
	announced bool
	// retired is true once the transport sends no further requests on the connection, because of the announcement. It is guarded by
	// the link's mu.
	retired bool
	// accepted is closed when something has been received, and closed when the transport sends nothing more.
	accepted, closed         chan struct{}
	acceptedOnce, closedOnce sync.Once
}

// Read implements net.Conn.
func (c *linkConn) Read(p []byte) (int, error) {
	if c.announced {
		// The transport reads on when it has handled all that has arrived.
		c.link.retire(c)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.link.observe(time.Now())
		c.acceptedOnce.Do(func() { close(c.accepted) })
	}
	c.announced = c.goAway.Detect(p[:n]) || c.announced
	return n, err
}

// Close closes the connection and removes it from its link.
func (c *linkConn) Close() error {
	c.link.mu.Lock()
	delete(c.link.connections, c)
	c.link.mu.Unlock()
	c.closedOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// awaitAccept waits until the other process has sent something, which it does as soon as it has accepted the connection. Before that, the
// kernel alone may have established the connection, and it resets it if the process ends. awaitAccept returns errNotAccepted if the
// instance counts as silent first, and nil if ctx ends.
func (c *linkConn) awaitAccept(ctx context.Context) error {
	select {
	case <-c.accepted:
	case <-c.closed:
	case <-c.link.silent:
		return errNotAccepted
	case <-ctx.Done():
	}
	return nil
}

// isClosed reports whether the transport has closed the connection and sends nothing more.
func (c *linkConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// send sends a request whose context cancel cancels. A request that can't be repeated is sent only on a connection that the other process
// has accepted: if another one ends, nobody learns whether the request has run. unsent is the reason why the request has certainly not
// been sent, if there is one.
func (l *link) send(r *http.Request, cancel func(), repeatable bool) (response *http.Response, unsent, err error) {
	if !l.http2 {
		// A server of HTTP/1 sends nothing before it has read a request, and the transport repeats requests that may have run.
		response, err = l.transport.RoundTrip(r)
		return response, nil, err
	}
	attempts := 0
	// written is true once the headers of the newest attempt may have been written. The transport calls WroteHeaders in another goroutine,
	// and waits for that before it returns unless the context has ended.
	var written atomic.Bool
	trace := &httptrace.ClientTrace{
		// The transport tries again only if the other instance has not begun the request.
		GetConn: func(string) {
			written.Store(false)
			unsent = errNoConnection
		},
		GotConn: func(i httptrace.GotConnInfo) {
			attempts++
			written.Store(false)
			unsent = errConnectionEnded
			c, ok := i.Conn.(*linkConn)
			if !ok {
				return
			}
			if !repeatable && c.awaitAccept(r.Context()) != nil {
				unsent = errNotAccepted
			}
			// The transport replaces a closed connection, but waits for a second if it has to do so again. After the cancellation it
			// sends nothing.
			if errors.Is(unsent, errNotAccepted) || attempts > 1 && c.isClosed() {
				cancel()
			}
		},
		WroteHeaders: func() { written.Store(true) },
	}
	response, err = l.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if written.Load() {
		unsent = nil
	}
	return response, unsent, err
}

// newLink returns a link whose connections are opened as by a transport.
func newLink(address string, template *http.Transport) *link {
	l := &link{
		address: address, transport: template.Clone(), memory: httplimit.NewMemory(maxResponseBytes),
		http2:  template.Protocols != nil && !template.Protocols.HTTP1(),
		silent: make(chan struct{}), connections: make(map[*linkConn]struct{}),
	}
	dial := template.DialContext
	l.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &linkConn{Conn: conn, link: l, accepted: make(chan struct{}), closed: make(chan struct{})}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.connections[c] = struct{}{}
		return c, nil
	}
	return l
}

// links holds the newest link of each address. The zero value is ready to use once transport is set.
type links struct {
	// transport is the template of the links' transports.
	transport *http.Transport

	mu        sync.Mutex
	byAddress map[string]*link
}

// linkState is what is known of the connection of a link when a request enters.
type linkState int

const (
	// linkSound means that something was received within silentAfter, or that there is no connection yet.
	linkSound linkState = iota
	// linkStale means that nothing was received for silentAfter, or that the instance is being probed.
	linkStale
	// linkUnanswered means that nothing has been received since an earlier request, which has ended, whether others are in flight or not.
	// HTTP/2 pings the instance when a request is cancelled, so that a sound connection doesn't stay in this state.
	linkUnanswered
)

// get returns the link for a further request to an address, which the request must leave, and its state before.
func (l *links) get(address string, now time.Time) (current *link, state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current = l.byAddress[address]; current != nil {
		if entered, state := current.enter(now); entered {
			return current, state
		}
	}
	if l.byAddress == nil {
		l.byAddress = make(map[string]*link)
	}
	l.removeUnused(now)
	current = newLink(address, l.transport)
	l.byAddress[address] = current
	_, state = current.enter(now)
	return current, state
}

// removeUnused removes the links that have had no request for a time. mu must be held.
func (l *links) removeUnused(now time.Time) {
	for address, unused := range l.byAddress {
		if unused.isUnused(now) {
			unused.transport.CloseIdleConnections()
			delete(l.byAddress, address)
		}
	}
}

func (l *link) isUnused(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight == 0 && l.quietFor(now) >= unusedAfter
}

// quietFor returns for how long a response could have arrived and nothing has been received. mu must be held.
func (l *link) quietFor(now time.Time) time.Duration { return min(now.Sub(l.heard), now.Sub(l.began)) }

func (l *link) isSilent() bool {
	select {
	case <-l.silent:
		return true
	default:
		return false
	}
}

// enter counts a request in flight, unless the link is silent: its connections may be reset then. It returns the state of the link before.
// That a request was sent doesn't show that the connection delivers.
func (l *link) enter(now time.Time) (entered bool, state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isSilent() {
		return false, linkSound
	}
	switch {
	case len(l.connections) > 0 && l.heard.Before(l.unanswered):
		state = linkUnanswered
	case l.probed != nil, len(l.connections) > 0 && now.Sub(l.heard) >= silentAfter:
		state = linkStale
	}
	if l.inFlight == 0 && !l.heard.Before(l.began) {
		l.began = now
	}
	l.inFlight++
	return true, state
}

// leave ends a request in flight. sent is when it was sent, or the zero value if it wasn't. After the last request on a silent link, its
// connections are reset, so that what the network has held up isn't delivered any more: nobody waits for a response.
func (l *link) leave(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heard.Before(sent) && l.unanswered.Before(sent) {
		l.unanswered = sent
	}
	l.inFlight--
	if l.inFlight == 0 && l.isSilent() {
		l.reset()
	}
	l.closeRetired()
}

// retire records that the transport sends no further requests on a connection.
func (l *link) retire(c *linkConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.retired = true
	l.closeRetired()
}

// closeRetired closes the retired connections if no request is in flight. The instance waits for that when it stops, and the transport
// keeps a connection without requests until its idle timeout. mu must be held.
func (l *link) closeRetired() {
	if l.inFlight > 0 {
		return
	}
	for c := range l.connections {
		if c.retired {
			// An error means that the connection has been closed. The transport notices the end when it reads.
			_ = c.Conn.Close()
		}
	}
}

// reset resets the connections. mu must be held.
func (l *link) reset() {
	for c := range l.connections {
		if conn, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
			// An error means that the connection has been closed.
			_ = conn.SetLinger(0)
		}
		_ = c.Conn.Close()
	}
	clear(l.connections)
}

// observe records that something was received from the instance.
func (l *link) observe(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = now
}

// untilProbe returns the time until the instance is to be probed unless something is received, 0 if that has passed.
func (l *link) untilProbe(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, silentAfter-l.quietFor(now))
}

// needsProbe returns 0 if the instance is to be probed now, which it records, and otherwise the time until the next check.
func (l *link) needsProbe(now time.Time) time.Duration {
	if left := l.untilProbe(now); left > 0 {
		return left
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.probed != nil || l.isSilent() {
		return silentAfter
	}
	l.probed = make(chan struct{})
	return 0
}

// verify probes the instance, or waits for the probe in progress, and returns false if the link counts as silent then. It doesn't wait for
// longer than until ctx ends.
func (l *link) verify(ctx context.Context, spawn func(func())) bool {
	l.mu.Lock()
	probed := l.probed
	begin := probed == nil && !l.isSilent()
	if begin {
		probed = make(chan struct{})
		l.probed = probed
	}
	l.mu.Unlock()
	if begin {
		// The probe's result concerns all requests on the link, so it doesn't end with this one.
		spawn(func() { l.probe(context.WithoutCancel(ctx), spawn) })
	}
	if probed != nil {
		select {
		case <-probed:
		case <-ctx.Done():
		}
	}
	return !l.isSilent()
}

// probe sends a request that the instance answers at once. If nothing is received in time, the link counts as silent.
func (l *link) probe(ctx context.Context, spawn func(func())) {
	started := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	result := make(chan error, 1)
	spawn(func() { result <- l.sendProbe(ctx) })
	var err error
	answered := false
	for step := 0; step < probeSteps && !answered; step++ {
		timer := time.NewTimer(probeStep)
		select {
		case err = <-result:
			answered = true
		case <-timer.C:
		}
		timer.Stop()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() {
		close(l.probed)
		l.probed = nil
	}()
	if err == nil && l.heard.After(started) {
		return
	}
	klog.InfoS("forward: instance doesn't respond; further requests use a new connection", "address", l.address, "inFlight", l.inFlight,
		"silentFor", l.quietFor(time.Now()), "err", err)
	close(l.silent)
	if l.inFlight == 0 {
		l.reset()
	}
}

// sendProbe sends a probe and returns nil if a response arrives.
func (l *link) sendProbe(ctx context.Context) error {
	request := (&http.Request{
		Method: http.MethodHead, URL: &url.URL{Scheme: "http", Host: l.address, Path: "/"}, Host: l.address,
		Header: http.Header{headerProbe: {"1"}, "User-Agent": {""}}, Body: http.NoBody,
	}).WithContext(ctx)
	response, err := l.transport.RoundTrip(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
