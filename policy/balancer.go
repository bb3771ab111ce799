package policy

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// assumedServiceTime is the service time of a kind of request before any target has reported it.
	assumedServiceTime = 100 * time.Millisecond
	// assumedSlots is the number of slots of a target before its first report, and assumedUse the share of its slots in use.
	assumedSlots = 6
	assumedUse   = 0.5
	// useWeight is the weight of a report in the mean use of all targets, and useTime the time constant of the mean use of one target. That
	// one returns to the mean of all while there are no reports, and the mean of all to assumedUse.
	useWeight = 0.05
	useTime   = 10 * time.Second
	// slownessDecay is the time constant with which a reported slowness returns to the usual one.
	slownessDecay = 300 * time.Millisecond
	// faultDecay is the time constant with which the fault rate of a target decays, and faultWeight the weight of one request in it.
	faultDecay  = 3 * time.Second
	faultWeight = 0.1
	// faultServiceTimes is the cost of a failed request in service times.
	faultServiceTimes = 6
	// unreachableTime is how long a target that could not be reached is chosen only if there is no other.
	unreachableTime = 500 * time.Millisecond
	// startRateLifetime is how long a reported start rate counts. Upstreams are cold for seconds.
	startRateLifetime = 3 * time.Second
	// unreachableCost exceeds any expected time, in seconds.
	unreachableCost = 3600
	// maxCompared bounds the candidates that are compared for one request, as the time for a choice grows with them.
	maxCompared = 32
	// targetLifetime is how long the state of a target is kept that isn't a candidate any more.
	targetLifetime = time.Minute
	// minDeviation is the standard deviation, in requests, below which a number of requests counts as known.
	minDeviation = 1e-6
	// waitWeight is the weight of a wait in a choice: a request that waits also delays later ones.
	waitWeight = 3
	// useCost is the cost of a target whose slots are all in use, in service times. It spreads requests over targets with free slots.
	useCost = 0.05
	// maxUse bounds the use of a single report, so that a false one doesn't repel requests for long.
	maxUse = 8
)

// TargetLoad is what a target reports of itself.
type TargetLoad struct {
	// Running, Waiting and Slots are the numbers of running and of waiting requests and of slots. A report without slots is ignored.
	Running, Waiting, Slots int
	// Wait is how long a request of this kind would wait for a slot, and negative if the target doesn't say; then it is derived from the
	// numbers of requests.
	Wait time.Duration
	// ServiceTime is the time that the target usually needs for a request of this kind, or 0 if it isn't known.
	ServiceTime time.Duration
	// Slowness is how long work takes at the target now, as a multiple of the usual time, or 0 if it isn't known.
	Slowness float64
	// StartRate is the number of requests per second that the target may begin, or 0 if it isn't limited.
	StartRate float64
}

// TargetOutcome classifies the result of a request by what it says about its target.
type TargetOutcome int

const (
	// TargetServed includes refusals that say nothing about the target's upstream.
	TargetServed TargetOutcome = iota
	// TargetFault means that the target failed the request.
	TargetFault
	// TargetUnreachable means that the target could not be reached.
	TargetUnreachable
)

// Candidate is a target that a Balancer may choose.
type Candidate[K comparable] struct {
	Target K
	// Extra is added to the expected time of the target's answer, such as the time to reach it.
	Extra time.Duration
}

// Choice is a target that a Balancer has chosen.
type Choice[K comparable] struct {
	Target K
	// Expected is the expected time until the target's answer, and Next that of the best other target, or 0 if there is no other.
	Expected, Next time.Duration
	// NextWait is the part of Next that a request is expected to wait there for a slot.
	NextWait time.Duration
}

// Balancer chooses, among targets that can all serve a request, the one whose answer is expected first. It expects the wait for a slot, the
// service time of that target for this kind of request, its slowness now, and the cost of its faults.
//
// Many balancers choose among the same targets by reports that are partly old, and don't know of each other's requests. A target's number
// of requests therefore is a distribution: within about a service time, its mean returns from the reported number to the usual one of the
// target, and its variance grows. Each choice draws the numbers from these distributions, so that balancers with the same reports spread
// their requests instead of sending all of them to the target that was the least loaded one. The balancer's own requests are known exactly.
//
// The zero value is ready to use and seeded at random.
type Balancer[K comparable] struct {
	mu      sync.Mutex
	random  *rand.Rand
	targets map[K]*target
	// use is the mean share of slots in use at the reporting targets, as of usedAt; it isn't known while usedAt is zero.
	use    float64
	usedAt time.Time
	// services are the mean service times of all targets by kind of request. held and heldSquare are the means of the service times and of
	// their squares over all kinds. All are in seconds.
	services         map[string]float64
	held, heldSquare float64
	// prunedAt is when targets were last removed.
	prunedAt time.Time
}

// target is what a balancer knows of one target.
type target struct {
	// inFlight is the number of the balancer's requests at the target, and sentSinceReport that of those that began after the report.
	inFlight, sentSinceReport int
	// load is the newest report, and reportedAt when it arrived, zero before the first one. requests is the number of requests that a
	// further one meets according to it.
	load       TargetLoad
	reportedAt time.Time
	requests   float64
	// use is the mean share of its slots that are in use, waiting requests included, as of reportedAt.
	use float64
	// candidateAt is when the target was last a candidate.
	candidateAt time.Time
	// services are the usual service times by kind of request.
	services map[string]time.Duration
	// unreachableUntil is the time until which the target counts as unreachable.
	unreachableUntil time.Time
	// faultRate is the moving average of the share of failed requests, as of faultRateAt.
	faultRate   float64
	faultRateAt time.Time
}

// NewBalancer returns a balancer with a seed.
func NewBalancer[K comparable](seed uint64) *Balancer[K] {
	return &Balancer[K]{random: rand.New(rand.NewPCG(seed, seed))}
}

// Report records what a target says of its load, for a kind of request.
func (b *Balancer[K]) Report(now time.Time, key K, kind string, load TargetLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.report(now, b.target(key), kind, load)
}

// report implements Report. mu must be held.
func (b *Balancer[K]) report(now time.Time, t *target, kind string, load TargetLoad) {
	if load.Slots <= 0 {
		return
	}
	if load.ServiceTime > 0 {
		if t.services == nil {
			t.services = make(map[string]time.Duration)
		}
		t.services[kind] = load.ServiceTime
		b.observeService(kind, load.ServiceTime.Seconds())
	}
	known := b.targetUse(now, t)
	// The first report counts as much as one after a pause of useTime.
	weight := 1 - math.Exp(-1)
	if !t.reportedAt.IsZero() {
		weight = max(useWeight, 1-decay(now.Sub(t.reportedAt), useTime))
	}
	t.load, t.reportedAt, t.sentSinceReport = load, now, 0
	t.requests = float64(load.Running + load.Waiting)
	if slots := float64(load.Slots); load.Wait > 0 {
		t.requests = slots - 1 + slots*load.Wait.Seconds()/b.holding(t, kind)
	} else if load.Wait == 0 {
		t.requests = min(t.requests, slots-1)
	}
	use := min(t.requests/float64(load.Slots), maxUse)
	t.use = known + weight*(use-known)
	b.use = b.meanUse(now) + useWeight*(use-b.meanUse(now))
	b.usedAt = now
}

// observeService updates the mean service times, in seconds. mu must be held.
func (b *Balancer[K]) observeService(kind string, service float64) {
	if b.services == nil {
		b.services = make(map[string]float64)
		b.held, b.heldSquare = service, service*service
	}
	mean, ok := b.services[kind]
	if !ok {
		mean = service
	}
	b.services[kind] = mean + useWeight*(service-mean)
	b.held += useWeight * (service - b.held)
	b.heldSquare += useWeight * (service*service - b.heldSquare)
}

// prune removes the targets that haven't been candidates for targetLifetime. mu must be held.
func (b *Balancer[K]) prune(now time.Time) {
	if now.Sub(b.prunedAt) < targetLifetime {
		return
	}
	b.prunedAt = now
	maps.DeleteFunc(b.targets, func(_ K, t *target) bool { return t.inFlight == 0 && now.Sub(t.candidateAt) > targetLifetime })
}

// Choose returns the best candidate for a request of a kind, and false if there are none. Of more than maxCompared candidates, which should
// be in random order, it compares a part.
func (b *Balancer[K]) Choose(now time.Time, kind string, candidates []Candidate[K]) (Choice[K], bool) {
	if len(candidates) == 0 {
		return Choice[K]{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	best, bestDrawn := 0, math.Inf(1)
	compared := min(len(candidates), maxCompared)
	expected, waits := make([]float64, compared), make([]float64, compared)
	// Starting anywhere varies the choice among equal candidates, and the sample of many.
	first := b.intN(len(candidates))
	for n := range expected {
		candidate := candidates[(first+n)%len(candidates)]
		t := b.target(candidate.Target)
		t.candidateAt = now
		mean, deviation := b.predict(now, t, kind)
		slots := b.slots(now, t, kind)
		fixed, perRequest := b.cost(now, t, kind)
		fixed += candidate.Extra.Seconds()
		requests := max(mean+deviation*b.normal(), float64(t.inFlight))
		drawn := fixed + perRequest*(waitWeight*max(0, requests-slots+1)+useCost*requests)
		waits[n] = perRequest * expectedExcess(mean-slots+1, deviation)
		expected[n] = fixed + waits[n]
		if drawn < bestDrawn {
			best, bestDrawn = n, drawn
		}
	}
	b.prune(now)
	choice := Choice[K]{Target: candidates[(first+best)%len(candidates)].Target, Expected: seconds(expected[best])}
	expected[best] = math.Inf(1)
	if next := slices.Index(expected, slices.Min(expected)); compared > 1 {
		choice.Next, choice.NextWait = seconds(expected[next]), seconds(waits[next])
	}
	return choice, true
}

// Begin counts a request of a kind to a target. The returned function must be called when it has ended, with the target's load, if it
// reported any, and the outcome.
func (b *Balancer[K]) Begin(key K, kind string) (end func(now time.Time, load TargetLoad, outcome TargetOutcome)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(key)
	t.inFlight++
	t.sentSinceReport++
	return func(now time.Time, load TargetLoad, outcome TargetOutcome) {
		b.mu.Lock()
		defer b.mu.Unlock()
		t.inFlight--
		t.sentSinceReport = min(t.sentSinceReport, t.inFlight)
		b.report(now, t, kind, load)
		t.observe(now, outcome)
	}
}

// observe records the outcome of a request.
func (t *target) observe(now time.Time, outcome TargetOutcome) {
	sample := 0.0
	switch outcome {
	case TargetFault:
		sample = 1
	case TargetUnreachable:
		t.unreachableUntil = now.Add(unreachableTime)
	case TargetServed:
	}
	rate := t.decayedFaultRate(now)
	t.faultRate, t.faultRateAt = rate+faultWeight*(sample-rate), now
}

// decayedFaultRate returns the fault rate at a time. It decays, so that a target that is avoided is tried again.
func (t *target) decayedFaultRate(now time.Time) float64 {
	return t.faultRate * decay(now.Sub(t.faultRateAt), faultDecay)
}

// decay returns the part that is left of a value after a time.
func decay(age, constant time.Duration) float64 { return math.Exp(-age.Seconds() / constant.Seconds()) }

// target returns the state of a target and creates it if needed. mu must be held.
func (b *Balancer[K]) target(key K) *target {
	t := b.targets[key]
	if t == nil {
		t = &target{}
		if b.targets == nil {
			b.targets = make(map[K]*target)
		}
		b.targets[key] = t
	}
	return t
}

// meanUse returns the share of slots that is expected to be in use at a target without a recent report.
func (b *Balancer[K]) meanUse(now time.Time) float64 {
	if b.usedAt.IsZero() {
		return assumedUse
	}
	return assumedUse + (b.use-assumedUse)*decay(now.Sub(b.usedAt), useTime)
}

// targetUse returns the share of a target's slots that is expected to be in use without regard to its last report alone.
func (b *Balancer[K]) targetUse(now time.Time, t *target) float64 {
	mean := b.meanUse(now)
	if t.reportedAt.IsZero() {
		return mean
	}
	return mean + (t.use-mean)*decay(now.Sub(t.reportedAt), useTime)
}

// service returns the usual service time of a target for a kind of request in seconds; if it isn't known, the mean of all targets.
func (b *Balancer[K]) service(t *target, kind string) float64 {
	if service := t.services[kind]; service > 0 {
		return service.Seconds()
	}
	if mean := b.services[kind]; mean > 0 {
		return mean
	}
	return assumedServiceTime.Seconds()
}

// holding returns how long a request that holds a slot of the target needs it, in seconds: the mean over all kinds of requests, weighted by
// the time that they hold slots, at the speed that the target has for a kind.
func (b *Balancer[K]) holding(t *target, kind string) float64 {
	service := b.service(t, kind)
	if b.held == 0 || b.services[kind] == 0 {
		return service
	}
	return service / b.services[kind] * b.heldSquare / b.held
}

// slots returns the number of requests that a target runs at once. A target with a limited start rate can't keep more slots in use than
// requests begin while one is held.
func (b *Balancer[K]) slots(now time.Time, t *target, kind string) float64 {
	if t.load.Slots == 0 {
		return assumedSlots
	}
	slots := float64(t.load.Slots)
	if t.load.StartRate > 0 && now.Sub(t.reportedAt) < startRateLifetime {
		slots = min(slots, max(1, t.load.StartRate*b.holding(t, kind)))
	}
	return slots
}

// predict returns the mean and the standard deviation of the number of requests at a target. Without further reports, the number follows
// an Ornstein-Uhlenbeck process: it forgets the report while the requests at the target end, and at rest varies as independent arrivals do.
func (b *Balancer[K]) predict(now time.Time, t *target, kind string) (mean, deviation float64) {
	rest := b.targetUse(now, t) * b.slots(now, t, kind)
	kept := 0.0
	if !t.reportedAt.IsZero() {
		kept = math.Exp(-now.Sub(t.reportedAt).Seconds() / b.holding(t, kind))
	}
	mean = rest + (t.requests-rest)*kept + float64(t.sentSinceReport)
	return max(mean, float64(t.inFlight)), math.Sqrt(rest * (1 - kept*kept))
}

// cost returns the time until the answer of a target without a wait, and the wait for each request more than there are slots, in seconds.
func (b *Balancer[K]) cost(now time.Time, t *target, kind string) (fixed, perRequest float64) {
	slowness := 1.0
	if t.load.Slowness > 0 {
		slowness += (t.load.Slowness - 1) * decay(now.Sub(t.reportedAt), slownessDecay)
	}
	fixed = b.service(t, kind) * (slowness + faultServiceTimes*t.decayedFaultRate(now))
	if now.Before(t.unreachableUntil) {
		fixed += unreachableCost
	}
	return fixed, b.holding(t, kind) / b.slots(now, t, kind)
}

func (b *Balancer[K]) normal() float64 {
	if b.random == nil {
		return rand.NormFloat64()
	}
	return b.random.NormFloat64()
}

func (b *Balancer[K]) intN(n int) int {
	if b.random == nil {
		return rand.IntN(n)
	}
	return b.random.IntN(n)
}

// expectedExcess returns the mean of the positive part of a normal distribution.
func expectedExcess(mean, deviation float64) float64 {
	if deviation < minDeviation {
		return max(mean, 0)
	}
	z := mean / deviation
	return mean*math.Erfc(-z/math.Sqrt2)/2 + deviation*math.Exp(-z*z/2)/math.Sqrt(2*math.Pi)
}
