package main

import (
	"context"
	"slices"

	"sapphiretray/config"
	"sapphiretray/pause"
	"sapphiretray/table"
)

// PauseCommand pauses automatic moves of one service or of all.
type PauseCommand struct {
	Author
	Target

	Why string `help:"Reason, shown to other operators." required:"" placeholder:"TEXT"`
}

// Target is the argument and flag that select one service or all.
type Target struct {
	Service string `arg:"" optional:"" help:"Service."`
	All     bool   `help:"All services."`
}

// name returns the service, or pause.All.
func (t Target) name() (string, error) {
	switch {
	case t.All == (t.Service != ""):
		return "", usageError{"name one service or give --all"}
	case t.All:
		return pause.All, nil
	}
	return t.Service, nil
}

// Run pauses the target.
func (c *PauseCommand) Run(ctx context.Context, o *output, g *Globals) error {
	target, client, err := targetAndClient(c.Target, g)
	if err != nil {
		return err
	}
	state, err := pause.Set(ctx, client, target, c.By, c.Why)
	if err != nil {
		return err
	}
	warnUnknownService(ctx, o, client, target)
	return printPauses(o, state)
}

func targetAndClient(t Target, g *Globals) (string, *table.Client, error) {
	target, err := t.name()
	if err != nil {
		return "", nil, err
	}
	client, err := g.tableClient()
	return target, client, err
}

// warnUnknownService warns if the accepted configuration doesn't have the service, whose name may be misspelt. It isn't an error,
// because a sheet may create services, too, and a pause must work without the object store that holds the sheets.
func warnUnknownService(ctx context.Context, o *output, client *table.Client, target string) {
	accepted, err := config.Load(ctx, client)
	if err == nil && target != pause.All && !slices.Contains(serviceNames(accepted.Value), target) {
		o.note("warning: the accepted configuration has no service %q", target)
	}
}

// ResumeCommand ends a pause.
type ResumeCommand struct {
	Author
	Target

	Why string `help:"Reason, shown to other operators." placeholder:"TEXT"`
}

// Run ends the pause of the target. Ending the pause of all services leaves the pauses of single services in place.
func (c *ResumeCommand) Run(ctx context.Context, o *output, g *Globals) error {
	target, client, err := targetAndClient(c.Target, g)
	if err != nil {
		return err
	}
	state, err := pause.Clear(ctx, client, target, c.By, c.Why)
	if err != nil {
		return err
	}
	return printPauses(o, state)
}

func printPauses(o *output, state table.Accepted[pause.State]) error {
	return o.write(state, func() {
		o.printf("pauses version %d is accepted", state.Version)
		targets := state.Value.Targets()
		if len(targets) == 0 {
			o.printf("nothing is paused")
		}
		for _, target := range targets {
			p, _ := state.Value.Paused(target)
			name := target
			if target == pause.All {
				name = "all services"
			}
			o.printf("%s: paused by %s: %s", name, p.By, p.Why)
		}
	})
}
