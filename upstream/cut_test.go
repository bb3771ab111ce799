package upstream_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sapphiretray/code"
	"sapphiretray/upstream"
)

// Parts of the responses to the request with the id "cut".
const (
	cutHead     = "HTTP/1.1 200 OK\r\n" + upstream.HeaderRequestID + ": cut\r\n"
	chunkedHead = cutHead + "Transfer-Encoding: chunked\r\n\r\n"
	earlyHints  = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
)

// settle is the time after which the client has read what was sent.
const settle = 5 * time.Millisecond

// patient returns a request with a deadline that a busy machine doesn't miss.
func patient(method, id string) *upstream.Request {
	r := request(method, "/k", id, "")
	r.Deadline = time.Now().Add(5 * time.Second)
	return r
}

// endings are the ways in which the upstream ends a connection.
var endings = []struct {
	name string
	end  func(conn *net.TCPConn)
}{
	{"close", func(conn *net.TCPConn) { _ = conn.Close() }},
	{"half close", func(conn *net.TCPConn) { _ = conn.CloseWrite() }},
	{"reset", func(conn *net.TCPConn) {
		// A reset discards what hasn't been read yet.
		time.Sleep(settle)
		_, _ = conn.SetLinger(0), conn.Close()
	}},
}

// TestCutResponses guards against a response that is taken as complete although its connection ended before, against reporting "not
// run" for its request, and against sending a request again that isn't idempotent.
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
		{"no length, before the body", cutHead + "\r\n"},
		{"no length, in the body", cutHead + "\r\nhell"},
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
		{"in the status line after an interim response", earlyHints + "HTTP/1.1 200"},
		{"in the headers after an interim response", earlyHints + cutHead},
		{"bytes that aren't a response after an interim one", earlyHints + "hello\r\n\r\n"},
		{"after switching protocols", strings.Replace(cutHead, "200 OK", "101 Switching Protocols", 1) + "\r\n"},
		{
			"after switching protocols with an upgrade",
			strings.Replace(cutHead, "200 OK", "101 Switching Protocols", 1) + "Connection: Upgrade\r\nUpgrade: a\r\n\r\n",
		},
	}
	for _, test := range tests {
		for _, e := range endings {
			for _, reused := range []bool{false, true} {
				for _, method := range []string{http.MethodGet, http.MethodPost} {
					t.Run(fmt.Sprintf("%s/%s/reused %v/%s", test.name, e.name, reused, method), func(t *testing.T) {
						testCut(t, method, reused, test.sent, e.end)
					})
				}
			}
		}
	}
}

// testCut sends a request to which the upstream responds with the given bytes before it ends the connection, on a new connection or on
// one that has carried a response.
func testCut(t *testing.T, method string, reused bool, sent string, end func(*net.TCPConn)) {
	t.Helper()
	var requests atomic.Int64
	c, _ := scripted(t, func(conn net.Conn, id, _ string, _ int64) string {
		if id != "cut" {
			return response(http.StatusOK, id, "", id)
		}
		requests.Add(1)
		_, _ = io.WriteString(conn, sent)
		end(conn.(*net.TCPConn))
		return ""
	})
	if reused {
		testWhole(t, c, "before")
	}
	switch got := exchange(t, c, patient(method, "cut")); got {
	case code.UpstreamFailed, code.Truncated:
	default:
		t.Errorf("code %s", got)
	}
	if n := requests.Load(); n != 1 && method == http.MethodPost {
		t.Errorf("the request arrived %d times", n)
	}
	testWhole(t, c, "after")
}

// testWhole sends a request that gets a complete response.
func testWhole(t *testing.T, c *upstream.Client, id string) {
	t.Helper()
	resp, err := c.Do(t.Context(), patient(http.MethodPost, id))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != id {
		t.Fatalf("request %s: body %q, error %v", id, body, err)
	}
}

// TestResponseInParts guards against a response that is taken as cut because it arrives in several reads.
func TestResponseInParts(t *testing.T) {
	tests := []struct{ name, sent string }{
		{"length", cutHead + "Content-Length: 3\r\n\r\ncut"},
		{"chunked", chunkedHead + "3\r\ncut\r\n0\r\nNote: a\r\n\r\n"},
		{"after an interim response", earlyHints + cutHead + "Content-Length: 3\r\n\r\ncut"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, _ := scripted(t, func(conn net.Conn, _, _ string, _ int64) string {
				for n := range test.sent {
					_, _ = io.WriteString(conn, test.sent[n:n+1])
					time.Sleep(time.Millisecond)
				}
				return ""
			})
			testWhole(t, c, "cut")
		})
	}
}

// TestCutControlResponses guards against a control call that counts as carried out although its response was cut.
func TestCutControlResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nNote: a\r\n"
	tests := []struct{ name, sent string }{
		{"after a header line", head},
		{"in the number of Content-Length", head + "Content-Length: 1"},
		{"no length, before the body", head + "\r\n"},
		{"no length, in the body", head + "\r\n{\"clock\":"},
		{"in the body", head + "Content-Length: 20\r\n\r\n{\"clock\":1}"},
		{"after the last chunk", head + "Transfer-Encoding: chunked\r\n\r\nb\r\n{\"clock\":1}\r\n0\r\n"},
		{"after an interim response", earlyHints},
	}
	for _, test := range tests {
		for _, e := range endings {
			t.Run(test.name+"/"+e.name, func(t *testing.T) {
				c, _ := scripted(t, func(conn net.Conn, _, _ string, _ int64) string {
					_, _ = io.WriteString(conn, test.sent)
					e.end(conn.(*net.TCPConn))
					return ""
				})
				if err := c.Drain(t.Context()); err == nil {
					t.Error("the drain command succeeded")
				}
				if err := c.Revoke(t.Context(), 1, 256); err == nil {
					t.Error("the revocation succeeded")
				}
			})
		}
	}
}
