package instance

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphiretray/config"
	"sapphiretray/fake"
	"sapphiretray/member"
	"sapphiretray/object"
	"sapphiretray/partition"
	"sapphiretray/planner"
	"sapphiretray/settings"
	"sapphiretray/table"
)

// faultyObjects is a platform whose object store refuses or never answers reads, or whose table refuses calls.
type faultyObjects struct {
	platform     fake.Platform
	down, silent atomic.Bool
	tableDown    atomic.Bool
}

func (f *faultyObjects) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isRead := r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/v1/objects/")
	switch {
	case isRead && f.silent.Load():
		<-r.Context().Done()
	case isRead && f.down.Load(), f.tableDown.Load() && strings.HasPrefix(r.URL.Path, "/v1/rows"):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		f.platform.Handler().ServeHTTP(w, r)
	}
}

// newPollingInstance returns an instance that polls the table of a platform. It hasn't joined.
func newPollingInstance(t *testing.T, f *faultyObjects) *Instance {
	t.Helper()
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	const content = `{slot: a, region: r, data_centre: d, service: bookings, upstream: {url: "http://127.0.0.1:1"},
		platform: {table: "URL", object: "URL"},
		listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2", heartbeats: "127.0.0.1:2", admin: "127.0.0.1:3"}}`
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, []byte(strings.ReplaceAll(content, "URL", server.URL)), 0o600); err != nil {
		t.Fatal(err)
	}
	loaded, err := settings.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	i := New(loaded)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { i.pollTable(ctx) })
	running.Go(func() { i.runMaps(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return i
}

// putRow writes a row of the table.
func putRow(t *testing.T, i *Instance, key string, value any) {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := i.table.Commit(t.Context(), table.Transaction{Writes: []table.Write{{Key: key, Value: encoded}}}); err != nil {
		t.Fatal(err)
	}
}

// putMap writes the map of a service with one partition and its snapshot.
func putMap(t *testing.T, i *Instance, objects *object.Client, service string) {
	t.Helper()
	m, err := partition.New(service, 1)
	if err != nil {
		t.Fatal(err)
	}
	entry := partition.Entry{Epoch: 1, Members: []member.Incarnation{member.NewIncarnation("b", 1)}}
	if m, err = m.Apply(1, []partition.Move{{Partition: 0, Entry: entry}}); err != nil {
		t.Fatal(err)
	}
	content, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if err := objects.Put(t.Context(), planner.MapKey(service)+"/1", content); err != nil {
		t.Fatal(err)
	}
	putRow(t, i, planner.MapKey(service), planner.MapRow{
		Version: 1, Partitions: 1, Snapshot: planner.MapKey(service) + "/1", SnapshotVersion: 1,
	})
}

// TestMapAfterObjectStoreFailure guards against a map that never takes effect because the object store didn't return its snapshot when its
// row arrived.
func TestMapAfterObjectStoreFailure(t *testing.T) {
	f := &faultyObjects{}
	f.down.Store(true)
	i := newPollingInstance(t, f)
	putMap(t, i, i.objects, "bookings")
	time.Sleep(2 * pollInterval)
	f.down.Store(false)
	for back := time.Now(); i.directory.Map("bookings") == nil; time.Sleep(10 * time.Millisecond) {
		if time.Since(back) > 5*pollInterval {
			t.Fatalf("there is no map %v after the object store was back", time.Since(back))
		}
	}
}

// TestConfigWhileObjectStoreIsSilent guards against a configuration that takes effect late because rows that arrived with it wait for the
// object store.
func TestConfigWhileObjectStoreIsSilent(t *testing.T) {
	// bound is that of a configuration at the target scale.
	const bound = 8 * time.Second
	f := &faultyObjects{}
	i := newPollingInstance(t, f)
	f.silent.Store(true)
	for _, service := range []string{"bookings", "documents", "routes"} {
		putMap(t, i, i.objects, service)
	}
	putRow(t, i, config.RowKey, table.Accepted[config.Config]{ChangeInfo: table.ChangeInfo{Version: 1}})
	written := time.Now()
	for i.routes.current.Load() == nil && time.Since(written) < 20*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	if took := time.Since(written); took > bound {
		t.Errorf("the configuration took effect after %v, want at most %v", took, bound)
	}
}
