package fake_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"sapphiretray/fake"
)

// send serves one request without a network and returns the response.
func send(u *fake.Upstream, method, path, body string, header map[string]string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	u.Handler().ServeHTTP(w, r)
	return w
}

// TestUpstreamRefusals guards against a request that takes effect although the response says that it didn't run, and the reverse.
func TestUpstreamRefusals(t *testing.T) {
	tests := []struct {
		name    string
		options []fake.UpstreamOption
		path    string // Path of a call made before the request.
		header  map[string]string
		status  int
	}{
		{"serves", nil, "", nil, http.StatusOK},
		{"cold", []fake.UpstreamOption{fake.WithColdStart(time.Hour)}, "", nil, http.StatusServiceUnavailable},
		{"drained", nil, "/sapphire/drain", nil, http.StatusServiceUnavailable},
		{"no grant", []fake.UpstreamOption{fake.WithGrantCheck()}, "", nil, http.StatusConflict},
		{
			"deadline",
			[]fake.UpstreamOption{fake.WithServiceTime(time.Second)},
			"",
			map[string]string{"Sapphire-Deadline": "20"},
			http.StatusGatewayTimeout,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			u := fake.NewUpstream(test.options...)
			if test.path != "" {
				send(u, "POST", test.path, "", nil)
			}
			w := send(u, "POST", "/book/k", "b", test.header)
			ran := w.Header().Get("Sapphire-Ran") != "no"
			if w.Code != test.status || ran != (w.Code == http.StatusOK) || len(u.Effects()) == 1 != ran {
				t.Fatalf("status %d, ran %v, %d effects", w.Code, ran, len(u.Effects()))
			}
		})
	}
}

// TestUpstreamQueue guards against an upstream that runs more requests at the same time than it has slots, or whose queue is unbounded.
func TestUpstreamQueue(t *testing.T) {
	u := fake.NewUpstream(fake.WithSlots(2), fake.WithServiceTime(50*time.Millisecond), fake.WithMaxQueued(2))
	var group sync.WaitGroup
	for range 12 {
		group.Go(func() { send(u, "POST", "/book/k", "b", nil) })
	}
	time.Sleep(25 * time.Millisecond)
	if n := u.Running(); n != 2 {
		t.Errorf("%d requests run at the same time, want 2", n)
	}
	group.Wait()
	if n := len(u.Effects()); n < 2 || n > 11 {
		t.Errorf("%d of 12 requests ran, want 2 to 11", n)
	}
	var response fake.Response
	if err := json.NewDecoder(send(u, "GET", "/book/k", "", nil).Body).Decode(&response); err != nil || response.Count != len(u.Effects()) {
		t.Errorf("%+v, %v", response, err)
	}
}

// TestUpstreamFaultEndpoint guards against a known fault mode that is refused and an unknown one that is accepted.
func TestUpstreamFaultEndpoint(t *testing.T) {
	u := fake.NewUpstream()
	server := httptest.NewServer(u.Handler())
	defer server.Close()
	for mode, status := range map[string]int{"freeze": 200, "none": 200, "melt": 400} {
		resp, err := http.Post(server.URL+"/fault", "application/json", strings.NewReader(`{"mode":"`+mode+`"}`))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != status {
			t.Errorf("%s: status %d", mode, resp.StatusCode)
		}
	}
}
