package mesh

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// notReadyTime is how long callers may still come after the process has said that it isn't ready: the platform asks once a
	// second and takes it out after two answers.
	notReadyTime = 2200 * time.Millisecond
	// stopMargin is kept between the end of the process and the time at which it is killed.
	stopMargin = 700 * time.Millisecond
)

// awaitStop waits until the process is told to stop, lets callers leave and requests in flight end, and returns.
func (m *Mesh) awaitStop(ctx, running context.Context, servers []*server) {
	select {
	case <-ctx.Done():
	case <-running.Done():
		return
	}
	klog.InfoS("process: stopping", "name", m.settings.Name, "upstream", m.gateway.State().Usable())
	m.stopping.Store(true)
	m.wakeUp()
	begun := time.Now()
	pause(running, notReadyTime)
	drain, cancel := context.WithDeadline(running, begun.Add(m.settings.StopTimeout-stopMargin))
	defer cancel()
	var group sync.WaitGroup
	for _, s := range servers {
		if s.name == "callers" || s.name == "peers" {
			group.Go(func() {
				if err := s.http.Shutdown(drain); err != nil {
					klog.InfoS("process: requests cut off", "server", s.name, "err", err)
				}
			})
		}
	}
	group.Wait()
}
