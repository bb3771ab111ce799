package main

import (
	"context"

	"k8s.io/klog/v2"

	"sapphiretray/platform"
)

// PlatformCommand runs the process beside one upstream on the users' platform.
type PlatformCommand struct {
	Verbosity int `help:"Log verbosity, 0 to 10." default:"0"`
}

// Run serves until the process is told to stop, and then stops gracefully.
func (c *PlatformCommand) Run(ctx context.Context) error {
	if err := setVerbosity(c.Verbosity); err != nil {
		return err
	}
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	defer klog.Flush()
	return platform.Run(ctx, path)
}
