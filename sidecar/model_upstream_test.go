package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelUpstream is the server beside an instance. It answers each request.
type modelUpstream struct {
	m        *model
	name     string
	address  string
	listener net.Listener
	conns    sync.WaitGroup
	// mu guards the fields below.
	mu sync.Mutex
	// held holds the regions whose keys the upstream may serve, running the number of requests that run on keys of each region.
	held    [modelRegions]bool
	running [modelRegions]int
	// idle is closed and replaced when a request ends.
	idle chan struct{}
	open map[net.Conn]struct{}
}

// upstreamRun is one run of a request.
type upstreamRun struct {
	began, ended time.Time
	status       int
	body         []byte
	// refused means that the upstream said that it didn't run the request.
	refused bool
}

func (m *model) newUpstream(name string, host netip.Addr) *modelUpstream {
	u := &modelUpstream{
		m: m, name: name, address: netip.AddrPortFrom(host, 8080).String(), idle: make(chan struct{}), open: make(map[net.Conn]struct{}),
	}
	listener, err := m.network.Listen(u.address)
	if err != nil {
		panic(err)
	}
	u.listener = listener
	u.conns.Go(u.accept)
	return u
}

func (u *modelUpstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.open[conn] = struct{}{}
		u.mu.Unlock()
		u.conns.Go(func() {
			u.serve(conn)
			_ = conn.Close()
			u.mu.Lock()
			defer u.mu.Unlock()
			delete(u.open, conn)
		})
	}
}

// close ends the upstream.
func (u *modelUpstream) close() {
	_ = u.listener.Close()
	u.mu.Lock()
	for conn := range u.open {
		_ = conn.Close()
	}
	u.mu.Unlock()
	u.conns.Wait()
}

// grant lets the upstream serve the keys of a region.
func (u *modelUpstream) grant(r int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.held[r] = true
}

// release keeps the upstream from serving the keys of a region, and waits for the requests that run on them.
func (u *modelUpstream) release(r int) {
	for {
		u.mu.Lock()
		u.held[r] = false
		running, idle := u.running[r], u.idle
		u.mu.Unlock()
		if running == 0 {
			return
		}
		<-idle
	}
}

// begin begins a run on a key and returns false if the upstream doesn't hold it. A negative key is none.
func (u *modelUpstream) begin(key int) bool {
	if key < 0 {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	r := region(uint16(key))
	if !u.held[r] {
		return false
	}
	u.running[r]++
	return true
}

// end ends a run on a key.
func (u *modelUpstream) end(key int) {
	if key < 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running[region(uint16(key))]--
	close(u.idle)
	u.idle = make(chan struct{})
}

// serve serves the requests of one connection until it ends.
func (u *modelUpstream) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	connDraws := u.m.draw("upstream" + u.name)
	// Idle connections are closed after the time that the responses declare, or that is assumed without a declaration.
	keepAlive, declared := 10*time.Second, connDraws.chance(0.5)
	if declared {
		keepAlive = time.Duration(1+connDraws.IntN(3)) * time.Second
	}
	var last []byte
	for {
		_ = conn.SetReadDeadline(time.Now().Add(keepAlive))
		if _, err := reader.Peek(1); err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get(modelID)
		d := u.m.draw("run" + id)
		if last != nil && d.chance(0.05) {
			if _, err := conn.Write(last); err != nil {
				return
			}
		}
		header := make(http.Header)
		if declared {
			header.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(keepAlive.Seconds())))
		}
		response, closeAfter := u.respond(conn, d, request, body, header)
		if !u.write(conn, d, id, response) || closeAfter {
			return
		}
		last = response
		if d.chance(0.04) {
			time.Sleep(d.between(0, 5*time.Millisecond))
			if _, err := conn.Write(last); err != nil {
				return
			}
		}
	}
}

// respond runs a request, or refuses it, and returns the response and whether the connection is to be closed after it.
func (u *modelUpstream) respond(
	conn net.Conn, d *draws, request *http.Request, body []byte, header http.Header,
) (response []byte, closeAfter bool) {
	id := request.Header.Get(modelID)
	key, err := strconv.Atoi(request.Header.Get(modelKey))
	if err != nil {
		panic(err)
	}
	closeAfter = d.chance(0.06)
	if closeAfter {
		header.Set("Connection", "close")
	}
	header.Set(modelID, id)
	run := &upstreamRun{began: time.Now(), status: http.StatusOK}
	switch {
	case !u.begin(key):
		run.refused, run.status = true, http.StatusMisdirectedRequest
	case d.chance(0.07):
		u.end(key)
		run.refused, run.status = true, http.StatusServiceUnavailable
	default:
		defer u.end(key)
		if d.chance(0.05) {
			run.status = http.StatusInternalServerError
		}
	}
	if run.refused {
		header.Set(modelNotRun, "1")
		u.m.observeRefusal(u.name, id, run.status)
		run.body = []byte("refused")
		return encodeResponse(run, header, "", len(run.body)), closeAfter
	}
	number := u.m.observeRun(u.name, id, request, body, run)
	header.Set(modelRun, strconv.Itoa(number))
	took := runTime(d)
	if d.chance(0.05) {
		time.Sleep(took / 2)
		took /= 2
		if _, err := io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"); err != nil {
			u.m.record(id, "upstream %s: interim response not written: %v", u.name, err)
		}
	}
	time.Sleep(took)
	run.body = modelBody(fmt.Sprintf("%s/%d", id, number), bodySize(d))
	framing := ""
	switch {
	case d.chance(0.2):
		framing = "chunked"
	case closeAfter && d.chance(0.3):
		framing = "close"
	}
	u.m.observeRunEnd(u.name, id, run)
	return encodeResponse(run, header, framing, 1+d.IntN(max(1, len(run.body)))), closeAfter
}

// runTime returns how long a request runs.
func runTime(d *draws) time.Duration {
	switch p := d.Float64(); {
	case p < 0.5:
		return d.between(time.Millisecond, 10*time.Millisecond)
	case p < 0.8:
		return d.between(10*time.Millisecond, 80*time.Millisecond)
	case p < 0.95:
		return d.between(80*time.Millisecond, 350*time.Millisecond)
	default:
		return d.between(350*time.Millisecond, 900*time.Millisecond)
	}
}

// bodySize returns the size of a body.
func bodySize(d *draws) int {
	switch p := d.Float64(); {
	case p < 0.8:
		return d.IntN(2000)
	case p < 0.97:
		return d.IntN(40 << 10)
	default:
		return d.IntN(400 << 10)
	}
}

// modelBody returns a body of a size that no other text begins.
func modelBody(text string, size int) []byte {
	return bytes.Repeat([]byte(text+"."), size/(len(text)+1)+1)[:size]
}

// encodeResponse returns a response. framing is "chunked" for chunks of a size, "close" if the connection's end ends the body, or empty.
func encodeResponse(run *upstreamRun, header http.Header, framing string, chunk int) []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", run.status, http.StatusText(run.status))
	switch framing {
	case "chunked":
		header.Set("Transfer-Encoding", "chunked")
	case "":
		header.Set("Content-Length", strconv.Itoa(len(run.body)))
	}
	_ = header.Write(&b)
	b.WriteString("\r\n")
	if framing != "chunked" {
		b.Write(run.body)
		return b.Bytes()
	}
	for rest := run.body; len(rest) > 0; {
		n := min(chunk, len(rest))
		_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// write sends a response, sometimes in parts, and reports whether all of it was sent.
func (u *modelUpstream) write(conn net.Conn, d *draws, id string, response []byte) bool {
	parts := 1
	if d.chance(0.15) {
		parts = 2 + d.IntN(3)
	}
	for n := range parts {
		part := response[len(response)*n/parts : len(response)*(n+1)/parts]
		if _, err := conn.Write(part); err != nil {
			u.m.record(id, "upstream %s: response not written: %v", u.name, err)
			return false
		}
		if n+1 < parts {
			time.Sleep(d.between(0, 20*time.Millisecond))
		}
	}
	return true
}

// observeRefusal records that an upstream refused a request.
func (m *model) observeRefusal(upstream, id string, status int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record(id, "upstream %s refuses with %d", upstream, status)
	if r := m.requests[id]; r != nil {
		r.refused = true
	}
}

// observeRun records the begin of a run, checks that the request arrived unchanged, and returns the number of the run.
func (m *model) observeRun(upstream, id string, r *http.Request, body []byte, run *upstreamRun) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record(id, "upstream %s begins, %d bytes", upstream, len(body))
	request := m.requests[id]
	if request == nil {
		m.violate("unknown request runs", nil, fmt.Sprintf("upstream %s runs %q", upstream, id))
		return 0
	}
	if r.Method != request.method || r.RequestURI != request.target || !bytes.Equal(body, request.body) {
		m.violate("changed request runs", request, fmt.Sprintf("%s %s with %d bytes", r.Method, r.RequestURI, len(body)))
	}
	m.checkEvacuation(upstream, request)
	request.runs = append(request.runs, run)
	return len(request.runs)
}

// observeRunEnd records the end of a run.
func (m *model) observeRunEnd(upstream, id string, run *upstreamRun) {
	m.mu.Lock()
	defer m.mu.Unlock()
	run.ended = time.Now()
	m.record(id, "upstream %s ends with %d, %d bytes", upstream, run.status, len(run.body))
}

// isOwnAnswer reports whether a response was made by the product.
func isOwnAnswer(header http.Header) bool { return strings.TrimSpace(header.Get(modelRun)) == "" }
