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

const (
	// centreSlots is the number of slots for which the demand of a data centre is stated, and centreInstances the number of instances there
	// that decide on their own.
	centreSlots     = 48
	centreInstances = 20
	// centreReserve is the part of its slots that a data centre keeps free of requests from others.
	centreReserve = 1.0 / 6
	centreTime    = 20 * time.Second
	// centreObjective is the latency objective, and centreBytes the size of a request and its answer.
	centreObjective = 3 * testWork
	centreBytes     = 2 << 10
)

// centre is a data centre: its upstreams, which share a queue, and the demand there, in multiples of the capacity of centreSlots.
type centre struct {
	*testTarget
	demand func(now time.Duration) float64
	// own and inTime are the requests of its callers and those of them that were served in time; left are those that left.
	own, inTime, left int
	// lefts counts the requests that left by second.
	lefts, owns [int(centreTime / time.Second)]int
}

// instance is an instance in a data centre, with what it knows of each one.
type instance struct {
	spill    *policy.Spill[int]
	balancer [2]*policy.Balancer[int]
}

// leave decides whether a request leaves. Without a Spill, another data centre has a constant cost.
func (i *instance) leave(now time.Time, own, other policy.Choice[int]) bool {
	if i.spill == nil {
		return other.Expected+time.Duration(0.35*float64(testWork)) < own.Expected
	}
	return policy.SpillPays(own.Expected, other.Expected, centreObjective, centreBytes) && i.spill.Allows(now, 1)
}

// centres is a pair of data centres with a link.
type centres struct {
	mu   sync.Mutex
	pair [2]*centre
	link time.Duration
}

// run sends the callers' requests until the end.
func (c *centres) run(spill bool) {
	start := time.Now()
	var group sync.WaitGroup
	for n, own := range c.pair {
		instances := make([]*instance, centreInstances)
		for i := range instances {
			seed := uint64(centreInstances*n + i)
			instances[i] = &instance{balancer: [2]*policy.Balancer[int]{policy.NewBalancer[int](seed), policy.NewBalancer[int](seed)}}
			if spill {
				instances[i].spill = policy.NewSpill[int](seed)
			}
		}
		group.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(n)))
			for elapsed := time.Duration(0); elapsed < centreTime; elapsed = time.Since(start) {
				rate := own.demand(elapsed) * centreSlots / testWork.Seconds()
				time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
				i, work := instances[random.IntN(len(instances))], 0.5+random.ExpFloat64()/2
				group.Go(func() { c.request(n, i, start, work) })
			}
		})
	}
	group.Wait()
}

// request serves one request of a data centre.
func (c *centres) request(n int, i *instance, start time.Time, work float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	arrived, own, other := time.Now(), c.pair[n], c.pair[1-n]
	second := min(int(arrived.Sub(start)/time.Second), len(own.owns)-1)
	own.own++
	own.owns[second]++
	i.balancer[0].Report(arrived, 0, "", own.load(0))
	here, _ := i.balancer[0].Choose(arrived, "", []policy.Candidate[int]{{}})
	there, _ := i.balancer[1].Choose(arrived, "", []policy.Candidate[int]{{Extra: 2 * c.link}})
	at := own
	if cap(own.slots) == 0 {
		// Without an upstream there is nothing to decide.
		c.travel()
		at = other
		own.left++
		own.lefts[second]++
	} else if cap(other.slots) > 0 && i.leave(arrived, here, there) {
		end := i.balancer[1].Begin(0, "")
		c.travel()
		room := i.spill == nil || float64(len(other.slots)+other.waiting+1) <= (1-centreReserve)*float64(cap(other.slots))
		if room {
			at = other
			own.left++
			own.lefts[second]++
		} else {
			c.travel()
		}
		if i.spill != nil {
			i.spill.Observe(time.Now(), 1, room)
		}
		defer func() { end(time.Now(), other.load(0), policy.TargetServed) }()
	}
	at.waiting++
	c.mu.Unlock()
	at.slots <- struct{}{}
	c.mu.Lock()
	at.waiting--
	c.mu.Unlock()
	time.Sleep(time.Duration(work * float64(testWork)))
	<-at.slots
	c.mu.Lock()
	if at != own {
		c.travel()
	}
	if time.Since(arrived) <= centreObjective {
		own.inTime++
	}
}

// travel waits for the link. mu must be held, and isn't meanwhile.
func (c *centres) travel() {
	c.mu.Unlock()
	time.Sleep(c.link)
	c.mu.Lock()
}

// TestSpillArrivals guards against requests that wait in a data centre short of room while another has some, and against leaving where it
// gains callers nothing: over a slow link, after the shortage has ended, or to a data centre whose own callers then wait. The sequences of
// arrivals are waves of demand out of phase, a lasting and a passing shortage of one data centre, a shortage of both, a slow link, uneven
// data centres, and one whose upstreams were lost or emptied.
func TestSpillArrivals(t *testing.T) {
	constant := func(demand float64) func(time.Duration) float64 {
		return func(time.Duration) float64 { return demand }
	}
	wave := func(phase float64) func(time.Duration) float64 {
		return func(now time.Duration) float64 { return 0.75 + 0.6*math.Sin(2*math.Pi*(now.Seconds()/11+phase)) }
	}
	passing := func(now time.Duration) float64 {
		if now < 8*time.Second {
			return 1.2
		}
		return 0.5
	}
	even, uneven, emptied := [2]int{centreSlots, centreSlots}, [2]int{centreSlots / 2, 2 * centreSlots}, [2]int{0, centreSlots}
	const near, slow = 2 * time.Millisecond, 250 * time.Millisecond
	tests := []struct {
		name    string
		demands [2]func(time.Duration) float64
		slots   [2]int
		link    time.Duration
		// gain is by how much the share of all requests in time rises at least over that without leaving, and worst the most by which it
		// falls in the second data centre.
		gain, worst float64
		// leaves is the largest share of all requests that leaves, and after that of the last ten seconds.
		leaves, after float64
	}{
		{"waves out of phase", [2]func(time.Duration) float64{wave(0), wave(0.5)}, even, near, 0.2, 0, 0.3, 0.3},
		{"a lasting shortage", [2]func(time.Duration) float64{constant(1.2), constant(0.4)}, even, near, 0.3, 0.02, 0.35, 0.35},
		{"a passing shortage", [2]func(time.Duration) float64{passing, constant(0.4)}, even, near, 0.2, 0.02, 0.25, 0.01},
		{"both are short", [2]func(time.Duration) float64{constant(1.1), constant(1.1)}, even, near, -0.02, 0.02, 0.02, 0.02},
		{"a slow link", [2]func(time.Duration) float64{constant(0.9), constant(0.4)}, even, slow, -0.02, 0.02, 0.02, 0.02},
		{"uneven data centres", [2]func(time.Duration) float64{constant(0.6), constant(0.6)}, uneven, near, 0.2, 0.02, 0.15, 0.15},
		{"an emptied data centre", [2]func(time.Duration) float64{constant(0.4), constant(0.4)}, emptied, near, 0, 0.02, 0.55, 0.55},
		{"no shortage", [2]func(time.Duration) float64{constant(0.8), constant(0.4)}, even, near, -0.01, 0.01, 0.01, 0.01},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				run := func(link time.Duration, spill bool) (inTime, second, leaves, after float64) {
					c := &centres{link: link}
					for n := range c.pair {
						target := &testTarget{slots: make(chan struct{}, test.slots[n]), slowness: constant(1), usual: 1}
						c.pair[n] = &centre{testTarget: target, demand: test.demands[n]}
					}
					c.run(spill)
					a, b := c.pair[0], c.pair[1]
					lastLeft, last := 0, 0
					for s := len(a.owns) / 2; s < len(a.owns); s++ {
						lastLeft, last = lastLeft+a.lefts[s]+b.lefts[s], last+a.owns[s]+b.owns[s]
					}
					all := float64(a.own + b.own)
					return float64(a.inTime+b.inTime) / all, float64(b.inTime) / float64(b.own), float64(a.left+b.left) / all,
						float64(lastLeft) / float64(last)
				}
				never, neverSecond, _, _ := run(time.Hour, true)
				fixed, fixedSecond, fixedLeaves, fixedAfter := run(test.link, false)
				inTime, second, leaves, after := run(test.link, true)
				t.Logf("in time %.3f (constant cost %.3f, never %.3f), in the second data centre %.3f (%.3f, %.3f)",
					inTime, fixed, never, second, fixedSecond, neverSecond)
				t.Logf("left %.3f (constant cost %.3f), in the last half %.3f (%.3f)", leaves, fixedLeaves, after, fixedAfter)
				if inTime < never+test.gain || second < neverSecond-test.worst {
					t.Errorf("in time %.3f, %.3f in the second data centre; without leaving %.3f, %.3f", inTime, second, never, neverSecond)
				}
				if leaves > test.leaves || after > test.after {
					t.Errorf("%.3f left, %.3f in the last half; want at most %.3f, %.3f", leaves, after, test.leaves, test.after)
				}
			})
		})
	}
}
