package caller

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"sapphiretray/code"
	"sapphiretray/fake"
)

// TestPausedOwnerKeepsRequests guards against requests that are given up while their upstream works on them, because the owner or the
// network between stands still for half a second.
func TestPausedOwnerKeepsRequests(t *testing.T) {
	for _, kind := range []string{"plain", "read"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2, testSettings{upstream: []fake.UpstreamOption{fake.WithServiceTime(800 * time.Millisecond)}})
			owner, other := c.instances[0], c.instances[1]
			record, _ := other.Record(owner.self)
			relay, err := fake.NewRelay(t.Context(), "127.0.0.1", record.PeerAddress)
			if err != nil {
				t.Fatal(err)
			}
			var group sync.WaitGroup
			group.Go(func() { _ = relay.Run(t.Context()) })
			record.PeerAddress = relay.Address()
			c.mu.Lock()
			c.records[owner.self] = record
			c.mu.Unlock()
			var a testResponse
			var sent sync.WaitGroup
			request := testRequest{method: http.MethodPost, path: "/" + kind + "/k", id: "x", body: "b"}
			sent.Go(func() { a = other.send(t.Context(), request) })
			for start := time.Now(); owner.upstream.Running() == 0 && time.Since(start) < time.Second; {
				time.Sleep(time.Millisecond)
			}
			relay.Cut("127.0.0.1", fake.Both)
			time.Sleep(500 * time.Millisecond)
			relay.Cut("127.0.0.1", 0)
			sent.Wait()
			if a.code != code.OK {
				t.Errorf("%v", a)
			}
			if n := c.effects("x"); n != 1 {
				t.Errorf("the request took effect %d times", n)
			}
		})
	}
}
