package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"k8s.io/klog/v2"
)

// UpstreamRun identifies one run of an upstream's process. The same id with another start time is another run, which has none of the
// earlier one's state.
type UpstreamRun struct {
	ID string
	// Started is the start time in Unix milliseconds, or 0 if unknown.
	Started int64
}

// IsZero reports whether no run is identified.
func (r UpstreamRun) IsZero() bool { return r == UpstreamRun{} }

// Same reports whether both may identify the same run. An unknown start time matches any.
func (r UpstreamRun) Same(other UpstreamRun) bool {
	return r.ID == other.ID && (r.Started == other.Started || r.Started == 0 || other.Started == 0)
}

// String returns the id and the start time, as ID@MILLISECONDS.
func (r UpstreamRun) String() string { return fmt.Sprintf("%s@%d", r.ID, r.Started) }

// Registration is what an upstream declares about itself in a heartbeat.
type Registration struct {
	UpstreamRun
	Service string
	// Address is the host:port at which the upstream accepts requests.
	Address    string
	DataCentre string
	// SoftwareVersion is the version of the upstream's software.
	SoftwareVersion string
	// Slots is the number of requests that the upstream can run at once.
	Slots int
	// Leaving is set if the upstream will stop shortly. Until then it serves requests.
	Leaving bool
	// ColdFor is the remaining time during which the upstream is slow after its start, and ColdUnknown is set if it isn't known.
	ColdFor     time.Duration
	ColdUnknown bool
	// Sequence increases with each heartbeat of a run.
	Sequence uint64
}

// maxEndedRuns is the number of ended runs that are remembered, so that their delayed heartbeats are ignored.
const maxEndedRuns = 16

// registry tracks the registrations of the upstream.
type registry struct {
	current      Registration
	known        bool
	leaving      bool
	leavingSince time.Time
	endedRuns    []UpstreamRun
}

// observe records a registration, and reports whether it is the first of a new run and whether the upstream began to leave.
// Registrations that are older than the current one are ignored.
func (r *registry) observe(now time.Time, n Registration) (newRun, beganLeaving bool) {
	for _, run := range r.endedRuns {
		if run == n.UpstreamRun {
			return false, false
		}
	}
	switch {
	case r.known && r.current.Started == 0 && n.ID == r.current.ID:
		r.current = n
	case !r.known || n.Started > r.current.Started:
		if r.known {
			r.recordEnd(r.current.UpstreamRun)
		}
		r.current, r.known, r.leaving, r.leavingSince = n, true, false, time.Time{}
		newRun = true
	case n.UpstreamRun != r.current.UpstreamRun, n.Sequence <= r.current.Sequence:
		return false, false
	default:
		r.current = n
	}
	if n.Leaving {
		beganLeaving = r.startLeaving(now)
	}
	return newRun, beganLeaving
}

// startLeaving records that the current run will stop shortly, and reports whether that wasn't known before.
func (r *registry) startLeaving(now time.Time) bool {
	if r.leaving {
		return false
	}
	r.leaving, r.leavingSince = true, now
	return true
}

// recordEnd adds a run to the ended ones.
func (r *registry) recordEnd(run UpstreamRun) {
	r.endedRuns = append(r.endedRuns, run)
	if len(r.endedRuns) > maxEndedRuns {
		r.endedRuns = r.endedRuns[1:]
	}
}

// Register processes a heartbeat of the upstream. It returns an error if the heartbeat is from another upstream.
func (g *Gateway) Register(n Registration) error {
	if n.Service != g.service || n.Address != g.pool.address {
		return fmt.Errorf("heartbeat is from %s at %s, which isn't the upstream of this instance", n.Service, n.Address)
	}
	g.mu.Lock()
	newRun, beganLeaving := g.registry.observe(time.Now(), n)
	if newRun {
		g.scheduler.SetSlots(time.Now(), n.Slots)
	}
	if newRun || g.registry.current.Sequence == n.Sequence {
		// A heartbeat newer than all previous ones shows that the upstream's process is running.
		g.down = false
		g.observeCold(time.Now(), n.ColdFor, newRun, sourceHeartbeat)
	}
	g.mu.Unlock()
	if newRun {
		klog.InfoS("upstream: registered", "life", n.UpstreamRun, "slots", n.Slots, "cold", n.ColdFor)
		g.pool.closeIdle()
		g.control.closeIdle()
	}
	if beganLeaving {
		klog.InfoS("upstream: leaving", "life", n.UpstreamRun, "sequence", n.Sequence)
	}
	if newRun || beganLeaving {
		g.onChange()
	}
	return nil
}

// Assume uses an assumed registration until the upstream's first heartbeat arrives. It does nothing if one has arrived already.
func (g *Gateway) Assume(r Registration) {
	g.mu.Lock()
	assumed := !g.registry.known
	if assumed {
		g.registry.current, g.registry.known = r, true
		g.scheduler.SetSlots(time.Now(), r.Slots)
		if !r.ColdUnknown {
			g.observeCold(time.Now(), r.ColdFor, true, sourceHealthCheck)
		}
	}
	g.mu.Unlock()
	if assumed {
		klog.InfoS("upstream: registration assumed until the first heartbeat", "life", r.UpstreamRun, "slots", r.Slots)
		g.onChange()
	}
}

// HealthReport is the response of a healthy upstream to a health check.
type HealthReport struct {
	// ID is the upstream's id, or empty if the upstream isn't healthy or doesn't send it.
	ID string
	// ColdFor is how much longer the upstream stays cold. ColdKnown is set if the upstream is healthy and the value can be read.
	ColdFor   time.Duration
	ColdKnown bool
}

// CheckHealth sends a health check to the given path. The report of an unhealthy upstream is empty. The error is that of the connection.
func (g *Gateway) CheckHealth(ctx context.Context, path string) (HealthReport, error) {
	g.mu.Lock()
	g.scheduler.CountUnscheduled(time.Now())
	g.mu.Unlock()
	status, header, err := g.SendControlRequestOnce(ctx, ControlRequest{Method: http.MethodGet, Target: path})
	if err != nil || status != http.StatusOK {
		return HealthReport{}, err
	}
	info := g.protocol.Read(status, header)
	if info.ColdErr != nil {
		klog.InfoS("upstream: cold time ignored", "id", info.UpstreamID, "err", info.ColdErr, "source", sourceHealthCheck)
	}
	return HealthReport{ID: info.UpstreamID, ColdFor: info.ColdFor, ColdKnown: info.ColdErr == nil}, nil
}

// Deregister processes the deregistration of the upstream with the given id, which is its last message. The upstream then counts as
// leaving and still serves requests for a short time.
func (g *Gateway) Deregister(id string) {
	g.mu.Lock()
	beganLeaving := g.registry.known && g.registry.current.ID == id && g.registry.startLeaving(time.Now())
	run := g.registry.current.UpstreamRun
	g.mu.Unlock()
	if beganLeaving {
		klog.InfoS("upstream: deregistered", "life", run)
		g.onChange()
	}
}

// State is the upstream's state as known to its gateway.
type State struct {
	Registration
	// Known is set once the upstream has registered or is assumed.
	Known bool
	// Leaving is set once the upstream has announced that it leaves, or has deregistered. It hides Registration.Leaving, which only
	// says what the newest heartbeat contained.
	Leaving bool
	// Down is set while the upstream's address refuses connections.
	Down bool
}

// Usable reports whether the upstream accepts new requests.
func (s State) Usable() bool { return s.Known && !s.Leaving && !s.Down }

// State returns the upstream's state.
func (g *Gateway) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{Registration: g.registry.current, Known: g.registry.known, Leaving: g.registry.leaving, Down: g.down}
}
