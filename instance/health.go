package instance

import (
	"context"
	"sync"
	"time"

	"sapphiretray/chart"
	"sapphiretray/code"
	"sapphiretray/upstream"
	"sapphiretray/wait"
)

// upstreamPollInterval is the time between two checks of the last probe while waiting for the upstream.
const upstreamPollInterval = 20 * time.Millisecond

// health holds the latest probe of the local upstream and the upstream's state machine.
type health struct {
	machine   *chart.Machine
	mu        sync.Mutex
	lastProbe upstream.Probe
	// known is false until the first probe.
	known bool
}

func (h *health) get() (probe upstream.Probe, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastProbe, h.known
}

// observeUpstream stores the result of a probe and updates the upstream's state. When the upstream goes down, the lease is resigned.
func (i *Instance) observeUpstream(probe upstream.Probe) {
	i.health.mu.Lock()
	i.health.lastProbe, i.health.known = probe, true
	i.health.mu.Unlock()
	switch state := i.health.machine.State(); {
	case probe.Down() && state != "failed":
		_ = i.health.machine.Fire("failed", probe.Err.Error())
		if s := i.session.Load(); s != nil {
			s.upstreamFailed()
		}
	case probe.Err == nil && probe.Health.Ready && state != "ready":
		_ = i.health.machine.Fire("ready", "the probe reports ready")
	case probe.Err == nil && !probe.Health.Ready && state != "starting":
		_ = i.health.machine.Fire("not-ready", "the probe reports not ready")
	}
}

// awaitUpstream returns when the upstream reports that it is ready. The error carries code.UpstreamNotWarmed if ctx ends first.
func (i *Instance) awaitUpstream(ctx context.Context) error {
	for {
		if probe, known := i.health.get(); known && probe.Err == nil && probe.Health.Ready {
			return nil
		}
		if !wait.For(ctx, upstreamPollInterval) {
			return code.Wrap(code.UpstreamNotWarmed, ctx.Err(), "wait for the upstream")
		}
	}
}
