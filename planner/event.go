package planner

import (
	"sapphiretray/member"
	"sapphiretray/placement"
)

// Kind says what an event is about: a kind of move of package placement, or one of the following.
type Kind string

// The kinds of events beside the kinds of moves.
const (
	// Created means that the map of a service was created.
	Created Kind = "created"
	// Overridden means that a key got a partition of its own.
	Overridden Kind = "override"
	// Expired means that an incarnation was recorded as expired.
	Expired Kind = "expired"
	// Problem means that a rule can't be met.
	Problem Kind = "problem"
)

// Event is one change that took effect, was held back or can't be made.
type Event struct {
	Service string
	Kind    Kind
	// Version is the map's version after the change, 0 for changes that were held back.
	Version   uint64
	Partition int
	Old, New  member.Incarnation
	Reason    string
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

// notice identifies something that is reported when it begins and not again in each step while it lasts.
type notice struct {
	partition int
	kind      Kind
	text      string
}

// reportWaiting reports moves held back and problems that the last step didn't have.
func (p *Planner) reportWaiting(service string, plan placement.Plan) {
	p.mu.Lock()
	p.held[service] = plan.Held
	p.mu.Unlock()
	s := p.state(service)
	noticed := make(map[notice]bool, len(plan.Held)+len(plan.Problems))
	for _, h := range plan.Held {
		// The reason is left out, because it names loads that change all the time.
		n := notice{partition: h.Partition, kind: Kind(h.Kind)}
		if !s.noticed[n] && !noticed[n] {
			p.report(Event{
				Service: service, Kind: n.kind, Partition: h.Partition, Old: h.Old, New: h.New, Reason: h.Reason, Held: true,
			})
		}
		noticed[n] = true
	}
	for _, text := range plan.Problems {
		n := notice{kind: Problem, text: text}
		if !s.noticed[n] && !noticed[n] {
			p.report(Event{Service: service, Kind: Problem, Reason: text})
		}
		noticed[n] = true
	}
	s.noticed = noticed
}
