package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sapphiretray/code"
	"sapphiretray/ingress"
	"sapphiretray/routing"
	"sapphiretray/upstream"
)

// rawUpstream starts an upstream whose respond function writes the bytes of each response and returns false to close the connection.
// number counts the requests. It returns a client and the number of requests.
func rawUpstream(
	t *testing.T, listener net.Listener, respond func(conn *net.TCPConn, id string, number int64) bool,
) (c *upstream.Client, requests *atomic.Int64) {
	t.Helper()
	requests = &atomic.Int64{}
	serve := func(conn *net.TCPConn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if !respond(conn, r.Header.Get(HeaderRequestID), requests.Add(1)) {
				return
			}
		}
	}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { serve(conn.(*net.TCPConn)) })
		}
	})
	c = upstream.New(listener.Addr().String())
	t.Cleanup(func() {
		c.Close()
		_ = listener.Close()
		group.Wait()
	})
	return c, requests
}

// cutUpstream starts an upstream that ends the connection of its first request after the given bytes, by a reset or a close, and sends
// a complete response with the body "whole" to every other one.
func cutUpstream(t *testing.T, sent string, reset bool) (c *upstream.Client, requests *atomic.Int64) {
	t.Helper()
	return rawUpstream(t, listen(t), func(conn *net.TCPConn, id string, number int64) bool {
		if number > 1 {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 5\r\n\r\nwhole", HeaderRequestID, id)
			return true
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(sent, "ID", id))
		if reset {
			// A reset discards what hasn't been read yet.
			time.Sleep(10 * time.Millisecond)
			_ = conn.SetLinger(0)
		}
		return false
	})
}

// serveTracked serves callers like package instance, which tracks their connections, until the test ends. It changes the instance's URL.
func (i *testInstance) serveTracked(t *testing.T) {
	t.Helper()
	connections := ingress.NewConnections(func() routing.Limits { return routing.Limits{} }, prometheus.NewRegistry())
	listener := listen(t)
	server := NewHTTPServer(i.server.Handler())
	connections.Attach(server)
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(connections.Listen(listener)) })
	t.Cleanup(func() {
		_ = server.Close()
		group.Wait()
	})
	i.url = "http://" + listener.Addr().String()
}

// exchange sends a request with a body as a caller that uses a protocol. The error is set if no complete response arrives.
func (i *testInstance) exchange(t *testing.T, protocol, path string) (response *http.Response, body string, err error) {
	t.Helper()
	if protocol == "HTTP/2.0" {
		transport := &http.Transport{Protocols: &http.Protocols{}}
		transport.Protocols.SetUnencryptedHTTP2(true)
		defer transport.CloseIdleConnections()
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, i.url+path, strings.NewReader("b"))
		if err != nil {
			t.Fatal(err)
		}
		response, err = transport.RoundTrip(r)
		if err != nil {
			return nil, "", err
		}
		defer func() { _ = response.Body.Close() }()
		content, err := io.ReadAll(response.Body)
		return response, string(content), err
	}
	conn := i.dialHTTP1(t)
	_, _ = io.WriteString(conn, "POST "+path+" "+protocol+"\r\nHost: h\r\nContent-Length: 1\r\n\r\nb")
	response, err = http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response, string(content), err
}

// TestCutResponses guards against callers that get a response that looks complete, or one that says that the request did not run, after
// the connection of the upstream has ended in the middle of its response.
func TestCutResponses(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": ID\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
		interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	)
	large := strings.Repeat("a", 1<<16)
	tests := []struct {
		name, sent string
		// streamed is set if the caller may have got a part of the response.
		streamed bool
	}{
		{"after the status line", "HTTP/1.1 200 OK\r\n", false},
		{"in a header line", head + "Content-Le", false},
		{"after a header line", head, false},
		{"in the number of Content-Length", head + "Content-Length: 1", false},
		{"after Content-Length", head + "Content-Length: 5\r\n", false},
		{"after an interim response", interim, false},
		{"in the headers after an interim response", interim + head, false},
		{"after switching protocols", strings.Replace(head, "200", "101", 1) + "\r\n", false},
		{
			"after switching protocols with an upgrade",
			strings.Replace(head, "200", "101", 1) + "Connection: Upgrade\r\nUpgrade: a\r\n\r\n", false,
		},
		{"no length", head + "\r\nhell", false},
		{"before the body", head + "Content-Length: 5\r\n\r\n", true},
		{"in the body", head + "Content-Length: 5\r\n\r\nhell", true},
		{"in a large body", head + "Content-Length: 65537\r\n\r\n" + large, true},
		{"before the first chunk", chunked, true},
		{"in a chunk size", chunked + "1", true},
		{"in a chunk", chunked + "5\r\nhell", true},
		{"after a chunk", chunked + "5\r\nhello\r\n", true},
		{"after a large chunk", chunked + "10000\r\n" + large + "\r\n", true},
		{"after the last chunk", chunked + "5\r\nhello\r\n0\r\n", true},
		{"in a trailer", chunked + "5\r\nhello\r\n0\r\nNote: a", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for _, reset := range []bool{false, true} {
				for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1", "HTTP/2.0"} {
					for at, instance := range []string{"owner", "other instance"} {
						t.Run(fmt.Sprintf("reset %v/%s/%s", reset, protocol, instance), func(t *testing.T) {
							testCut(t, test.sent, test.streamed, reset, protocol, at)
						})
					}
				}
			}
		})
	}
}

// testCut sends requests whose upstream ends the connection after the given bytes to the instance with the given number. A request that
// may be repeated is sent again unless a part of the response may have reached the caller.
func testCut(t *testing.T, sent string, streamed, reset bool, protocol string, at int) {
	t.Helper()
	for _, path := range []string{"/plain/k", "/read/k"} {
		c := newCluster(t, 2, testSettings{})
		client, requests := cutUpstream(t, sent, reset)
		c.instances[0].server.upstream = client
		c.instances[at].serveTracked(t)
		response, body, err := c.instances[at].exchange(t, protocol, path)
		if n := requests.Load(); path == "/plain/k" && n != 1 {
			t.Errorf("%s: the request ran %d times", path, n)
		}
		switch {
		case err != nil && streamed:
		case err != nil:
			t.Errorf("%s: no complete response: %v", path, err)
		case path == "/read/k" && response.StatusCode == http.StatusOK && body == "whole":
		case (path == "/plain/k" || streamed) && response.StatusCode == http.StatusBadGateway &&
			response.Header.Get(HeaderRan) != string(code.RanNo):
		default:
			t.Errorf("%s: %s with %d bytes, headers %v", path, response.Status, len(body), response.Header)
		}
	}
}

// TestRefusalAfterCut guards against reporting "not run" for an idempotent request that was sent once more after it may have run, and
// whose retry was refused.
func TestRefusalAfterCut(t *testing.T) {
	tests := []struct {
		name string
		// status is that of the upstream's refusal; 0 means that it refuses connections.
		status int
	}{
		{"upstream refuses connections", 0},
		{"upstream is full", http.StatusTooManyRequests},
		{"upstream has no grant", http.StatusConflict},
		{"deadline passed in the upstream's queue", http.StatusGatewayTimeout},
	}
	for _, test := range tests {
		for at, instance := range []string{"owner", "other instance"} {
			t.Run(test.name+"/"+instance, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, 2, testSettings{options: []Option{WithHold(200 * time.Millisecond)}})
				listener := listen(t)
				client, _ := rawUpstream(t, listener, func(conn *net.TCPConn, id string, number int64) bool {
					if number > 1 {
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Refused\r\n%s: %s\r\n%s: no\r\nContent-Length: 0\r\n\r\n",
							test.status, HeaderRequestID, id, HeaderRan)
						return true
					}
					if test.status == 0 {
						_ = listener.Close()
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
					return false
				})
				c.instances[0].server.upstream = client
				response, body, err := c.instances[at].exchange(t, "HTTP/1.1", "/read/k")
				if err != nil {
					t.Fatal(err)
				}
				if response.StatusCode != http.StatusBadGateway || response.Header.Get(HeaderRan) != string(code.RanUnknown) {
					t.Errorf("%s, ran %s: %s", response.Status, response.Header.Get(HeaderRan), body)
				}
			})
		}
	}
}

// TestCutLink guards against callers that get a response that looks complete although the connection between two instances ended in the
// middle of it.
func TestCutLink(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": ID\r\n"
	large := strings.Repeat("a", 1<<16)
	tests := []struct {
		name, sent string
		// streamed is set if the caller may have got a part of the response.
		streamed bool
	}{
		{"in the headers", head, false},
		{"in the body", head + "Content-Length: 9\r\n\r\nhell", true},
		{"in a large body", head + "Content-Length: 65537\r\n\r\n" + large, true},
		{"after a chunk", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true},
		{"after a large chunk", head + "Transfer-Encoding: chunked\r\n\r\n10000\r\n" + large + "\r\n", true},
	}
	for _, test := range tests {
		for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1", "HTTP/2.0"} {
			t.Run(test.name+"/"+protocol, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, 2, testSettings{})
				owner, other := c.instances[0], c.instances[1]
				owner.server.upstream, _ = rawUpstream(t, listen(t), func(conn *net.TCPConn, id string, _ int64) bool {
					_, _ = io.WriteString(conn, strings.ReplaceAll(test.sent, "ID", id))
					// The other instance has received what the upstream has sent by then.
					time.Sleep(50 * time.Millisecond)
					_ = owner.peers.Close()
					// The owner closes this connection when it notices that its caller has left.
					_, _ = conn.Read(make([]byte, 1))
					return false
				})
				other.serveTracked(t)
				response, body, err := other.exchange(t, protocol, "/plain/k")
				switch {
				case err != nil && test.streamed:
				case err != nil:
					t.Errorf("no complete response: %v", err)
				case response.StatusCode != http.StatusBadGateway || response.Header.Get(HeaderRan) == string(code.RanNo):
					t.Errorf("%s with %d bytes, headers %v", response.Status, len(body), response.Header)
				}
			})
		}
	}
}
