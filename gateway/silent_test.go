package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/bubble"
	"sapphiretray/code"
	"sapphiretray/fake"
	"sapphiretray/gateway"
	"sapphiretray/routing"
)

// silentTime is longer than any request waits.
const silentTime = time.Hour

// startOn returns a gateway to an upstream of a network in memory, which has eight slots and responds after 20 ms.
func startOn(t *testing.T, n *fake.Network) *gateway.Gateway {
	t.Helper()
	listener, err := n.Listen("127.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	u := serveRaw(t, listener, func(conn net.Conn, _ *http.Request, id string, _ int64) {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(conn, ok(id, id))
	})
	g := start(t, u, gateway.WithDial(n.DialContext))
	register(t, g, u, gateway.Registration{UpstreamRun: gateway.UpstreamRun{ID: "upstream-1", Started: 2000}, Slots: 8, Sequence: 1})
	return g
}

// silence makes the open connections deliver nothing further.
func silence(n *fake.Network) {
	for _, c := range n.Conns() {
		c.Hold(silentTime)
	}
}

// TestSilentIdleConnections guards against requests that fail one after another because each is sent on another idle connection that
// delivers nothing further.
func TestSilentIdleConnections(t *testing.T) {
	tests := []struct {
		name string
		kind routing.Kind
		// patience is how long the caller waits, 0 if it waits beyond the deadline.
		patience time.Duration
	}{
		{"idempotent", routing.Idempotent, 0},
		{"non-idempotent", routing.NonIdempotent, 0},
		{"caller leaves first", routing.Idempotent, 250 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				n := new(fake.Network)
				g := startOn(t, n)
				const idle = 3
				var group errgroup.Group
				for i := range idle {
					group.Go(func() error {
						_, err := g.Do(t.Context(), request(fmt.Sprint("first", i), test.kind))
						return err
					})
				}
				if err := group.Wait(); err != nil {
					t.Fatal(err)
				}
				silence(n)
				var failures []error
				for i := range 2 * idle {
					r := request(fmt.Sprint("r", i), test.kind)
					r.Deadline = time.Now().Add(300 * time.Millisecond)
					if err := doWithin(t, g, r, test.patience); err != nil {
						failures = append(failures, err)
					}
				}
				if len(failures) > 1 {
					t.Errorf("%d requests failed, want at most 1: %v", len(failures), failures)
				}
			})
		})
	}
}

// doWithin sends a request whose caller leaves after a time, or waits beyond the deadline if it is 0.
func doWithin(t *testing.T, g *gateway.Gateway, r *gateway.Request, patience time.Duration) error {
	t.Helper()
	ctx := t.Context()
	if patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer time.AfterFunc(patience, cancel).Stop()
	}
	_, err := g.Do(ctx, r)
	return err
}

// TestUnreadRequestEndsAtDeadline guards against requests that hold a slot of the upstream beyond their deadline because the connection
// takes no more data.
func TestUnreadRequestEndsAtDeadline(t *testing.T) {
	const window = 16 << 10
	tests := []struct {
		name       string
		head, body int
	}{
		{"small", 0, 0},
		{"head larger than the window", 2 * window, 0},
		{"body larger than the window", 0, 2 * window},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				n := &fake.Network{Window: func(_, _ netip.AddrPort) int { return window }}
				g := startOn(t, n)
				if _, err := g.Do(t.Context(), request("first", routing.NonIdempotent)); err != nil {
					t.Fatal(err)
				}
				silence(n)
				r := request("second", routing.NonIdempotent)
				r.Header = http.Header{"Test-Filler": {strings.Repeat("x", test.head)}}
				r.Body = make([]byte, test.body)
				_, err := g.Do(t.Context(), r)
				if late := time.Since(r.Deadline); late > 0 || failureOf(t, err) != code.UpstreamTimeout {
					t.Errorf("the request ended %v after its deadline with %v", late, err)
				}
			})
		})
	}
}
