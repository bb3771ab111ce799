package ingress_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/code"
	"sapphiretray/gateway"
)

// TestUnresponsiveInstance guards against giving up a request at an instance that doesn't respond for a moment, although its upstream is
// at work on it and no other instance has responded yet, and against a refusal that is reported as a failure, or the reverse.
func TestUnresponsiveInstance(t *testing.T) {
	silent := func(late outcome) outcome {
		late.after = 100 * time.Millisecond
		return outcome{failure: gateway.Failure{Code: code.PeerFailed, Arrived: true}, pending: &late}
	}
	lost := outcome{failure: gateway.Failure{Code: code.UpstreamFailed, Arrived: true}}
	full := outcome{failure: gateway.Failure{Code: code.Shed}}
	ok, failed := outcome{status: 200}, outcome{status: 500}
	slow := outcome{status: 200, after: 300 * time.Millisecond}
	tests := []struct {
		name, path string
		outcomes   map[string][]outcome
		requested  string
		status     int
		from       string
		took       time.Duration
	}{
		{"served by another instance", "/plain/", map[string][]outcome{"b": {silent(ok)}, "a": {full}, "c": {ok}}, "a b c", 200, "c", 0},
		{"the retry is refused", "/keyed/", map[string][]outcome{"b": {silent(ok), full}}, "b b", 200, "b", 100},
		{"the retry fails", "/keyed/", map[string][]outcome{"b": {silent(ok), lost}}, "b b", 200, "b", 100},
		{"the retry is slow", "/plain/", map[string][]outcome{"b": {silent(ok)}, "a": {full}, "c": {slow}}, "a b c", 200, "b", 100},
		{
			"the late response is a failure", "/plain/",
			map[string][]outcome{"b": {silent(failed)}, "a": {full}, "c": {slow}},
			"a b c", 200, "c", 300,
		},
		{
			"only the late response, a failure", "/plain/",
			map[string][]outcome{"b": {silent(failed)}, "a": {full}, "c": {lost}},
			"a b c", 500, "b", 100,
		},
		{
			"the retry gets a failure", "/plain/",
			map[string][]outcome{"b": {silent(ok)}, "a": {full}, "c": {failed}},
			"a b c", 200, "b", 100,
		},
		{"both get a failure", "/plain/", map[string][]outcome{"b": {silent(failed)}, "a": {full}, "c": {failed}}, "a b c", 500, "b", 100},
		{
			"the first is lost, the retry gets a failure", "/plain/",
			map[string][]outcome{"b": {silent(lost)}, "a": {full}, "c": {failed}},
			"a b c", 500, "c", 100,
		},
		{"attempts of the route used up", "/keyed/", map[string][]outcome{"b": {lost, silent(ok)}}, "b b", 200, "b", 100},
		{"both fail", "/keyed/", map[string][]outcome{"b": {silent(lost), lost}}, "b b", 502, "", 100},
		{"the first is lost, the retry refused", "/keyed/", map[string][]outcome{"b": {silent(lost), full}}, "b b", 502, "", 100},
		{"both refuse", "/keyed/", map[string][]outcome{"b": {silent(full), full}}, "b b", 503, "", 100},
		{"both refuse late", "/keyed/", map[string][]outcome{"b": {silent(full), silent(full)}}, "b b", 503, "", 100},
		{"the retry refuses late", "/keyed/", map[string][]outcome{"b": {lost, silent(full)}}, "b b", 502, "", 100},
		{"silent twice, the first responds", "/keyed/", map[string][]outcome{"b": {silent(ok), silent(lost)}}, "b b", 200, "b", 100},
		{"silent twice, the second responds", "/keyed/", map[string][]outcome{"b": {silent(lost), silent(ok)}}, "b b", 200, "b", 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				d := newDeployment("b", test.outcomes)
				w := httptest.NewRecorder()
				begun := time.Now()
				newServer(t, d, table(t)).ServeHTTP(w, request(t, test.path, "body", "Key", "7", "Left", "1s"))
				if d.order() != test.requested || w.Code != test.status || w.Header().Get("X-From") != test.from {
					t.Errorf("requests went to %q, want %q; status %d from %q, want %d from %q", d.order(), test.requested,
						w.Code, w.Header().Get("X-From"), test.status, test.from)
				}
				if took := time.Since(begun); took != test.took*time.Millisecond {
					t.Errorf("took %v, want %d ms", took, test.took)
				}
			})
		})
	}
}

// TestUnresponsiveInstanceIsAbandoned guards against requests that go on at an instance that doesn't respond when another one has
// responded, or when the caller has left.
func TestUnresponsiveInstanceIsAbandoned(t *testing.T) {
	silent := outcome{failure: gateway.Failure{Code: code.PeerFailed, Arrived: true}, pending: &outcome{status: 200, after: time.Hour}}
	ok, full := outcome{status: 200}, outcome{failure: gateway.Failure{Code: code.Shed}}
	tests := []struct {
		name     string
		outcomes map[string][]outcome
		took     time.Duration
	}{
		{"another instance responds", map[string][]outcome{"a": {full}, "b": {silent}, "c": {ok}}, 0},
		{"the caller leaves", map[string][]outcome{"a": {full}, "b": {silent}, "c": {full}}, 200 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				d := newDeployment("b", test.outcomes)
				begun := time.Now()
				ctx, leave := context.WithTimeout(t.Context(), 200*time.Millisecond)
				defer leave()
				defer func() {
					// A request whose caller has left is aborted.
					_ = recover()
					d.group.Wait()
					if took := time.Since(begun); took != test.took {
						t.Errorf("requests were in progress for %v, want %v", took, test.took)
					}
				}()
				r := request(t, "/plain/", "body", "Left", "1s").WithContext(ctx)
				newServer(t, d, table(t)).ServeHTTP(httptest.NewRecorder(), r)
			})
		})
	}
}
