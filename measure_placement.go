package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"sapphiretray/measure"
)

// MeasurePlacementCommand compares the placement policy with baselines.
type MeasurePlacementCommand struct {
	Members  []int         `default:"12,10,500" help:"Numbers of members, one comparison each; 5200 takes about five minutes."`
	Seed     uint64        `default:"1" help:"Seed of the keys."`
	Handover time.Duration `default:"20ms" help:"Time for which a planned move makes a partition unavailable."`
	Takeover time.Duration `default:"620ms" help:"Time for which the loss of its owner makes a partition unavailable."`
}

// Run prints the results.
func (c *MeasurePlacementCommand) Run(o *output) error {
	report, err := measure.Placement(measure.PlacementOptions{
		Members: c.Members, Seed: c.Seed, Handover: c.Handover, Takeover: c.Takeover,
	})
	if err != nil {
		return usageError{err.Error()}
	}
	return o.write(report, func() { printPlacement(o.stdout, report) })
}

func printPlacement(out io.Writer, report measure.PlacementReport) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "seed %d\n", report.Seed)
	_, _ = fmt.Fprintln(w, "members\tcapacities\tcase\tpolicy\timbalance\tkeys moved %\tleast %\tload moved %\t"+
		"moves\ttakeovers\tunavailable s")
	for _, r := range report.Results {
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%.3f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%.2f\n", r.Members, r.Capacities, r.Case, r.Policy,
			r.Imbalance, 100*r.KeyChurn, 100*r.LeastChurn, 100*r.LoadChurn, r.Moves, r.Takeovers, r.Unavailable)
	}
	_, _ = fmt.Fprintln(w, "\nmembers\tchurn weight\timbalance\tkeys moved %\tload moved %")
	for _, p := range report.Curve {
		_, _ = fmt.Fprintf(w, "%d\t%g\t%.3f\t%.2f\t%.2f\n", p.Members, p.Churn, p.Imbalance, 100*p.KeyChurn, 100*p.LoadChurn)
	}
	_ = w.Flush()
}
