package sidecar

import (
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/member"
)

// maxPlannerGap is the longest time for which the copy of the rows may be known to be incomplete while the instance plans. Each write of a
// key map opens a gap, which lasts for the pause between two calls to the store and the response, and longer if a call is abandoned.
const maxPlannerGap = time.Second

// lacksRows reports whether the copy of the rows is too incomplete to plan: it may lack records of instances that hold keys.
func (sc *Sidecar) lacksRows() bool { return sc.rows.IncompleteFor() > maxPlannerGap }

// mayPlan reports whether the instance may plan and restore the key map now. If it has to, which wanted tells, a line says when it begins
// to refrain because rows are missing, and another one when it no longer does.
func (sc *Sidecar) mayPlan(wanted bool) bool {
	p, lacked := &sc.planner, sc.rows.IncompleteFor()
	refrains := lacked > maxPlannerGap
	switch {
	case refrains && wanted && !p.refrains:
		p.refrains = true
		klog.InfoS("plan: refraining because rows are missing", "service", sc.settings.Service, "version", sc.rows.Version(),
			"newest", sc.rows.Newest(), "for", lacked)
	case !refrains && p.refrains:
		p.refrains = false
		klog.InfoS("plan: no rows are missing any more", "service", sc.settings.Service, "version", sc.rows.Version())
	}
	return !refrains && sc.rows.Reachable()
}

// expectRecord tells the copy of the rows that the record of an incarnation exists. An incarnation has registered before it reports, and
// its number is above the version of the row that its record replaced.
func (sc *Sidecar) expectRecord(i member.Incarnation) {
	if sc.rows.Get(member.RowKey(i.Slot())).Version < i.Number() {
		sc.rows.Expect(max(i.Number(), sc.rows.Version()+1))
	}
}

// reportActivity holds since when and until when instances have sent reports here without a pause of reportLifetime, whether they were
// accepted or not. While they do, the copy of the rows is kept up to date from the store, since the instance is about to plan.
type reportActivity struct {
	first, last time.Time
}

// note records a report.
func (a *reportActivity) note(now time.Time) {
	if !a.recently(now) {
		a.first = now
	}
	a.last = now
}

// recently reports whether a report was sent within reportLifetime.
func (a *reportActivity) recently(now time.Time) bool {
	return !a.last.IsZero() && now.Sub(a.last) <= reportLifetime
}
