package main

import (
	"context"
	"os"
	"time"

	"sapphiretray/demo"
	"sapphiretray/measure"
)

// MeasurePathCommand measures the latency and processor time that instances add to a request.
type MeasurePathCommand struct {
	Direct   string        `help:"URL of a request to the upstream; without it, a deployment on loopback is started."`
	Owner    string        `help:"URL of the request to the instance that owns the key."`
	NonOwner string        `help:"URL of the request to another instance."`
	Rate     float64       `default:"500" help:"Requests per second to each URL."`
	Duration time.Duration `default:"3s" help:"Duration of the requests to each URL in each round."`
	Rounds   int           `default:"3" help:"Number of rounds; each measures every URL in turn."`
	Seed     uint64        `default:"1" help:"Seed of the arrivals."`

	OwnerProcess    []int `help:"Ids of the processes on the path through the owner, for processor time."`
	NonOwnerProcess []int `help:"Ids of the processes on the path through another instance."`
}

// Run prints the results.
func (c *MeasurePathCommand) Run(ctx context.Context, o *output) error {
	endpoints := []measure.PathEndpoint{
		{Name: "direct", URL: c.Direct},
		{Name: "owner", URL: c.Owner, Processes: c.OwnerProcess},
		{Name: "non-owner", URL: c.NonOwner, Processes: c.NonOwnerProcess},
	}
	switch given := c.Direct != ""; {
	case given != (c.Owner != "") || given != (c.NonOwner != ""):
		return usageError{"--direct, --owner and --non-owner are given together"}
	case !given:
		d, err := c.startDeployment(ctx, endpoints)
		if err != nil {
			return err
		}
		defer func() { _ = d.Close() }()
	}
	results, err := measure.Path(ctx, measure.PathSpec{
		Endpoints: endpoints, Rate: c.Rate, Duration: c.Duration, Rounds: c.Rounds, Seed: c.Seed, ProcessorTime: measure.ProcessorTime,
	})
	if err != nil {
		return err
	}
	targets := measure.CheckPathTargets(results[0], results[1], results[2])
	if o.json {
		return writeJSON(o.stdout, map[string]any{"seed": c.Seed, "paths": results, "targets": targets})
	}
	if err := measure.WritePaths(o.stdout, results); err != nil {
		return err
	}
	return measure.WriteTargetResults(o.stdout, targets)
}

// startDeployment starts a deployment on loopback and sets the URLs and processes of the endpoints for one key.
func (c *MeasurePathCommand) startDeployment(ctx context.Context, endpoints []measure.PathEndpoint) (*demo.Deployment, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "sapphiretray-path-")
	if err != nil {
		return nil, err
	}
	// Once StartPath returns, the instances have read their settings and don't need the folder any more.
	defer func() { _ = os.RemoveAll(dir) }()
	d, owner, other, err := demo.StartPath(ctx, executable, dir)
	if err != nil {
		return nil, err
	}
	const path = "/bookings/" + demo.PathKey
	endpoints[0].URL = owner.UpstreamURL() + path
	endpoints[1].URL, endpoints[1].Processes = owner.URL()+path, []int{owner.PID()}
	endpoints[2].URL, endpoints[2].Processes = other.URL()+path, []int{owner.PID(), other.PID()}
	return d, nil
}
