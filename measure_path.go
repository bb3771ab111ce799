package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"sapphiretray/measure"
)

// MeasurePathCommand measures what the instances add to a request.
type MeasurePathCommand struct {
	Direct   string        `required:"" help:"URL of a request to the upstream."`
	Owner    string        `required:"" help:"URL of the request to the instance that owns the key."`
	NonOwner string        `required:"" help:"URL of the request to another instance."`
	Rate     float64       `default:"500" help:"Requests per second to each URL."`
	Duration time.Duration `default:"3s" help:"Time for each URL in each round."`
	Rounds   int           `default:"3" help:"Number of rounds; the URLs take turns in each."`
	Seed     uint64        `default:"1" help:"Seed of the arrivals."`

	DirectProcess   []int `help:"Ids of the processes on the direct path, for processor time."`
	OwnerProcess    []int `help:"Ids of the processes on the path through the owner."`
	NonOwnerProcess []int `help:"Ids of the processes on the path through another instance."`

	JSON bool `name:"json" help:"Print JSON."`
}

// Run prints the results.
func (c *MeasurePathCommand) Run() error {
	results, err := measure.Path(context.Background(), measure.PathSpec{
		Targets: []measure.PathTarget{
			{Name: "direct", URL: c.Direct, Processes: c.DirectProcess},
			{Name: "owner", URL: c.Owner, Processes: c.OwnerProcess},
			{Name: "non-owner", URL: c.NonOwner, Processes: c.NonOwnerProcess},
		},
		Rate: c.Rate, Duration: c.Duration, Rounds: c.Rounds, Seed: c.Seed, ProcessorTime: measure.ProcessorTime,
	})
	if err != nil {
		return err
	}
	targets := measure.PathTargets(results[0], results[1], results[2])
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(map[string]any{"seed": c.Seed, "paths": results, "targets": targets})
	}
	if err := measure.WritePaths(os.Stdout, results); err != nil {
		return err
	}
	return measure.WriteLoadTargets(os.Stdout, targets)
}
