package instance

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/member"
	"sapphiretray/wait"
)

const (
	// moveTime is how long a planned stop waits for the planner to move partitions away. After it, the instance takes no
	// new work and gives up its lease, so that an upstream that leaves gets no new work after a few seconds, also while
	// the platform is down or moves are paused.
	moveTime  = 3 * time.Second
	leavePoll = 50 * time.Millisecond
)

// leave is a planned stop: partitions are moved away, requests in flight finish, and the lease is given up.
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
	for until := time.Now().Add(moveTime); len(s.owned.Serving()) > 0 && time.Now().Before(until) && ctx.Err() == nil; {
		wait.For(ctx, leavePoll)
	}
	if err := s.server.Drain(ctx); err != nil {
		klog.Warningf("instance: requests are still in flight after the stop timeout: %v", err)
	}
	trigger := "empty"
	if len(s.owned.Serving()) > 0 {
		trigger = "timeout"
	}
	s.release(ctx)
	if err := s.setState(ctx, member.Left); err != nil {
		klog.Warningf("instance: record of %s can't be written: %v", s.self, err)
	}
	_ = i.state.Fire(trigger, "planned stop has finished")
}
