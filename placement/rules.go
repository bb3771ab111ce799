package placement

import (
	"fmt"
	"slices"
)

// overrideShare is the load of a key, as a fraction of the mean load of a member, from which the key gets a partition of its own.
// Below it, the partition of the key is small enough to be balanced as a whole.
const overrideShare = 0.1

// readRules converts the rules to sets of allowed data centres and to pins by partition.
func (s *state) readRules() {
	s.commonMask = ^uint64(0)
	for _, rule := range s.in.Rules.Allow {
		mask := s.mask(rule.DataCentres)
		if len(rule.Partitions) == 0 {
			s.commonMask &= mask
			continue
		}
		for _, p := range rule.Partitions {
			old, ok := s.partitionMasks[p]
			if !ok {
				old = ^uint64(0)
			}
			s.partitionMasks[p] = old & mask
		}
	}
	if s.commonMask == 0 {
		s.addProblem("no data centre with members is allowed by all rules for key prefixes")
	}
	overrides := s.in.Map.Overrides()
	for _, pin := range s.in.Rules.Pins {
		if p, ok := overrides[pin.Hash]; ok {
			s.pins[p] = pin
		}
	}
}

// mask returns the set of the named data centres, with bit n for s.dcs[n]. It ignores names without members.
func (s *state) mask(names []string) uint64 {
	mask := uint64(0)
	for dc := range s.dcs {
		if slices.Contains(names, s.dcs[dc].name) {
			mask |= 1 << dc
		}
	}
	return mask
}

// allowed returns the set of data centres in which a partition may be placed.
func (s *state) allowed(p int) uint64 {
	if len(s.partitionMasks) == 0 {
		return s.commonMask
	}
	if mask, ok := s.partitionMasks[p]; ok {
		return s.commonMask & mask
	}
	return s.commonMask
}

// permits reports whether a member is ready and in a data centre that is allowed for a partition.
func (s *state) permits(p int, n int32) bool {
	return s.nodes[n].ready && s.allowed(p)&(1<<s.nodes[n].dc) != 0
}

// addOverrides gives pinned keys and hot keys partitions of their own. This interrupts no requests, since a new partition has the
// members and the epoch of the old one.
func (s *state) addOverrides() {
	taken := s.in.Map.Overrides()
	for _, pin := range s.in.Rules.Pins {
		if _, ok := taken[pin.Hash]; ok {
			continue
		}
		p := s.addOverride(pin.Hash, 0, "key "+pin.Key+" is pinned")
		if p >= 0 {
			taken[pin.Hash] = p
			s.pins[p] = pin
		}
	}
	ready := 0
	for n := range s.nodes {
		if s.nodes[n].ready {
			ready++
		}
	}
	perMember := s.meanPartitionLoad * float64(len(s.loads)) / float64(max(ready, 1))
	for _, key := range s.in.HotKeys {
		if _, ok := taken[key.Hash]; ok || key.Load < overrideShare*perMember || ready < 2 {
			continue
		}
		reason := fmt.Sprintf("one key has %.0f%% of a member's mean load", 100*key.Load/perMember)
		if p := s.addOverride(key.Hash, key.Load, reason); p >= 0 {
			taken[key.Hash] = p
		}
	}
}

// addOverride moves a hash with its load to a partition of its own and returns that partition, or none if there are too many.
func (s *state) addOverride(hash uint64, load float64, reason string) int {
	p := len(s.ranks)
	if p-s.in.Map.HashPartitions() >= MaxOverrides {
		s.addProblem("key with hash %016x: more than %d keys with a partition of their own", hash, MaxOverrides)
		return none
	}
	parent := s.in.Map.PartitionOfHash(hash)
	s.parents[p] = parent
	if mask, ok := s.partitionMasks[parent]; ok {
		s.partitionMasks[p] = mask
	}
	s.causes = append(s.causes, s.causes[parent])
	load = min(max(load, minLoadShare*s.meanPartitionLoad), s.loads[parent])
	s.loads[parent] -= load
	s.loads = append(s.loads, load)
	s.ranks = append(s.ranks, s.ranks[parent])
	if n := s.ranks[p][0]; n != none {
		s.nodes[n].owned = append(s.nodes[n].owned, int32(p))
	}
	s.plan.Overrides = append(s.plan.Overrides, Override{Hash: hash, Partition: p, Reason: reason})
	return p
}

// applyRules moves partitions whose owner the rules don't allow. It skips unpinned partitions of members that aren't ready, since drain
// has dealt with them.
func (s *state) applyRules() {
	for p := range s.ranks {
		owner := s.ranks[p][0]
		if owner == none {
			continue
		}
		if pin, ok := s.pins[p]; ok {
			if !s.satisfies(pin, owner) {
				s.enforcePin(p, pin)
			}
			continue
		}
		if s.permits(p, owner) || !s.nodes[owner].ready {
			continue
		}
		n := s.receiver(p)
		if n == none {
			s.addProblem("partition %d: no ready member in an allowed data centre", p)
			continue
		}
		reason := fmt.Sprintf("data centre %s is not allowed for the partition", s.nodes[owner].record.DataCentre)
		s.tryMove(p, n, cause{Rule, reason})
	}
}

// satisfies reports whether a member is one that a pin names.
func (s *state) satisfies(pin Pin, n int32) bool {
	if pin.Slot != "" {
		return s.nodes[n].incarnation.Slot() == pin.Slot
	}
	return s.nodes[n].record.DataCentre == pin.DataCentre
}

// enforcePin moves a partition to a member that its pin names.
func (s *state) enforcePin(p int, pin Pin) {
	n := s.leastLoadedForPin(p, pin)
	if n == none {
		s.addProblem("key %s: no ready member in %s%s", pin.Key, pin.Slot, pin.DataCentre)
		return
	}
	s.tryMove(p, n, cause{Rule, fmt.Sprintf("key %s is pinned to %s", pin.Key, pin.Slot+pin.DataCentre)})
}

// leastLoadedForPin returns the allowed member with the least relative load that a pin names, or none.
func (s *state) leastLoadedForPin(p int, pin Pin) int32 {
	best := int32(none)
	for n := range s.nodes {
		if s.permits(p, int32(n)) && s.satisfies(pin, int32(n)) &&
			(best == none || s.nodes[n].relativeLoad() < s.nodes[best].relativeLoad()) {
			best = int32(n)
		}
	}
	return best
}
