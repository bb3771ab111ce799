package instance

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"sapphiretray/caller"
	"sapphiretray/member"
	"sapphiretray/peer"
)

// quarantinePeer is another instance. Its first calls get no response.
type quarantinePeer struct {
	peer.Peer
	silent   int32
	calls    atomic.Int32
	received chan []uint64
}

func (p *quarantinePeer) Quarantine(ctx context.Context, r *peer.QuarantineRequest) (*peer.QuarantineResponse, error) {
	if p.calls.Add(1) <= p.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	p.received <- r.GetSuspects()
	return &peer.QuarantineResponse{}, nil
}

// TestQuarantineArrives guards against an instance that lets a request crash its upstream because the call that reports the first crash
// failed.
func TestQuarantineArrives(t *testing.T) {
	const bound = 3 * time.Second
	for _, test := range []struct {
		name string
		peer *quarantinePeer
	}{
		{"reachable", &quarantinePeer{}},
		{"no response to the first call", &quarantinePeer{silent: 1}},
		{"no response to the first three calls", &quarantinePeer{silent: 3}},
	} {
		t.Run(test.name, func(t *testing.T) {
			i, _ := newTestInstance(t)
			test.peer.received = make(chan []uint64, 1)
			server := httptest.NewUnstartedServer(http.NotFoundHandler())
			server.Config = caller.NewHTTPServer(peer.NewHandler(test.peer))
			server.Start()
			t.Cleanup(server.Close)
			i.directory.members["b"] = member.Record{
				Incarnation: member.NewIncarnation("b", 1), Service: "bookings", State: member.Ready,
				PeerAddress: server.Listener.Addr().String(),
			}
			i.broadcastQuarantine([]uint64{1}, nil)
			select {
			case got := <-test.peer.received:
				if len(got) != 1 || got[0] != 1 {
					t.Errorf("got the suspects %v, want 1", got)
				}
			case <-time.After(bound):
				t.Errorf("the crash wasn't reported within %v", bound)
			}
			i.background.Wait()
		})
	}
}
