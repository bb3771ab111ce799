package instance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sapphiretray/member"
)

// The number of witnesses of an incarnation. With five, a lease survives the failure of two of them at once. In a region with
// fewer than five other instances it is three.
const (
	preferredWitnesses = 5
	fallbackWitnesses  = 3
)

// chooseWitnesses returns the slots that witness a new incarnation: members of its region, spread over as many data centres as
// possible. Rendezvous hashing makes each member witness about as many others as it has witnesses itself. The incarnation's
// own slot is added only if there are too few others.
func chooseWitnesses(self member.Record, members []member.Record) []string {
	others := slices.DeleteFunc(slices.Clone(members), func(m member.Record) bool {
		return m.Incarnation.Slot() == self.Incarnation.Slot() || m.Region != self.Region || m.State.Ended()
	})
	slot := self.Incarnation.Slot()
	slices.SortFunc(others, func(a, b member.Record) int {
		return cmp.Or(cmp.Compare(pairHash(slot, b), pairHash(slot, a)), cmp.Compare(a.Incarnation.Slot(), b.Incarnation.Slot()))
	})
	count := fallbackWitnesses
	if len(others) >= preferredWitnesses {
		count = preferredWitnesses
	}
	perDataCentre := map[string]int{}
	var witnesses []string
	for len(witnesses) < count && len(others) > 0 {
		best := 0
		for n, m := range others {
			if perDataCentre[m.DataCentre] < perDataCentre[others[best].DataCentre] {
				best = n
			}
		}
		perDataCentre[others[best].DataCentre]++
		witnesses = append(witnesses, others[best].Incarnation.Slot())
		others = slices.Delete(others, best, best+1)
	}
	if len(witnesses) < count {
		witnesses = append(witnesses, slot)
	}
	return witnesses
}

// pairHash returns the rendezvous weight of a member as a witness of a slot.
func pairHash(slot string, m member.Record) uint64 {
	return xxhash.Sum64String(slot + "\x00" + m.Incarnation.Slot())
}
