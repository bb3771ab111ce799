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
	// MaxRowMoves is the number of moves that a row lists; with more the map goes to the object store.
	MaxRowMoves = 256
)

// ErrNoMap means that no map of the service exists yet.
var ErrNoMap = errors.New("no map exists")

// Table is the part of the table service's client that is used here.
type Table interface {
	Get(ctx context.Context, key string) (table.Row, error)
	List(ctx context.Context, prefix string) ([]table.Row, error)
	Commit(ctx context.Context, transaction table.Transaction) ([]table.Row, error)
}

// Objects is the part of the object store's client that is used here.
type Objects interface {
	Put(ctx context.Context, name string, content []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// MapRow is the value of the row "map/<service>".
type MapRow struct {
	// Version is the version of the map after all batches.
	Version uint64 `json:"version"`
	// Partitions is the number of partitions that keys are hashed to.
	Partitions int `json:"partitions"`
	// Snapshot names the newest snapshot; without one the map starts at version 0 with no owners.
	Snapshot        string `json:"snapshot,omitempty"`
	SnapshotVersion uint64 `json:"snapshot_version,omitempty"`
	// Batches lead from an older version to Version. They reach back beyond the snapshot, so that a reader that is a few
	// versions behind doesn't fetch the snapshot.
	Batches []Batch `json:"batches,omitempty"`
	// Write identifies the write, by which a planner recognises its own after a lost answer.
	Write string `json:"write"`
}

// Batch is the difference between two versions of a map.
type Batch struct {
	After     uint64           `json:"after"`
	Version   uint64           `json:"version"`
	Write     string           `json:"write"`
	Overrides []uint64         `json:"overrides,omitempty"`
	Moves     []partition.Move `json:"moves,omitempty"`
}

func (b Batch) size() int { return len(b.Moves) + len(b.Overrides) }

// MapKey returns the table key of a service's map.
func MapKey(service string) string { return MapPrefix + service }

// DecodeMapRow decodes a row's value.
func DecodeMapRow(value json.RawMessage) (MapRow, error) {
	var row MapRow
	if err := json.Unmarshal(value, &row); err != nil {
		return row, code.Wrap(code.PlatformDown, err, "map row")
	}
	return row, nil
}

// Load reads a service's map and returns it with the version of its row. The error wraps ErrNoMap if there is none.
func Load(ctx context.Context, t Table, o Objects, service string) (*partition.Map, uint64, error) {
	return Refresh(ctx, t, o, service, nil)
}

// Refresh is like Load for a reader that has an older map, which may be nil: the snapshot is fetched only if the row's
// batches don't reach back to the old map.
func Refresh(ctx context.Context, t Table, o Objects, service string, old *partition.Map) (*partition.Map, uint64, error) {
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

// Map returns the map that a row describes. It starts from old, which may be nil, if the batches reach back to it.
func (r MapRow) Map(ctx context.Context, o Objects, service string, old *partition.Map) (*partition.Map, error) {
	if old != nil && old.Version() == r.Version {
		return old, nil
	}
	if old != nil && r.reaches(old.Version()) {
		return r.follow(old)
	}
	if r.Snapshot == "" {
		start, err := partition.New(service, r.Partitions)
		if err != nil {
			return nil, err
		}
		return r.follow(start)
	}
	content, err := o.Get(ctx, r.Snapshot)
	if err != nil {
		return nil, err
	}
	start, err := partition.Decode(content)
	if err != nil {
		return nil, err
	}
	return r.follow(start)
}

func (r MapRow) reaches(version uint64) bool {
	for _, b := range r.Batches {
		if b.After == version {
			return true
		}
	}
	return false
}

// follow applies the batches after m's version.
func (r MapRow) follow(m *partition.Map) (*partition.Map, error) {
	for _, b := range r.Batches {
		if b.After != m.Version() {
			continue
		}
		next, err := m.Change(b.Version, b.Overrides, b.Moves)
		if err != nil {
			return nil, err
		}
		m = next
	}
	if m.Version() != r.Version {
		return nil, fmt.Errorf("map %s: batches lead to version %d, want %d", m.Service(), m.Version(), r.Version)
	}
	return m, nil
}

// next returns the row after a batch and whether it needs a new snapshot, whose name the caller fills in. With a snapshot
// only the newest batches are kept, up to MaxRowMoves.
func (r MapRow) next(b Batch) (MapRow, bool) {
	next := r
	next.Version, next.Write = b.Version, b.Write
	next.Batches = append(append([]Batch(nil), r.Batches...), b)
	since := 0
	for _, batch := range next.Batches {
		if batch.Version > r.SnapshotVersion {
			since += batch.size()
		}
	}
	snapshot := since > MaxRowMoves
	covered := r.SnapshotVersion
	if snapshot {
		covered = b.Version
	}
	next.trim(covered)
	return next, snapshot
}

// trim drops the oldest batches that the snapshot covers while the row is too long. Empty batches count as one move.
func (r *MapRow) trim(covered uint64) {
	size := 0
	for _, b := range r.Batches {
		size += b.size() + 1
	}
	for len(r.Batches) > 0 && size > MaxRowMoves && r.Batches[0].Version <= covered {
		size -= r.Batches[0].size() + 1
		r.Batches = r.Batches[1:]
	}
}
