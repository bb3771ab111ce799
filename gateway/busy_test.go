package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/bubble"
	"sapphiretray/code"
	"sapphiretray/fake"
	"sapphiretray/gateway"
	"sapphiretray/routing"
)

// TestBusy guards against a request that waits although its sender knows an instance that responds sooner, against one that is refused
// although the response is expected in time, and against requests of other data centres that take the last slots.
func TestBusy(t *testing.T) {
	const slots, work = 6, 100 * time.Millisecond
	tests := []struct {
		name string
		// running is the number of requests at the upstream.
		running int
		within  time.Duration
		spilled bool
		want    code.Code
	}{
		{"no bound", 12, 0, false, 0},
		{"free", 5, 120 * time.Millisecond, false, 0},
		{"free, but slower than asked for", 0, 80 * time.Millisecond, false, code.Busy},
		{"full", 6, 120 * time.Millisecond, false, code.Busy},
		{"full, as elsewhere", 6, 250 * time.Millisecond, false, 0},
		{"from another data centre", 4, 120 * time.Millisecond, true, 0},
		{"from another data centre, for the last slot", 5, 120 * time.Millisecond, true, code.Busy},
		{"from another data centre, without a bound", 5, 0, true, code.Busy},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				n := new(fake.Network)
				listener, err := n.Listen("127.0.0.1:80")
				if err != nil {
					t.Fatal(err)
				}
				u := serveRaw(t, listener, func(conn net.Conn, _ *http.Request, id string, _ int64) {
					time.Sleep(work)
					_, _ = io.WriteString(conn, ok(id, id))
				})
				g := start(t, u, gateway.WithDial(n.DialContext))
				run := gateway.UpstreamRun{ID: "upstream-1", Started: 2000}
				register(t, g, u, gateway.Registration{UpstreamRun: run, Slots: slots, Sequence: 1})
				for i := range 5 {
					if _, err := g.Do(t.Context(), request(fmt.Sprint("first", i), routing.Idempotent)); err != nil {
						t.Fatal(err)
					}
				}
				group, ctx := errgroup.WithContext(context.WithoutCancel(t.Context()))
				for i := range test.running {
					group.Go(func() error {
						_, err := g.Do(ctx, request(fmt.Sprint("running", i), routing.Idempotent))
						return err
					})
				}
				time.Sleep(time.Millisecond)
				r := request("asked", routing.Idempotent)
				r.Within, r.Spilled = test.within, test.spilled
				begun, before := time.Now(), g.Load().Pressure
				_, err = g.Do(t.Context(), r)
				if err != nil && failureOf(t, err) != test.want || err == nil && test.want != 0 {
					t.Errorf("failure %v, want %v", err, test.want)
				}
				if test.want == code.Busy && (time.Since(begun) > 0 || g.Load().Pressure != before) {
					t.Errorf("refused after %v, pressure %v instead of %v", time.Since(begun), g.Load().Pressure, before)
				}
				if err := group.Wait(); err != nil {
					t.Errorf("a running request failed: %v", err)
				}
			})
		})
	}
}
