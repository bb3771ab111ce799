package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/ingress"
	"sapphiretray/routing"
)

// TestConnections guards against callers that hold connections for ever: idle ones, and ones whose headers never end. A connection
// must survive a pause of up to four fifths of the limit, also while the limit is lowered.
func TestConnections(t *testing.T) {
	const limit = 600 * time.Millisecond
	tests := []struct {
		name string
		// first is sent at once, second after the pause.
		first, second string
		pause         time.Duration
		// lowered limits are in force from the start of the pause if they aren't zero.
		lowered routing.Limits
		open    bool
	}{
		{"in time", get, get, limit * 4 / 5, routing.Limits{}, true},
		{"idle for too long", get, get, 2 * limit, routing.Limits{}, false},
		{"idle from the start", "", get, 2 * limit, routing.Limits{}, false},
		{"incomplete headers", "GET / HTTP/1.1\r\nHost:", " a\r\n\r\n", 2 * limit, routing.Limits{}, false},
		{"slow headers", "GET / HTTP/1.1\r\nHost:", " a\r\n\r\n", limit / 2, routing.Limits{}, true},
		{
			"limit lowered meanwhile", get, get, limit * 4 / 5,
			routing.Limits{IdleTimeout: limit / 8, HeaderTimeout: limit / 8},
			true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var limits atomic.Pointer[routing.Limits]
			limits.Store(&routing.Limits{IdleTimeout: limit, HeaderTimeout: limit})
			address := serveLimited(t, func() routing.Limits { return *limits.Load() })
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			answers := bufio.NewReader(conn)
			_, _ = io.WriteString(conn, test.first)
			if test.first == get {
				readAnswer(t, answers, true)
			}
			if test.lowered != (routing.Limits{}) {
				limits.Store(&test.lowered)
			}
			time.Sleep(test.pause)
			_, _ = io.WriteString(conn, test.second)
			readAnswer(t, answers, test.open)
		})
	}
}

const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// serveLimited serves requests with limits on the connections until the test ends.
func serveLimited(t *testing.T, limits func() routing.Limits) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connections := ingress.NewConnections(limits)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "ok") })}
	connections.Attach(server)
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
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

func readAnswer(t *testing.T, answers *bufio.Reader, want bool) {
	t.Helper()
	response, err := http.ReadResponse(answers, nil)
	if (err == nil) != want {
		t.Fatalf("answer with error %v, want one: %v", err, want)
	}
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}
