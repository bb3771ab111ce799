package main

import (
	"context"

	"sapphiretray/code"
	"sapphiretray/config"
	"sapphiretray/sheet"
)

const modesHelp = "Moves of the planner: observe reports them, propose waits for a sheet with mode apply, apply makes them (default apply)."

// SheetCommand groups the commands for the sheet.
type SheetCommand struct {
	Plan   SheetPlanCommand   `cmd:"" help:"Print what a sheet would change, with reasons."`
	Apply  SheetApplyCommand  `cmd:"" help:"Accept a sheet, unless another was accepted since the version seen."`
	Status SheetStatusCommand `cmd:"" help:"Print the sheet in effect and which instances have it."`
}

// SheetPlanCommand prints what a sheet would change.
type SheetPlanCommand struct {
	File string `arg:"" help:"Sheet as CSV, up to 100000 rows."`
}

// plan is the JSON result of SheetPlanCommand: the changes against the sheet in effect, whose version is Seen.
type plan struct {
	Seen    uint64   `json:"seen"`
	Changes []string `json:"changes"`
}

// Run prints the plan.
func (c *SheetPlanCommand) Run(ctx context.Context, o *output, g *Globals) error {
	clients, err := g.clients()
	if err != nil {
		return err
	}
	services, err := acceptedServices(ctx, clients)
	if err != nil {
		return err
	}
	next, err := sheet.Load(c.File, services)
	if err != nil {
		return fileError{c.File, err}
	}
	current, entry, err := sheet.Current(ctx, clients)
	if number, _ := code.Of(err); number == code.PlatformDown || err != nil && entry.Version == 0 {
		return err
	}
	if err != nil {
		o.note("warning: the sheet in effect can't be read and counts as empty: %v", err)
	}
	p := plan{Seen: entry.Version, Changes: sheet.Lines(sheet.Plan(current, next))}
	return o.write(p, func() {
		for _, line := range p.Changes {
			o.printf("%s", line)
		}
		o.printf("changes against version %d: %d", p.Seen, len(p.Changes))
		o.printf("accept with: sapphiretray sheet apply %s --seen %d", c.File, p.Seen)
	})
}

// acceptedServices returns the option that lets a sheet refer to the services of the accepted configuration.
func acceptedServices(ctx context.Context, clients sheet.Clients) (sheet.Option, error) {
	accepted, err := config.Load(ctx, clients.Table)
	if err != nil {
		return nil, err
	}
	return sheet.WithServices(serviceNames(accepted.Value)...), nil
}

// SheetApplyCommand accepts a sheet.
type SheetApplyCommand struct {
	Author

	File string     `arg:"" help:"Sheet as CSV, up to 100000 rows."`
	Seen uint64     `help:"Version that sheet plan printed, 0 for none." required:"" placeholder:"VERSION"`
	Mode sheet.Mode `help:"${modes}" enum:"observe,propose,apply" default:"apply"`
	Why  string     `help:"Reason, kept with the version." placeholder:"TEXT"`
}

// Run accepts the sheet.
func (c *SheetApplyCommand) Run(ctx context.Context, o *output, g *Globals) error {
	clients, err := g.clients()
	if err != nil {
		return err
	}
	content, err := sheet.ReadFile(c.File)
	if err != nil {
		return fileError{c.File, err}
	}
	services, err := acceptedServices(ctx, clients)
	if err != nil {
		return err
	}
	entry, changes, err := sheet.Accept(ctx, clients, sheet.Request{
		Content: content, Mode: c.Mode, Seen: c.Seen, By: c.By, Why: c.Why, Options: []sheet.Option{services},
	})
	if number, _ := code.Of(err); number == code.BadSheet {
		return fileError{c.File, err}
	}
	if err != nil {
		return err
	}
	info := entry.ChangeInfo
	info.Changes = sheet.Lines(changes)
	return o.write(info, func() { printAccepted(o, "sheet", info) })
}

// SheetStatusCommand prints the sheet in effect and which instances have it.
type SheetStatusCommand struct{}

// instanceVersion is one instance in the JSON result of SheetStatusCommand: the version of the sheet that it has, or why it is unknown.
type instanceVersion struct {
	Instance string `json:"instance"`
	Version  uint64 `json:"version"`
	Error    string `json:"error,omitempty"`
}

// Run prints the last change, the mode and size of the sheet and the instances without its version.
func (c *SheetStatusCommand) Run(ctx context.Context, o *output, g *Globals) error {
	client, err := g.tableClient()
	if err != nil {
		return err
	}
	status, err := sheet.ReadStatus(ctx, client)
	if err != nil {
		return err
	}
	entry := status.Entry()
	versions := []instanceVersion{}
	current := 0
	for _, v := range status.Versions() {
		shown := instanceVersion{Instance: v.Incarnation().String(), Version: v.Version()}
		if v.Err() != nil {
			shown.Error = v.Err().Error()
		} else if v.Version() == entry.Version {
			current++
		}
		versions = append(versions, shown)
	}
	return o.write(map[string]any{"sheet": entry, "instances": versions}, func() {
		if entry.Version == 0 {
			o.printf("no sheet was accepted yet")
		} else {
			o.printf("%s", entry.ChangeInfo)
			o.printf("mode %s, %d rows, object %s", entry.Value.Mode, entry.Value.Rows, entry.Value.Object)
		}
		o.printf("%d of %d instances have version %d", current, len(versions), entry.Version)
		for _, v := range versions {
			printInstanceVersion(o, v, entry.Version)
		}
	})
}

// printInstanceVersion prints an instance that has another version or can't be asked.
func printInstanceVersion(o *output, v instanceVersion, version uint64) {
	switch {
	case v.Error != "":
		o.printf("%s can't be asked: %s", v.Instance, v.Error)
	case v.Version != version:
		o.printf("%s has version %d", v.Instance, v.Version)
	}
}
