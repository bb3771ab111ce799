package main

import (
	"context"
	"slices"

	"sapphiretray/config"
	"sapphiretray/pause"
	"sapphiretray/table"
)

// PauseCommand pauses automatic moves.
type PauseCommand struct {
	Author
	Target

	Why string `help:"Reason, shown to other operators." required:"" placeholder:"TEXT"`
}

// Target names a service or all services.
type Target struct {
	Service string `arg:"" optional:"" help:"Service."`
	All     bool   `help:"All services."`
}

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
	target, client, err := prepare(c.Target, g)
	if err != nil {
		return err
	}
	state, err := pause.Set(ctx, client, target, c.By, c.Why)
	if err != nil {
		return err
	}
	warnUnknown(ctx, o, client, target)
	return printPauses(o, state)
}

func prepare(t Target, g *Globals) (string, *table.Client, error) {
	target, err := t.name()
	if err != nil {
		return "", nil, err
	}
	client, err := g.tableClient()
	return target, client, err
}

// warnUnknown warns of a misspelt service. It doesn't refuse one, because the sheet may create services too and a pause
// must not depend on the object store.
func warnUnknown(ctx context.Context, o *output, client *table.Client, target string) {
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

// Run ends the pause of the target. Pauses of single services outlast the pause of all.
func (c *ResumeCommand) Run(ctx context.Context, o *output, g *Globals) error {
	target, client, err := prepare(c.Target, g)
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
