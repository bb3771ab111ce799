// Package measure holds the experiments behind the project's decisions. They are seeded and print the same figures again.
package measure

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"time"

	"sapphiretray/placement"
)

const (
	// partitionsPerMember and hotKeys are the figures of the target scale.
	partitionsPerMember = 64
	hotKeys             = 340
	keysPerPartition    = 20
	dataCentres         = 5
	// reportedShare is the load of a key, as a share of a member's mean, from which it is reported as a hot key.
	reportedShare = 0.1
	// staleAge is the age of the reports in the case of old ones.
	staleAge = 30 * time.Second
)

// Policy decides something from a situation. Implementations may keep what they decided before.
type Policy[Situation, Decision any] interface {
	Name() string
	Decide(Situation) Decision
}

// PlacementOptions are the parameters of the placement experiment.
type PlacementOptions struct {
	Members []int
	Seed    uint64
	// Handover is the time for which a planned move interrupts a partition, Takeover the one for which a loss does.
	Handover time.Duration
	Takeover time.Duration
}

// PlacementResult is one policy's result in one case.
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

// PlacementPoint is one point of the curve of churn against imbalance.
type PlacementPoint struct {
	Members   int     `json:"members"`
	Churn     float64 `json:"churn_weight"`
	Imbalance float64 `json:"imbalance"`
	KeyChurn  float64 `json:"key_churn"`
	LoadChurn float64 `json:"load_churn"`
}

// PlacementReport is the outcome of the placement experiment.
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

// traffic is the true load: that of the hash partitions without hot keys, and the hot keys.
type traffic struct {
	base []float64
	hot  []hotKey
}

// scene is what a policy sees. Members keep their position through all scenes of an experiment.
type scene struct {
	members []placement.Member
	// alive are the members that are to own partitions, drains those of the others that still serve until they don't.
	alive      []bool
	drains     map[int]bool
	partitions int
	traffic    traffic
	// factor is the share of the true load that a member reports.
	factor []float64
	age    time.Duration
	// seen is the traffic that the reports are about.
	seen traffic
	// unknown means that there are no load reports yet.
	unknown bool
}

// assignment is the owner by hash partition and by single key, as positions of members.
type assignment struct {
	owners []int32
	keys   map[uint64]int32
}

func (a assignment) owner(hash uint64, shift int) int32 {
	if owner, ok := a.keys[hash]; ok {
		return owner
	}
	return a.owners[hash>>shift]
}

func (s scene) shift() int { return 64 - bits.TrailingZeros(uint(s.partitions)) }

// partitionLoads returns the load by hash partition, hot keys included, as the given owners report it.
func (s scene) partitionLoads(owners []int32) []float64 {
	loads := make([]float64, s.partitions)
	copy(loads, s.seen.base)
	for _, k := range s.seen.hot {
		loads[k.hash>>s.shift()] += k.load
	}
	for p, owner := range owners {
		loads[p] *= s.reports(owner)
	}
	return loads
}

func (s scene) reports(owner int32) float64 {
	if s.factor == nil || owner < 0 {
		return 1
	}
	return s.factor[owner]
}

// loads returns the true load by member.
func (s scene) loads(a assignment) []float64 {
	loads := make([]float64, len(s.members))
	for p, load := range s.traffic.base {
		loads[a.owners[p]] += load
	}
	for _, k := range s.traffic.hot {
		loads[a.owner(k.hash, s.shift())] += k.load
	}
	return loads
}

// imbalance returns the largest load over the capacity-weighted mean.
func (s scene) imbalance(a assignment) float64 {
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

// compare fills in what it cost to get from one assignment to another.
func (s scene) compare(r *PlacementResult, o PlacementOptions, old, next assignment) {
	total, changed := 0.0, 0.0
	for p, load := range s.traffic.base {
		total += load
		if old.owners[p] == next.owners[p] {
			continue
		}
		changed += load
		r.KeyChurn++
		r.count(s.serves(old.owners[p]))
	}
	for _, k := range s.traffic.hot {
		total += k.load
		from, to := old.owner(k.hash, s.shift()), next.owner(k.hash, s.shift())
		if from == to {
			continue
		}
		changed += k.load
		if _, single := next.keys[k.hash]; single {
			r.count(s.serves(from))
		}
	}
	r.KeyChurn /= float64(s.partitions)
	r.LoadChurn = changed / total
	r.Unavailable = float64(r.Moves)*o.Handover.Seconds() + float64(r.Takeovers)*o.Takeover.Seconds()
}

func (s scene) serves(n int32) bool { return s.alive[n] || s.drains[int(n)] }

func (r *PlacementResult) count(planned bool) {
	if planned {
		r.Moves++
	} else {
		r.Takeovers++
	}
}

// newTraffic draws keys with Zipf frequencies of exponent 1, cut off at the share of the smallest member.
func newTraffic(random *rand.Rand, members, partitions int, smallest float64) traffic {
	keys := partitions * keysPerPartition
	total := 0.0
	for rank := range keys {
		total += 1 / float64(rank+1)
	}
	reported := max(hotKeys, int(float64(members)/(reportedShare*total)))
	t := traffic{base: make([]float64, partitions), hot: newKeys(random, reported)}
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

// evenTraffic has the same load in each partition.
func evenTraffic(partitions int) traffic {
	t := traffic{base: make([]float64, partitions)}
	for p := range t.base {
		t.base[p] = 1
	}
	return t
}

func newKeys(random *rand.Rand, count int) []hotKey {
	hot := make([]hotKey, count)
	for n := range hot {
		hot[n].hash = random.Uint64()
	}
	return hot
}

// movedHot returns the traffic after other keys became the hottest hotKeys.
func (t traffic) movedHot(random *rand.Rand) traffic {
	hot := newKeys(random, hotKeys)
	for n := range hot {
		hot[n].load = t.hot[n].load
	}
	return traffic{base: t.base, hot: append(hot, t.hot[hotKeys:]...)}
}

// Placement runs the experiment.
func Placement(o PlacementOptions) (PlacementReport, error) {
	report := PlacementReport{Seed: o.Seed}
	for _, size := range o.Members {
		if size < 2 || size > 1<<14 {
			return report, fmt.Errorf("%d members: want 2 to %d", size, 1<<14)
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
