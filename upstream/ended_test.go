package upstream_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"sapphiretray/upstream"
)

// TestHasEnded guards against an upstream that stops listening and still works on a request, and counts as ended: its partitions would be
// served elsewhere at once.
func TestHasEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	arrived, finish := make(chan struct{}), make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-finish
	})}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	c := upstream.New(listener.Addr().String())
	if c.HasEnded(t.Context()) {
		t.Error("an upstream that accepts connections counts as ended")
	}
	group.Go(func() {
		r := request(http.MethodGet, "/work", "x1", "")
		r.Deadline = time.Now().Add(10 * time.Second)
		if response, err := c.Do(t.Context(), r); err == nil {
			_ = response.Body.Close()
		}
	})
	<-arrived
	_ = listener.Close()
	if !c.RefusesConnections(t.Context()) || c.HasEnded(t.Context()) {
		t.Error("an upstream that works on a request counts as ended, or doesn't refuse connections")
	}
	_ = server.Close()
	if !c.HasEnded(t.Context()) {
		t.Error("an upstream that has closed its connections doesn't count as ended")
	}
	close(finish)
	group.Wait()
}
