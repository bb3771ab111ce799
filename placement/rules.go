package placement

import (
	"fmt"
	"slices"
)

// overrideShare is the load of a key, as a share of the mean load of a member, from which the key gets a partition of
// its own. Below it the key's partition is small enough to be balanced whole.
const overrideShare = 0.1

// readRules turns the rules into a set of data centres by partition and a pin by partition.
func (s *state) readRules() {
	s.base = ^uint64(0)
	for _, rule := range s.in.Rules.Allow {
		mask := s.mask(rule.DataCentres)
		if len(rule.Partitions) == 0 {
			s.base &= mask
			continue
		}
		for _, p := range rule.Partitions {
			old, ok := s.masks[p]
			if !ok {
				old = ^uint64(0)
			}
			s.masks[p] = old & mask
		}
	}
	if s.base == 0 {
		s.problem("no data centre with members is allowed by all rules for key prefixes")
	}
	overrides := s.in.Map.Overrides()
	for _, pin := range s.in.Rules.Pins {
		if p, ok := overrides[pin.Hash]; ok {
			s.pins[p] = pin
		}
	}
}

func (s *state) mask(names []string) uint64 {
	mask := uint64(0)
	for dc := range s.dcs {
		if slices.Contains(names, s.dcs[dc].name) {
			mask |= 1 << dc
		}
	}
	return mask
}

// allowed returns the set of data centres in which a partition may be.
func (s *state) allowed(p int) uint64 {
	if len(s.masks) == 0 {
		return s.base
	}
	if mask, ok := s.masks[p]; ok {
		return s.base & mask
	}
	return s.base
}

func (s *state) permits(p int, n int32) bool {
	return s.nodes[n].ready && s.allowed(p)&(1<<s.nodes[n].dc) != 0
}

// addOverrides gives pinned keys and keys with a large load a partition of their own. That interrupts nothing, since the
// new partition has the members and the epoch of the old one.
func (s *state) addOverrides() {
	taken := s.in.Map.Overrides()
	for _, pin := range s.in.Rules.Pins {
		if _, ok := taken[pin.Hash]; ok {
			continue
		}
		p := s.split(pin.Hash, 0, "key "+pin.Key+" is pinned")
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
	perMember := s.unit * float64(len(s.loads)) / float64(max(ready, 1))
	for _, key := range s.in.HotKeys {
		if _, ok := taken[key.Hash]; ok || key.Load < overrideShare*perMember || ready < 2 {
			continue
		}
		reason := fmt.Sprintf("one key has %.0f%% of a member's mean load", 100*key.Load/perMember)
		if p := s.split(key.Hash, key.Load, reason); p >= 0 {
			taken[key.Hash] = p
		}
	}
}

// split adds an override for a hash and returns its partition, or -1 if there are too many.
func (s *state) split(hash uint64, load float64, reason string) int {
	p := len(s.ranks)
	if p-s.in.Map.HashPartitions() >= MaxOverrides {
		s.problem("key with hash %016x: more than %d keys with a partition of their own", hash, MaxOverrides)
		return none
	}
	parent := s.in.Map.PartitionOfHash(hash)
	s.parents[p] = parent
	if mask, ok := s.masks[parent]; ok {
		s.masks[p] = mask
	}
	s.changes = append(s.changes, s.changes[parent])
	load = min(max(load, minLoadShare*s.unit), s.loads[parent])
	s.loads[parent] -= load
	s.loads = append(s.loads, load)
	s.ranks = append(s.ranks, s.ranks[parent])
	if n := s.ranks[p][0]; n != none {
		s.nodes[n].owned = append(s.nodes[n].owned, int32(p))
	}
	s.plan.Overrides = append(s.plan.Overrides, Override{Hash: hash, Partition: p, Reason: reason})
	return p
}

// applyRules moves partitions whose owner breaks a rule.
func (s *state) applyRules() {
	for p := range s.ranks {
		owner := s.ranks[p][0]
		if owner == none {
			continue
		}
		if pin, ok := s.pins[p]; ok {
			if !s.obeys(pin, owner) {
				s.obey(p, pin)
			}
			continue
		}
		if s.permits(p, owner) || !s.nodes[owner].ready {
			continue
		}
		n := s.receiver(p)
		if n == none {
			s.problem("partition %d: no ready member in an allowed data centre", p)
			continue
		}
		reason := fmt.Sprintf("data centre %s is not allowed for the partition", s.nodes[owner].record.DataCentre)
		s.try(p, n, change{Rule, reason})
	}
}

func (s *state) obeys(pin Pin, n int32) bool {
	if pin.Slot != "" {
		return s.nodes[n].incarnation.Slot() == pin.Slot
	}
	return s.nodes[n].record.DataCentre == pin.DataCentre
}

func (s *state) obey(p int, pin Pin) {
	n := s.pinned(p, pin)
	if n == none {
		s.problem("key %s: no ready member in %s%s", pin.Key, pin.Slot, pin.DataCentre)
		return
	}
	s.try(p, n, change{Rule, fmt.Sprintf("key %s is pinned to %s", pin.Key, pin.Slot+pin.DataCentre)})
}

// pinned returns the member with the least load that a pin names, or none.
func (s *state) pinned(p int, pin Pin) int32 {
	best := int32(none)
	for n := range s.nodes {
		if s.permits(p, int32(n)) && s.obeys(pin, int32(n)) && (best == none || s.nodes[n].ratio() < s.nodes[best].ratio()) {
			best = int32(n)
		}
	}
	return best
}
