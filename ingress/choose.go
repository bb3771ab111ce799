package ingress

import (
	"math"
	"sync"
	"time"

	"sapphiretray/gateway"
)

const (
	// reportAge is the age at which a load report counts half; older reports say little, since the load changes within a few
	// service times.
	reportAge = 250 * time.Millisecond
	// remoteCost is the load, as a share of the slots, that a target in another data centre must be better by: bytes between
	// data centres are dear.
	remoteCost = 0.35
	// remoteBytes is the size of a body that doubles remoteCost.
	remoteBytes = 10 << 10
	// assumedSlots are those of a target that has not reported yet.
	assumedSlots = 6
	// waitingWeight is the load of a waiting request in running ones: it stands for work that delays all later requests. ownShare is
	// the load of the request that is to be placed.
	waitingWeight = 2
	ownShare      = 0.5
	// suspectCost is higher than any load, so that a suspect is the last choice.
	suspectCost = 100
	// suspectFor is how long a target that failed is not chosen while there are others.
	suspectFor = 500 * time.Millisecond
	// faultMemory is the time over which the share of faults of a target is averaged, faultWeight the weight of one request, and
	// faultCost the load that a target which fails each request must be better by. Spreading all work evenly costs less than
	// sending it where it fails, but a target that fails a few in a hundred is still better than a full one.
	faultMemory = 3 * time.Second
	faultWeight = 0.1
	faultCost   = 3
)

// chooser chooses among the instances of a service that isn't divided by key, by their load.
type chooser struct {
	dc      string
	mu      sync.Mutex
	targets map[string]*targetLoad
}

type targetLoad struct {
	// own is the number of this instance's requests there.
	own int
	// sent is the number of requests sent there since the report.
	sent     int
	reported gateway.Load
	at       time.Time
	suspect  time.Time
	// faults is the share of requests that the upstream there failed lately, at faultAt.
	faults  float64
	faultAt time.Time
}

// outcome is what became of a request at a target.
type outcome int

const (
	// outcomeServed also stands for refusals of the gateway, which say nothing about its upstream.
	outcomeServed outcome = iota
	// outcomeFault means that the upstream failed or refused the request.
	outcomeFault
	// outcomeUnreachable means that the instance could not be reached.
	outcomeUnreachable
)

// faultShare returns the share of faults. It fades, so that a target that is avoided gets another chance.
func (l *targetLoad) faultShare(now time.Time) float64 {
	return l.faults * math.Exp(-now.Sub(l.faultAt).Seconds()/faultMemory.Seconds())
}

func (l *targetLoad) observe(now time.Time, o outcome) {
	target := 0.0
	if o == outcomeFault {
		target = 1
	}
	share := l.faultShare(now)
	l.faults, l.faultAt = share+faultWeight*(target-share), now
}

func newChooser(dc string) *chooser { return &chooser{dc: dc, targets: make(map[string]*targetLoad)} }

func (c *chooser) load(slot string) *targetLoad {
	l := c.targets[slot]
	if l == nil {
		l = &targetLoad{}
		c.targets[slot] = l
	}
	return l
}

// choose returns the best target that was not tried, for a request with a body of the given size, and false if there is none.
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

// cost is the expected share of the target's slots in use, more if requests wait there.
func (c *chooser) cost(now time.Time, t Target, bytes int) float64 {
	l := c.load(t.Slot)
	slots := float64(max(l.reported.Slots, 1))
	used := float64(l.own)
	if !l.at.IsZero() {
		weight := 1 / (1 + float64(now.Sub(l.at))/float64(reportAge))
		used = max(used, weight*float64(l.reported.Running+waitingWeight*l.reported.Waiting+l.sent))
	} else {
		slots = assumedSlots
	}
	cost := (used + ownShare) / slots
	if t.DataCentre != c.dc {
		cost += remoteCost * (1 + float64(bytes)/remoteBytes)
	}
	cost += faultCost * l.faultShare(now)
	if now.Before(l.suspect) {
		cost += suspectCost
	}
	return cost
}

// begin notes a request to a target; the result must be called with what the target said of its load.
func (c *chooser) begin(slot string) func(load gateway.Load, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.load(slot)
	l.own++
	l.sent++
	return func(load gateway.Load, o outcome) {
		c.mu.Lock()
		defer c.mu.Unlock()
		l.own--
		if load.Slots > 0 {
			l.reported, l.at, l.sent = load, time.Now(), 0
		}
		l.observe(time.Now(), o)
		if o == outcomeUnreachable {
			l.suspect = time.Now().Add(suspectFor)
		}
	}
}
