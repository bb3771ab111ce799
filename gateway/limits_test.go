package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/routing"
)

const (
	// kernelBuffers bounds the bytes that a loopback connection holds between the upstream's writes and the gateway's reads. Systems allow
	// receive buffers of up to 32 MiB and send buffers of up to 4 MiB.
	kernelBuffers = 40 << 20
	// maxHead and maxBodies are the limits of the heads and bodies that the gateway reads for one request.
	maxHead   = 256 << 10
	maxBodies = 32 << 20
	// endlessDeadline is the deadline of a request whose response doesn't end.
	endlessDeadline = 10 * time.Second
)

// writeForever writes prefix once and unit repeatedly until the connection ends, and adds the number of written bytes to written.
func writeForever(conn net.Conn, prefix, unit string, written *atomic.Int64) {
	block := []byte(strings.Repeat(unit, 1+(16<<10)/len(unit)))
	n, err := io.WriteString(conn, prefix)
	written.Add(int64(n))
	for err == nil {
		n, err = conn.Write(block)
		written.Add(int64(n))
	}
}

// endlessResponses are responses that don't end, as a prefix and a repeated unit. ID stands for the request's id.
var endlessResponses = []struct {
	name         string
	prefix, unit string
	limit        int64
}{
	{"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n", maxHead},
	{"one header line", "HTTP/1.1 200 OK\r\nA: ", "bbbbbbbb", maxHead},
	{"status line", "HTTP/1.1 200 ", "OK", maxHead},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", maxHead},
	{"responses to another request", "", "HTTP/1.1 200 OK\r\n" + headerID + ": other\r\nContent-Length: 0\r\n\r\n", maxHead},
	{"body of a response to another request", "HTTP/1.1 200 OK\r\n" + headerID + ": other\r\n\r\n", "body", maxBodies},
	{
		"chunked responses to another request", "",
		"HTTP/1.1 200 OK\r\n" + headerID + ": other\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n" +
			strings.Repeat("b", 0xffff) + "\r\n0\r\n\r\n", maxBodies,
	},
	{"body without length", "HTTP/1.1 200 OK\r\n" + headerID + ": ID\r\n" + headerGenuine + ": m\r\n\r\n", "body", maxBodies},
	{
		"body with a length", "HTTP/1.1 200 OK\r\n" + headerID + ": ID\r\n" + headerGenuine + ": m\r\nContent-Length: 10000000000\r\n\r\n",
		"body", maxBodies,
	},
	{
		"chunks", "HTTP/1.1 200 OK\r\n" + headerID + ": ID\r\n" + headerGenuine + ": m\r\nTransfer-Encoding: chunked\r\n\r\n",
		"40\r\n" + strings.Repeat("b", 0x40) + "\r\n", maxBodies,
	},
	{
		"chunk extension", "HTTP/1.1 200 OK\r\n" + headerID + ": ID\r\n" + headerGenuine + ": m\r\nTransfer-Encoding: chunked\r\n\r\n4;a=",
		"bbbb", maxBodies,
	},
	{
		"chunk extensions", "HTTP/1.1 200 OK\r\n" + headerID + ": ID\r\n" + headerGenuine + ": m\r\nTransfer-Encoding: chunked\r\n\r\n",
		"1;extension=value\r\nb\r\n", maxBodies,
	},
	{
		"trailers", "HTTP/1.1 200 OK\r\n" + headerID + ": ID\r\n" + headerGenuine + ": m\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		"A: b\r\n", maxBodies,
	},
}

// TestEndlessResponses guards against reading a response without end until the deadline: the memory of the process must be bounded, and
// the request must end at once as one that may have run.
func TestEndlessResponses(t *testing.T) {
	for _, test := range endlessResponses {
		t.Run(test.name, func(t *testing.T) {
			var written atomic.Int64
			u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, number int64) {
				if number > 1 {
					_, _ = io.WriteString(conn, ok(id, "hello"))
					return
				}
				writeForever(conn, strings.ReplaceAll(test.prefix, "ID", id), test.unit, &written)
			})
			g := start(t, u)
			r := request("r1", routing.NonIdempotent)
			r.Deadline = time.Now().Add(endlessDeadline)
			started := time.Now()
			_, err := g.Do(t.Context(), r)
			took := time.Since(started)
			if got := failureOf(t, err); got != code.UpstreamFailed {
				t.Errorf("failure %v, want %s", err, code.UpstreamFailed)
			}
			if took > endlessDeadline/2 {
				t.Errorf("the request ended after %v", took)
			}
			if n := written.Load(); n > test.limit+kernelBuffers {
				t.Errorf("the upstream could write %d bytes, limit %d", n, test.limit)
			}
			if _, err := g.Do(t.Context(), request("r2", routing.NonIdempotent)); err != nil {
				t.Errorf("the next request: %v", err)
			}
		})
	}
}

// TestEndlessControlResponses guards against reading the response to a control request until its deadline.
func TestEndlessControlResponses(t *testing.T) {
	for _, test := range endlessResponses {
		t.Run(test.name, func(t *testing.T) {
			var written atomic.Int64
			u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, _ string, _ int64) {
				writeForever(conn, test.prefix, test.unit, &written)
			})
			g := start(t, u)
			ctx, cancel := context.WithTimeout(t.Context(), endlessDeadline)
			defer cancel()
			started := time.Now()
			_, _, err := g.SendControlRequest(ctx, func(bool) (gateway.ControlRequest, error) {
				return gateway.ControlRequest{Method: http.MethodPost, Target: "/grant", Body: []byte("{}")}, nil
			})
			if took := time.Since(started); took > endlessDeadline/2 {
				t.Errorf("ended after %v with %v", took, err)
			}
			if n := written.Load(); n > test.limit+kernelBuffers {
				t.Errorf("the upstream could write %d bytes, limit %d", n, test.limit)
			}
		})
	}
}

// TestLongHeads guards against limits of heads that are much larger than any head that an upstream sends.
func TestLongHeads(t *testing.T) {
	tests := []struct{ name, prefix, headers string }{
		{"header lines", "", strings.Repeat("A: b\r\n", 1<<20/6)},
		{"one header line", "", "A: " + strings.Repeat("b", 1<<20) + "\r\n"},
		{"interim responses", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<20/28), ""},
		{"responses to another request", strings.Repeat(ok("other", ""), 1<<20/len(ok("other", ""))), ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, _ int64) {
				_, _ = io.WriteString(conn, test.prefix+strings.Replace(ok(id, ""), "\r\n", "\r\n"+test.headers, 1))
			})
			g := start(t, u)
			r := request("r1", routing.Idempotent)
			r.Deadline = time.Now().Add(endlessDeadline)
			_, err := g.Do(t.Context(), r)
			if got := failureOf(t, err); got != code.UpstreamFailed {
				t.Errorf("failure %v, want %s", err, code.UpstreamFailed)
			}
		})
	}
}

// TestLargeResponses guards against limits that refuse responses which an upstream may send.
func TestLargeResponses(t *testing.T) {
	body := strings.Repeat("b", 16<<20)
	tests := []struct {
		name    string
		respond func(conn net.Conn, id string)
	}{
		{"body", func(conn net.Conn, id string) { _, _ = io.WriteString(conn, ok(id, body)) }},
		{"after a body of the same size for another request", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, ok("other", body[1<<20:])+ok(id, body))
		}},
		{"short chunks", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+headerID+": "+id+"\r\n"+headerGenuine+": m\r\n"+
				"Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("40\r\n"+body[:0x40]+"\r\n", len(body)/0x40)+"0\r\n\r\n")
		}},
		{"headers", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, strings.Replace(ok(id, body), "\r\n\r\n", "\r\nA: "+strings.Repeat("a", 200<<10)+"\r\n\r\n", 1))
		}},
		{"1,000 headers", func(conn net.Conn, id string) {
			headers := strings.Repeat("A: "+strings.Repeat("a", 200)+"\r\n", 1000)
			_, _ = io.WriteString(conn, strings.Replace(ok(id, body), "\r\n", "\r\n"+headers, 1))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, _ int64) { test.respond(conn, id) })
			g := start(t, u)
			for _, id := range []string{"r1", "r2"} {
				r := request(id, routing.Idempotent)
				r.Deadline = time.Now().Add(30 * time.Second)
				response, err := g.Do(t.Context(), r)
				if err != nil || string(response.Body) != body {
					t.Fatalf("request %s: %v", id, err)
				}
			}
			if u.conns.Load() != 1 {
				t.Errorf("%d connections, want the first one to be reused", u.conns.Load())
			}
		})
	}
}

// TestConcurrentLargeResponses guards against holding a body of 16 MiB for each request that runs at the same time, which a small machine
// can't, and against large responses that are never read because others wait for the same memory.
func TestConcurrentLargeResponses(t *testing.T) {
	const (
		requests = 8
		size     = 15 << 20
		// The bodies that are read together may take 32 MiB, and the first MiB of each body counts as small.
		limit = 32<<20 + requests<<20
		// kernel bounds the bytes in the socket buffers of all connections.
		kernel = requests * 6 << 20
	)
	tests := []struct {
		name, head, tail string
	}{
		{"length", fmt.Sprintf("Content-Length: %d\r\n\r\n", size), ""},
		{"chunk", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size), "\r\n0\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var written atomic.Int64
			finish := make(chan struct{})
			u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, _ int64) {
				_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+headerID+": "+id+"\r\n"+headerGenuine+": m\r\n"+test.head)
				block := make([]byte, 64<<10)
				for range size/len(block) - 1 {
					n, err := conn.Write(block)
					written.Add(int64(n))
					if err != nil {
						return
					}
				}
				<-finish
				_, _ = conn.Write(block)
				_, _ = io.WriteString(conn, test.tail)
			})
			g := start(t, u)
			register(t, g, u, gateway.Registration{UpstreamRun: gateway.UpstreamRun{ID: "u", Started: 2000}, Slots: requests, Sequence: 1})
			var group sync.WaitGroup
			for n := range requests {
				group.Go(func() {
					r := request(fmt.Sprint("r", n), routing.Idempotent)
					r.Deadline = time.Now().Add(30 * time.Second)
					if response, err := g.Do(t.Context(), r); err != nil || len(response.Body) != size {
						t.Errorf("request %d: %v", n, err)
					}
				})
			}
			for before := int64(-1); before < written.Load(); time.Sleep(500 * time.Millisecond) {
				before = written.Load()
			}
			if n := written.Load(); n > limit+kernel {
				t.Errorf("the upstream could write %d bytes of responses that are read together, limit %d", n, limit)
			}
			close(finish)
			group.Wait()
		})
	}
}

// TestLargeResponseWaitsUntilDeadline guards against a request that outlasts its deadline, and against reporting it as not run, because
// other large responses don't end.
func TestLargeResponseWaitsUntilDeadline(t *testing.T) {
	body := strings.Repeat("b", 16<<20)
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, number int64) {
		text := ok(id, body)
		if number <= 4 {
			text = text[:1<<10]
		}
		_, _ = io.WriteString(conn, text)
		if number <= 4 {
			_, _ = conn.Read(make([]byte, 1))
		}
	})
	g := start(t, u)
	register(t, g, u, gateway.Registration{UpstreamRun: gateway.UpstreamRun{ID: "u", Started: 2000}, Slots: 4, Sequence: 1})
	var group sync.WaitGroup
	for n := range 4 {
		group.Go(func() {
			r := request(fmt.Sprint("r", n), routing.NonIdempotent)
			r.Deadline = time.Now().Add(400 * time.Millisecond)
			_, err := g.Do(t.Context(), r)
			if got := failureOf(t, err); got != code.UpstreamTimeout {
				t.Errorf("request %d: %v, want %s", n, err, code.UpstreamTimeout)
			}
			if late := time.Since(r.Deadline); late > time.Second {
				t.Errorf("request %d ended %v after its deadline", n, late)
			}
		})
	}
	group.Wait()
	r := request("r5", routing.NonIdempotent)
	r.Deadline = time.Now().Add(endlessDeadline)
	if response, err := g.Do(t.Context(), r); err != nil || len(response.Body) != 16<<20 {
		t.Errorf("a large response after the unfinished ones: %v", err)
	}
}
