package measure

import (
	"io"
	"text/tabwriter"
)

// TargetResult is the comparison of a measured value with its target.
type TargetResult struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Bound float64 `json:"bound"`
	// AtLeast means that Bound is the lowest value that meets the target, instead of the highest.
	AtLeast bool `json:"at_least"`
	Met     bool `json:"met"`
}

// The bounds of the targets. Other keys are those of upstreams that don't freeze.
const (
	// minGoodputShare bounds the goodput at twice the capacity, relative to the peak.
	minGoodputShare = 0.9
	// maxP99Growth bounds the p99 of the most important route at twice the capacity, relative to half load.
	maxP99Growth = 2.0
	// maxOthersLoss bounds the share of other keys' requests that are lost when an upstream freezes.
	maxOthersLoss = 0.001
	// maxOthersP99Growth bounds the p99 of other keys when an upstream freezes, relative to when none does.
	maxOthersP99Growth = 1.1
	// maxRetryShare bounds the retries per first attempt.
	maxRetryShare = 0.1
)

// CheckLoadTargets compares the rows of SimulateLoads in which all policies are enabled with the targets.
func CheckLoadTargets(rows []LoadRow) []TargetResult {
	steady, freeze := loadSeries(rows, LoadSteady), loadSeries(rows, LoadFreeze)
	peak, retries, loss, p99Growth := 0.0, 0.0, 0.0, 0.0
	for load, row := range steady {
		peak = max(peak, row.Goodput)
		other, ok := freeze[load]
		if !ok || row.Others.OK == 0 || row.Others.P99 == 0 {
			continue
		}
		loss = max(loss, 1-float64(other.Others.OK)/float64(row.Others.OK))
		p99Growth = max(p99Growth, float64(other.Others.P99)/float64(row.Others.P99))
	}
	for _, row := range rows {
		if row.Variant == "all" {
			retries = max(retries, row.RetryShare)
		}
	}
	half, twice := steady[Loads[0]], steady[Loads[len(Loads)-1]]
	growth := ratio(float64(twice.importantP99()), float64(half.importantP99()))
	return []TargetResult{
		atLeast("goodput at twice capacity / peak goodput", ratio(twice.Goodput, peak), minGoodputShare),
		atMost("p99 of the most important route at twice capacity / at half load", growth, maxP99Growth),
		atMost("share of other keys' requests lost when an upstream freezes", loss, maxOthersLoss),
		atMost("other keys' p99 when an upstream freezes / when none does", p99Growth, maxOthersP99Growth),
		atMost("retries / first attempts", retries, maxRetryShare),
	}
}

// loadSeries returns the rows of a scenario with all policies, by load.
func loadSeries(rows []LoadRow, scenario LoadScenario) map[float64]LoadRow {
	series := make(map[float64]LoadRow)
	for _, row := range rows {
		if row.Scenario == scenario && row.Variant == "all" {
			series[row.Load] = row
		}
	}
	return series
}

// importantP99 returns the 99th latency percentile of the most important route in nanoseconds.
func (r LoadRow) importantP99() int64 {
	if len(r.Routes) == 0 {
		return 0
	}
	return int64(r.Routes[0].P99)
}

// ratio returns a / b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func atLeast(name string, value, bound float64) TargetResult {
	return TargetResult{Name: name, Value: value, Bound: bound, AtLeast: true, Met: value >= bound}
}

func atMost(name string, value, bound float64) TargetResult {
	return TargetResult{Name: name, Value: value, Bound: bound, Met: value <= bound}
}

// WriteTargetResults prints the results as a table.
func WriteTargetResults(w io.Writer, results []TargetResult) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeCells(table, "target\tvalue\tbound\tresult\n")
	for _, r := range results {
		sign, result := "at most", "missed"
		if r.AtLeast {
			sign = "at least"
		}
		if r.Met {
			result = "met"
		}
		writeCells(table, "%s\t%.4f\t%s %g\t%s\n", r.Name, r.Value, sign, r.Bound, result)
	}
	return table.Flush()
}
