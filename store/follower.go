package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"sapphiretray/wait"

	"k8s.io/klog/v2"
)

const (
	// feedWait is how long one call waits for changes. Longer calls save calls; an end is needed because a call may hang.
	feedWait = 20 * time.Second
	// lazyInterval is the pause between two looks elsewhere while changes aren't awaited, and storeInterval the time after which the store
	// is asked all the same: copies elsewhere may be cut off from it.
	lazyInterval  = 6 * time.Second
	storeInterval = time.Minute
	// settleTime is the pause between two calls for changes. Changes come in groups, and each call is priced.
	settleTime = 250 * time.Millisecond
	// minRetry and maxRetry bound the pause after a failed call. The longest is well below the time within which a
	// configuration has to be in force after an outage.
	minRetry = 100 * time.Millisecond
	maxRetry = 800 * time.Millisecond
)

// Follower keeps a copy of one table. Create it with NewFollower.
type Follower struct {
	store   Store
	table   string
	changed func(rows []Row)
	eager   func() bool
	// elsewhere merges rows of another copy, while changes aren't awaited.
	elsewhere func(ctx context.Context, f *Follower) bool
	// asked is when the store was last asked. Only Run uses it.
	asked time.Time

	// delivering keeps the calls of changed in order.
	delivering sync.Mutex

	mu        sync.Mutex
	rows      map[string]Row
	version   uint64
	newest    uint64
	listed    bool
	reachable bool
	refreshed chan struct{}
}

// NewFollower returns a follower that calls changed, in order and from one goroutine at a time, with each batch of rows that are
// newer than those known before. Deleted rows have Deleted set.
func NewFollower(s Store, table string, changed func(rows []Row), options ...Option) *Follower {
	f := &Follower{
		store: s, table: table, changed: changed, rows: make(map[string]Row), refreshed: make(chan struct{}),
		eager: func() bool { return true },
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Option changes a Follower under construction.
type Option func(*Follower)

// WithEager sets a function that tells whether changes are awaited at the store. While it returns false, elsewhere is called after each
// pause of lazyInterval to merge rows of another copy. The store is only asked when elsewhere returns false, or has not been asked for
// storeInterval.
func WithEager(eager func() bool, elsewhere func(ctx context.Context, f *Follower) bool) Option {
	return func(f *Follower) { f.eager, f.elsewhere = eager, elsewhere }
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	retry := minRetry
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case err == nil:
			retry = minRetry
		case ctx.Err() != nil:
		case errors.Is(err, ErrHistoryLost):
			klog.InfoS("store: history lost, listing the table again", "table", f.table, "version", f.Version())
			f.relist()
		default:
			f.report(err)
			wait.For(ctx, retry/2+rand.N(retry/2))
			retry = min(2*retry, maxRetry)
		}
	}
}

func (f *Follower) step(ctx context.Context) error {
	f.mu.Lock()
	listed, after := f.listed, f.version
	f.mu.Unlock()
	if !listed {
		f.asked = time.Now()
		rows, version, err := f.store.List(ctx, f.table)
		if err != nil {
			return err
		}
		f.replace(rows, version)
		return nil
	}
	longest, rest := feedWait, settleTime
	if !f.eager() {
		longest, rest = 0, lazyInterval
		if time.Since(f.asked) < storeInterval && f.elsewhere(ctx, f) {
			f.rest(ctx, rest)
			return nil
		}
	}
	f.asked = time.Now()
	rows, version, err := f.store.Changes(ctx, f.table, after, longest)
	if err != nil {
		return err
	}
	f.report(nil)
	f.Merge(rows)
	f.mu.Lock()
	f.version = max(f.version, version)
	f.mu.Unlock()
	f.rest(ctx, rest)
	return nil
}

// rest waits for a time, or until the follower is to await changes.
func (f *Follower) rest(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); ctx.Err() == nil && time.Now().Before(end); {
		wait.For(ctx, min(settleTime, time.Until(end)))
		if d > settleTime && f.eager() {
			return
		}
	}
}

// replace takes a full listing. Rows that were known and are missing from it were deleted.
func (f *Follower) replace(rows []Row, version uint64) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	f.mu.Lock()
	for key, row := range f.rows {
		if !present[key] && row.Version <= version && !row.Deleted {
			rows = append(rows, Row{Table: f.table, Key: key, Version: version, Deleted: true})
		}
	}
	f.mu.Unlock()
	f.Merge(rows)
	f.mu.Lock()
	f.version, f.listed = max(f.version, version), true
	close(f.refreshed)
	f.refreshed = make(chan struct{})
	f.mu.Unlock()
	f.report(nil)
}

func (f *Follower) relist() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = false
}

// report logs when the store is lost and when it is back.
func (f *Follower) report(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil && !f.reachable:
		klog.InfoS("store: reachable", "table", f.table, "version", f.version)
	case err != nil && f.reachable:
		klog.InfoS("store: lost", "table", f.table, "version", f.version, "err", err)
	}
	f.reachable = err == nil
}

// Merge takes rows from elsewhere, such as another instance or the answer to a transaction. Rows that aren't newer than the
// known ones are ignored.
func (f *Follower) Merge(rows []Row) {
	f.delivering.Lock()
	defer f.delivering.Unlock()
	if newer := f.take(rows); len(newer) > 0 && f.changed != nil {
		f.changed(newer)
	}
}

// MergeUpTo takes all rows after Version of a copy that is complete up to the given version.
func (f *Follower) MergeUpTo(rows []Row, version uint64) {
	f.Merge(rows)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listed {
		f.version = max(f.version, version)
	}
}

// take stores the rows that are newer than the known ones and returns them.
func (f *Follower) take(rows []Row) []Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	newer := make([]Row, 0, len(rows))
	for _, row := range rows {
		if known, ok := f.rows[row.Key]; ok && row.Version <= known.Version || row.Version == 0 {
			continue
		}
		row.Table = f.table
		f.rows[row.Key] = row
		f.newest = max(f.newest, row.Version)
		newer = append(newer, row)
	}
	return newer
}

// Get returns a row; one that isn't known has version 0.
func (f *Follower) Get(key string) Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	row, ok := f.rows[key]
	if !ok {
		return Row{Table: f.table, Key: key}
	}
	return row
}

// After returns the known rows that are newer than a version.
func (f *Follower) After(version uint64) []Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []Row
	for _, row := range f.rows {
		if row.Version > version {
			rows = append(rows, row)
		}
	}
	return rows
}

// Version returns the version up to which the copy is complete, as far as the store has said.
func (f *Follower) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// Newest returns the version of the newest row that is known.
func (f *Follower) Newest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

// Table returns the table's name.
func (f *Follower) Table() string { return f.table }

// Reachable reports whether the last call to the store succeeded.
func (f *Follower) Reachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachable
}

// Wait returns once the table has been listed since the start, or the error of ctx.
func (f *Follower) Wait(ctx context.Context) error {
	f.mu.Lock()
	listed, refreshed := f.listed, f.refreshed
	f.mu.Unlock()
	if listed {
		return nil
	}
	select {
	case <-refreshed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
