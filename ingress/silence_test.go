package ingress_test

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"sapphiretray/code"
	"sapphiretray/gateway"
)

// TestUnresponsiveInstance guards against giving up a request at an instance that doesn't respond for a moment, although its upstream is
// at work on it and no other instance serves the request.
func TestUnresponsiveInstance(t *testing.T) {
	silent := func(late outcome) outcome {
		return outcome{failure: gateway.Failure{Code: code.PeerFailed, Arrived: true}, pending: &late}
	}
	lost := outcome{failure: gateway.Failure{Code: code.UpstreamFailed, Arrived: true}}
	full := outcome{failure: gateway.Failure{Code: code.Shed}}
	ok := outcome{status: 200}
	tests := []struct {
		name, path string
		outcomes   map[string][]outcome
		requested  string
		status     int
		from       string
		abandoned  int64
	}{
		{"served by another instance", "/plain/", map[string][]outcome{"b": {silent(ok)}, "a": {full}, "c": {ok}}, "a b c", 200, "c", 1},
		{"the retry is refused", "/keyed/", map[string][]outcome{"b": {silent(ok), full}}, "b b", 200, "b", 0},
		{"the retry fails", "/keyed/", map[string][]outcome{"b": {silent(ok), lost}}, "b b", 200, "b", 0},
		{"attempts of the route used up", "/keyed/", map[string][]outcome{"b": {lost, silent(ok)}}, "b b", 200, "b", 0},
		{"both fail", "/keyed/", map[string][]outcome{"b": {silent(lost), lost}}, "b b", 502, "", 0},
		{"silent twice", "/keyed/", map[string][]outcome{"b": {silent(lost), silent(ok)}}, "b b", 200, "b", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment("b", test.outcomes)
				w := httptest.NewRecorder()
				newServer(t, d, table(t)).ServeHTTP(w, request(t, test.path, "body", "Key", "7", "Left", "1s"))
				if d.order() != test.requested || w.Code != test.status || w.Header().Get("X-From") != test.from {
					t.Errorf("requests went to %q, want %q; status %d from %q, want %d from %q", d.order(), test.requested,
						w.Code, w.Header().Get("X-From"), test.status, test.from)
				}
				if got := d.abandoned.Load(); got != test.abandoned {
					t.Errorf("%d pending requests were abandoned, want %d", got, test.abandoned)
				}
			})
		})
	}
}
