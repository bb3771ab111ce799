package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/routing"
)

// TestBytesBeforeResponse guards against failing a request at which the upstream is at work because of bytes that arrive on its kept
// connection before the response and don't belong to it.
func TestBytesBeforeResponse(t *testing.T) {
	extra := ok("r1", "extra")
	const oldHead = "HTTP/1.1 200 OK\r\n" + headerID + ": r1\r\n" + headerGenuine + ": m\r\n"
	tests := []struct{ name, before string }{
		{"response to the earlier request", extra},
		{"two responses to the earlier request", extra + extra},
		{"refusal of the earlier request", refusal("r1")},
		{
			"chunked response with a trailer",
			oldHead + "Transfer-Encoding: chunked\r\nTrailer: Note\r\n\r\n5\r\nextra\r\n0\r\nNote: a\r\n\r\n",
		},
		{"response to the earlier request that closes the connection", oldHead + "Connection: close\r\nContent-Length: 5\r\n\r\nextra"},
		{"response without a body", strings.Replace(oldHead, "200 OK", "204 No Content", 1) + "\r\n"},
		{"response that isn't modified", strings.Replace(oldHead, "200 OK", "304 Not Modified", 1) + "Content-Length: 5\r\n\r\n"},
		{"HTTP/1.0 response", strings.Replace(oldHead, "1.1", "1.0", 1) + "Content-Length: 5\r\n\r\nextra"},
		{"interim response 100", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"interim response 102", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"interim response 103", earlyHints + earlyHints},
		{"interim response with the earlier id", "HTTP/1.1 103 Early Hints\r\n" + headerID + ": r1\r\n\r\n"},
		{"empty line", "\r\n"},
		{"empty lines", "\r\n\r\n\n"},
		{"empty line before a response to the earlier request", "\r\n" + extra},
		{"empty line after a response to the earlier request", extra + "\r\n"},
		{"text", "late text"},
		{"lines of text", "late\r\ntext\r\n\r\n"},
		{"rest of a response", "tra"},
		{"body after the response to the earlier request", extra + "more"},
	}
	for _, test := range tests {
		for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s/%v", test.name, pause), func(t *testing.T) {
				t.Parallel()
				u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, number int64) {
					if number == 2 {
						_, _ = io.WriteString(conn, test.before)
						time.Sleep(pause)
					}
					_, _ = io.WriteString(conn, ok(id, id))
				})
				g := start(t, u)
				testWhole(t, g, "r1")
				testWhole(t, g, "r2")
				testWhole(t, g, "r3")
			})
		}
	}
}

// TestBytesInPlaceOfResponse guards against waiting for a response until the deadline after the upstream has sent something else in its
// place, if the request may be repeated, and against taking such bytes for a part of a response. Nothing tells the response to a request
// from a malformed one, or from the body of a response to an earlier request that ends with the connection.
func TestBytesInPlaceOfResponse(t *testing.T) {
	tests := []struct {
		name, sent string
		kind       routing.Kind
		want       code.Code
		// took is the longest time that the failure may take.
		took time.Duration
	}{
		{"text", "text", routing.Idempotent, code.UpstreamFailed, 900 * time.Millisecond},
		{"lines of text", "text\r\n\r\n", routing.Idempotent, code.UpstreamFailed, 900 * time.Millisecond},
		{"lines of text", "text\r\n\r\n", routing.NonIdempotent, code.UpstreamTimeout, 2 * time.Second},
		{"beginning of a status line", "text HTTP", routing.Idempotent, code.UpstreamFailed, 900 * time.Millisecond},
		{"malformed status line", "HTTP/ 200 OK\r\n\r\n", routing.NonIdempotent, code.UpstreamFailed, 900 * time.Millisecond},
		{"malformed header", "HTTP/1.1 200 OK\r\nbad header\r\n\r\n", routing.NonIdempotent, code.UpstreamFailed, 900 * time.Millisecond},
		{"endless text", strings.Repeat("text\r\n", 64<<10), routing.NonIdempotent, code.UpstreamFailed, 900 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name+"/"+test.kind.String(), func(t *testing.T) {
			t.Parallel()
			u := newRawUpstream(t, func(conn net.Conn, r *http.Request, id string, number int64) {
				_, _ = io.Copy(io.Discard, r.Body)
				if number == 2 {
					_, _ = io.WriteString(conn, test.sent)
					_, _ = conn.Read(make([]byte, 1))
					return
				}
				_, _ = io.WriteString(conn, ok(id, id))
			})
			g := start(t, u)
			testWhole(t, g, "r1")
			begun := time.Now()
			_, err := g.Do(t.Context(), request("r2", test.kind))
			if got := failureOf(t, err); got != test.want || time.Since(begun) > test.took {
				t.Errorf("%v after %v, want %s within %v", err, time.Since(begun), test.want, test.took)
			}
			testWhole(t, g, "r3")
			if u.conns.Load() != 2 {
				t.Errorf("%d connections, want 2", u.conns.Load())
			}
		})
	}
}

// TestRunningRequestGoesOn guards against ending a request at which the upstream is at work because of something else that happens at the
// gateway.
func TestRunningRequestGoesOn(t *testing.T) {
	nextRun := gateway.UpstreamRun{ID: "upstream-2", Started: 2000}
	registered := func(r gateway.Registration) func(*testing.T, *gateway.Gateway, *rawUpstream) {
		return func(t *testing.T, g *gateway.Gateway, u *rawUpstream) {
			t.Helper()
			register(t, g, u, r)
		}
	}
	tests := []struct {
		name string
		do   func(t *testing.T, g *gateway.Gateway, u *rawUpstream)
	}{
		{"a new run registers", registered(gateway.Registration{UpstreamRun: nextRun, Slots: 2, Sequence: 1})},
		{"a new run has fewer slots", registered(gateway.Registration{UpstreamRun: nextRun, Slots: 1, Sequence: 1})},
		{"the upstream leaves", registered(gateway.Registration{Slots: 2, Sequence: 2, Leaving: true})},
		{"the upstream deregisters", func(_ *testing.T, g *gateway.Gateway, _ *rawUpstream) {
			g.Deregister(gateway.UpstreamRun{ID: "upstream-1"})
		}},
		{"the gateway is closed", func(_ *testing.T, g *gateway.Gateway, _ *rawUpstream) { g.Close() }},
		{"another instance's upstream crashes", func(_ *testing.T, g *gateway.Gateway, _ *rawUpstream) { g.RecordCrash([]uint64{1}) }},
		{"a control request fails", func(t *testing.T, g *gateway.Gateway, _ *rawUpstream) {
			t.Helper()
			if _, _, err := sendControl(t, g, "/fail"); err == nil {
				t.Error("the control request got a response")
			}
		}},
		{"the upstream refuses connections", func(t *testing.T, g *gateway.Gateway, u *rawUpstream) {
			t.Helper()
			_ = u.listener.Close()
			if _, _, err := sendControl(t, g, "/grant"); err == nil {
				t.Error("the control request got a response")
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			begun, release := make(chan struct{}, 2), make(chan struct{})
			u := newRawUpstream(t, func(conn net.Conn, r *http.Request, id string, _ int64) {
				if r.URL.Path == "/fail" {
					_ = conn.Close()
					return
				}
				if id != "before" {
					begun <- struct{}{}
					<-release
				}
				_, _ = io.WriteString(conn, ok(id, id))
			})
			g := start(t, u)
			testWhole(t, g, "before")
			errs := make(chan error, 2)
			for _, id := range []string{"r1", "r2"} {
				u.group.Go(func() {
					_, err := g.Do(t.Context(), patient(id, routing.NonIdempotent))
					errs <- err
				})
				<-begun
			}
			test.do(t, g, u)
			time.Sleep(50 * time.Millisecond)
			close(release)
			for range 2 {
				if err := <-errs; err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// TestHead guards against reading the response to a GET request, which is written once more, as that to a HEAD request, or the reverse: one
// has a body, and the other looks as if it had.
func TestHead(t *testing.T) {
	const get, head = http.MethodGet, http.MethodHead
	for _, methods := range [][2]string{{get, head}, {head, get}, {head, head}} {
		t.Run(methods[0]+" "+methods[1], func(t *testing.T) {
			var responses lastResponses
			u := newRawUpstream(t, func(conn net.Conn, r *http.Request, id string, _ int64) {
				response := ok(id, "body")
				if r.Method == head {
					response = strings.TrimSuffix(response, "body")
				}
				_, _ = io.WriteString(conn, responses.swap(conn, response))
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(conn, response)
			})
			g := start(t, u)
			for n, method := range methods {
				r := request(fmt.Sprint("r", n), routing.Idempotent)
				r.Method = method
				response, err := g.Do(t.Context(), r)
				if err != nil {
					t.Fatalf("%s: %v", method, err)
				}
				if want := map[string]string{get: "body"}[method]; string(response.Body) != want {
					t.Errorf("%s: body %q, want %q", method, response.Body, want)
				}
			}
		})
	}
}
