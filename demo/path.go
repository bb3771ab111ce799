package demo

import (
	"context"
	"errors"

	"sapphiretray/config"
	"sapphiretray/fake"
	"sapphiretray/partition"
)

// PathKey is the key whose owner StartPath returns.
const PathKey = "club-0"

// StartPath starts three instances whose upstreams respond without delay, and returns the owner of PathKey and another instance.
func StartPath(ctx context.Context, executable, dir string) (d *Deployment, owner, other *Node, err error) {
	c, err := config.Parse([]byte(sampleConfig))
	if err != nil {
		return nil, nil, nil, err
	}
	specs := SampleSpecs()
	for n := range specs {
		specs[n].Slots, specs[n].Options = 64, []fake.UpstreamOption{fake.WithSlots(64)}
	}
	if d, err = Start(ctx, executable, c, specs, WithDir(dir)); err != nil {
		return nil, nil, nil, err
	}
	if err := d.AwaitServing(ctx, sampleService, samplePartitions); err != nil {
		return nil, nil, nil, errors.Join(err, d.Close())
	}
	m, err := partition.New(sampleService, samplePartitions)
	if err != nil {
		return nil, nil, nil, errors.Join(err, d.Close())
	}
	owner = d.Owner(ctx, sampleService, m.Partition(PathKey))
	for _, n := range d.nodes {
		if n != owner {
			other = n
		}
	}
	return d, owner, other, nil
}
