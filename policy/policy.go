// Package policy implements the load management of an instance: concurrency limits, deadline scheduling, load shedding, retry
// budgets, outlier ejection, slow start, quarantine of crashing requests and load balancing.
//
// The policies do no I/O. Their methods take the current time as an argument, so that simulations can run them on virtual time, and
// some have a short form that reads the system clock. Only Limiter always reads the system clock; AdmissionController is its variant
// with time arguments.
package policy

import "time"

// MaxImportance is the highest importance of a request; 0 is the lowest. Scheduler orders by JobSpec.Priority instead, where 0 is the
// most urgent.
const MaxImportance = 9

func clampImportance(importance int) int {
	return min(max(importance, 0), MaxImportance)
}

// later reports whether a is after b, where the zero time means never.
func later(a, b time.Time) bool {
	switch {
	case b.IsZero():
		return false
	case a.IsZero():
		return true
	default:
		return a.After(b)
	}
}
