package demo

import (
	"context"

	"sapphiretray/admin"
	"sapphiretray/object"
	"sapphiretray/timeline"
)

// Events returns the merged events of all instances: those in memory of the running instances, and those in the object store. Sources
// that don't respond are left out.
func (d *Deployment) Events(ctx context.Context) []timeline.Event {
	logs, _ := admin.StoredEvents(ctx, object.New(d.PlatformURL()))
	for _, n := range d.nodes {
		if events, err := n.Events(ctx); err == nil {
			logs = append(logs, events)
		}
	}
	return timeline.Merge(logs...)
}
