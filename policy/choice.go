package policy

import (
	"math/rand/v2"
	"sync"
	"time"
)

// reportLifetime is the age at which a load report no longer counts. Older reports make the choice worse than none, since
// a target's load changes within a few service times.
const reportLifetime = 200 * time.Millisecond

// Chooser chooses the less loaded of two random targets. The load of a target is the larger of its last report, whose
// weight falls to 0 over 200 ms, and the number of the chooser's own requests in flight there; so a stale or low report
// can't attract all requests. The zero value is ready to use with an arbitrary seed.
type Chooser[K comparable] struct {
	mu      sync.Mutex
	random  *rand.Rand
	targets map[K]*targetLoad
}

type targetLoad struct {
	inFlight int
	reported float64
	at       time.Time
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

// Forget drops what is known about a target.
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
