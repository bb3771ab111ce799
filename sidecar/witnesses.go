package sidecar

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"sapphiretray/member"
)

const (
	// witnessTimeout is the time without an acknowledgement after which a witness counts as unresponsive: three heartbeats.
	witnessTimeout = 3 * leaseInterval
	// unresponsiveAvoidTime is how long an unresponsive witness is avoided. Machines that were disconnected or restarted are usually
	// back by then.
	unresponsiveAvoidTime = 30 * time.Second
	// witnessReplaceTime is the time without an acknowledgement after which a witness of a valid lease is replaced. It outlasts restarts
	// and short partitions, since the instance joins again for it. witnessReplaceSpread is by how much that is spread.
	witnessReplaceTime   = 10 * time.Second
	witnessReplaceSpread = 4 * time.Second
	// witnessProbes is the number of instances that are probed at once.
	witnessProbes = 16
)

// recordUnresponsiveWitnesses records the witnesses that didn't respond to a session that ended without a lease or to get other witnesses.
// Records of machines that are permanently down stay in the store, so the next incarnation would otherwise choose the same witnesses again.
func (sc *Sidecar) recordUnresponsiveWitnesses(ctx context.Context, s *session) {
	if s.grantManager == nil {
		return
	}
	lease := sc.endpoint.Lease()
	if s.witnessesStartedLater(lease.Generation()) {
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
	if len(unresponsive) > len(s.record.Witnesses)/2 {
		sc.probeWitnesses(ctx)
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

// isUnresponsive reports whether the instance in a slot didn't respond to requests, or lately as a witness or to a probe. Records of
// machines that are permanently down stay in the store.
func (sc *Sidecar) isUnresponsive(slot string) bool {
	since, ok := sc.unresponsiveSince[slot]
	return ok && time.Since(since) < unresponsiveAvoidTime || slices.Contains(sc.directory.unreachableSlots(), slot)
}

// chooseWitnesses returns the slots of the witnesses, in as many data centres as possible. Rendezvous hashing spreads the role evenly
// over the instances. Instances that leave are chosen only if there are too few others, and the own slot only if too few other instances
// respond: a lease that needs instances that don't may never become valid.
func (sc *Sidecar) chooseWitnesses() []string {
	responsive := slices.DeleteFunc(sc.others(), func(r member.Record) bool { return sc.isUnresponsive(r.Incarnation.Slot()) })
	chosen := make([]string, 0, witnessCount)
	for _, r := range sc.rankWitnesses(responsive, witnessCount) {
		chosen = append(chosen, r.Incarnation.Slot())
	}
	if len(chosen) < witnessCount {
		chosen = append(chosen, sc.settings.Slot)
	}
	return chosen
}

// rankWitnesses returns up to n of the given records, in the order in which they are preferred as witnesses.
func (sc *Sidecar) rankWitnesses(records []member.Record, n int) []member.Record {
	rank := func(r member.Record) uint64 {
		return xxhash.Sum64String(sc.settings.Slot + "\x00" + r.Incarnation.Slot())
	}
	perDataCentre := make(map[string]int)
	var chosen []member.Record
	for records = slices.Clone(records); len(chosen) < n && len(records) > 0; {
		best := slices.MinFunc(records, func(a, b member.Record) int {
			return cmp.Or(
				compareReady(a, b),
				cmp.Compare(perDataCentre[a.DataCentre], perDataCentre[b.DataCentre]),
				cmp.Compare(rank(a), rank(b)))
		})
		perDataCentre[best.DataCentre]++
		chosen = append(chosen, best)
		records = slices.DeleteFunc(records, func(r member.Record) bool { return r.Incarnation == best.Incarnation })
	}
	return chosen
}

// probeWitnesses probes the instances that are preferred as witnesses until enough respond, and records those that don't. It is needed
// after a session that got no lease: the records of machines that are permanently down may be many.
func (sc *Sidecar) probeWitnesses(ctx context.Context) {
	candidates := slices.DeleteFunc(sc.others(), func(r member.Record) bool { return sc.isUnresponsive(r.Incarnation.Slot()) })
	responsive := 0
	for len(candidates) > 0 && responsive < witnessCount && ctx.Err() == nil {
		batch := sc.rankWitnesses(candidates, witnessProbes)
		responds := make([]bool, len(batch))
		var group errgroup.Group
		for n, r := range batch {
			group.Go(func() error {
				responds[n] = sc.responds(ctx, r)
				return nil
			})
		}
		// The goroutines return no errors.
		_ = group.Wait()
		var silent []string
		for n, r := range batch {
			if responds[n] {
				responsive++
				continue
			}
			silent = append(silent, r.Incarnation.Slot())
			sc.unresponsiveSince[r.Incarnation.Slot()] = time.Now()
		}
		klog.InfoS("session: witnesses probed", "slot", sc.settings.Slot, "probed", len(batch), "silent", silent)
		candidates = slices.DeleteFunc(candidates, func(r member.Record) bool {
			return slices.ContainsFunc(batch, func(probed member.Record) bool { return probed.Incarnation == r.Incarnation })
		})
	}
}

// canReplaceWitnesses reports whether the session would get better witnesses if the instance joined again: more in other slots that
// respond. Some may be permanently down, or the instance has joined when there were few others. It probes other instances before it
// returns true.
func (s *session) canReplaceWitnesses(ctx context.Context, now time.Time) bool {
	if !s.hasBetterWitnesses(now) {
		s.replaceable = time.Time{}
		return false
	}
	if s.replaceable.IsZero() {
		// The holders that a machine was a witness of don't join again at the same moment.
		s.replaceable = now.Add(rand.N(witnessReplaceSpread))
	}
	if now.Before(s.replaceable) {
		return false
	}
	s.sidecar.probeWitnesses(ctx)
	if s.hasBetterWitnesses(now) {
		return true
	}
	s.replaceable = now.Add(witnessReplaceTime)
	return false
}

// hasBetterWitnesses reports whether chooseWitnesses would choose more instances in other slots than the session's witnesses that respond.
func (s *session) hasBetterWitnesses(now time.Time) bool {
	sc := s.sidecar
	if now.Sub(s.started) < witnessReplaceTime {
		return false
	}
	missing := append(sc.endpoint.UnresponsiveWitnesses(now, witnessReplaceTime), sc.settings.Slot)
	present := 0
	for _, slot := range s.record.Witnesses {
		if !slices.Contains(missing, slot) {
			present++
		}
	}
	if present >= witnessCount || !sc.rows.Reachable() {
		return false
	}
	better := slices.DeleteFunc(sc.chooseWitnesses(), func(slot string) bool { return slices.Contains(missing, slot) })
	return len(better) > present
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
