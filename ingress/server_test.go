package ingress_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sapphiretray/bubble"
	"sapphiretray/code"
	"sapphiretray/forward"
	"sapphiretray/gateway"
	"sapphiretray/ingress"
	"sapphiretray/policy"
	"sapphiretray/routing"
	"sapphiretray/wait"
)

const (
	objective = 400 * time.Millisecond
	timeout   = time.Second
)

// deployment is a fake of the directory, the local upstream and the other instances. Of its three instances, a is under test.
type deployment struct {
	mu      sync.Mutex
	owner   string
	changed chan struct{}
	// outcomes holds the outcomes of the requests to each instance's slot in order; the last one is repeated.
	outcomes map[string][]outcome
	// requested holds the slots that requests were sent to, in order.
	requested []string
	// running is the id of the request that the local upstream is running.
	running string
	// stopping is set while the instance is stopping.
	stopping atomic.Bool
	// marked holds the slots of the instances that were marked as leaving or unreachable and are no targets any more. If it is nil, all
	// instances stay targets.
	marked map[string]bool
	// evacuated is set while no data centre may serve requests.
	evacuated bool
	// group runs the goroutines of pending requests.
	group sync.WaitGroup
}

// outcome is a response with a status, or a failure.
type outcome struct {
	status  int
	failure gateway.Failure
	// pending is the outcome that comes after the failure, if any.
	pending *outcome
	// endless is set if the request runs until its context ends.
	endless bool
	// run is called while the request runs, if it isn't nil.
	run func()
	// after is how long another instance takes.
	after time.Duration
}

func newDeployment(owner string, outcomes map[string][]outcome) *deployment {
	return &deployment{owner: owner, changed: make(chan struct{}), outcomes: outcomes}
}

// respond returns the next outcome of a request to a slot.
func (d *deployment) respond(ctx context.Context, slot string) (*gateway.Response, error) {
	return d.next(slot).await(ctx, slot)
}

// next records a request to a slot and returns its next outcome.
func (d *deployment) next(slot string) outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requested = append(d.requested, slot)
	left := d.outcomes[slot]
	if len(left) == 0 {
		return outcome{failure: gateway.Failure{Code: code.NotOwner, Reason: "no outcome is set for " + slot}}
	}
	if len(left) > 1 {
		d.outcomes[slot] = left[1:]
	}
	return left[0]
}

// await runs the request to its end and returns its result.
func (o outcome) await(ctx context.Context, slot string) (*gateway.Response, error) {
	if o.endless {
		<-ctx.Done()
	}
	if o.run != nil {
		o.run()
	}
	return o.result(slot)
}

// result returns the outcome as a response of the instance in a slot, or as a failure.
func (o outcome) result(slot string) (*gateway.Response, error) {
	if f := o.failure; f.Code != 0 {
		return nil, &f
	}
	return &gateway.Response{Status: o.status, Header: http.Header{"X-From": {slot}}, Body: []byte("from " + slot)}, nil
}

// order returns the slots that requests were sent to, separated by spaces.
func (d *deployment) order() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strings.Join(d.requested, " ")
}

func (d *deployment) setOwner(owner string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.owner = owner
	close(d.changed)
	d.changed = make(chan struct{})
}

func (*deployment) Self() string { return "a" }

func (d *deployment) Targets(string) []ingress.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	// The distance makes the order definite in which idle instances are chosen.
	targets := []ingress.Target{{Slot: "a"}, {Slot: "b", Address: "b"}, {Slot: "c", Address: "c", DataCentre: "far"}}
	return slices.DeleteFunc(targets, func(t ingress.Target) bool { return d.marked[t.Slot] })
}

func (d *deployment) Owner(string, uint16) (ingress.Target, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return ingress.Target{Slot: d.owner, Address: d.owner}, d.owner != ""
}

func (*deployment) Instance(slot string) (ingress.Target, bool) {
	return ingress.Target{Slot: slot, Address: slot}, true
}

func (d *deployment) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

func (d *deployment) MarkLeaving(slot string)     { d.mark(slot) }
func (d *deployment) MarkUnreachable(slot string) { d.mark(slot) }
func (d *deployment) Evacuated(string, int) bool  { return d.evacuated }

func (d *deployment) mark(slot string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.marked != nil {
		d.marked[slot] = true
	}
}

// upstream is the local upstream of a deployment.
type upstream struct{ *deployment }

func (u upstream) Do(ctx context.Context, r *gateway.Request) (*gateway.Response, error) {
	return u.respond(ctx, "a")
}

func (upstream) RouteLoad(string) gateway.Load { return gateway.Load{Slots: 4} }

func (u upstream) Running(id string) (gateway.Parent, bool) {
	return gateway.Parent{Route: "parent", Weight: 1}, id != "" && id == u.running
}

func (upstream) ObserveNestedCall(*gateway.Request, gateway.Load) {}

// remote forwards to the other instances of a deployment.
type remote struct{ *deployment }

func (r remote) Do(ctx context.Context, address string, _ *gateway.Request) (forward.Result, error) {
	next := r.next(address)
	response, err := next.await(ctx, address)
	if !wait.For(ctx, next.after) {
		return forward.Result{}, &gateway.Failure{Code: code.CallerGone}
	}
	result := forward.Result{Response: response}
	if next.pending != nil {
		result.Pending = r.newPending(ctx, address, *next.pending)
	}
	return result, err
}

// newPending returns a pending request with an outcome of the instance in a slot.
func (d *deployment) newPending(ctx context.Context, slot string, late outcome) *forward.Pending {
	end := time.Now().Add(late.after)
	await := func() (forward.Result, error) {
		if left := time.Until(end); left > 0 && !wait.For(ctx, left) {
			return forward.Result{}, &gateway.Failure{Code: code.CallerGone}
		}
		response, err := late.result(slot)
		return forward.Result{Response: response}, err
	}
	onResponse := func(f func(*gateway.Response)) {
		d.group.Go(func() {
			if result, err := await(); err == nil {
				f(result.Response)
			}
		})
	}
	return forward.NewPending(await, onResponse)
}

// headers is a protocol with one plain header for each field of a call.
type headers struct{}

var errNoID = errors.New("the request has no id")

func (headers) Parse(r *http.Request) (ingress.Call, error) {
	call := ingress.Call{ID: r.Header.Get("Id"), Key: gateway.NoKey}
	if call.ID == "" {
		return call, errNoID
	}
	if key, err := strconv.Atoi(r.Header.Get("Key")); err == nil {
		call.Key = key
	}
	if left, err := time.ParseDuration(r.Header.Get("Left")); err == nil {
		call.Left = left
	}
	return call, nil
}

// table returns a configuration with routes to a keyed service and a plain one.
func table(t *testing.T) *routing.Table {
	t.Helper()
	route := func(prefix, service string, kind routing.Kind) routing.Route {
		return routing.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: timeout, Objective: objective, MaxAttempts: 2,
			Shares: []routing.Share{{Service: service, Weight: 1}},
		}
	}
	table, err := routing.New(1, routing.Limits{MaxHeaderBytes: 200, MaxBodyBytes: 10},
		[]routing.Service{{Name: "keyed", Keyed: true}, {Name: "plain"}},
		[]routing.Route{
			route("/keyed/", "keyed", routing.Idempotent), route("/once/", "keyed", routing.NonIdempotent),
			route("/plain/", "plain", routing.Idempotent), route("/plain-once/", "plain", routing.NonIdempotent),
		})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func newServer(t *testing.T, d *deployment, table *routing.Table, options ...func(*ingress.Config)) *ingress.Server {
	t.Helper()
	config := ingress.Config{
		Protocol: headers{}, Routes: func() *routing.Table { return table }, Directory: d, Local: upstream{d}, Forwarder: remote{d},
		NewBudget: func() ingress.Budget { return &policy.RetryBudget{} },
		Service:   "keyed", Registerer: prometheus.NewRegistry(), Stopping: d.stopping.Load,
		Outdated: func() bool { return false },
	}
	for _, option := range options {
		option(&config)
	}
	return ingress.New(config)
}

// request returns a POST request with the id x1. header holds further names and values in turn.
func request(t *testing.T, path, body string, header ...string) *http.Request {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, bytes.NewBufferString(body))
	r.Host = "h"
	r.Header.Set("Id", "x1")
	for n := 0; n+1 < len(header); n += 2 {
		r.Header.Set(header[n], header[n+1])
	}
	return r
}

// TestRefusals guards against requests that reach an upstream although they are malformed, exceed a limit or match no route, and
// against temporary refusals without a Retry-After.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name       string
		request    *http.Request
		table      bool
		status     int
		retryAfter bool
	}{
		{"no configuration yet", request(t, "/keyed/", ""), false, 503, true},
		{"no id", request(t, "/keyed/", "", "Id", ""), true, 400, false},
		{"no route", request(t, "/other/", ""), true, 404, false},
		{"headers too large", request(t, "/keyed/", "", "Note", strings.Repeat("x", 200)), true, 431, false},
		{"body too large", request(t, "/keyed/", "eleven byte"), true, 413, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment("a", map[string][]outcome{"a": {{status: 200}}})
			var routes *routing.Table
			if test.table {
				routes = table(t)
			}
			w := httptest.NewRecorder()
			newServer(t, d, routes).ServeHTTP(w, test.request)
			if w.Code != test.status || d.order() != "" {
				t.Errorf("status %d, want %d; requests went to %q", w.Code, test.status, d.order())
			}
			if has := w.Header().Get("Retry-After") != ""; has != test.retryAfter {
				t.Errorf("Retry-After %q", w.Header().Get("Retry-After"))
			}
		})
	}
}

// TestEvacuated guards against requests that are sent, or wait until they time out, while no data centre that could serve them is open.
func TestEvacuated(t *testing.T) {
	for _, path := range []string{"/keyed/", "/plain/", "/once/"} {
		bubble.Test(t, func(t *testing.T) {
			d := newDeployment("a", map[string][]outcome{"a": {{status: 200}}})
			d.evacuated = true
			w, started := httptest.NewRecorder(), time.Now()
			newServer(t, d, table(t)).ServeHTTP(w, request(t, path, "", "Key", "7"))
			if w.Code != 503 || w.Header().Get("Retry-After") != "1.000" || d.order() != "" || time.Since(started) > 0 {
				t.Errorf("%s: status %d, Retry-After %q, requests went to %q, took %v", path, w.Code, w.Header().Get("Retry-After"),
					d.order(), time.Since(started))
			}
		})
	}
}

// TestOutdatedConfig guards against a 404, after which callers don't retry, for a route of a newer configuration that has not arrived yet.
func TestOutdatedConfig(t *testing.T) {
	d := newDeployment("a", map[string][]outcome{"a": {{status: 200}}})
	outdated := true
	server := newServer(t, d, table(t), func(c *ingress.Config) { c.Outdated = func() bool { return outdated } })
	tests := []struct {
		name, path string
		outdated   bool
		status     int
		retryAfter string
	}{
		{"no route, outdated", "/other/", true, 503, "0.200"},
		{"route, outdated", "/keyed/", true, 200, ""},
		{"no route, not outdated", "/other/", false, 404, ""},
	}
	for _, test := range tests {
		outdated = test.outdated
		w := httptest.NewRecorder()
		server.ServeHTTP(w, request(t, test.path, "", "Key", "7"))
		if retryAfter := w.Header().Get("Retry-After"); w.Code != test.status || retryAfter != test.retryAfter {
			t.Errorf("%s: status %d, want %d; Retry-After %q, want %q", test.name, w.Code, test.status, retryAfter, test.retryAfter)
		}
	}
}

// TestConfigChangesDuringMatch guards against a 404 from the old configuration when a newer one takes effect after the lookup of the
// route.
func TestConfigChangesDuringMatch(t *testing.T) {
	d := newDeployment("a", nil)
	server := newServer(t, d, nil, func(c *ingress.Config) { c.Routes = func() *routing.Table { return table(t) } })
	w := httptest.NewRecorder()
	server.ServeHTTP(w, request(t, "/other/", ""))
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", w.Code)
	}
}

// TestDispatch guards against requests that run more often than their route allows, and against reporting a request as not run after
// an attempt with an unknown outcome.
func TestDispatch(t *testing.T) {
	refused := outcome{failure: gateway.Failure{Code: code.UpstreamRefused, RetryAfter: time.Second}}
	shed := outcome{failure: gateway.Failure{Code: code.Shed, RetryAfter: time.Second}}
	shedByUpstream := outcome{failure: gateway.Failure{Code: code.Shed, Arrived: true}}
	lost := outcome{failure: gateway.Failure{Code: code.UpstreamFailed, Arrived: true}}
	slow := outcome{failure: gateway.Failure{Code: code.UpstreamTimeout, Arrived: true}}
	notOwner := outcome{failure: gateway.Failure{Code: code.NotOwner, OwnerSlot: "c"}}
	ok, failed := outcome{status: 200}, outcome{status: 500}
	tests := []struct {
		name, path string
		owner      string
		outcomes   map[string][]outcome
		requested  string
		status     int
	}{
		{"served by the owner", "/keyed/", "b", map[string][]outcome{"b": {ok}}, "b", 200},
		{"served by the local upstream", "/keyed/", "a", map[string][]outcome{"a": {ok}}, "a", 200},
		{"the former owner names the new one", "/once/", "b", map[string][]outcome{"b": {notOwner}, "c": {ok}}, "b c", 200},
		{"lost response of an idempotent request", "/keyed/", "b", map[string][]outcome{"b": {lost, ok}}, "b b", 200},
		{"lost response of a non-idempotent request", "/once/", "b", map[string][]outcome{"b": {lost, ok}}, "b", 502},
		{"refused after a lost response", "/keyed/", "b", map[string][]outcome{"b": {lost, shed}}, "b b", 502},
		{"refused by the upstream", "/once/", "b", map[string][]outcome{"b": {shedByUpstream, ok}}, "b b", 200},
		{"attempts of the route used up", "/keyed/", "b", map[string][]outcome{"b": {lost, lost, ok}}, "b b", 502},
		{"no retry after a timeout", "/keyed/", "b", map[string][]outcome{"b": {slow, ok}}, "b", 504},
		{"no instance replaces a full owner", "/keyed/", "b", map[string][]outcome{"b": {shed}}, "b", 503},
		{"upstream down, then back", "/once/", "b", map[string][]outcome{"b": {refused, ok}}, "b b", 200},
		{"without a key, refused, then served elsewhere", "/plain-once/", "", map[string][]outcome{"a": {shed}, "b": {ok}}, "a b", 200},
		{"without a key, all instances full", "/plain/", "", map[string][]outcome{"a": {shed}, "b": {shed}, "c": {shed}}, "a b c", 503},
		{
			"without a key, lost when the others were full", "/plain/", "",
			map[string][]outcome{"a": {shed}, "b": {shed, ok}, "c": {lost}},
			"a b c a b", 200,
		},
		{
			"without a key, lost, the others still full", "/plain/", "",
			map[string][]outcome{"a": {shed}, "b": {shed}, "c": {lost}},
			"a b c a b", 502,
		},
		{
			"without a key, lost when the others were full, not idempotent", "/plain-once/", "",
			map[string][]outcome{"a": {shed, ok}, "b": {shed}, "c": {lost}},
			"a b c", 502,
		},
		{"without a key, failed, then retried elsewhere", "/plain/", "", map[string][]outcome{"a": {failed}, "b": {ok}}, "a b", 200},
		{
			"without a key, failed, then refused elsewhere", "/plain/", "",
			map[string][]outcome{"a": {failed}, "b": {shed}, "c": {shed}},
			"a b c", 500,
		},
		{
			"without a key, failed, then lost elsewhere", "/plain/", "",
			map[string][]outcome{"a": {failed}, "b": {lost}},
			"a b", 500,
		},
		{"without a key, failed, then timed out elsewhere", "/plain/", "", map[string][]outcome{"a": {failed}, "b": {slow}}, "a b", 500},
		{"without a key, failed, not idempotent", "/plain-once/", "", map[string][]outcome{"a": {failed}}, "a", 500},
		{"with a key, failed", "/keyed/", "b", map[string][]outcome{"b": {failed}}, "b", 500},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				d := newDeployment(test.owner, test.outcomes)
				w := httptest.NewRecorder()
				newServer(t, d, table(t)).ServeHTTP(w, request(t, test.path, "body", "Key", "7", "Left", "1s"))
				if d.order() != test.requested || w.Code != test.status {
					t.Errorf("requests went to %q, want %q; status %d, want %d", d.order(), test.requested, w.Code, test.status)
				}
				if w.Code == http.StatusOK && w.Body.String() != "from "+w.Header().Get("X-From") {
					t.Errorf("body %q", w.Body)
				}
				if w.Code == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
					t.Error("no Retry-After")
				}
			})
		})
	}
}

// TestRetryBudget guards against upstreams that are flooded with retries while all of their responses are lost.
func TestRetryBudget(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		lost := outcome{failure: gateway.Failure{Code: code.UpstreamFailed, Arrived: true}}
		d := newDeployment("b", map[string][]outcome{"b": {lost}})
		server := newServer(t, d, table(t))
		const requests = 100
		for range requests {
			server.ServeHTTP(httptest.NewRecorder(), request(t, "/keyed/", "", "Key", "7"))
		}
		if retries := len(d.requested) - requests; retries < 1 || retries > requests/10 {
			t.Errorf("%d retries of %d requests, want at least one and at most a tenth", retries, requests)
		}
	})
}

// TestKeyWithoutOwner guards against failed requests while keys change owner under load: a request waits as long as it can still be
// served within its objective, and is refused as soon as it can't.
func TestKeyWithoutOwner(t *testing.T) {
	tests := []struct {
		name   string
		left   time.Duration
		after  time.Duration
		status int
	}{
		{"owner in time", timeout, objective / 4, 200},
		{"too late for the objective", timeout, objective * 3 / 4, 503},
		{"retry whose objective has passed", timeout / 2, objective / 4, 503},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				d := newDeployment("b", map[string][]outcome{"b": {{status: 200}}})
				server := newServer(t, d, table(t))
				// The first request sets the caller timeout that the server assumes for the route.
				server.ServeHTTP(httptest.NewRecorder(), request(t, "/keyed/", "", "Key", "7", "Left", timeout.String()))
				d.setOwner("")
				time.AfterFunc(test.after, func() { d.setOwner("b") })
				w := httptest.NewRecorder()
				server.ServeHTTP(w, request(t, "/keyed/", "", "Key", "7", "Left", test.left.String()))
				if w.Code != test.status {
					t.Errorf("status %d, want %d", w.Code, test.status)
				}
				time.Sleep(timeout)
			})
		})
	}
}

// TestBodyThatStops guards against callers that hold a request for ever by sending only part of its body, and against closing their
// connections without an answer: the request has not run, which status 408 promises.
func TestBodyThatStops(t *testing.T) {
	d := newDeployment("a", map[string][]outcome{"a": {{status: 200}}})
	server := httptest.NewServer(newServer(t, d, table(t)))
	defer server.Close()
	conn := dial(t, server)
	begun := time.Now()
	_, _ = io.WriteString(conn, "POST /keyed/ HTTP/1.1\r\nHost: h\r\nId: x1\r\nKey: 7\r\nLeft: 300ms\r\nContent-Length: 8\r\n\r\npart")
	_ = conn.SetReadDeadline(begun.Add(2 * timeout))
	if status := readStatus(t, conn); status != http.StatusRequestTimeout {
		t.Errorf("status %d, want 408", status)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v after %v", err, time.Since(begun))
	}
	if took := time.Since(begun); took > timeout {
		t.Errorf("ended after %v", took)
	}
	if d.order() != "" {
		t.Errorf("a request went to %q", d.order())
	}
}

// TestHalfClosedConnection guards against a missing answer for a caller that closes its sending side after its request and waits for the
// response. The server can't tell it from a caller that has left, so the request is cancelled.
func TestHalfClosedConnection(t *testing.T) {
	gone := outcome{failure: gateway.Failure{Code: code.CallerGone, Arrived: true}, endless: true}
	d := newDeployment("a", map[string][]outcome{"a": {gone}})
	server := httptest.NewServer(newServer(t, d, table(t)))
	defer server.Close()
	conn := dial(t, server)
	_, _ = io.WriteString(conn, "GET /keyed/ HTTP/1.1\r\nHost: h\r\nId: x1\r\nKey: 7\r\n\r\n")
	_ = conn.CloseWrite()
	if status := readStatus(t, conn); status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", status)
	}
}

// TestRefusalBeforeBody guards against refusals that the caller never gets, either because the server waits for the rest of a body that it
// doesn't need, or because the connection is reset while the caller is still sending. Connections whose body stops must end.
func TestRefusalBeforeBody(t *testing.T) {
	const large = 4 << 20
	tests := []struct {
		name, path string
		header     string
		length     int
		sent       int
		stopping   bool
		status     int
	}{
		{"no route, body stops", "/other/", "Id: x1\r\n", 1000, 10, false, 404},
		{"no route, body stops while stopping", "/other/", "Id: x1\r\n", 1000, 10, true, 404},
		{"no id, body stops", "/keyed/", "", 1000, 10, false, 400},
		{"no route, body complete", "/other/", "Id: x1\r\n", 1000, 1000, false, 404},
		{"no route, large body stops", "/other/", "Id: x1\r\n", large, large / 2, false, 404},
		{"no route, large body", "/other/", "Id: x1\r\n", large, large, false, 404},
		{"no route, large body while stopping", "/other/", "Id: x1\r\n", large, large, true, 404},
		{"body too large", "/keyed/", "Id: x1\r\nKey: 7\r\n", large, large, false, 413},
		{"body too large while stopping", "/keyed/", "Id: x1\r\nKey: 7\r\n", large, large, true, 413},
		{"body too large, stops", "/keyed/", "Id: x1\r\nKey: 7\r\n", 1000, 10, false, 408},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment("a", map[string][]outcome{"a": {{status: 200}}})
			d.stopping.Store(test.stopping)
			server := startTracked(t, ingress.NewConnections(noLimits, prometheus.NewRegistry()), newServer(t, d, table(t)))
			conn := dial(t, server)
			_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n", test.path, test.header, test.length)
			// Most callers send the whole body before they read the response.
			_, err := conn.Write(make([]byte, test.sent))
			_ = conn.SetReadDeadline(time.Now().Add(3 * timeout))
			if status := readStatus(t, conn); status != test.status {
				t.Errorf("status %d, want %d; the body was sent with error %v", status, test.status, err)
			}
			if test.sent < test.length {
				if _, err := conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
					t.Error("the connection is still open")
				}
			}
		})
	}
}

// TestCloseWhileStopping guards against callers that send another request on a connection that a stopping process is about to close,
// because the response to a request that arrived before the stop doesn't say so.
func TestCloseWhileStopping(t *testing.T) {
	tests := []struct {
		name    string
		outcome outcome
	}{
		{"served", outcome{status: 200}},
		{"failed", outcome{failure: gateway.Failure{Code: code.UpstreamTimeout, Arrived: true}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment("a", nil)
			test.outcome.run = func() { d.stopping.Store(true) }
			d.outcomes = map[string][]outcome{"a": {test.outcome}}
			w := httptest.NewRecorder()
			newServer(t, d, table(t)).ServeHTTP(w, request(t, "/keyed/", "", "Key", "7"))
			if connection := w.Header().Get("Connection"); connection != "close" {
				t.Errorf("Connection %q, want close", connection)
			}
		})
	}
}

// TestPanic guards against a defect in the handling of one request that ends the connection without an answer, and against parts of an
// upstream's response in the failure that replaces it.
func TestPanic(t *testing.T) {
	tests := []struct {
		name    string
		outcome outcome
	}{
		{"while the request runs", outcome{run: func() { panic("test") }}},
		{"because of a status that can't be sent", outcome{status: 42}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment("a", map[string][]outcome{"a": {test.outcome, {status: 200}}})
			registry := prometheus.NewRegistry()
			server := startTracked(t, ingress.NewConnections(noLimits, registry), newServer(t, d, table(t)))
			conn := dial(t, server)
			responses := bufio.NewReader(conn)
			for _, want := range []int{http.StatusBadGateway, http.StatusOK} {
				_, _ = io.WriteString(conn, "GET /keyed/ HTTP/1.1\r\nHost: h\r\nId: x1\r\nKey: 7\r\n\r\n")
				response, err := http.ReadResponse(responses, nil)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode != want || (response.Header.Get("X-From") != "") != (want == http.StatusOK) {
					t.Errorf("status %d, want %d; header %v", response.StatusCode, want, response.Header)
				}
			}
			if counts := unanswered(t, registry); len(counts) > 0 {
				t.Errorf("unanswered requests: %v", counts)
			}
		})
	}
}

// TestLoadAfterPanic guards against an instance that gets fewer requests for good, because a request whose handling panicked still counts
// as in flight there.
func TestLoadAfterPanic(t *testing.T) {
	// More requests than an upstream has slots.
	const panics = 8
	ok := outcome{status: 200}
	broken := append(slices.Repeat([]outcome{{run: func() { panic("test") }}}, panics), ok)
	tests := []struct {
		name, requested string
		outcomes        map[string][]outcome
		marked          map[string]bool
	}{
		{"at the local upstream", "a", map[string][]outcome{"a": broken, "b": {ok}, "c": {ok}}, nil},
		{"at another instance", "b", map[string][]outcome{"b": broken, "c": {ok}}, map[string]bool{"a": true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment("", test.outcomes)
			d.marked = test.marked
			server := newServer(t, d, table(t))
			for range panics + 1 {
				server.ServeHTTP(httptest.NewRecorder(), request(t, "/plain/", ""))
			}
			test.requested = strings.Repeat(test.requested+" ", panics) + test.requested
			if d.order() != test.requested {
				t.Errorf("requests went to %q, want %q", d.order(), test.requested)
			}
		})
	}
}
