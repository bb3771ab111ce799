package mesh

import (
	"context"
	"slices"
	"time"

	"sapphiretray/wait"

	"k8s.io/klog/v2"
)

const (
	// notReadyTime is how long callers may still come after the process has said that it isn't ready: the platform asks once a
	// second and takes it out after two answers.
	notReadyTime = 2200 * time.Millisecond
	// callerSilence is how long no caller may come before the process closes its connections to them, and lateCallersTime the longest
	// wait for that: on machines that are short of processor time, the platform's questions and the callers' requests are
	// answered late, so callers come for longer, and a request that hasn't been read when its connection is closed is lost.
	callerSilence   = 250 * time.Millisecond
	lateCallersTime = 1300 * time.Millisecond
	// quietInterval and quietChecks are how long no request may be in flight before the process ends.
	quietInterval = 20 * time.Millisecond
	quietChecks   = 5
	// inFlightReserve is left for the requests in flight, where the time to stop is short.
	inFlightReserve = 500 * time.Millisecond
	// stopMargin is kept between the end of the process and the time at which it is killed.
	stopMargin = 700 * time.Millisecond
)

// drainOnStop waits until the process is told to stop, lets callers leave and requests in flight end, and returns.
func (m *Mesh) drainOnStop(ctx, running context.Context, servers []*server) {
	select {
	case <-ctx.Done():
	case <-running.Done():
		return
	}
	klog.InfoS("process: stopping", "name", m.settings.Name, "upstream", m.gateway.State().Usable())
	m.stopping.Store(true)
	m.wakeUp()
	begun := time.Now()
	end := begun.Add(m.settings.StopTimeout - stopMargin)
	lateCallersUntil := begun.Add(notReadyTime + lateCallersTime)
	if latest := end.Add(-inFlightReserve); latest.Before(lateCallersUntil) {
		lateCallersUntil = latest
	}
	wait.For(running, notReadyTime)
	m.gateway.Close()
	callers, peers := serverNamed(servers, callersServer), serverNamed(servers, peersServer)
	callers.awaitQuiet(running, lateCallersUntil)
	drain, cancel := context.WithDeadline(running, end)
	defer cancel()
	// New callers are turned away; the connections in use are closed after their responses.
	m.group.Go(func() error {
		if err := callers.http.Shutdown(drain); err != nil {
			klog.InfoS("process: connections cut off", "server", callers.name, "err", err)
		}
		return nil
	})
	for quiet := 0; quiet < quietChecks && drain.Err() == nil; quiet++ {
		if callers.inFlight.Load() > 0 || peers.inFlight.Load() > 0 {
			quiet = 0
		}
		wait.For(drain, quietInterval)
	}
	klog.InfoS("process: drained", "took", time.Since(begun), "whole", drain.Err() == nil)
}

// named returns the server with a name; listen makes one for each.
func serverNamed(servers []*server, name string) *server {
	return servers[slices.IndexFunc(servers, func(s *server) bool { return s.name == name })]
}

// awaitQuiet returns once no request has begun for callerSilence, at the given time, or when ctx ends.
func (s *server) awaitQuiet(ctx context.Context, until time.Time) {
	last, since := s.begun.Load(), time.Now()
	for ctx.Err() == nil && time.Since(since) < callerSilence && time.Now().Before(until) {
		wait.For(ctx, quietInterval)
		if begun := s.begun.Load(); begun != last {
			last, since = begun, time.Now()
		}
	}
}
