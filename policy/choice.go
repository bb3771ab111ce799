package policy

import (
	"math/rand/v2"
	"sync"
	"time"
)

// reportLifetime is the age at which a load report is ignored. Older reports lead to worse choices than no reports, since the load
// of a target changes within a few service times.
const reportLifetime = 200 * time.Millisecond

// Chooser is a load balancer that chooses the less loaded of two random targets ("power of two choices"). The load of a target is
// the larger of its last report, whose weight decreases to 0 over 200 ms, and the number of the chooser's own requests in flight
// there, so that a stale or too low report can't attract all requests. The zero value is ready to use and seeded at random.
type Chooser[K comparable] struct {
	mu      sync.Mutex
	random  *rand.Rand
	targets map[K]*targetLoad
}

// targetLoad is the load of one target.
type targetLoad struct {
	inFlight int       // The chooser's own requests.
	reported float64   // Requests in flight according to the last report.
	at       time.Time // Time of the last report.
	capacity float64
}

// NewChooser returns a chooser with a seed.
func NewChooser[K comparable](seed uint64) *Chooser[K] {
	return &Chooser[K]{random: rand.New(rand.NewPCG(seed, seed))}
}

// Report records the number of requests that a target says it has in flight, and its relative capacity; a capacity of 0
// or less counts as 1.
func (c *Chooser[K]) Report(now time.Time, target K, inFlight, capacity float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	load := c.load(target)
	load.reported, load.at, load.capacity = inFlight, now, capacity
}

// Forget removes a target's state.
func (c *Chooser[K]) Forget(target K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.targets, target)
}

// Choose returns one of the targets, and a function to call when the request there has ended. It returns false if there
// are no targets.
func (c *Chooser[K]) Choose(now time.Time, targets []K) (target K, done func(), ok bool) {
	if len(targets) == 0 {
		return target, func() {}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	target = targets[0]
	if len(targets) > 1 {
		first := c.intN(len(targets))
		second := (first + 1 + c.intN(len(targets)-1)) % len(targets)
		target = targets[first]
		if c.load(targets[second]).score(now) < c.load(target).score(now) {
			target = targets[second]
		}
	}
	load := c.load(target)
	load.inFlight++
	return target, sync.OnceFunc(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		load.inFlight--
	}), true
}

func (c *Chooser[K]) intN(n int) int {
	if c.random == nil {
		return rand.IntN(n)
	}
	return c.random.IntN(n)
}

func (c *Chooser[K]) load(target K) *targetLoad {
	load := c.targets[target]
	if load == nil {
		load = &targetLoad{}
		if c.targets == nil {
			c.targets = make(map[K]*targetLoad)
		}
		c.targets[target] = load
	}
	return load
}

// score returns the load of a target relative to its capacity, including the request to be placed.
func (l *targetLoad) score(now time.Time) float64 {
	freshness := 0.0
	if !l.at.IsZero() {
		freshness = min(1, max(0, 1-float64(now.Sub(l.at))/float64(reportLifetime)))
	}
	capacity := l.capacity
	if capacity <= 0 {
		capacity = 1
	}
	return (1 + max(l.reported*freshness, float64(l.inFlight))) / capacity
}
