package sidecar

import (
	"context"
	"slices"
	"time"

	"sapphiretray/gateway"
	"sapphiretray/wait"

	"k8s.io/klog/v2"
)

const (
	// notReadyTime is how long callers may still connect after the process has become not ready: the platform checks once a second and
	// stops sending callers after two failed checks.
	notReadyTime = 2200 * time.Millisecond
	// callerQuietTime is how long no request of a caller may arrive before the connections to callers are closed, and lateCallersTime
	// bounds the wait for that. On machines short of processor time, responses to readiness checks are late and callers keep coming for
	// longer. A request that hasn't been read when its connection is closed is lost.
	callerQuietTime = 250 * time.Millisecond
	lateCallersTime = 1300 * time.Millisecond
	// quietInterval is the time between checks for requests in flight.
	quietInterval = 20 * time.Millisecond
	// inFlightReserve is the time kept for requests in flight if StopTimeout leaves too little time to wait for late callers.
	inFlightReserve = 500 * time.Millisecond
	// stopMargin is the time between the end of the process and the time at which it would be killed.
	stopMargin = 700 * time.Millisecond
	// answerTime is the part of stopMargin in which the requests that are still in progress are answered.
	answerTime = 200 * time.Millisecond
	// maxLateShare is the largest share of StopTimeout that is taken off because the signal may have been noticed late.
	maxLateShare = 0.75
	// maxStopShare is the largest share of StopTimeout that inFlightReserve and stopMargin may each take.
	maxStopShare = 0.25
)

// stopTimes are the times of the steps of a planned stop.
type stopTimes struct {
	// notReadyUntil is when the platform has stopped sending callers; the gateway is closed then. lateCallersUntil bounds the wait for
	// late ones, and end that for requests in flight. From lastRequests on, a request is refused if its deadline is after the end.
	// Connections are closed at answered.
	notReadyUntil, lateCallersUntil, lastRequests, end, answered time.Time
}

// newStopTimes returns the times of a stop that has begun and must take less than a timeout.
func newStopTimes(begun time.Time, timeout time.Duration) stopTimes {
	most := time.Duration(maxStopShare * float64(timeout))
	margin := min(stopMargin, most)
	end := timeout - margin
	lateCallers := min(notReadyTime+lateCallersTime, end-min(inFlightReserve, most))
	return stopTimes{
		notReadyUntil: begun.Add(min(notReadyTime, lateCallers, timeout/2)), lateCallersUntil: begun.Add(lateCallers),
		lastRequests: begun.Add(timeout / 2), end: begun.Add(end), answered: begun.Add(end + min(answerTime, margin/2)),
	}
}

// outlasts reports whether a request with a deadline must be refused because it might still be in progress when the process has to end.
// That isn't so in the first half of the stop timeout: callers still come then, and most requests end long before their deadlines.
func (sc *Sidecar) outlasts(deadline time.Time) bool {
	t := sc.stop.Load()
	return t != nil && time.Now().After(t.lastRequests) && deadline.After(t.end)
}

// drainOnStop waits until ctx ends, then becomes not ready, lets callers leave and requests in flight finish, and returns. It returns
// early if running, the context of the servers, ends.
func (sc *Sidecar) drainOnStop(ctx, running context.Context, servers []*server) {
	select {
	case <-ctx.Done():
	case <-running.Done():
		return
	}
	callers, peers := serverNamed(servers, callersServer), serverNamed(servers, peersServer)
	begun := time.Now()
	times := sc.beginStop(begun, callers, peers)
	wait.For(running, time.Until(times.notReadyUntil))
	// Close refuses all further requests to the upstream; running ones aren't affected.
	sc.gateway.Close()
	// The local upstream may make calls for the requests that it runs.
	callers.awaitQuiet(running, times.lateCallersUntil, func() bool { return sc.gateway.Load().Running > 0 })
	drain, cancel := context.WithDeadline(running, times.end)
	defer cancel()
	answered, cancelAnswered := context.WithDeadline(running, times.answered)
	defer cancelAnswered()
	// New connections are refused; open ones are closed after the responses to the requests in flight.
	if err := sc.callers.CloseListener(drain, callers.listener, sc.adapters.Network.DialContext); err != nil {
		klog.InfoS("process: failed to close a listener", "server", callers.name, "err", err)
	}
	left := sc.callers.Drain(drain)
	closed := make(chan struct{})
	sc.group.Go(func() error {
		defer close(closed)
		peers.shutdown(answered)
		return nil
	})
	select {
	case <-closed:
	case <-drain.Done():
	}
	if drain.Err() != nil {
		// What is still in progress is answered, but no longer waited for.
		sc.giveUp(gateway.ErrStopping)
		left = sc.callers.Finish(answered)
		<-closed
	}
	if left > 0 {
		klog.InfoS("process: connections were still in use at the end", "server", callers.name, "connections", left)
	}
	for _, s := range []*server{callers, peers} {
		if err := s.http.Close(); err != nil {
			klog.InfoS("process: failed to close connections", "server", s.name, "err", err)
		}
	}
	klog.InfoS("process: drained", "took", time.Since(begun), "whole", drain.Err() == nil,
		"callers", callers.inFlight.Load(), "peers", peers.inFlight.Load())
}

// beginStop makes the process not ready and announces that it stops.
func (sc *Sidecar) beginStop(begun time.Time, callers, peers *server) stopTimes {
	// The time to the kill counts from the signal, which a process that stood still has noticed late.
	late := min(sc.activity.lateness(begun), time.Duration(maxLateShare*float64(sc.settings.StopTimeout)))
	klog.InfoS("process: stopping", "name", sc.settings.Name, "upstream", sc.gateway.State().Usable(),
		"callers", callers.inFlight.Load(), "peers", peers.inFlight.Load(), "late", late)
	times := newStopTimes(begun, sc.settings.StopTimeout-late)
	sc.stop.Store(&times)
	sc.stopping.Store(true)
	// The record and the planner are to show at once that the instance leaves.
	sc.upstreamChanged()
	return times
}

// serverNamed returns the server with a name. It panics if there is none.
func serverNamed(servers []*server, name string) *server {
	return servers[slices.IndexFunc(servers, func(s *server) bool { return s.name == name })]
}

// shutdown refuses new connections of other instances, tells them on the open ones which requests have not begun, so that they can send
// those elsewhere, and waits until they have closed their connections and no request is in flight, or until ctx ends.
func (s *server) shutdown(ctx context.Context) {
	if left := s.peers.Shutdown(ctx); left > 0 {
		klog.InfoS("process: connections were still open at the end", "server", s.name, "connections", left, "inFlight", s.inFlight.Load())
	}
	for s.inFlight.Load() > 0 && wait.For(ctx, quietInterval) {
		continue
	}
}

// awaitQuiet waits until no request has arrived and busy has returned false for callerQuietTime, until the given time, or until ctx ends.
func (s *server) awaitQuiet(ctx context.Context, until time.Time, busy func() bool) {
	last, since := s.begun.Load(), time.Now()
	for ctx.Err() == nil && time.Since(since) < callerQuietTime && time.Now().Before(until) {
		wait.For(ctx, quietInterval)
		if begun := s.begun.Load(); begun != last || busy() {
			last, since = begun, time.Now()
		}
	}
}
