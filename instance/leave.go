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

// closeSteps is the number of steps that follow the drain in a planned stop and take up to closeTimeout each: the interruption of requests
// in flight, the resignation with the last write of the record, the close of callers' connections and that of all others.
const closeSteps = 4

// closeTimeout bounds each step after the drain, so that a planned stop takes no longer than the stop timeout.
func (i *Instance) closeTimeout() time.Duration {
	const share = 2 * closeSteps
	return min(shutdownTimeout, i.settings.StopTimeout()/share)
}

// leave makes a planned stop: it waits until partitions are moved away and requests in flight have finished, and resigns the
// lease. Requests that are still in flight when the rest of the stop timeout is needed to close everything are interrupted.
func (s *session) leave(ctx context.Context) {
	i := s.instance
	_ = i.state.Fire("stop", "planned stop")
	klog.Infof("instance: %s begins a planned stop", s.self)
	drained := time.Now().Add(i.settings.StopTimeout() - closeSteps*i.closeTimeout())
	draining, cancelDraining := context.WithDeadline(ctx, drained)
	defer cancelDraining()
	leaving, cancelLeaving := context.WithDeadline(ctx, drained.Add(closeSteps/2*i.closeTimeout()))
	defer cancelLeaving()
	s.owned.Drain()
	if err := s.setState(draining, member.Draining); err != nil {
		klog.Warningf("instance: record of %s can't be written: %v", s.self, err)
	}
	moved := time.Now().Add(min(moveTimeout, time.Until(drained)/2))
	for len(s.owned.Serving()) > 0 && time.Now().Before(moved) && draining.Err() == nil {
		wait.For(draining, leavePollInterval)
	}
	if err := s.server.Drain(draining); err != nil {
		klog.Warningf("instance: requests were still in flight at the end of the planned stop: %v", err)
	}
	trigger := "empty"
	if len(s.owned.Serving()) > 0 {
		trigger = "timeout"
	}
	s.resignLease(leaving)
	if err := s.setState(leaving, member.Left); err != nil {
		klog.Warningf("instance: record of %s can't be written: %v", s.self, err)
	}
	_ = i.state.Fire(trigger, "planned stop has finished")
}
