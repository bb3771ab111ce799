// Package pause stores the pauses by which operators hold back automatic moves of partitions.
package pause

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"sapphiretray/code"
	"sapphiretray/document"
	"sapphiretray/table"
)

const (
	// RowKey is the table key of the pauses.
	RowKey = "pause"
	// All is the target that stands for all services.
	All = "*"
)

// Pause records who paused a service, or all services, and when and why.
type Pause struct {
	By  string    `json:"by"`
	Why string    `json:"why,omitempty"`
	At  time.Time `json:"at"`
}

// State holds the pauses in effect. The zero value pauses nothing.
type State struct {
	pauses map[string]Pause
}

// Paused returns the pause that applies to a service, and false if there is none. A pause of the service itself takes precedence
// over a pause of all services.
func (s State) Paused(service string) (Pause, bool) {
	if p, ok := s.pauses[service]; ok {
		return p, true
	}
	p, ok := s.pauses[All]
	return p, ok
}

// Targets returns the targets of the pauses, sorted: names of services, and All for a pause of all services.
func (s State) Targets() []string { return slices.Sorted(maps.Keys(s.pauses)) }

// MarshalJSON writes an object with one field for each target.
func (s State) MarshalJSON() ([]byte, error) {
	if s.pauses == nil {
		return []byte("{}"), nil
	}
	return json.Marshal(s.pauses)
}

// UnmarshalJSON is the inverse of MarshalJSON.
func (s *State) UnmarshalJSON(content []byte) error { return json.Unmarshal(content, &s.pauses) }

// with returns the state with a pause of the target added or replaced.
func (s State) with(target string, p Pause) State {
	next := State{pauses: map[string]Pause{target: p}}
	for other, pause := range s.pauses {
		if other != target {
			next.pauses[other] = pause
		}
	}
	return next
}

// without returns the state without the pause of the target.
func (s State) without(target string) State {
	next := State{pauses: maps.Clone(s.pauses)}
	delete(next.pauses, target)
	return next
}

// Load returns the pauses in effect. Errors carry the codes of table.Read.
func Load(ctx context.Context, c *table.Client) (table.Accepted[State], error) {
	return table.Read[State](ctx, c, RowKey)
}

// Set pauses a service, or all services with the target All. An operator must be able to pause at once, without reviewing the
// changes of others, so Set applies to whichever version is in effect. A pause of a target that is paused already replaces the
// earlier one. Errors carry code.BadRequest for an empty target, and otherwise the codes of table.Update.
func Set(ctx context.Context, c *table.Client, target, who, why string) (table.Accepted[State], error) {
	if target == "" {
		return table.Accepted[State]{}, code.New(code.BadRequest, "the name of the service is missing")
	}
	p := Pause{By: who, Why: why, At: time.Now().UTC()}
	return change(ctx, c, who, why, func(s State, _ uint64) (State, error) { return s.with(target, p), nil })
}

// Clear ends the pause with the given target. Clearing All doesn't end the pauses of single services. Errors carry
// code.BadRequest if there is no such pause, and otherwise the codes of table.Update.
func Clear(ctx context.Context, c *table.Client, target, who, why string) (table.Accepted[State], error) {
	return change(ctx, c, who, why, func(s State, _ uint64) (State, error) {
		if _, ok := s.pauses[target]; !ok {
			return s, code.New(code.BadRequest, "%q isn't paused", target)
		}
		return s.without(target), nil
	})
}

// change applies next to the pauses in effect.
func change(
	ctx context.Context, c *table.Client, who, why string, next func(State, uint64) (State, error),
) (table.Accepted[State], error) {
	return table.Update(ctx, c, RowKey, table.Change[State]{
		Seen: table.AnyVersion, By: who, Why: why, Next: next,
		Diff: func(older, newer State) []string { return document.Diff(older, newer) },
	})
}
