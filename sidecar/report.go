package sidecar

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/peer"
)

const (
	// reportInterval is the time between two reports of an instance to the planner of its service.
	reportInterval = 400 * time.Millisecond
	// reportTimeout bounds sending a report; if a planner doesn't respond in time, the report goes to the next one.
	reportTimeout = 250 * time.Millisecond
	// reportLifetime is the age from which a report is ignored. It also bounds a proof that a lease has expired.
	reportLifetime = 1200 * time.Millisecond
	// unansweredLimit is how long an upstream may leave grants unanswered before its keys move to other instances.
	unansweredLimit = 700 * time.Millisecond
)

// plannerState holds the reports of the service's instances and the proofs of expired leases, on the instance that plans for the
// service. The zero value is ready to use.
type plannerState struct {
	mu      sync.Mutex
	reports map[member.Incarnation]receivedReport
	// expired holds the incarnations whose leases were proved expired.
	expired map[member.Incarnation]bool
	// proving holds the incarnations for which such a proof is running.
	proving map[member.Incarnation]bool
	// awaited holds the restarted incarnations that haven't reported yet, with the time at which they were first missed.
	awaited map[member.Incarnation]time.Time
	// asked is when reports were sent to this instance.
	asked reportActivity
	// fresh means that the map was made while this instance has planned, and has carried no load since.
	fresh bool
	// refrains means that the instance doesn't plan because rows are missing. Only runPlanner uses it.
	refrains bool
}

// restartWait is how long the keys of a restarted instance are kept for its first report. After a restart of all instances, the
// first ones report about 0.3 s before the last; without the wait they would get all keys.
const restartWait = 600 * time.Millisecond

// awaitedRetention is how long an incarnation that hasn't reported in time is remembered, so that it isn't awaited again.
const awaitedRetention = time.Minute

// awaits reports whether the first report of a restarted incarnation is still awaited. The first call starts its wait.
func (p *plannerState) awaits(i member.Incarnation, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.awaited == nil {
		p.awaited = make(map[member.Incarnation]time.Time)
	}
	since, ok := p.awaited[i]
	if !ok {
		maps.DeleteFunc(p.awaited, func(_ member.Incarnation, since time.Time) bool { return now.Sub(since) > awaitedRetention })
		since = now
		p.awaited[i] = now
	}
	return now.Sub(since) < restartWait
}

// receivedReport is a report with its time of arrival.
type receivedReport struct {
	at      time.Time
	message *peer.ReportRequest
}

// runReports sends reports to the planner of the local service after each change and at regular intervals, until ctx ends.
func (sc *Sidecar) runReports(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-sc.reportNow:
		}
		if s := sc.session.Load(); s != nil && s.grantManager != nil && sc.keyed() {
			sc.sendReport(ctx, s.newReport())
		}
	}
}

// reportSoon triggers a report without waiting for the next interval. It doesn't block.
func (sc *Sidecar) reportSoon() {
	select {
	case sc.reportNow <- struct{}{}:
	default:
	}
}

// newReport returns the state of the incarnation for the planner.
func (s *session) newReport() *peer.ReportRequest {
	sc := s.sidecar
	state := sc.gateway.State()
	unanswered := s.grantManager.UnansweredFor() > unansweredLimit
	r := &peer.ReportRequest{
		Service: sc.settings.Service, Instance: peer.FromIncarnation(s.self()),
		Settled: s.grantManager.SettledVersion(), Slots: uint32(state.Slots), Slowness: sc.gateway.MeanSlowness(),
	}
	leaving := !state.Usable() || !s.upstreamRun.continues(state.UpstreamRun) || unanswered || sc.stopping.Load()
	r.Leaving = leaving
	r.Usable = !leaving && sc.endpoint.Lease().Valid()
	switch {
	case sc.stopping.Load():
		r.Reason = "the process stops"
	case state.Leaving:
		r.Reason = "the upstream leaves"
	case state.Down:
		r.Reason = "the upstream refuses connections"
	case unanswered:
		r.Reason = "the upstream leaves grants unanswered"
	}
	r.StartRate, r.ColdSeconds = sc.gateway.Load().StartRate, sc.gateway.ColdFor().Seconds()
	for _, k := range sc.loads.rangeLoads(time.Now()) {
		r.Load += k.Load
		r.Keys = append(r.Keys, &peer.KeyLoad{First: uint32(k.First), Last: uint32(k.Last), Load: k.Load})
	}
	for route, t := range sc.gateway.ServiceTimes() {
		r.Routes = append(r.Routes, &peer.RouteTime{Route: route, Seconds: t.Mean.Seconds(), Requests: uint32(t.Requests)})
	}
	return r
}

// sendReport sends a report to the first instance in the order of planners that accepts it.
func (sc *Sidecar) sendReport(ctx context.Context, r *peer.ReportRequest) {
	for _, slot := range sc.silentPlanners.order(sc.planners()) {
		if slot == sc.settings.Slot {
			if sc.acceptReport(r) {
				return
			}
			continue
		}
		client, err := sc.dialSlot(slot)
		if err != nil {
			continue
		}
		call, cancel := context.WithTimeout(ctx, reportTimeout)
		response, err := client.Report(call, r)
		cancel()
		sc.silentPlanners.note(slot, err != nil && ctx.Err() == nil, time.Now())
		if err == nil && response.GetAccepted() {
			return
		}
		if ctx.Err() != nil {
			return
		}
		klog.V(1).InfoS("report: not accepted", "planner", slot, "err", err)
	}
}

// silentPlanners holds the instances that didn't respond to the last report that was sent to them, with its time. The zero value is ready
// to use.
type silentPlanners struct {
	since map[string]time.Time
}

// note records whether an instance failed to respond to a report.
func (p *silentPlanners) note(slot string, silent bool, now time.Time) {
	if !silent {
		delete(p.since, slot)
		return
	}
	if p.since == nil {
		p.since = make(map[string]time.Time)
	}
	p.since[slot] = now
}

// order returns the planners in the order in which a report is sent to them. Only one of the silent ones that come before all others, the
// one that was tried least recently, stays there, so that a report waits for one of them at most.
func (p *silentPlanners) order(planners []string) []string {
	responding := slices.IndexFunc(planners, func(slot string) bool { return p.since[slot].IsZero() })
	if responding <= 0 {
		return planners
	}
	silent := planners[:responding]
	retried := slices.MinFunc(silent, func(a, b string) int { return p.since[a].Compare(p.since[b]) })
	others := slices.DeleteFunc(slices.Clone(silent), func(slot string) bool { return slot == retried })
	return slices.Concat([]string{retried}, planners[responding:], others)
}

// planners returns the slots of the local service's instances in the order in which they take the role of its planner. Those with more
// processor time come first: the reports of a large service are more work than the smallest instances can do. Unreachable instances come
// last.
func (sc *Sidecar) planners() []string {
	unreachable := sc.directory.unreachableSlots()
	service := sc.settings.Service
	records := slices.DeleteFunc(sc.directory.all(), func(r member.Record) bool {
		return r.Service != service || r.State.Ended()
	})
	rank := func(r member.Record) uint64 { return xxhash.Sum64String(service + "\x00" + r.Incarnation.Slot()) }
	slices.SortFunc(records, func(a, b member.Record) int {
		return cmp.Or(
			cmp.Compare(slices.Index(unreachable, a.Incarnation.Slot()), slices.Index(unreachable, b.Incarnation.Slot())),
			cmp.Compare(b.Processor, a.Processor), cmp.Compare(rank(a), rank(b)),
			cmp.Compare(a.Incarnation.Slot(), b.Incarnation.Slot()))
	})
	slots := make([]string, 0, len(records))
	for _, r := range records {
		slots = append(slots, r.Incarnation.Slot())
	}
	return slots
}

// acceptReport stores a report and returns true if this instance can act as the planner. It can't if its copy of the rows is known to be
// incomplete, unless it didn't await changes at the store before: then the missing rows are about to arrive.
func (sc *Sidecar) acceptReport(r *peer.ReportRequest) bool {
	if !sc.rows.Reachable() || sc.stopping.Load() || r.GetService() != sc.settings.Service {
		return false
	}
	sc.expectRecord(r.GetInstance().ToIncarnation())
	sc.directory.hear(r.GetInstance().ToIncarnation().Slot())
	now, lacksRows := time.Now(), sc.lacksRows()
	p := &sc.planner
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked.note(now)
	if lacksRows && now.Sub(p.asked.first) > maxPlannerGap {
		return false
	}
	if p.reports == nil {
		p.reports = make(map[member.Incarnation]receivedReport)
	}
	instance := r.GetInstance().ToIncarnation()
	before := p.reports[instance].message
	if before.GetUsable() != r.GetUsable() || before.GetLeaving() != r.GetLeaving() {
		sc.planSoon()
	}
	if r.GetUsable() {
		// The instance has a lease, so a proof of its expiry was false or has just been overtaken by the report.
		delete(p.expired, instance)
	}
	p.reports[instance] = receivedReport{at: now, message: r}
	return true
}

// active reports whether this instance acts as the planner or is asked to: it was sent a report that isn't outdated.
func (p *plannerState) active(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked.recently(now)
}

// recent returns the reports that aren't outdated and deletes the others.
func (p *plannerState) recent(now time.Time) map[member.Incarnation]*peer.ReportRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh := make(map[member.Incarnation]*peer.ReportRequest)
	for i, r := range p.reports {
		if now.Sub(r.at) > reportLifetime {
			delete(p.reports, i)
			continue
		}
		fresh[i] = r.message
	}
	return fresh
}

// relativeServiceTimes returns the service time of each upstream relative to the mean of all upstreams on the same routes: 2 is twice as
// slow. The fewer requests were measured, the closer the result is to 1, because service times vary by half their mean and more.
func relativeServiceTimes(reports map[member.Incarnation]*peer.ReportRequest) map[member.Incarnation]float64 {
	sums, weights := make(map[string]float64), make(map[string]float64)
	for _, r := range reports {
		for _, t := range r.GetRoutes() {
			sums[t.GetRoute()] += routeWeight(t) * t.GetSeconds()
			weights[t.GetRoute()] += routeWeight(t)
		}
	}
	relative := make(map[member.Incarnation]float64)
	for i, r := range reports {
		sum, weight := assumedRequests, assumedRequests
		for _, t := range r.GetRoutes() {
			if mean := sums[t.GetRoute()] / weights[t.GetRoute()]; mean > 0 {
				sum += routeWeight(t) * t.GetSeconds() / mean
				weight += routeWeight(t)
			}
		}
		relative[i] = max(sum/weight, minRelativeServiceTime)
	}
	return relative
}

// routeWeight returns the weight of the mean service time of a route, in requests.
func routeWeight(t *peer.RouteTime) float64 { return min(float64(t.GetRequests()), maxRouteWeight) }

const (
	// assumedRequests is the number of requests of mean service time that are added to the measured ones of each upstream. Without it,
	// an upstream with a single short request looked five times as fast as the others and got most keys. Ignoring means of fewer than
	// five requests instead detected slow upstreams late, which lowered the score of a calm simulated day from 0.90 to 0.87.
	assumedRequests = 1.0
	// maxRouteWeight is the largest weight of a route's mean, in requests. The mean is a moving average in which the newest request has a
	// weight of a tenth, so further requests don't make it more precise.
	maxRouteWeight = 10.0
)

// minRelativeServiceTime is the least relative service time of an upstream, so that loads divided by it stay finite.
const minRelativeServiceTime = 0.1

// meanSlowness returns how long work takes at the upstreams in the mean, as a multiple of their usual times. One value for all of them
// keeps the slow spells of single upstreams out of the plan.
func meanSlowness(reports map[member.Incarnation]*peer.ReportRequest) float64 {
	sum, known := 0.0, 0
	for _, r := range reports {
		if slowness := r.GetSlowness(); slowness > 0 {
			sum += slowness
			known++
		}
	}
	if known == 0 {
		return 1
	}
	return sum / float64(known)
}

// reportedLoads returns the loads of all reported ranges, converted to busy slots of an upstream with the mean service time.
func reportedLoads(reports map[member.Incarnation]*peer.ReportRequest, relative map[member.Incarnation]float64) []keyspace.RangeLoad {
	var loads []keyspace.RangeLoad
	slowness := meanSlowness(reports)
	for i, r := range reports {
		for _, k := range r.GetKeys() {
			loads = append(loads, keyspace.RangeLoad{
				Range: keyspace.Range{First: keyspace.Key(k.GetFirst()), Last: keyspace.Key(k.GetLast())},
				Load:  slowness * k.GetLoad() / relative[i],
			})
		}
	}
	return loads
}
