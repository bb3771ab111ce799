package forward_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/code"
	"sapphiretray/forward"
	"sapphiretray/gateway"
	"sapphiretray/peer"
	"sapphiretray/routing"
)

// resultHeader is the header with the result of a forwarded request: a response with status 200.
const resultHeader = "1000,200,0,1,0,0,4,0,0,0,a/0/0,"

// TestCutForwardedResponse guards against passing on a response of which the other instance sent only a part, and against reporting "not
// run" for its request.
func TestCutForwardedResponse(t *testing.T) {
	flush := func(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }
	abort := func(net.Conn) { panic(http.ErrAbortHandler) }
	tests := []struct {
		name, length, body string
		// flushed is set if the headers and the body are sent before the response ends.
		flushed bool
		// end ends the response.
		end func(conn net.Conn)
	}{
		{"aborted before the headers", "10", "", false, abort},
		{"aborted after the headers", "10", "", true, abort},
		{"aborted in the body", "10", "part", true, abort},
		{"aborted after the headers, no length", "", "", true, abort},
		{"aborted in the body, no length", "", "part", true, abort},
		{"ended before the body", "10", "", true, func(net.Conn) {}},
		{"ended in the body", "10", "part", true, func(net.Conn) {}},
		{"closed in the body", "10", "part", true, func(conn net.Conn) { _ = conn.Close() }},
		{"closed in the body, no length", "", "part", true, func(conn net.Conn) { _ = conn.Close() }},
		{"half closed in the body, no length", "", "part", true, func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() }},
		{"reset in the body, no length", "", "part", true, func(conn net.Conn) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}},
	}
	for _, test := range tests {
		for _, transport := range []*http.Transport{peer.NewTransport("", time.Second), newTransportHTTP1()} {
			t.Run(fmt.Sprintf("%s/%v", test.name, transport.Protocols), func(t *testing.T) {
				var conns sync.Map
				address := serveBoth(t, &conns, func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("S-Res", resultHeader)
					if test.length != "" {
						w.Header().Set("Content-Length", test.length)
					}
					_, _ = io.WriteString(w, test.body)
					if test.flushed {
						flush(w)
					}
					conn, _ := conns.Load(r.RemoteAddr)
					test.end(conn.(net.Conn))
				})
				client := forward.NewClient(newGroup(t), transport, &versionCounter{})
				result, err := client.Do(t.Context(), address, newRequest(""))
				var f *gateway.Failure
				if !errors.As(err, &f) || f.Code != code.PeerFailed || !f.Arrived {
					t.Errorf("response %v, error %v, want %s", result.Response, err, code.PeerFailed)
				}
			})
		}
	}
}

// newTransportHTTP1 returns a transport for HTTP/1.1.
func newTransportHTTP1() *http.Transport {
	transport := &http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableCompression: true, Protocols: &http.Protocols{}}
	transport.Protocols.SetHTTP1(true)
	return transport
}

// serveBoth starts a server for HTTP/1.1 and HTTP/2 and returns its address. conns holds its connections by their remote addresses.
func serveBoth(t *testing.T, conns *sync.Map, handler http.HandlerFunc) string {
	t.Helper()
	var group errgroup.Group
	server := &http.Server{Handler: handler, Protocols: &http.Protocols{}, ConnState: func(conn net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Store(conn.RemoteAddr().String(), conn)
		}
	}}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	address := listenAndServe(t, &group, server)
	t.Cleanup(func() {
		_ = server.Close()
		_ = group.Wait()
	})
	return address
}

// TestCutUpstreamResponse guards against an instance that passes on a part of its upstream's response, or reports "not run" for the
// request, when the upstream ends its connection.
func TestCutUpstreamResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r1\r\n"
	tests := []struct{ name, sent string }{
		{"after the status line", "HTTP/1.1 200 OK\r\n"},
		{"after a header line", head},
		{"in the number of Content-Length", head + "Content-Length: 1"},
		{"in the body", head + "Content-Length: 5\r\n\r\nhell"},
		{"in a chunk size", head + "Transfer-Encoding: chunked\r\n\r\n1"},
		{"after the last chunk", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"},
		{"after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"after switching protocols", strings.Replace(head, "200", "101", 1) + "\r\n"},
	}
	for _, test := range tests {
		for _, transport := range []*http.Transport{peer.NewTransport("", time.Second), newTransportHTTP1()} {
			t.Run(fmt.Sprintf("%s/%v", test.name, transport.Protocols), func(t *testing.T) {
				handler := forward.Handler(newCutGateway(t, test.sent), &versionCounter{}, func() bool { return false })
				address := serveBoth(t, &sync.Map{}, handler.ServeHTTP)
				client := forward.NewClient(newGroup(t), transport, &versionCounter{})
				for _, kind := range []routing.Kind{routing.Idempotent, routing.NonIdempotent} {
					r := newRequest("body")
					r.Kind = kind
					result, err := client.Do(t.Context(), address, r)
					var f *gateway.Failure
					if !errors.As(err, &f) || f.Code != code.UpstreamFailed || !f.Arrived {
						t.Errorf("%s: response %v, error %v, want %s", kind, result.Response, err, code.UpstreamFailed)
					}
				}
			})
		}
	}
}

// newCutGateway returns a gateway to an upstream that closes each connection after it has sent the given bytes as a response.
func newCutGateway(t *testing.T, sent string) *gateway.Gateway {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // The listener is closed when the test ends.
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, sent)
			}
			_ = conn.Close()
		}
	})
	address := listener.Addr().String()
	g := gateway.New(&group, "books", address, echo{})
	if err := g.Register(gateway.Registration{
		UpstreamRun: gateway.UpstreamRun{ID: "u1", Started: 1}, Service: "books", Address: address, Sequence: 1, Slots: 4,
	}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return g
}
