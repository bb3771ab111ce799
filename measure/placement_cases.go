package measure

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"

	"sapphiretray/member"
	"sapphiretray/placement"
)

// placementCase is a change of the scene. In each case the policy first settles in the scene before.
type placementCase struct {
	name   string
	before scene
	after  scene
	// churn is the least possible share of keys that change owner.
	churn float64
}

// experiment is one size with one kind of capacities.
type experiment struct {
	options    PlacementOptions
	size       int
	capacities string
	cases      []placementCase
}

// newExperiment sets up the cases. The last member only takes part after the join.
func newExperiment(o PlacementOptions, size int, unequal bool) *experiment {
	x := &experiment{options: o, size: size, capacities: "equal"}
	if unequal {
		x.capacities = "1:4"
	}
	random := rand.New(rand.NewPCG(o.Seed, uint64(size)))
	base := scene{partitions: 1 << bits.Len(uint(size*partitionsPerMember-1))}
	for n := range size + 1 {
		base.members = append(base.members, newMember(n, unequal))
		base.alive = append(base.alive, n < size)
	}
	total := base.capacity()
	base.traffic = newTraffic(random, size, base.partitions, 1/total)
	x.add("zipf", func(before, _ *scene) { before.unknown = true }, base, 0)
	x.add("hot set moves", func(_, after *scene) { after.traffic = after.traffic.movedHot(random) }, base, 0)
	joining := base.members[size].Record.Capacity
	leaving := base.members[0].Record.Capacity / total
	join := func(_, after *scene) { after.alive[size] = true }
	leave := func(_, after *scene) { after.alive[0], after.drains = false, map[int]bool{0: true} }
	even := base
	even.traffic = evenTraffic(base.partitions)
	x.add("join, even keys", join, even, joining/(total+joining))
	x.add("leave, even keys", leave, even, leaving)
	x.add("join", join, base, joining/(total+joining))
	x.add("leave", leave, base, leaving)
	x.add("lost member", func(_, after *scene) { after.alive[0] = false }, base, leaving)
	lost := 0.0
	x.add("lost data centre", func(_, after *scene) {
		for n := range size {
			if n%dataCentres == 0 {
				after.alive[n] = false
				lost += base.members[n].Record.Capacity / total
			}
		}
	}, base, 0)
	x.cases[len(x.cases)-1].churn = lost
	x.add("reports 30 s old", func(_, after *scene) {
		after.traffic = after.traffic.movedHot(random)
		after.age = staleAge
	}, base, 0)
	x.add("half report 50%", func(_, after *scene) {
		after.factor = make([]float64, size+1)
		for n := range after.factor {
			after.factor[n] = 1 - 0.5*float64(random.IntN(2))
		}
	}, base, 0)
	return x
}

func newMember(n int, unequal bool) placement.Member {
	dc := n % dataCentres
	m := placement.Member{Reported: true, Record: member.Record{
		Incarnation: member.NewIncarnation(fmt.Sprintf("s-%05d", n), 1), State: member.Ready, Capacity: 1,
		DataCentre: fmt.Sprintf("dc%d", dc), Region: fmt.Sprintf("region%d", dc/3),
	}}
	if unequal {
		m.Record.Capacity = float64(1 + n%4)
	}
	return m
}

func (s scene) capacity() float64 {
	total := 0.0
	for n, m := range s.members {
		if s.alive[n] {
			total += m.Record.Capacity
		}
	}
	return total
}

func (x *experiment) add(name string, change func(before, after *scene), base scene, least float64) {
	c := placementCase{name: name, before: base, after: base, churn: least}
	c.after.alive = slices.Clone(base.alive)
	change(&c.before, &c.after)
	c.before.seen, c.after.seen = c.before.traffic, c.after.traffic
	if c.after.age > 0 {
		c.after.seen = c.before.traffic
	}
	x.cases = append(x.cases, c)
}

func (x *experiment) run() []PlacementResult {
	var results []PlacementResult
	for _, c := range x.cases {
		for _, p := range x.policies() {
			results = append(results, x.measure(c, p))
		}
	}
	return results
}

func (x *experiment) measure(c placementCase, p Policy[scene, assignment]) PlacementResult {
	r := PlacementResult{Members: x.size, Capacities: x.capacities, Case: c.name, Policy: p.Name(), LeastChurn: c.churn}
	old := p.Decide(c.before)
	next := p.Decide(c.after)
	r.Imbalance = c.after.imbalance(next)
	c.after.compare(&r, x.options, old, next)
	return r
}

// curve measures the hot set's move for a row of weights of churn. The other weights are those of bookings.
func (x *experiment) curve() []PlacementPoint {
	var points []PlacementPoint
	for _, churn := range []float64{0, 1, 3, 10, 30, 100, 300} {
		weights := placement.BookingWeights()
		weights.Churn = churn
		r := x.measure(x.cases[1], newPlanned("", weights))
		points = append(points, PlacementPoint{
			Members: x.size, Churn: churn, Imbalance: r.Imbalance, KeyChurn: r.KeyChurn, LoadChurn: r.LoadChurn,
		})
	}
	return points
}
