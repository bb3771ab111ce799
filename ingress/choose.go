package ingress

import (
	"math"
	"sync"
	"time"

	"sapphiretray/gateway"
)

const (
	// reportHalfAge is the age at which a load report counts half. Reports age quickly because the load changes within a few
	// service times.
	reportHalfAge = 250 * time.Millisecond
	// remoteCost is added for a target in another data centre, in units of load per concurrency slot, because traffic between data centres
	// is expensive.
	remoteCost = 0.35
	// remoteBytes is the body size, in bytes, that doubles remoteCost.
	remoteBytes = 10 << 10
	// assumedSlots is the number of concurrency slots of a target that has not reported its load yet.
	assumedSlots = 6
	// waitingWeight is the number of running requests that a waiting request counts as, since it delays all later requests.
	waitingWeight = 2
	// newRequestLoad is the load, in running requests, that the request to be placed adds to a target.
	newRequestLoad = 0.5
	// unreachableCost exceeds any load, so that a target that could not be reached is chosen only if there is no other.
	unreachableCost = 100
	// unreachableDuration is how long unreachableCost is added after a target could not be reached.
	unreachableDuration = 500 * time.Millisecond
	// faultDecayTime is the time constant with which the fault rate of a target decays.
	faultDecayTime = 3 * time.Second
	// faultWeight is the weight of one request in the moving average of the fault rate.
	faultWeight = 0.1
	// faultCost is added for a target that fails every request, in units of load per concurrency slot. It exceeds the cost of spreading all
	// requests over the other targets, but a target that fails a few per cent of its requests still costs less than a full one.
	faultCost = 3
)

// chooser balances requests without a key over the instances of their service. It picks the target with the lowest cost, which
// is computed from load reports, data centre, reachability and fault rate.
type chooser struct {
	// dc is the data centre of this instance.
	dc      string
	mu      sync.Mutex
	targets map[string]*targetState
}

// targetState is what this instance knows of the load, the reachability and the faults of one target.
type targetState struct {
	// inFlight is the number of this instance's requests at the target.
	inFlight int
	// sentSinceReport is the number of requests sent to the target since its last load report.
	sentSinceReport int
	// reported is the last load report, and reportedAt when it arrived; reportedAt is zero before the first one.
	reported   gateway.Load
	reportedAt time.Time
	// unreachableUntil is the time until which unreachableCost is added because the target could not be reached.
	unreachableUntil time.Time
	// faultRate is the moving average of the share of requests that the target's upstream failed, as of faultRateAt.
	faultRate   float64
	faultRateAt time.Time
}

// outcome classifies the result of a request by what it says about the target.
type outcome int

const (
	// outcomeServed includes refusals by the target's gateway, which say nothing about its upstream.
	outcomeServed outcome = iota
	// outcomeFault means that the upstream failed or refused the request.
	outcomeFault
	// outcomeUnreachable means that the target could not be reached.
	outcomeUnreachable
)

// decayedFaultRate returns the fault rate at a time. It decays, so that a target that is avoided is tried again.
func (s *targetState) decayedFaultRate(now time.Time) float64 {
	return s.faultRate * math.Exp(-now.Sub(s.faultRateAt).Seconds()/faultDecayTime.Seconds())
}

// observe adds the outcome of a request to the fault rate.
func (s *targetState) observe(now time.Time, o outcome) {
	sample := 0.0
	if o == outcomeFault {
		sample = 1
	}
	rate := s.decayedFaultRate(now)
	s.faultRate, s.faultRateAt = rate+faultWeight*(sample-rate), now
}

func newChooser(dc string) *chooser { return &chooser{dc: dc, targets: make(map[string]*targetState)} }

// target returns the state of the target in an instance's slot and creates it if needed. c.mu must be held.
func (c *chooser) target(slot string) *targetState {
	s := c.targets[slot]
	if s == nil {
		s = &targetState{}
		c.targets[slot] = s
	}
	return s
}

// choose returns the target with the lowest cost that was not tried yet, and false if there is none. bytes is the size of the
// request's body.
func (c *chooser) choose(now time.Time, targets []Target, tried map[string]bool, bytes int) (Target, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best Target
	bestCost, found := 0.0, false
	for _, t := range targets {
		if tried[t.Slot] {
			continue
		}
		cost := c.cost(now, t, bytes)
		if !found || cost < bestCost {
			best, bestCost, found = t, cost, true
		}
	}
	return best, found
}

// cost returns the expected load of a target as a share of its concurrency slots, plus the costs of its distance and its faults. It
// exceeds 1 if requests wait there.
func (c *chooser) cost(now time.Time, t Target, bytes int) float64 {
	s := c.target(t.Slot)
	slots := float64(max(s.reported.Slots, 1))
	used := float64(s.inFlight)
	if !s.reportedAt.IsZero() {
		weight := 1 / (1 + float64(now.Sub(s.reportedAt))/float64(reportHalfAge))
		used = max(used, weight*float64(s.reported.Running+waitingWeight*s.reported.Waiting+s.sentSinceReport))
	} else {
		slots = assumedSlots
	}
	cost := (used + newRequestLoad) / slots
	if t.DataCentre != c.dc {
		cost += remoteCost * (1 + float64(bytes)/remoteBytes)
	}
	cost += faultCost * s.decayedFaultRate(now)
	if now.Before(s.unreachableUntil) {
		cost += unreachableCost
	}
	return cost
}

// begin counts a request to the target in an instance's slot as in flight. The returned function must be called when the request has
// ended, with the load that the target reported, if any, and the outcome.
func (c *chooser) begin(slot string) func(load gateway.Load, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.target(slot)
	s.inFlight++
	s.sentSinceReport++
	return func(load gateway.Load, o outcome) {
		c.mu.Lock()
		defer c.mu.Unlock()
		s.inFlight--
		if load.Slots > 0 {
			s.reported, s.reportedAt, s.sentSinceReport = load, time.Now(), 0
		}
		s.observe(time.Now(), o)
		if o == outcomeUnreachable {
			s.unreachableUntil = time.Now().Add(unreachableDuration)
		}
	}
}
