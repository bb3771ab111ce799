package main

import (
	"context"
	"os"

	"sapphiretray/demo"
)

// MeasureLossesCommand kills owners and measures how long their keys are not served.
type MeasureLossesCommand struct {
	Losses int `default:"20" help:"Number of owners to kill, one after another; each takes about 6 s."`
}

// Run prints the distribution of the times.
func (c *MeasureLossesCommand) Run(ctx context.Context, o *output) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "sapphiretray-losses-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	losses, err := demo.MeasureLosses(ctx, executable, dir, c.Losses)
	if err != nil {
		return err
	}
	return o.write(losses, func() {
		target := demo.RecoveryTarget.Milliseconds()
		o.printf("losses %d, key served again after: median %d ms, 90th percentile %d ms, longest %d ms (target %d ms)", losses.Count,
			losses.Median.Milliseconds(), losses.P90.Milliseconds(), losses.Maximum.Milliseconds(), target)
	})
}
