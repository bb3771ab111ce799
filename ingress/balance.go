package ingress

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"sapphiretray/gateway"
	"sapphiretray/policy"
)

const (
	// maxBusy is the number of instances that may refuse a request because another one is expected to respond sooner. The next one takes
	// it.
	maxBusy = 3
	// boundMargin is the part of the expected time of the next best target by which a target may exceed it, and minBoundMargin its least
	// value, so that a small difference doesn't cost another hop.
	boundMargin    = 0.1
	minBoundMargin = 5 * time.Millisecond
	// maxNextWait is the largest part of the expected time of the next best target that may be a wait for a slot, if a target is to refuse
	// requests that it expects to serve later. If requests wait everywhere, a refusal only moves the wait.
	maxNextWait = 0.3
	// assumedHop is the time to another instance and back before it has been measured, and hopWeight the weight of one measurement.
	assumedHop = 2 * time.Millisecond
	hopWeight  = 0.1
	// headBytes is the assumed size of the headers of a request and its response, in bytes.
	headBytes = 1 << 10
	// bodyWeight is the weight of one response in the mean response size of a route.
	bodyWeight = 0.05
	// remoteCost is the constant cost of another data centre where nothing better is known, in service times, and remoteBytes the body
	// size, in bytes, that doubles it.
	remoteCost  = 0.35
	remoteBytes = 10 << 10
)

// Reasons why a request was sent to a data centre.
const (
	reasonOwn      = "own"
	reasonSpill    = "spill"
	reasonConstant = "constant cost"
	reasonNoOwn    = "no upstream in the data centre"
)

// placement is the instance that a request without a key is sent to.
type placement struct {
	Target
	// expected is the expected time until its response, and within the bound with which it is sent, 0 for none.
	expected, within time.Duration
	spilled          bool
	reason           string
}

// pool identifies the instances of a service in a data centre.
type pool struct{ service, dc string }

// balance places requests without a key: it chooses the data centre and the instance.
type balance struct {
	// self and dc are the slot and the data centre of this instance.
	self, dc string

	mu        sync.Mutex
	balancers map[pool]*policy.Balancer[string]
	// spills are the decisions to leave the data centre, by service. They are made for the services whose upstreams report their speed.
	spills map[string]*policy.Spill[string]
	// hops are the times to the instances of a data centre and back, without the time there.
	hops map[string]time.Duration
	// bodies are the mean sizes of the responses by route, in bytes.
	bodies map[string]float64
}

func newBalance(self, dc string) *balance {
	return &balance{
		self: self, dc: dc, balancers: make(map[pool]*policy.Balancer[string]), spills: make(map[string]*policy.Spill[string]),
		hops: make(map[string]time.Duration), bodies: make(map[string]float64),
	}
}

// balancer returns the balancer of a pool and creates it if needed.
func (b *balance) balancer(p pool) *policy.Balancer[string] {
	b.mu.Lock()
	defer b.mu.Unlock()
	balancer := b.balancers[p]
	if balancer == nil {
		balancer = &policy.Balancer[string]{}
		b.balancers[p] = balancer
	}
	return balancer
}

// spill returns the decision for a service, or nil if its upstreams don't report their speed.
func (b *balance) spill(service string) *policy.Spill[string] {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spills[service]
}

// hop returns the expected time to a data centre and back.
func (b *balance) hop(dc string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if hop, ok := b.hops[dc]; ok {
		return hop
	}
	return assumedHop
}

// size returns the expected size of a request and its response.
func (b *balance) size(r *gateway.Request) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return headBytes + len(r.Body) + int(b.bodies[r.Route])
}

// choose returns the placement of a request among targets, and false if there is none. It leaves out the instances that failed or refused
// it. Those that were busy are left out, too, until maxBusy have been; then the request is sent without a bound, unless it leaves its data
// centre.
func (b *balance) choose(now time.Time, d *dispatchState, targets []Target) (placement, bool) {
	untried := slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return d.tried[t.Slot] })
	notBusy := slices.DeleteFunc(slices.Clone(untried), func(t Target) bool { return d.busy[t.Slot] })
	bounded := len(d.busy) < maxBusy && len(notBusy) > 0
	if bounded {
		untried = notBusy
	}
	own, others := b.bestByDataCentre(now, d.request, untried)
	if !bounded {
		if own != nil {
			own.within = 0
		}
		for n := range others {
			others[n].within = 0
		}
	}
	return b.weigh(now, d, own, others)
}

// bestByDataCentre returns the best target in the own data centre, nil if it has none, and that of each other one.
func (b *balance) bestByDataCentre(now time.Time, r *gateway.Request, targets []Target) (own *placement, others []placement) {
	candidates := make(map[string][]policy.Candidate[string])
	bySlot := make(map[string]Target, len(targets))
	for _, t := range targets {
		bySlot[t.Slot] = t
		extra := time.Duration(0)
		if t.Slot != b.self {
			extra = b.hop(t.DataCentre)
		}
		candidates[t.DataCentre] = append(candidates[t.DataCentre], policy.Candidate[string]{Target: t.Slot, Extra: extra})
	}
	// Upstreams that don't report their speed are alike for longer than a refusal by one of them is worth.
	reportsSpeed := b.spill(r.Service) != nil
	for dc, c := range candidates {
		choice, _ := b.balancer(pool{r.Service, dc}).Choose(now, r.Route, c)
		p := placement{Target: bySlot[choice.Target], expected: choice.Expected}
		if reportsSpeed && choice.Next > 0 && float64(choice.NextWait) <= maxNextWait*float64(choice.Next) {
			p.within = choice.Next + max(time.Duration(boundMargin*float64(choice.Next)), minBoundMargin)
		}
		if dc == b.dc {
			p.reason = reasonOwn
			own = &p
			continue
		}
		others = append(others, p)
	}
	return own, others
}

// weigh decides between the own data centre and the others, and returns false if there is no target.
func (b *balance) weigh(now time.Time, d *dispatchState, own *placement, others []placement) (placement, bool) {
	if own == nil {
		if len(others) == 0 {
			return placement{}, false
		}
		best := soonest(others)
		best.reason = reasonNoOwn
		return best, true
	}
	others = slices.DeleteFunc(others, func(p placement) bool { return d.refusedBy[p.DataCentre] })
	if len(others) == 0 {
		return *own, true
	}
	best := soonest(others)
	if spill := b.spill(d.request.Service); spill == nil {
		bytes := float64(len(d.request.Body))
		if extra := time.Duration(remoteCost * (1 + bytes/remoteBytes) * float64(own.expected)); best.expected+extra < own.expected {
			best.reason = reasonConstant
			return best, true
		}
	} else if policy.SpillPays(own.expected, best.expected, d.request.Objective.Sub(now), b.size(d.request)) &&
		spill.Allows(now, best.DataCentre) {
		best.reason, best.spilled, best.within = reasonSpill, true, own.expected
		return best, true
	}
	return *own, true
}

// soonest returns the placement with the least expected time.
func soonest(placements []placement) placement {
	return slices.MinFunc(placements, func(p, q placement) int { return cmp.Compare(p.expected, q.expected) })
}

// begin counts a request to a target. The returned function must be called when the request has ended, with the load that the target
// reported, if any, and the outcome.
func (b *balance) begin(t Target, r *gateway.Request) func(load gateway.Load, o policy.TargetOutcome) {
	end := b.balancer(pool{r.Service, t.DataCentre}).Begin(t.Slot, r.Route)
	return func(load gateway.Load, o policy.TargetOutcome) {
		b.observeSpeed(r.Service, load)
		end(time.Now(), targetLoad(load, r.Priority), o)
	}
}

// report records the load of this instance's upstream, which is always known.
func (b *balance) report(now time.Time, r *gateway.Request, load gateway.Load) {
	b.observeSpeed(r.Service, load)
	b.balancer(pool{r.Service, b.dc}).Report(now, b.self, r.Route, targetLoad(load, r.Priority))
}

// observeSpeed notes that the upstreams of a service report their speed, so that their expected times can be compared between data centres.
func (b *balance) observeSpeed(service string, load gateway.Load) {
	if load.Slowness == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spills[service] == nil {
		b.spills[service] = &policy.Spill[string]{}
	}
}

// observe records the end of an attempt at a placement: whether the data centre had room, how long the way there took, and the size of the
// response.
func (b *balance) observe(now time.Time, p placement, r *gateway.Request, busy bool, took time.Duration, response *gateway.Response) {
	if p.spilled {
		b.spill(r.Service).Observe(now, p.DataCentre, !busy)
	}
	if response == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if mean, ok := b.bodies[r.Route]; ok {
		b.bodies[r.Route] = mean + bodyWeight*(float64(len(response.Body))-mean)
	} else {
		b.bodies[r.Route] = float64(len(response.Body))
	}
	if p.Slot == b.self {
		return
	}
	hop, ok := b.hops[p.DataCentre]
	if !ok {
		hop = assumedHop
	}
	b.hops[p.DataCentre] = hop + time.Duration(hopWeight*float64(max(took-response.Waited-response.Took, 0)-hop))
}

// targetLoad converts a load for requests with a priority.
func targetLoad(l gateway.Load, priority int) policy.TargetLoad {
	t := policy.TargetLoad{
		Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Wait: -1,
		ServiceTime: l.ServiceTime, Slowness: l.Slowness, StartRate: l.StartRate,
	}
	if n := len(l.Waits); n > 0 {
		t.Wait = l.Waits[min(max(priority, 0), n-1)]
	}
	return t
}
