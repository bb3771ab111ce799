package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"sapphiretray/caller"
	"sapphiretray/code"
	"sapphiretray/config"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/table"
)

// TestNoRouteInDoubt guards against a 404 from an instance that may lack a newer configuration. Callers don't retry a 404.
func TestNoRouteInDoubt(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(i *Instance)
		want    code.Code
	}{
		{"no configuration yet", func(i *Instance) { i.routes.current.Store(nil) }, code.ConfigOutdated},
		{"up to date", func(*Instance) {}, code.NoRoute},
		{"newer rows announced", func(i *Instance) { i.observeVersions("b", &peer.Versions{Table: 5}) }, code.ConfigOutdated},
		{"older rows announced", func(i *Instance) { i.observeVersions("b", &peer.Versions{Table: 0}) }, code.NoRoute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			i, _ := newTestInstance(t)
			i.routes.current.Store(&config.Config{})
			test.prepare(i)
			if got := requestUnknownRoute(t, i); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestNoRouteWhileTableFails guards against a 404 from an instance whose last poll of the table failed.
func TestNoRouteWhileTableFails(t *testing.T) {
	f := &faultyObjects{}
	i := newPollingInstance(t, f)
	i.routes.current.Store(&config.Config{})
	await := func(what string, want code.Code) {
		t.Helper()
		for began := time.Now(); requestUnknownRoute(t, i) != want; time.Sleep(10 * time.Millisecond) {
			if time.Since(began) > 5*pollInterval {
				t.Fatalf("%s: got %v, want %v", what, requestUnknownRoute(t, i), want)
			}
		}
	}
	await("polled", code.NoRoute)
	f.tableDown.Store(true)
	await("polls fail", code.ConfigOutdated)
	f.tableDown.Store(false)
	await("polls succeed again", code.NoRoute)
}

// requestUnknownRoute returns the result code of a request that no route matches.
func requestUnknownRoute(t *testing.T, i *Instance) code.Code {
	t.Helper()
	directory := &callerDirectory{directory: i.directory, session: &session{instance: i, self: member.NewIncarnation("a", 1)}}
	server := caller.New(nil, directory, &i.routes, i.upstream)
	w := httptest.NewRecorder()
	server.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/unknown", http.NoBody))
	number, err := strconv.Atoi(w.Header().Get(caller.HeaderCode))
	if err != nil {
		t.Fatal(err)
	}
	if c := code.Code(number); w.Code != c.Entry().Status() || c == code.ConfigOutdated && w.Header().Get("Retry-After") == "" {
		t.Errorf("status %d and Retry-After %q with %v", w.Code, w.Header().Get("Retry-After"), c)
	}
	return code.Code(number)
}

// TestNoRouteAfterLostRevision guards against an instance that never answers 404 again, because a revision of the table was announced to it
// that nobody has any more. Instances that are not readers get rows from others.
func TestNoRouteAfterLostRevision(t *testing.T) {
	const bound = 3 * time.Second
	upstream := httptest.NewServer(newGrantingUpstream())
	defer upstream.Close()
	defer upstream.CloseClientConnections()
	s := newGrantingSession(t, upstream.URL, func() {})
	i := s.instance
	i.table = newPollingInstance(t, &faultyObjects{}).table
	i.routes.current.Store(&config.Config{})
	i.session.Store(s)
	waitUntil(t, "the lease is valid", func() bool { return s.lease().Valid() })
	for n := 0; i.isReader(); n++ {
		slot := fmt.Sprint("slot-", n)
		row, err := json.Marshal(member.Record{
			Incarnation: member.NewIncarnation(slot, 1), Service: "bookings", Region: "r", DataCentre: "d", State: member.Ready,
		})
		if err != nil {
			t.Fatal(err)
		}
		i.directory.setMember(table.Row{Key: member.RowPrefix + slot, Version: 1, Value: row})
	}
	i.observeVersions("b", &peer.Versions{Table: 5})
	ctx, cancel := context.WithCancel(t.Context())
	var polling sync.WaitGroup
	polling.Go(func() { i.pollTable(ctx) })
	defer func() {
		cancel()
		polling.Wait()
	}()
	began := time.Now()
	for requestUnknownRoute(t, i) != code.NoRoute {
		if time.Since(began) > bound {
			t.Fatalf("got %v after %v, want %v", requestUnknownRoute(t, i), bound, code.NoRoute)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
