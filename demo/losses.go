package demo

import (
	"context"
	"fmt"
	"slices"
	"time"

	"sapphiretray/config"
	"sapphiretray/partition"
	"sapphiretray/wait"
)

const (
	lossNodes        = 7
	lossPollInterval = 5 * time.Millisecond
	// lossReadTimeout bounds one read of the key.
	lossReadTimeout = 150 * time.Millisecond
	// lossTimeout is the time after which the measurement fails because the key is not served again.
	lossTimeout    = 20 * time.Second
	restartTimeout = 30 * time.Second
)

// Losses is the distribution of the time for which a key was not served after its owner was killed. Times are in the order of the losses.
type Losses struct {
	Count   int             `json:"count"`
	Median  time.Duration   `json:"median_ns"`
	P90     time.Duration   `json:"p90_ns"`
	Maximum time.Duration   `json:"max_ns"`
	Times   []time.Duration `json:"times_ns"`
}

// MeasureLosses kills an owner count times and measures how long reads of one of its keys through another instance fail. Each time, it
// chooses another key, and restarts the killed process before the next one. On an error, it also returns the results so far.
func MeasureLosses(ctx context.Context, executable, dir string, count int) (Losses, error) {
	c, err := config.Parse([]byte(sampleConfig))
	if err != nil {
		return Losses{}, err
	}
	d, err := Start(ctx, executable, c, numberedSpecs(lossNodes), WithDir(dir))
	if err != nil {
		return Losses{}, err
	}
	defer func() { _ = d.Close() }()
	var times []time.Duration
	for n := range count {
		if err := d.AwaitServing(ctx, sampleService, samplePartitions); err != nil {
			return summarize(times), err
		}
		took, err := d.killOwner(ctx, fmt.Sprintf("club-%d", n))
		if err != nil {
			return summarize(times), err
		}
		times = append(times, took)
	}
	return summarize(times), nil
}

// summarize returns the distribution of times; the percentiles are nearest ranks, rounded down.
func summarize(times []time.Duration) Losses {
	if len(times) == 0 {
		return Losses{}
	}
	sorted := slices.Sorted(slices.Values(times))
	at := func(share float64) time.Duration { return sorted[int(share*float64(len(sorted)-1))] }
	return Losses{Count: len(times), Median: at(0.5), P90: at(0.9), Maximum: sorted[len(sorted)-1], Times: times}
}

// killOwner kills the owner of a key, waits until a read of the key succeeds again, and restarts the owner. It returns the time until
// that read.
func (d *Deployment) killOwner(ctx context.Context, key string) (time.Duration, error) {
	m, err := partition.New(sampleService, samplePartitions)
	if err != nil {
		return 0, err
	}
	victim := d.Owner(ctx, sampleService, m.Partition(key))
	if victim == nil {
		return 0, fmt.Errorf("key %s has no owner", key)
	}
	other := d.nodes[0]
	if other == victim {
		other = d.nodes[1]
	}
	client := NewClient()
	victim.Kill()
	lost := time.Now()
	for !readable(ctx, client, other.URL()+"/bookings/"+key) {
		if time.Since(lost) > lossTimeout {
			return 0, fmt.Errorf("key %s is still not served %v after %s was killed", key, lossTimeout, victim.Slot())
		}
		time.Sleep(lossPollInterval)
	}
	took := time.Since(lost)
	return took, d.restart(ctx, victim)
}

// readable reports whether a read succeeds within lossReadTimeout.
func readable(ctx context.Context, client *Client, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, lossReadTimeout)
	defer cancel()
	response, err := client.Do(ctx, Request{Method: "GET", URL: url})
	return err == nil && response.Status == 200
}

// restart waits for a killed process to end, starts it again and waits until its lease is valid.
func (d *Deployment) restart(ctx context.Context, n *Node) error {
	ctx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	_ = n.Wait(ctx)
	if err := n.Start(); err != nil {
		return err
	}
	for {
		if status, err := n.Status(ctx); err == nil && status.LeaseValid {
			return nil
		}
		if !wait.For(ctx, pollInterval) {
			return fmt.Errorf("%s has no valid lease after its restart: %w", n.Slot(), ctx.Err())
		}
	}
}
