package caller

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"sapphiretray/code"
)

// dialHTTP1 connects to an instance until the test ends.
func (i *testInstance) dialHTTP1(t *testing.T) *net.TCPConn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", strings.TrimPrefix(i.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	return conn.(*net.TCPConn)
}

// readResponse reads a response with its body.
func readResponse(t *testing.T, r *bufio.Reader) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil {
		t.Fatalf("incomplete response: %v", err)
	}
	return response
}

// TestBodyThatStops guards against callers that get no answer because the body of their request doesn't arrive in time.
func TestBodyThatStops(t *testing.T) {
	const large = "PUT /read/k HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nabc"
	tests := []struct {
		name, request string
		status        int
	}{
		{"small body", "PUT /read/k HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc", http.StatusServiceUnavailable},
		{"large body", large, http.StatusServiceUnavailable},
		{"large body whose first part arrives", large + strings.Repeat("a", 2*MaxReplayableBody), http.StatusGatewayTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			conn := newCluster(t, 1, testSettings{timeout: 300 * time.Millisecond}).instances[0].dialHTTP1(t)
			_, _ = io.WriteString(conn, test.request)
			response := readResponse(t, bufio.NewReader(conn))
			if response.StatusCode != test.status {
				t.Errorf("status %d with code %s, want %d", response.StatusCode, response.Header.Get(HeaderCode), test.status)
			}
		})
	}
}

// TestRefusalBeforeBody guards against callers that get no answer, or whose connection stays open for ever, because their request is
// refused before its body has arrived.
func TestRefusalBeforeBody(t *testing.T) {
	const part = " HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc"
	tests := []struct {
		name, request string
		drain         bool
		code          code.Code
	}{
		{"no route", "PUT /none" + part, false, code.NoRoute},
		{"no key", "PUT /read/" + part, false, code.NoKey},
		{"too large", "PUT /tiny/k" + part, false, code.TooLarge},
		{"draining", "PUT /read/k" + part, true, code.Draining},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			i := newCluster(t, 1, testSettings{}).instances[0]
			if test.drain {
				if err := i.server.Drain(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			conn := i.dialHTTP1(t)
			_, _ = io.WriteString(conn, test.request)
			responses := bufio.NewReader(conn)
			if response := readResponse(t, responses); response.Header.Get(HeaderCode) != strconv.Itoa(int(test.code)) {
				t.Errorf("code %s, want %d", response.Header.Get(HeaderCode), test.code)
			}
			if _, err := responses.ReadByte(); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection is still open")
			}
		})
	}
}
