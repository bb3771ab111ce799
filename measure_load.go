package main

import (
	"context"
	"io"
	"time"

	"sapphiretray/measure"
)

// MeasureLoadCommand measures admission, load shedding and retries under overload and faults.
type MeasureLoadCommand struct {
	Seed     uint64        `default:"1" help:"Seed of the arrivals."`
	Duration time.Duration `default:"20s" help:"Duration of each run; with --real, 8 runs of real time. Simulated faults start at 8s."`
	Real     bool          `help:"Run over loopback HTTP instead of simulating; needs about 1,100 connections."`
}

// loadReport is the JSON result of MeasureLoadCommand. Runs over HTTP have no targets and no choices.
type loadReport struct {
	Seed     uint64                 `json:"seed"`
	Duration time.Duration          `json:"duration_ns"`
	Loads    []measure.LoadRow      `json:"loads"`
	Targets  []measure.TargetResult `json:"targets,omitempty"`
	Choices  []measure.ChoiceRow    `json:"choices,omitempty"`
}

// Run prints the results.
func (c *MeasureLoadCommand) Run(ctx context.Context, o *output) error {
	report := loadReport{Seed: c.Seed, Duration: c.Duration}
	if c.Real {
		rows, err := measure.RealLoads(ctx, c.Seed, c.Duration)
		if err != nil {
			return err
		}
		report.Loads = rows
	} else {
		report.Loads = measure.SimulateLoads(c.Seed, c.Duration)
		report.Targets = measure.CheckLoadTargets(report.Loads)
		report.Choices = measure.SimulateChoices(c.Seed)
	}
	if o.json {
		return writeJSON(o.stdout, report)
	}
	return report.write(o.stdout)
}

func (r loadReport) write(w io.Writer) error {
	if err := measure.WriteLoads(w, r.Loads); err != nil {
		return err
	}
	if r.Targets == nil {
		return nil
	}
	if err := measure.WriteTargetResults(w, r.Targets); err != nil {
		return err
	}
	return measure.WriteChoices(w, r.Choices)
}
