package sidecar

import (
	"context"
	"errors"
	"slices"

	"sapphiretray/store"
)

// replaceRow replaces the given version of a row and returns the new version. After a conflict with a row that already has the
// value, because an earlier attempt was committed, it returns that row's version. If the outcome is unknown, it returns
// store.ErrUnknown, and the store's change feed shows the outcome later.
func (sc *Sidecar) replaceRow(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	version, err := sc.adapters.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Table: TableName, Key: key, Version: version}},
		Writes:     []store.Write{{Table: TableName, Key: key, Value: value}},
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		sc.rows.Merge([]store.Row{{Table: TableName, Key: key, Value: value, Version: version}})
	case errors.As(err, &conflict):
		sc.rows.MergeConflict(conflict)
		if row := sc.rows.Get(key); isCurrent(conflict, row) && string(row.Value) == string(value) {
			return row.Version, nil
		}
	}
	return version, err
}

// confirmRow returns nil if the store still has a version of a row. A transaction shows that even while the store's feed is behind.
func (sc *Sidecar) confirmRow(ctx context.Context, key string, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := sc.adapters.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Table: TableName, Key: key, Version: version}},
	})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		sc.rows.MergeConflict(conflict)
	}
	return err
}

// isCurrent reports whether a known row is not one that the store no longer had at the time of a conflict.
func isCurrent(conflict *store.ConflictError, known store.Row) bool {
	return !slices.ContainsFunc(conflict.Rows(), func(row store.Row) bool { return row.Key == known.Key && row.Version == 0 })
}
