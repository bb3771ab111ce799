package main

import (
	"context"

	"sapphiretray/admin"
	"sapphiretray/object"
	"sapphiretray/timeline"
)

// TimelineCommand prints the merged events of all instances.
type TimelineCommand struct {
	Instance []string `help:"Admin addresses (host:port) to ask instead of those in the table." placeholder:"ADDRESS"`
	Chart    string   `help:"Print only events of one state chart or component, such as lease, partition or planner."`
	Last     int      `help:"Number of the last events to print; 0 prints all." default:"0"`
}

// Run merges the events that running instances hold in memory with those stored in the object store. If an instance or the object
// store doesn't respond, its events are missing and standard error says so.
func (c *TimelineCommand) Run(ctx context.Context, o *output, g *Globals) error {
	members, err := findMembers(ctx, c.Instance, g)
	if err != nil {
		return err
	}
	var logs [][]timeline.Event
	if g.Object != "" {
		if logs, err = admin.StoredEvents(ctx, object.New(g.Object)); err != nil {
			o.note("timeline: events in the object store can't be read, so those of lost instances are missing: %v", err)
		}
	}
	for _, response := range admin.Ask(ctx, members, admin.Events) {
		if response.Err != nil {
			o.note("timeline: no response from %s: %v", response.Record.Incarnation, response.Err)
			continue
		}
		logs = append(logs, response.Value)
	}
	events := c.filter(timeline.Merge(logs...))
	return o.write(events, func() {
		for _, e := range events {
			o.printf("%s", e)
		}
	})
}

// filter returns the last events of the chart that the flags ask for.
func (c *TimelineCommand) filter(events []timeline.Event) []timeline.Event {
	chosen := []timeline.Event{}
	for _, e := range events {
		if c.Chart == "" || e.Chart == c.Chart {
			chosen = append(chosen, e)
		}
	}
	if c.Last > 0 && len(chosen) > c.Last {
		chosen = chosen[len(chosen)-c.Last:]
	}
	return chosen
}
