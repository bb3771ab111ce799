package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphiretray/code"
	"sapphiretray/fake"
	"sapphiretray/upstream"
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

// faultyUpstream breaks the first request and passes the others on.
type faultyUpstream struct {
	Upstream
	broken atomic.Bool
	// status is the status of the broken response; 0 means a panic instead of a response.
	status int
}

func (u *faultyUpstream) Do(ctx context.Context, r *upstream.Request) (*upstream.Response, error) {
	if u.broken.Swap(true) {
		return u.Upstream.Do(ctx, r)
	}
	if u.status == 0 {
		panic("test")
	}
	return &upstream.Response{Status: u.status, Header: http.Header{"X-From": {"upstream"}}, Body: http.NoBody}, nil
}

// TestPanic guards against a defect in the handling of one request that ends its connection without an answer, keeps the request in flight,
// or adds parts of an upstream's response to the failure. The owner's failure must not count as that of the connection to it.
func TestPanic(t *testing.T) {
	tests := []struct {
		name   string
		status int
		at     int
		path   string
		code   code.Code
	}{
		{"at the owner", 0, 0, "/plain/k", code.Internal},
		{"status that can't be sent", 42, 0, "/plain/k", code.Internal},
		{"at another instance", 0, 1, "/plain/k", code.Internal},
		{"at another instance, idempotent", 0, 1, "/read/k", code.OK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 2, testSettings{})
			owner := c.instances[0]
			owner.server.upstream = &faultyUpstream{Upstream: owner.client, status: test.status}
			conn := c.instances[test.at].dialHTTP1(t)
			responses := bufio.NewReader(conn)
			for _, want := range []code.Code{test.code, code.OK} {
				_, _ = io.WriteString(conn, "POST "+test.path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb")
				response := readResponse(t, responses)
				header := response.Header
				if response.StatusCode != want.Entry().Status() || header.Get(HeaderCode) != strconv.Itoa(int(want)) ||
					header.Get(HeaderRan) != string(want.Entry().Ran()) || header.Get("X-From") != "" {
					t.Errorf("status %d, want %s; headers %v", response.StatusCode, want, header)
				}
			}
			owner.admissions.Wait()
			if n := owner.server.InFlight(); n > 0 {
				t.Errorf("%d requests in flight", n)
			}
			if n := c.unreachableReports[owner.self]; n > 0 {
				t.Errorf("the owner was reported as unreachable %d times", n)
			}
		})
	}
}

// TestHalfClosedCaller guards against callers that get no answer because they have closed their sending side after the request.
func TestHalfClosedCaller(t *testing.T) {
	c := newCluster(t, 2, testSettings{upstream: []fake.UpstreamOption{fake.WithServiceTime(300 * time.Millisecond)}})
	for _, i := range c.instances {
		conn := i.dialHTTP1(t)
		_, _ = io.WriteString(conn, "POST /plain/k HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb")
		_ = conn.CloseWrite()
		if response := readResponse(t, bufio.NewReader(conn)); response.Header.Get(HeaderCode) == "" {
			t.Errorf("%s: status %d without a code", i.self, response.StatusCode)
		}
	}
}

// TestCloseWhileDraining guards against callers that send another request on a connection that a stopping instance is about to close,
// because the response doesn't say so. The connections of other instances stay open.
func TestCloseWhileDraining(t *testing.T) {
	tests := []struct {
		name      string
		forwarded bool
		arrived   bool
		code      code.Code
		close     bool
	}{
		{"arrived before", false, true, code.OK, true},
		{"refused", false, false, code.Draining, true},
		{"forwarded, arrived before", true, true, code.OK, false},
		{"forwarded, refused", true, false, code.Draining, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			settings := testSettings{upstream: []fake.UpstreamOption{fake.WithServiceTime(100 * time.Millisecond)}}
			i := newCluster(t, 1, settings).instances[0]
			handler := i.server.Handler()
			if test.forwarded {
				handler = i.server.PeerHandler()
			}
			drain := func() {
				for test.arrived && i.server.InFlight() == 0 {
					time.Sleep(time.Millisecond)
				}
				_ = i.server.Drain(t.Context())
			}
			var group sync.WaitGroup
			if test.arrived {
				group.Go(drain)
			} else {
				drain()
			}
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/read/k", nil))
			group.Wait()
			header := w.Header()
			if got := header.Get("Connection") == "close"; got != test.close || header.Get(HeaderCode) != strconv.Itoa(int(test.code)) {
				t.Errorf("close %v, want %v; status %d, headers %v", got, test.close, w.Code, header)
			}
		})
	}
}
