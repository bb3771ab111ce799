package planner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"sapphiretray/code"
	"sapphiretray/partition"
	"sapphiretray/table"
)

const (
	// MapPrefix is the prefix of the table keys of maps and of the names of their snapshots.
	MapPrefix = "map/"
	// MaxRowMoves is the maximum number of moves and overrides that a row lists. A change that would exceed it is written
	// with a new snapshot to the object store.
	MaxRowMoves = 256
)

// ErrNoMap means that no map of the service exists yet.
var ErrNoMap = errors.New("no map exists")

// Table is the part of the table service's client that the planner uses.
type Table interface {
	Get(ctx context.Context, key string) (table.Row, error)
	List(ctx context.Context, prefix string) ([]table.Row, error)
	Commit(ctx context.Context, transaction table.Transaction) ([]table.Row, error)
}

// ObjectStore is the part of the object store's client that the planner uses.
type ObjectStore interface {
	Put(ctx context.Context, name string, content []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// MapRow is the value of the row "map/<service>".
type MapRow struct {
	// Version is the version of the map after all batches.
	Version uint64 `json:"version"`
	// Partitions is the number of partitions that keys are hashed to.
	Partitions int `json:"partitions"`
	// Snapshot is the object name of the newest snapshot and SnapshotVersion the map's version in it. Without a snapshot the
	// map starts at version 0, in which no partition has an owner.
	Snapshot        string `json:"snapshot,omitempty"`
	SnapshotVersion uint64 `json:"snapshot_version,omitempty"`
	// Batches are the newest changes in order; the last one ends at Version. They include some older than the snapshot, so
	// that a reader that is a few versions behind needn't fetch it.
	Batches []Batch `json:"batches,omitempty"`
	// WriteID identifies the write of this row, so that a planner recognises its own write if the response was lost.
	WriteID string `json:"write"`
}

// Batch is the difference between two versions of a map.
type Batch struct {
	// BaseVersion is the version that the batch applies to and Version the one that it results in.
	BaseVersion uint64 `json:"after"`
	Version     uint64 `json:"version"`
	// WriteID identifies the write that added the batch.
	WriteID string `json:"write"`
	// Overrides lists the hashes of the keys that get a partition of their own, before the moves are made.
	Overrides []uint64         `json:"overrides,omitempty"`
	Moves     []partition.Move `json:"moves,omitempty"`
}

// size returns the number of moves and overrides.
func (b Batch) size() int { return len(b.Moves) + len(b.Overrides) }

// MapKey returns the table key of a service's map.
func MapKey(service string) string { return MapPrefix + service }

// DecodeMapRow decodes the value of a map's row. The error carries code.PlatformDown.
func DecodeMapRow(value json.RawMessage) (MapRow, error) {
	var row MapRow
	if err := json.Unmarshal(value, &row); err != nil {
		return row, code.Wrap(code.PlatformDown, err, "map row")
	}
	return row, nil
}

// LoadMap reads a service's map and returns it with the version of its row. The error wraps ErrNoMap if there is none.
func LoadMap(ctx context.Context, t Table, o ObjectStore, service string) (*partition.Map, uint64, error) {
	return RefreshMap(ctx, t, o, service, nil)
}

// RefreshMap is like LoadMap for a reader that has an older map, which may be nil. It fetches the snapshot only if the row's
// batches don't go back to the version of the old map. Errors of t and o are passed on, and the error wraps ErrNoMap if there is no map.
func RefreshMap(ctx context.Context, t Table, o ObjectStore, service string, old *partition.Map) (*partition.Map, uint64, error) {
	stored, err := t.Get(ctx, MapKey(service))
	if err != nil {
		return nil, 0, err
	}
	if stored.Version == 0 {
		return nil, 0, fmt.Errorf("service %s: %w", service, ErrNoMap)
	}
	row, err := DecodeMapRow(stored.Value)
	if err != nil {
		return nil, 0, err
	}
	m, err := row.Map(ctx, o, service, old)
	return m, stored.Version, err
}

// Map returns the map that the row describes. It applies the batches to old, which may be nil, if they go back to its
// version, and otherwise to the snapshot. Errors of o are passed on.
func (r MapRow) Map(ctx context.Context, o ObjectStore, service string, old *partition.Map) (*partition.Map, error) {
	if old != nil && old.Version() == r.Version {
		return old, nil
	}
	if old != nil && r.hasBatchFrom(old.Version()) {
		return r.applyBatches(old)
	}
	if r.Snapshot == "" {
		start, err := partition.New(service, r.Partitions)
		if err != nil {
			return nil, err
		}
		return r.applyBatches(start)
	}
	content, err := o.Get(ctx, r.Snapshot)
	if err != nil {
		return nil, err
	}
	start, err := partition.Decode(content)
	if err != nil {
		return nil, err
	}
	return r.applyBatches(start)
}

// hasBatchFrom reports whether one of the batches applies to the given version.
func (r MapRow) hasBatchFrom(version uint64) bool {
	for _, b := range r.Batches {
		if b.BaseVersion == version {
			return true
		}
	}
	return false
}

// applyBatches applies the batches that are newer than m.
func (r MapRow) applyBatches(m *partition.Map) (*partition.Map, error) {
	for _, b := range r.Batches {
		if b.BaseVersion != m.Version() {
			continue
		}
		next, err := m.Change(b.Version, b.Overrides, b.Moves)
		if err != nil {
			return nil, err
		}
		m = next
	}
	if m.Version() != r.Version {
		return nil, fmt.Errorf("map %s: batches end at version %d, want %d", m.Service(), m.Version(), r.Version)
	}
	return m, nil
}

// withBatch returns the row with a batch appended, and whether the row needs a new snapshot, whose name and version the
// calling function fills in. Of the batches that the snapshot covers, only the newest are kept, see trimBatches.
func (r MapRow) withBatch(b Batch) (MapRow, bool) {
	next := r
	next.Version, next.WriteID = b.Version, b.WriteID
	next.Batches = append(append([]Batch(nil), r.Batches...), b)
	changesSinceSnapshot := 0
	for _, batch := range next.Batches {
		if batch.Version > r.SnapshotVersion {
			changesSinceSnapshot += batch.size()
		}
	}
	needsSnapshot := changesSinceSnapshot > MaxRowMoves
	snapshotVersion := r.SnapshotVersion
	if needsSnapshot {
		snapshotVersion = b.Version
	}
	next.trimBatches(snapshotVersion)
	return next, needsSnapshot
}

// trimBatches drops the oldest batches up to the version in the snapshot until the rest fits in MaxRowMoves. Each batch
// counts as one more than its size, so that batches without changes count, too.
func (r *MapRow) trimBatches(snapshotVersion uint64) {
	size := 0
	for _, b := range r.Batches {
		size += b.size() + 1
	}
	for len(r.Batches) > 0 && size > MaxRowMoves && r.Batches[0].Version <= snapshotVersion {
		size -= r.Batches[0].size() + 1
		r.Batches = r.Batches[1:]
	}
}
