package mesh

import (
	"fmt"
	"testing"
)

// TestConfigTargets guards against an instance that gets a new configuration from fewer than two of the readers of its data centre,
// which delays it when one fails, and against one that all of them push to.
func TestConfigTargets(t *testing.T) {
	for count := range 30 {
		slots := make([]string, 0, count)
		for n := range count {
			slots = append(slots, fmt.Sprintf("10.0.0.%d", n))
		}
		pushed := make(map[string]int)
		for _, self := range slots {
			for _, target := range configTargets(slots, self) {
				pushed[target]++
			}
		}
		for n, slot := range slots {
			want := configSources
			if n < configReadersPerDataCentre {
				want = 0
			}
			if pushed[slot] != want {
				t.Errorf("%d instances: %s gets the configuration from %d others, want %d", count, slot, pushed[slot], want)
			}
		}
	}
	if targets := configTargets([]string{"a", "b"}, "elsewhere"); targets != nil {
		t.Errorf("an instance of another data centre pushes to %v", targets)
	}
}
