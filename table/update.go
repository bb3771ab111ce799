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
	// AnyVersion as Change.Seen applies a change to whichever version is in effect.
	AnyVersion = math.MaxUint64

	// historyLength is the number of earlier versions whose ChangeInfo is kept in a row.
	historyLength = 16
	// maxChangeLines and maxChangeBytes bound the lines of ChangeInfo.Changes and the bytes of each line.
	maxChangeLines = 20
	maxChangeBytes = 200
	// commitAttempts bounds how often a write is sent if its response is lost.
	commitAttempts = 4
	// commitRetryDelay is half of the delay before the second attempt; the delay doubles with each further one.
	commitRetryDelay = 100 * time.Millisecond
	// conflictAttempts bounds how often a change with AnyVersion is tried if other changes conflict with it.
	conflictAttempts = 10
)

// ChangeInfo records who made a version of a row, when and why, and what it changed.
type ChangeInfo struct {
	// Version increases by one with each accepted change, unlike Row.Version, which may skip numbers.
	Version uint64 `json:"version"`
	// ID is unique to one change. It shows whether a write took effect if the response to it was lost.
	ID      string    `json:"id"`
	By      string    `json:"by"`
	Why     string    `json:"why,omitempty"`
	At      time.Time `json:"at"`
	Changes []string  `json:"changes,omitempty"`
}

// String describes the change in one line.
func (c ChangeInfo) String() string {
	text := fmt.Sprintf("version %d by %s at %s", c.Version, c.By, c.At.Format(time.RFC3339))
	if c.Why != "" {
		text += " (" + c.Why + ")"
	}
	if len(c.Changes) > 0 {
		text += ": " + strings.Join(c.Changes, ", ")
	}
	return text
}

// Accepted is the content of a row that operators change. Version 0 means that no change was accepted yet.
type Accepted[T any] struct {
	ChangeInfo
	Value T `json:"value"`
	// History holds the ChangeInfo of earlier versions, newest first. It tells operators what others changed, and shows whether a write
	// took effect if its response was lost and others have changed the row since.
	History []ChangeInfo `json:"history,omitempty"`
}

// changeInfos returns the ChangeInfo of all versions that are still recorded, newest first.
func (a Accepted[T]) changeInfos() []ChangeInfo {
	return append([]ChangeInfo{a.ChangeInfo}, a.History...)
}

// Change is an operator's change of a row whose content is an Accepted.
type Change[T any] struct {
	// Seen is the version that the operator saw, or AnyVersion.
	Seen uint64
	// By is the operator's name and Why the reason for the change.
	By  string
	Why string
	// Next returns the new value, which will have the given version. If it fails, nothing is changed.
	Next func(current T, version uint64) (T, error)
	// Diff returns the differences of two values, one line for each field. It may be nil.
	Diff func(older, newer T) []string
}

// SupersededError means that the row was changed after the version that the operator saw.
type SupersededError struct {
	key         string
	seen        uint64
	changeInfos []ChangeInfo
}

// ChangeInfos returns the ChangeInfo of the versions after the one seen, newest first, as far as they are still recorded.
func (e *SupersededError) ChangeInfos() []ChangeInfo { return slices.Clone(e.changeInfos) }

// Error returns a text that names the row and lists the changes after the version seen.
func (e *SupersededError) Error() string {
	lines := []string{fmt.Sprintf("row %s was changed after version %d", e.key, e.seen)}
	for _, info := range e.changeInfos {
		lines = append(lines, info.String())
	}
	return strings.Join(lines, "; ")
}

// Read returns the content of a row that operators change. A row that doesn't exist yields version 0. Errors carry code.PlatformDown, or
// code.BadConfig for a malformed row.
func Read[T any](ctx context.Context, c *Client, key string) (Accepted[T], error) {
	row, err := c.Get(ctx, key)
	if err != nil {
		return Accepted[T]{}, err
	}
	return Decode[T](row)
}

// Decode returns the content of a row that operators change. A row that doesn't exist yields version 0, a malformed one an error with
// code.BadConfig.
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

// Update applies a change by compare-and-set and returns the new content. An error with code.Conflict wraps *SupersededError; with it
// and with code.PlatformDown nothing was changed. If the response to the write is lost, the row is read to find out whether the change
// took effect; code.WriteUnknown means that this failed, too. With AnyVersion the change is retried after a conflict.
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

// update tries a change once.
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
		return current, newSupersededError(key, change.Seen, current.changeInfos())
	}
	next, err := change.next(current)
	if err != nil {
		return current, err
	}
	return commit(ctx, c, row, next)
}

// next returns the row's content after the change.
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
		ChangeInfo: ChangeInfo{Version: version, ID: id.String(), By: c.By, Why: c.Why, At: time.Now().UTC()},
		Value:      value,
	}
	if c.Diff != nil {
		next.Changes = truncateChanges(c.Diff(current.Value, value))
	}
	if current.Version > 0 {
		changeInfos := current.changeInfos()
		next.History = changeInfos[:min(len(changeInfos), historyLength)]
	}
	return next, nil
}

// truncateChanges limits the lines that are kept in a row, since every instance reads it.
func truncateChanges(lines []string) []string {
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

// commit replaces the content of row by next. If the response is lost, it reads the row. If the row is unchanged, the write may still
// be in transit, so the same write is sent again with the same condition: at most one of them takes effect.
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
	for attempt := range commitAttempts {
		if attempt > 0 && !wait.For(ctx, commitRetryDelay<<attempt) {
			break
		}
		_, err := c.Commit(ctx, transaction)
		if err == nil {
			return next, nil
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) && len(conflict.Rows()) > 0 {
			return resolveWrite(conflict.Rows()[0], next)
		}
		if number, _ := code.Of(err); !lost && number != code.WriteUnknown {
			return next, err
		}
		lost = true
		if current, err := c.Get(ctx, row.Key); err == nil && current.Version != row.Version {
			return resolveWrite(current, next)
		}
	}
	return next, code.New(code.WriteUnknown, "row %s: the response to the write was lost and the row can't be read back", row.Key)
}

// resolveWrite determines from the ids in a row that was read after the write whether next took effect.
func resolveWrite[T any](row Row, next Accepted[T]) (Accepted[T], error) {
	current, err := Decode[T](row)
	if err != nil {
		return next, err
	}
	for _, info := range current.changeInfos() {
		switch {
		case info.ID == next.ID:
			return next, nil
		case info.Version == next.Version:
			return current, newSupersededError(row.Key, next.Version-1, current.changeInfos())
		}
	}
	return current, code.New(code.WriteUnknown, "row %s: version %d is in effect and no longer tells whether version %d was accepted",
		row.Key, current.Version, next.Version)
}

// newSupersededError returns a *SupersededError with code.Conflict, for the ChangeInfo of the versions after the one seen.
func newSupersededError(key string, seen uint64, changeInfos []ChangeInfo) error {
	e := &SupersededError{key: key, seen: seen}
	for _, info := range changeInfos {
		if info.Version > seen {
			e.changeInfos = append(e.changeInfos, info)
		}
	}
	return code.Wrap(code.Conflict, e, "not accepted")
}
