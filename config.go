package main

import (
	"context"

	"sapphiretray/config"
	"sapphiretray/table"
)

// ConfigCommand groups the commands for the configuration.
type ConfigCommand struct {
	Apply ConfigApplyCommand `cmd:"" help:"Accept a configuration, unless another was accepted since the version seen."`
	Show  ConfigShowCommand  `cmd:"" help:"Print the configuration in effect."`
}

// ConfigApplyCommand accepts a configuration.
type ConfigApplyCommand struct {
	Author

	File string  `arg:"" help:"Configuration as JSON."`
	Seen *uint64 `help:"Version that the change is based on, 0 for none; by default the version in the file." placeholder:"VERSION"`
	Why  string  `help:"Reason, kept with the version." placeholder:"TEXT"`
}

// Run accepts the configuration.
func (c *ConfigApplyCommand) Run(ctx context.Context, o *output, g *Globals) error {
	client, err := g.tableClient()
	if err != nil {
		return err
	}
	next, err := loadConfig(c.File)
	if err != nil {
		return err
	}
	seen := next.Version()
	switch {
	case c.Seen != nil:
		seen = *c.Seen
	case seen == 0:
		return usageError{"the file has no version; give the version that the change is based on with --seen, 0 for none"}
	}
	accepted, err := config.Apply(ctx, client, next, seen, c.By, c.Why)
	if err != nil {
		return err
	}
	return o.write(accepted.ChangeInfo, func() { printAccepted(o, "configuration", accepted.ChangeInfo) })
}

// printAccepted prints the version and the changes of a row that was accepted.
func printAccepted(o *output, name string, info table.ChangeInfo) {
	o.printf("%s version %d is accepted", name, info.Version)
	for _, line := range info.Changes {
		o.printf("%s", line)
	}
}

// ConfigShowCommand prints the configuration in effect.
type ConfigShowCommand struct{}

// Run prints the configuration as JSON that the command config apply accepts. Its ChangeInfo (version, author, time, changes) goes to
// standard error. With --json, both are one JSON value.
func (c *ConfigShowCommand) Run(ctx context.Context, o *output, g *Globals) error {
	client, err := g.tableClient()
	if err != nil {
		return err
	}
	accepted, err := config.Load(ctx, client)
	if err != nil {
		return err
	}
	if o.json {
		return writeJSON(o.stdout, accepted)
	}
	if accepted.Version == 0 {
		o.note("no configuration was accepted yet")
		return nil
	}
	o.note("%s", accepted.ChangeInfo)
	return writeJSON(o.stdout, accepted.Value)
}
