package demo_test

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/demo"
)

// TestHangup guards against requests in flight that end without an answer because a process gets SIGHUP, by itself or during a stop.
func TestHangup(t *testing.T) {
	tests := []struct {
		name    string
		signals []syscall.Signal
	}{
		{"alone", []syscall.Signal{syscall.SIGHUP}},
		{"during a stop", []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const keys = 4
			d := startDeployment(t, 2, false)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			n := d.Nodes()[0]
			client := demo.NewClient()
			var group errgroup.Group
			for k := range keys {
				group.Go(func() error {
					// The service time of the request is far above the pause before the signals.
					url := fmt.Sprintf("%s/bookings/club-%d?service_ms=1000", n.URL(), k)
					response, err := client.Do(ctx, demo.Request{Method: http.MethodGet, URL: url})
					if err == nil && response.Status != http.StatusOK {
						err = fmt.Errorf("status %d, %s", response.Status, response.Code)
					}
					return err
				})
			}
			time.Sleep(300 * time.Millisecond)
			for _, signal := range test.signals {
				if err := syscall.Kill(n.PID(), signal); err != nil {
					t.Error(err)
				}
				time.Sleep(100 * time.Millisecond)
			}
			if err := group.Wait(); err != nil {
				t.Errorf("a request in flight: %v", err)
			}
			if err := n.Wait(ctx); err != nil {
				t.Errorf("the process ended with %v", err)
			}
		})
	}
}
