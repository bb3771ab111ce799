package keyspace

import (
	"math"
	"slices"

	"sapphiretray/member"
)

// isCold reports whether the upstream is cold.
func (c Candidate) isCold() bool { return c.ColdLoad > 0 }

// coldRoom returns the load that may still be moved to a candidate, which is unlimited if its upstream isn't cold.
func (b *builder) coldRoom(c Candidate) float64 {
	if !c.isCold() {
		return math.Inf(1)
	}
	return c.ColdLoad - b.carried[c.Instance]
}

// canReceive reports whether a load may be moved to a candidate.
func (b *builder) canReceive(c Candidate, load float64) bool { return b.coldRoom(c) >= load }

// keepsInSlot reports whether entry n goes to a newer incarnation in its owner's slot. If the upstream there is cold and can't bear its
// load, a warm candidate gets the entry. If there is none, as after a restart of everything, the keys stay where they are.
func (b *builder) keepsInSlot(n int, next member.Incarnation) bool {
	if b.canReceive(b.byInstance[next], b.density.load(b.entries[n].Range)) {
		return true
	}
	return !slices.ContainsFunc(b.input.Candidates, func(c Candidate) bool { return !c.isCold() })
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
