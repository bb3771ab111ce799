package upstream_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"sapphiretray/code"
	"sapphiretray/upstream"
)

// TestOddStatuses guards against a response whose status is no final one of a known class and that is passed on.
func TestOddStatuses(t *testing.T) {
	for _, status := range []string{"000", "099", "99", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			c, _ := scripted(t, func(_ net.Conn, id, _ string, _ int64) string {
				return strings.Replace(response(http.StatusOK, id, "", "body"), "200", status, 1)
			})
			if got := exchange(t, c, patient(http.MethodPost, "odd")); got != code.UpstreamFailed {
				t.Errorf("%s, want %s", got, code.UpstreamFailed)
			}
		})
	}
}

// TestResetDuringUpload guards against a part of a response without a length that is taken as the whole: the upstream responds to an upload
// that it hasn't read and resets the connection. The client refuses all responses without a length, so that it never did.
func TestResetDuringUpload(t *testing.T) {
	const uploads = 50
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.CopyN(io.Discard, r.Body, 64<<10)
				id := r.Header.Get(upstream.HeaderRequestID)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\npart", upstream.HeaderRequestID, id)
			}
			_, _ = conn.(*net.TCPConn).SetLinger(0), conn.Close()
		}
	})
	c := upstream.New(listener.Addr().String())
	defer func() {
		c.Close()
		_ = listener.Close()
		group.Wait()
	}()
	for n := range uploads {
		r := patient(http.MethodPost, fmt.Sprint("r", n))
		r.Body, r.ContentLength = bytes.NewReader(make([]byte, 8<<20)), 8<<20
		if got := exchange(t, c, r); got == code.OK {
			t.Fatalf("upload %d: a part of a response is taken as complete", n)
		}
	}
}
