package ingress_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/code"
	"sapphiretray/forward"
	"sapphiretray/gateway"
	"sapphiretray/ingress"
)

// boundedDeployment records how its instances were asked: for a response within a bound (b), as a request that left its data centre (s), or
// without a bound.
type boundedDeployment struct {
	*deployment
	// load is that of the local upstream.
	load  gateway.Load
	asked []string
}

func (d *boundedDeployment) record(slot string, r *gateway.Request) {
	if r.Within > 0 {
		slot += "b"
	}
	if r.Spilled {
		slot += "s"
	}
	d.asked = append(d.asked, slot)
}

// boundedUpstream is the local upstream, and boundedRemote forwards to the other instances.
type (
	boundedUpstream struct{ *boundedDeployment }
	boundedRemote   struct{ *boundedDeployment }
)

func (u boundedUpstream) Do(ctx context.Context, r *gateway.Request) (*gateway.Response, error) {
	u.record("a", r)
	return upstream{u.deployment}.Do(ctx, r)
}

func (boundedUpstream) Running(string) (gateway.Parent, bool)              { return gateway.Parent{}, false }
func (u boundedUpstream) RouteLoad(string) gateway.Load                    { return u.load }
func (u boundedUpstream) ObserveNestedCall(*gateway.Request, gateway.Load) {}

func (u boundedRemote) Do(ctx context.Context, address string, r *gateway.Request) (forward.Result, error) {
	u.record(address, r)
	return remote{u.deployment}.Do(ctx, address, r)
}

// TestBusyInstances guards against a request that is refused to its caller, or sent in circles, because each instance expects another one
// to respond sooner; and against one that stays in a data centre without room, or leaves it for one that has none.
func TestBusyInstances(t *testing.T) {
	busy, ok := outcome{failure: gateway.Failure{Code: code.Busy}}, outcome{status: 200}
	shed := outcome{failure: gateway.Failure{Code: code.Shed}}
	free := gateway.Load{Slots: 4, ServiceTime: 100 * time.Millisecond, Slowness: 1}
	full := gateway.Load{Slots: 4, Running: 4, Waiting: 20, ServiceTime: 100 * time.Millisecond, Slowness: 1}
	// unknown is the load of an upstream that doesn't report its speed.
	unknown := gateway.Load{Slots: 4, Running: 4, Waiting: 4, ServiceTime: 100 * time.Millisecond}
	tests := []struct {
		name     string
		load     gateway.Load
		away     string
		outcomes map[string][]outcome
		asked    string
		status   int
	}{
		{"one is busy", free, "", map[string][]outcome{"a": {busy}, "b": {ok}}, "ab b", 200},
		{"busy, then free", free, "", map[string][]outcome{"a": {busy, ok}, "b": {shed}, "c": {shed}}, "ab b c a", 200},
		{"busy without a bound", free, "", map[string][]outcome{"a": {busy}, "b": {busy}, "c": {busy}}, "ab b c a", 503},
		{"no upstream in the data centre", free, "a b", map[string][]outcome{"c": {ok}}, "c", 200},
		{"room elsewhere", full, "b", map[string][]outcome{"a": {ok}, "c": {ok}}, "cbs", 200},
		{"no room elsewhere", full, "b", map[string][]outcome{"a": {ok}, "c": {busy}}, "cbs a", 200},
		{"a constant cost", unknown, "b", map[string][]outcome{"a": {ok}, "c": {ok}}, "c", 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				d := &boundedDeployment{deployment: newDeployment("", test.outcomes), load: test.load}
				d.marked = make(map[string]bool)
				for _, slot := range strings.Fields(test.away) {
					d.marked[slot] = true
				}
				server := newServer(t, d.deployment, table(t), func(c *ingress.Config) {
					c.Local, c.Forwarder = boundedUpstream{d}, boundedRemote{d}
				})
				w := httptest.NewRecorder()
				// The share that may leave is below 1 at first.
				for range 100 {
					d.asked = nil
					w = httptest.NewRecorder()
					server.ServeHTTP(w, request(t, "/plain/", "body", "Left", "1s"))
					if !strings.Contains(test.asked, "s") || strings.Contains(strings.Join(d.asked, " "), "s") {
						break
					}
				}
				if asked := strings.Join(d.asked, " "); asked != test.asked || w.Code != test.status {
					t.Errorf("asked %q, want %q; status %d, want %d", asked, test.asked, w.Code, test.status)
				}
			})
		})
	}
}
