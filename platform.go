package main

import (
	"context"
	"os"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/platform"
	"sapphiretray/stdout"
)

// PlatformCommand runs an instance for one upstream on the users' platform.
type PlatformCommand struct {
	Verbosity int `help:"Log verbosity, 0 to 10." default:"0"`
}

// Run serves until ctx ends on SIGTERM or SIGINT, and then stops gracefully.
func (c *PlatformCommand) Run(ctx context.Context) error {
	if err := setVerbosity(c.Verbosity); err != nil {
		return err
	}
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	// Logging must not block a request: lines that standard output doesn't accept in time are dropped and counted.
	log := stdout.New(os.Stdout)
	klog.LogToStderr(false)
	if err := setLogFlag("stderrthreshold", "FATAL"); err != nil {
		return err
	}
	klog.SetOutput(log)
	var logging sync.WaitGroup
	stop := make(chan struct{})
	logging.Go(func() { log.Run(stop) })
	err = platform.Run(ctx, path)
	klog.Flush()
	close(stop)
	waitAtMost(&logging, logFlushTimeout)
	return err
}

// logFlushTimeout bounds the wait for the last log lines to be written when the process ends.
const logFlushTimeout = 200 * time.Millisecond

// waitAtMost waits for the group, but no longer than d.
func waitAtMost(group *sync.WaitGroup, d time.Duration) {
	done := make(chan struct{})
	var waiter sync.WaitGroup
	waiter.Go(func() {
		group.Wait()
		close(done)
	})
	select {
	case <-done:
	case <-time.After(d):
	}
}
