package sidecar

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"sapphiretray/member"
)

const (
	// witnessTimeout is the time without an acknowledgement after which a witness counts as unresponsive: three heartbeats.
	witnessTimeout = 3 * leaseInterval
	// unresponsiveAvoidTime is how long an unresponsive witness is avoided. Machines that were disconnected or restarted are usually
	// back by then.
	unresponsiveAvoidTime = 30 * time.Second
)

// Penalties of an instance as a witness; the lowest are preferred.
const (
	witnessSuitable = iota
	// witnessLeaving applies to an instance whose upstream leaves; its process often ends soon after.
	witnessLeaving
	witnessUnreachable
)

// recordUnresponsiveWitnesses records the witnesses that didn't respond to a session that ended without a lease. Records of machines
// that are permanently down stay in the store, so the next incarnation would otherwise choose the same witnesses again.
func (sc *Sidecar) recordUnresponsiveWitnesses(s *session) {
	if s.grantManager == nil {
		return
	}
	if lease := sc.endpoint.Lease(); lease.Valid() || s.witnessesStartedLater(lease.Generation()) {
		return
	}
	now := time.Now()
	unresponsive := sc.endpoint.UnresponsiveWitnesses(now, witnessTimeout)
	for _, slot := range unresponsive {
		sc.unresponsiveSince[slot] = now
	}
	if len(unresponsive) > 0 {
		klog.InfoS("session: witnesses don't respond", "instance", s.self(), "silent", unresponsive)
	}
}

// endSilence makes the instance respond as a witness to the incarnations that joined after its process had started, and records the version
// of the listing. The rows must have been listed.
func (sc *Sidecar) endSilence() {
	sc.directory.markListed(sc.rows.Version())
	newest := sc.directory.newestRegistered()
	var unlisted uint64
	if sc.directory.hasMaps() {
		// Another writer may have removed the record of a running instance, whose number is at most the version of that row. Before keys
		// are assigned for the first time, no lease has to be honoured, and a new service isn't delayed.
		unlisted = sc.rows.Version()
	}
	sc.endpoint.SetNewestRegistered(newest, unlisted)
}

// others returns the records of the other instances in the region that haven't left or expired.
func (sc *Sidecar) others() []member.Record {
	return slices.DeleteFunc(sc.directory.all(), func(r member.Record) bool {
		return r.Incarnation.Slot() == sc.settings.Slot || r.Region != sc.settings.Region || r.State.Ended()
	})
}

// chooseWitnesses returns the slots of the witnesses, in as many data centres as possible. Rendezvous hashing spreads the role evenly
// over the instances. Instances that leave or don't respond are chosen only if there are too few others, and the own slot
// only if there are fewer than witnessCount others.
func (sc *Sidecar) chooseWitnesses() []string {
	others := sc.others()
	unreachable := sc.directory.unreachableSlots()
	rank := func(r member.Record) uint64 {
		return xxhash.Sum64String(sc.settings.Slot + "\x00" + r.Incarnation.Slot())
	}
	penalty := func(r member.Record) int {
		slot := r.Incarnation.Slot()
		since, unresponsive := sc.unresponsiveSince[slot]
		switch {
		case slices.Contains(unreachable, slot), unresponsive && time.Since(since) < unresponsiveAvoidTime:
			return witnessUnreachable
		case r.State != member.Ready:
			return witnessLeaving
		default:
			return witnessSuitable
		}
	}
	perDataCentre := make(map[string]int)
	var chosen []string
	for len(chosen) < witnessCount && len(others) > 0 {
		best := slices.MinFunc(others, func(a, b member.Record) int {
			return cmp.Or(
				cmp.Compare(penalty(a), penalty(b)),
				cmp.Compare(perDataCentre[a.DataCentre], perDataCentre[b.DataCentre]),
				cmp.Compare(rank(a), rank(b)))
		})
		perDataCentre[best.DataCentre]++
		chosen = append(chosen, best.Incarnation.Slot())
		others = slices.DeleteFunc(others, func(r member.Record) bool { return r.Incarnation == best.Incarnation })
	}
	if len(chosen) < witnessCount {
		chosen = append(chosen, sc.settings.Slot)
	}
	return chosen
}

// witnessesStartedLater reports whether a session can't get its first lease yet because most of its witnesses were restarted after it
// began. A restarted witness has forgotten which leases it supported, so it supports no older incarnation for one lease duration. A new
// incarnation needn't wait for that. The generation is that of the lease, 0 before the first.
func (s *session) witnessesStartedLater(generation uint64) bool {
	if generation > 0 {
		return false
	}
	unchanged := 0
	for slot, number := range s.sidecar.directory.incarnationNumbers(s.record.Witnesses) {
		if slot == s.sidecar.settings.Slot || number == s.witnessNumbers[slot] {
			unchanged++
		}
	}
	return unchanged < len(s.record.Witnesses)/2+1
}
