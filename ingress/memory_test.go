package ingress_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"sapphiretray/bubble"
	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/httplimit"
	"sapphiretray/ingress"
	"sapphiretray/policy"
	"sapphiretray/routing"
)

// dialer connects callers to a server in a bubble.
type dialer struct {
	t        *testing.T
	accepted chan net.Conn
}

// boundServer starts a server whose connections are bounded, until the test ends.
func boundServer(t *testing.T, limits routing.Limits, memory *httplimit.Budget, connections int, handler http.Handler) dialer {
	t.Helper()
	c := ingress.NewConnections(func() routing.Limits { return limits }, prometheus.NewRegistry())
	c.Bound(memory, connections)
	server := &http.Server{Handler: handler}
	c.Attach(server)
	listener := pipeListener{make(chan net.Conn), make(chan struct{})}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(c.Listen(listener)) })
	t.Cleanup(func() { _, _ = server.Close(), group.Wait() })
	return dialer{t, listener.accepted}
}

// dial returns a caller's end of a connection.
func (d dialer) dial() net.Conn {
	near, far := net.Pipe()
	d.t.Cleanup(func() { _ = far.Close() })
	d.accepted <- near
	return far
}

// exchange sends a text on a connection and returns the response, or nil if there is none.
func exchange(t *testing.T, conn net.Conn, text string) *http.Response {
	t.Helper()
	var group errgroup.Group
	group.Go(func() error {
		_, err := io.WriteString(conn, text)
		return err
	})
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	_ = conn.SetWriteDeadline(time.Now())
	_ = group.Wait()
	if err != nil {
		return nil
	}
	_ = response.Body.Close()
	return response
}

// TestEndlessHeads guards against heads that are read without a bound, and against sound ones that are refused.
func TestEndlessHeads(t *testing.T) {
	const limit = 16 << 10
	line := "A: " + strings.Repeat("a", 100) + "\r\n"
	tests := []struct {
		name, sent string
		limit      int
		status     int
	}{
		{"headers up to the limit", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat(line, limit/len(line)) + "\r\n", limit, 404},
		{"long request line", "GET /" + strings.Repeat("p", 12<<10) + " HTTP/1.1\r\nHost: h\r\n\r\n", limit, 404},
		{"header lines without end", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat(line, 1000), limit, 431},
		{"header without end", "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 1<<20), limit, 431},
		{"request line without end", "GET /" + strings.Repeat("p", 1<<20), limit, 431},
		{"no limit", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat(line, 1000), 0, 431},
		{"empty lines without end", strings.Repeat("\r\n", 1<<20), limit, 400},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				d := boundServer(t, routing.Limits{MaxHeaderBytes: test.limit}, httplimit.NewBudget(32<<20), 0, http.NotFoundHandler())
				conn := d.dial()
				response := exchange(t, conn, test.sent)
				if response == nil || response.StatusCode != test.status {
					t.Fatalf("%+v, want status %d", response, test.status)
				}
				if test.status != http.StatusNotFound && !response.Close {
					t.Error("the connection stays open")
				}
			})
		})
	}
}

// TestHeadsWithoutMemory guards against large heads of many connections at once for which there is no memory, against a refusal that
// doesn't promise that the request hasn't run, and against small requests that are refused with them.
func TestHeadsWithoutMemory(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		budget := httplimit.NewBudget(1 << 20)
		d := boundServer(t, routing.Limits{MaxHeaderBytes: 16 << 10}, budget, 0, http.NotFoundHandler())
		refused := 0
		for range 10 {
			conn := d.dial()
			_ = conn.SetDeadline(time.Now().Add(100 * time.Millisecond))
			if response := exchange(t, conn, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("a", 15<<10)); response != nil {
				refused++
				after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
				if response.StatusCode != http.StatusServiceUnavailable || err != nil || after <= 0 {
					t.Errorf("status %d, Retry-After %v, %v", response.StatusCode, after, err)
				}
			}
		}
		if refused == 0 || refused == 10 {
			t.Errorf("%d of 10 heads were refused", refused)
		}
		response := exchange(t, d.dial(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		if response == nil || response.StatusCode != http.StatusNotFound {
			t.Errorf("a small request got %+v", response)
		}
		if s := budget.Stats(); s.Used > s.Limit {
			t.Errorf("%d bytes are used, limit %d", s.Used, s.Limit)
		}
	})
}

// TestTooManyConnections guards against connections without end, against closing one whose request is served for a new one, and against
// ordinary callers that are kept out by idle connections or requests that don't end.
func TestTooManyConnections(t *testing.T) {
	const most = 8
	release := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		w.WriteHeader(http.StatusOK)
	})
	for _, sent := range []string{"", "GET / HTTP/1.1\r\nHo"} {
		bubble.Test(t, func(t *testing.T) {
			release = make(chan struct{})
			d := boundServer(t, routing.Limits{}, nil, most, handler)
			served := d.dial()
			var group errgroup.Group
			group.Go(func() error {
				response := exchange(t, served, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
				if response == nil || response.StatusCode != http.StatusOK {
					return fmt.Errorf("the request that was served got %+v", response)
				}
				return nil
			})
			for range 3 * most {
				conn := d.dial()
				_, _ = io.WriteString(conn, sent)
				time.Sleep(2 * time.Second)
			}
			response := exchange(t, d.dial(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			if response == nil || response.StatusCode != http.StatusOK {
				t.Errorf("after connections that sent %q, an ordinary request got %+v", sent, response)
			}
			close(release)
			if err := group.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}

// limitedTable returns a table with a long timeout and a limit of bodies.
func limitedTable(t *testing.T, maxBody int64) *routing.Table {
	t.Helper()
	table, err := routing.New(1, routing.Limits{MaxBodyBytes: maxBody}, []routing.Service{{Name: "plain"}}, []routing.Route{{
		Name: "plain", Host: "h", Prefix: "/plain/", Kind: routing.NonIdempotent, Timeout: time.Hour, Objective: time.Hour, MaxAttempts: 1,
		Shares: []routing.Share{{Service: "plain", Weight: 1}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// TestSlowBodies guards against bodies that hold memory although they have stopped, and against slow ones that are refused.
func TestSlowBodies(t *testing.T) {
	tests := []struct {
		name   string
		piece  int
		pause  time.Duration
		pieces int
		status int
	}{
		{"1 KiB each second", 1 << 10, time.Second, 60, 200},
		{"4 KiB each 9 s", 4 << 10, 9 * time.Second, 10, 200},
		{"one byte each second", 1, time.Second, 60, 408},
		{"stops", 100, time.Hour / 2, 2, 408},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				deployment := newDeployment("a", map[string][]outcome{"a": {{status: 200}}})
				server := newServer(t, deployment, limitedTable(t, 1<<20))
				d := boundServer(t, routing.Limits{}, nil, 0, server)
				conn := d.dial()
				var group errgroup.Group
				group.Go(func() error {
					const head = "POST /plain/ HTTP/1.1\r\nHost: h\r\nId: x1\r\nContent-Length: %d\r\n\r\n"
					_, err := fmt.Fprintf(conn, head, test.piece*test.pieces)
					for n := 0; n < test.pieces && err == nil; n++ {
						time.Sleep(test.pause)
						_, err = conn.Write(make([]byte, test.piece))
					}
					return err
				})
				if status := readStatus(t, conn); status != test.status {
					t.Errorf("status %d, want %d", status, test.status)
				}
				_ = conn.Close()
				// The server may have refused the body.
				_ = group.Wait()
				if ran := deployment.order() != ""; ran != (test.status == http.StatusOK) {
					t.Errorf("requests went to %q", deployment.order())
				}
			})
		})
	}
}

// TestUploadsWithoutMemory guards against uploads that together exceed the memory, against a refusal for lack of memory without its
// promise, and against memory that isn't returned. The load: uploads that stop just short of their end, then a sound one.
func TestUploadsWithoutMemory(t *testing.T) {
	const size = 1 << 20
	for _, head := range []string{
		fmt.Sprintf("Content-Length: %d\r\n\r\n", size), fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size),
	} {
		bubble.Test(t, func(t *testing.T) {
			budget := httplimit.NewBudget(4 * size)
			deployment := newDeployment("a", map[string][]outcome{"a": {{status: 200}}})
			server := newServer(t, deployment, limitedTable(t, size), func(c *ingress.Config) { c.Memory = budget })
			d := boundServer(t, routing.Limits{}, budget, 0, server)
			start := "POST /plain/ HTTP/1.1\r\nHost: h\r\nId: x1\r\n" + head
			var stalled []net.Conn
			refused := 0
			for range 8 {
				conn := d.dial()
				stalled = append(stalled, conn)
				_ = conn.SetDeadline(time.Now().Add(200 * time.Millisecond))
				if response := exchange(t, conn, start+strings.Repeat("b", size-1)); response != nil {
					refused++
					if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
						t.Errorf("status %d, headers %v", response.StatusCode, response.Header)
					}
				}
			}
			if s := budget.Stats(); refused == 0 || refused == 8 || s.Used > s.Limit {
				t.Errorf("%d of 8 uploads were refused, %d bytes of %d are used", refused, s.Used, s.Limit)
			}
			time.Sleep(2 * policy.StalledAfter)
			end := "b"
			if strings.Contains(head, "chunked") {
				end = "b\r\n0\r\n\r\n"
			}
			response := exchange(t, d.dial(), start+strings.Repeat("b", size-1)+end)
			if response == nil || response.StatusCode != http.StatusOK {
				t.Errorf("an upload after those that have stopped got %+v", response)
			}
			for _, conn := range stalled {
				_ = conn.Close()
			}
			time.Sleep(time.Minute)
			if s := budget.Stats(); s.Used != 0 || s.Claims != 0 {
				t.Errorf("%d bytes of %d claims are still used", s.Used, s.Claims)
			}
		})
	}
}

// TestUnreadResponses guards against responses that callers don't read and that keep out others, and against a caller that reads slowly and
// loses its response while there is room.
func TestUnreadResponses(t *testing.T) {
	const size = 1 << 20
	bubble.Test(t, func(t *testing.T) {
		budget := httplimit.NewBudget(4 * size)
		deployment := newDeployment("a", map[string][]outcome{"a": {{status: 200}}})
		server := newServer(t, deployment, limitedTable(t, size), func(c *ingress.Config) {
			c.Memory = budget
			c.Local = largeResponses{upstream{deployment}, size}
		})
		d := boundServer(t, routing.Limits{}, budget, 0, server)
		get := "GET /plain/ HTTP/1.1\r\nHost: h\r\nId: x1\r\n\r\n"
		unread := d.dial()
		if _, err := io.WriteString(unread, get); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if n, err := io.ReadFull(unread, make([]byte, size)); err != nil {
			t.Errorf("a caller that read its response after a minute got %d bytes, %v", n, err)
		}
		var others []net.Conn
		for range 6 {
			conn := d.dial()
			others = append(others, conn)
			_, _ = io.WriteString(conn, get)
			time.Sleep(2 * policy.StalledAfter)
		}
		lost := 0
		for _, conn := range others {
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			if _, err := io.ReadFull(conn, make([]byte, size)); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				lost++
			} else if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error(err)
			}
		}
		if lost == 0 || lost > 5 {
			t.Errorf("%d of 6 responses that nobody read have given way", lost)
		}
	})
}

// largeResponses is a gateway whose responses are held in the memory of their requests.
type largeResponses struct {
	upstream
	size int
}

func (l largeResponses) Do(ctx context.Context, r *gateway.Request) (*gateway.Response, error) {
	body, err := r.Memory.ReadAll(ctx, strings.NewReader(strings.Repeat("b", l.size)), int64(l.size), int64(l.size), true)
	if err != nil {
		return nil, &gateway.Failure{Code: code.UpstreamTimeout, Arrived: true, Reason: err.Error()}
	}
	return &gateway.Response{Status: http.StatusOK, Header: make(http.Header), Body: body}, nil
}
