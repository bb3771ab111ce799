package instance

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphiretray/caller"
	"sapphiretray/heartbeat"
	"sapphiretray/member"
	"sapphiretray/partition"
	"sapphiretray/peer"
	"sapphiretray/settings"
)

// grantingUpstream records the grants of partitions with their ends in milliseconds of the local clock. While stalled is set, its
// calls get no response.
type grantingUpstream struct {
	stalled atomic.Bool
	mu      sync.Mutex
	ends    map[int]int64
	served  http.ServeMux
}

func newGrantingUpstream() *grantingUpstream {
	u := &grantingUpstream{ends: make(map[int]int64)}
	u.served.HandleFunc("GET /sapphire/health", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"ready": true, "clock": time.Now().UnixMilli()})
	})
	respond := func(w http.ResponseWriter) {
		_ = json.NewEncoder(w).Encode(map[string]any{"clock": time.Now().UnixMilli()})
	}
	type body struct {
		Partition int   `json:"partition"`
		Expires   int64 `json:"expires"`
	}
	u.served.HandleFunc("PUT /sapphire/grant", func(w http.ResponseWriter, r *http.Request) {
		var g body
		_ = json.NewDecoder(r.Body).Decode(&g)
		u.mu.Lock()
		defer u.mu.Unlock()
		u.ends[g.Partition] = g.Expires
		respond(w)
	})
	u.served.HandleFunc("POST /sapphire/renew", func(w http.ResponseWriter, r *http.Request) {
		var renewal body
		_ = json.NewDecoder(r.Body).Decode(&renewal)
		u.mu.Lock()
		defer u.mu.Unlock()
		for p, end := range u.ends {
			u.ends[p] = max(end, renewal.Expires)
		}
		respond(w)
	})
	u.served.HandleFunc("DELETE /sapphire/grant/{partition}", func(w http.ResponseWriter, r *http.Request) {
		p, _ := strconv.Atoi(r.PathValue("partition"))
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.ends, p)
		respond(w)
	})
	return u
}

func (u *grantingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if u.stalled.Load() {
		<-r.Context().Done()
		return
	}
	u.served.ServeHTTP(w, r)
}

// heldFor returns how long the upstream still holds a partition.
func (u *grantingUpstream) heldFor(p int) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(max(u.ends[p]-time.Now().UnixMilli(), 0)) * time.Millisecond
}

// resignWitness is a witness that reports each resignation.
type resignWitness struct {
	peer.Peer
	resigned func()
}

func (w *resignWitness) Resign(context.Context, *peer.ResignRequest) (*peer.ResignResponse, error) {
	w.resigned()
	return &peer.ResignResponse{}, nil
}

// TestResignationAfterGrants guards against a resignation while the upstream holds partitions: the witnesses then confirm the expiry at
// once, and a successor serves beside the upstream until its grants end with the lease.
func TestResignationAfterGrants(t *testing.T) {
	for _, test := range []struct {
		name    string
		stalled bool
		// limit is the longest time from the end of the upstream's service to the resignation.
		limit time.Duration
	}{
		{"upstream responds", false, 300 * time.Millisecond},
		{"upstream doesn't respond", true, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			granting := newGrantingUpstream()
			server := httptest.NewServer(granting)
			defer server.Close()
			defer server.CloseClientConnections()
			resigned := make(chan time.Duration, 1)
			s := newGrantingSession(t, server.URL, func() {
				select {
				case resigned <- granting.heldFor(0):
				default:
				}
			})
			waitUntil(t, "the partition is served", func() bool { return len(s.owned.Serving()) > 0 && granting.heldFor(0) > 0 })
			granting.stalled.Store(test.stalled)
			started := time.Now()
			s.upstreamFailed()
			select {
			case held := <-resigned:
				if held > 0 {
					t.Errorf("the upstream holds the partition for %v after the resignation", held)
				}
				if took := time.Since(started); took > test.limit {
					t.Errorf("the resignation took %v, want at most %v", took, test.limit)
				}
			case <-time.After(5 * time.Second):
				t.Error("no resignation")
			}
		})
	}
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 500 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timeout: %s", what)
}

// newGrantingSession returns a running session that owns partition 0 and whose witnesses are itself and another instance, which calls
// resigned for each resignation.
func newGrantingSession(t *testing.T, upstreamURL string, resigned func()) *session {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.yaml")
	const content = `{slot: a, region: r, data_centre: d, service: bookings, upstream: {url: "UPSTREAM", checks_grants: true},
		platform: {table: "http://127.0.0.1:1", object: "http://127.0.0.1:1"},
		listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2", heartbeats: "HEARTBEATS", admin: "127.0.0.1:3"}}`
	free, err := (&net.ListenConfig{}).ListenPacket(t.Context(), "udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = free.Close()
	filled := strings.NewReplacer("UPSTREAM", upstreamURL, "HEARTBEATS", free.LocalAddr().String()).Replace(content)
	if err := os.WriteFile(file, []byte(filled), 0o600); err != nil {
		t.Fatal(err)
	}
	loaded, err := settings.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	i := New(loaded)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
		i.background.Wait()
	})
	other := heartbeat.New(member.NewIncarnation("b", 1))
	address, err := other.Listen()
	if err != nil {
		t.Fatal(err)
	}
	running.Go(func() { _ = other.Run(ctx) })
	calls := httptest.NewUnstartedServer(nil)
	calls.Config = caller.NewHTTPServer(peer.NewHandler(&resignWitness{resigned: resigned}))
	calls.Start()
	t.Cleanup(calls.Close)
	i.directory.members["b"] = member.Record{
		Incarnation: member.NewIncarnation("b", 1), PeerAddress: calls.Listener.Addr().String(), HeartbeatAddress: address,
	}
	self := member.NewIncarnation("a", 1)
	s := newSession(ctx, i, member.Record{Incarnation: self, Service: "bookings", Witnesses: []string{"a", "b"}}, 1)
	if err := s.endpoint.SetWitnesses(i.witnessAddresses(s.record.Witnesses)); err != nil {
		t.Fatal(err)
	}
	running.Go(func() { i.upstream.Watch(ctx, i.observeUpstream) })
	running.Go(func() { _ = s.endpoint.Run(s.ctx) })
	running.Go(func() { s.renewGrants(s.ctx) })
	m, err := partition.New("bookings", 1)
	if err != nil {
		t.Fatal(err)
	}
	entry := partition.Entry{Epoch: 1, Members: []member.Incarnation{self}}
	if m, err = m.Apply(1, []partition.Move{{Partition: 0, Entry: entry}}); err != nil {
		t.Fatal(err)
	}
	s.owned.Update(m)
	return s
}
