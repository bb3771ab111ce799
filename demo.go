package main

import (
	"context"
	"fmt"
	"os"

	"sapphiretray/code"
	"sapphiretray/demo"
)

// DemoCommand runs a deployment on loopback and checks the outcomes of requests.
type DemoCommand struct {
	Keep   bool `help:"Keep the deployment running until the command is interrupted."`
	Events int  `help:"Number of the last events of the merged timeline to print." default:"40"`
}

// Run starts a fake platform and three fake upstreams with an instance each, sends requests, kills an owner and checks that
// one of its keys is served again.
func (c *DemoCommand) Run(ctx context.Context) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "sapphiretray-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, err := demo.NewScenario(ctx, executable, dir, os.Stdout)
	if err != nil {
		return err
	}
	defer func() { _ = s.Deployment.Close() }()
	report, err := s.Run(ctx)
	c.printEvents(ctx, s.Deployment)
	fmt.Printf("requests %d, answered %d, forwarded %d, run twice %d, served again after %d ms, faults %d\n",
		report.Requests, report.Succeeded, report.Forwarded, report.RanTwice, report.RecoveryTime.Milliseconds(), len(report.Violations))
	for _, fault := range report.Violations {
		fmt.Println("fault:", fault)
	}
	if c.Keep && err == nil {
		fmt.Println("demo: the deployment keeps running; interrupt the command to stop it")
		<-ctx.Done()
	}
	if err != nil {
		return err
	}
	if !report.OK() {
		return code.New(code.BadRequest, "the demo failed; see its counts and faults")
	}
	return nil
}

func (c *DemoCommand) printEvents(ctx context.Context, d *demo.Deployment) {
	events := d.Events(ctx)
	fmt.Printf("timeline, last %d of %d events:\n", min(c.Events, len(events)), len(events))
	for _, e := range events[max(0, len(events)-c.Events):] {
		fmt.Println(e)
	}
}
