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

// maxEndedRuns is the number of ended runs, and of departures, that are remembered for delayed heartbeats of these runs.
const maxEndedRuns = 16

// departure is the announcement of a run that it leaves, and when it was made.
type departure struct {
	run UpstreamRun
	at  time.Time
}

// includes reports whether the departure is that of a run. Without a start time, it is that of all runs with the id that had started by
// then: the upstream and its instance use the clock of one machine.
func (d departure) includes(run UpstreamRun) bool {
	if d.run.Started == 0 && run.Started > d.at.UnixMilli() {
		return false
	}
	return d.run.Same(run)
}

// registry tracks the registrations of the upstream.
type registry struct {
	current      Registration
	known        bool
	leaving      bool
	leavingSince time.Time
	endedRuns    []UpstreamRun
	// departures are those of runs that weren't registered at the time. A heartbeat from before may arrive later.
	departures []departure
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
		if r.leaving && n.Started > r.leavingSince.UnixMilli() {
			// An earlier run with the id was assumed, which had left.
			r.leaving, r.leavingSince = false, time.Time{}
		}
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
	switch left, ok := r.departureOf(n.UpstreamRun); {
	case ok:
		beganLeaving = r.startLeaving(left)
	case n.Leaving:
		beganLeaving = r.startLeaving(now)
	}
	return newRun, beganLeaving
}

// depart records that a run leaves, and reports whether it is the current one and wasn't known to leave.
func (r *registry) depart(d departure) bool {
	if r.known && d.run.Same(r.current.UpstreamRun) {
		return r.startLeaving(d.at)
	}
	r.departures = append(r.departures, d)
	if len(r.departures) > maxEndedRuns {
		r.departures = r.departures[1:]
	}
	return false
}

// departureOf returns when a run announced that it leaves before it was registered, and false if it didn't.
func (r *registry) departureOf(run UpstreamRun) (time.Time, bool) {
	for _, d := range r.departures {
		if d.includes(run) {
			return d.at, true
		}
	}
	return time.Time{}, false
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
		if left, ok := g.registry.departureOf(r.UpstreamRun); ok {
			g.registry.startLeaving(left)
		}
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

// Deregister processes the deregistration of a run of the upstream, which is its last message. The run then counts as leaving and still
// serves requests for a short time, also if it registers later: its first heartbeat may be delayed, and a process that has just started
// knows of no run.
func (g *Gateway) Deregister(run UpstreamRun) { g.DeregisterAt(run, time.Now()) }

// DeregisterAt is like Deregister for a deregistration at an earlier time.
func (g *Gateway) DeregisterAt(run UpstreamRun, at time.Time) {
	if run.ID == "" {
		return
	}
	g.mu.Lock()
	known := g.registry.known
	beganLeaving := g.registry.depart(departure{run: run, at: at})
	current := g.registry.current.UpstreamRun
	g.mu.Unlock()
	klog.InfoS("upstream: deregistered", "life", run, "known", known, "current", current, "beganLeaving", beganLeaving)
	if beganLeaving {
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
	// LeavingSince is when Leaving was announced.
	LeavingSince time.Time
	// Down is set while the upstream's address refuses connections.
	Down bool
}

// Usable reports whether the upstream accepts new requests.
func (s State) Usable() bool { return s.Known && !s.Leaving && !s.Down }

// State returns the upstream's state.
func (g *Gateway) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{
		Registration: g.registry.current, Known: g.registry.known, Leaving: g.registry.leaving, LeavingSince: g.registry.leavingSince,
		Down: g.down,
	}
}
