package instance

import (
	"cmp"
	"slices"
	"sync"

	"sapphiretray/table"
)

// rows caches the rows of the table. A row is only ever replaced by a newer version of itself, so nothing that was accepted
// reverts, whichever peer an answer comes from.
type rows struct {
	mu       sync.RWMutex
	byKey    map[string]table.Row
	revision uint64
}

// merge takes the rows that were written after a revision, and returns those that are new here. Changes that start after the
// cache's own revision would leave a gap and are ignored.
func (r *rows) merge(after uint64, changes table.Changes) []table.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after > r.revision {
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
func (r *rows) Revision() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.revision
}

// after returns the rows that were written after a revision.
func (r *rows) after(revision uint64) table.Changes {
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

// get returns a row; one that doesn't exist has version 0.
func (r *rows) get(key string) table.Row {
	r.mu.RLock()
	defer r.mu.RUnlock()
	row := r.byKey[key]
	row.Key = key
	return row
}
