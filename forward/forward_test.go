package forward_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/code"
	"sapphiretray/forward"
	"sapphiretray/gateway"
	"sapphiretray/peer"
	"sapphiretray/routing"
)

// echo is the protocol between the gateway and an upstream that echoes requests. A response belongs to the request with the same id.
type echo struct{}

func (echo) Prepare(header http.Header, r *gateway.Request, _ string, _ time.Duration) {
	header.Set("Id", r.ID)
}

func (echo) Matches(header http.Header, id string) bool { return header.Get("Id") == id }

func (echo) Read(int, http.Header) gateway.ResponseInfo { return gateway.ResponseInfo{Genuine: true} }

// versionCounter counts the versions that were received.
type versionCounter struct{ received atomic.Int64 }

func (*versionCounter) Versions() forward.Versions {
	return forward.Versions{Slot: "a", Config: 3, Rows: 40}
}
func (n *versionCounter) ObserveVersions(forward.Versions) { n.received.Add(1) }

// instance serves forwarded requests with an upstream that echoes them.
type instance struct {
	address  string
	server   *http.Server
	listener *peer.Listener
	gateway  *gateway.Gateway
	stopping atomic.Bool
	// received is the number of body bytes that arrived.
	received atomic.Int64
	// ran is the number of requests that reached the upstream.
	ran atomic.Int64
	// extra is the number of bytes that are added to the body of a response.
	extra atomic.Int64
	// serviceTime is how long the upstream takes, in nanoseconds.
	serviceTime atomic.Int64
	exchange    versionCounter
}

func newInstance(t *testing.T) *instance {
	t.Helper()
	i := &instance{}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	upstream := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i.ran.Add(1)
		body, _ := io.ReadAll(r.Body)
		time.Sleep(time.Duration(i.serviceTime.Load()))
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Note", r.Header.Get("Note"))
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write(append([]byte(r.Method+" "+r.RequestURI+" "+r.Host+" "), body...))
	})}
	upstreamAt := listenAndServe(t, group, upstream)
	g := gateway.New(group, "books", upstreamAt, echo{})
	i.gateway = g
	if err := g.Register(gateway.Registration{
		UpstreamRun: gateway.UpstreamRun{ID: "u1", Started: 1}, Service: "books", Address: upstreamAt, Sequence: 1, Slots: 4,
	}); err != nil {
		t.Fatal(err)
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	handler := forward.Handler(g, &i.exchange, i.stopping.Load)
	server := &http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !forward.IsForwarded(r) {
			t.Error("a forwarded request isn't recognised as such")
		}
		r.Body = countedBody{r.Body, &i.received}
		if extra := int(i.extra.Load()); extra > 0 {
			w = unboundedWriter{w}
			defer func() { _, _ = io.WriteString(w, strings.Repeat("x", extra)) }()
		}
		handler.ServeHTTP(w, r)
	})}
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	i.server, i.listener, i.address = server, peer.NewListener(listener, server, nil), listener.Addr().String()
	group.Go(func() error {
		_ = server.Serve(i.listener)
		return nil
	})
	group.Go(func() error {
		g.Run(ctx)
		return nil
	})
	t.Cleanup(func() {
		cancel()
		_, _ = upstream.Close(), server.Close()
		_ = group.Wait()
	})
	return i
}

// newGroup returns a group for the goroutines of a client. The test waits for them at its end.
func newGroup(t *testing.T) *errgroup.Group {
	t.Helper()
	var group errgroup.Group
	t.Cleanup(func() { _ = group.Wait() })
	return &group
}

func listenAndServe(t *testing.T, group *errgroup.Group, server *http.Server) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	group.Go(func() error {
		_ = server.Serve(listener)
		return nil
	})
	return listener.Addr().String()
}

// countedBody adds the number of bytes read to received.
type countedBody struct {
	io.ReadCloser
	received *atomic.Int64
}

func (b countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.received.Add(int64(n))
	return n, err
}

func newRequest(body string) *gateway.Request {
	now := time.Now()
	return &gateway.Request{
		ID: "r1", Method: http.MethodPost, Target: "/a%2Fb/c?x=1,2", Host: "h.example", Header: http.Header{"Note": {"kept"}},
		Body: []byte(body), Route: "book", Service: "books", Key: gateway.NoKey, Kind: routing.NonIdempotent,
		Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second),
	}
}

// TestForward guards against requests that are changed in transit, responses that arrive incomplete, and versions that aren't exchanged.
func TestForward(t *testing.T) {
	i := newInstance(t)
	var own versionCounter
	client := forward.NewClient(newGroup(t), peer.NewTransport("", time.Second), &own)
	for _, body := range []string{"", "short", strings.Repeat("long", 50_000)} {
		r := newRequest(body)
		result, err := client.Do(t.Context(), i.address, r)
		if err != nil {
			t.Fatal(err)
		}
		got := result.Response
		want := "POST /a%2Fb/c?x=1,2 h.example " + body
		if got.Status != http.StatusCreated || string(got.Body) != want || got.Header.Get("Note") != "kept" {
			t.Errorf("status %d, %d bytes of body, want %d; headers %v", got.Status, len(got.Body), len(want), got.Header)
		}
		if result.Load.Slots != 4 {
			t.Errorf("load %+v", result.Load)
		}
	}
	if i.exchange.received.Load() == 0 || own.received.Load() == 0 {
		t.Errorf("versions were received %d and %d times, want both above 0", i.exchange.received.Load(), own.received.Load())
	}
}

// TestForwardFailures guards against reporting a request as not run that may have run, against requests to an instance that is
// stopping, and against sending a large body to an instance that refuses the request.
func TestForwardFailures(t *testing.T) {
	closedPort := func(t *testing.T, _ *instance) string {
		t.Helper()
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		return listener.Addr().String()
	}
	silentListener := func(t *testing.T, _ *instance) string {
		t.Helper()
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		return listener.Addr().String()
	}
	self := func(_ *testing.T, i *instance) string { return i.address }
	tests := []struct {
		name    string
		address func(*testing.T, *instance) string
		change  func(*instance, *gateway.Request)
		want    code.Code
	}{
		{"nobody listens", closedPort, func(*instance, *gateway.Request) {}, code.NoOwner},
		{
			"silent instance", silentListener,
			func(_ *instance, r *gateway.Request) { r.Deadline = time.Now().Add(150 * time.Millisecond) }, code.UpstreamTimeout,
		},
		{"another service", self, func(_ *instance, r *gateway.Request) { r.Service = "clubs" }, code.NotOwner},
		{"the instance is stopping", self, func(i *instance, _ *gateway.Request) { i.stopping.Store(true) }, code.Draining},
		{"no time left", self, func(_ *instance, r *gateway.Request) { r.Deadline = time.Now().Add(time.Millisecond) }, code.TooLate},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			i := newInstance(t)
			r := newRequest(strings.Repeat("x", 100_000))
			test.change(i, r)
			client := forward.NewClient(newGroup(t), peer.NewTransport("", time.Second), &versionCounter{})
			_, err := client.Do(t.Context(), test.address(t, i), r)
			var f *gateway.Failure
			if !errors.As(err, &f) || f.Code != test.want {
				t.Fatalf("error %v, want %v", err, test.want)
			}
			if i.received.Load() != 0 {
				t.Errorf("%d bytes of the body were sent", i.received.Load())
			}
		})
	}
}

// TestStoppingInstanceServesKeys guards against an instance that refuses requests with a key while it stops, although it still owns
// their keys and no other instance can serve them.
func TestStoppingInstanceServesKeys(t *testing.T) {
	i := newInstance(t)
	i.stopping.Store(true)
	r := newRequest("")
	r.Key = 7
	client := forward.NewClient(newGroup(t), peer.NewTransport("", time.Second), &versionCounter{})
	if _, err := client.Do(t.Context(), i.address, r); err != nil {
		t.Error(err)
	}
}

// unboundedWriter leaves out the length of a response, so that more can be written than the handler intended.
type unboundedWriter struct{ http.ResponseWriter }

func (w unboundedWriter) WriteHeader(status int) {
	w.Header().Del("Content-Length")
	w.ResponseWriter.WriteHeader(status)
}

// TestForwardLongResponse guards against passing on the first 16 MiB of a longer response as if they were the whole.
func TestForwardLongResponse(t *testing.T) {
	i := newInstance(t)
	i.extra.Store(17 << 20)
	client := forward.NewClient(newGroup(t), peer.NewTransport("", time.Second), &versionCounter{})
	_, err := client.Do(t.Context(), i.address, newRequest(""))
	var f *gateway.Failure
	if !errors.As(err, &f) || f.Code != code.PeerFailed || !f.Arrived {
		t.Errorf("error %v, want %v", err, code.PeerFailed)
	}
}
