package table

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"sapphiretray/code"
	"sapphiretray/wait"

	"github.com/oklog/ulid/v2"
)

const (
	// AnyVersion as Change.Seen applies a change to the version in effect, whichever it is.
	AnyVersion = math.MaxUint64

	historyLength    = 16
	maxChangeLines   = 20
	maxChangeBytes   = 200
	settleAttempts   = 4
	settleDelay      = 100 * time.Millisecond
	conflictAttempts = 10
)

// Stamp says who accepted a version of a row, when, why, and what it changed.
type Stamp struct {
	// Version grows by one with each accepted change; the row's version in the table service may skip numbers.
	Version uint64 `json:"version"`
	// ID is unique to one change. It shows whether a write took effect whose answer was lost.
	ID      string    `json:"id"`
	By      string    `json:"by"`
	Why     string    `json:"why,omitempty"`
	At      time.Time `json:"at"`
	Changes []string  `json:"changes,omitempty"`
}

// String describes the stamp in one line.
func (s Stamp) String() string {
	text := fmt.Sprintf("version %d by %s at %s", s.Version, s.By, s.At.Format(time.RFC3339))
	if s.Why != "" {
		text += " (" + s.Why + ")"
	}
	if len(s.Changes) > 0 {
		text += ": " + strings.Join(s.Changes, ", ")
	}
	return text
}

// Accepted is the content of a row that operators change. Version 0 means that nothing was accepted yet.
type Accepted[T any] struct {
	Stamp
	Value T `json:"value"`
	// History holds the stamps of earlier versions, newest first. It tells operators what others changed, and settles a
	// lost answer when another change came in between.
	History []Stamp `json:"history,omitempty"`
}

// stamps returns the stamps of the versions still known, newest first.
func (a Accepted[T]) stamps() []Stamp { return append([]Stamp{a.Stamp}, a.History...) }

// Change is a change of a row that operators accept.
type Change[T any] struct {
	// Seen is the version that the operator saw, or AnyVersion.
	Seen uint64
	By   string
	Why  string
	// Next returns the new value, which will have the given version. Its error ends the change.
	Next func(current T, version uint64) (T, error)
	// Diff lists what differs, one line for each field.
	Diff func(older, newer T) []string
}

// SupersededError means that another version than the one seen is in effect.
type SupersededError struct {
	key    string
	seen   uint64
	stamps []Stamp
}

// Stamps returns the stamps of the versions that followed the one seen, newest first, as far as they are known.
func (e *SupersededError) Stamps() []Stamp { return slices.Clone(e.stamps) }

// Error says who changed what and when.
func (e *SupersededError) Error() string {
	lines := []string{fmt.Sprintf("row %s was changed after version %d", e.key, e.seen)}
	for _, s := range e.stamps {
		lines = append(lines, s.String())
	}
	return strings.Join(lines, "; ")
}

// Read returns a row that operators change.
func Read[T any](ctx context.Context, c *Client, key string) (Accepted[T], error) {
	row, err := c.Get(ctx, key)
	if err != nil {
		return Accepted[T]{}, err
	}
	return Decode[T](row)
}

// Decode returns the content of a row that operators change; a row that doesn't exist yields version 0.
func Decode[T any](row Row) (Accepted[T], error) {
	var accepted Accepted[T]
	if row.Version == 0 {
		return accepted, nil
	}
	if err := json.Unmarshal(row.Value, &accepted); err != nil {
		return Accepted[T]{}, code.Wrap(code.BadConfig, err, "row %s", row.Key)
	}
	return accepted, nil
}

// Update accepts one change by compare-and-set. An error with code.Conflict wraps *SupersededError; with it and with
// code.PlatformDown nothing was accepted. A lost answer is settled by reading back; code.WriteUnknown means that this
// failed too. With AnyVersion the change is tried again after a conflict.
func Update[T any](ctx context.Context, c *Client, key string, change Change[T]) (Accepted[T], error) {
	var accepted Accepted[T]
	var err error
	for range conflictAttempts {
		accepted, err = update(ctx, c, key, change)
		if number, _ := code.Of(err); change.Seen != AnyVersion || number != code.Conflict {
			break
		}
	}
	return accepted, err
}

func update[T any](ctx context.Context, c *Client, key string, change Change[T]) (Accepted[T], error) {
	row, err := c.Get(ctx, key)
	if err != nil {
		return Accepted[T]{}, err
	}
	current, err := Decode[T](row)
	if err != nil {
		return current, err
	}
	if change.Seen != AnyVersion && change.Seen != current.Version {
		return current, superseded(key, change.Seen, current.stamps())
	}
	next, err := change.next(current)
	if err != nil {
		return current, err
	}
	return commit(ctx, c, row, next)
}

func (c Change[T]) next(current Accepted[T]) (Accepted[T], error) {
	version := current.Version + 1
	value, err := c.Next(current.Value, version)
	if err != nil {
		return current, err
	}
	id, err := ulid.New(ulid.Now(), rand.Reader)
	if err != nil {
		return current, err
	}
	next := Accepted[T]{
		Stamp: Stamp{Version: version, ID: id.String(), By: c.By, Why: c.Why, At: time.Now().UTC()},
		Value: value,
	}
	if c.Diff != nil {
		next.Changes = shorten(c.Diff(current.Value, value))
	}
	if current.Version > 0 {
		stamps := current.stamps()
		next.History = stamps[:min(len(stamps), historyLength)]
	}
	return next, nil
}

// shorten bounds the lines kept in the row, which every instance reads.
func shorten(lines []string) []string {
	kept := slices.Clone(lines[:min(len(lines), maxChangeLines)])
	for n, line := range kept {
		if len(line) > maxChangeBytes {
			kept[n] = strings.ToValidUTF8(line[:maxChangeBytes], "") + "..."
		}
	}
	if more := len(lines) - len(kept); more > 0 {
		kept = append(kept, fmt.Sprintf("and %d more", more))
	}
	return kept
}

// commit writes next in place of row. After a lost answer it reads the row back. If the row is unchanged, the first
// write may still be on its way, so the same write is repeated under the same condition: at most one of them commits.
func commit[T any](ctx context.Context, c *Client, row Row, next Accepted[T]) (Accepted[T], error) {
	value, err := json.Marshal(next)
	if err != nil {
		return next, code.Wrap(code.BadConfig, err, "encode row %s", row.Key)
	}
	transaction := Transaction{
		Conditions: []Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []Write{{Key: row.Key, Value: value}},
	}
	lost := false
	for attempt := range settleAttempts {
		if attempt > 0 && !wait.For(ctx, settleDelay<<attempt) {
			break
		}
		_, err := c.Commit(ctx, transaction)
		if err == nil {
			return next, nil
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) && len(conflict.Rows()) > 0 {
			return settle(conflict.Rows()[0], next)
		}
		if number, _ := code.Of(err); !lost && number != code.WriteUnknown {
			return next, err
		}
		lost = true
		if back, err := c.Get(ctx, row.Key); err == nil && back.Version != row.Version {
			return settle(back, next)
		}
	}
	return next, code.New(code.WriteUnknown, "row %s: the answer to the write was lost and can't be read back", row.Key)
}

// settle decides by the ids in a row that was read after the write whether next was accepted.
func settle[T any](row Row, next Accepted[T]) (Accepted[T], error) {
	current, err := Decode[T](row)
	if err != nil {
		return next, err
	}
	for _, s := range current.stamps() {
		switch {
		case s.ID == next.ID:
			return next, nil
		case s.Version == next.Version:
			return current, superseded(row.Key, next.Version-1, current.stamps())
		}
	}
	return current, code.New(code.WriteUnknown, "row %s: version %d is in effect and no longer tells whether version %d was accepted",
		row.Key, current.Version, next.Version)
}

func superseded(key string, seen uint64, stamps []Stamp) error {
	e := &SupersededError{key: key, seen: seen}
	for _, s := range stamps {
		if s.Version > seen {
			e.stamps = append(e.stamps, s)
		}
	}
	return code.Wrap(code.Conflict, e, "not accepted")
}
