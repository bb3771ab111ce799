package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

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
