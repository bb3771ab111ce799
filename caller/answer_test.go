package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
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
