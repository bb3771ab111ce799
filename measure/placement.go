package measure

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"time"

	"sapphiretray/placement"
)

const (
	// partitionsPerMember is the number of partitions for each member, before rounding up to a power of two. It and minHotKeys are those
	// of the deployment size that the system is designed for.
	partitionsPerMember = 64
	// minHotKeys is the least number of hot keys.
	minHotKeys = 340
	// keysPerPartition is the mean number of keys in a partition.
	keysPerPartition = 20
	// dataCentres is the number of data centres that the members are spread over.
	dataCentres = 5
	// hotKeyThreshold is the load, relative to the mean load of a member, from which a key is reported as a hot key.
	hotKeyThreshold = 0.1
	// staleReportAge is the age of load reports in the case with old reports.
	staleReportAge = 30 * time.Second
)

// PlacementPolicy makes a decision from a state. An implementation may keep its earlier decisions and depend on them.
type PlacementPolicy[State, Decision any] interface {
	Name() string
	Decide(State) Decision
}

// PlacementOptions are the parameters of the placement experiment.
type PlacementOptions struct {
	// Members are the numbers of members, with one experiment for each.
	Members []int
	Seed    uint64
	// Handover is the time for which a planned move interrupts a partition, and Takeover that for which the loss of its owner does.
	Handover time.Duration
	Takeover time.Duration
}

// PlacementResult is the result of one policy in one case. Imbalance is the largest load of a member, relative to its capacity, over
// the mean. Moves are planned changes of owner, and Takeovers those after a loss.
type PlacementResult struct {
	Members    int     `json:"members"`
	Capacities string  `json:"capacities"`
	Case       string  `json:"case"`
	Policy     string  `json:"policy"`
	Imbalance  float64 `json:"imbalance"`
	// KeyChurn and LoadChurn are the shares of partitions and of load that changed owner.
	KeyChurn  float64 `json:"key_churn"`
	LoadChurn float64 `json:"load_churn"`
	// LeastChurn is the least possible KeyChurn of a join, leave or loss; 0 in other cases.
	LeastChurn float64 `json:"least_churn"`
	Moves      int     `json:"moves"`
	Takeovers  int     `json:"takeovers"`
	// Unavailable is the time without a serving owner, summed over partitions, in seconds.
	Unavailable float64 `json:"unavailable_partition_seconds"`
}

// PlacementPoint is the result for one churn weight, a point of the trade-off between churn and imbalance.
type PlacementPoint struct {
	Members   int     `json:"members"`
	Churn     float64 `json:"churn_weight"`
	Imbalance float64 `json:"imbalance"`
	KeyChurn  float64 `json:"key_churn"`
	LoadChurn float64 `json:"load_churn"`
}

// PlacementReport is the result of the placement experiment.
type PlacementReport struct {
	Seed    uint64            `json:"seed"`
	Results []PlacementResult `json:"results"`
	Curve   []PlacementPoint  `json:"curve"`
}

// hotKey is a key with a large load.
type hotKey struct {
	hash uint64
	load float64
}

// traffic is the load: base by hash partition without the hot keys, and the hot keys.
type traffic struct {
	base []float64
	hot  []hotKey
}

// clusterState is the input of a policy, along with the true load. Members have the same index in all states of an experiment.
type clusterState struct {
	members []placement.Member
	// alive are the members that may own partitions, and draining those that still serve their partitions but have to give them up.
	alive      []bool
	draining   map[int]bool
	partitions int
	traffic    traffic
	// reportFactors are the shares of their true load that members report; nil means 1 for all.
	reportFactors []float64
	reportAge     time.Duration
	// reportedTraffic is the traffic at the time of the reports, which are reportAge old.
	reportedTraffic traffic
	// noReports means that there are no load reports yet.
	noReports bool
}

// assignment has the owners of hash partitions and of single keys by key hash, as indices of members.
type assignment struct {
	owners []int32
	keys   map[uint64]int32
}

// owner returns the owner of a key hash, whose upper bits after the shift are its hash partition.
func (a assignment) owner(hash uint64, shift int) int32 {
	if owner, ok := a.keys[hash]; ok {
		return owner
	}
	return a.owners[hash>>shift]
}

// shift returns the number of bits by which a key hash is shifted right to get its hash partition.
func (s clusterState) shift() int { return 64 - bits.TrailingZeros(uint(s.partitions)) }

// partitionLoads returns the reported load by hash partition, including hot keys, under the given owners.
func (s clusterState) partitionLoads(owners []int32) []float64 {
	loads := make([]float64, s.partitions)
	copy(loads, s.reportedTraffic.base)
	for _, k := range s.reportedTraffic.hot {
		loads[k.hash>>s.shift()] += k.load
	}
	for p, owner := range owners {
		loads[p] *= s.reportFactor(owner)
	}
	return loads
}

// reportFactor returns the share of its true load that a member reports.
func (s clusterState) reportFactor(owner int32) float64 {
	if s.reportFactors == nil || owner < 0 {
		return 1
	}
	return s.reportFactors[owner]
}

// loads returns the true load by member.
func (s clusterState) loads(a assignment) []float64 {
	loads := make([]float64, len(s.members))
	for p, load := range s.traffic.base {
		loads[a.owners[p]] += load
	}
	for _, k := range s.traffic.hot {
		loads[a.owner(k.hash, s.shift())] += k.load
	}
	return loads
}

// imbalance returns the largest load per capacity of a member, relative to the mean load per capacity.
func (s clusterState) imbalance(a assignment) float64 {
	total, capacity, worst := 0.0, 0.0, 0.0
	for n, load := range s.loads(a) {
		total += load
		if s.alive[n] {
			capacity += s.members[n].Record.Capacity
			worst = max(worst, load/s.members[n].Record.Capacity)
		}
	}
	return worst * capacity / total
}

// recordChange fills in the churn and the unavailable time of the change from one assignment to another.
func (s clusterState) recordChange(r *PlacementResult, o PlacementOptions, old, next assignment) {
	total, changed := 0.0, 0.0
	for p, load := range s.traffic.base {
		total += load
		if old.owners[p] == next.owners[p] {
			continue
		}
		changed += load
		r.KeyChurn++
		r.countMove(s.serves(old.owners[p]))
	}
	for _, k := range s.traffic.hot {
		total += k.load
		from, to := old.owner(k.hash, s.shift()), next.owner(k.hash, s.shift())
		if from == to {
			continue
		}
		changed += k.load
		if _, single := next.keys[k.hash]; single {
			r.countMove(s.serves(from))
		}
	}
	r.KeyChurn /= float64(s.partitions)
	r.LoadChurn = changed / total
	r.Unavailable = float64(r.Moves)*o.Handover.Seconds() + float64(r.Takeovers)*o.Takeover.Seconds()
}

func (s clusterState) serves(n int32) bool { return s.alive[n] || s.draining[int(n)] }

// countMove counts a change of owner: a move if the old owner still serves, otherwise a takeover.
func (r *PlacementResult) countMove(planned bool) {
	if planned {
		r.Moves++
	} else {
		r.Takeovers++
	}
}

// newTraffic draws keys whose loads follow Zipf's law with exponent 1. Loads are capped at the share smallest of the total load, which is
// the capacity share of the smallest member. Capping lowers the total, so the cap is approximated in several rounds.
func newTraffic(random *rand.Rand, members, partitions int, smallest float64) traffic {
	keys := partitions * keysPerPartition
	total := 0.0
	for rank := range keys {
		total += 1 / float64(rank+1)
	}
	reported := max(minHotKeys, int(float64(members)/(hotKeyThreshold*total)))
	t := traffic{base: make([]float64, partitions), hot: newHotKeys(random, reported)}
	limit := total * smallest
	for range 8 {
		capped := 0.0
		for rank := range reported {
			capped += max(0, 1/float64(rank+1)-limit)
		}
		limit = (total - capped) * smallest
	}
	for rank := range t.hot {
		t.hot[rank].load = min(1/float64(rank+1), limit)
	}
	for rank := reported; rank < keys; rank++ {
		t.base[random.IntN(partitions)] += 1 / float64(rank+1)
	}
	return t
}

// evenTraffic returns traffic with the same load in each partition and no hot keys.
func evenTraffic(partitions int) traffic {
	t := traffic{base: make([]float64, partitions)}
	for p := range t.base {
		t.base[p] = 1
	}
	return t
}

// newHotKeys returns keys with random hashes and without load.
func newHotKeys(random *rand.Rand, count int) []hotKey {
	hot := make([]hotKey, count)
	for n := range hot {
		hot[n].hash = random.Uint64()
	}
	return hot
}

// withNewHotKeys returns the traffic with other keys in place of the hottest ones; their number is minHotKeys.
func (t traffic) withNewHotKeys(random *rand.Rand) traffic {
	hot := newHotKeys(random, minHotKeys)
	for n := range hot {
		hot[n].load = t.hot[n].load
	}
	return traffic{base: t.base, hot: append(hot, t.hot[minHotKeys:]...)}
}

// Placement runs the placement experiment for each number of members, with equal and with unequal capacities.
func Placement(o PlacementOptions) (PlacementReport, error) {
	report := PlacementReport{Seed: o.Seed}
	for _, size := range o.Members {
		if size < 2 || size > 1<<14 {
			return report, fmt.Errorf("%d members are out of range, want 2 to %d", size, 1<<14)
		}
		for _, unequal := range []bool{false, true} {
			x := newExperiment(o, size, unequal)
			report.Results = append(report.Results, x.run()...)
			if unequal {
				report.Curve = append(report.Curve, x.curve()...)
			}
		}
	}
	return report, nil
}
