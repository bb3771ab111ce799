package measure

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Loads are the arrival rates of the load experiment, relative to the capacity of all upstreams.
var Loads = []float64{0.5, 0.9, 1.2, 2}

// LoadRow is the result of one run. Variant is the name of the set of enabled policies.
type LoadRow struct {
	Scenario LoadScenario `json:"scenario"`
	Variant  string       `json:"variant"`
	Load     float64      `json:"load"`
	LoadResult
}

// loadVariant is a named set of enabled policies.
type loadVariant struct {
	name     string
	policies LoadPolicies
}

// loadVariants returns the variants with all policies, with all but one, and with none.
func loadVariants() []loadVariant {
	without := func(change func(*LoadPolicies)) LoadPolicies {
		policies := AllLoadPolicies
		change(&policies)
		return policies
	}
	return []loadVariant{
		{"all", AllLoadPolicies},
		{"no limit", without(func(p *LoadPolicies) { p.Limit = false })},
		{"no importance", without(func(p *LoadPolicies) { p.Importance = false })},
		{"no deadline", without(func(p *LoadPolicies) { p.Deadline = false })},
		{"no budget", without(func(p *LoadPolicies) { p.Budget = false })},
		{"no slow start", without(func(p *LoadPolicies) { p.SlowStart = false })},
		{"none", LoadPolicies{}},
	}
}

// loadMatrix lists, for each scenario, the variants whose results can differ from those of "all".
var loadMatrix = []struct {
	scenario LoadScenario
	variants []string
}{
	{LoadSteady, []string{"all", "no limit", "no importance", "no deadline", "none"}},
	{LoadFreeze, []string{"all", "no limit", "no deadline", "none"}},
	{LoadShed, []string{"all", "no limit", "no budget", "none"}},
	{LoadCold, []string{"all", "no slow start", "none"}},
}

// SimulateLoads runs the variants of all scenarios at all loads.
func SimulateLoads(seed uint64, duration time.Duration) []LoadRow {
	policies := make(map[string]LoadPolicies)
	for _, variant := range loadVariants() {
		policies[variant.name] = variant.policies
	}
	var rows []LoadRow
	for _, entry := range loadMatrix {
		for _, variant := range entry.variants {
			for _, load := range Loads {
				spec := LoadSpec{
					Scenario: entry.scenario, Policies: policies[variant], Load: load, Seed: seed, Duration: duration,
				}
				rows = append(rows, LoadRow{entry.scenario, variant, load, SimulateLoad(spec)})
			}
		}
	}
	return rows
}

// WriteLoads prints rows as a table. A route's column has the 50th and 99th latency percentiles in milliseconds and the share of
// requests that succeeded.
func WriteLoads(w io.Writer, rows []LoadRow) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeCells(table, "scenario\tvariant\tload\tgoodput/s\tshed\tlate\tretries\t")
	for _, route := range loadRoutes {
		writeCells(table, "%s %d\t", route.name, route.importance)
	}
	writeCells(table, "others\n")
	for _, row := range rows {
		writeCells(table, "%s\t%s\t%.1f\t%.0f\t%d\t%d\t%.1f%%\t",
			row.Scenario, row.Variant, row.Load, row.Goodput, row.Shed, row.Late, 100*row.RetryShare)
		for _, route := range row.Routes {
			writeCells(table, "%s\t", route)
		}
		writeCells(table, "%s\n", row.Others)
	}
	return table.Flush()
}

// String returns P50 and P99 in milliseconds and the share of requests that succeeded.
func (r LoadRouteResult) String() string {
	if r.Requests == 0 {
		return "-"
	}
	return fmt.Sprintf("%s/%s %.1f%%", milliseconds(r.P50), milliseconds(r.P99), 100*float64(r.OK)/float64(r.Requests))
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

// WriteChoices prints rows as a table, with times in milliseconds.
func WriteChoices(w io.Writer, rows []ChoiceRow) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeCells(table, "strategy\treports\tfailing\tejection\tload\tgoodput/s\tfailed\tlate\tp50\tp99\n")
	for _, row := range rows {
		writeCells(table, "%s\t%s\t%t\t%t\t%.1f\t%.0f\t%d\t%d\t%s\t%s\n", row.Strategy, row.Reports, row.Failing,
			row.Ejection, row.Load, row.Goodput, row.Failed, row.Late, milliseconds(row.P50), milliseconds(row.P99))
	}
	return table.Flush()
}

// writeCells writes formatted cells to a table. It ignores errors, since Flush returns them.
func writeCells(table *tabwriter.Writer, format string, values ...any) {
	_, _ = fmt.Fprintf(table, format, values...)
}
