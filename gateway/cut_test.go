package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/routing"
)

// Parts of the responses to the request with the id "cut".
const (
	cutHead     = "HTTP/1.1 200 OK\r\n" + headerID + ": cut\r\n" + headerGenuine + ": m\r\n"
	chunkedHead = cutHead + "Transfer-Encoding: chunked\r\n\r\n"
	earlyHints  = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
)

// ending is a way in which the upstream ends a connection.
type ending struct {
	name string
	end  func(conn *net.TCPConn)
	// lost is set if the end can't be that of a complete response without a length.
	lost bool
}

var endings = []ending{
	{"close", func(conn *net.TCPConn) { _ = conn.Close() }, false},
	{"half close", func(conn *net.TCPConn) { _ = conn.CloseWrite() }, false},
	{"reset", func(conn *net.TCPConn) {
		// A reset discards what hasn't been read yet.
		time.Sleep(5 * time.Millisecond)
		_, _ = conn.SetLinger(0), conn.Close()
	}, true},
}

// TestCutResponses guards against a response that is taken as complete although its connection ended before, against reporting "not
// run" for its request, and against sending the request again.
func TestCutResponses(t *testing.T) {
	tests := []struct{ name, sent string }{
		{"before the response", ""},
		{"in the version", "HTTP/1."},
		{"in the status", "HTTP/1.1 20"},
		{"after the reason", "HTTP/1.1 200 OK"},
		{"in the end of the status line", "HTTP/1.1 200 OK\r"},
		{"after the status line", "HTTP/1.1 200 OK\r\n"},
		{"after the status line and Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"},
		{"after a header line", cutHead},
		{"in a header name", cutHead + "Content-Le"},
		{"before a header value", cutHead + "Content-Length: "},
		{"in the number of Content-Length", cutHead + "Content-Length: 1"},
		{"in the end of a header line", cutHead + "Content-Length: 0\r"},
		{"after Content-Length", cutHead + "Content-Length: 5\r\n"},
		{"after an empty Content-Length", cutHead + "Content-Length: 0\r\n"},
		{"in the empty line", cutHead + "\r"},
		{"in the empty line after an empty Content-Length", cutHead + "Content-Length: 0\r\n\r"},
		{"before the body", cutHead + "Content-Length: 5\r\n\r\n"},
		{"in the body", cutHead + "Content-Length: 5\r\n\r\nhell"},
		{"after Transfer-Encoding", cutHead + "Transfer-Encoding: chunked\r\n"},
		{"before the first chunk", chunkedHead},
		{"in a chunk size", chunkedHead + "1"},
		{"after a chunk size", chunkedHead + "5\r\n"},
		{"in a chunk", chunkedHead + "5\r\nhell"},
		{"after the data of a chunk", chunkedHead + "5\r\nhello"},
		{"after a chunk", chunkedHead + "5\r\nhello\r\n"},
		{"in the size of the next chunk", chunkedHead + "5\r\nhello\r\n0"},
		{"after the last chunk", chunkedHead + "5\r\nhello\r\n0\r\n"},
		{"in the final empty line", chunkedHead + "5\r\nhello\r\n0\r\n\r"},
		{"in a trailer", chunkedHead + "5\r\nhello\r\n0\r\nNote: a"},
		{"after a trailer", chunkedHead + "5\r\nhello\r\n0\r\nNote: a\r\n"},
		{"in the status line of an interim response", "HTTP/1.1 103 Ea"},
		{"in the headers of an interim response", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n"},
		{"after an interim response", earlyHints},
		{"after switching protocols", strings.Replace(cutHead, "200 OK", "101 Switching Protocols", 1) + "\r\n"},
		{"in the status line after an interim response", earlyHints + "HTTP/1.1 200"},
		{"in the headers after an interim response", earlyHints + cutHead},
		{"bytes that aren't a response after an interim one", earlyHints + "hello\r\n\r\n"},
		{"in the headers after the response to an earlier request", ok("earlier", "other") + cutHead},
		{"in the response to an earlier request", strings.Replace(cutHead, "cut", "earlier", 1) + "Content-Length: 5\r\n\r\nhell"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for _, e := range endings {
				testCut(t, e, test.sent, false, code.UpstreamFailed, "")
			}
		})
	}
}

// TestConnectionEndsResponse guards against a response without a length that is taken as complete after a reset, and against one that is
// not after a close. Bytes after a complete response must not reach the next request.
func TestConnectionEndsResponse(t *testing.T) {
	tests := []struct {
		name, sent, body string
		// hasLength is set if the response is complete before the connection ends.
		hasLength bool
	}{
		{"no length", cutHead + "\r\nhello", "hello", false},
		{"no length, no body", cutHead + "\r\n", "", false},
		{"no length, after an interim response", earlyHints + cutHead + "\r\nhello", "hello", false},
		{"length", cutHead + "Content-Length: 5\r\n\r\nhello", "hello", true},
		{"bytes after the body", cutHead + "Content-Length: 5\r\n\r\nhello" + cutHead + "\r\nother", "hello", true},
		{"bytes after the last chunk", chunkedHead + "5\r\nhello\r\n0\r\n\r\n" + cutHead, "hello", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for _, e := range endings {
				want := code.Code(0)
				if e.lost && !test.hasLength {
					want = code.UpstreamFailed
				}
				testCut(t, e, test.sent, test.hasLength, want, test.body)
			}
		})
	}
}

// patient returns a request with a deadline that a busy machine doesn't miss.
func patient(id string, kind routing.Kind) *gateway.Request {
	r := request(id, kind)
	r.Objective, r.Deadline = time.Now().Add(10*time.Second), time.Now().Add(10*time.Second)
	return r
}

// testCut sends requests to which the upstream responds with the given bytes before it ends the connection: as the first one on it and
// as a later one, and of each kind. hasLength is set if the response is complete before the connection ends.
func testCut(t *testing.T, e ending, sent string, hasLength bool, want code.Code, body string) {
	t.Helper()
	for _, reused := range []bool{false, true} {
		for _, kind := range []routing.Kind{routing.Idempotent, routing.NonIdempotent} {
			t.Run(fmt.Sprintf("%s/reused %v/%v", e.name, reused, kind), func(t *testing.T) {
				received, ended := make(chan struct{}), make(chan struct{})
				u := newRawUpstream(t, func(conn net.Conn, r *http.Request, id string, _ int64) {
					_, _ = io.Copy(io.Discard, r.Body)
					if id != "cut" {
						_, _ = io.WriteString(conn, ok(id, id))
						return
					}
					_, _ = io.WriteString(conn, sent)
					if hasLength {
						<-received
					}
					e.end(conn.(*net.TCPConn))
					close(ended)
				})
				g := start(t, u)
				if reused {
					testWhole(t, g, "before")
				}
				response, err := g.Do(t.Context(), patient("cut", kind))
				close(received)
				if got := failureOf(t, err); got != want {
					t.Fatalf("response %v, failure %v, want %s", response, err, want)
				}
				if err == nil && (response.Status != http.StatusOK || string(response.Body) != body) {
					t.Errorf("status %d, body %q, want %q", response.Status, response.Body, body)
				}
				expected := int64(1)
				if reused {
					expected++
				}
				if u.requests.Load() != expected {
					t.Errorf("%d requests arrived, want %d", u.requests.Load(), expected)
				}
				if <-ended; hasLength {
					// The gateway takes the connection out of use only when it notices its end.
					time.Sleep(50 * time.Millisecond)
				}
				testWhole(t, g, "after")
				if u.conns.Load() != 2 {
					t.Errorf("%d connections, want 2", u.conns.Load())
				}
			})
		}
	}
}

// testWhole sends a request that gets a complete response.
func testWhole(t *testing.T, g *gateway.Gateway, id string) {
	t.Helper()
	response, err := g.Do(t.Context(), patient(id, routing.NonIdempotent))
	if err != nil || string(response.Body) != id {
		t.Fatalf("request %s: response %v, error %v", id, response, err)
	}
}

// TestResponseInParts guards against a response that is taken as cut because it arrives in several reads.
func TestResponseInParts(t *testing.T) {
	tests := []struct{ name, sent string }{
		{"length", cutHead + "Content-Length: 5\r\n\r\nhello"},
		{"chunked", chunkedHead + "5\r\nhello\r\n0\r\nNote: a\r\n\r\n"},
		{"after an interim response", earlyHints + cutHead + "Content-Length: 5\r\n\r\nhello"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, _ string, _ int64) {
				for n := range test.sent {
					_, _ = io.WriteString(conn, test.sent[n:n+1])
					time.Sleep(time.Millisecond)
				}
			})
			response, err := start(t, u).Do(t.Context(), patient("cut", routing.NonIdempotent))
			if err != nil || response.Status != http.StatusOK || string(response.Body) != "hello" {
				t.Errorf("response %v, error %v", response, err)
			}
		})
	}
}

// TestCutControlResponses guards against a grant that counts as accepted although its response was cut.
func TestCutControlResponses(t *testing.T) {
	tests := []struct{ name, sent string }{
		{"after the status line", "HTTP/1.1 200 OK\r\n"},
		{"after a header line", "HTTP/1.1 200 OK\r\nNote: a\r\n"},
		{"in the number of Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 1"},
		{"in the body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell"},
		{"in a chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1"},
		{"after the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"},
		{"after an interim response", earlyHints},
	}
	for _, test := range tests {
		for _, e := range endings {
			t.Run(test.name+"/"+e.name, func(t *testing.T) {
				u := newRawUpstream(t, func(conn net.Conn, r *http.Request, _ string, _ int64) {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(conn, test.sent)
					e.end(conn.(*net.TCPConn))
				})
				if status, _, err := sendControl(t, start(t, u), "/grant"); err == nil {
					t.Errorf("status %d", status)
				}
			})
		}
	}
}
