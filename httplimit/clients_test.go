package httplimit_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/bubble"
	"sapphiretray/code"
	"sapphiretray/fake"
	"sapphiretray/httplimit"
	"sapphiretray/object"
	"sapphiretray/peer"
	"sapphiretray/table"
)

// clients are those of the platform's services that use this package. get reads a key.
var clients = []struct {
	name string
	get  func(ctx context.Context, url string, transport *http.Transport) error
}{
	{"object", func(ctx context.Context, url string, transport *http.Transport) error {
		_, err := object.New(url, object.WithTransport(transport)).Get(ctx, "k")
		return err
	}},
	{"table", func(ctx context.Context, url string, transport *http.Transport) error {
		_, err := table.New(url, table.WithTimeout(30*time.Second), table.WithTransport(transport)).Get(ctx, "k")
		return err
	}},
}

// TestEndlessResponses guards against a faulty service whose responses are read until the timeout of the call.
func TestEndlessResponses(t *testing.T) {
	const (
		// endlessLimit bounds the bytes that the faulty service sends on a connection, so that a test without a limit ends.
		endlessLimit = 80 << 20
		// maxHead and maxBody bound the bytes that are received of a head and of a body, with what the transport buffers.
		maxHead = 512 << 10
		maxBody = 65 << 20
	)
	tests := []struct {
		name, prefix, unit string
		limit              uint64
	}{
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n", maxHead},
		{"one header line", "HTTP/1.1 200 OK\r\nA: ", "bbbbbbbb", maxHead},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", maxHead},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("[", 1<<10), maxBody},
		{"body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 10000000000\r\n\r\n", "[", maxHead},
		{"error", "HTTP/1.1 500 Error\r\n\r\n", strings.Repeat("e", 1<<10), maxBody},
	}
	for _, client := range clients {
		for _, test := range tests {
			t.Run(client.name+"/"+test.name, func(t *testing.T) {
				t.Parallel()
				server, err := fake.EndlessHTTP1(t.Context(), test.prefix, test.unit, endlessLimit)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(server.Close)
				transport := httplimit.NewTransport()
				var traffic peer.Traffic
				traffic.Count(transport)
				err = client.get(t.Context(), "http://"+server.Address(), transport)
				if got, _ := code.Of(err); got != code.PlatformDown {
					t.Errorf("error %v, want %v", err, code.PlatformDown)
				}
				if n := traffic.Received(); n > test.limit {
					t.Errorf("received %d bytes, limit %d", n, test.limit)
				}
			})
		}
	}
}

// TestLongHead guards against a client without a bound for heads.
func TestLongHead(t *testing.T) {
	for size, accepted := range map[int]bool{100 << 10: true, 1 << 20: false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("A", strings.Repeat("a", size))
			_, _ = w.Write([]byte("{}"))
		}))
		_, objectErr := object.New(server.URL).Get(t.Context(), "k")
		_, tableErr := table.New(server.URL).Get(t.Context(), "k")
		if (objectErr == nil) != accepted || (tableErr == nil) != accepted {
			t.Errorf("head of %d bytes: object %v, table %v", size, objectErr, tableErr)
		}
		server.Close()
	}
}

// TestSilentIdleConnections guards against calls that fail one after another because each uses another idle connection that delivers
// nothing further.
func TestSilentIdleConnections(t *testing.T) {
	for _, client := range clients {
		t.Run(client.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				var n fake.Network
				listener, err := n.Listen("127.0.0.1:80")
				if err != nil {
					t.Fatal(err)
				}
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(20 * time.Millisecond)
					_, _ = io.WriteString(w, "{}")
				})}
				var group errgroup.Group
				group.Go(func() error { return server.Serve(listener) })
				transport := httplimit.NewTransport()
				transport.DialContext = n.DialContext
				get := func() error { return client.get(t.Context(), "http://127.0.0.1:80", transport) }
				var first errgroup.Group
				for range http.DefaultMaxIdleConnsPerHost {
					first.Go(get)
				}
				if err := first.Wait(); err != nil {
					t.Fatal(err)
				}
				for _, c := range n.Conns() {
					c.Hold(time.Hour)
				}
				failed := 0
				for get() != nil {
					failed++
				}
				if failed > 1 {
					t.Errorf("%d calls failed, want at most 1", failed)
				}
				transport.CloseIdleConnections()
				_, _ = server.Close(), group.Wait()
			})
		})
	}
}
