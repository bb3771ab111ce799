package measure

import (
	"math"
	"sync"

	"sapphiretray/member"
	"sapphiretray/partition"
	"sapphiretray/placement"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRelativeLoad is the bound on a member's load relative to its share by capacity, equal to the target for imbalance.
	maxRelativeLoad = 1.10
	// maxPlanSteps bounds the number of successive plans until one has no changes.
	maxPlanSteps = 5
	// rendezvousWorkers is the number of goroutines that compute scores.
	rendezvousWorkers = 4
)

// policies returns the policies to compare, which have made no decisions yet.
func (x *experiment) policies() []PlacementPolicy[clusterState, assignment] {
	return []PlacementPolicy[clusterState, assignment]{
		newPackagePolicy("placement/bookings", placement.ChurnAverseWeights()),
		newPackagePolicy("placement/buses", placement.AvailabilityWeights()),
		modulo{},
		&rendezvous{},
		&boundedRendezvous{},
	}
}

// packagePolicy is the policy of package placement without a budget for moves.
type packagePolicy struct {
	name    string
	weights placement.Weights
	current *partition.Map
}

func newPackagePolicy(name string, weights placement.Weights) *packagePolicy {
	return &packagePolicy{name: name, weights: weights}
}

func (p *packagePolicy) Name() string { return p.name }

func (p *packagePolicy) Decide(s clusterState) assignment {
	if p.current == nil {
		// This can't fail: the partitions of the experiment are within the limits of a map.
		p.current, _ = partition.New("measure", s.partitions)
	}
	index := make(map[member.Incarnation]int32, len(s.members))
	var members []placement.Member
	for n, m := range s.members {
		index[m.Record.Incarnation] = int32(n)
		m.Age = s.reportAge
		m.Reported = !s.noReports
		if !s.alive[n] {
			m.Record.State = member.Left
		}
		if s.draining[n] {
			m.Record.State = member.Draining
		}
		members = append(members, m)
	}
	for range maxPlanSteps {
		in := placement.Input{
			Members: members, Map: p.current, MoveBudget: placement.NoLimit, Rules: placement.Rules{Weights: p.weights},
		}
		if !s.noReports {
			in.Loads = p.reported(s, index)
			for _, k := range s.reportedTraffic.hot {
				in.HotKeys = append(in.HotKeys, placement.HotKey{Hash: k.hash, Load: k.load})
			}
		}
		plan := placement.Compute(in)
		next, err := plan.Apply(p.current)
		if err != nil || len(plan.Changes) == 0 {
			break
		}
		p.current = next
	}
	return p.assignment(index)
}

// reported returns the load by partition of the map, including hot keys, as the owners report it.
func (p *packagePolicy) reported(s clusterState, index map[member.Incarnation]int32) []float64 {
	loads := make([]float64, p.current.Partitions())
	copy(loads, s.reportedTraffic.base)
	for _, k := range s.reportedTraffic.hot {
		loads[p.current.PartitionOfHash(k.hash)] += k.load
	}
	for q := range loads {
		if owner, ok := p.current.Owner(q); ok {
			loads[q] *= s.reportFactor(index[owner])
		}
	}
	return loads
}

// assignment converts the current map; index has the members' indices.
func (p *packagePolicy) assignment(index map[member.Incarnation]int32) assignment {
	a := assignment{owners: make([]int32, p.current.HashPartitions()), keys: make(map[uint64]int32)}
	for q := range a.owners {
		owner, _ := p.current.Owner(q)
		a.owners[q] = index[owner]
	}
	for hash, q := range p.current.Overrides() {
		owner, _ := p.current.Owner(q)
		a.keys[hash] = index[owner]
	}
	return a
}

// modulo assigns partition p to member p mod n of the n members that are alive.
type modulo struct{}

func (modulo) Name() string { return "modulo" }

func (modulo) Decide(s clusterState) assignment {
	var alive []int32
	for n := range s.members {
		if s.alive[n] {
			alive = append(alive, int32(n))
		}
	}
	a := assignment{owners: make([]int32, s.partitions)}
	for p := range a.owners {
		a.owners[p] = alive[p%len(alive)]
	}
	return a
}

// rendezvous is weighted rendezvous hashing: it assigns a partition to the member with the highest score.
type rendezvous struct {
	slotHashes []uint64
	alive      []bool
	owners     []int32
}

func (*rendezvous) Name() string { return "rendezvous" }

func (r *rendezvous) Decide(s clusterState) assignment {
	r.update(s)
	return assignment{owners: append([]int32(nil), r.owners...)}
}

// update computes the owners. After the first time, it only recomputes the partitions of members that left, and compares members that
// joined with the current owners, since a change of members can't affect other partitions.
func (r *rendezvous) update(s clusterState) {
	if r.slotHashes == nil {
		for _, m := range s.members {
			r.slotHashes = append(r.slotHashes, xxhash.Sum64String(m.Record.Incarnation.Slot()))
		}
		r.alive = append([]bool(nil), s.alive...)
		r.owners = make([]int32, s.partitions)
		var group sync.WaitGroup
		for worker := range rendezvousWorkers {
			group.Go(func() {
				for p := worker; p < s.partitions; p += rendezvousWorkers {
					r.owners[p] = r.best(s, p, s.alive)
				}
			})
		}
		group.Wait()
		return
	}
	for p, owner := range r.owners {
		if !s.alive[owner] {
			r.owners[p] = r.best(s, p, s.alive)
		}
	}
	for n := range s.members {
		if !s.alive[n] || r.alive[n] {
			continue
		}
		for p, owner := range r.owners {
			if r.score(s, p, int32(n)) > r.score(s, p, owner) {
				r.owners[p] = int32(n)
			}
		}
	}
	r.alive = append([]bool(nil), s.alive...)
}

// hash hashes a member and a partition with the finaliser of splitmix64: 5,200 members need 2.7 billion hashes, and xxhash of 16 bytes
// takes three times as long.
func (r *rendezvous) hash(p int, n int32) uint64 {
	x := r.slotHashes[n] + uint64(p+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// weightedScore returns the score of a hash for a member's capacity, -capacity / ln(hash scaled to 0..1).
func weightedScore(hash uint64, capacity float64) float64 {
	return -capacity / math.Log((float64(hash>>11)+0.5)/(1<<53))
}

func (r *rendezvous) score(s clusterState, p int, n int32) float64 {
	return weightedScore(r.hash(p, n), s.members[n].Record.Capacity)
}

// best returns the eligible member with the highest score, or -1 if there is none. Capacities are whole numbers from 1 to 4, and among
// members of the same capacity the highest hash wins, so one logarithm for each capacity is enough.
func (r *rendezvous) best(s clusterState, p int, eligible []bool) int32 {
	var hashes [5]uint64
	candidates := [5]int32{-1, -1, -1, -1, -1}
	for n := range s.members {
		class := int(s.members[n].Record.Capacity)
		if d := r.hash(p, int32(n)); d >= hashes[class] && eligible[n] {
			hashes[class], candidates[class] = d, int32(n)
		}
	}
	best, most := int32(-1), 0.0
	for class, n := range candidates {
		if n < 0 {
			continue
		}
		if score := weightedScore(hashes[class], float64(class)); best < 0 || score > most {
			best, most = n, score
		}
	}
	return best
}

// boundedRendezvous is rendezvous hashing with bounded loads: a member takes no partition that would raise its reported load above
// maxRelativeLoad times its share, unless no member has enough headroom.
type boundedRendezvous struct {
	rendezvous

	previous []int32
}

func (*boundedRendezvous) Name() string { return "rendezvous/bounded" }

func (b *boundedRendezvous) Decide(s clusterState) assignment {
	b.update(s)
	loads := s.partitionLoads(b.previous)
	if s.noReports {
		for p := range loads {
			loads[p] = 1
		}
	}
	total := 0.0
	for _, load := range loads {
		total += load
	}
	headroom := make([]float64, len(s.members))
	for n, m := range s.members {
		headroom[n] = maxRelativeLoad * total * m.Record.Capacity / s.capacity()
	}
	a := assignment{owners: make([]int32, s.partitions)}
	eligible := make([]bool, len(s.members))
	for p := range a.owners {
		a.owners[p] = b.ownerWithinBound(s, p, loads[p], headroom, eligible)
		headroom[a.owners[p]] -= loads[p]
	}
	b.previous = a.owners
	return a
}

// ownerWithinBound returns the member with the highest score among those with enough headroom, or among all if none has.
func (b *boundedRendezvous) ownerWithinBound(s clusterState, p int, load float64, headroom []float64, eligible []bool) int32 {
	if first := b.owners[p]; headroom[first] >= load {
		return first
	}
	for n := range eligible {
		eligible[n] = s.alive[n] && headroom[n] >= load
	}
	if n := b.best(s, p, eligible); n >= 0 {
		return n
	}
	return b.owners[p]
}
