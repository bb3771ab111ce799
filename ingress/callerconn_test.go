package ingress_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"sapphiretray/ingress"
	"sapphiretray/routing"
)

// noLimits are limits under which no connection is closed.
func noLimits() routing.Limits { return routing.Limits{} }

// startTracked starts a server whose connections are tracked, until the test ends.
func startTracked(t *testing.T, connections *ingress.Connections, handler http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Listener = connections.Listen(server.Listener)
	connections.Attach(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// dial connects to a server until the test ends.
func dial(t *testing.T, server *httptest.Server) *net.TCPConn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn.(*net.TCPConn)
}

// readStatus reads one response and returns its status, or 0 if there is none.
func readStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Logf("no response: %v", err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Logf("incomplete response: %v", err)
		return 0
	}
	return response.StatusCode
}

// unanswered returns the number of unanswered requests by reason.
func unanswered(t *testing.T, registry *prometheus.Registry) map[string]int {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	counts := make(map[string]int)
	for _, family := range families {
		if family.GetName() != "sapphiretray_callers_unanswered_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			counts[metric.GetLabel()[0].GetValue()] = int(metric.GetCounter().GetValue())
		}
	}
	return counts
}

// TestUnansweredRequests guards against lost requests that leave no trace, and against counting a request as lost that was answered, that
// was never complete or whose caller left.
func TestUnansweredRequests(t *testing.T) {
	wait := func(ctx context.Context) { <-ctx.Done() }
	tests := []struct {
		name string
		sent string
		// serve serves the request, if the caller has sent a whole one.
		serve func(context.Context)
		// after is done by the caller or to the server once the request is being served.
		after func(*net.TCPConn, *httptest.Server)
		want  string
	}{
		{"answered", get, func(context.Context) {}, nil, ""},
		{"answered, then closed", "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", func(context.Context) {}, nil, ""},
		{"malformed", "GET / HTTP/1.1\r\n\r\n", nil, nil, ""},
		{"incomplete", "GET / HTTP/1.1\r\nHost:", nil, func(conn *net.TCPConn, _ *httptest.Server) { _ = conn.Close() }, ""},
		{"aborted", get, func(context.Context) { panic(http.ErrAbortHandler) }, nil, "aborted"},
		{"closed by the server", get, wait, func(_ *net.TCPConn, s *httptest.Server) { _ = s.Config.Close() }, "closed"},
		{"reset by the caller", get, wait, func(conn *net.TCPConn, _ *httptest.Server) {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}, "caller_left"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			registry := prometheus.NewRegistry()
			begun := make(chan struct{}, 1)
			server := startTracked(t, ingress.NewConnections(noLimits, registry),
				http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					begun <- struct{}{}
					test.serve(r.Context())
					_, _ = io.WriteString(w, "ok")
				}))
			conn := dial(t, server)
			_, _ = io.WriteString(conn, test.sent)
			if test.serve != nil {
				<-begun
			}
			if test.after != nil {
				test.after(conn, server)
			} else {
				_ = readStatus(t, conn)
			}
			server.Close()
			got := unanswered(t, registry)
			if test.want == "" && len(got) > 0 || test.want != "" && (len(got) != 1 || got[test.want] != 1) {
				t.Errorf("unanswered requests: %v, want %q", got, test.want)
			}
		})
	}
}

// TestAbortedResponse guards against a part of a response that looks complete to the caller after its handler was aborted.
func TestAbortedResponse(t *testing.T) {
	tests := []struct{ name, protocol, length string }{
		{"HTTP/1.0", "HTTP/1.0", ""},
		{"HTTP/1.0, kept alive", "HTTP/1.0\r\nConnection: keep-alive", ""},
		{"HTTP/1.0 with a length", "HTTP/1.0", "10"},
		{"HTTP/1.1", "HTTP/1.1", ""},
		{"HTTP/1.1 with a length", "HTTP/1.1", "10"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			registry := prometheus.NewRegistry()
			server := startTracked(t, ingress.NewConnections(noLimits, registry),
				http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if test.length != "" {
						w.Header().Set("Content-Length", test.length)
					}
					_, _ = io.WriteString(w, "part")
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}))
			conn := dial(t, server)
			_, _ = io.WriteString(conn, "GET / "+test.protocol+"\r\nHost: a\r\n\r\n")
			if status := readStatus(t, conn); status != 0 {
				t.Errorf("a complete response with status %d", status)
			}
			server.Close()
			if got := unanswered(t, registry); len(got) != 1 || got["aborted"] != 1 {
				t.Errorf("unanswered requests: %v", got)
			}
		})
	}
}

// slowListener accepts connections that are read as by a process that is short of processor time: it waits before or after each read
// that finds data.
type slowListener struct {
	net.Listener
	before, after time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{conn.(*net.TCPConn), l.before, l.after}, nil
}

type slowConn struct {
	*net.TCPConn
	before, after time.Duration
}

func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(c.before)
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		time.Sleep(c.after)
	}
	return n, err
}

// TestCloseOfIdleConnection guards against lost requests on connections that are closed as idle although a request has arrived that the
// process hasn't read or recognized yet. A request must not be served on a connection that has been closed.
func TestCloseOfIdleConnection(t *testing.T) {
	const limit, delay = 100 * time.Millisecond, 600 * time.Millisecond
	tests := []struct {
		name          string
		kept          bool
		before, after time.Duration
	}{
		{"arrived on a new connection", false, delay, 0},
		{"arrived on a kept connection", true, delay, 0},
		{"read on a new connection", false, 0, delay},
		{"read on a kept connection", true, 0, delay},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var limited atomic.Bool
			limits := func() routing.Limits {
				if limited.Load() {
					return routing.Limits{IdleTimeout: limit}
				}
				return routing.Limits{}
			}
			connections := ingress.NewConnections(limits, prometheus.NewRegistry())
			var served atomic.Int32
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
			server.Listener = connections.Listen(slowListener{server.Listener, test.before, test.after})
			connections.Attach(server.Config)
			server.Start()
			defer server.Close()
			ctx, cancel := context.WithCancel(t.Context())
			var group errgroup.Group
			group.Go(func() error {
				connections.Run(ctx)
				return nil
			})
			defer func() { _ = group.Wait() }()
			defer cancel()
			conn := dial(t, server)
			if test.kept {
				_, _ = io.WriteString(conn, get)
				if status := readStatus(t, conn); status != http.StatusOK {
					t.Fatalf("the first request got status %d", status)
				}
			}
			limited.Store(true)
			before := served.Load()
			_, _ = io.WriteString(conn, get)
			if status := readStatus(t, conn); status != http.StatusOK {
				server.Close()
				t.Fatalf("status %d; %d requests reached the handler", status, served.Load()-before)
			}
			// The connection is closed once it is idle.
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("the connection ended with %v", err)
			}
		})
	}
}

// TestDrain guards against requests that are lost when the process stops: those that have arrived or been read when idle connections are
// closed, those whose headers are incomplete at that time, those that are being served, and the first ones of new connections.
func TestDrain(t *testing.T) {
	const delay = 300 * time.Millisecond
	part, rest := get[:len(get)/2], get[len(get)/2:]
	tests := []struct {
		name          string
		kept          bool
		before, after time.Duration
		service       time.Duration
		// sent and rest are sent to the connection before and during the drain.
		sent, rest string
		status     int
	}{
		{"arrived on a new connection", false, delay, 0, 0, get, "", http.StatusOK},
		{"arrived on a kept connection", true, delay, 0, 0, get, "", http.StatusOK},
		{"read on a new connection", false, 0, delay, 0, get, "", http.StatusOK},
		{"read on a kept connection", true, 0, delay, 0, get, "", http.StatusOK},
		{"incomplete on a new connection", false, 0, 0, 0, part, rest, http.StatusOK},
		{"incomplete on a kept connection", true, 0, 0, 0, part, rest, http.StatusOK},
		{"being served", true, 0, 0, delay, get, "", http.StatusOK},
		{"on its way to a new connection", false, 0, 0, 0, "", get, http.StatusOK},
		{"idle", true, 0, 0, 0, "", "", 0},
		{"without a request", false, 0, 0, 0, "", "", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			connections := ingress.NewConnections(noLimits, prometheus.NewRegistry())
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(test.service) }))
			server.Listener = connections.Listen(slowListener{server.Listener, test.before, test.after})
			connections.Attach(server.Config)
			server.Start()
			defer server.Close()
			conn := dial(t, server)
			if test.kept {
				_, _ = io.WriteString(conn, get)
				if status := readStatus(t, conn); status != http.StatusOK {
					t.Fatalf("the first request got status %d", status)
				}
			}
			_, _ = io.WriteString(conn, test.sent)
			// The connection is accepted and, unless reading is delayed, read.
			time.Sleep(delay / 3)
			_ = server.Listener.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
			defer cancel()
			var group errgroup.Group
			group.Go(func() error {
				if left := connections.Drain(ctx); left > 0 {
					t.Errorf("%d connections are left", left)
				}
				return nil
			})
			defer func() { _ = group.Wait() }()
			time.Sleep(delay / 3)
			_, _ = io.WriteString(conn, test.rest)
			if test.status > 0 {
				if status := readStatus(t, conn); status != test.status {
					t.Fatalf("status %d, want %d", status, test.status)
				}
			}
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("the connection ended with %v", err)
			}
		})
	}
}

// TestPipelinedRequests guards against closing a connection as idle while a request is served that was read together with the previous
// one, so that no read of the connection precedes it.
func TestPipelinedRequests(t *testing.T) {
	const delay = 300 * time.Millisecond
	registry := prometheus.NewRegistry()
	connections := ingress.NewConnections(noLimits, registry)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Listener = connections.Listen(server.Listener)
	connections.Attach(server.Config)
	// The second request is read, but its handler begins late.
	var requests atomic.Int32
	handler := server.Config.Handler
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 2 {
			time.Sleep(delay)
		}
		handler.ServeHTTP(w, r)
	})
	server.Start()
	defer server.Close()
	conn := dial(t, server)
	responses := bufio.NewReader(conn)
	_, _ = io.WriteString(conn, get+get)
	for n := range 2 {
		response, err := http.ReadResponse(responses, nil)
		if err != nil {
			t.Fatalf("response %d: %v", n+1, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if n > 0 {
			break
		}
		_ = server.Listener.Close()
		var group errgroup.Group
		group.Go(func() error {
			if left := connections.Drain(t.Context()); left > 0 {
				t.Errorf("%d connections are left", left)
			}
			return nil
		})
		defer func() { _ = group.Wait() }()
	}
	if counts := unanswered(t, registry); len(counts) > 0 {
		t.Errorf("unanswered requests: %v", counts)
	}
}

// TestRequestBehindLastResponse guards against a response that is cut off because the caller has sent its next request before it learned
// that the connection is closed after this response.
func TestRequestBehindLastResponse(t *testing.T) {
	const size = 16 << 20
	connections := ingress.NewConnections(noLimits, prometheus.NewRegistry())
	server := startTracked(t, connections, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = w.Write(make([]byte, size))
	}))
	conn := dial(t, server)
	_, _ = io.WriteString(conn, get)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	// More than the server's buffer holds.
	for range 8 << 10 / len(get) {
		_, _ = io.WriteString(conn, get)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		if left := connections.Drain(ctx); left > 0 {
			t.Errorf("%d connections are left", left)
		}
		return nil
	})
	// The caller reads slowly, so that a part of the response is still in the server's buffers when the server has written all of it.
	n := int64(0)
	for err == nil {
		var read int64
		read, err = io.CopyN(io.Discard, response.Body, size/64)
		n += read
		time.Sleep(5 * time.Millisecond)
	}
	if !errors.Is(err, io.EOF) || n != size {
		t.Errorf("%d of %d bytes: %v", n, size, err)
	}
	_ = group.Wait()
}
