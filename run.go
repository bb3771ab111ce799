package main

import (
	"context"
	"flag"
	"os/signal"
	"strconv"
	"syscall"

	"k8s.io/klog/v2"

	"sapphiretray/httplimit"
	"sapphiretray/instance"
	"sapphiretray/settings"
)

// RunCommand runs an instance for one upstream.
type RunCommand struct {
	Settings string `help:"YAML file with the settings of this process." required:"" type:"existingfile"`
}

// Run serves until ctx ends on SIGTERM or SIGINT, or until SIGHUP, and then stops gracefully.
func (c *RunCommand) Run(ctx context.Context) error {
	// SIGHUP would otherwise end the process with requests in flight, also during a stop.
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGHUP)
	defer stop()
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	if err := setVerbosity(s.Verbosity()); err != nil {
		return err
	}
	defer klog.Flush()
	httplimit.LimitRuntime(s.MemoryLimit())
	return instance.New(s).Run(ctx)
}

func setVerbosity(level int) error { return setLogFlag("v", strconv.Itoa(level)) }

// setLogFlag sets one of klog's flags. klog exposes them only through a flag set.
func setLogFlag(name, value string) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return flags.Set(name, value)
}
