package demo_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/code"
	"sapphiretray/demo"
)

// TestStopTimeout guards against a planned stop that takes longer than its timeout, and against requests that are still running when the
// timeout ends and get no answer.
func TestStopTimeout(t *testing.T) {
	const keys, timeout = 4, 2 * time.Second
	s := specs(2, false)
	for n := range s {
		s[n].StopTimeout = timeout
	}
	d := startSpecs(t, s)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	n := d.Nodes()[0]
	client := demo.NewClient()
	var group errgroup.Group
	responses := make([]demo.Response, keys)
	for k := range keys {
		group.Go(func() (err error) {
			// The route's timeout is 3 s.
			url := n.URL() + "/bookings/club-" + strconv.Itoa(k) + "?service_ms=2900"
			responses[k], err = client.Do(ctx, demo.Request{Method: http.MethodGet, URL: url})
			return err
		})
	}
	time.Sleep(300 * time.Millisecond)
	begun := time.Now()
	n.Stop()
	if err := n.Wait(ctx); err != nil {
		t.Errorf("the process ended with %v", err)
	}
	if took := time.Since(begun); took > timeout {
		t.Errorf("the stop took %v, want at most %v", took, timeout)
	}
	if err := group.Wait(); err != nil {
		t.Errorf("no response: %v", err)
	}
	for k, r := range responses {
		if r.Status != code.Interrupted.Entry().Status() || r.Code != code.Interrupted {
			t.Errorf("request %d: status %d, %v, want %v", k, r.Status, r.Code, code.Interrupted)
		}
	}
}
