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
	// remoteCost is added for a target in another data centre, in units of load per slot, because traffic between data centres
	// is expensive.
	remoteCost = 0.35
	// remoteBytes is the body size, in bytes, that doubles remoteCost.
	remoteBytes = 10 << 10
	// assumedSlots is the number of slots of a target that has not reported its load yet.
	assumedSlots = 6
	// waitingWeight is the number of running requests that a waiting request counts as, since it delays all later requests.
	waitingWeight = 2
	// newRequestLoad is the load, in running requests, that the request to be placed adds to a target.
	newRequestLoad = 0.5
	// suspectCost exceeds any load, so that a suspect target is chosen only if there is no other.
	suspectCost = 100
	// suspectDuration is how long a target stays suspect after it could not be reached.
	suspectDuration = 500 * time.Millisecond
	// faultDecayTime is the time constant with which the fault rate of a target decays.
	faultDecayTime = 3 * time.Second
	// faultWeight is the weight of one request in the moving average of the fault rate.
	faultWeight = 0.1
	// faultCost is added for a target that fails every request, in units of load per slot. It exceeds the cost of spreading all
	// requests over the other targets, but a target that fails a few per cent of its requests still costs less than a full one.
	faultCost = 3
)

// chooser balances requests without a key over the instances of their service. It picks the target with the lowest cost, which
// is computed from load reports, data centre, reachability and fault rate.
type chooser struct {
	dc      string
	mu      sync.Mutex
	targets map[string]*targetLoad
}

// targetLoad is what this instance knows of the load and the faults of one target.
type targetLoad struct {
	// inFlight is the number of this instance's requests at the target.
	inFlight int
	// sentSinceReport is the number of requests sent to the target since its last load report.
	sentSinceReport int
	// reported is the last load report, and reportedAt when it arrived; reportedAt is zero before the first one.
	reported   gateway.Load
	reportedAt time.Time
	// suspectUntil is when the target stops being suspect after it could not be reached.
	suspectUntil time.Time
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
	// outcomeUnreachable means that the instance could not be reached.
	outcomeUnreachable
)

// decayedFaultRate returns the fault rate at a time. It decays, so that a target that is avoided is tried again.
func (l *targetLoad) decayedFaultRate(now time.Time) float64 {
	return l.faultRate * math.Exp(-now.Sub(l.faultRateAt).Seconds()/faultDecayTime.Seconds())
}

// observe adds the outcome of a request to the fault rate.
func (l *targetLoad) observe(now time.Time, o outcome) {
	sample := 0.0
	if o == outcomeFault {
		sample = 1
	}
	rate := l.decayedFaultRate(now)
	l.faultRate, l.faultRateAt = rate+faultWeight*(sample-rate), now
}

func newChooser(dc string) *chooser { return &chooser{dc: dc, targets: make(map[string]*targetLoad)} }

// load returns the entry of a target and creates it if needed. The caller holds the lock.
func (c *chooser) load(slot string) *targetLoad {
	l := c.targets[slot]
	if l == nil {
		l = &targetLoad{}
		c.targets[slot] = l
	}
	return l
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

// cost returns the expected load of a target as a share of its slots, plus the costs of its distance and its faults. It exceeds 1
// if requests wait there.
func (c *chooser) cost(now time.Time, t Target, bytes int) float64 {
	l := c.load(t.Slot)
	slots := float64(max(l.reported.Slots, 1))
	used := float64(l.inFlight)
	if !l.reportedAt.IsZero() {
		weight := 1 / (1 + float64(now.Sub(l.reportedAt))/float64(reportHalfAge))
		used = max(used, weight*float64(l.reported.Running+waitingWeight*l.reported.Waiting+l.sentSinceReport))
	} else {
		slots = assumedSlots
	}
	cost := (used + newRequestLoad) / slots
	if t.DataCentre != c.dc {
		cost += remoteCost * (1 + float64(bytes)/remoteBytes)
	}
	cost += faultCost * l.decayedFaultRate(now)
	if now.Before(l.suspectUntil) {
		cost += suspectCost
	}
	return cost
}

// begin counts a request to a target as in flight. The returned function must be called when the request has ended, with the load
// that the target reported, if any, and the outcome.
func (c *chooser) begin(slot string) func(load gateway.Load, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.load(slot)
	l.inFlight++
	l.sentSinceReport++
	return func(load gateway.Load, o outcome) {
		c.mu.Lock()
		defer c.mu.Unlock()
		l.inFlight--
		if load.Slots > 0 {
			l.reported, l.reportedAt, l.sentSinceReport = load, time.Now(), 0
		}
		l.observe(time.Now(), o)
		if o == outcomeUnreachable {
			l.suspectUntil = time.Now().Add(suspectDuration)
		}
	}
}
