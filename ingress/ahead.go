package ingress

import (
	"context"
	"errors"
	"net/http"
	"os"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/httplimit"
	"sapphiretray/policy"
)

const (
	// maxAhead bounds the requests of a connection that run or have a response before those in front of them have been answered.
	maxAhead = 16
	// maxWaitingBytes is the size of the responses of a connection that wait for their turn from which on no further request begins ahead.
	maxWaitingBytes = 1 << 20
	// lateTurn is the wait of a response for those in front of it from which on it is logged.
	lateTurn = 50 * time.Millisecond
)

// aheadRequest is a request that has arrived behind others on its connection.
type aheadRequest struct {
	*http.Request
	// number is the position of the request on its connection.
	number uint64
	// arrived is when its head had arrived.
	arrived time.Time
	// response is that of a request that has begun before its turn, or nil.
	response *aheadResponse
	// finished is when the response was complete, and id that of the request, if its headers were interpreted. They are valid once done is
	// closed.
	finished time.Time
	id       string
	done     chan struct{}
	// dropped is set if the response will not be sent.
	dropped bool
}

// drop releases the memory of the response, now or once it is complete. The caller holds the connection's mu.
func (a *aheadRequest) drop() {
	a.dropped = true
	if a.response == nil {
		return
	}
	select {
	case <-a.done:
		a.response.memory.Close()
	default:
	}
}

// aheadKey is the context key of the aheadRequest of a request.
type aheadKey struct{}

// arrivalOf returns when the head of a request had arrived, also if the request then waited for its turn.
func arrivalOf(r *http.Request) time.Time {
	if a, ok := r.Context().Value(aheadKey{}).(*aheadRequest); ok {
		return a.arrived
	}
	return time.Now()
}

// aheadResponse holds a response until it is its turn. It implements http.ResponseWriter.
type aheadResponse struct {
	header  http.Header
	status  int
	body    []byte
	aborted bool
	// memory is that of the request, if it holds the body. conn is the connection that the response waits on.
	memory *httplimit.Claim
	conn   *callerConn
}

// Header implements http.ResponseWriter.
func (a *aheadResponse) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *aheadResponse) WriteHeader(status int) {
	if a.status == 0 && status >= http.StatusOK {
		a.status = status
	}
}

// Write implements http.ResponseWriter.
func (a *aheadResponse) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	a.body = append(a.body, p...)
	return len(p), nil
}

// hold takes over a body and the memory that holds it, without copying. While the response waits, the callers in front of it may not read
// theirs; it then gives way to others with its connection.
func (a *aheadResponse) hold(body []byte, memory *httplimit.Claim) {
	a.body, a.memory = body, memory
	_ = memory.SetRevocable(policy.RevocableIfStalled, a.conn.abandonWrite)
}

// writeTo writes the response to the connection whose turn it is.
func (a *aheadResponse) writeTo(w http.ResponseWriter, r *http.Request) {
	if a.aborted {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	for name, values := range a.header {
		// A nil value keeps the HTTP server from adding the header.
		header[name] = values
	}
	w.WriteHeader(max(a.status, http.StatusOK))
	writeBody(w, r, a.body, a.memory)
}

// AheadPolicy tells which requests may begin before their turn. It is implemented by handlers.
type AheadPolicy interface {
	// MayRunAhead reports whether a request that has arrived behind others on its connection may run before they have been answered, and
	// although its response may never be sent.
	MayRunAhead(r *http.Request) bool
}

// readAhead reads further requests while the HTTP server serves one, until that one ends, and begins those that may run before their turn.
// The HTTP server calls it in order to notice that the caller leaves. It returns no data, but the error that ended it.
func (c *callerConn) readAhead() error {
	for {
		c.mu.Lock()
		c.beginAhead()
		for c.isBufferFull() && !c.readExpired && !c.closed {
			c.readable.Wait()
		}
		expired := c.isBufferFull()
		c.mu.Unlock()
		if expired {
			return os.ErrDeadlineExceeded
		}
		_, err := c.fill()
		c.mu.Lock()
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.dropAhead(err)
		}
		c.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// isBufferFull reports whether no more is to be read ahead. Reading more than a chunk takes memory. The caller holds mu.
func (c *callerConn) isBufferFull() bool {
	n := len(c.framer.buffered)
	return n >= maxBuffered || n >= readChunk && !c.head.reserveAhead()
}

// dropAhead ends the requests that have arrived behind the newest one, when the caller has left or the connection has failed. The caller
// holds mu.
func (c *callerConn) dropAhead(err error) {
	if len(c.ahead) > 0 {
		klog.V(1).InfoS("callers: dropped requests behind others", "requests", len(c.ahead), "err", err, "caller", c.RemoteAddr())
	}
	for _, a := range c.ahead {
		a.drop()
	}
	c.lost, c.framer.buffered, c.ahead, c.parsed = err, nil, nil, 0
	c.cancelAhead()
}

// beginAhead begins the buffered requests that may run before their turn. The caller holds mu.
func (c *callerConn) beginAhead() {
	for c.policy != nil && len(c.ahead) < maxAhead && c.waitingBytes < maxWaitingBytes && c.mayFollow() {
		rest := c.framer.buffered[c.parsed:]
		n, ended := new(lineScanner).scan(rest)
		if !ended {
			return
		}
		r := parseHead(rest[:n])
		if r == nil {
			return
		}
		c.parsed += n
		a := &aheadRequest{Request: r, number: c.lastNumber() + 1, arrived: time.Now(), done: make(chan struct{})}
		c.ahead = append(c.ahead, a)
		if isFramed(r) && hasNoBody(r) && c.policy.MayRunAhead(r) {
			c.start(a)
		}
	}
}

// lastNumber returns the number of the newest request that is known. The caller holds mu.
func (c *callerConn) lastNumber() uint64 {
	if n := len(c.ahead); n > 0 {
		return max(c.ahead[n-1].number, c.framer.number)
	}
	return c.framer.number
}

// mayFollow reports whether the newest request that is known has no body that lies before the next one, and doesn't end the connection. The
// caller holds mu.
func (c *callerConn) mayFollow() bool {
	n := len(c.ahead)
	if n == 0 || c.ahead[n-1].number <= c.framer.number {
		return !c.framer.last
	}
	last := c.ahead[n-1].Request
	return isFramed(last) && hasNoBody(last) && !last.Close
}

// start serves a request before its turn. The caller holds mu.
func (c *callerConn) start(a *aheadRequest) {
	a.response = &aheadResponse{header: make(http.Header), conn: c}
	a.RemoteAddr = c.RemoteAddr().String()
	r := a.WithContext(context.WithValue(c.aheadContext, aheadKey{}, a))
	c.connections.ahead.Go(func() {
		defer func() {
			if v := recover(); v != nil {
				// The connection is aborted when it is the request's turn, as the HTTP server does after a panic.
				klog.ErrorS(nil, "callers: request behind others aborted", "id", a.id, "panic", v)
				a.response.aborted = true
			}
			c.mu.Lock()
			c.waitingBytes += len(a.response.body)
			a.finished = time.Now()
			if a.dropped {
				a.response.memory.Close()
			}
			close(a.done)
			c.mu.Unlock()
		}()
		c.connections.next.ServeHTTP(a.response, r)
	})
}

// takeAhead returns the request that the HTTP server begins to serve as it was read ahead, or nil if it wasn't.
func (c *callerConn) takeAhead(r *http.Request) *aheadRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.ahead) > 0 && c.ahead[0].number < c.framer.number {
		c.ahead[0].drop()
		c.removeAhead()
	}
	if len(c.ahead) == 0 || c.ahead[0].number != c.framer.number {
		return nil
	}
	a := c.ahead[0]
	c.removeAhead()
	if a.Method != r.Method || a.RequestURI != r.RequestURI || a.Host != r.Host {
		klog.ErrorS(nil, "callers: a request read ahead isn't the one that is served", "ahead", a.RequestURI, "served", r.RequestURI,
			"caller", c.RemoteAddr())
		c.framer.opaque = true
		c.dropAhead(errMisframed)
		return nil
	}
	return a
}

// removeAhead removes the first request that was read ahead, without a reference to its response. The caller holds mu.
func (c *callerConn) removeAhead() { c.ahead = slices.Delete(c.ahead, 0, 1) }

var errMisframed = errors.New("the connection was split into requests at the wrong place")

// serveInTurn serves a request whose turn it is. A response that was made before is written once it is complete.
func (c *callerConn) serveInTurn(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	a := c.takeAhead(r)
	if a == nil {
		handler.ServeHTTP(w, r)
		return
	}
	turn := time.Now()
	if a.response == nil {
		klog.V(1).InfoS("callers: request waited for those in front of it", "waited", turn.Sub(a.arrived), "caller", c.RemoteAddr())
		handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), aheadKey{}, a)))
		return
	}
	<-a.done
	c.mu.Lock()
	c.id = a.id
	c.waitingBytes -= len(a.response.body)
	c.mu.Unlock()
	if waited := turn.Sub(a.finished); waited >= lateTurn {
		klog.InfoS("request: response waited for those in front of it", "id", a.id, "waited", waited, "total", turn.Sub(a.arrived))
	}
	if c.connections.stopping() {
		a.response.header.Set("Connection", "close")
	}
	a.response.writeTo(w, r)
}

// receive reads what the HTTP server is to get next.
func (c *callerConn) receive(p []byte) (int, error) {
	for {
		c.mu.Lock()
		served := c.state != requestNone && c.state != requestPartial
		if c.framer.whole && served && !c.framer.opaque {
			c.mu.Unlock()
			return 0, c.readAhead()
		}
		if c.lost != nil {
			c.mu.Unlock()
			return 0, c.lost
		}
		if !served {
			c.framer.begin()
		}
		n := c.framer.deliver(p)
		c.parsed = max(0, c.parsed-n)
		limit, direct := c.directBytes(len(p))
		refusal := c.checkHead(served)
		c.mu.Unlock()
		if refusal != nil {
			return 0, c.refuse(refusal)
		}
		if n > 0 {
			return n, nil
		}
		if direct {
			n, err := c.Conn.Read(p[:limit])
			c.mu.Lock()
			defer c.mu.Unlock()
			if !c.framer.opaque {
				c.framer.skipBody(n)
			}
			return n, err
		}
		if n, err := c.fill(); n == 0 {
			return 0, err
		}
	}
}

// directBytes returns how many bytes may be read without the buffer, and whether there are any: those of the rest of a body, and what isn't
// split. The caller holds mu.
func (c *callerConn) directBytes(most int) (limit int, direct bool) {
	switch {
	case c.framer.opaque:
		return most, true
	case c.framer.body > 0:
		return int(min(int64(most), c.framer.body)), true
	default:
		return 0, false
	}
}

// fill reads what arrives next into the buffer, and returns the number of bytes.
func (c *callerConn) fill() (int, error) {
	if c.chunk == nil {
		c.chunk = make([]byte, readChunk)
	}
	n, err := c.Conn.Read(c.chunk)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framer.buffered = append(c.framer.buffered, c.chunk[:n]...)
	return n, err
}

// begin sets the context of the requests that begin ahead.
func (c *callerConn) begin(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aheadContext, c.cancelAhead = context.WithCancel(ctx)
	if c.closed {
		c.cancelAhead()
	}
}

// hasUnread reports whether data has arrived that the HTTP server hasn't got.
func (c *callerConn) hasUnread() bool {
	c.mu.Lock()
	buffered := len(c.framer.buffered)
	c.mu.Unlock()
	return buffered > 0 || hasPending(c.Conn)
}

// setReadPast records whether the deadline for reads has passed, which ends a pause of readAhead. The caller holds mu.
func (c *callerConn) setReadPast(t time.Time) {
	c.readExpired = !t.IsZero() && !t.After(time.Now())
	c.readable.Broadcast()
}
