package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/routing"
)

// Headers of testProtocol.
const (
	headerID      = "Test-Id"
	headerGenuine = "Test-Mark"
	headerNotRun  = "Test-Not-Run"
	headerExpect  = "Test-Expect"
	// headerSlowness holds the upstream's slowness, and headerInvalid is set if its load report is malformed.
	headerSlowness = "Test-Slowness"
	headerInvalid  = "Test-Invalid"
	headerCold     = "Test-Cold"
)

var errInvalid = errors.New("malformed load report")

// testProtocol implements gateway.Protocol.
type testProtocol struct{}

func (testProtocol) Prepare(header http.Header, r *gateway.Request, upstreamID string, _ time.Duration) {
	header.Set(headerID, r.ID)
	header.Set(headerExpect, upstreamID)
}

func (testProtocol) Matches(header http.Header, id string) bool { return header.Get(headerID) == id }

func (testProtocol) Read(status int, header http.Header) gateway.ResponseInfo {
	info := gateway.ResponseInfo{
		Genuine: header.Get(headerGenuine) != "", NotRun: header.Get(headerNotRun) != "",
		Misdirected: status == http.StatusMisdirectedRequest, UpstreamID: "upstream-1",
	}
	// A missing value stands for 0.
	info.Report.Slowness, _ = strconv.ParseFloat(header.Get(headerSlowness), 64)
	if header.Get(headerInvalid) != "" {
		info.ReportError = errInvalid
	}
	if ms, err := strconv.Atoi(header.Get(headerCold)); err == nil {
		info.ColdFor = time.Duration(ms) * time.Millisecond
	}
	return info
}

// rawUpstream is an upstream whose respond function writes the bytes of each response, so that tests can send invalid ones. It counts
// requests and connections.
type rawUpstream struct {
	listener net.Listener
	respond  func(conn net.Conn, r *http.Request, id string, number int64)
	requests atomic.Int64
	conns    atomic.Int64
	group    sync.WaitGroup
}

func newRawUpstream(t *testing.T, respond func(conn net.Conn, r *http.Request, id string, number int64)) *rawUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveRaw(t, listener, respond)
}

// serveRaw returns a rawUpstream that accepts connections from a listener.
func serveRaw(
	t *testing.T, listener net.Listener, respond func(conn net.Conn, r *http.Request, id string, number int64),
) *rawUpstream {
	t.Helper()
	u := &rawUpstream{listener: listener, respond: respond}
	u.group.Go(u.serve)
	t.Cleanup(func() {
		_ = listener.Close()
		u.group.Wait()
	})
	return u
}

func (u *rawUpstream) serve() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.conns.Add(1)
		u.group.Go(func() { u.serveConn(conn) })
	}
}

func (u *rawUpstream) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		u.respond(conn, request, request.Header.Get(headerID), u.requests.Add(1))
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
}

// ok returns a complete response to the request with the given id.
func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: m\r\nContent-Length: %d\r\n\r\n%s", headerID, id, headerGenuine, len(body), body)
}

// start returns a running gateway to an upstream that has registered with two slots.
func start(t *testing.T, u *rawUpstream, options ...gateway.Option) *gateway.Gateway {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	g := gateway.New(group, "bookings", u.listener.Addr().String(), testProtocol{},
		append([]gateway.Option{gateway.WithDrainLimit(2 * time.Second)}, options...)...)
	group.Go(func() error {
		g.Run(ctx)
		return nil
	})
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	register(t, g, u, gateway.Registration{Slots: 2, Sequence: 1})
	return g
}

// register registers the upstream, as upstream-1 if r has no id.
func register(t *testing.T, g *gateway.Gateway, u *rawUpstream, r gateway.Registration) {
	t.Helper()
	r.Service, r.Address = "bookings", u.listener.Addr().String()
	if r.ID == "" {
		r.UpstreamRun = gateway.UpstreamRun{ID: "upstream-1", Started: 1000}
	}
	if err := g.Register(r); err != nil {
		t.Fatal(err)
	}
}

// request returns a request with an objective of 500 ms and a deadline of 1 s.
func request(id string, kind routing.Kind) *gateway.Request {
	now := time.Now()
	r := &gateway.Request{
		ID: id, Method: http.MethodGet, Target: "/a?b=c", Host: "club.example", Service: "bookings", Route: "browse",
		Key: gateway.NoKey, Kind: kind, Objective: now.Add(500 * time.Millisecond), Deadline: now.Add(time.Second),
	}
	if kind != routing.Idempotent {
		r.Method, r.Body = http.MethodPost, []byte("body")
	}
	return r
}

// failureOf returns the code of a failure, or 0 if there is none.
func failureOf(t *testing.T, err error) code.Code {
	t.Helper()
	if err == nil {
		return 0
	}
	var f *gateway.Failure
	if !errors.As(err, &f) {
		t.Fatalf("error %v is not a *Failure", err)
	}
	return f.Code
}
