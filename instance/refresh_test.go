package instance

import (
	"context"
	"encoding/json"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"sapphiretray/caller"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/table"
)

// rowsPeer is another instance that has rows up to a revision.
type rowsPeer struct {
	peer.Peer
	revision uint64
}

func (p *rowsPeer) Fetch(context.Context, *peer.FetchRequest) (*peer.FetchResponse, error) {
	value, err := json.Marshal(table.Changes{Rows: []table.Row{}, Revision: p.revision})
	return &peer.FetchResponse{Value: value, Version: p.revision}, err
}

// TestFetchBesideSilentInstance guards against rows that arrive late because requests make the instance fetch them again and again from
// one that doesn't respond.
func TestFetchBesideSilentInstance(t *testing.T) {
	const bound = 2 * time.Second
	i, _ := newTestInstance(t)
	silent, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	responding := httptest.NewUnstartedServer(nil)
	responding.Config = caller.NewHTTPServer(peer.NewHandler(&rowsPeer{revision: 5}))
	responding.Start()
	t.Cleanup(responding.Close)
	for slot, address := range map[string]string{"b": silent.Addr().String(), "c": responding.Listener.Addr().String()} {
		i.directory.members[slot] = member.Record{
			Incarnation: member.NewIncarnation(slot, 1), Service: "bookings", State: member.Ready, PeerAddress: address,
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { i.runFetches(ctx) })
	requests := &callerDirectory{directory: i.directory, session: &session{instance: i, self: member.NewIncarnation("a", 1)}}
	for began, n := time.Now(), 0; i.rowCache.Revision() < 5; n++ {
		if time.Since(began) > 10*bound {
			t.Fatalf("no rows after %v", time.Since(began))
		}
		requests.Refresh("bookings", 5)
		if n%200 == 0 {
			i.observeVersions("c", &peer.Versions{Table: 5})
		}
		time.Sleep(time.Millisecond)
		if took := time.Since(began); i.rowCache.Revision() == 5 && took > bound {
			t.Errorf("the rows arrived after %v, want at most %v", took, bound)
		}
	}
}
