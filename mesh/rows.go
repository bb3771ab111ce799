package mesh

import (
	"context"
	"errors"

	"sapphiretray/store"
)

// replaceRow writes a value over a version of a row and returns the new version. If the outcome is unknown, the feed shows it;
// if an earlier try with the same value turns out to have been carried out, its version is returned.
func (m *Mesh) replaceRow(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	version, err := m.adapters.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Table: Table, Key: key, Version: version}},
		Writes:     []store.Write{{Table: Table, Key: key, Value: value}},
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		m.rows.Merge([]store.Row{{Table: Table, Key: key, Value: value, Version: version}})
	case errors.As(err, &conflict):
		m.rows.Merge(conflict.Rows())
		if row := m.rows.Get(key); string(row.Value) == string(value) {
			return row.Version, nil
		}
	}
	return version, err
}
