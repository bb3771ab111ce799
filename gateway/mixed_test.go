package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"sapphiretray/code"
	"sapphiretray/routing"
)

// TestResetDuringUpload guards against a part of a response without a length that is taken as the whole: the upstream responds to an upload
// that it hasn't read and resets the connection. If the write that is in progress consumes the error of the connection, the read after it
// sees a regular end.
func TestResetDuringUpload(t *testing.T) {
	const uploads = 100
	u := newRawUpstream(t, func(conn net.Conn, r *http.Request, id string, _ int64) {
		// Some of the upload is read, so that it is being written.
		_, _ = io.CopyN(io.Discard, r.Body, 64<<10)
		_, _ = io.WriteString(conn, strings.ReplaceAll(cutHead, "cut", id)+"\r\npart")
		_, _ = conn.(*net.TCPConn).SetLinger(0), conn.Close()
	})
	g := start(t, u)
	for n := range uploads {
		r := patient(fmt.Sprint("r", n), routing.NonIdempotent)
		r.Body = make([]byte, 8<<20)
		response, err := g.Do(t.Context(), r)
		if err == nil {
			t.Fatalf("upload %d: a response with status %d and %d bytes is taken as complete", n, response.Status, len(response.Body))
		}
		if got := failureOf(t, err); got != code.UpstreamFailed {
			t.Errorf("upload %d: %v", n, err)
		}
	}
}

// TestOddStatuses guards against a response whose status is no final one of a known class and that is passed on, or that is taken for an
// interim response, so that its request waits for another one.
func TestOddStatuses(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "99", "101", "600", "700", "999", "0200", "2", "-20", "+20", "2 0", "abc", ""} {
		for _, used := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q, used connection %t", status, used), func(t *testing.T) {
				t.Parallel()
				u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, _ int64) {
					response := ok(id, "body")
					if id == "odd" {
						response = strings.Replace(response, "200", status, 1)
					}
					_, _ = io.WriteString(conn, response)
				})
				g := start(t, u)
				if used {
					if _, err := g.Do(t.Context(), patient("before", routing.Idempotent)); err != nil {
						t.Fatal(err)
					}
				}
				response, err := g.Do(t.Context(), patient("odd", routing.NonIdempotent))
				if err == nil {
					t.Fatalf("a response with status %d is passed on", response.Status)
				}
				if got := failureOf(t, err); got != code.UpstreamFailed {
					t.Errorf("%v, want %s", err, code.UpstreamFailed)
				}
			})
		}
	}
}
