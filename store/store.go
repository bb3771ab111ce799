// Package store is the interface to the platform's transactional rows, which hold everything that must outlast a process,
// and the follower that keeps a copy of one table.
package store

import (
	"context"
	"errors"
	"time"
)

// Row is one row of a table. Version 0 means that the row doesn't exist.
type Row struct {
	Table   string
	Key     string
	Value   []byte
	Version uint64
	// Deleted marks a row that Changes reports as dropped.
	Deleted bool
}

// Condition requires a row to have a version when a transaction commits; version 0 requires that it doesn't exist.
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

// Transaction is a set of writes that takes effect whole if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

var (
	// ErrUnavailable means that the store did nothing: it refused the call or can't be reached.
	ErrUnavailable = errors.New("the store is unavailable")
	// ErrUnknown means that a write was not answered: it may have taken effect, or may still do so while its conditions hold.
	ErrUnknown = errors.New("the outcome of the write is unknown")
	// ErrHistoryLost means that the changes after a version are no longer kept, so the table has to be listed again.
	ErrHistoryLost = errors.New("the store no longer has the changes asked for")
)

// ConflictError holds the current rows of a transaction's conditions, at least one of which did not hold.
type ConflictError struct {
	rows []Row
}

// NewConflictError returns the error of a transaction that did nothing because rows stand differently.
func NewConflictError(rows []Row) *ConflictError { return &ConflictError{rows: rows} }

// Rows returns the rows as they stand.
func (e *ConflictError) Rows() []Row { return e.rows }

// Error implements error.
func (e *ConflictError) Error() string { return "the rows were changed by someone else" }

// Store is a client of the platform's store. Its methods return ErrUnavailable or ErrUnknown, wrapped, for failed calls.
type Store interface {
	// Commit runs a transaction and returns its version. A failed condition yields a *ConflictError.
	Commit(ctx context.Context, t Transaction) (uint64, error)
	// List returns all rows of a table and the newest version.
	List(ctx context.Context, table string) ([]Row, uint64, error)
	// Changes waits up to a time for rows that were written after a version, and returns them in order together with the
	// version from which to continue. It returns ErrHistoryLost if changes were dropped.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
}
