package planner

import (
	"sapphiretray/member"
	"sapphiretray/placement"
)

// Kind is the kind of an event: one of the constants below, or a placement.Kind for a move.
type Kind string

// The kinds of events that aren't moves.
const (
	// Created means that the map of a service was created.
	Created Kind = "created"
	// Overridden means that a key got a partition of its own.
	Overridden Kind = "override"
	// Expired means that the record of a service's instance was marked as expired.
	Expired Kind = "expired"
	// Problem means that a rule can't be met or that the configuration has another number of partitions than the map.
	Problem Kind = "problem"
)

// Event reports a change that took effect, was held back or can't be made.
type Event struct {
	Service string
	Kind    Kind
	// Version is the map's version after the change, or 0 if the map wasn't changed.
	Version uint64
	// Partition is set for moves and for Overridden.
	Partition int
	// Old and New are the owners before and after a move. For Expired, Old is the expired incarnation.
	Old, New member.Incarnation
	// Reason is a text for operators.
	Reason string
	// Held is true for a move that was held back.
	Held bool
}

// planEvents returns the events of a plan that took effect.
func planEvents(service string, version uint64, created bool, plan placement.Plan) []Event {
	var events []Event
	if created {
		events = append(events, Event{Service: service, Kind: Created, Version: version, Reason: "the service is new"})
	}
	for _, o := range plan.Overrides {
		events = append(events, Event{
			Service: service, Kind: Overridden, Version: version, Partition: o.Partition, Reason: o.Reason,
		})
	}
	for _, c := range plan.Changes {
		events = append(events, Event{
			Service: service, Kind: Kind(c.Kind), Version: version, Partition: c.Move.Partition,
			Old: c.Old, New: c.New, Reason: c.Move.Reason,
		})
	}
	return events
}

// reportKey identifies a held move or a problem, so that it is reported once and not in each step while it lasts.
type reportKey struct {
	partition int
	kind      Kind
	text      string
}

// reportHeldAndProblems reports the held moves and the problems that the previous step didn't have.
func (p *Planner) reportHeldAndProblems(service string, plan placement.Plan) {
	p.mu.Lock()
	p.heldMoves[service] = plan.Held
	p.mu.Unlock()
	s := p.state(service)
	reported := make(map[reportKey]bool, len(plan.Held)+len(plan.Problems))
	for _, h := range plan.Held {
		// The key excludes the reason, which contains loads that differ in each step.
		key := reportKey{partition: h.Partition, kind: Kind(h.Kind)}
		if !s.reported[key] && !reported[key] {
			p.report(Event{
				Service: service, Kind: key.kind, Partition: h.Partition, Old: h.Old, New: h.New, Reason: h.Reason, Held: true,
			})
		}
		reported[key] = true
	}
	for _, text := range plan.Problems {
		key := reportKey{kind: Problem, text: text}
		if !s.reported[key] && !reported[key] {
			p.report(Event{Service: service, Kind: Problem, Reason: text})
		}
		reported[key] = true
	}
	s.reported = reported
}
