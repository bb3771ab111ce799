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

const warmPoll = 20 * time.Millisecond

// health is the newest report on the local upstream.
type health struct {
	machine *chart.Machine
	mu      sync.Mutex
	last    upstream.Probe
	known   bool
}

func (h *health) get() (probe upstream.Probe, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last, h.known
}

// observeUpstream takes the result of a probe.
func (i *Instance) observeUpstream(probe upstream.Probe) {
	i.health.mu.Lock()
	i.health.last, i.health.known = probe, true
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

// awaitUpstream returns when the upstream reports that it is ready.
func (i *Instance) awaitUpstream(ctx context.Context) error {
	for {
		if probe, known := i.health.get(); known && probe.Err == nil && probe.Health.Ready {
			return nil
		}
		if !wait.For(ctx, warmPoll) {
			return code.Wrap(code.UpstreamNotWarmed, ctx.Err(), "wait for the upstream")
		}
	}
}
