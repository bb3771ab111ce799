package sidecar

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"sapphiretray/keyspace"
	"sapphiretray/store"
	"sapphiretray/wait"
)

const (
	ownerConfigTable = "config"
	ownerConfigKey   = "routes"
)

// ownerStore is a store whose calls fail in the ways of the platform's. The model's mutex guards its fields.
type ownerStore struct {
	m       *ownerModel
	version uint64
	rows    map[string]store.Row
	// history holds all changes in order. Those up to the version dropped are not returned any more.
	history []ownerChange
	dropped uint64
	// era is the number of times that the store has come back from a copy.
	era uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	// downUntil is when all calls succeed again, and troubledUntil when writes do.
	downUntil, troubledUntil time.Time
	keys                     *keyspace.Map
}

// ownerChange is a change of a row and its time.
type ownerChange struct {
	row store.Row
	at  time.Time
}

func newOwnerStore(m *ownerModel) *ownerStore {
	return &ownerStore{m: m, rows: make(map[string]store.Row)}
}

// ownerStoreClient is the store as one process sees it. It implements store.Backend.
type ownerStoreClient struct {
	*ownerStore
	process *ownerProcess
}

var errOwnerNoAnswer = fmt.Errorf("no answer: %w", store.ErrUnavailable)

// isDown reports whether a call of the process fails. The model's mutex must be held.
func (s ownerStoreClient) isDown() bool {
	now := time.Now()
	return now.Before(s.downUntil) || now.Before(s.process.node.storeDownUntil)
}

// begin waits until a call arrives at the store, and returns an error if it doesn't.
func (s ownerStoreClient) begin(ctx context.Context, kind string) (*draws, error) {
	if !s.process.awaitRunning() {
		return nil, store.ErrUnavailable
	}
	var d *draws
	var down bool
	s.m.locked(func() {
		d, down = s.m.draw("store", kind, s.process.node.slot), s.isDown()
	})
	switch {
	case !wait.For(ctx, d.between(2*time.Millisecond, 25*time.Millisecond)):
		return nil, fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	case down && d.chance(0.5):
		wait.For(ctx, d.between(500*time.Millisecond, 3*time.Second))
		return nil, errOwnerNoAnswer
	case down:
		return nil, store.ErrUnavailable
	}
	return d, nil
}

// Outcomes of a write.
const (
	ownerWriteDone = iota
	ownerWriteAnswerLost
	ownerWriteLate
	ownerWriteRefused
	ownerWriteSlow
	ownerWriteOutcomes
)

// response returns a response with the era of now. The model's mutex must be held.
func (s *ownerStore) response(rows []store.Row, version uint64) store.Response {
	return store.Response{Rows: rows, Version: version, Arrived: true, Era: strconv.FormatUint(s.era, 10)}
}

// Commit implements store.Backend.
func (s ownerStoreClient) Commit(ctx context.Context, t store.Transaction) (store.Response, error) {
	var response store.Response
	d, err := s.begin(ctx, "commit")
	if err != nil {
		return response, err
	}
	outcome := ownerWriteDone
	s.m.locked(func() {
		chance := 0.03
		if time.Now().Before(s.troubledUntil) {
			chance = 0.6
		}
		if s.m.faulty && d.chance(chance) {
			outcome = 1 + d.IntN(ownerWriteOutcomes-1)
		}
		switch outcome {
		case ownerWriteDone, ownerWriteAnswerLost, ownerWriteSlow:
			var version uint64
			version, err = s.apply(t, s.process.name)
			response = s.response(nil, version)
		case ownerWriteLate:
			delay := d.between(100*time.Millisecond, 4*time.Second)
			s.m.group.Go(func() {
				time.Sleep(delay)
				s.m.locked(func() { _, _ = s.apply(t, s.process.name+", late") })
			})
		}
	})
	switch outcome {
	case ownerWriteAnswerLost, ownerWriteLate:
		wait.For(ctx, d.between(10*time.Millisecond, 4*time.Second))
		response, err = store.Response{}, store.ErrUnknown
	case ownerWriteRefused:
		response, err = store.Response{}, store.ErrUnavailable
	case ownerWriteSlow:
		if !wait.For(ctx, d.between(50*time.Millisecond, 1500*time.Millisecond)) {
			response, err = store.Response{}, store.ErrUnknown
		}
	default:
		if !wait.For(ctx, d.between(2*time.Millisecond, 25*time.Millisecond)) {
			response, err = store.Response{}, store.ErrUnknown
		}
	}
	s.process.awaitRunning()
	return response, err
}

// apply carries out a transaction if its conditions hold. The model's mutex must be held.
func (s *ownerStore) apply(t store.Transaction, writer string) (uint64, error) {
	var current []store.Row
	conflict := false
	for _, c := range t.Conditions {
		row, ok := s.rows[c.Key]
		if !ok || row.Deleted {
			row = store.Row{Table: c.Table, Key: c.Key}
		}
		conflict = conflict || row.Version != c.Version
		current = append(current, row)
	}
	if conflict {
		return 0, store.NewConflictError(current)
	}
	s.version++
	for _, w := range t.Writes {
		row := store.Row{Table: w.Table, Key: w.Key, Value: w.Value, Version: s.version, Deleted: w.Delete}
		s.rows[w.Key] = row
		s.history = append(s.history, ownerChange{row, time.Now()})
		s.recordRow(row, writer)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil
}

// recordRow adds a written row to the time line.
func (s *ownerStore) recordRow(row store.Row, writer string) {
	if row.Key != keyspace.RowKey(ownerService) {
		s.m.record("%s writes row %d, %s, deleted: %v", writer, row.Version, row.Key, row.Deleted)
		return
	}
	keys, err := keyspace.Decode(row.Value, store.NewVersion(s.era, row.Version))
	if err != nil {
		s.m.record("%s writes row %d, invalid: %v", writer, row.Version, err)
		return
	}
	s.m.totals["maps"]++
	for _, e := range keys.Entries() {
		if old, ok := s.keys.Find(e.First); ok && old.Epoch == e.Epoch && len(old.Previous) == len(e.Previous) {
			continue
		}
		s.m.recordKeys(e.Range, "%s writes map %d, row %d: %v gets %v, epoch %d, previous %v", writer, keys.Version(), row.Version,
			e.Owner(), e.Range, e.Epoch, e.Previous)
	}
	s.keys = keys
}

// List implements store.Backend. The table with the configuration belongs to another store, which loses nothing.
func (s ownerStoreClient) List(ctx context.Context, table string) (store.Response, error) {
	if table == ownerConfigTable {
		rows, version := s.m.listOperatorRows()
		return store.Response{Rows: rows, Version: version, Arrived: true}, nil
	}
	d, err := s.begin(ctx, "list")
	if err != nil {
		return store.Response{}, err
	}
	var response store.Response
	s.m.locked(func() {
		response = s.response(nil, s.version)
		for _, row := range s.rows {
			if !row.Deleted {
				response.Rows = append(response.Rows, row)
			}
		}
	})
	if !wait.For(ctx, d.between(2*time.Millisecond, 25*time.Millisecond)) {
		return store.Response{}, store.ErrUnavailable
	}
	s.process.awaitRunning()
	return response, nil
}

// Changes implements store.Backend.
func (s ownerStoreClient) Changes(ctx context.Context, table string, after uint64, poll time.Duration) (store.Response, error) {
	if table == ownerConfigTable {
		wait.For(ctx, poll)
		return store.Response{Version: after, Arrived: true}, ctx.Err()
	}
	d, err := s.begin(ctx, "changes")
	if err != nil {
		return store.Response{}, err
	}
	end := time.Now().Add(poll)
	for {
		var response store.Response
		var changed chan struct{}
		var pause time.Duration
		var lost bool
		s.m.locked(func() {
			var rows []store.Row
			var version uint64
			rows, version, pause = s.changesAfter(after, s.process.node.feedLag)
			response = s.response(rows, version)
			changed, lost = s.changed, after < s.dropped || after > s.version
		})
		if lost {
			return response, store.ErrHistoryLost
		}
		if left := time.Until(end); len(response.Rows) == 0 && left > 0 {
			ctx, cancel := context.WithTimeout(ctx, min(left, pause))
			select {
			case <-changed:
			case <-ctx.Done():
			}
			cancel()
		}
		if ctx.Err() != nil {
			return store.Response{}, fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
		}
		if len(response.Rows) > 0 || !time.Now().Before(end) {
			if err := s.awaitFeed(ctx, d); err != nil {
				return store.Response{}, err
			}
			s.process.awaitRunning()
			return response, nil
		}
	}
}

// changesAfter returns the visible changes after a version, the version up to which the store is visible, and how long it takes until more
// may be visible. The model's mutex must be held.
func (s *ownerStore) changesAfter(after uint64, lag time.Duration) (rows []store.Row, version uint64, pause time.Duration) {
	version, pause = after, time.Minute
	for _, c := range s.history {
		if hidden := lag - time.Since(c.at); hidden > 0 {
			return rows, version, hidden
		}
		if c.row.Version > after {
			rows, version = append(rows, c.row), c.row.Version
		}
	}
	return slices.Clone(rows), version, pause
}

var errOwnerReset = errors.New("connection reset")

// awaitFeed waits while the feed of the process is silent, after which the call may fail.
func (s ownerStoreClient) awaitFeed(ctx context.Context, d *draws) error {
	var until time.Time
	s.m.locked(func() { until = s.process.node.feedSilentUntil })
	if silent := time.Until(until); silent > 0 {
		wait.For(ctx, silent)
		if ctx.Err() != nil || d.chance(0.6) {
			return fmt.Errorf("%w: %w", store.ErrUnavailable, errOwnerReset)
		}
	}
	return nil
}
