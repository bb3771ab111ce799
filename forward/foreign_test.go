package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/forward"
	"sapphiretray/gateway"
)

// startRaw returns the address of an instance whose upstream calls respond for each request, which writes the bytes of the response.
func startRaw(t *testing.T, respond func(conn net.Conn, r *http.Request)) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			respond(conn, r)
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
	}
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // The listener is closed when the test ends.
			}
			group.Go(func() error {
				serve(conn)
				return nil
			})
		}
	})
	address := listener.Addr().String()
	g := gateway.New(&group, "books", address, echo{})
	if err := g.Register(gateway.Registration{
		UpstreamRun: gateway.UpstreamRun{ID: "u1", Started: 1}, Service: "books", Address: address, Sequence: 1, Slots: 4,
	}); err != nil {
		t.Fatal(err)
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: protocols, Handler: forward.Handler(g, &versionCounter{}, func() bool { return false })}
	at := listenAndServe(t, &group, server)
	ctx, cancel := context.WithCancel(context.Background())
	group.Go(func() error {
		g.Run(ctx)
		return nil
	})
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		_ = listener.Close()
		_ = group.Wait()
	})
	return at
}

// TestForeignRequestsAndResponses guards against a request that fails because of what HTTP/1 and HTTP/2 have not in common, and against one
// that ends the other requests on its connection.
func TestForeignRequestsAndResponses(t *testing.T) {
	const (
		head = "HTTP/1.1 200 OK\r\nId: odd\r\n"
		end  = "Content-Length: 5\r\n\r\nhello"
		hop  = "Connection: keep-alive, Note\r\nNote: 1\r\nKeep-Alive: timeout=5\r\nProxy-Connection: close\r\nUpgrade: h2c\r\n" +
			"Te: gzip\r\nTrailer: Note\r\nHttp2-Settings: a\r\n"
	)
	noBody := func(status string) string { return strings.Replace(head, "200 OK", status, 1) }
	target := func(target string) func(*gateway.Request) { return func(r *gateway.Request) { r.Target = target } }
	method := func(method string) func(*gateway.Request) { return func(r *gateway.Request) { r.Method = method } }
	header := func(name string, values ...string) func(*gateway.Request) {
		return func(r *gateway.Request) { r.Header[name] = values }
	}
	long, large := strings.Repeat("x", 200<<10), strings.Repeat("x", 4<<20)
	tests := []struct {
		name string
		// change changes the request, if it isn't nil.
		change   func(r *gateway.Request)
		response string
		status   int
		body     string
	}{
		{"long header", nil, head + "Note: " + long + "\r\n" + end, 200, "hello"},
		{"many headers", nil, head + strings.Repeat("N: v\r\n", 1_400) + end, 200, "hello"},
		{"header that isn't ASCII", nil, head + "Note: \xff\xfe\t\x80\r\n" + end, 200, "hello"},
		{"hop-by-hop headers", nil, head + hop + end, 200, "hello"},
		{"names of headers", nil, head + "UPPER: 1\r\nlower: 2\r\nX!#$%&'*+-.^_`|~9: 3\r\n" + end, 200, "hello"},
		{"headers between instances", nil, head + "S-Res: 1\r\nS-Call: x\r\nS-Probe: 1\r\n" + end, 200, "hello"},
		{"status 204", nil, noBody("204 No Content") + "\r\n", 204, ""},
		{"status 204 with a length", nil, noBody("204 No Content") + "Content-Length: 0\r\n\r\n", 204, ""},
		{"status 304 with a length", nil, noBody("304 Not Modified") + "Content-Length: 5\r\n\r\n", 304, ""},
		{"unknown status of a known class", nil, noBody("599 Odd") + end, 599, "hello"},
		{"trailer", nil, head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nNote: a\r\n\r\n", 200, "hello"},
		{"content encoding", nil, head + "Content-Encoding: gzip\r\n" + end, 200, "hello"},
		{"HTTP/1.0", nil, strings.Replace(head, "1.1", "1.0", 1) + end, 200, "hello"},
		{"interim response", nil, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + end, 200, "hello"},
		{"response to HEAD", method(http.MethodHead), head + "Content-Length: 5\r\n\r\n", 200, ""},
		{"large body", nil, head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(large)) + large, 200, large},
		{"response before a long body", func(r *gateway.Request) { r.Body = make([]byte, 8<<20) }, head + end, 200, "hello"},
		{"long header of the request", header("Note", strings.Repeat(long, 4)), head + end, 200, "hello"},
		{"header of the request that isn't ASCII", header("Note", "\xff\t\x80"), head + end, 200, "hello"},
		{"cookies", header("Cookie", "a=b; c=d", "e=f"), head + end, 200, "hello"},
		{"expects 100", header("Expect", "100-continue"), head + end, 200, "hello"},
		{"target that isn't ASCII", target("/\xc3\xa9?\xff|{}\"<>\\^`#a"), head + end, 200, "hello"},
		{"target with two slashes", target("//a//b?c=//d"), head + end, 200, "hello"},
		{"route with a comma", func(r *gateway.Request) { r.Route = "a,b%2C" }, head + end, 200, "hello"},
		{"route that can't be in a header", func(r *gateway.Request) { r.Route = "a\r\nb" }, head + end, 200, "hello"},
		{"host with a comma", func(r *gateway.Request) { r.Host = "a,b" }, head + end, 200, "hello"},
		{"unknown method", method("M-SEARCH"), head + end, 200, "hello"},
		{"lower-case method", method("get"), head + end, 200, "hello"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			begun, release := make(chan struct{}, 1), make(chan struct{})
			address := startRaw(t, func(conn net.Conn, r *http.Request) {
				if r.Header.Get("Id") == "slow" {
					begun <- struct{}{}
					<-release
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: slow\r\nContent-Length: 4\r\n\r\nslow")
					return
				}
				if got := r.Method + " " + r.RequestURI + " " + r.Host; got != r.Header.Get("Want") {
					t.Errorf("the request arrived as %q, want %q", got, r.Header.Get("Want"))
				}
				_, _ = io.WriteString(conn, test.response)
			})
			client := forward.NewClient(newGroup(t), newPatientTransport(), &versionCounter{})
			slow := newRequest("")
			slow.ID, slow.Deadline = "slow", time.Now().Add(20*time.Second)
			done := make(chan error, 1)
			var group sync.WaitGroup
			defer group.Wait()
			group.Go(func() {
				_, err := client.Do(t.Context(), address, slow)
				done <- err
			})
			<-begun
			odd := newRequest("body")
			odd.ID, odd.Deadline = "odd", time.Now().Add(10*time.Second)
			if test.change != nil {
				test.change(odd)
			}
			if odd.Method == http.MethodHead {
				odd.Body = nil
			}
			odd.Header.Set("Want", odd.Method+" "+odd.Target+" "+odd.Host)
			result, err := client.Do(t.Context(), address, odd)
			if err != nil {
				t.Error(err)
			} else if got := result.Response; got.Status != test.status || string(got.Body) != test.body {
				t.Errorf("status %d, %d bytes of body, want %d and %d", got.Status, len(got.Body), test.status, len(test.body))
			}
			close(release)
			if err := <-done; err != nil {
				t.Errorf("the request beside it: %v", err)
			}
		})
	}
}
