package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sapphiretray/code"
	"sapphiretray/fake"
)

// TestDrainTimeout guards against requests that end without an answer because they are still in progress when the drain has to end.
func TestDrainTimeout(t *testing.T) {
	const limit = 300 * time.Millisecond
	tests := []struct {
		name string
		// at is the instance that is drained; the first one owns all keys.
		at int
		// body doesn't arrive completely.
		partial bool
		want    code.Code
	}{
		{"local", 0, false, code.Interrupted},
		{"forwarded", 1, false, code.Interrupted},
		{"body doesn't arrive", 0, true, code.Draining},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2, testSettings{})
			i := c.instances[test.at]
			if a := i.send(t.Context(), testRequest{method: http.MethodGet, path: "/read/k", id: "warm"}); a.code != code.OK {
				t.Fatalf("warm: %+v", a)
			}
			c.instances[0].setUpstreamFault(fake.Freeze, 0)
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", strings.TrimPrefix(i.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			body := "body"
			if test.partial {
				body = "b"
			}
			_, _ = io.WriteString(conn, "POST /plain/k HTTP/1.1\r\nHost: h\r\n"+HeaderRequestID+": x\r\nContent-Length: 4\r\n\r\n"+body)
			for i.server.InFlight() == 0 {
				time.Sleep(time.Millisecond)
			}
			begun := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			var group sync.WaitGroup
			group.Go(func() {
				if err := i.server.Drain(ctx); !errors.Is(err, context.DeadlineExceeded) || i.server.InFlight() > 0 {
					t.Errorf("drain: %v, %d requests in flight", err, i.server.InFlight())
				}
			})
			// The requests could run for 5 s.
			_ = conn.SetReadDeadline(begun.Add(limit + 2*time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Errorf("no response: %v", err)
				group.Wait()
				return
			}
			_ = response.Body.Close()
			group.Wait()
			if response.StatusCode != test.want.Entry().Status() || response.Header.Get(HeaderCode) != strconv.Itoa(int(test.want)) ||
				response.Header.Get(HeaderRan) != string(test.want.Entry().Ran()) || !response.Close {
				t.Errorf("status %d, header %v, want %v", response.StatusCode, response.Header, test.want)
			}
			if took := time.Since(begun); took < limit {
				t.Errorf("response after %v, want the request to go on for %v", took, limit)
			}
		})
	}
}
