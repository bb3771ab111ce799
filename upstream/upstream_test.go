package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphiretray/code"
	"sapphiretray/fake"
	"sapphiretray/member"
	"sapphiretray/upstream"
)

// start starts an upstream and returns it with a client once it responds.
func start(t *testing.T, options ...fake.UpstreamOption) (*fake.Upstream, *upstream.Client) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := fake.NewUpstream(options...)
	var group sync.WaitGroup
	group.Go(func() { _ = u.Serve(listener) })
	c := upstream.New(listener.Addr().String())
	t.Cleanup(func() {
		c.Close()
		u.Close()
		group.Wait()
	})
	for _, err := c.Probe(t.Context()); err != nil; _, err = c.Probe(t.Context()) {
		t.Log(err)
	}
	return u, c
}

// request returns a request with a deadline in 300 ms.
func request(method, target, id, body string) *upstream.Request {
	parsed, err := url.Parse(target)
	if err != nil {
		panic(err)
	}
	r := &upstream.Request{
		Method: method, URL: parsed, Header: http.Header{}, ID: id, Partition: 1, Fence: 256, Epoch: 1,
		Idempotent: method == http.MethodGet, Deadline: time.Now().Add(300 * time.Millisecond),
	}
	if body != "" {
		r.Body, r.ContentLength = strings.NewReader(body), int64(len(body))
	}
	return r
}

// exchange sends a request, reads its response to the end and returns the result code.
func exchange(t *testing.T, c *upstream.Client, r *upstream.Request) code.Code {
	t.Helper()
	resp, err := c.Do(t.Context(), r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if err == nil {
		return code.OK
	}
	got, ok := code.Of(err)
	if !ok {
		t.Fatalf("error without a code: %v", err)
	}
	return got
}

// TestFailures guards against a request that is reported as not run although it may have run, and against accepting incomplete
// responses or those of other requests.
func TestFailures(t *testing.T) {
	fault := func(mode fake.Mode) func(*fake.Upstream) {
		return func(u *fake.Upstream) {
			u.SetFault(fake.UpstreamFault{Fault: fake.Fault{Mode: mode, DelayMS: 5000}, Marker: "boom"})
		}
	}
	tests := []struct {
		name  string
		fault func(*fake.Upstream)
		warm  bool
		want  code.Code
	}{
		{"none", fault(fake.None), false, code.OK},
		{"refuses", fault(fake.Refuse), false, code.UpstreamRefused},
		{"refuses after use", fault(fake.Refuse), true, code.UpstreamRefused},
		{"crashes", fault(fake.CrashOn), false, code.UpstreamFailed},
		{"closes before the response", fault(fake.CloseBefore), false, code.UpstreamFailed},
		{"closes midway", fault(fake.CloseMidway), false, code.Truncated},
		{"truncates", fault(fake.Truncate), false, code.Truncated},
		{"wrong id", fault(fake.WrongID), false, code.WrongAnswer},
		{"frozen", fault(fake.Freeze), false, code.UpstreamTimeout},
		{"silent connection", fault(fake.Silent), true, code.UpstreamTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			u, c := start(t)
			if test.warm && exchange(t, c, request("POST", "/k", "first", "x")) != code.OK {
				t.Fatal("first request failed")
			}
			test.fault(u)
			if test.want == code.UpstreamRefused {
				time.Sleep(20 * time.Millisecond) // Lets the client detect that the idle connection was closed.
			}
			got := exchange(t, c, request("POST", "/k", "x", "boom"))
			if got != test.want {
				t.Fatalf("got %s, want %s", got, test.want)
			}
			for _, e := range u.Effects() {
				if e.ID == "x" && got.Entry().Ran() == code.RanNo {
					t.Fatal("reported as not run, but it ran")
				}
			}
		})
	}
}

// TestSilentConnectionsReplaced guards against dead idle connections of which each fails a request.
func TestSilentConnectionsReplaced(t *testing.T) {
	u, c := start(t, fake.WithServiceTime(20*time.Millisecond))
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() { exchange(t, c, request("GET", "/k", "warm", "")) })
	}
	group.Wait()
	u.SetFault(fake.UpstreamFault{Fault: fake.Fault{Mode: fake.Silent}})
	if got := exchange(t, c, request("GET", "/k", "a", "")); got != code.UpstreamTimeout {
		t.Fatalf("silent: %s", got)
	}
	for range 4 {
		if got := exchange(t, c, request("GET", "/k", "b", "")); got != code.OK {
			t.Fatalf("after the replacement: %s", got)
		}
	}
}

// TestNoHiddenRetry guards against retries by http.Transport of requests that aren't idempotent. By itself it retries a GET request,
// or one with an Idempotency-Key header, after a reused connection failed.
func TestNoHiddenRetry(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		var runs atomic.Int32
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if runs.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
		})}
		var group sync.WaitGroup
		group.Go(func() { _ = server.Serve(listener) })
		c := upstream.New(listener.Addr().String())
		for n := range 2 {
			r := request(method, "/k", "x", "")
			r.Idempotent = false
			r.Header.Set("Idempotency-Key", "1")
			got := exchange(t, c, r)
			if want := []code.Code{code.OK, code.UpstreamFailed}[n]; got != want {
				t.Fatalf("%s %d: %s", method, n, got)
			}
		}
		if runs.Load() != 2 {
			t.Fatalf("%s ran %d times for 2 requests", method, runs.Load())
		}
		_ = server.Close()
		group.Wait()
	}
}

// TestCancel guards against an upstream that goes on with a request after its caller has left.
func TestCancel(t *testing.T) {
	u, c := start(t, fake.WithServiceTime(100*time.Millisecond))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := c.Do(ctx, request("POST", "/k", "x", "body")); err == nil {
		t.Fatal("no error")
	}
	time.Sleep(150 * time.Millisecond)
	if n := len(u.Effects()); n != 0 {
		t.Fatalf("%d effects", n)
	}
}

// TestGrants guards against an upstream that serves without a grant, with an old fencing token or after the end of the lease, even if its
// clock differs from the local one.
func TestGrants(t *testing.T) {
	u, c := start(t, fake.WithGrantCheck(), fake.WithClockOffset(-time.Hour))
	self := member.NewIncarnation("a", 1)
	served := func(fence uint64) bool {
		r := request("POST", "/k", "x", "")
		r.Fence = fence
		resp, err := c.Do(t.Context(), r)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		return !resp.NotRun
	}
	grant := func(fence uint64, d time.Duration) error {
		return c.Grant(t.Context(), upstream.Grant{Incarnation: self, Partition: 1, Fence: fence, LeaseEnd: time.Now().Add(d)})
	}
	if served(256) {
		t.Fatal("served without a grant")
	}
	if err := grant(256, 150*time.Millisecond); err != nil || !served(256) {
		t.Fatalf("not served with a grant: %v", err)
	}
	if err := c.Renew(t.Context(), self, time.Now().Add(300*time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	if !served(256) {
		t.Fatal("not served after the renewal")
	}
	time.Sleep(150 * time.Millisecond)
	if served(256) {
		t.Fatal("served after the lease's end")
	}
	if err := grant(512, time.Second); err != nil || served(256) || !served(512) {
		t.Fatalf("higher fencing token: %v", err)
	}
	if got, _ := code.Of(grant(256, time.Second)); got != code.Conflict {
		t.Fatalf("old fencing token: %s", got)
	}
	if err := c.Revoke(t.Context(), 1, 512); err != nil || served(512) {
		t.Fatalf("served after the revocation: %v", err)
	}
	if n := len(u.Effects()); n != 3 {
		t.Fatalf("%d effects", n)
	}
}

// TestWatch guards against an upstream that is down or frozen but not reported as down, and against an upstream that is reported as
// down because of dead idle connections.
func TestWatch(t *testing.T) {
	tests := []struct {
		mode fake.Mode
		down bool
	}{{fake.Freeze, true}, {fake.Refuse, true}, {fake.Silent, false}}
	for _, test := range tests {
		t.Run(string(test.mode), func(t *testing.T) {
			u, c := start(t)
			ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
			defer cancel()
			var group sync.WaitGroup
			for range 6 {
				group.Go(func() { _, _ = c.Probe(ctx) }) // Creates several idle connections.
			}
			group.Wait()
			begun := time.Now()
			probes, down := 0, false
			c.Watch(ctx, func(p upstream.Probe) {
				if probes++; probes == 2 {
					u.SetFault(fake.UpstreamFault{Fault: fake.Fault{Mode: test.mode, DelayMS: 5000}})
				}
				if p.Down() {
					down = true
					cancel()
				}
			})
			if down != test.down {
				t.Fatalf("down: %v after %d probes in %v", down, probes, time.Since(begun))
			}
		})
	}
}
