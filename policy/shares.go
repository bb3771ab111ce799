package policy

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant over which the demand for an upstream's slots is averaged, a few service times.
	demandWindow = 300 * time.Millisecond
	// usableSlots is the share of the slots that is given away. Requests wait long at an upstream whose slots are always in use.
	usableSlots = 0.95
	// maxRoom bounds the reported room. Room beyond it makes no difference to the services that call the upstream.
	maxRoom = 1.5
	// minShare is the smallest share of a priority's demand that is admitted, so that no priority is starved and a later share is learnt.
	minShare = 0.05
	// maxPriorities is the number of priorities that are told apart. Less urgent ones count as the last.
	maxPriorities = 4
)

// Shares divides the slots of an upstream among the priorities of its requests. It tells for how many of each priority's requests the
// upstream has room, the most urgent first, so that services which make nested calls there begin no more requests than can end. The
// demand counts requests that aren't sent because of an earlier share: each request that is sent stands for as many as its weight.
//
// It answers a lasting overload of an upstream that serves urgent requests of its own beside the nested calls of less urgent ones. The zero
// value is ready to use. It isn't safe for concurrent use.
type Shares struct {
	// demand is the number of busy slots that each priority asks for, as of at.
	demand [maxPriorities]float64
	at     time.Time
}

// Observe records a request that needs a slot for the given time and stands for weight requests, at least one.
func (s *Shares) Observe(now time.Time, priority int, service time.Duration, weight float64) {
	s.decay(now)
	s.demand[min(max(priority, 0), maxPriorities-1)] += max(weight, 1) * service.Seconds() / demandWindow.Seconds()
}

// decay ages the demand.
func (s *Shares) decay(now time.Time) {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		for p := range s.demand {
			s.demand[p] *= factor
		}
		s.at = now
	}
}

// Room returns the room for the requests of each priority, as a multiple of what they ask for, from minShare to maxRoom. A multiple below 1
// is the share of them that can be served. Trailing values of maxRoom are left out.
func (s *Shares) Room(now time.Time, slots int) []float64 {
	s.decay(now)
	left := usableSlots * float64(slots)
	var room []float64
	last := 0
	for p, demand := range s.demand {
		multiple := maxRoom
		if demand*maxRoom > left {
			multiple = max(left/demand, minShare)
			last = p + 1
		}
		left = max(left-demand, 0)
		room = append(room, multiple)
	}
	return room[:last]
}

const (
	// callWindow is the time constant over which the reported room of a called service is averaged.
	callWindow = 300 * time.Millisecond
	// minCallWeight and maxCallWeight bound the weight of one report. Calls go to several upstreams, each of which reports its own room.
	minCallWeight = 0.02
	maxCallWeight = 0.6
	// callMemory is how long a report is used without a further one. The room then grows back to maxRoom with the time constant
	// callRecovery.
	callMemory   = time.Second
	callRecovery = 2 * time.Second
)

// CallGate admits the share of the requests of an upstream that the services which they call have room for, see Shares. K identifies a kind
// of requests, and C a called service. The zero value is ready to use. It isn't safe for concurrent use.
type CallGate[K, C comparable] struct {
	kinds map[K]*callKind[C]
}

// callKind is what is known of one kind of requests.
type callKind[C comparable] struct {
	calls map[C]*callRoom
	// credit is the number of requests that may be admitted. It grows by the share with each request.
	credit float64
}

// callRoom is the mean of the room that the upstreams of a called service have reported. One of them that is full may be made up for by
// others, which takes some of its calls.
type callRoom struct {
	room float64
	at   time.Time
}

// Observe records the room that an upstream of a called service has for requests of a kind, as a multiple of those that there are.
func (g *CallGate[K, C]) Observe(now time.Time, kind K, called C, room float64) {
	k := g.kinds[kind]
	if k == nil {
		k = &callKind[C]{calls: make(map[C]*callRoom)}
		if g.kinds == nil {
			g.kinds = make(map[K]*callKind[C])
		}
		g.kinds[kind] = k
	}
	c := k.calls[called]
	if c == nil {
		c = &callRoom{room: 1, at: now.Add(-callWindow)}
		k.calls[called] = c
	}
	current := c.current(now)
	weight := min(maxCallWeight, max(minCallWeight, 1-math.Exp(-now.Sub(c.at).Seconds()/callWindow.Seconds())))
	c.room, c.at = current+weight*(room-current), now
}

// current returns the room at a time.
func (c *callRoom) current(now time.Time) float64 {
	idle := now.Sub(c.at) - callMemory
	if idle <= 0 {
		return c.room
	}
	return maxRoom - (maxRoom-c.room)*math.Exp(-idle.Seconds()/callRecovery.Seconds())
}

// Share returns the share of the requests of a kind that all services which they call have room for, from 0 to 1.
func (g *CallGate[K, C]) Share(now time.Time, kind K) float64 {
	share := 1.0
	if k := g.kinds[kind]; k != nil {
		for _, c := range k.calls {
			share = min(share, c.current(now))
		}
	}
	return max(share, minShare)
}

// All returns the share of each kind of requests that make calls, see Share.
func (g *CallGate[K, C]) All(now time.Time) map[K]float64 {
	shares := make(map[K]float64, len(g.kinds))
	for kind := range g.kinds {
		shares[kind] = g.Share(now, kind)
	}
	return shares
}

// Admit reports whether a request of a kind is admitted, and the share of those that are. A request that is admitted stands for 1/share.
func (g *CallGate[K, C]) Admit(now time.Time, kind K) (share float64, ok bool) {
	share = g.Share(now, kind)
	k := g.kinds[kind]
	if k == nil || share > fullShare {
		return 1, true
	}
	k.credit = min(k.credit+share, 1)
	if k.credit < 1 {
		return share, false
	}
	k.credit--
	return share, true
}

// fullShare is the share above which all requests are admitted.
const fullShare = 0.98
