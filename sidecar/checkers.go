package sidecar

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/wait"
)

const (
	// defaultConfigLimit is the time within which a configuration has to be in effect if the settings have no other.
	defaultConfigLimit = 2 * time.Second
	// checkWaitShare is the share of the configuration's limit for which a call of the first checker waits for changes. The rest is for the
	// delay of an overdue response, the announcement to the other instances, the end of their calls and the transfer.
	checkWaitShare = 0.3
	// readerWait is how long a reader's call waits for changes of the rows. Readers have to learn of a change within 3 s, so that other
	// instances do within unlistedWait.
	readerWait = 1500 * time.Millisecond
	// checkWaitGrowth is the ratio between the waits of one checker and the one before it, and maxCheckWait the longest wait of a checker.
	// With it any single checker learns of a change in time for the others to have it within 3 s after their calls went silent.
	checkWaitGrowth = 2
	maxCheckWait    = 2 * time.Second
	// maxCheckers is the number of instances whose calls end early. All but one of them may fail at once.
	maxCheckers = 8
	// unlimitedWait lets calls wait for as long as the follower allows.
	unlimitedWait time.Duration = math.MaxInt64
	// ringFanout is the number of the next instances on a ring to which each passes an announcement on, so that everyone gets it unless the
	// ringFanout instances before it have failed, or their datagrams are lost. randomFanout is the number of further ones, drawn at random,
	// through which it reaches the other data centres, and the whole ring in a few steps.
	ringFanout   = 3
	randomFanout = 3
	// maxRingTargets bounds the next instances with those that aren't ready, which may be most of them after many replacements.
	maxRingTargets = 12
	// announcementRepeats is how often an instance repeats an announcement, since datagrams may be lost, and repeatInterval is the time
	// between two of them. It is short because the time that the repeats take is part of that until a configuration is in effect.
	announcementRepeats = 2
	repeatInterval      = 100 * time.Millisecond
)

// configWait returns how long a call of this instance for changes of the configuration may wait at the store. While no call is answered any
// more, as after the loss of all connections at once, no instance gets the changes and announces them. So some instances, the checkers, ask
// again at intervals, the first ones at short intervals. Later checkers wait longer and matter if those before them have failed at the same
// moment. The number of checkers, and so that of their calls, doesn't grow with that of the instances.
func (sc *Sidecar) configWait() time.Duration {
	first := checkWaitShare * float64(cmp.Or(sc.settings.ConfigLimit, defaultConfigLimit))
	if r, ok := sc.directory.record(sc.settings.Slot); !ok || r.State.Ended() {
		// The others announce nothing to an instance that they don't know or that has ended.
		return time.Duration(first)
	}
	position := slices.Index(slotsOf(checkers(sc.responding())), sc.settings.Slot)
	if position < 0 {
		return unlimitedWait
	}
	return min(time.Duration(first*math.Pow(checkWaitGrowth, float64(position))), maxCheckWait)
}

// rowsWait returns how long a call of this instance for changes of the rows may wait at the store. It is short for all instances, because
// only readers make such calls, of which there are few.
func (sc *Sidecar) rowsWait() time.Duration { return readerWait }

// checkers returns the first records in the order of checkOrder, up to maxCheckers.
func checkers(records []member.Record) []member.Record {
	order := checkOrder(records)
	return order[:min(len(order), maxCheckers)]
}

// checkOrder returns the records in the order in which their instances check for changes: the first one of each data centre, then the
// second ones and so on, and those that aren't ready last.
func checkOrder(records []member.Record) []member.Record {
	type candidate struct {
		member.Record
		round int
	}
	perDataCentre := make(map[string]int)
	candidates := make([]candidate, 0, len(records))
	for _, r := range records {
		candidates = append(candidates, candidate{r, perDataCentre[r.DataCentre]})
		perDataCentre[r.DataCentre]++
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(compareReady(a.Record, b.Record), cmp.Compare(a.round, b.round))
	})
	order := make([]member.Record, 0, len(candidates))
	for _, c := range candidates {
		order = append(order, c.Record)
	}
	return order
}

// announceConfig tells some other instances that the instance in a slot has the configuration in a version of the row. Each instance passes
// on what is news to it. Heartbeats and forwarded requests carry versions too, but they don't reach instances that neither witness a lease
// nor have traffic.
func (sc *Sidecar) announceConfig(slot string, row uint64) {
	sc.sendConfigVersion(slot, row)
	select {
	case sc.announceAgain <- struct{}{}:
	default:
	}
}

// repeatAnnouncements repeats the announcements of configurations until ctx ends. Each round announces the newest configuration and draws
// its random targets anew. Configurations that follow one another closely share rounds.
func (sc *Sidecar) repeatAnnouncements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sc.announceAgain:
		}
		for range announcementRepeats {
			if !wait.For(ctx, repeatInterval) {
				return
			}
			sc.sendConfigVersion(sc.newestConfig())
		}
	}
}

// newestConfig returns the newest version of the row with the configuration that this instance knows of, and the slot of an instance that
// has it.
func (sc *Sidecar) newestConfig() (slot string, row uint64) {
	if slot, row = sc.configLag.newest(sc.knownConfig()); row > 0 {
		return slot, row
	}
	return sc.settings.Slot, sc.config.Newest()
}

// sendConfigVersion sends an announcement of a configuration to the targets of this instance.
func (sc *Sidecar) sendConfigVersion(slot string, row uint64) {
	for _, r := range sc.announcementTargets() {
		if r.Incarnation.Slot() == slot {
			continue
		}
		if err := sc.sendAnnouncement(r, slot, &peer.Versions{Config: row}); err != nil {
			klog.V(1).InfoS("config: not announced", "row", row, "slot", r.Incarnation.Slot(), "err", err)
		}
	}
}

// announcementTargets returns the records of the instances to which this one passes an announcement on. The ring is that of the local data
// centre, which stays whole when others are lost or cut off; in a small data centre the next instances of the others follow. Instances that
// aren't ready may have left, so that they are told in addition to ringFanout others.
func (sc *Sidecar) announcementTargets() []member.Record {
	ring := slices.DeleteFunc(sc.reachable(), func(r member.Record) bool { return r.Incarnation.Slot() == sc.settings.Slot })
	self := xxhash.Sum64String(sc.settings.Slot)
	// The distance from this instance on the ring, which wraps around.
	distance := func(r member.Record) uint64 { return xxhash.Sum64String(r.Incarnation.Slot()) - self }
	isLocal := func(r member.Record) bool { return r.DataCentre == sc.settings.DataCentre }
	slices.SortFunc(ring, func(a, b member.Record) int {
		return cmp.Or(compareFirst(isLocal(a), isLocal(b)), cmp.Compare(distance(a), distance(b)))
	})
	next, ready := 0, 0
	for ; next < len(ring) && next < maxRingTargets && ready < ringFanout; next++ {
		if ring[next].State == member.Ready {
			ready++
		}
	}
	rest := ring[next:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	slices.SortStableFunc(rest, compareReady)
	return ring[:next+min(len(rest), randomFanout)]
}
