package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"sapphiretray/forward"
	"sapphiretray/gateway"
	"sapphiretray/ingress"
	"sapphiretray/peer"
)

// idHeader is a gateway.Protocol with the request id in a header.
type idHeader struct{}

func (idHeader) Prepare(header http.Header, r *gateway.Request, _ string, _ time.Duration) {
	header.Set("Id", r.ID)
}

func (idHeader) Matches(header http.Header, id string) bool { return header.Get("Id") == id }

func (idHeader) Read(_ int, header http.Header) gateway.ResponseInfo {
	return gateway.ResponseInfo{Genuine: header.Get("Stamp") != ""}
}

type noVersions struct{}

func (noVersions) Versions() forward.Versions       { return forward.Versions{} }
func (noVersions) ObserveVersions(forward.Versions) {}

// cutUpstream listens for an upstream that ends the connection of its first request after the given bytes, by a reset or a close, and sends
// a complete response with the body "whole" to every other one. It returns the listener and the number of requests.
func cutUpstream(t *testing.T, sent string, reset bool) (listener net.Listener, requests *atomic.Int64) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests = &atomic.Int64{}
	serve := func(conn *net.TCPConn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if requests.Add(1) > 1 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: x1\r\nStamp: s\r\nContent-Length: 5\r\n\r\nwhole")
				continue
			}
			_, _ = io.WriteString(conn, sent)
			if reset {
				// A reset discards what hasn't been read yet.
				time.Sleep(10 * time.Millisecond)
				_ = conn.SetLinger(0)
			}
			return
		}
	}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { serve(conn.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener, requests
}

// cutDeployment is a deployment whose instances have gateways to the same upstream: a and b for service plain, c for service keyed.
type cutDeployment struct {
	*deployment
	b, c ingress.Target
}

func (d *cutDeployment) Targets(string) []ingress.Target { return []ingress.Target{{Slot: "a"}, d.b} }

func (d *cutDeployment) Owner(string, uint16) (ingress.Target, bool) { return d.c, true }

// newCutDeployment returns a running deployment and the gateway of instance a.
func newCutDeployment(t *testing.T, address string) (*cutDeployment, *gateway.Gateway) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	newGateway := func(service string) *gateway.Gateway {
		g := gateway.New(group, service, address, idHeader{}, gateway.WithDrainLimit(time.Second))
		err := g.Register(gateway.Registration{
			UpstreamRun: gateway.UpstreamRun{ID: "u", Started: 1}, Service: service, Address: address, Slots: 2, Sequence: 1,
		})
		if err != nil {
			t.Fatal(err)
		}
		group.Go(func() error {
			g.Run(ctx)
			return nil
		})
		return g
	}
	var servers []*http.Server
	newPeer := func(slot, service string) ingress.Target {
		server := &http.Server{
			Protocols: &http.Protocols{},
			Handler:   forward.Handler(newGateway(service), noVersions{}, func() bool { return false }),
		}
		server.Protocols.SetUnencryptedHTTP2(true)
		servers = append(servers, server)
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		group.Go(func() error {
			_ = server.Serve(listener)
			return nil
		})
		return ingress.Target{Slot: slot, Address: listener.Addr().String()}
	}
	t.Cleanup(func() {
		cancel()
		for _, server := range servers {
			_ = server.Close()
		}
		_ = group.Wait()
	})
	return &cutDeployment{newDeployment("c", nil), newPeer("b", "plain"), newPeer("c", "keyed")}, newGateway("plain")
}

// TestCutResponses guards against callers that get a response that looks complete, or one that says that the request did not run, after
// the connection of the upstream has ended in the middle of its response.
func TestCutResponses(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nId: x1\r\nStamp: s\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
		interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	)
	tests := []struct {
		name, sent string
		// closed is the body of the response if a close completes it, and empty otherwise.
		closed string
	}{
		{"after the status line", "HTTP/1.1 200 OK\r\n", ""},
		{"in a header line", head + "Content-Le", ""},
		{"after a header line", head, ""},
		{"in the number of Content-Length", head + "Content-Length: 1", ""},
		{"after Content-Length", head + "Content-Length: 5\r\n", ""},
		{"after an interim response", interim, ""},
		{"in the headers after an interim response", interim + head, ""},
		{"after switching protocols", strings.Replace(head, "200", "101", 1) + "\r\n", ""},
		{"no length", head + "\r\nhello", "hello"},
		{"before the body", head + "Content-Length: 5\r\n\r\n", ""},
		{"in the body", head + "Content-Length: 5\r\n\r\nhell", ""},
		{"in a chunk size", chunked + "1", ""},
		{"after a chunk", chunked + "5\r\nhello\r\n", ""},
		{"after the last chunk", chunked + "5\r\nhello\r\n0\r\n", ""},
		{"in a trailer", chunked + "5\r\nhello\r\n0\r\nNote: a", ""},
	}
	routes := []struct {
		path      string
		retryable bool
	}{{"/plain/", true}, {"/plain-once/", false}, {"/keyed/", true}, {"/once/", false}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for _, reset := range []bool{false, true} {
				for _, route := range routes {
					t.Run(fmt.Sprintf("reset %v%s", reset, route.path), func(t *testing.T) {
						listener, requests := cutUpstream(t, test.sent, reset)
						status, body, sent := http.StatusBadGateway, "", int64(1)
						switch {
						case test.closed != "" && !reset:
							status, body = http.StatusOK, test.closed
						case route.retryable:
							status, body, sent = http.StatusOK, "whole", 2
						}
						got, gotBody := exchangeCut(t, listener.Addr().String(), route.path)
						if got != status || status == http.StatusOK && gotBody != body {
							t.Errorf("status %d, body %q, want %d, %q", got, gotBody, status, body)
						}
						if requests.Load() != sent {
							t.Errorf("%d requests arrived, want %d", requests.Load(), sent)
						}
					})
				}
			}
		})
	}
}

// exchangeCut sends a request with a key to an instance whose upstream listens at an address, and returns the status and the body of the
// response, which must be complete.
func exchangeCut(t *testing.T, address, path string) (status int, body string) {
	t.Helper()
	d, local := newCutDeployment(t, address)
	var group errgroup.Group
	transport := peer.NewTransport("", time.Second)
	server := startTracked(t, ingress.NewConnections(noLimits, prometheus.NewRegistry()),
		newServer(t, d.deployment, table(t), func(c *ingress.Config) {
			c.Directory, c.Local = d, local
			c.Forwarder = forward.NewClient(&group, transport, noVersions{})
		}))
	t.Cleanup(func() {
		_ = group.Wait()
		transport.CloseIdleConnections()
	})
	conn := dial(t, server)
	_, _ = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h\r\nId: x1\r\nKey: 7\r\nContent-Length: 4\r\n\r\nbody")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(content)
}
