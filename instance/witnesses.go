package instance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sapphiretray/member"
)

// The number of witnesses of an incarnation. With five, a lease outlives the loss of two of them at once; deployments with
// fewer than five other instances in a region use three.
const (
	manyWitnesses = 5
	fewWitnesses  = 3
)

// chooseWitnesses returns the slots that witness a new incarnation in a slot: members of its region in as many data centres
// as possible, by rendezvous hashing, so that each member witnesses about as many others as it has witnesses. The own slot
// is added only if there are too few others.
func chooseWitnesses(self member.Record, members []member.Record) []string {
	others := slices.DeleteFunc(slices.Clone(members), func(m member.Record) bool {
		return m.Incarnation.Slot() == self.Incarnation.Slot() || m.Region != self.Region || m.State.Gone()
	})
	slot := self.Incarnation.Slot()
	slices.SortFunc(others, func(a, b member.Record) int {
		return cmp.Or(cmp.Compare(pairHash(slot, b), pairHash(slot, a)), cmp.Compare(a.Incarnation.Slot(), b.Incarnation.Slot()))
	})
	count := fewWitnesses
	if len(others) >= manyWitnesses {
		count = manyWitnesses
	}
	used := map[string]int{}
	var witnesses []string
	for len(witnesses) < count && len(others) > 0 {
		best := 0
		for n, m := range others {
			if used[m.DataCentre] < used[others[best].DataCentre] {
				best = n
			}
		}
		used[others[best].DataCentre]++
		witnesses = append(witnesses, others[best].Incarnation.Slot())
		others = slices.Delete(others, best, best+1)
	}
	if len(witnesses) < count {
		witnesses = append(witnesses, slot)
	}
	return witnesses
}

func pairHash(slot string, m member.Record) uint64 {
	return xxhash.Sum64String(slot + "\x00" + m.Incarnation.Slot())
}
