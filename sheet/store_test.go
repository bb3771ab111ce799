package sheet

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"sapphiretray/code"
	"sapphiretray/fake"
	"sapphiretray/object"
	"sapphiretray/table"
)

// TestAccept guards against a sheet that takes effect without its object, a failed attempt that blocks the next version, and a
// second operator who overwrites the first one's sheet, or gets a conflict that doesn't name its author and its changes.
func TestAccept(t *testing.T) {
	var platform fake.Platform
	var lostResponses atomic.Int32
	handler := platform.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && lostResponses.Add(-1) >= 0 {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	clients := Clients{Table: table.New(server.URL), Object: object.New(server.URL)}
	accept := func(content string, seen uint64, by string) error {
		_, _, err := Accept(t.Context(), clients, Request{Content: []byte(content), Mode: Apply, Seen: seen, By: by, Why: "test"})
		return err
	}
	first := example(t)
	second := strings.Replace(first, "north,0.5,", "north,0,", 1)

	lostResponses.Store(10)
	if err := accept(first, 0, "ana"); !hasCode(err, code.PlatformDown) {
		t.Errorf("no object: %v", err)
	}
	lostResponses.Store(1)
	if err := accept(first, 0, "ana"); err != nil {
		t.Fatal(err)
	}
	if err := accept(second, 1, "ben"); err != nil {
		t.Fatal(err)
	}
	err := accept(first, 1, "ana")
	if !hasCode(err, code.Conflict) || !strings.Contains(err.Error(), "version 2 by ben") ||
		!strings.Contains(err.Error(), "modify place bookings north-2 north: value 0.5 -> 0") {
		t.Errorf("got %v, want a conflict that names ben and the capacity", err)
	}
	if err := accept(first+"x", 2, "ana"); !hasCode(err, code.BadSheet) {
		t.Errorf("faulty sheet: %v", err)
	}
	platform.Faults().Set(fake.Fault{Mode: fake.Down})
	if err := accept(first, 2, "ana"); !hasCode(err, code.PlatformDown) {
		t.Errorf("platform down: %v", err)
	}
	platform.Faults().Set(fake.Fault{})
	s, entry, err := Current(t.Context(), clients)
	if capacity, _ := s.Capacity("north-2"); err != nil || entry.Version != 2 || capacity != 0 {
		t.Errorf("got version %d, capacity %g, %v", entry.Version, capacity, err)
	}
}

func hasCode(err error, want code.Code) bool {
	got, _ := code.Of(err)
	return got == want
}
