package sidecar

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"sapphiretray/member"
	"sapphiretray/peer"
)

const (
	// defaultConfigLimit is the time within which a configuration has to be in effect if the settings have no other.
	defaultConfigLimit = 2 * time.Second
	// checkWaitShare is the share of the configuration's limit for which a call of the first checker waits for changes. The rest is for the
	// delay of an overdue response, the announcement to the other instances, the end of their calls and the transfer.
	checkWaitShare = 0.3
	// rowsCheckWait is how long a call of the first checker waits for changes of the rows. Readers have to learn of a change within 3 s, so
	// that other instances do within unlistedWait.
	rowsCheckWait = 1500 * time.Millisecond
	// checkWaitGrowth is the ratio between the waits of one checker and the one before it.
	checkWaitGrowth = 1.5
	// maxCheckers is the number of instances whose calls end early. The next one would wait longer than calls do anyway.
	maxCheckers = 10
	// ringFanout is the number of the next instances on a ring of all instances to which each passes an announcement on, so that everyone
	// gets it unless the ringFanout instances before it have failed, or their datagrams are lost. randomFanout is the number of further
	// ones, drawn at random, through which it reaches the whole ring in a few steps.
	ringFanout   = 3
	randomFanout = 3
)

// configWait returns how long a call of this instance for changes of the configuration may wait at the store.
func (sc *Sidecar) configWait() time.Duration {
	limit := cmp.Or(sc.settings.ConfigLimit, defaultConfigLimit)
	return sc.checkWait(time.Duration(checkWaitShare * float64(limit)))
}

// rowsWait is like configWait for changes of the rows.
func (sc *Sidecar) rowsWait() time.Duration { return sc.checkWait(rowsCheckWait) }

// checkWait returns how long a call of this instance for changes may wait at the store if those of the first checker wait for the given
// time. While no call is answered any more, as after the loss of all connections at once, no instance gets the changes and announces them.
// So some instances, the checkers, ask again at intervals, the first ones at short intervals. Later checkers wait longer and matter if
// those before them have failed, so that the number of calls doesn't grow with that of the instances.
func (sc *Sidecar) checkWait(first time.Duration) time.Duration {
	records := sc.reachable()
	if len(records) == 0 {
		return first
	}
	position := slices.Index(slotsOf(checkers(records)), sc.settings.Slot)
	if position < 0 {
		position = maxCheckers
	}
	return time.Duration(float64(first) * math.Pow(checkWaitGrowth, float64(position)))
}

// checkers returns up to maxCheckers records in the order in which their instances check for changes: the first one of each data centre,
// then the second ones and so on.
func checkers(records []member.Record) []member.Record {
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
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.round, b.round) })
	chosen := make([]member.Record, 0, maxCheckers)
	for _, c := range candidates[:min(len(candidates), maxCheckers)] {
		chosen = append(chosen, c.Record)
	}
	return chosen
}

// announceConfig tells some other instances that the instance in a slot has the configuration in a version of the row. Each instance passes
// on what is news to it. Heartbeats and forwarded requests carry versions too, but they don't reach instances that neither witness a lease
// nor have traffic.
func (sc *Sidecar) announceConfig(slot string, row uint64) {
	for _, r := range sc.announcementTargets() {
		if r.Incarnation.Slot() == slot {
			continue
		}
		if err := sc.sendAnnouncement(r, slot, &peer.Versions{Config: row}); err != nil {
			klog.V(1).InfoS("config: not announced", "row", row, "slot", r.Incarnation.Slot(), "err", err)
		}
	}
}

// announcementTargets returns the records of the instances to which this one passes an announcement on.
func (sc *Sidecar) announcementTargets() []member.Record {
	ring := slices.DeleteFunc(sc.reachable(), func(r member.Record) bool { return r.Incarnation.Slot() == sc.settings.Slot })
	self := xxhash.Sum64String(sc.settings.Slot)
	// The distance from this instance on the ring, which wraps around.
	distance := func(r member.Record) uint64 { return xxhash.Sum64String(r.Incarnation.Slot()) - self }
	slices.SortFunc(ring, func(a, b member.Record) int { return cmp.Compare(distance(a), distance(b)) })
	if rest := ring[min(len(ring), ringFanout):]; len(rest) > 0 {
		rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	}
	return ring[:min(len(ring), ringFanout+randomFanout)]
}
