package sidecar

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"sapphiretray/member"
)

const (
	// maxSourceProbes bounds the instances that are probed at the same time for one that responds.
	maxSourceProbes = 8
	// maxOtherSources bounds the instances that are asked without having announced a newer configuration, before the next pause.
	maxOtherSources = 8
)

// configSource returns the slot of a reachable instance that has a newer configuration and wasn't tried yet, if possible one in the local
// data centre, and false if there is none.
func (sc *Sidecar) configSource(tried map[string]bool) (slot string, ok bool) {
	unreachable := sc.directory.unreachableSlots()
	for _, candidate := range sc.configLag.newerThan(sc.knownConfig()) {
		if tried[candidate] || slices.Contains(unreachable, candidate) {
			continue
		}
		if r, known := sc.directory.record(candidate); known && r.DataCentre == sc.settings.DataCentre {
			return candidate, true
		}
		slot, ok = candidate, true
	}
	return slot, ok
}

// respondingSource probes instances that weren't tried yet and returns the slot of the first one that responds, or false if none does
// within probeTimeout. Those that have announced a newer configuration are preferred to others, which may have it too.
func (sc *Sidecar) respondingSource(ctx context.Context, tried map[string]bool) (slot string, ok bool) {
	announcers := sc.configLag.newerThan(sc.knownConfig())
	var preferred, others []member.Record
	triedOthers := 0
	for _, r := range sc.reachable() {
		slot := r.Incarnation.Slot()
		switch announced := slices.Contains(announcers, slot); {
		case slot == sc.settings.Slot:
		case tried[slot] && !announced:
			triedOthers++
		case tried[slot]:
		case announced:
			preferred = append(preferred, r)
		default:
			others = append(others, r)
		}
	}
	if triedOthers >= maxOtherSources {
		others = nil
	}
	for _, records := range [][]member.Record{preferred, others} {
		rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	}
	candidates := slices.Concat(preferred, others)
	return sc.firstResponding(ctx, candidates[:min(len(candidates), maxSourceProbes)])
}

// firstResponding probes instances at the same time and returns the slot of the first one that responds within probeTimeout, or false.
func (sc *Sidecar) firstResponding(ctx context.Context, records []member.Record) (slot string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var probes sync.WaitGroup
	var first sync.Once
	for _, r := range records {
		probes.Go(func() {
			if sc.dialer.Probe(ctx, r.PeerAddress) == nil {
				first.Do(func() { slot, ok = r.Incarnation.Slot(), true })
				cancel()
			}
		})
	}
	probes.Wait()
	return slot, ok
}
