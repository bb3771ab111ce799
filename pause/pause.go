// Package pause holds the operators' pauses of automatic moves.
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
	// All stands for all services.
	All = "*"
)

// Pause says who paused a service or all, when and why.
type Pause struct {
	By  string    `json:"by"`
	Why string    `json:"why,omitempty"`
	At  time.Time `json:"at"`
}

// State holds the pauses in effect. The zero value pauses nothing.
type State struct {
	pauses map[string]Pause
}

// Paused returns the pause that holds back the moves of a service, and false if there is none. A pause of the service
// itself comes before a pause of all.
func (s State) Paused(service string) (Pause, bool) {
	if p, ok := s.pauses[service]; ok {
		return p, true
	}
	p, ok := s.pauses[All]
	return p, ok
}

// Targets returns the services that are paused by name, and All if all are, sorted.
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

func (s State) with(target string, p Pause) State {
	next := State{pauses: map[string]Pause{target: p}}
	for other, q := range s.pauses {
		if other != target {
			next.pauses[other] = q
		}
	}
	return next
}

func (s State) without(target string) State {
	next := State{pauses: maps.Clone(s.pauses)}
	delete(next.pauses, target)
	return next
}

// Load returns the pauses in effect.
func Load(ctx context.Context, c *table.Client) (table.Accepted[State], error) {
	return table.Read[State](ctx, c, RowKey)
}

// Set pauses a service, or All. Pausing must not wait for an operator to look at others' changes, so it applies to
// whichever version is in effect. Pausing what is paused replaces who and why.
func Set(ctx context.Context, c *table.Client, target, who, why string) (table.Accepted[State], error) {
	if target == "" {
		return table.Accepted[State]{}, code.New(code.BadRequest, "no service is named")
	}
	p := Pause{By: who, Why: why, At: time.Now().UTC()}
	return change(ctx, c, who, why, func(s State, _ uint64) (State, error) { return s.with(target, p), nil })
}

// Clear ends the pause of a service, or of All; pauses of single services outlast the pause of all. It returns
// code.BadRequest if there is no such pause.
func Clear(ctx context.Context, c *table.Client, target, who, why string) (table.Accepted[State], error) {
	return change(ctx, c, who, why, func(s State, _ uint64) (State, error) {
		if _, ok := s.pauses[target]; !ok {
			return s, code.New(code.BadRequest, "%q isn't paused", target)
		}
		return s.without(target), nil
	})
}

func change(
	ctx context.Context, c *table.Client, who, why string, next func(State, uint64) (State, error),
) (table.Accepted[State], error) {
	return table.Update(ctx, c, RowKey, table.Change[State]{
		Seen: table.AnyVersion, By: who, Why: why, Next: next,
		Diff: func(older, newer State) []string { return document.Diff(older, newer) },
	})
}
