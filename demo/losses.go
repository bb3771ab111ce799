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
	lossNodes      = 7
	lossPoll       = 5 * time.Millisecond
	lossAttempt    = 150 * time.Millisecond
	lossMaximum    = 20 * time.Second
	restartTimeout = 30 * time.Second
)

// Losses is the distribution of the time for which a key had no serving owner after its owner was killed.
type Losses struct {
	Count   int             `json:"count"`
	Median  time.Duration   `json:"median_ns"`
	Ninety  time.Duration   `json:"p90_ns"`
	Maximum time.Duration   `json:"max_ns"`
	Times   []time.Duration `json:"times_ns"`
}

// MeasureLosses kills the owner of a key several times and measures how long reads of the key fail through another instance. The
// owner's process is started again after each loss.
func MeasureLosses(ctx context.Context, executable, dir string, count int) (Losses, error) {
	c, err := config.Parse([]byte(showConfig))
	if err != nil {
		return Losses{}, err
	}
	d, err := Start(ctx, executable, c, controlSpecs(lossNodes), WithDir(dir))
	if err != nil {
		return Losses{}, err
	}
	defer func() { _ = d.Close() }()
	var times []time.Duration
	for n := range count {
		if err := d.AwaitServing(ctx, showService, showPartitions); err != nil {
			return summarize(times), err
		}
		took, err := d.loseOwner(ctx, fmt.Sprintf("club-%d", n))
		if err != nil {
			return summarize(times), err
		}
		times = append(times, took)
	}
	return summarize(times), nil
}

func summarize(times []time.Duration) Losses {
	if len(times) == 0 {
		return Losses{}
	}
	sorted := slices.Sorted(slices.Values(times))
	at := func(share float64) time.Duration { return sorted[int(share*float64(len(sorted)-1))] }
	return Losses{Count: len(times), Median: at(0.5), Ninety: at(0.9), Maximum: sorted[len(sorted)-1], Times: times}
}

// loseOwner kills the owner of a key and returns the time until a read of the key succeeds again.
func (d *Deployment) loseOwner(ctx context.Context, key string) (time.Duration, error) {
	m, err := partition.New(showService, showPartitions)
	if err != nil {
		return 0, err
	}
	victim := d.Owner(ctx, showService, m.Partition(key))
	if victim == nil {
		return 0, fmt.Errorf("key %s has no owner", key)
	}
	through := d.nodes[0]
	if through == victim {
		through = d.nodes[1]
	}
	client := NewClient()
	victim.Kill()
	lost := time.Now()
	for !readable(ctx, client, through.URL()+"/bookings/"+key) {
		if time.Since(lost) > lossMaximum {
			return 0, fmt.Errorf("key %s is not served %v after the loss of %s", key, lossMaximum, victim.Slot())
		}
		time.Sleep(lossPoll)
	}
	took := time.Since(lost)
	return took, d.restart(ctx, victim)
}

func readable(ctx context.Context, client *Client, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, lossAttempt)
	defer cancel()
	answer, err := client.Do(ctx, Request{Method: "GET", URL: url})
	return err == nil && answer.Status == 200
}

// restart starts a process again and waits until its lease is valid.
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
			return fmt.Errorf("%s did not join again: %w", n.Slot(), ctx.Err())
		}
	}
}
