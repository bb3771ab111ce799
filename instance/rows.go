package instance

import (
	"cmp"
	"slices"
	"sync"

	"sapphiretray/table"
)

// rowCache caches the rows of the table. A row is only replaced by a newer version of itself, so an outdated response of
// another instance can't revert it.
type rowCache struct {
	mu       sync.RWMutex
	byKey    map[string]table.Row
	revision uint64
}

// merge adds the rows that were written after the revision since, and returns those that changed the cache, by ascending
// version. Changes since a revision later than the cache's own would leave a gap and are ignored.
func (r *rowCache) merge(since uint64, changes table.Changes) []table.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since > r.revision {
		return nil
	}
	if r.byKey == nil {
		r.byKey = make(map[string]table.Row)
	}
	var changed []table.Row
	for _, row := range changes.Rows {
		if row.Version > r.byKey[row.Key].Version {
			r.byKey[row.Key] = row
			changed = append(changed, row)
		}
	}
	r.revision = max(r.revision, changes.Revision)
	slices.SortFunc(changed, func(a, b table.Row) int { return cmp.Compare(a.Version, b.Version) })
	return changed
}

// Revision returns the revision up to which the cache holds all rows.
func (r *rowCache) Revision() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.revision
}

// changesSince returns the rows that were written after a revision.
func (r *rowCache) changesSince(revision uint64) table.Changes {
	r.mu.RLock()
	defer r.mu.RUnlock()
	changes := table.Changes{Rows: []table.Row{}, Revision: r.revision}
	for _, row := range r.byKey {
		if row.Version > revision {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes
}

// get returns a row; its version is 0 if it doesn't exist.
func (r *rowCache) get(key string) table.Row {
	r.mu.RLock()
	defer r.mu.RUnlock()
	row := r.byKey[key]
	row.Key = key
	return row
}
