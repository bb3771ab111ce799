package caller

import (
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// TestMetrics guards against missing metrics and requests that are counted under the wrong code, path or service.
func TestMetrics(t *testing.T) {
	c := newCluster(t, 2, testSettings{})
	registry := prometheus.NewRegistry()
	i := c.instances[1]
	i.server.metrics = newMetrics(registry, i.server.dedup, i.server.quarantine)
	i.send(t.Context(), testRequest{method: "GET", path: "/read/k"})
	i.send(t.Context(), testRequest{method: "GET", path: "/none"})
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for _, family := range families {
		for _, m := range family.GetMetric() {
			var labels []string
			for _, label := range m.GetLabel() {
				labels = append(labels, label.GetValue())
			}
			got[family.GetName()+" "+strings.Join(labels, ",")] = m.GetCounter().GetValue()
		}
	}
	for _, name := range []string{"sapphire_requests_total 1000,forwarded,bookings", "sapphire_requests_total 1102,none,"} {
		if got[name] != 1 {
			t.Errorf("%s: %v in %v", name, got[name], got)
		}
	}
	for _, name := range []string{
		"sapphire_requests_in_flight ", "sapphire_hold_seconds ", "sapphire_retries_total ", "sapphire_dedup_ids ",
		"sapphire_quarantined_fingerprints ",
	} {
		if _, ok := got[name]; !ok {
			t.Errorf("%s is missing", name)
		}
	}
}
