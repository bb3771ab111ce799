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

	"sapphiretray/bubble"
	"sapphiretray/ingress"
	"sapphiretray/routing"
)

// pipeListener accepts the connections that are sent to it. It has no address.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// connectByPipe starts a server whose connections are tracked, until the test ends, and returns a caller's end of a connection.
func connectByPipe(t *testing.T, limits func() routing.Limits) (*ingress.Connections, net.Conn) {
	t.Helper()
	return connectTo(t, limits, http.NotFoundHandler(), nil)
}

// connectTo is like connectByPipe, with a handler and the policy for requests behind others.
func connectTo(
	t *testing.T, limits func() routing.Limits, handler http.Handler, policy ingress.AheadPolicy,
) (*ingress.Connections, net.Conn) {
	t.Helper()
	connections := ingress.NewConnections(limits, prometheus.NewRegistry())
	server := &http.Server{Handler: handler}
	connections.ServeAhead(policy, func() bool { return false })
	connections.Attach(server)
	listener := pipeListener{make(chan net.Conn), make(chan struct{})}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(connections.Listen(listener)) })
	near, far := net.Pipe()
	t.Cleanup(func() { _, _, _ = far.Close(), server.Close(), group.Wait() })
	listener.accepted <- near
	return connections, far
}

// isOpen reports whether a connection on which no data is expected is open.
func isOpen(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// TestConnections guards against callers that hold connections for ever, either idle or with request headers that never end. A
// connection must survive a pause of up to four fifths of the limit, even if the limit is lowered meanwhile.
func TestConnections(t *testing.T) {
	const limit = 5 * time.Second
	limits := routing.Limits{IdleTimeout: limit, HeaderTimeout: limit}
	low := routing.Limits{IdleTimeout: limit / 8, HeaderTimeout: limit / 8}
	const part = "GET / HTTP/1.1\r\nHost:"
	tests := []struct {
		name  string
		sent  string
		pause time.Duration
		// changed holds the limits that are in effect from the start of the pause.
		changed routing.Limits
		open    bool
	}{
		{"new, in time", "", limit * 4 / 5, limits, true},
		{"new, for too long", "", limit * 6 / 5, limits, false},
		{"idle, in time", get, limit * 4 / 5, limits, true},
		{"idle for too long", get, limit * 6 / 5, limits, false},
		{"headers, in time", part, limit * 4 / 5, limits, true},
		{"headers incomplete for too long", part, limit * 6 / 5, limits, false},
		{"limit lowered meanwhile", get, limit * 4 / 5, low, true},
		{"limit raised meanwhile", get, limit * 6 / 5, routing.Limits{IdleTimeout: 2 * limit}, true},
		{"limits removed meanwhile", get, 100 * limit, routing.Limits{}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				current := limits
				connections, far := connectByPipe(t, func() routing.Limits { return current })
				_, _ = io.WriteString(far, test.sent)
				if test.sent == get {
					_ = readStatus(t, far)
				}
				synctest.Wait()
				current = test.changed
				ctx, cancel := context.WithTimeout(t.Context(), test.pause)
				defer cancel()
				connections.Run(ctx)
				if open := isOpen(far); open != test.open {
					t.Errorf("open %v, want %v", open, test.open)
				}
			})
		})
	}
}

// TestLimitsChangedTwice guards against closing a connection that its caller may still use under a limit that was in effect for a while
// after the connection became idle.
func TestLimitsChangedTwice(t *testing.T) {
	tests := []struct {
		pause time.Duration
		open  bool
	}{
		{8 * time.Second, true},
		{11 * time.Second, false},
	}
	for _, test := range tests {
		bubble.Test(t, func(t *testing.T) {
			changes := []time.Duration{5 * time.Second, 10 * time.Second, time.Second}
			begun := time.Now()
			connections, far := connectByPipe(t, func() routing.Limits {
				change := min(int(time.Since(begun)/time.Second), len(changes)-1)
				return routing.Limits{IdleTimeout: changes[change]}
			})
			synctest.Wait()
			ctx, cancel := context.WithTimeout(t.Context(), test.pause)
			defer cancel()
			connections.Run(ctx)
			if open := isOpen(far); open != test.open {
				t.Errorf("open %v after %v, want %v", open, test.pause, test.open)
			}
		})
	}
}

// TestHeaderTimeout guards against incomplete request headers that hold a connection for as long as an idle one may last, and against
// closing a connection as idle while the headers of a request arrive.
func TestHeaderTimeout(t *testing.T) {
	const short, long = 2 * time.Second, 20 * time.Second
	tests := []struct {
		name   string
		kept   bool
		limits routing.Limits
		// pause is the time between two bytes of the headers.
		pause        time.Duration
		open, closed time.Duration
	}{
		{"silent on a new connection", false, routing.Limits{HeaderTimeout: short, IdleTimeout: long}, long, short, short + time.Second},
		{"silent on a kept connection", true, routing.Limits{HeaderTimeout: short, IdleTimeout: long}, long, short, short + time.Second},
		{"slow", true, routing.Limits{HeaderTimeout: short, IdleTimeout: long}, short / 8, short, short + time.Second},
		{"longer than an idle connection may last", true, routing.Limits{HeaderTimeout: long, IdleTimeout: short}, short / 8, short * 2, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				connections, far := connectByPipe(t, func() routing.Limits { return test.limits })
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				group.Go(func() error {
					connections.Run(ctx)
					return nil
				})
				defer func() { _ = group.Wait() }()
				defer cancel()
				if test.kept {
					_, _ = io.WriteString(far, get)
					_ = readStatus(t, far)
				}
				// The headers never end.
				begun, sent := time.Now(), 0
				for last := max(test.open, test.closed); time.Since(begun) < last; {
					if time.Since(begun) < test.open && !isOpen(far) {
						t.Fatalf("closed after %v", time.Since(begun))
					}
					if time.Since(begun) >= time.Duration(sent)*test.pause {
						_ = far.SetWriteDeadline(time.Now().Add(time.Millisecond))
						_, _ = far.Write([]byte("G"))
						sent++
					}
					time.Sleep(10 * time.Millisecond)
				}
				if test.closed > 0 && isOpen(far) {
					t.Errorf("open after %v", time.Since(begun))
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
