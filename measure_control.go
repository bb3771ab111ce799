package main

import (
	"context"
	"errors"
	"os"
	"time"

	"sapphiretray/demo"
)

// MeasureControlCommand measures the cost of the control plane in instances without requests: CPU time, memory, messages, and the time
// until a new configuration is in effect.
type MeasureControlCommand struct {
	Processes  []int         `default:"10,50" help:"Numbers of instances; each is one measurement, at most 200."`
	Members    int           `default:"0" help:"Additional member records, so that each instance holds the state of a larger deployment."`
	Partitions int           `default:"0" help:"Partitions of the additional members, a power of two."`
	Duration   time.Duration `default:"20s" help:"Duration of each measurement."`
}

const maxProcesses = 200

// Run prints the results.
func (c *MeasureControlCommand) Run(ctx context.Context, o *output) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	var results []demo.ControlResult
	var failure error
	for _, processes := range c.Processes {
		if processes < 1 || processes > maxProcesses {
			return usageError{"--processes takes numbers from 1 to 200"}
		}
		dir, err := os.MkdirTemp("", "sapphiretray-control-")
		if err != nil {
			return err
		}
		result, err := demo.MeasureControl(ctx, executable, dir, demo.ControlSpec{
			Processes: processes, Members: c.Members, Partitions: c.Partitions, Duration: c.Duration,
		})
		_ = os.RemoveAll(dir)
		if err != nil {
			failure = err
			break
		}
		results = append(results, result)
	}
	return errors.Join(failure, o.write(results, func() { _ = demo.WriteControl(o.stdout, results) }))
}
