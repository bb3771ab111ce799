package sidecar

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/member"
	"sapphiretray/wait"
)

const (
	// checkProbeInterval is the time between two rounds of probes of the instances before this one in the order of checkOrder.
	checkProbeInterval = 5 * time.Second
	// checkProbes is the number of instances that have to respond for a round to end, so that as many checkers know of those before them
	// that have failed.
	checkProbes = 3
)

// silentSlots are the slots of instances that didn't respond to the last round of probes. The zero value has none.
type silentSlots struct {
	slots atomic.Pointer[[]string]
}

func (s *silentSlots) get() []string {
	if slots := s.slots.Load(); slots != nil {
		return *slots
	}
	return nil
}

// set replaces the slots and reports whether there are others than before.
func (s *silentSlots) set(slots []string) bool {
	changed := !slices.Equal(s.get(), slots)
	s.slots.Store(&slots)
	return changed
}

// responding returns the records of reachable without those of instances that didn't respond to probes.
func (sc *Sidecar) responding() []member.Record {
	silent := sc.silentBefore.get()
	return slices.DeleteFunc(sc.reachable(), func(r member.Record) bool { return slices.Contains(silent, r.Incarnation.Slot()) })
}

// probeCheckers probes, at intervals, the instances before this one in the order of checkOrder until ctx ends. The record of a process that
// was killed stays ready, and a checker to which no requests go would be missed only when the configuration is late.
func (sc *Sidecar) probeCheckers(ctx context.Context) {
	for wait.For(ctx, checkProbeInterval) {
		silent, ok := sc.findSilent(ctx)
		if ok && sc.silentBefore.set(silent) {
			klog.InfoS("config: checking without instances that don't respond", "slots", silent)
			sc.config.LimitWait()
		}
	}
}

// findSilent probes the instances before this one, the nearest first, until checkProbes have responded, and returns the slots of those that
// haven't. It returns false if the links of this instance may be the cause: else all instances would become checkers at once. That of the
// first maxCheckers, which are checkers anyway, doesn't matter.
func (sc *Sidecar) findSilent(ctx context.Context) (silent []string, ok bool) {
	order := checkOrder(sc.reachable())
	position := slices.IndexFunc(order, func(r member.Record) bool { return r.Incarnation.Slot() == sc.settings.Slot })
	if position < 0 {
		position = len(order)
	}
	responded := 0
	for _, r := range slices.Backward(order[:position]) {
		if responded == checkProbes || ctx.Err() != nil {
			break
		}
		if sc.responds(ctx, r) {
			responded++
		} else {
			silent = append(silent, r.Incarnation.Slot())
		}
	}
	after := order[min(position+1, len(order)):]
	ok = responded > 0 || position < maxCheckers ||
		slices.ContainsFunc(after[:min(len(after), checkProbes)], func(r member.Record) bool { return sc.responds(ctx, r) })
	return silent, ok && ctx.Err() == nil
}

// responds reports whether the process of an instance responds to a probe.
func (sc *Sidecar) responds(ctx context.Context, r member.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return sc.dialer.Probe(ctx, r.PeerAddress) == nil
}
