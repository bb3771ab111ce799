package policy_test

import (
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/policy"
)

// chooser chooses among targets by their reports.
type chooser interface {
	choose(now time.Time, targets []int) (target int, within time.Duration)
	begin(target int) (end func(now time.Time, load policy.TargetLoad, outcome policy.TargetOutcome))
	report(now time.Time, target int, load policy.TargetLoad)
}

// balancer is the chooser under test.
type balancer struct{ *policy.Balancer[int] }

func (b balancer) choose(now time.Time, targets []int) (target int, within time.Duration) {
	candidates := make([]policy.Candidate[int], 0, len(targets))
	for _, t := range targets {
		candidates = append(candidates, policy.Candidate[int]{Target: t})
	}
	choice, _ := b.Choose(now, "play", candidates)
	return choice.Target, choice.Next * 11 / 10
}

func (b balancer) begin(target int) func(time.Time, policy.TargetLoad, policy.TargetOutcome) {
	return b.Begin(target, "play")
}

func (b balancer) report(now time.Time, target int, load policy.TargetLoad) {
	b.Report(now, target, "play", load)
}

// leastReported is what the balancer replaces: it chooses the target with the least reported load, which counts half after 250 ms, or
// with the most own requests, and avoids faults.
type leastReported struct {
	loads map[int]policy.TargetLoad
	at    map[int]time.Time
	own   map[int]int
	since map[int]int
	fault map[int]float64
}

func newLeastReported() *leastReported {
	return &leastReported{
		make(map[int]policy.TargetLoad), make(map[int]time.Time), make(map[int]int), make(map[int]int), make(map[int]float64),
	}
}

func (l *leastReported) choose(now time.Time, targets []int) (best int, within time.Duration) {
	least := math.Inf(1)
	for _, n := range rand.Perm(len(targets)) {
		t := targets[n]
		used := float64(l.own[t])
		if at, ok := l.at[t]; ok {
			weight := 1 / (1 + float64(now.Sub(at))/float64(250*time.Millisecond))
			used = max(used, weight*float64(l.loads[t].Running+2*l.loads[t].Waiting+l.since[t]))
		}
		if used += 3 * testSlots * l.fault[t]; used < least {
			best, least = t, used
		}
	}
	return best, 0
}

func (l *leastReported) begin(target int) func(time.Time, policy.TargetLoad, policy.TargetOutcome) {
	l.own[target]++
	l.since[target]++
	return func(now time.Time, load policy.TargetLoad, outcome policy.TargetOutcome) {
		l.own[target]--
		l.fault[target] *= 0.9
		if outcome == policy.TargetFault {
			l.fault[target] += 0.1
		}
		if load.Slots > 0 {
			l.report(now, target, load)
		}
	}
}

func (l *leastReported) report(now time.Time, target int, load policy.TargetLoad) {
	l.loads[target], l.at[target], l.since[target] = load, now, 0
}

// testTarget is an upstream with a queue.
type testTarget struct {
	slots    chan struct{}
	waiting  int
	slowness func(now time.Duration) float64
	usual    float64
	failing  bool
	// queued is the sum of the waiting requests that arrivals met.
	queued int
}

const (
	testSlots = 6
	testWork  = 200 * time.Millisecond
)

// load returns the target's report.
func (u *testTarget) load(now time.Duration) policy.TargetLoad {
	return policy.TargetLoad{
		Running: len(u.slots), Waiting: u.waiting, Slots: cap(u.slots), Wait: -1,
		ServiceTime: time.Duration(u.usual * float64(testWork)), Slowness: u.slowness(now) / u.usual,
	}
}

// busy reports whether the answer is expected later than within.
func (u *testTarget) busy(now, within time.Duration) bool {
	slots := cap(u.slots)
	wait := max(0, float64(len(u.slots)+u.waiting-slots+1)) / float64(slots) * u.usual
	return within > 0 && (wait+u.slowness(now))*float64(testWork) > float64(within)
}

// arrivals is a sequence of requests to targets through many choosers, which don't know of each other.
type arrivals struct {
	targets  []*testTarget
	choosers []chooser
	// shared is set if all choosers get the same reports once a second, and none with the answers.
	shared bool
	// rate is the number of requests per second, and objective the time within which an answer is in time.
	rate      float64
	objective time.Duration
}

// run returns the share of requests that were served in time, and the longest mean wait at a target.
func (a *arrivals) run(duration time.Duration) (inTime float64, longest time.Duration) {
	var mu sync.Mutex
	var group sync.WaitGroup
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	requests, served, reported := 0, 0, -time.Second
	for time.Since(start) < duration {
		time.Sleep(time.Duration(random.ExpFloat64() / a.rate * float64(time.Second)))
		if elapsed := time.Since(start); a.shared && elapsed-reported >= time.Second {
			mu.Lock()
			reported = elapsed
			for n, u := range a.targets {
				for _, c := range a.choosers {
					c.report(time.Now(), n, u.load(elapsed))
				}
			}
			mu.Unlock()
		}
		c, work := a.choosers[random.IntN(len(a.choosers))], 0.5+random.ExpFloat64()/2
		requests++
		mu.Lock()
		for _, u := range a.targets {
			u.queued += u.waiting
		}
		mu.Unlock()
		group.Go(func() {
			arrived := time.Now()
			ok := a.serve(&mu, c, start, work)
			mu.Lock()
			defer mu.Unlock()
			if ok && time.Since(arrived) <= a.objective {
				served++
			}
		})
	}
	group.Wait()
	for _, u := range a.targets {
		queue := float64(u.queued) / float64(requests) / testSlots
		longest = max(longest, time.Duration(queue*u.usual*float64(testWork)))
	}
	return float64(served) / float64(requests), longest
}

// serve sends a request to a target, or to up to three if the first ones expect to answer later than others.
func (a *arrivals) serve(mu *sync.Mutex, c chooser, start time.Time, work float64) bool {
	targets := make([]int, len(a.targets))
	for n := range targets {
		targets[n] = n
	}
	mu.Lock()
	defer mu.Unlock()
	for try := 0; ; try++ {
		target, within := c.choose(time.Now(), targets)
		u, end := a.targets[target], c.begin(target)
		if try < 2 && !a.shared && u.busy(time.Since(start), within) {
			end(time.Now(), u.load(time.Since(start)), policy.TargetServed)
			for n, t := range targets {
				if t == target {
					targets = append(targets[:n], targets[n+1:]...)
					break
				}
			}
			continue
		}
		return a.runAt(mu, u, start, work, end)
	}
}

// runAt waits for a slot of a target and runs a request there. mu must be held.
func (a *arrivals) runAt(
	mu *sync.Mutex, u *testTarget, start time.Time, work float64, end func(time.Time, policy.TargetLoad, policy.TargetOutcome),
) bool {
	report := func(o policy.TargetOutcome) {
		load := u.load(time.Since(start))
		if a.shared {
			load = policy.TargetLoad{}
		}
		end(time.Now(), load, o)
	}
	if u.failing {
		report(policy.TargetFault)
		return false
	}
	u.waiting++
	mu.Unlock()
	u.slots <- struct{}{}
	mu.Lock()
	u.waiting--
	took := time.Duration(work * u.slowness(time.Since(start)) * float64(testWork))
	mu.Unlock()
	time.Sleep(took)
	mu.Lock()
	<-u.slots
	report(policy.TargetServed)
	return true
}

// TestBalancerArrivals guards against requests that wait at a slow or full upstream while others are free, and against choosers that send
// all their requests to the same upstream. The sequences of arrivals are those of services with uneven upstreams, with upstreams that are
// slow for spells of 400 ms, with dozens of choosers that share old reports, and with an upstream that fails or fills up.
func TestBalancerArrivals(t *testing.T) {
	even := func(int) float64 { return 1 }
	uneven := func(n int) float64 { return []float64{0.6, 1, 1.6}[n%3] }
	tests := []struct {
		name string
		// usual is the slowness of a target, which rises threefold for a fifth of the spells if spells is set.
		usual  func(target int) float64
		spells bool
		shared bool
		// failing is set if the first target fails all requests, and full if it is used by others, too.
		failing, full bool
		// inTime is the least share of requests in time.
		inTime float64
	}{
		{"even", even, false, false, false, false, 0.95},
		{"uneven speeds", uneven, false, false, false, false, 0.95},
		{"spells of slowness", even, true, false, false, false, 0.95},
		{"the same old reports", even, false, true, false, false, 0.85},
		{"the same old reports of uneven targets", uneven, false, true, false, false, 0.85},
		{"a target that fails", even, false, false, true, false, 0.95},
		{"a target that fills up", even, false, false, false, true, 0.95},
	}
	const (
		targets, choosers, utilisation = 12, 40, 0.75
		objective                      = 3 * testWork
	)
	for _, test := range tests {
		run := func(newChooser func(n int) chooser) (inTime float64, longest time.Duration) {
			a := &arrivals{shared: test.shared, objective: objective}
			for n := range targets {
				usual := test.usual(n)
				u := &testTarget{slots: make(chan struct{}, testSlots), usual: usual, failing: test.failing && n == 0}
				u.slowness = func(now time.Duration) float64 {
					if spell := int(now / (400 * time.Millisecond)); test.spells && (7*spell+3*n+spell/3)%5 == 0 {
						return 3 * usual
					}
					return usual
				}
				if test.full && n == 0 {
					for range testSlots - 1 {
						u.slots <- struct{}{}
					}
				}
				a.targets = append(a.targets, u)
				mean := usual
				if test.spells {
					mean *= 1.4
				}
				a.rate += utilisation * testSlots / mean / testWork.Seconds()
			}
			if test.failing || test.full {
				a.rate *= (targets - 1.0) / targets
			}
			for n := range choosers {
				a.choosers = append(a.choosers, newChooser(n))
			}
			inTime, longest = a.run(20 * time.Second)
			return inTime, longest
		}
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				before, beforeLongest := run(func(int) chooser { return newLeastReported() })
				inTime, longest := run(func(n int) chooser { return balancer{policy.NewBalancer[int](uint64(n))} })
				t.Logf("in time %.3f, before %.3f; longest mean wait %v, before %v", inTime, before, longest, beforeLongest)
				if inTime < max(test.inTime, before-0.01) {
					t.Errorf("%.3f of the requests in time, want %.3f; least reported load: %.3f", inTime, test.inTime, before)
				}
				if longest > objective/2 {
					t.Errorf("the longest mean wait is %v, want at most half of the objective of %v", longest, objective)
				}
			})
		})
	}
}
