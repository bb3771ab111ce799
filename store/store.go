// Package store defines the interface to the platform's transactional store, which holds all state that must outlive a process, and a
// follower that keeps a local copy of one table.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Row is one row of a table. Version 0 means that the row doesn't exist.
type Row struct {
	Table   string
	Key     string
	Value   []byte
	Version uint64
	// Deleted means that the row was deleted at Version. Lost is set for a while if it isn't known to have been deleted: it was missing
	// when the store began an era, and its writer may write it again.
	Deleted bool
	Lost    bool
}

// maxDecodedRows bounds the rows that DecodeRows accepts: many short ones take a multiple of their size. A store has one row for each
// instance and service.
const maxDecodedRows = 64 << 10

var errTooManyRows = fmt.Errorf("more than %d rows", maxDecodedRows)

// DecodeRows decodes rows from JSON, which another process has encoded. It returns an error if there are too many.
func DecodeRows(content []byte) ([]Row, error) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	begin, err := decoder.Token()
	if err != nil {
		return nil, fmt.Errorf("decode rows: %w", err)
	}
	if begin == nil {
		// The JSON of an empty slice may be null.
		return nil, nil
	}
	if begin != json.Delim('[') {
		return nil, fmt.Errorf("decode rows: %v instead of an array", begin)
	}
	var rows []Row
	for decoder.More() {
		if len(rows) == maxDecodedRows {
			return nil, errTooManyRows
		}
		var r Row
		if err := decoder.Decode(&r); err != nil {
			return nil, fmt.Errorf("decode rows: %w", err)
		}
		rows = append(rows, r)
	}
	if _, err := decoder.Token(); err != nil {
		return nil, fmt.Errorf("decode rows: %w", err)
	}
	return rows, nil
}

// Condition requires that a row has a version when a transaction commits; version 0 requires that it doesn't exist.
type Condition struct {
	Table   string
	Key     string
	Version uint64
}

// Write sets or deletes a row.
type Write struct {
	Table  string
	Key    string
	Value  []byte
	Delete bool
}

// Transaction is a set of writes that is applied atomically if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

var (
	// ErrUnavailable means that the call had no effect: the store refused it or can't be reached.
	ErrUnavailable = errors.New("the store is unavailable")
	// ErrUnknown means that there was no response to a write: it may have taken effect, or may still do so while its conditions hold.
	ErrUnknown = errors.New("the outcome of the write is unknown")
	// ErrHistoryLost means that the store no longer keeps the changes after a version, so that the table must be listed again.
	ErrHistoryLost = errors.New("the store no longer keeps the requested changes")
)

// ConflictError holds the current rows of a transaction's conditions, at least one of which did not hold.
type ConflictError struct {
	rows []Row
}

// NewConflictError returns the error of a transaction that had no effect because a condition did not hold. rows are the current rows
// of its conditions.
func NewConflictError(rows []Row) *ConflictError { return &ConflictError{rows: rows} }

// Rows returns the current rows of the transaction's conditions.
func (e *ConflictError) Rows() []Row { return e.rows }

// Error implements error.
func (e *ConflictError) Error() string { return "the rows were changed by another writer" }

// Store is a client of the platform's store. The errors of failed calls wrap ErrUnavailable or ErrUnknown.
type Store interface {
	// Commit runs a transaction and returns its version. A failed condition yields a *ConflictError.
	Commit(ctx context.Context, t Transaction) (uint64, error)
	// List returns all rows of a table and the version up to which the listing is complete. A row whose version can't be read has
	// version 0.
	List(ctx context.Context, table string) ([]Row, uint64, error)
	// Changes returns the rows of a table that were written after a version, in order, and the version to pass to the next call. If
	// there are none, it waits for some for up to the given time. It returns ErrHistoryLost if the store no longer keeps all of
	// these changes.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
}
