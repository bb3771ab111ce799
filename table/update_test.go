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

// service is a platform with faults that meet only writes, or reads that follow a write.
type service struct {
	fake.Platform
	url    string
	client *table.Client
	// lose is the number of writes whose answers are lost; after runs behind each of them, before the client reads back.
	lose  atomic.Int32
	after func()
}

func newService(t *testing.T) *service {
	t.Helper()
	s := &service{}
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

func update(ctx context.Context, c *table.Client, seen uint64, text string) (table.Accepted[string], error) {
	return table.Update(ctx, c, key, table.Change[string]{
		Seen: seen, By: "ana", Why: "test",
		Next: func(current string, _ uint64) (string, error) { return current + text, nil },
		Diff: func(older, newer string) []string { return []string{older + " -> " + newer} },
	})
}

func check(t *testing.T, err error, want code.Code) {
	t.Helper()
	if got, _ := code.Of(err); got != want {
		t.Errorf("got %v, want code %d", err, want)
	}
}

func (s *service) check(t *testing.T, want string) {
	t.Helper()
	s.Faults().Set(fake.Fault{})
	a, err := table.Read[string](t.Context(), s.client, key)
	if err != nil || a.Value != want || a.Version != uint64(len(want)) {
		t.Errorf("got version %d with %q, %v; want %q", a.Version, a.Value, err, want)
	}
}

// Guards against a change that is reported as failed although it took effect, or that is made twice.
func TestLostAnswer(t *testing.T) {
	s := newService(t)
	s.lose.Store(1)
	if _, err := update(t.Context(), s.client, 0, "a"); err != nil {
		t.Fatal(err)
	}
	s.check(t, "a")
}

// Guards against calling an accepted change a conflict because others changed the row before it was read back.
func TestLostAnswerThenChanged(t *testing.T) {
	s := newService(t)
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

// Guards against a definite answer where none can be given: the row can't be read back, or it has forgotten the change.
func TestUnknown(t *testing.T) {
	s := newService(t)
	s.after = func() { s.Faults().Set(fake.Fault{Mode: fake.Down}) }
	s.lose.Store(1)
	_, err := update(t.Context(), s.client, 0, "a")
	check(t, err, code.WriteUnknown)
	s.check(t, "a")

	// On a busy machine the updates take longer than the service's client waits, which would read back before they are done.
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
	check(t, err, code.WriteUnknown)
}

// Guards against a write that is still on its way when the row is read back, and takes effect later.
func TestDelayedWrite(t *testing.T) {
	s := newService(t)
	inner := s.Handler()
	var late func()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && late == nil {
			body := new(strings.Builder)
			_ = r.Write(body)
			late = func() {
				_, content, _ := strings.Cut(body.String(), "\r\n\r\n")
				again := httptest.NewRequest(http.MethodPost, r.URL.Path, strings.NewReader(content))
				recorder := httptest.NewRecorder()
				inner.ServeHTTP(recorder, again)
				if recorder.Code != http.StatusConflict {
					t.Errorf("the late write got %d", recorder.Code)
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
	late()
	s.check(t, "a")
}

// Guards against a change that is accepted, or reported as unknown, while the platform is down, slow or gone.
func TestPlatformDown(t *testing.T) {
	s := newService(t)
	for _, fault := range []fake.Fault{{Mode: fake.Down}, {Mode: fake.Slow, DelayMS: 1000}} {
		s.Faults().Set(fault)
		_, err := update(t.Context(), s.client, 0, "a")
		check(t, err, code.PlatformDown)
		s.check(t, "")
	}
	_, err := table.New("http://127.0.0.1:1").Commit(t.Context(), table.Transaction{})
	check(t, err, code.PlatformDown)
}

// Guards against a row that grows without bound, since every instance reads it, and against a conflict that doesn't say
// who changed what.
func TestConflict(t *testing.T) {
	s := newService(t)
	for n := range uint64(30) {
		if _, err := update(t.Context(), s.client, n, "x"); err != nil {
			t.Fatal(err)
		}
	}
	a, err := update(t.Context(), s.client, 28, "y")
	check(t, err, code.Conflict)
	want := fmt.Sprintf("version 30 by ana at %s (test): ", a.At.Format(time.RFC3339))
	if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "version 28 by") {
		t.Errorf("got %v, want %s", err, want)
	}
	if len(a.History) != 16 {
		t.Errorf("the row holds %d old stamps, want 16", len(a.History))
	}
	if a, err := update(t.Context(), s.client, table.AnyVersion, "z"); err != nil || a.Version != 31 {
		t.Errorf("any version: got %d, %v", a.Version, err)
	}
}
