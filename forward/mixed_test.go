package forward_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sapphiretray/code"
	"sapphiretray/forward"
	"sapphiretray/gateway"
)

// genuineHead is the head of a response to a request without its empty line; its id is empty.
const genuineHead = "HTTP/1.1 200 OK\r\nId: \r\n"

// checkUpstreamFailed sends a request through another instance and fails the test unless the response of the upstream counts as failed.
func checkUpstreamFailed(t *testing.T, client *forward.Client, address string, r *gateway.Request) {
	t.Helper()
	r.Objective, r.Deadline = time.Now().Add(10*time.Second), time.Now().Add(10*time.Second)
	result, err := client.Do(t.Context(), address, r)
	if err == nil {
		t.Errorf("a response with status %d and %d bytes is passed on", result.Response.Status, len(result.Response.Body))
		return
	}
	var f *gateway.Failure
	if !errors.As(err, &f) || f.Code != code.UpstreamFailed || !f.Arrived {
		t.Errorf("error %v, want %s", err, code.UpstreamFailed)
	}
}

// TestOddStatusThroughInstance guards against a response whose status is no final one of a known class and that another instance passes on.
func TestOddStatusThroughInstance(t *testing.T) {
	for _, status := range []string{"000", "099", "99", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			address := startRaw(t, func(conn net.Conn, r *http.Request) {
				head := strings.Replace(genuineHead, "Id: ", "Id: "+r.Header.Get("Id"), 1)
				_, _ = io.WriteString(conn, strings.Replace(head, "200", status, 1)+"Content-Length: 5\r\n\r\nhello")
			})
			checkUpstreamFailed(t, forward.NewClient(newGroup(t), newPatientTransport(), &versionCounter{}), address, newRequest("body"))
		})
	}
}

// TestResetDuringForwardedUpload guards against a part of a response without a length that another instance passes on as the whole: the
// upstream resets the connection while the upload is still being written to it.
func TestResetDuringForwardedUpload(t *testing.T) {
	const uploads = 20
	address := startRaw(t, func(conn net.Conn, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, 64<<10)
		_, _ = io.WriteString(conn, strings.Replace(genuineHead, "Id: ", "Id: "+r.Header.Get("Id"), 1)+"\r\npart")
		_, _ = conn.(*net.TCPConn).SetLinger(0), conn.Close()
	})
	client := forward.NewClient(newGroup(t), newPatientTransport(), &versionCounter{})
	for n := range uploads {
		r := newRequest("")
		r.ID, r.Body = fmt.Sprint("upload-", n), make([]byte, 8<<20)
		checkUpstreamFailed(t, client, address, r)
	}
}
