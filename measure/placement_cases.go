package measure

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"

	"sapphiretray/member"
	"sapphiretray/placement"
)

// placementCase is a change of the cluster. The policy first decides for the state before it, then for the state after it.
type placementCase struct {
	name   string
	before clusterState
	after  clusterState
	// leastChurn is the least possible share of partitions that change owner, or 0 if the case has no such minimum.
	leastChurn float64
}

// experiment is the placement experiment for one number of members with equal or unequal capacities.
type experiment struct {
	options    PlacementOptions
	size       int
	capacities string
	cases      []placementCase
}

// newExperiment sets up the cases. The last member is alive only after it joins.
func newExperiment(o PlacementOptions, size int, unequal bool) *experiment {
	x := &experiment{options: o, size: size, capacities: "equal"}
	if unequal {
		x.capacities = "1:4"
	}
	random := rand.New(rand.NewPCG(o.Seed, uint64(size)))
	base := clusterState{partitions: 1 << bits.Len(uint(size*partitionsPerMember-1))}
	for n := range size + 1 {
		base.members = append(base.members, newMember(n, unequal))
		base.alive = append(base.alive, n < size)
	}
	total := base.capacity()
	base.traffic = newTraffic(random, size, base.partitions, 1/total)
	x.addCase("zipf", func(before, _ *clusterState) { before.noReports = true }, base, 0)
	x.addCase("hot set moves", func(_, after *clusterState) { after.traffic = after.traffic.withNewHotKeys(random) }, base, 0)
	joining := base.members[size].Record.Capacity
	leaving := base.members[0].Record.Capacity / total
	join := func(_, after *clusterState) { after.alive[size] = true }
	leave := func(_, after *clusterState) { after.alive[0], after.draining = false, map[int]bool{0: true} }
	even := base
	even.traffic = evenTraffic(base.partitions)
	x.addCase("join, even keys", join, even, joining/(total+joining))
	x.addCase("leave, even keys", leave, even, leaving)
	x.addCase("join", join, base, joining/(total+joining))
	x.addCase("leave", leave, base, leaving)
	x.addCase("lost member", func(_, after *clusterState) { after.alive[0] = false }, base, leaving)
	lost := 0.0
	x.addCase("lost data centre", func(_, after *clusterState) {
		for n := range size {
			if n%dataCentres == 0 {
				after.alive[n] = false
				lost += base.members[n].Record.Capacity / total
			}
		}
	}, base, 0)
	x.cases[len(x.cases)-1].leastChurn = lost
	x.addCase("reports 30 s old", func(_, after *clusterState) {
		after.traffic = after.traffic.withNewHotKeys(random)
		after.reportAge = staleReportAge
	}, base, 0)
	x.addCase("half report 50%", func(_, after *clusterState) {
		after.reportFactors = make([]float64, size+1)
		for n := range after.reportFactors {
			after.reportFactors[n] = 1 - 0.5*float64(random.IntN(2))
		}
	}, base, 0)
	return x
}

// newMember returns member n. Members are spread over data centres, and unequal capacities repeat from 1 to 4.
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

// capacity returns the total capacity of the members that are alive.
func (s clusterState) capacity() float64 {
	total := 0.0
	for n, m := range s.members {
		if s.alive[n] {
			total += m.Record.Capacity
		}
	}
	return total
}

// addCase adds a case whose states are copies of base that change modifies. Stale reports are those from before the change.
func (x *experiment) addCase(name string, change func(before, after *clusterState), base clusterState, least float64) {
	c := placementCase{name: name, before: base, after: base, leastChurn: least}
	c.after.alive = slices.Clone(base.alive)
	change(&c.before, &c.after)
	c.before.reportedTraffic, c.after.reportedTraffic = c.before.traffic, c.after.traffic
	if c.after.reportAge > 0 {
		c.after.reportedTraffic = c.before.traffic
	}
	x.cases = append(x.cases, c)
}

// run runs all cases with all policies.
func (x *experiment) run() []PlacementResult {
	var results []PlacementResult
	for _, c := range x.cases {
		for _, p := range x.policies() {
			results = append(results, x.runCase(c, p))
		}
	}
	return results
}

// runCase runs one case with one policy.
func (x *experiment) runCase(c placementCase, p PlacementPolicy[clusterState, assignment]) PlacementResult {
	r := PlacementResult{Members: x.size, Capacities: x.capacities, Case: c.name, Policy: p.Name(), LeastChurn: c.leastChurn}
	old := p.Decide(c.before)
	next := p.Decide(c.after)
	r.Imbalance = c.after.imbalance(next)
	c.after.recordChange(&r, x.options, old, next)
	return r
}

// curve runs the case "hot set moves" with increasing weights of churn. The other weights are those of placement.ChurnAverseWeights.
func (x *experiment) curve() []PlacementPoint {
	var points []PlacementPoint
	for _, churn := range []float64{0, 1, 3, 10, 30, 100, 300} {
		weights := placement.ChurnAverseWeights()
		weights.Churn = churn
		r := x.runCase(x.cases[1], newPackagePolicy("", weights))
		points = append(points, PlacementPoint{
			Members: x.size, Churn: churn, Imbalance: r.Imbalance, KeyChurn: r.KeyChurn, LoadChurn: r.LoadChurn,
		})
	}
	return points
}
