package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"k8s.io/klog/v2"
)

// Life names one run of an upstream. The same id with another start is another run, which holds nothing of the earlier one.
type Life struct {
	ID string
	// Started is the start in milliseconds since 1970, or 0 while it isn't known.
	Started int64
}

// IsZero reports whether no upstream is named.
func (l Life) IsZero() bool { return l == Life{} }

// Same reports whether two names may mean the same run. A start that isn't known may be any.
func (l Life) Same(other Life) bool {
	return l.ID == other.ID && (l.Started == other.Started || l.Started == 0 || other.Started == 0)
}

// String returns the id and the start in milliseconds.
func (l Life) String() string { return fmt.Sprintf("%s@%d", l.ID, l.Started) }

// Registration is what an upstream says of itself in a heartbeat.
type Registration struct {
	Life
	Service    string
	Address    string
	DataCentre string
	// Release is the version of the upstream's software.
	Release string
	Slots   int
	// Leaving upstreams serve for a short time and end then.
	Leaving bool
	// ColdFor is how much longer the upstream is slow after its start.
	ColdFor time.Duration
	// Sequence grows with each heartbeat of a life.
	Sequence uint64
}

// maxEnded bounds the remembered lives that have ended.
const maxEndedLives = 16

// registry follows the upstream's registrations.
type registry struct {
	current      Registration
	known        bool
	leaving      bool
	leavingSince time.Time
	coldTill     time.Time
	endedLives   []Life
}

// observe takes a registration and reports whether a new life began and whether it began to leave. Registrations that are
// older than what is known change nothing.
func (r *registry) observe(now time.Time, n Registration) (began, beganLeaving bool) {
	for _, l := range r.endedLives {
		if l == n.Life {
			return false, false
		}
	}
	switch {
	case r.known && r.current.Started == 0 && n.ID == r.current.ID:
		r.current = n
	case !r.known || n.Started > r.current.Started:
		if r.known {
			r.recordEnd(r.current.Life)
		}
		r.current, r.known, r.leaving, r.leavingSince = n, true, false, time.Time{}
		began = true
	case n.Life != r.current.Life, n.Sequence <= r.current.Sequence:
		return false, false
	default:
		r.current = n
	}
	r.coldTill = now.Add(n.ColdFor)
	if n.Leaving {
		beganLeaving = r.startLeaving(now)
	}
	return began, beganLeaving
}

// leave notes that the current life takes no more work soon, and reports whether that is new.
func (r *registry) startLeaving(now time.Time) bool {
	if r.leaving {
		return false
	}
	r.leaving, r.leavingSince = true, now
	return true
}

func (r *registry) recordEnd(l Life) {
	r.endedLives = append(r.endedLives, l)
	if len(r.endedLives) > maxEndedLives {
		r.endedLives = r.endedLives[1:]
	}
}

// Register takes a heartbeat of the upstream. It returns an error if the heartbeat is not of this upstream.
func (g *Gateway) Register(n Registration) error {
	if n.Service != g.service || n.Address != g.pool.address {
		return fmt.Errorf("heartbeat of %s at %s, which isn't the upstream of this instance", n.Service, n.Address)
	}
	g.mu.Lock()
	began, beganLeaving := g.registry.observe(time.Now(), n)
	if began {
		g.scheduler.SetSlots(time.Now(), n.Slots)
	}
	if began || g.registry.current.Sequence == n.Sequence {
		// A heartbeat that is newer than all before shows that the upstream's process runs.
		g.down = false
	}
	g.mu.Unlock()
	if began {
		klog.InfoS("upstream: registered", "life", n.Life, "slots", n.Slots, "cold", n.ColdFor)
		g.pool.closeIdle()
	}
	if beganLeaving {
		klog.InfoS("upstream: leaving", "life", n.Life, "sequence", n.Sequence)
	}
	if began || beganLeaving {
		g.onChange()
	}
	return nil
}

// Assume takes the upstream for known until its first heartbeat arrives. It does nothing if one has arrived.
func (g *Gateway) Assume(r Registration) {
	g.mu.Lock()
	assumed := !g.registry.known
	if assumed {
		g.registry.current, g.registry.known = r, true
		g.scheduler.SetSlots(time.Now(), r.Slots)
	}
	g.mu.Unlock()
	if assumed {
		klog.InfoS("upstream: assumed until its first heartbeat", "life", r.Life, "slots", r.Slots)
		g.onChange()
	}
}

// Identify asks the upstream for its id at the path of its health check. It returns an empty id if the upstream isn't healthy.
func (g *Gateway) Identify(ctx context.Context, path string) (string, error) {
	status, header, err := g.Order(ctx, func(bool) Order { return Order{Method: http.MethodGet, Target: path} })
	if err != nil || status != http.StatusOK {
		return "", err
	}
	return g.protocol.Read(status, header).UpstreamID, nil
}

// Deregister takes the last message of an upstream. It serves for a short time yet, like one that said that it leaves.
func (g *Gateway) Deregister(id string) {
	g.mu.Lock()
	beganLeaving := g.registry.known && g.registry.current.ID == id && g.registry.startLeaving(time.Now())
	life := g.registry.current.Life
	g.mu.Unlock()
	if beganLeaving {
		klog.InfoS("upstream: deregistered", "life", life)
		g.onChange()
	}
}

// State is the upstream's state as its gateway sees it.
type State struct {
	Registration
	// Known is set once the upstream has registered.
	Known bool
	// Leaving is set once the upstream has said that it leaves.
	Leaving bool
	// Down is set while the upstream's address refuses connections.
	Down bool
}

// Usable reports whether the upstream takes new work.
func (s State) Usable() bool { return s.Known && !s.Leaving && !s.Down }

// State returns the upstream's state.
func (g *Gateway) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{Registration: g.registry.current, Known: g.registry.known, Leaving: g.registry.leaving, Down: g.down}
}
