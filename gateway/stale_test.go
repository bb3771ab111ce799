package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/routing"
)

// refusal returns the response of an upstream that didn't run the request.
func refusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Full\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerID, id, headerNotRun)
}

// lastResponses holds the last response that was written on each connection.
type lastResponses struct {
	mu   sync.Mutex
	last map[net.Conn]string
}

// swap stores the last response on a connection and returns the one before it.
func (l *lastResponses) swap(conn net.Conn, text string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last == nil {
		l.last = make(map[net.Conn]string)
	}
	before := l.last[conn]
	l.last[conn] = text
	return before
}

// TestRepeatedRefusal guards against reporting "not run" for a request that runs because the upstream writes an earlier refusal of the
// same id once more, and against opening a connection for each request after a refusal.
func TestRepeatedRefusal(t *testing.T) {
	tests := []struct {
		name  string
		write func(conn net.Conn, stale string)
	}{
		{"whole", func(conn net.Conn, stale string) { _, _ = io.WriteString(conn, stale) }},
		{"in pieces", func(conn net.Conn, stale string) {
			for _, piece := range strings.SplitAfter(stale, "\r\n") {
				_, _ = io.WriteString(conn, piece)
				time.Sleep(5 * time.Millisecond)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var responses lastResponses
			u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, number int64) {
				response := refusal(id)
				if number > 2 {
					response = ok(id, "done")
				}
				if stale := responses.swap(conn, response); stale != "" {
					test.write(conn, stale)
				}
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(conn, response)
			})
			g := start(t, u)
			for _, id := range []string{"r1", "r2"} {
				_, err := g.Do(t.Context(), request(id, routing.NonIdempotent))
				if got := failureOf(t, err); got != code.Shed {
					t.Fatalf("the refusal of %s: %v", id, err)
				}
			}
			if u.conns.Load() != 1 {
				t.Errorf("%d connections for requests with different ids, want 1", u.conns.Load())
			}
			for _, id := range []string{"r2", "r1", "r3"} {
				response, err := g.Do(t.Context(), request(id, routing.NonIdempotent))
				if err != nil || string(response.Body) != "done" {
					t.Errorf("request %s: %v", id, err)
				}
			}
			if u.conns.Load() != 2 {
				t.Errorf("%d connections, want 1 more for the ids that were refused", u.conns.Load())
			}
		})
	}
}

// TestRefusalWhileIdle guards against taking a refusal that is written once more between two requests as the response to the second.
func TestRefusalWhileIdle(t *testing.T) {
	written := make(chan struct{})
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, number int64) {
		if number == 1 {
			_, _ = io.WriteString(conn, refusal(id))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, refusal(id))
			close(written)
			return
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(conn, ok(id, "done"))
	})
	g := start(t, u)
	_, err := g.Do(t.Context(), request("r1", routing.NonIdempotent))
	if got := failureOf(t, err); got != code.Shed {
		t.Fatalf("the refusal: %v", err)
	}
	<-written
	time.Sleep(20 * time.Millisecond)
	if _, err := g.Do(t.Context(), request("r1", routing.NonIdempotent)); err != nil {
		t.Errorf("the second request: %v", err)
	}
}

// TestRefusalAfterDeadline guards against taking a refusal that arrives after the deadline of its request as the response to a
// second request with the same id.
func TestRefusalAfterDeadline(t *testing.T) {
	late := make(chan struct{})
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, number int64) {
		if number == 1 {
			<-late
			_, _ = io.WriteString(conn, refusal(id))
			return
		}
		close(late)
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(conn, ok(id, "done"))
	})
	g := start(t, u)
	r := request("r1", routing.Idempotent)
	r.Deadline = time.Now().Add(100 * time.Millisecond)
	_, err := g.Do(t.Context(), r)
	if got := failureOf(t, err); got != code.UpstreamTimeout {
		t.Fatalf("the first request: %v", err)
	}
	if _, err := g.Do(t.Context(), request("r1", routing.Idempotent)); err != nil {
		t.Errorf("the second request: %v", err)
	}
}

// TestManyRefusals guards against a connection that remembers the ids of refused requests without limit, and against a new connection for
// each refused request.
func TestManyRefusals(t *testing.T) {
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, _ int64) { _, _ = io.WriteString(conn, refusal(id)) })
	g := start(t, u)
	for n := range 200 {
		_, err := g.Do(t.Context(), request(fmt.Sprint("r", n), routing.NonIdempotent))
		if got := failureOf(t, err); got != code.Shed {
			t.Fatalf("request %d: %v", n, err)
		}
	}
	if n := u.conns.Load(); n < 3 || n > 5 {
		t.Errorf("%d connections for 200 refusals, want one for about 64 refusals", n)
	}
}

// sendControl sends a control request to a path.
func sendControl(t *testing.T, g *gateway.Gateway, path string) (int, http.Header, error) {
	t.Helper()
	return g.SendControlRequest(t.Context(), func(bool) (gateway.ControlRequest, error) {
		return gateway.ControlRequest{Method: http.MethodPost, Target: path, Body: []byte("{}")}, nil
	})
}

// TestRepeatedResponseBeforeControlResponse guards against taking a response to a request, which the upstream writes once more, as the
// response to a control request.
func TestRepeatedResponseBeforeControlResponse(t *testing.T) {
	for _, stale := range []string{ok("r1", "done"), refusal("r1")} {
		var responses lastResponses
		u := newRawUpstream(t, func(conn net.Conn, r *http.Request, _ string, _ int64) {
			response := stale
			if r.URL.Path == "/grant" {
				response = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
			}
			_, _ = io.WriteString(conn, responses.swap(conn, response))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, response)
		})
		g := start(t, u)
		_, _ = g.Do(t.Context(), request("r1", routing.NonIdempotent))
		if status, _, err := sendControl(t, g, "/grant"); err != nil || status != http.StatusConflict {
			t.Errorf("status %d, error %v, want the response to the control request", status, err)
		}
	}
}

// TestControlRequestsKeepConnections guards against control requests that end the connections of requests.
func TestControlRequestsKeepConnections(t *testing.T) {
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, _ int64) { _, _ = io.WriteString(conn, ok(id, "done")) })
	g := start(t, u)
	for range 10 {
		if _, err := g.Do(t.Context(), request("r1", routing.NonIdempotent)); err != nil {
			t.Fatal(err)
		}
		if status, _, err := sendControl(t, g, "/grant"); err != nil || status != http.StatusOK {
			t.Fatalf("status %d, error %v", status, err)
		}
	}
	if u.conns.Load() != 2 {
		t.Errorf("%d connections, want one for requests and one for control requests", u.conns.Load())
	}
}

// TestRepeatedReleaseResponse guards against taking the response to an earlier control request, which the upstream writes once more, as
// the response to a release: another upstream would get the keys while this one still works on them.
func TestRepeatedReleaseResponse(t *testing.T) {
	var responses lastResponses
	u := newRawUpstream(t, func(conn net.Conn, r *http.Request, _ string, number int64) {
		_, _ = io.WriteString(conn, responses.swap(conn, "HTTP/1.1 200 OK\r\nEarlier: 1\r\nContent-Length: 0\r\n\r\n"))
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nPath: %s\r\nNumber: %d\r\nContent-Length: 0\r\n\r\n", r.URL.Path, number)
	})
	g := start(t, u)
	if _, _, err := sendControl(t, g, "/grant"); err != nil {
		t.Fatal(err)
	}
	for n := range 2 {
		_, header, err := g.SendControlRequestOnce(t.Context(), gateway.ControlRequest{
			Method: http.MethodPost, Target: "/release", Body: []byte("{}"),
		})
		if err != nil || header.Get("Path") != "/release" || header.Get("Number") != fmt.Sprint(n+2) {
			t.Errorf("release %d: headers %v, error %v", n, header, err)
		}
	}
	if _, _, err := sendControl(t, g, "/grant"); err != nil {
		t.Fatal(err)
	}
	if u.conns.Load() != 3 {
		t.Errorf("%d connections, want one for the grants and one for each release", u.conns.Load())
	}
}

// TestUnansweredControlRequest guards against sending a control request on a connection on which the response to an earlier one may
// still arrive.
func TestUnansweredControlRequest(t *testing.T) {
	var responses lastResponses
	hold := make(chan struct{})
	u := newRawUpstream(t, func(conn net.Conn, r *http.Request, _ string, _ int64) {
		if r.URL.Path == "/unanswered" {
			_, _ = conn.Read(make([]byte, 1))
			return
		}
		_, _ = io.WriteString(conn, responses.swap(conn, "HTTP/1.1 200 OK\r\nEarlier: 1\r\nContent-Length: 0\r\n\r\n"))
		<-hold
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	g := start(t, u)
	var grants sync.WaitGroup
	for range 3 {
		grants.Go(func() { _, _, _ = sendControl(t, g, "/grant") })
	}
	for u.requests.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, _, err := g.SendControlRequest(ctx, func(bool) (gateway.ControlRequest, error) {
		return gateway.ControlRequest{Method: http.MethodPost, Target: "/unanswered"}, nil
	}); err == nil {
		t.Fatal("the unanswered request got a response")
	}
	close(hold)
	grants.Wait()
	_, header, err := sendControl(t, g, "/grant")
	if err != nil || header.Get("Earlier") != "" {
		t.Errorf("headers %v, error %v, want the response to the request after the unanswered one", header, err)
	}
}

// TestControlRequestIsNotWrittenLate guards against a control request that is written after its context has ended, or that its caller has
// given up, and against the loss of the kept connection, which the upstream could take for a restart.
func TestControlRequestIsNotWrittenLate(t *testing.T) {
	errGivenUp := errors.New("given up")
	tests := []struct {
		name  string
		stall time.Duration
		err   error
		want  error
	}{
		{name: "context ended", stall: 200 * time.Millisecond, want: context.DeadlineExceeded},
		{name: "given up", err: errGivenUp, want: errGivenUp},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, _ int64) { _, _ = io.WriteString(conn, ok(id, "done")) })
			g := start(t, u)
			late := func() error {
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				defer cancel()
				_, _, err := g.SendControlRequest(ctx, func(bool) (gateway.ControlRequest, error) {
					time.Sleep(test.stall)
					return gateway.ControlRequest{Method: http.MethodPost, Target: "/late"}, test.err
				})
				return err
			}
			for range 2 {
				if err := late(); !errors.Is(err, test.want) {
					t.Errorf("error %v, want %v", err, test.want)
				}
				if _, _, err := sendControl(t, g, "/grant"); err != nil {
					t.Error(err)
				}
			}
			time.Sleep(50 * time.Millisecond)
			// The first late request opens a connection, which isn't used.
			if u.requests.Load() != 2 || u.conns.Load() != 2 {
				t.Errorf("%d requests on %d connections, want 2 on 2", u.requests.Load(), u.conns.Load())
			}
		})
	}
}

// TestResponseBetweenRequests guards against failing a request because a response that belongs to no request arrived just before it.
func TestResponseBetweenRequests(t *testing.T) {
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, number int64) {
		_, _ = io.WriteString(conn, ok(id, "done"))
		// A sleep would take too long to meet the start of the next request.
		for written := time.Now(); time.Since(written) < time.Duration(number%60)*time.Microsecond; {
		}
		_, _ = io.WriteString(conn, ok(id, "done"))
	})
	g := start(t, u)
	for n := range 5000 {
		r := request(fmt.Sprint("r", n), routing.NonIdempotent)
		r.Objective, r.Deadline = time.Now().Add(10*time.Second), time.Now().Add(10*time.Second)
		if _, err := g.Do(t.Context(), r); err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
	}
}

// TestRepeatedControlRefusal guards against taking the refusal of an earlier grant, which the upstream writes once more, as the response to
// a grant that it carries out: the keys would be granted, but not served.
func TestRepeatedControlRefusal(t *testing.T) {
	const conflict = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
	var responses lastResponses
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, _ string, number int64) {
		if number == 1 {
			responses.swap(conn, conflict)
			_, _ = io.WriteString(conn, conflict)
			return
		}
		_, _ = io.WriteString(conn, responses.swap(conn, ""))
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	g := start(t, u)
	for _, want := range []int{http.StatusConflict, http.StatusOK, http.StatusOK} {
		if status, _, err := sendControl(t, g, "/grant"); err != nil || status != want {
			t.Errorf("status %d, error %v, want %d", status, err, want)
		}
	}
	if u.conns.Load() != 2 {
		t.Errorf("%d connections, want a new one after the refusal only", u.conns.Load())
	}
}
