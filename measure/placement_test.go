package measure_test

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"sapphiretray/measure"
)

// TestPlacement guards against placements of small deployments that miss the targets for imbalance and churn, and against results that
// differ between runs with the same seed.
func TestPlacement(t *testing.T) {
	for seed := range uint64(3) {
		options := measure.PlacementOptions{
			Members: []int{10, 12}, Seed: seed, Handover: 20 * time.Millisecond, Takeover: 620 * time.Millisecond,
		}
		report, err := measure.Placement(options)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range report.Results {
			checkResult(t, seed, r)
		}
		if again, _ := measure.Placement(options); !reflect.DeepEqual(report, again) {
			t.Errorf("seed %d: two runs differ", seed)
		}
	}
}

func checkResult(t *testing.T, seed uint64, r measure.PlacementResult) {
	t.Helper()
	if !strings.HasPrefix(r.Policy, "placement/") {
		return
	}
	switch r.Case {
	case "half report 50%", "reports 30 s old":
		if r.Case == "reports 30 s old" && r.Moves > 0 {
			t.Errorf("seed %d: %d moves on old reports: %+v", seed, r.Moves, r)
		}
		return
	case "join, even keys", "leave, even keys":
		if r.KeyChurn > 1.1*r.LeastChurn {
			t.Errorf("seed %d: more than 1.1 times the least share of partitions moves: %+v", seed, r)
		}
	case "join":
		if r.LoadChurn > 1.1*r.LeastChurn {
			t.Errorf("seed %d: a join moves more than 1.1 times the least share of load: %+v", seed, r)
		}
	}
	if r.Imbalance > 1.10 {
		t.Errorf("seed %d: imbalance over 1.10: %+v", seed, r)
	}
}
