// Package policy holds the load policies of an instance: admission limits, load shedding, retry budgets, outlier
// ejection, slow start and the choice among targets.
//
// The policies open no sockets. Each has methods that take the time as an argument, so that experiments can drive it on
// virtual time, and short forms that read the runtime's clock.
package policy

import "time"

// MaxImportance is the highest importance of a request; 0 is the lowest.
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
