package sidecar

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/processor"
	"sapphiretray/store"
	"sapphiretray/wait"
)

const (
	// planInterval is the time between two plans.
	planInterval = 250 * time.Millisecond
	// gatherTime is the wait after a report that triggers a plan, for other reports of the same event.
	gatherTime = 40 * time.Millisecond
	// slowPlan is the computing time from which a plan is logged as slow. More would endanger the latency objectives of requests.
	slowPlan = 20 * time.Millisecond
	// firstPlanWait is the least time that the instances of a new service have to report before its keys are assigned for the first time,
	// and maxFirstPlanWait the longest if further ones keep arriving. Keys that move later make requests wait.
	firstPlanWait    = 1500 * time.Millisecond
	maxFirstPlanWait = 5 * time.Second
	// maxSilentWait bounds the part of the wait that is for instances that are registered and don't report.
	maxSilentWait = 2500 * time.Millisecond
	// arrivalPause is the time without a further instance after which a new service counts as complete.
	arrivalPause = 800 * time.Millisecond
	// lostMapWait takes its place if another writer has replaced the map: instances that know the map restore it within that time, and the
	// grants of processes that have ended by its start have expired, see grant.MaxHold.
	lostMapWait = 3 * time.Second
	// restoreDelay and as much again at random is how long an instance that isn't the planner waits before it restores the map.
	restoreDelay = 700 * time.Millisecond
)

// runPlanner assigns the keys of the local service to its instances while they report here, which makes this instance the planner. It
// returns when ctx ends.
func (sc *Sidecar) runPlanner(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	var arrivals arrivalTimer
	var restore restoreTimer
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-sc.planNow:
			// Reports of the same event arrive shortly after each other.
			wait.For(ctx, gatherTime)
		}
		now := time.Now()
		reports := sc.planner.recent(now)
		current := sc.directory.keyMap(sc.settings.Service)
		lost := current.keys != nil && current.lostAt > 0
		mayPlan := sc.mayPlan(lost || len(reports) > 0)
		if lost {
			if mayPlan {
				sc.restoreIfDue(ctx, current, reports, &restore, now)
			}
			continue
		}
		if len(reports) == 0 || !mayPlan {
			arrivals = arrivalTimer{}
			continue
		}
		if current.keys == nil {
			records, silent := sc.directory.count(sc.settings.Service), sc.silentInstances(reports)
			arrivals.observe(now, records+len(reports))
			if !arrivals.isDue(now, silent == 0, sc.mapWasLost(current, reports)) {
				continue
			}
		}
		sc.planner.observeLoad(current.keys == nil, reports)
		sc.plan(ctx, current, reports)
	}
}

// arrivalTimer tells when the keys of a service without a known map are assigned. The zero value is ready to use.
type arrivalTimer struct {
	first, last time.Time
	known       int
}

// observe records the number of records and reports of the service's instances.
func (t *arrivalTimer) observe(now time.Time, known int) {
	if t.first.IsZero() {
		t.first = now
	}
	if known > t.known {
		t.known, t.last = known, now
	}
}

// isDue reports whether the keys are to be assigned. complete means that all instances with a record report here: while they still learn of
// each other, they report to several planners. lost is set if the service had a map before.
func (t *arrivalTimer) isDue(now time.Time, complete, lost bool) bool {
	waited := now.Sub(t.first)
	if lost {
		return waited >= lostMapWait
	}
	complete = complete || waited >= maxSilentWait
	return waited >= maxFirstPlanWait || complete && waited >= firstPlanWait && now.Sub(t.last) >= arrivalPause
}

// silentInstances returns the number of instances of the local service that have a record and don't report to this one.
func (sc *Sidecar) silentInstances(reports map[member.Incarnation]*peer.ReportRequest) int {
	silent := 0
	for _, r := range sc.directory.all() {
		if _, ok := reports[r.Incarnation]; !ok && r.Service == sc.settings.Service && !r.State.Ended() {
			silent++
		}
	}
	return silent
}

// minFreshLoad is the load of a service, in busy slots, from which on its map isn't fresh any more. Single health checks stay below it.
const minFreshLoad = 0.05

// observeLoad records whether the service has no map yet and what load its instances report.
func (p *plannerState) observeLoad(unassigned bool, reports map[member.Incarnation]*peer.ReportRequest) {
	load := 0.0
	for _, r := range reports {
		load += r.GetLoad()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fresh = (p.fresh || unassigned) && load < minFreshLoad
}

// isFresh reports whether the map was made while this instance has planned, and has carried no load since.
func (p *plannerState) isFresh() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fresh
}

// knowsHolders reports whether the rows are complete up to the loss of a map, so that all incarnations that may hold keys under it are
// known, also if it can't be read: each was registered before a map named it. Rows that are missing are fetched from other instances.
func (sc *Sidecar) knowsHolders(ctx context.Context, lost mapRow, reports map[member.Incarnation]*peer.ReportRequest) bool {
	incomplete := sc.rows.Version() < lost.lostAt
	if !incomplete && (lost.lostAt == 0 || !sc.directory.lacksRecords()) {
		return true
	}
	if sc.directory.logLimit.Allow(fmt.Sprint("incomplete ", lost.lostAt)) {
		klog.InfoS("plan: records of possible holders may be missing", "service", sc.settings.Service, "row", lost.lostAt,
			"complete", sc.rows.Version())
	}
	if !incomplete {
		return false
	}
	slots := sc.readers()
	for i := range reports {
		slots = append(slots, i.Slot())
	}
	sc.fetchForPlan(ctx, slots, func() bool { return sc.rows.Version() >= lost.lostAt })
	return false
}

// fetchRecords fetches the records of instances that have joined but aren't registered here yet, so that keys can be assigned to them. A
// restarted instance is asked itself, since its address is known.
func (sc *Sidecar) fetchRecords(ctx context.Context, reports map[member.Incarnation]*peer.ReportRequest) {
	var missing []member.Incarnation
	var slots []string
	for i, r := range reports {
		if !r.GetUsable() || sc.directory.isRegistered(i) {
			continue
		}
		missing = append(missing, i)
		if _, ok := sc.directory.lastRecord(i.Slot()); ok {
			slots = append(slots, i.Slot())
		}
		// The row that registers an incarnation has this version at least.
		sc.rows.Expect(i.Number())
	}
	if len(missing) == 0 {
		return
	}
	klog.V(1).InfoS("plan: instances without a record get no keys", "service", sc.settings.Service, "instances", missing,
		"complete", sc.rows.Version())
	slots = append(slots[:min(len(slots), maxPlanFetches/2)], sc.readers()...)
	sc.fetchForPlan(ctx, slots, func() bool {
		return !slices.ContainsFunc(missing, func(i member.Incarnation) bool { return !sc.directory.isRegistered(i) })
	})
}

// maxPlanFetches bounds the instances from which rows are fetched at once for a plan.
const maxPlanFetches = 4

// fetchForPlan fetches rows from one instance after the other until done returns true, and then triggers a plan. It doesn't block, and does
// nothing while an earlier fetch is in progress.
func (sc *Sidecar) fetchForPlan(ctx context.Context, slots []string, done func() bool) {
	if !sc.planFetch.CompareAndSwap(false, true) {
		return
	}
	slots = slices.DeleteFunc(slots, func(slot string) bool { return slot == sc.settings.Slot })
	sc.group.Go(func() error {
		defer sc.planFetch.Store(false)
		for _, slot := range slots[:min(len(slots), maxPlanFetches)] {
			sc.fetchAndMerge(ctx, slot, sc.rows, fetchTimeout)
			if done() {
				sc.planSoon()
				break
			}
		}
		return nil
	})
}

// plan computes the next map from the current one and the reports, and writes it if keys move.
func (sc *Sidecar) plan(ctx context.Context, current mapRow, reports map[member.Incarnation]*peer.ReportRequest) {
	if current.keys == nil && !sc.knowsHolders(ctx, current, reports) {
		return
	}
	started, used := time.Now(), processor.Time()
	sc.fetchRecords(ctx, reports)
	sc.proveExpiry(ctx, current.keys, reports)
	input := sc.buildPlanInput(current, reports)
	next, moves := keyspace.Plan(input)
	if took := time.Since(started); took >= slowPlan {
		klog.InfoS("plan: slow computation", "service", sc.settings.Service, "took", took, "processorTime", processor.Time()-used,
			"ranges", len(current.keys.Entries()), "loads", len(input.Loads), "candidates", len(input.Candidates))
	}
	logCandidates(input, reports)
	if next == nil {
		return
	}
	if err := sc.commitMap(ctx, current, next); err != nil {
		klog.InfoS("plan: map not written", "service", sc.settings.Service, "version", next.Version(), "err", err)
		return
	}
	sc.pushMap(ctx, moves)
	sc.explainEvacuations(next.Version(), moves)
	for _, move := range moves {
		klog.InfoS("plan: keys moved", "service", sc.settings.Service, "version", next.Version(), "keys", move.Range,
			"from", move.From, "to", move.To, "reason", move.Reason)
	}
}

// planSoon triggers a plan without waiting for the next interval. It doesn't block.
func (sc *Sidecar) planSoon() {
	select {
	case sc.planNow <- struct{}{}:
	default:
	}
}

// buildPlanInput returns the input of the plan: the current map and what the instances report.
func (sc *Sidecar) buildPlanInput(current mapRow, reports map[member.Incarnation]*peer.ReportRequest) keyspace.PlanInput {
	relative := relativeServiceTimes(reports)
	p := keyspace.PlanInput{
		Service: sc.settings.Service, Current: current.keys, Ended: sc.endedOrExpired, Loads: reportedLoads(reports, relative),
		Fresh: sc.planner.isFresh(),
	}
	if current.keys == nil {
		p.Used = max(current.lostAt, sc.rows.Version())
		p.Holders = sc.holdersOfUnknownMap(current, reports)
	}
	serviceTime := meanServiceTime(reports)
	for i, r := range reports {
		if r.GetUsable() && sc.directory.isRegistered(i) && !sc.directory.ended(i) && !sc.isAvoided(i) {
			p.Candidates = append(p.Candidates, keyspace.Candidate{
				Instance: i, Slots: int(max(r.GetSlots(), 1)), RelativeServiceTime: relative[i], SettledVersion: r.GetSettled(),
				ColdLoad: coldLoad(r, serviceTime),
			})
		}
	}
	p.Keep = func(owner member.Incarnation) bool { return sc.keepsKeys(owner, reports) }
	return p
}

// holdersOfUnknownMap returns the incarnations that may serve keys under an earlier map, of which none is known.
func (sc *Sidecar) holdersOfUnknownMap(current mapRow, reports map[member.Incarnation]*peer.ReportRequest) []member.Incarnation {
	if !sc.mapWasLost(current, reports) {
		// The instances of a new service aren't asked for keys.
		return sc.directory.holdersBeforeListing(sc.settings.Service)
	}
	holders := union(sc.directory.possibleHolders(sc.settings.Service), current.setAside)
	return union(holders, slices.Collect(maps.Keys(reports)))
}

// keepsKeys reports whether an owner that isn't a candidate for further keys keeps those that it has.
func (sc *Sidecar) keepsKeys(owner member.Incarnation, reports map[member.Incarnation]*peer.ReportRequest) bool {
	if sc.isEvacuated(owner) {
		return false
	}
	if r, ok := reports[owner]; ok {
		return !r.GetLeaving()
	}
	if record, ok := sc.directory.record(owner.Slot()); ok && record.Incarnation.Number() > owner.Number() {
		// The process was restarted. The new incarnation will serve the keys if it is about to get its lease.
		r, ok := reports[record.Incarnation]
		if !ok {
			return !record.State.Ended() && sc.planner.awaits(record.Incarnation, time.Now())
		}
		return !r.GetLeaving() && !r.GetUsable()
	}
	return !sc.endedOrExpired(owner)
}

// endedOrExpired reports whether an incarnation can't serve, because its upstream has ended, its lease was proved expired, or it doesn't
// exist.
func (sc *Sidecar) endedOrExpired(i member.Incarnation) bool {
	if sc.Ended(i) {
		return true
	}
	sc.planner.mu.Lock()
	defer sc.planner.mu.Unlock()
	return sc.planner.expired[i]
}

// proveExpiry asks the witnesses of the owners that don't report, and those of earlier holders of their keys, whether their leases have
// expired. It doesn't wait for the responses.
func (sc *Sidecar) proveExpiry(ctx context.Context, current *keyspace.Map, reports map[member.Incarnation]*peer.ReportRequest) {
	reporting := make(map[string]bool, len(reports))
	for i := range reports {
		reporting[i.Slot()] = true
	}
	for _, e := range current.Entries() {
		owner := e.Owner()
		if _, ok := reports[owner]; !ok {
			sc.startExpiryProof(ctx, owner, !reporting[owner.Slot()])
		}
		for _, holder := range e.Previous {
			if !reporting[holder.Slot()] {
				sc.startExpiryProof(ctx, holder, true)
			}
		}
	}
}

// startExpiryProof starts a proof that the lease of an incarnation has expired, unless that is known or being proved. If no incarnation in
// the slot reports, the others learn of the proof by the slot's record.
func (sc *Sidecar) startExpiryProof(ctx context.Context, i member.Incarnation, silent bool) {
	if sc.Ended(i) || !silent && sc.endedOrExpired(i) || !sc.planner.startProof(i) {
		return
	}
	sc.group.Go(func() error {
		proved := sc.endedOrExpired(i)
		if !proved {
			proved = sc.proveExpired(ctx, i)
		}
		if silent {
			sc.expireRecord(ctx, i, proved)
		}
		sc.planner.endProof(i, proved)
		return nil
	})
}

// proveExpired proves that the lease of an incarnation has expired. It gives up after reportLifetime.
func (sc *Sidecar) proveExpired(ctx context.Context, i member.Incarnation) bool {
	ctx, cancel := context.WithTimeout(ctx, reportLifetime)
	defer cancel()
	proved, err := sc.ProveExpired(ctx, i)
	if err != nil || !proved {
		klog.V(1).InfoS("plan: expiry of the lease not proved", "instance", i, "err", err)
		return false
	}
	klog.InfoS("plan: lease expired", "instance", i)
	return true
}

// startProof returns false if a proof for the incarnation is already running, and registers one otherwise.
func (p *plannerState) startProof(i member.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.proving == nil {
		p.proving, p.expired = make(map[member.Incarnation]bool), make(map[member.Incarnation]bool)
	}
	if p.proving[i] {
		return false
	}
	p.proving[i] = true
	return true
}

// endProof records the result of a proof.
func (p *plannerState) endProof(i member.Incarnation, proved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.proving, i)
	if proved {
		p.expired[i] = true
	}
}

// mapWasLost reports whether the service may have had a map before another writer replaced or removed its row, or the store lost it, which
// this instance may not know.
func (sc *Sidecar) mapWasLost(current mapRow, reports map[member.Incarnation]*peer.ReportRequest) bool {
	for i, r := range reports {
		if r.GetSettled() > 0 || store.Era(i.Number()) < store.Era(sc.rows.Version()) {
			return true
		}
	}
	return current.lostAt > 0
}

// restoreTimer tells when an instance restores the map of its service. The zero value is ready to use.
type restoreTimer struct {
	lostAt uint64
	// from is when the planner restores the map, and due when other instances do.
	from, due time.Time
}

// isDue reports whether an instance that knows the map has to restore it. The planner does so at once, or after restoreDelay if it may
// still get the records that a newer map needs. Another instance does so after restoreDelay, since a planner that has started after the
// map was lost doesn't know it.
func (t *restoreTimer) isDue(lost mapRow, now time.Time, planner bool) bool {
	if lost.lostAt != t.lostAt {
		t.lostAt, t.from, t.due = lost.lostAt, now, now.Add(restoreDelay+rand.N(restoreDelay))
		if lost.earlierEra {
			t.from, t.due = now.Add(eraWait), t.due.Add(eraWait)
		}
	}
	if planner && !lost.awaitsRecords {
		return !now.Before(t.from)
	}
	return planner == lost.awaitsRecords && !now.Before(t.due)
}

// restoreIfDue restores the map if this instance has to and all incarnations that may hold keys are known. The planner fetches missing
// rows before, because with these it may be able to use the row.
func (sc *Sidecar) restoreIfDue(
	ctx context.Context, lost mapRow, reports map[member.Incarnation]*peer.ReportRequest, timer *restoreTimer, now time.Time,
) {
	planner := len(reports) > 0
	due := timer.isDue(lost, now, planner)
	if (due || planner) && sc.knowsHolders(ctx, lost, reports) && due {
		sc.restoreMap(ctx, lost, reports)
	}
}

// restoreMap writes the last known map again after another writer has replaced or removed it, or after a row was set aside. Keys are
// claimed from all incarnations that the map and the rows since name, from all that have a record, and from those that report: the store
// may have lost their records.
func (sc *Sidecar) restoreMap(ctx context.Context, current mapRow, reports map[member.Incarnation]*peer.ReportRequest) {
	complete := sc.rows.Version()
	possible := union(sc.directory.possibleHolders(sc.settings.Service), current.setAside)
	possible = union(possible, slices.Collect(maps.Keys(reports)))
	// The row's own version may be older than those of maps that the store has lost.
	next := current.keys.Restore(max(current.lostAt, complete), possible, sc.endedOrExpired)
	if err := sc.commitMap(ctx, current, next); err != nil {
		klog.InfoS("plan: map not restored", "service", sc.settings.Service, "version", next.Version(), "row", current.lostAt, "err", err)
		return
	}
	sc.rewritten.WithLabelValues("map").Inc()
	holders := next.Holders()
	missing := slices.DeleteFunc(slices.Clone(current.setAside), func(i member.Incarnation) bool { return slices.Contains(holders, i) })
	klog.InfoS("plan: map restored", "service", sc.settings.Service, "version", next.Version(), "known", current.keys.Version(),
		"row", current.lostAt, "complete", complete, "holders", len(holders), "setAside", len(current.setAside), "missing", len(missing))
	klog.V(1).InfoS("plan: holders of the restored map", "version", next.Version(), "holders", holders, "missing", missing)
}

// commitMap replaces the current map in the store by the next one. If the outcome is unknown, the store's feed shows it later.
func (sc *Sidecar) commitMap(ctx context.Context, current mapRow, next *keyspace.Map) error {
	value, err := next.Encode()
	if err != nil {
		return err
	}
	_, err = sc.replaceRow(ctx, keyspace.RowKey(sc.settings.Service), current.version, value)
	return err
}

// logCandidates logs the candidates of a plan at verbosity 2.
func logCandidates(p keyspace.PlanInput, reports map[member.Incarnation]*peer.ReportRequest) {
	if !klog.V(2).Enabled() {
		return
	}
	for _, c := range p.Candidates {
		klog.V(2).InfoS("plan: candidate", "instance", c.Instance, "pace", c.RelativeServiceTime, "settled", c.SettledVersion,
			"coldLoad", c.ColdLoad, "load", reports[c.Instance].GetLoad(), "version", p.Current.Version(), "reports", len(reports))
	}
}
