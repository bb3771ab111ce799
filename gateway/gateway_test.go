package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/routing"
)

// TestResponses guards against passing on responses that are incomplete or belong to another request, and against reporting "not
// run" for a request that may have run.
func TestResponses(t *testing.T) {
	write := func(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }
	tests := []struct {
		name    string
		respond func(conn net.Conn, r *http.Request, id string, number int64)
		want    code.Code
		body    string
	}{
		{"complete", func(conn net.Conn, _ *http.Request, id string, _ int64) { write(conn, ok(id, "hello")) }, 0, "hello"},
		{"chunked", func(conn net.Conn, _ *http.Request, id string, _ int64) {
			write(conn, "HTTP/1.1 200 OK\r\n"+headerID+": "+id+"\r\n"+headerGenuine+": m\r\n"+
				"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
		}, 0, "hello"},
		{"ends with the connection", func(conn net.Conn, _ *http.Request, id string, _ int64) {
			write(conn, "HTTP/1.1 200 OK\r\n"+headerID+": "+id+"\r\n"+headerGenuine+": m\r\n\r\nhello")
			_ = conn.Close()
		}, 0, "hello"},
		{"interim response", func(conn net.Conn, _ *http.Request, id string, _ int64) {
			write(conn, "HTTP/1.1 103 Early Hints\r\n\r\n"+ok(id, "hello"))
		}, 0, "hello"},
		{"response to an earlier request first", func(conn net.Conn, _ *http.Request, id string, _ int64) {
			write(conn, ok("earlier", "other")+ok(id, "hello"))
		}, 0, "hello"},
		{"truncated", func(conn net.Conn, _ *http.Request, id string, _ int64) {
			write(conn, strings.TrimSuffix(ok(id, "hello"), "lo"))
			_ = conn.Close()
		}, code.UpstreamFailed, ""},
		{"no response", func(conn net.Conn, _ *http.Request, _ string, _ int64) { _ = conn.Close() }, code.UpstreamFailed, ""},
		{"not HTTP", func(conn net.Conn, _ *http.Request, _ string, _ int64) {
			write(conn, "garbage\r\n\r\n")
		}, code.UpstreamFailed, ""},
		{"not genuine", func(conn net.Conn, _ *http.Request, id string, _ int64) {
			write(conn, strings.Replace(ok(id, "hello"), headerGenuine, "Other", 1))
		}, code.WrongAnswer, ""},
		{"refused as not run", func(conn net.Conn, _ *http.Request, id string, _ int64) {
			write(conn, "HTTP/1.1 503 Full\r\n"+headerID+": "+id+"\r\n"+headerNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
		}, code.Shed, ""},
		{"another upstream", func(conn net.Conn, _ *http.Request, id string, _ int64) {
			write(conn, "HTTP/1.1 421 Misdirected\r\n"+headerID+": "+id+"\r\nContent-Length: 0\r\n\r\n")
		}, code.NotOwner, ""},
	}
	for _, test := range tests {
		for _, kind := range []routing.Kind{routing.Idempotent, routing.NonIdempotent} {
			t.Run(test.name+"/"+kind.String(), func(t *testing.T) {
				u := newRawUpstream(t, test.respond)
				g := start(t, u)
				response, err := g.Do(t.Context(), request("r1", kind))
				if got := failureOf(t, err); got != test.want {
					t.Fatalf("failure %v, want %s", err, test.want)
				}
				if err == nil && string(response.Body) != test.body {
					t.Errorf("body %q, want %q", response.Body, test.body)
				}
				if u.requests.Load() != 1 {
					t.Errorf("the request arrived %d times", u.requests.Load())
				}
			})
		}
	}
}

// TestExtraBytesEndConnection guards against extra bytes after a response that are read as the response to the next request.
func TestExtraBytesEndConnection(t *testing.T) {
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, number int64) {
		text := ok(id, fmt.Sprint(number))
		if number == 1 {
			text += "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"
		}
		_, _ = io.WriteString(conn, text)
	})
	g := start(t, u)
	for n := range 3 {
		response, err := g.Do(t.Context(), request(fmt.Sprint("r", n), routing.NonIdempotent))
		if err != nil || string(response.Body) != fmt.Sprint(n+1) {
			t.Fatalf("request %d: %v", n, err)
		}
	}
}

// TestEarlyResponse guards against reusing a connection whose response arrived before the long body of the request was completely
// sent: the upstream would read the rest of the body as the next request.
func TestEarlyResponse(t *testing.T) {
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, number int64) {
		if number == 1 {
			_, _ = io.WriteString(conn, ok(id, "early"))
			time.Sleep(200 * time.Millisecond)
			return
		}
		_, _ = io.WriteString(conn, ok(id, "second"))
	})
	g := start(t, u)
	long := request("r1", routing.Upload)
	long.Body = make([]byte, 32<<20)
	response, err := g.Do(t.Context(), long)
	if err != nil || string(response.Body) != "early" {
		t.Fatalf("response %v, error %v", response, err)
	}
	response, err = g.Do(t.Context(), request("r2", routing.NonIdempotent))
	if err != nil || string(response.Body) != "second" {
		t.Fatalf("response %v, error %v", response, err)
	}
	if u.conns.Load() < 2 {
		t.Error("the connection of the early response was reused")
	}
}

// TestNoResponse guards against a request that waits beyond its deadline, and against the reuse of its connection.
func TestNoResponse(t *testing.T) {
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, number int64) {
		if number > 1 {
			_, _ = io.WriteString(conn, ok(id, "hello"))
		}
	})
	g := start(t, u)
	r := request("r1", routing.NonIdempotent)
	r.Deadline = time.Now().Add(200 * time.Millisecond)
	started := time.Now()
	_, err := g.Do(t.Context(), r)
	if got := failureOf(t, err); got != code.UpstreamTimeout || time.Since(started) > 400*time.Millisecond {
		t.Errorf("failure %v after %v", err, time.Since(started))
	}
	if _, err := g.Do(t.Context(), request("r2", routing.NonIdempotent)); err != nil {
		t.Errorf("the next request: %v", err)
	}
	if u.conns.Load() != 2 {
		t.Errorf("%d connections, want a new one after the timeout", u.conns.Load())
	}
}

// TestCallerDisconnects guards against work for callers that have disconnected: the gateway must reset the connection to the upstream.
// After a regular close, a lost packet is still retransmitted: requests have reached an upstream 0.8 s after their callers had left.
func TestCallerDisconnects(t *testing.T) {
	closed := make(chan error, 1)
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, _ string, _ int64) {
		// No further data is sent, so the read returns only when the connection ends.
		_, err := conn.Read(make([]byte, 1))
		closed <- err
	})
	g := start(t, u)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := g.Do(ctx, request("r1", routing.Idempotent))
	if got := failureOf(t, err); got != code.CallerGone {
		t.Errorf("failure %v", err)
	}
	select {
	case err := <-closed:
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the connection ended with %v, want a reset", err)
		}
	case <-time.After(time.Second):
		t.Error("the connection is still open")
	}
}

// TestInterrupted guards against requests that are reported as abandoned by their callers when the process ends, and against running ones
// that are reported as not run.
func TestInterrupted(t *testing.T) {
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, _ string, _ int64) { _, _ = conn.Read(make([]byte, 1)) })
	g := start(t, u)
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	// The upstream has two slots.
	var group errgroup.Group
	results := make(chan code.Code, 3)
	for n := range cap(results) {
		r := request(strconv.Itoa(n), routing.NonIdempotent)
		r.Objective, r.Deadline = time.Now().Add(5*time.Second), time.Now().Add(5*time.Second)
		group.Go(func() error {
			_, err := g.Do(ctx, r)
			results <- failureOf(t, err)
			return nil
		})
	}
	time.Sleep(100 * time.Millisecond)
	cancel(gateway.ErrStopping)
	_ = group.Wait()
	close(results)
	counts := make(map[code.Code]int)
	for c := range results {
		counts[c]++
	}
	if counts[code.Interrupted] != 2 || counts[code.Draining] != 1 {
		t.Errorf("results %v", counts)
	}
}

// TestRefusedConnection guards against reporting "may have run" for a request whose connection was refused, and against further
// requests to an upstream that is down.
func TestRefusedConnection(t *testing.T) {
	u := newRawUpstream(t, nil)
	changes := atomic.Int32{}
	g := start(t, u, gateway.WithOnChange(func() { changes.Add(1) }))
	_ = u.listener.Close()
	for range 2 {
		_, err := g.Do(t.Context(), request("r1", routing.NonIdempotent))
		var f *gateway.Failure
		if !errors.As(err, &f) || !f.NotRun() || f.RetryAfter == 0 {
			t.Errorf("failure %v", err)
		}
	}
	if !g.State().Down || g.State().Usable() || changes.Load() != 2 {
		t.Errorf("state %+v after %d changes", g.State(), changes.Load())
	}
	register(t, g, u, gateway.Registration{UpstreamRun: gateway.UpstreamRun{ID: "upstream-2", Started: 2000}, Slots: 2, Sequence: 1})
	if g.State().Down {
		t.Error("the upstream is down after the registration of a new run")
	}
}

// TestRegistrations guards against heartbeats that change the upstream's state although they are outdated or from another service.
func TestRegistrations(t *testing.T) {
	run := gateway.UpstreamRun{ID: "upstream-1", Started: 1000}
	tests := []struct {
		name      string
		heartbeat gateway.Registration
		after     gateway.State
	}{
		{
			"newer sequence leaves",
			gateway.Registration{UpstreamRun: run, Slots: 2, Sequence: 2, Leaving: true},
			gateway.State{Registration: gateway.Registration{UpstreamRun: run, Sequence: 2}, Leaving: true},
		},
		{
			"older sequence",
			gateway.Registration{UpstreamRun: run, Slots: 2, Sequence: 1, Leaving: true},
			gateway.State{Registration: gateway.Registration{UpstreamRun: run, Sequence: 1}},
		},
		{
			"an earlier run",
			gateway.Registration{UpstreamRun: gateway.UpstreamRun{ID: "upstream-0", Started: 900}, Slots: 2, Sequence: 9},
			gateway.State{Registration: gateway.Registration{UpstreamRun: run, Sequence: 1}},
		},
		{
			"the same id started again",
			gateway.Registration{UpstreamRun: gateway.UpstreamRun{ID: "upstream-1", Started: 1500}, Slots: 2, Sequence: 1},
			gateway.State{
				Registration: gateway.Registration{UpstreamRun: gateway.UpstreamRun{ID: "upstream-1", Started: 1500}, Sequence: 1},
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			u := newRawUpstream(t, nil)
			g := start(t, u)
			register(t, g, u, test.heartbeat)
			got := g.State()
			if got.UpstreamRun != test.after.UpstreamRun || got.Sequence != test.after.Sequence || got.Leaving != test.after.Leaving {
				t.Errorf("state %+v, want %+v", got, test.after)
			}
		})
	}
	u := newRawUpstream(t, nil)
	g := start(t, u)
	otherService := gateway.Registration{UpstreamRun: run, Service: "other", Address: u.listener.Addr().String(), Slots: 2, Sequence: 5}
	if err := g.Register(otherService); err == nil {
		t.Error("a heartbeat of another service was accepted")
	}
}

// TestEndedRunIsIgnored guards against a delayed heartbeat of a run that has been replaced.
func TestEndedRunIsIgnored(t *testing.T) {
	u := newRawUpstream(t, nil)
	g := start(t, u)
	second := gateway.UpstreamRun{ID: "upstream-2", Started: 2000}
	register(t, g, u, gateway.Registration{UpstreamRun: second, Slots: 2, Sequence: 1})
	register(t, g, u, gateway.Registration{Slots: 2, Sequence: 7})
	if g.State().UpstreamRun != second {
		t.Errorf("state %+v", g.State())
	}
}

// TestAssumedUpstream guards against a new run when the first heartbeat confirms the assumed one, and against an assumed run that
// remains after a heartbeat of another run.
func TestAssumedUpstream(t *testing.T) {
	tests := []struct {
		name      string
		assumed   gateway.UpstreamRun
		heartbeat gateway.UpstreamRun
		same      bool
	}{
		{"confirmed", gateway.UpstreamRun{ID: "a", Started: 5}, gateway.UpstreamRun{ID: "a", Started: 5}, true},
		{"start time unknown", gateway.UpstreamRun{ID: "a"}, gateway.UpstreamRun{ID: "a", Started: 5}, true},
		{"upstream restarted", gateway.UpstreamRun{ID: "a", Started: 5}, gateway.UpstreamRun{ID: "a", Started: 6}, false},
		{"another upstream", gateway.UpstreamRun{ID: "a"}, gateway.UpstreamRun{ID: "b", Started: 6}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			u := newRawUpstream(t, nil)
			group, _ := errgroup.WithContext(t.Context())
			g := gateway.New(group, "bookings", u.listener.Addr().String(), testProtocol{})
			g.Assume(gateway.Registration{UpstreamRun: test.assumed, Slots: 3})
			before := g.State().UpstreamRun
			register(t, g, u, gateway.Registration{UpstreamRun: test.heartbeat, Slots: 3, Sequence: 4})
			if g.State().UpstreamRun != test.heartbeat || before.Same(g.State().UpstreamRun) != test.same {
				t.Errorf("run %s after %s", g.State().UpstreamRun, before)
			}
		})
	}
}

// TestDrainLimit guards against requests that reach a leaving upstream after the drain limit.
func TestDrainLimit(t *testing.T) {
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, _ int64) { _, _ = io.WriteString(conn, ok(id, "")) })
	g := start(t, u, gateway.WithDrainLimit(700*time.Millisecond))
	g.Deregister(gateway.UpstreamRun{ID: "upstream-1"})
	if _, err := g.Do(t.Context(), request("r1", routing.Idempotent)); err != nil {
		t.Errorf("refused at once: %v", err)
	}
	time.Sleep(250 * time.Millisecond)
	_, err := g.Do(t.Context(), request("r2", routing.Idempotent))
	if got := failureOf(t, err); got != code.Draining {
		t.Errorf("failure %v", err)
	}
}

// TestHeartbeatAfterDeregistration guards against requests to an upstream that has deregistered while no run was known, as after a
// restart of the process, because a heartbeat from before arrives late. It also guards against a later run that counts as the one that
// has left.
func TestHeartbeatAfterDeregistration(t *testing.T) {
	left, unknown := gateway.UpstreamRun{ID: "a", Started: 5}, gateway.UpstreamRun{ID: "a"}
	register := func(run gateway.UpstreamRun) func(g *gateway.Gateway, address string) {
		return func(g *gateway.Gateway, address string) {
			n := gateway.Registration{UpstreamRun: run, Service: "bookings", Address: address, Slots: 2, Sequence: 3}
			if err := g.Register(n); err != nil {
				t.Error(err)
			}
		}
	}
	deregister := func(run gateway.UpstreamRun) func(g *gateway.Gateway, address string) {
		return func(g *gateway.Gateway, _ string) { g.Deregister(run) }
	}
	assume := func(run gateway.UpstreamRun) func(g *gateway.Gateway, address string) {
		return func(g *gateway.Gateway, _ string) { g.Assume(gateway.Registration{UpstreamRun: run, Slots: 2}) }
	}
	later := gateway.UpstreamRun{ID: "a", Started: time.Now().Add(time.Hour).UnixMilli()}
	tests := []struct {
		name  string
		steps []func(g *gateway.Gateway, address string)
		want  bool
	}{
		{"late heartbeat", []func(*gateway.Gateway, string){deregister(left), register(left)}, false},
		{"start time unknown", []func(*gateway.Gateway, string){deregister(unknown), register(left)}, false},
		{"assumed later", []func(*gateway.Gateway, string){deregister(left), assume(left)}, false},
		{"assumed later without a start time", []func(*gateway.Gateway, string){deregister(left), assume(unknown)}, false},
		{"assumed before", []func(*gateway.Gateway, string){assume(unknown), deregister(left), register(left)}, false},
		{"an earlier run is known", []func(*gateway.Gateway, string){
			register(gateway.UpstreamRun{ID: "b", Started: 4}), deregister(left), register(left),
		}, false},
		{"repeated", []func(*gateway.Gateway, string){deregister(left), register(left), deregister(left), register(left)}, false},
		{"later run", []func(*gateway.Gateway, string){deregister(left), register(later)}, true},
		{"later run, start time unknown", []func(*gateway.Gateway, string){deregister(unknown), register(later)}, true},
		{"later run after the late heartbeat", []func(*gateway.Gateway, string){deregister(left), register(left), register(later)}, true},
		{"later run, one without a start time is assumed", []func(*gateway.Gateway, string){
			deregister(unknown), assume(unknown), register(later),
		}, true},
		{"the clock was set back after the start", []func(*gateway.Gateway, string){register(later), deregister(unknown)}, false},
		{"late deregistration", []func(*gateway.Gateway, string){register(later), deregister(left)}, true},
		{"another upstream", []func(*gateway.Gateway, string){deregister(gateway.UpstreamRun{ID: "b"}), register(left)}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			group, _ := errgroup.WithContext(t.Context())
			g := gateway.New(group, "bookings", "127.0.0.1:9", testProtocol{})
			for _, step := range test.steps {
				step(g, "127.0.0.1:9")
			}
			if state := g.State(); state.Usable() != test.want || !state.Known {
				t.Errorf("state %+v, want usable %v", state, test.want)
			}
		})
	}
}

// TestClose guards against requests that start after the gateway was closed.
func TestClose(t *testing.T) {
	u := newRawUpstream(t, nil)
	g := start(t, u)
	g.Close()
	_, err := g.Do(t.Context(), request("r1", routing.Idempotent))
	if got := failureOf(t, err); got != code.Draining || u.requests.Load() != 0 {
		t.Errorf("failure %v, %d requests", err, u.requests.Load())
	}
}

// TestBodyOfRefusedRequest guards against fetching the bodies of requests that are refused.
func TestBodyOfRefusedRequest(t *testing.T) {
	release := make(chan struct{})
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, _ int64) {
		<-release
		_, _ = io.WriteString(conn, ok(id, ""))
	})
	g := start(t, u)
	var group sync.WaitGroup
	for n := range 2 {
		group.Go(func() { _, _ = g.Do(t.Context(), request(fmt.Sprint("r", n), routing.NonIdempotent)) })
	}
	for g.Load().Running < 2 {
		time.Sleep(time.Millisecond)
	}
	read := false
	r := request("late", routing.Upload)
	r.Body, r.Objective = nil, time.Now().Add(time.Millisecond)
	r.ReadBody = func() ([]byte, error) {
		read = true
		return []byte("body"), nil
	}
	_, err := g.Do(t.Context(), r)
	if got := failureOf(t, err); got != code.Shed || read {
		t.Errorf("failure %v, body read %v", err, read)
	}
	close(release)
	group.Wait()
}

// TestSlotsFreeDuringTransfer guards against slots that are held, but unused, while bodies are being transferred.
func TestSlotsFreeDuringTransfer(t *testing.T) {
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, _ int64) { _, _ = io.WriteString(conn, ok(id, "")) })
	g := start(t, u)
	arrive := make(chan struct{})
	var group sync.WaitGroup
	var transferring atomic.Int32
	for n := range 2 {
		group.Go(func() {
			r := request(fmt.Sprint("upload", n), routing.Upload)
			r.Body = nil
			r.ReadBody = func() ([]byte, error) {
				transferring.Add(1)
				<-arrive
				return []byte("body"), nil
			}
			if response, err := g.Do(t.Context(), r); err != nil || response.Status != http.StatusOK {
				t.Errorf("response %v, error %v", response, err)
			}
		})
	}
	for transferring.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	if _, err := g.Do(t.Context(), request("short", routing.Idempotent)); err != nil {
		t.Error(err)
	}
	if running := g.Load().Running; running != 0 {
		t.Errorf("%d slots in use", running)
	}
	close(arrive)
	group.Wait()
}

// TestPressureOfCallers guards against a low pressure while nested requests, which are admitted first, displace most others: if
// they are the majority, the refused share of all requests is low although nearly all other requests are refused.
func TestPressureOfCallers(t *testing.T) {
	var release atomic.Pointer[chan struct{}]
	u := newRawUpstream(t, func(conn net.Conn, r *http.Request, id string, _ int64) {
		if r.URL.Path == "/slow" {
			<-*release.Load()
		}
		_, _ = io.WriteString(conn, ok(id, ""))
	})
	g := start(t, u)
	call := func(target string) {
		r := request("call"+strconv.FormatInt(rand.Int64(), 36), routing.Idempotent)
		r.Nested, r.Target = true, target
		if _, err := g.Do(t.Context(), r); err != nil {
			t.Error(err)
		}
	}
	for round := range 6 {
		var running, refused sync.WaitGroup
		held := make(chan struct{})
		release.Store(&held)
		for range g.Load().Slots {
			running.Go(func() { call("/slow") })
		}
		for g.Load().Running < g.Load().Slots {
			time.Sleep(time.Millisecond)
		}
		for n := range 6 {
			refused.Go(func() {
				r := request(fmt.Sprint("caller", round, "-", n), routing.Idempotent)
				r.Deadline = time.Now().Add(100 * time.Millisecond)
				if _, err := g.Do(t.Context(), r); failureOf(t, err) != code.Shed {
					t.Errorf("a request without a slot ended with %v", err)
				}
			})
		}
		refused.Wait()
		close(held)
		running.Wait()
		for range 40 {
			call("/fast")
		}
	}
	if pressure := g.Load().Pressure; pressure < 0.5 {
		t.Errorf("pressure %.2f while all requests that aren't nested are refused", pressure)
	}
}

// TestCrashingRequest guards against a crash whose interrupted requests aren't reported, which lets a request crash one upstream
// after another.
func TestCrashingRequest(t *testing.T) {
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, _ string, _ int64) { _ = conn.Close() })
	var reported atomic.Int32
	g := start(t, u, gateway.WithOnCrash(func(fingerprints []uint64) { reported.Add(int32(len(fingerprints))) }))
	_, err := g.Do(t.Context(), request("r1", routing.Idempotent))
	if got := failureOf(t, err); got != code.UpstreamFailed {
		t.Fatalf("failure %v", err)
	}
	_ = u.listener.Close()
	if _, err := g.Do(t.Context(), request("r2", routing.NonIdempotent)); err == nil || reported.Load() != 1 {
		t.Errorf("error %v, %d requests reported", err, reported.Load())
	}
}

// TestThrottledRequestsAreNoPressure guards against throttling that spreads from service to service: an upstream whose slots are free, but
// which refuses requests because of a service that it calls, seemed to be full to the services that call it, and these refused theirs too.
func TestThrottledRequestsAreNoPressure(t *testing.T) {
	held := make(chan struct{})
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, _ int64) {
		<-held
		_, _ = io.WriteString(conn, ok(id, ""))
	})
	g := start(t, u)
	var running sync.WaitGroup
	defer running.Wait()
	defer close(held)
	running.Go(func() {
		r := request("running", routing.Idempotent)
		r.Deadline = r.Deadline.Add(time.Minute)
		if _, err := g.Do(t.Context(), r); err != nil {
			t.Error(err)
		}
	})
	for g.Load().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	full := gateway.Load{Slots: 4, Room: []float64{0}}
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		g.ObserveNestedCall(&gateway.Request{ParentRoute: request("", routing.Idempotent).Route, Service: "called"}, full)
	}
	refused := 0
	for n := range 60 {
		r := request(fmt.Sprint("call", n), routing.Idempotent)
		r.Deadline = time.Now().Add(50 * time.Millisecond)
		if _, err := g.Do(t.Context(), r); failureOf(t, err) == code.Shed {
			refused++
		}
		if g.Load().Running == g.Load().Slots {
			break
		}
	}
	if refused == 0 {
		t.Fatal("no request was refused although the called service has room for none")
	}
	if load := g.Load(); load.Pressure > 0 {
		t.Errorf("pressure %.2f with %d of %d slots in use", load.Pressure, load.Running, load.Slots)
	}
}
