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
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"sapphiretray/ingress"
	"sapphiretray/routing"
)

// TestConnections guards against callers that hold connections for ever, either idle or with request headers that never end. A
// connection must survive a pause of up to four fifths of the limit, even if the limit is lowered meanwhile.
func TestConnections(t *testing.T) {
	const limit = 5 * time.Second
	limits := routing.Limits{IdleTimeout: limit, HeaderTimeout: limit}
	low := routing.Limits{IdleTimeout: limit / 8, HeaderTimeout: limit / 8}
	tests := []struct {
		name  string
		state http.ConnState
		pause time.Duration
		// changed holds the limits that are in effect from the start of the pause.
		changed routing.Limits
		open    bool
	}{
		{"new, in time", http.StateNew, limit * 4 / 5, limits, true},
		{"new, for too long", http.StateNew, limit * 6 / 5, limits, false},
		{"idle, in time", http.StateIdle, limit * 4 / 5, limits, true},
		{"idle for too long", http.StateIdle, limit * 6 / 5, limits, false},
		{"headers, in time", http.StateActive, limit * 4 / 5, limits, true},
		{"headers incomplete for too long", http.StateActive, limit * 6 / 5, limits, false},
		{"limit lowered meanwhile", http.StateIdle, limit * 4 / 5, low, true},
		{"limit raised meanwhile", http.StateIdle, limit * 6 / 5, routing.Limits{IdleTimeout: 2 * limit}, true},
		{"limits removed meanwhile", http.StateIdle, 100 * limit, routing.Limits{}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				current := limits
				connections := ingress.NewConnections(func() routing.Limits { return current }, prometheus.NewRegistry())
				server := &http.Server{Handler: http.NotFoundHandler()}
				connections.Attach(server)
				near, far := net.Pipe()
				defer func() { _, _ = near.Close(), far.Close() }()
				server.ConnState(near, test.state)
				current = test.changed
				ctx, cancel := context.WithTimeout(t.Context(), test.pause)
				defer cancel()
				connections.Run(ctx)
				// A write to a closed pipe fails at once; one to an open pipe waits for a reader.
				_ = near.SetWriteDeadline(time.Now().Add(time.Millisecond))
				_, err := near.Write([]byte("x"))
				if open := errors.Is(err, os.ErrDeadlineExceeded); open != test.open {
					t.Errorf("open %v, want %v (%v)", open, test.open, err)
				}
			})
		})
	}
}

// TestConnectionsOfServer guards against connections that a real server doesn't report, and against closing a connection while its
// request is served for longer than the limits.
func TestConnectionsOfServer(t *testing.T) {
	const limit = 100 * time.Millisecond
	tests := []struct {
		name  string
		first string
	}{
		{"idle from the start", ""},
		{"incomplete headers", "GET / HTTP/1.1\r\nHost:"},
		{"idle after a request", get},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			address := serveLimited(t, routing.Limits{IdleTimeout: limit, HeaderTimeout: limit}, 4*limit)
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			responses := bufio.NewReader(conn)
			_, _ = io.WriteString(conn, test.first)
			if test.first == get {
				response, err := http.ReadResponse(responses, nil)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			// The test's own limit ends it if the server doesn't close the connection.
			if _, err := responses.ReadByte(); err == nil {
				t.Error("the connection is open and has more data")
			}
		})
	}
}

const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// serveLimited serves requests with the given service time, under limits on the connections, until the test ends. It returns the
// server's address.
func serveLimited(t *testing.T, limits routing.Limits, serviceTime time.Duration) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connections := ingress.NewConnections(func() routing.Limits { return limits }, prometheus.NewRegistry())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(serviceTime)
		_, _ = fmt.Fprint(w, "ok")
	})}
	connections.Attach(server)
	var group errgroup.Group
	group.Go(func() error { return server.Serve(connections.Listen(listener)) })
	group.Go(func() error {
		connections.Run(t.Context())
		return nil
	})
	t.Cleanup(func() {
		_ = server.Close()
		_ = group.Wait()
	})
	return listener.Addr().String()
}
