package measure_test

import (
	"encoding/json"
	"testing"
	"time"

	"sapphiretray/measure"
)

const testDuration = 12 * time.Second

func simulate(scenario measure.LoadScenario, policies measure.LoadPolicies, load float64, seed uint64) measure.LoadRow {
	return measure.LoadRow{Scenario: scenario, Variant: "all", Load: load, LoadResult: measure.SimulateLoad(measure.LoadSpec{
		Scenario: scenario, Policies: policies, Load: load, Seed: seed, Duration: testDuration,
	})}
}

// TestCheckLoadTargets guards against policies that miss their targets, and against an experiment in which targets are met
// without the policies.
func TestCheckLoadTargets(t *testing.T) {
	tests := []struct {
		name     string
		policies measure.LoadPolicies
		met      []bool
	}{
		{"all policies", measure.AllLoadPolicies, []bool{true, true, true, true, true}},
		{"none", measure.LoadPolicies{}, []bool{true, false, false, false, false}},
		{"no deadline", measure.LoadPolicies{Limit: true, Importance: true, Budget: true}, []bool{false, false, true, true, true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			const seed = 3
			var rows []measure.LoadRow
			for _, load := range measure.Loads {
				rows = append(rows, simulate(measure.LoadSteady, test.policies, load, seed))
			}
			rows = append(rows,
				simulate(measure.LoadFreeze, test.policies, 0.9, seed),
				simulate(measure.LoadShed, test.policies, 1.2, seed))
			for i, target := range measure.CheckLoadTargets(rows) {
				if target.Met != test.met[i] {
					t.Errorf("%s: %v, bound %v: met %t, want %t", target.Name, target.Value, target.Bound, target.Met, test.met[i])
				}
			}
		})
	}
}

// TestLoadIsDeterministic guards against results that differ between runs with the same specification and seed.
func TestLoadIsDeterministic(t *testing.T) {
	for _, scenario := range []measure.LoadScenario{measure.LoadShed, measure.LoadCold} {
		first, second := "", ""
		for _, text := range []*string{&first, &second} {
			encoded, err := json.Marshal(simulate(scenario, measure.AllLoadPolicies, 1.2, 7))
			if err != nil {
				t.Fatal(err)
			}
			*text = string(encoded)
		}
		if first != second {
			t.Errorf("%s: two runs differ:\n%s\n%s", scenario, first, second)
		}
	}
}

// TestChoice guards against a load balancer that relies on stale or wrong load reports, and an ejector that leaves a failing target in use.
func TestChoice(t *testing.T) {
	choose := func(spec measure.ChoiceSpec) measure.ChoiceRow {
		spec.Load, spec.Seed = 0.5, 3
		return measure.SimulateChoice(spec)
	}
	for _, reports := range []measure.ChoiceReports{measure.ReportsFresh, measure.ReportsStale, measure.ReportsHalf} {
		expected := choose(measure.ChoiceSpec{Strategy: measure.ChoiceExpected, Reports: reports})
		least := choose(measure.ChoiceSpec{Strategy: measure.ChoiceLeast, Reports: reports})
		if expected.Late > 0 || 2*expected.P99 > least.P99 {
			t.Errorf("%s: p99 %v and %d late, with the least reported load %v", reports, expected.P99, expected.Late, least.P99)
		}
	}
	failing := measure.ChoiceSpec{Strategy: measure.ChoiceExpected, Reports: measure.ReportsFresh, Failing: true}
	off := choose(failing)
	failing.Ejection = true
	if on := choose(failing); 10*on.Failed > off.Failed {
		t.Errorf("%d requests failed with ejection, %d without", on.Failed, off.Failed)
	}
}

// TestRealLoad guards against a limiter that works in virtual time but not with real connections and the real clock.
func TestRealLoad(t *testing.T) {
	result, err := measure.RealLoad(t.Context(), measure.RealLoadSpec{Limited: true, Load: 2, Seed: 1, Duration: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if important := result.Routes[0]; result.Shed == 0 || 10*important.OK < 8*important.Requests {
		t.Errorf("%d shed; %d of %d important requests succeeded", result.Shed, important.OK, important.Requests)
	}
}
