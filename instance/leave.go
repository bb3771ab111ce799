package instance

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/member"
	"sapphiretray/wait"
)

const (
	// moveTimeout is how long a planned stop waits for the planner to move partitions away. The instance then accepts no new
	// requests and resigns its lease, so that the upstream stops receiving requests within a few seconds even while the
	// platform is down or moves are paused.
	moveTimeout = 3 * time.Second
	// leavePollInterval is the time between two checks whether the instance still serves partitions.
	leavePollInterval = 50 * time.Millisecond
)

// leave makes a planned stop: it waits until partitions are moved away and requests in flight have finished, and resigns the
// lease. All of it is bounded by the stop timeout.
func (s *session) leave(ctx context.Context) {
	i := s.instance
	_ = i.state.Fire("stop", "planned stop")
	klog.Infof("instance: %s begins a planned stop", s.self)
	ctx, cancel := context.WithTimeout(ctx, i.settings.StopTimeout())
	defer cancel()
	s.owned.Drain()
	if err := s.setState(ctx, member.Draining); err != nil {
		klog.Warningf("instance: record of %s can't be written: %v", s.self, err)
	}
	for until := time.Now().Add(moveTimeout); len(s.owned.Serving()) > 0 && time.Now().Before(until) && ctx.Err() == nil; {
		wait.For(ctx, leavePollInterval)
	}
	if err := s.server.Drain(ctx); err != nil {
		klog.Warningf("instance: requests are still in flight after the stop timeout: %v", err)
	}
	trigger := "empty"
	if len(s.owned.Serving()) > 0 {
		trigger = "timeout"
	}
	s.resignLease(ctx)
	if err := s.setState(ctx, member.Left); err != nil {
		klog.Warningf("instance: record of %s can't be written: %v", s.self, err)
	}
	_ = i.state.Fire(trigger, "planned stop has finished")
}
