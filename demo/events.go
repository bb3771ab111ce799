package demo

import (
	"context"
	"encoding/json"

	"sapphiretray/object"
	"sapphiretray/timeline"
)

// Events returns the merged events of all instances: those that the running ones hold, and the batches of all in the object
// store.
func (d *Deployment) Events(ctx context.Context) []timeline.Event {
	logs := d.stored(ctx)
	for _, n := range d.nodes {
		if events, err := n.Events(ctx); err == nil {
			logs = append(logs, events)
		}
	}
	return timeline.Merge(logs...)
}

func (d *Deployment) stored(ctx context.Context) [][]timeline.Event {
	store := object.New(d.PlatformURL())
	names, err := store.List(ctx, "events/")
	if err != nil {
		return nil
	}
	var logs [][]timeline.Event
	for _, name := range names {
		content, err := store.Get(ctx, name)
		if err != nil {
			continue
		}
		var events []timeline.Event
		if json.Unmarshal(content, &events) == nil {
			logs = append(logs, events)
		}
	}
	return logs
}
