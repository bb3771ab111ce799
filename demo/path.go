package demo

import (
	"context"
	"errors"

	"sapphiretray/config"
	"sapphiretray/fake"
	"sapphiretray/partition"
)

// PathKey is the key whose path StartPath returns.
const PathKey = "club-0"

// StartPath brings up three instances with upstreams that answer at once, and returns the owner of PathKey and another instance.
func StartPath(ctx context.Context, executable, dir string) (d *Deployment, owner, other *Node, err error) {
	c, err := config.Parse([]byte(showConfig))
	if err != nil {
		return nil, nil, nil, err
	}
	specs := ShowSpecs()
	for n := range specs {
		specs[n].Slots, specs[n].Options = 64, []fake.UpstreamOption{fake.WithSlots(64)}
	}
	if d, err = Start(ctx, executable, c, specs, WithDir(dir)); err != nil {
		return nil, nil, nil, err
	}
	if err := d.AwaitServing(ctx, showService, showPartitions); err != nil {
		return nil, nil, nil, errors.Join(err, d.Close())
	}
	m, err := partition.New(showService, showPartitions)
	if err != nil {
		return nil, nil, nil, errors.Join(err, d.Close())
	}
	owner = d.Owner(ctx, showService, m.Partition(PathKey))
	for _, n := range d.nodes {
		if n != owner {
			other = n
		}
	}
	return d, owner, other, nil
}
