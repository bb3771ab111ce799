package upstream_test

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

	"sapphiretray/code"
	"sapphiretray/member"
	"sapphiretray/upstream"
)

// scripted starts an upstream whose respond function writes the bytes of each response. previous is the last response on the connection,
// and number counts the requests of all connections. It returns a client, and the number of connections.
func scripted(t *testing.T, respond func(conn net.Conn, id, previous string, number int64) (response string)) (
	c *upstream.Client, conns *atomic.Int64,
) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns = &atomic.Int64{}
	var group sync.WaitGroup
	var number atomic.Int64
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		previous := ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			previous = respond(conn, r.Header.Get(upstream.HeaderRequestID), previous, number.Add(1))
			if _, err := io.WriteString(conn, previous); err != nil {
				return
			}
		}
	}
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			group.Go(func() { serve(conn) })
		}
	})
	c = upstream.New(listener.Addr().String())
	t.Cleanup(func() {
		c.Close()
		_ = listener.Close()
		group.Wait()
	})
	return c, conns
}

// response returns a response to the request with the given id.
func response(status int, id, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, upstream.HeaderRequestID, id, headers, len(body), body)
}

// TestLongHeads guards against reading the head of a response, or interim responses, until the memory of a small machine is full.
func TestLongHeads(t *testing.T) {
	tests := []struct {
		name    string
		prefix  string
		headers string
		want    code.Code
	}{
		{"200 KiB of headers", "", strings.Repeat("A: b\r\n", 200<<10/6), code.OK},
		{"1 MiB of headers", "", strings.Repeat("A: b\r\n", 1<<20/6), code.UpstreamFailed},
		{"a header of 1 MiB", "", "A: " + strings.Repeat("b", 1<<20) + "\r\n", code.UpstreamFailed},
		{"1 MiB of interim responses", strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", 1<<20/22), "", code.UpstreamFailed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, _ := scripted(t, func(conn net.Conn, id, _ string, _ int64) string {
				_, _ = io.WriteString(conn, test.prefix)
				return response(http.StatusOK, id, test.headers, "{}")
			})
			r := request(http.MethodPost, "/k", "x", "body")
			r.Deadline = time.Now().Add(5 * time.Second)
			if got := exchange(t, c, r); got != test.want {
				t.Errorf("request: %s, want %s", got, test.want)
			}
			if err := c.Drain(t.Context()); (err == nil) != (test.want == code.OK) {
				t.Errorf("control call: %v", err)
			}
		})
	}
}

// TestLongControlBodies guards against reading the body of a response to a control call until its timeout.
func TestLongControlBodies(t *testing.T) {
	c, _ := scripted(t, func(conn net.Conn, _, _ string, _ int64) string {
		text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		for {
			if _, err := io.WriteString(conn, text); err != nil {
				return ""
			}
			text = "1000\r\n" + strings.Repeat(" ", 0x1000) + "\r\n"
		}
	})
	started := time.Now()
	if err := c.Drain(t.Context()); err == nil || time.Since(started) > 800*time.Millisecond {
		t.Errorf("error %v after %v", err, time.Since(started))
	}
}

// TestRepeatedRefusal guards against reporting "not run" for a request that runs because the upstream writes an earlier refusal of the
// same id once more, and against opening a connection for each request after a refusal.
func TestRepeatedRefusal(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			c, conns := scripted(t, func(conn net.Conn, id, previous string, number int64) string {
				if number <= 2 {
					return response(http.StatusServiceUnavailable, id, upstream.HeaderRan+": no\r\n", "")
				}
				if strings.Contains(previous, upstream.HeaderRequestID+": "+id+"\r\n") {
					_, _ = io.WriteString(conn, previous)
				}
				time.Sleep(20 * time.Millisecond)
				return response(http.StatusOK, id, "", "done")
			})
			for n, id := range []string{"r1", "r2", "r2", "r3", "r1"} {
				r := request(method, "/k", id, "")
				resp, err := c.Do(t.Context(), r)
				if err != nil {
					t.Fatalf("request %d: %v", n+1, err)
				}
				if resp.NotRun != (n < 2) {
					t.Errorf("request %d (%s): not run is %v", n+1, id, resp.NotRun)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			if conns.Load() != 3 {
				t.Errorf("%d connections, want one more for each id that was refused", conns.Load())
			}
		})
	}
}

// TestManyRefusals guards against a client that remembers the ids of refused requests without limit, and against a new connection for each
// refused request.
func TestManyRefusals(t *testing.T) {
	c, conns := scripted(t, func(_ net.Conn, id, _ string, _ int64) string {
		return response(http.StatusTooManyRequests, id, upstream.HeaderRan+": no\r\n", "")
	})
	for n := range 2500 {
		if resp, err := c.Do(t.Context(), request(http.MethodPost, "/k", fmt.Sprint("r", n), "")); err != nil || !resp.NotRun {
			t.Fatalf("request %d: %v", n, err)
		}
	}
	if n := conns.Load(); n < 3 || n > 5 {
		t.Errorf("%d connections for 2500 refusals, want one for about 1024 refusals", n)
	}
}

// TestRepeatedControlResponse guards against taking the response to an earlier control call, which the upstream writes once more, as the
// response to a revocation or the drain command.
func TestRepeatedControlResponse(t *testing.T) {
	c, conns := scripted(t, func(conn net.Conn, id, previous string, number int64) string {
		if number <= 2 {
			return response(http.StatusOK, id, "", `{"clock":1}`)
		}
		_, _ = io.WriteString(conn, previous)
		time.Sleep(20 * time.Millisecond)
		return response(http.StatusConflict, id, "", "{}")
	})
	if err := c.Renew(t.Context(), member.NewIncarnation("a", 1), time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if got, _ := code.Of(c.Revoke(t.Context(), 1, 256)); got != code.Conflict {
		t.Errorf("revocation: %s, want %s", got, code.Conflict)
	}
	if got, _ := code.Of(c.Drain(t.Context())); got != code.Conflict {
		t.Errorf("drain: %s, want %s", got, code.Conflict)
	}
	if conns.Load() != 3 {
		t.Errorf("%d connections, want one for each revocation and drain command beside that of the others", conns.Load())
	}
}
