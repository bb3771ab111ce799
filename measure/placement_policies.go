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
	// loadBound is the largest load over a member's share with bounded loads, the target for imbalance.
	loadBound = 1.10
	// settleSteps bounds the plans until a map settles.
	settleSteps = 5
	// rendezvousWorkers compute the scores of many members side by side.
	rendezvousWorkers = 4
)

func (x *experiment) policies() []Policy[scene, assignment] {
	return []Policy[scene, assignment]{
		newPlanned("placement/bookings", placement.BookingWeights()),
		newPlanned("placement/buses", placement.BusWeights()),
		modulo{},
		&rendezvous{},
		&bounded{},
	}
}

// planned is package placement without a budget.
type planned struct {
	name    string
	weights placement.Weights
	current *partition.Map
}

func newPlanned(name string, weights placement.Weights) *planned {
	return &planned{name: name, weights: weights}
}

func (p *planned) Name() string { return p.name }

func (p *planned) Decide(s scene) assignment {
	if p.current == nil {
		// The sizes of the experiment are within the limits of a map.
		p.current, _ = partition.New("measure", s.partitions)
	}
	index := make(map[member.Incarnation]int32, len(s.members))
	var members []placement.Member
	for n, m := range s.members {
		index[m.Record.Incarnation] = int32(n)
		m.Age = s.age
		m.Reported = !s.unknown
		if !s.alive[n] {
			m.Record.State = member.Left
		}
		if s.drains[n] {
			m.Record.State = member.Draining
		}
		members = append(members, m)
	}
	for range settleSteps {
		in := placement.Input{
			Members: members, Map: p.current, Budget: placement.NoLimit, Rules: placement.Rules{Weights: p.weights},
		}
		if !s.unknown {
			in.Loads = p.reported(s, index)
			for _, k := range s.seen.hot {
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

// reported returns the load by partition as the owners report it.
func (p *planned) reported(s scene, index map[member.Incarnation]int32) []float64 {
	loads := make([]float64, p.current.Partitions())
	copy(loads, s.seen.base)
	for _, k := range s.seen.hot {
		loads[p.current.PartitionOfHash(k.hash)] += k.load
	}
	for q := range loads {
		if owner, ok := p.current.Owner(q); ok {
			loads[q] *= s.reports(index[owner])
		}
	}
	return loads
}

func (p *planned) assignment(index map[member.Incarnation]int32) assignment {
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

// modulo assigns partition p to member p mod n.
type modulo struct{}

func (modulo) Name() string { return "modulo" }

func (modulo) Decide(s scene) assignment {
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

// rendezvous assigns a partition to the member with the highest weighted hash score.
type rendezvous struct {
	scores []uint64
	alive  []bool
	owners []int32
}

func (*rendezvous) Name() string { return "rendezvous" }

func (r *rendezvous) Decide(s scene) assignment {
	r.update(s)
	return assignment{owners: append([]int32(nil), r.owners...)}
}

// update computes the owners, after the first time only for partitions that a change of members can affect: those of
// members that left, and for members that joined by comparing them with the owner.
func (r *rendezvous) update(s scene) {
	if r.scores == nil {
		for _, m := range s.members {
			r.scores = append(r.scores, xxhash.Sum64String(m.Record.Incarnation.Slot()))
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

// draw hashes a member and a partition. It is the finaliser of splitmix64, because xxhash of 16 bytes takes three times
// as long and 5,200 members need 2.7 billion draws.
func (r *rendezvous) draw(p int, n int32) uint64 {
	x := r.scores[n] + uint64(p+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func weighted(draw uint64, capacity float64) float64 {
	return -capacity / math.Log((float64(draw>>11)+0.5)/(1<<53))
}

func (r *rendezvous) score(s scene, p int, n int32) float64 {
	return weighted(r.draw(p, n), s.members[n].Record.Capacity)
}

// best returns the open member with the highest score. Capacities are whole numbers up to 4, and among members of one
// capacity the highest draw wins, so that one logarithm for each capacity is enough.
func (r *rendezvous) best(s scene, p int, open []bool) int32 {
	var draws [5]uint64
	nodes := [5]int32{-1, -1, -1, -1, -1}
	for n := range s.members {
		class := int(s.members[n].Record.Capacity)
		if d := r.draw(p, int32(n)); d >= draws[class] && open[n] {
			draws[class], nodes[class] = d, int32(n)
		}
	}
	best, most := int32(-1), 0.0
	for class, n := range nodes {
		if n < 0 {
			continue
		}
		if score := weighted(draws[class], float64(class)); best < 0 || score > most {
			best, most = n, score
		}
	}
	return best
}

// bounded is rendezvous in which a member takes no partition that exceeds its share by loadBound.
type bounded struct {
	rendezvous

	previous []int32
}

func (*bounded) Name() string { return "rendezvous/bounded" }

func (b *bounded) Decide(s scene) assignment {
	b.update(s)
	loads := s.partitionLoads(b.previous)
	if s.unknown {
		for p := range loads {
			loads[p] = 1
		}
	}
	total := 0.0
	for _, load := range loads {
		total += load
	}
	room := make([]float64, len(s.members))
	for n, m := range s.members {
		room[n] = loadBound * total * m.Record.Capacity / s.capacity()
	}
	a := assignment{owners: make([]int32, s.partitions)}
	open := make([]bool, len(s.members))
	for p := range a.owners {
		a.owners[p] = b.fitting(s, p, loads[p], room, open)
		room[a.owners[p]] -= loads[p]
	}
	b.previous = a.owners
	return a
}

// fitting returns the first member in the order of scores that has room, or the first one if none has.
func (b *bounded) fitting(s scene, p int, load float64, room []float64, open []bool) int32 {
	if first := b.owners[p]; room[first] >= load {
		return first
	}
	for n := range open {
		open[n] = s.alive[n] && room[n] >= load
	}
	if n := b.best(s, p, open); n >= 0 {
		return n
	}
	return b.owners[p]
}
