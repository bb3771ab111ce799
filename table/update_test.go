package table_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sapphiretray/code"
	"sapphiretray/fake"
	"sapphiretray/table"
)

const key = "config"

// faultyPlatform is a platform that loses the responses to writes. Other faults can be set in after.
type faultyPlatform struct {
	fake.Platform
	url    string
	client *table.Client
	// lose is the number of writes whose responses will be lost.
	lose atomic.Int32
	// after, if set, runs after each of these writes has taken effect and before the client reads the row.
	after func()
}

func newFaultyPlatform(t *testing.T) *faultyPlatform {
	t.Helper()
	s := &faultyPlatform{}
	inner := s.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || s.lose.Add(-1) < 0 {
			inner.ServeHTTP(w, r)
			return
		}
		inner.ServeHTTP(httptest.NewRecorder(), r)
		if s.after != nil {
			s.after()
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	s.url = server.URL
	s.client = table.New(server.URL, table.WithTimeout(100*time.Millisecond))
	return s
}

// update appends text to the row's value.
func update(ctx context.Context, c *table.Client, seen uint64, text string) (table.Accepted[string], error) {
	return table.Update(ctx, c, key, table.Change[string]{
		Seen: seen, By: "ana", Why: "test",
		Next: func(current string, _ uint64) (string, error) { return current + text, nil },
		Diff: func(older, newer string) []string { return []string{older + " -> " + newer} },
	})
}

// checkCode checks the code of an error.
func checkCode(t *testing.T, err error, want code.Code) {
	t.Helper()
	if got, _ := code.Of(err); got != want {
		t.Errorf("got %v, want code %d", err, want)
	}
}

// check clears the faults and checks the row's value, which grows by one byte with each version.
func (s *faultyPlatform) check(t *testing.T, want string) {
	t.Helper()
	s.Faults().Set(fake.Fault{})
	a, err := table.Read[string](t.Context(), s.client, key)
	if err != nil || a.Value != want || a.Version != uint64(len(want)) {
		t.Errorf("got version %d with %q, %v; want %q", a.Version, a.Value, err, want)
	}
}

// TestLostResponse guards against a change that is reported as failed although it took effect, or that is made twice.
func TestLostResponse(t *testing.T) {
	s := newFaultyPlatform(t)
	s.lose.Store(1)
	if _, err := update(t.Context(), s.client, 0, "a"); err != nil {
		t.Fatal(err)
	}
	s.check(t, "a")
}

// TestLostResponseThenChanged guards against reporting a conflict for a change that took effect, because others changed the row before
// it was read to find out.
func TestLostResponseThenChanged(t *testing.T) {
	s := newFaultyPlatform(t)
	s.after = func() {
		for n := range uint64(3) {
			if _, err := update(t.Context(), s.client, n+1, "x"); err != nil {
				t.Error(err)
			}
		}
	}
	s.lose.Store(1)
	if a, err := update(t.Context(), s.client, 0, "a"); err != nil || a.Version != 1 {
		t.Fatalf("got version %d, %v", a.Version, err)
	}
	s.check(t, "axxx")
}

// TestUnknown guards against reporting a definite outcome where it can't be known: the row can't be read after the write, or its history
// no longer goes back to the change.
func TestUnknown(t *testing.T) {
	s := newFaultyPlatform(t)
	s.after = func() { s.Faults().Set(fake.Fault{Mode: fake.Down}) }
	s.lose.Store(1)
	_, err := update(t.Context(), s.client, 0, "a")
	checkCode(t, err, code.WriteUnknown)
	s.check(t, "a")

	// The default client of the test would time out on a busy machine, and read the row before all of these updates are done.
	s.client = table.New(s.url, table.WithTimeout(5*time.Second))
	s.after = func() {
		for n := range uint64(20) {
			if _, err := update(t.Context(), s.client, n+2, "x"); err != nil {
				t.Error(err)
			}
		}
	}
	s.lose.Store(1)
	_, err = update(t.Context(), s.client, 1, "b")
	checkCode(t, err, code.WriteUnknown)
}

// TestDelayedWrite guards against a write that is still in transit when the row is read, and takes effect later.
func TestDelayedWrite(t *testing.T) {
	s := newFaultyPlatform(t)
	inner := s.Handler()
	var delayed func()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && delayed == nil {
			body := new(strings.Builder)
			_ = r.Write(body)
			delayed = func() {
				_, content, _ := strings.Cut(body.String(), "\r\n\r\n")
				again := httptest.NewRequest(http.MethodPost, r.URL.Path, strings.NewReader(content))
				recorder := httptest.NewRecorder()
				inner.ServeHTTP(recorder, again)
				if recorder.Code != http.StatusConflict {
					t.Errorf("the delayed write got status %d", recorder.Code)
				}
			}
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(w, r)
	}))
	defer server.Close()
	if _, err := update(t.Context(), table.New(server.URL), 0, "a"); err != nil {
		t.Fatal(err)
	}
	delayed()
	s.check(t, "a")
}

// TestPlatformDown guards against a change that takes effect, or is reported as unknown, although the platform is down, slow or
// unreachable.
func TestPlatformDown(t *testing.T) {
	s := newFaultyPlatform(t)
	for _, fault := range []fake.Fault{{Mode: fake.Down}, {Mode: fake.Slow, DelayMS: 1000}} {
		s.Faults().Set(fault)
		_, err := update(t.Context(), s.client, 0, "a")
		checkCode(t, err, code.PlatformDown)
		s.check(t, "")
	}
	_, err := table.New("http://127.0.0.1:1").Commit(t.Context(), table.Transaction{})
	checkCode(t, err, code.PlatformDown)
}

// TestConflict guards against a row whose history grows without bound, since every instance reads it, and against a conflict that
// doesn't tell who changed what.
func TestConflict(t *testing.T) {
	s := newFaultyPlatform(t)
	for n := range uint64(30) {
		if _, err := update(t.Context(), s.client, n, "x"); err != nil {
			t.Fatal(err)
		}
	}
	a, err := update(t.Context(), s.client, 28, "y")
	checkCode(t, err, code.Conflict)
	want := fmt.Sprintf("version 30 by ana at %s (test): ", a.At.Format(time.RFC3339))
	if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "version 28 by") {
		t.Errorf("got %v, want %s", err, want)
	}
	if len(a.History) != 16 {
		t.Errorf("the row holds %d earlier changes, want 16", len(a.History))
	}
	if a, err := update(t.Context(), s.client, table.AnyVersion, "z"); err != nil || a.Version != 31 {
		t.Errorf("any version: got %d, %v", a.Version, err)
	}
}
