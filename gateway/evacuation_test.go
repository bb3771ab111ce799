package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/routing"
)

// TestEvacuated guards against requests that reach an upstream after its data centre was closed: those that arrive later, those that wait
// for a slot and those whose body arrives later. One that is running ends.
func TestEvacuated(t *testing.T) {
	var closed atomic.Bool
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, id string, _ int64) {
		arrived <- struct{}{}
		<-release
		_, _ = io.WriteString(conn, ok(id, ""))
	})
	g := start(t, u, gateway.WithEvacuated(closed.Load))
	var group sync.WaitGroup
	do := func(r *gateway.Request) *error {
		result := new(error)
		group.Go(func() { _, *result = g.Do(t.Context(), r) })
		return result
	}
	first := do(request("first", routing.NonIdempotent))
	<-arrived
	body := make(chan struct{})
	late := request("late body", routing.Upload)
	late.Body, late.ReadBody = nil, func() ([]byte, error) {
		closed.Store(true)
		close(body)
		return []byte("body"), nil
	}
	results := map[string]*error{"late body": do(late)}
	<-body
	for n := range 4 {
		id := fmt.Sprint("waiting or new ", n)
		results[id] = do(request(id, routing.Idempotent))
	}
	close(release)
	group.Wait()
	if *first != nil {
		t.Errorf("the running request failed: %v", *first)
	}
	for id, result := range results {
		if got := failureOf(t, *result); got != code.Evacuated {
			t.Errorf("%s: %v", id, *result)
		}
	}
	if n := u.requests.Load(); n != 1 {
		t.Errorf("%d requests reached the upstream, want 1", n)
	}
	closed.Store(false)
	if _, err := g.Do(t.Context(), request("after the end", routing.Idempotent)); err != nil {
		t.Errorf("after the end: %v", err)
	}
}
