package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"sapphiretray/fake"
	"sapphiretray/gateway"
	"sapphiretray/keyspace"
)

const (
	// callerGrace is how long after its deadline a caller still waits.
	callerGrace = 250 * time.Millisecond
	// callerDialTimeout bounds connecting to an instance.
	callerDialTimeout = 300 * time.Millisecond
)

// modelCaller is a session of a caller: requests one after the other, over one connection as long as it lasts.
type modelCaller struct {
	m    *model
	d    *draws
	name string
	host netip.Addr
	node *modelNode
	// keysOf makes many requests have keys that were of this instance at the begin of the session. writes makes requests be non-idempotent.
	keysOf *modelInstance
	writes bool
	// reads makes requests be idempotent.
	reads bool
	conn  *fake.NetworkConn
	// reader reads the responses on conn. state is what is known of conn.
	reader *bufio.Reader
	state  *modelConnState
}

// modelConnState is what a caller and the instance have done on a connection. m.mu guards it.
type modelConnState struct {
	// sent and read are the bytes that the caller has written and the instance has read.
	sent, read int64
	requests   []*modelRequest
	// closeAnnounced means that a response had "Connection: close".
	closeAnnounced   bool
	closeAnnouncedAt time.Time
}

// beginSessions begins sessions at random, at random instances.
func (m *model) beginSessions() {
	rate := m.draw("rate").between(15*time.Millisecond, 60*time.Millisecond)
	if m.sparse {
		rate *= 8
	}
	for n := 0; !m.isEnded(); n++ {
		d := m.draw("session")
		time.Sleep(time.Duration(float64(rate) * d.ExpFloat64()))
		node := m.nodes[d.IntN(modelNodes)]
		m.group.Go(func() { m.newCaller(d, node, fmt.Sprint("s", n)).run() })
	}
}

func (m *model) newCaller(d *draws, node *modelNode, name string) *modelCaller {
	return &modelCaller{m: m, d: d, node: node, name: name, host: netip.AddrFrom4([4]byte{10, 0, 2, byte(1 + d.IntN(5))})}
}

// run sends a few requests with pauses.
func (c *modelCaller) run() {
	defer c.close()
	count := 1 + c.d.IntN(6)
	for n := 0; n < count && !c.m.isEnded(); n++ {
		if !c.connect() {
			return
		}
		c.exchange(fmt.Sprintf("%s-%d", c.name, n))
		switch p := c.d.Float64(); {
		case p < 0.4:
		case p < 0.8:
			time.Sleep(c.d.between(0, 30*time.Millisecond))
		case p < 0.97:
			time.Sleep(c.d.between(0, 1500*time.Millisecond))
		default:
			time.Sleep(c.d.between(0, 5*time.Second))
		}
	}
}

// pressStopping begins sessions that send requests to an instance from the moment of its SIGTERM until it is gone, or for a part of that
// time.
func (m *model) pressStopping(node *modelNode) {
	d := m.draw("press")
	count := 2 + d.IntN(3)
	if m.sparse {
		count = d.IntN(2)
	}
	for n := range count {
		end := time.Now().Add(d.between(0, modelStopTimeout))
		kept, interval := d.chance(0.5), d.between(5*time.Millisecond, 120*time.Millisecond)
		c := m.newCaller(m.draw("pressing"), node, fmt.Sprintf("p%d%s%d", time.Since(m.started).Milliseconds(), node.slot, n))
		m.group.Go(func() {
			defer c.close()
			for n := 0; time.Now().Before(end) && c.connect(); n++ {
				c.exchange(fmt.Sprintf("%s-%d", c.name, n))
				if !kept {
					c.close()
				}
				time.Sleep(time.Duration(float64(interval) * c.d.ExpFloat64()))
			}
		})
	}
}

// pressOthers begins sessions that send requests, many of them for keys of an instance that stops, to the other instances until it is gone.
func (m *model) pressOthers(node *modelNode) {
	d := m.draw("pressOthers")
	for n := range 2 + d.IntN(4) {
		other := m.nodes[(node.number()+1+d.IntN(modelNodes-1))%modelNodes]
		delay, interval := d.between(0, 3*time.Second), d.between(2*time.Millisecond, 60*time.Millisecond)
		if m.sparse {
			// Callers have left the instance notReadyTime after the signal, and its connections are closed soon after.
			delay, interval = notReadyTime+d.between(-200*time.Millisecond, 1500*time.Millisecond), 2*interval
		}
		c := m.newCaller(m.draw("pressingOthers"), other, fmt.Sprintf("o%d%s%d", time.Since(m.started).Milliseconds(), node.slot, n))
		c.keysOf, c.writes = node.instance(), d.chance(0.7)
		m.group.Go(func() {
			defer c.close()
			time.Sleep(delay)
			for n := 0; node.instance() == c.keysOf && c.connect(); n++ {
				c.exchange(fmt.Sprintf("%s-%d", c.name, n))
				time.Sleep(time.Duration(float64(interval) * c.d.ExpFloat64()))
			}
		})
	}
}

// pressKilledTime is how long before a kill sessions for the keys of the instance begin.
const pressKilledTime = 200 * time.Millisecond

// pressKilled begins sessions that send requests that may be repeated, for the keys of an instance, to the others for pressKilledTime.
func (m *model) pressKilled(node *modelNode, i *modelInstance) {
	end := time.Now().Add(pressKilledTime)
	d := m.draw("pressKilled")
	for n := range 6 {
		other := m.nodes[(node.number()+1+n%(modelNodes-1))%modelNodes]
		c := m.newCaller(m.draw("pressingKilled"), other, fmt.Sprintf("k%d%s%d", time.Since(m.started).Milliseconds(), node.slot, n))
		c.keysOf, c.reads = i, true
		interval := d.between(2*time.Millisecond, 20*time.Millisecond)
		m.group.Go(func() {
			defer c.close()
			for n := 0; time.Now().Before(end) && c.connect(); n++ {
				c.exchange(fmt.Sprintf("%s-%d", c.name, n))
				time.Sleep(time.Duration(float64(interval) * c.d.ExpFloat64()))
			}
		})
	}
}

// connect opens a connection unless there is one, and reports whether it could.
func (c *modelCaller) connect() bool {
	if c.conn != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerDialTimeout)
	defer cancel()
	conn, err := c.m.network.DialFrom(ctx, c.host, c.node.address(modelCallerPort))
	if err != nil {
		return false
	}
	c.conn, c.reader, c.state = conn.(*fake.NetworkConn), bufio.NewReader(conn), new(modelConnState)
	c.m.locked(func() { c.m.byConn[conn.LocalAddr().String()] = c.state })
	return true
}

func (c *modelCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// exchange sends one request, or several without waiting for their responses, and reads the responses.
func (c *modelCaller) exchange(id string) {
	d := c.d
	count := 1
	if d.chance(0.1) {
		count += 1 + d.IntN(3)
	}
	var requests []*modelRequest
	var message []byte
	headEnd := 0
	for n := range count {
		r, head := c.newRequest(fmt.Sprintf("%s-%d", id, n), count > 1)
		requests = append(requests, r)
		r.from = int64(len(message))
		message = append(message, head...)
		headEnd = len(message)
		message = append(message, r.encodedBody...)
		r.to = int64(len(message))
	}
	c.m.locked(func() {
		for _, r := range requests {
			r.from += c.state.sent
			r.to += c.state.sent
			r.node, r.conn = c.node, c.conn.LocalAddr().String()
			c.m.requests[r.id] = r
			c.m.order = append(c.m.order, r)
			c.state.requests = append(c.state.requests, r)
			c.m.record(r.id, "%s sends to %s from %v, %s, key %d, %d bytes, %v left, request %d of its connection", c.name, c.node.slot,
				c.conn.LocalAddr(), r.route, r.key, len(r.body), time.Until(r.deadline), len(c.state.requests))
		}
	})
	leaves := d.chance(0.05)
	if leaves {
		conn, reset := c.conn, d.chance(0.3)
		timer := time.AfterFunc(d.between(0, 300*time.Millisecond), func() {
			c.m.locked(func() {
				for _, r := range requests {
					r.left = true
					c.m.record(r.id, "the caller leaves, reset %v", reset)
				}
			})
			if reset {
				_ = conn.SetLinger(0)
			}
			_ = conn.Close()
		})
		defer timer.Stop()
	}
	c.send(requests, message, headEnd)
	for n, r := range requests {
		if n > 0 {
			c.restart(r, requests[n-1])
		}
		if !c.receive(r) {
			c.m.locked(func() {
				for _, other := range requests[n+1:] {
					other.afterClose = c.state.closeAnnounced
				}
			})
			c.close()
			return
		}
	}
	if leaves || !c.keeps(requests) {
		c.close()
	}
}

// restart sets the deadline of a request that was sent before the previous one was answered. Its time begins when the instance has read its
// head, which it doesn't search for before it has read the previous request, and so no later than when that one's turn had come.
func (c *modelCaller) restart(r, previous *modelRequest) {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	r.turnAt = time.Now()
	counted := r.turnAt
	if !r.readAt.IsZero() && r.readAt.After(previous.turnAt) {
		counted = r.readAt
	} else if !r.readAt.IsZero() {
		counted = previous.turnAt
	}
	r.deadline = counted.Add(r.patience)
	if r.deadline.Before(r.turnAt) {
		// The answer was kept back.
		r.deadline = r.turnAt
	}
}

// keeps reports whether the connection may be used for another request.
func (c *modelCaller) keeps(requests []*modelRequest) bool {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	last := requests[len(requests)-1]
	return !c.state.closeAnnounced && !last.halfClosed && !last.sentAt.IsZero()
}

// newRequest returns a random request and its encoded head. Pipelined requests are small, since the instance reads the next one only after
// it has written a response, which the caller reads after it has sent all requests.
func (c *modelCaller) newRequest(id string, pipelined bool) (*modelRequest, []byte) {
	d := c.d
	routes := []string{modelRead, modelRead, modelRead, modelWrite, modelWrite, modelUpload}
	if pipelined {
		routes = routes[:5]
	}
	r := &modelRequest{id: id, route: routes[d.IntN(len(routes))], key: gateway.NoKey, method: http.MethodPost}
	switch {
	case c.writes:
		r.route = modelWrite
	case c.reads:
		r.route = modelRead
	}
	if d.chance(0.5) {
		r.key = d.IntN(int(keyspace.MaxKey) + 1)
	}
	if c.keysOf != nil && d.chance(0.7) {
		r.key = c.m.keyOf(d, c.keysOf, r.key)
	}
	switch r.route {
	case modelRead:
		r.idempotent = true
		if d.chance(0.8) {
			r.method = http.MethodGet
		}
	case modelUpload:
		r.body = modelBody("upload "+id, 1+d.IntN(60<<10))
	}
	if r.method == http.MethodPost && r.body == nil {
		r.body = modelBody("body "+id, 1+d.IntN(5000))
	}
	r.target = fmt.Sprintf("/%s/%s?q=%d", r.route, id, d.IntN(100))
	left := d.between(400*time.Millisecond, 2*time.Second)
	if d.chance(0.3) {
		left = d.between(100*time.Millisecond, 500*time.Millisecond)
	}
	r.madeAt, r.patience = time.Now(), left
	r.turnAt, r.earliest, r.deadline = r.madeAt, r.madeAt, r.madeAt.Add(left)
	header := http.Header{
		modelID: {id}, modelKey: {strconv.Itoa(r.key)}, modelLeft: {strconv.FormatInt(left.Milliseconds(), 10)},
	}
	var head bytes.Buffer
	_, _ = fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.target, modelHost)
	switch {
	case r.body == nil:
	case d.chance(0.15):
		header.Set("Transfer-Encoding", "chunked")
		r.encodedBody = fmt.Appendf(nil, "%x\r\n%s\r\n0\r\n\r\n", len(r.body), r.body)
	default:
		header.Set("Content-Length", strconv.Itoa(len(r.body)))
		r.encodedBody = r.body
	}
	_ = header.Write(&head)
	head.WriteString("\r\n")
	return r, head.Bytes()
}

// send writes requests, of which the last one's head ends at headEnd: whole, or in parts.
func (c *modelCaller) send(requests []*modelRequest, message []byte, headEnd int) {
	d := c.d
	cuts := []int{len(message)}
	switch p := d.Float64(); {
	case p < 0.1:
		cuts = append(cuts, headEnd)
	case p < 0.2:
		for range 1 + d.IntN(3) {
			cuts = append(cuts, d.IntN(len(message)))
		}
	}
	slices.Sort(cuts)
	_ = c.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	sent := 0
	for n, cut := range cuts {
		if n > 0 {
			time.Sleep(d.between(0, 60*time.Millisecond))
		}
		written, err := c.conn.Write(message[sent:cut])
		sent += written
		c.observeSent(requests, written)
		if err != nil {
			c.m.record(requests[len(requests)-1].id, "request not written: %v", err)
			return
		}
	}
	if d.chance(0.05) {
		c.m.locked(func() {
			for _, r := range requests {
				r.halfClosed = true
				c.m.record(r.id, "the caller closes its sending side")
			}
		})
		_ = c.conn.CloseWrite()
	}
}

// observeSent records which requests have been sent as a whole.
func (c *modelCaller) observeSent(requests []*modelRequest, n int) {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	c.state.sent += int64(n)
	for _, r := range requests {
		if r.sentAt.IsZero() && c.state.sent >= r.to {
			r.sentAt = time.Now()
			c.m.record(r.id, "sent")
		}
	}
}

// observeRead records what an instance has read from the connection of a caller's address.
func (m *model) observeRead(address string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.byConn[address]
	if s == nil {
		return
	}
	before := s.read
	s.read += int64(n)
	for _, r := range s.requests {
		if before <= r.from && s.read > r.from {
			m.record(r.id, "begins to be read")
		}
		if before < r.to && s.read >= r.to {
			r.readAt = time.Now()
			m.record(r.id, "read")
		}
	}
}

// observeClose records that an instance closes the connection of a caller's address on which bytes have arrived that it hasn't read.
func (m *model) observeClose(address string, pending int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.byConn[address]
	if s == nil || pending == 0 {
		return
	}
	for _, r := range s.requests {
		if s.read <= r.from && s.read+int64(pending) >= r.to {
			r.closedUnread = true
			m.record(r.id, "connection closed with the request unread")
		}
	}
}

// receive reads the response to a request and reports whether another one may follow on the connection.
func (c *modelCaller) receive(r *modelRequest) bool {
	_ = c.conn.SetReadDeadline(r.deadline.Add(callerGrace))
	response, body, err := c.read(r)
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	r.endedAt = time.Now()
	r.readAll, r.readAny = c.state.read >= r.to, c.state.read > r.from
	r.afterClose = c.state.closeAnnounced
	if err != nil {
		r.err = err
		c.m.record(r.id, "no answer: %v", err)
		return false
	}
	r.status, r.header, r.response = response.StatusCode, response.Header, body
	c.m.record(r.id, "answer %d, %d bytes, close %v: %.60q", r.status, len(body), response.Close, body)
	if response.Close && !c.state.closeAnnounced {
		c.state.closeAnnounced, c.state.closeAnnouncedAt = true, r.endedAt
	}
	return !c.state.closeAnnounced
}

// read reads a final response.
func (c *modelCaller) read(r *modelRequest) (*http.Response, []byte, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
		if err != nil {
			return nil, nil, err
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return nil, nil, errors.Join(errors.New("the body of the response ended early"), err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, body, nil
		}
	}
}
