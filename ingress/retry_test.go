package ingress_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/ingress"
)

// TestOwnerFails guards against giving up a request that may be repeated, after its key's owner has failed, before another instance has
// taken the key over. A request that can't be repeated, or for which too little time is left, isn't held.
func TestOwnerFails(t *testing.T) {
	tests := []struct {
		name, path string
		code       code.Code
		// failsAfter is when the owner fails, and heldFor how long the key has no owner then.
		failsAfter, heldFor time.Duration
		requested           string
		status              int
	}{
		{"the connection fails", "/keyed/", code.PeerFailed, 0, objective / 4, "b c", 200},
		{"the connection fails late", "/keyed/", code.PeerFailed, objective * 3 / 4, objective / 2, "b c", 200},
		{"the connection fails after the objective", "/keyed/", code.PeerFailed, objective * 3 / 2, objective / 4, "b c", 200},
		{"the owner stops", "/keyed/", code.Interrupted, objective * 3 / 4, objective / 2, "b c", 200},
		{"the owner's upstream fails", "/keyed/", code.UpstreamFailed, objective * 3 / 4, objective / 2, "b c", 200},
		{"the key is taken over too late", "/keyed/", code.PeerFailed, objective * 3 / 4, objective * 3 / 2, "b", 502},
		{"not idempotent", "/once/", code.PeerFailed, objective * 3 / 4, 0, "b", 502},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				d := newDeployment("b", nil)
				d.outcomes = map[string][]outcome{
					"b": {{failure: gateway.Failure{Code: test.code, Arrived: true}, run: func() {
						time.Sleep(test.failsAfter)
						d.setOwner("")
						time.AfterFunc(test.heldFor, func() { d.setOwner("c") })
					}}},
					"c": {{status: 200}},
				}
				w := httptest.NewRecorder()
				newServer(t, d, table(t)).ServeHTTP(w, request(t, test.path, "body", "Key", "7", "Left", timeout.String()))
				if d.order() != test.requested || w.Code != test.status {
					t.Errorf("requests went to %q, want %q; status %d, want %d: %s", d.order(), test.requested, w.Code, test.status, w.Body)
				}
				time.Sleep(timeout)
			})
		})
	}
}

// TestRetryWhileStopping guards against giving up a request that may have run because the process ends before the request's deadline: its
// repetition may succeed until then. A request that has not run is refused, so that its caller sends it elsewhere.
func TestRetryWhileStopping(t *testing.T) {
	lost := gateway.Failure{Code: code.PeerFailed, Arrived: true}
	refused := gateway.Failure{Code: code.UpstreamRefused}
	tests := []struct {
		name, path string
		failure    gateway.Failure
		requested  string
		status     int
	}{
		{"may have run", "/keyed/", lost, "b b", 200},
		{"may have run, not idempotent", "/once/", lost, "b", 502},
		{"has not run", "/keyed/", refused, "b", 503},
		{"has not run, not idempotent", "/once/", refused, "b", 503},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				var outlasts atomic.Bool
				first := outcome{failure: test.failure, run: func() { outlasts.Store(true) }}
				d := newDeployment("b", map[string][]outcome{"b": {first, {status: 200}}})
				w := httptest.NewRecorder()
				server := newServer(t, d, table(t), func(c *ingress.Config) {
					c.Outlasts = func(time.Time) bool { return outlasts.Load() }
				})
				server.ServeHTTP(w, request(t, test.path, "body", "Key", "7", "Left", "1s"))
				if d.order() != test.requested || w.Code != test.status {
					t.Errorf("requests went to %q, want %q; status %d, want %d: %s", d.order(), test.requested, w.Code, test.status, w.Body)
				}
			})
		})
	}
}

// TestLastUntriedInstance guards against giving up a request without a key although there is an instance that it wasn't sent to: the one
// that failed or refused it is no target any more.
func TestLastUntriedInstance(t *testing.T) {
	lost, ok := outcome{failure: gateway.Failure{Code: code.PeerFailed, Arrived: true}}, outcome{status: 200}
	unreachable := outcome{failure: gateway.Failure{Code: code.NoOwner}}
	leaving := outcome{failure: gateway.Failure{Code: code.Draining}}
	tests := []struct {
		name, path string
		first      outcome
	}{
		{"the connection fails", "/plain/", lost},
		{"no connection", "/plain-once/", unreachable},
		{"the instance stops", "/plain-once/", leaving},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				d := newDeployment("", map[string][]outcome{"b": {test.first}, "c": {ok}})
				d.marked = map[string]bool{"a": true}
				w := httptest.NewRecorder()
				newServer(t, d, table(t)).ServeHTTP(w, request(t, test.path, "body", "Left", "1s"))
				if d.order() != "b c" || w.Code != http.StatusOK {
					t.Errorf("requests went to %q, want %q; status %d: %s", d.order(), "b c", w.Code, w.Body)
				}
			})
		})
	}
}

// TestOnlyInstance guards against giving up a request that may be repeated because its service has a single instance.
func TestOnlyInstance(t *testing.T) {
	lost := outcome{failure: gateway.Failure{Code: code.UpstreamFailed, Arrived: true}}
	shed := outcome{failure: gateway.Failure{Code: code.Shed}}
	tests := []struct {
		name, path string
		outcomes   []outcome
		requested  string
		status     int
	}{
		{"lost", "/plain/", []outcome{lost, {status: 200}}, "b b", 200},
		{"lost twice", "/plain/", []outcome{lost, lost, {status: 200}}, "b b", 502},
		{"lost, not idempotent", "/plain-once/", []outcome{lost, {status: 200}}, "b", 502},
		{"full", "/plain/", []outcome{shed, {status: 200}}, "b", 503},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				d := newDeployment("", map[string][]outcome{"b": test.outcomes})
				d.marked = map[string]bool{"a": true, "c": true}
				w := httptest.NewRecorder()
				newServer(t, d, table(t)).ServeHTTP(w, request(t, test.path, "body", "Left", "1s"))
				if d.order() != test.requested || w.Code != test.status {
					t.Errorf("requests went to %q, want %q; status %d, want %d: %s", d.order(), test.requested, w.Code, test.status, w.Body)
				}
			})
		})
	}
}
