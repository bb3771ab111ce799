package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sapphiretray/wait"

	"k8s.io/klog/v2"
)

const (
	// longPollWait is the longest time that one call to the store waits for changes. A longer wait saves calls; it is bounded because
	// without a response nothing tells whether there are none.
	longPollWait = 20 * time.Second
	// pollSpread is the share of the wait of which a random part is left out. All calls end at each change, and without it the followers of
	// a deployment would confirm their copies at the same moments only.
	pollSpread = 0.25
	// peerMergeInterval is the pause between two merges from a peer while the follower doesn't watch the store.
	peerMergeInterval = 6 * time.Second
	// storeInterval is the time after which a follower that doesn't watch the store still calls it even if peers respond, because they
	// may be cut off from the store.
	storeInterval = time.Minute
	// unreachableInterval takes its place after a failed call. An instance neither plans nor joins again while the store counts as
	// unreachable.
	unreachableInterval = peerMergeInterval
	// waitTolerance is the ratio of the rest of a wait to the longest one allowed up to which LimitWait lets the call wait.
	waitTolerance = 2
	// batchInterval is the pause between two calls for changes. Changes come in groups, and each call to the store is billed.
	batchInterval = 250 * time.Millisecond
	// disputeInterval is the shortest time between two listings because of conflicts. A row whose version can't be read conflicts again
	// and again.
	disputeInterval = time.Second
	// lostRowTime is how long a row that the store has lost may be missing before it counts as deleted. Its writer writes it again within a
	// second after it has learned of the loss, and the operator soon.
	lostRowTime = 10 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay after a failed call, of which a random part of up to half is left out. The longest
	// is well below the time within which a configuration has to be in effect after an outage.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// Follower keeps a local copy of one table up to date. Create it with NewFollower.
type Follower struct {
	store       Store
	table       string
	changed     func(rows []Row, d Delivery)
	shouldWatch func() bool
	// maxWait returns how long a call may wait for changes.
	maxWait func() time.Duration
	// mergeFromPeer merges rows from a peer's copy and reports whether one responded. It is called while shouldWatch returns false.
	mergeFromPeer func(ctx context.Context, f *Follower) bool
	// lastStoreCall is when the store was last called, preferred the source to read from next, or empty for the usual one, and slowLink
	// whether the last transfer of rows took long. Only Run uses them.
	lastStoreCall time.Time
	preferred     Source
	slowLink      bool
	// refusals is the number of calls for changes that failed with a response or without a connection since the last one that was answered,
	// and losses that of those that found the history lost since the last one that succeeded. Only Run uses them.
	refusals, losses int

	// mergeMu keeps the calls of changed in order.
	mergeMu sync.Mutex

	mu   sync.Mutex
	rows map[string]Row
	// version is the version up to which the copy is complete.
	version uint64
	// changesFrom is the version of the last listing that raised version. A listing doesn't tell which rows were removed before, so that
	// all changes are known only from this version on.
	changesFrom uint64
	// newest is the version of the newest row, which may be above version.
	newest uint64
	// gaps holds the versions above version that are known to exist, in ascending order.
	gaps []gap
	// logTimer calls logIncomplete; nil before the first gap. loggedIncomplete means that it has logged the present gaps.
	logTimer         *time.Timer
	loggedIncomplete bool
	// open is the call to the store that hasn't ended, or nil.
	open *call
	// abandoned is the number of calls abandoned since the last successful one, and latency how long the store took for the last response
	// that was due at once.
	abandoned int
	latency   time.Duration
	// unknown is the newest version that was expected and that the store was found not to have, and when the listing began that showed it.
	unknown gap
	// responded is when the last successful call ended, and doubtSince when the first call began that failed since then, zero if none did.
	responded, doubtSince time.Time
	stats                 Stats
	// listed is false until the table has been listed, and again after the store has lost the changes that are needed next, or when the
	// copy has a row that the store doesn't have.
	listed    bool
	reachable bool
	// disputed is when the copy was last found to have a row that the store doesn't have.
	disputed time.Time
	// listings is closed and replaced at each listing.
	listings chan struct{}
}

// NewFollower returns a follower of a table. It calls changed, which may be nil, with each batch of rows that are newer than those
// known before, in order and from one goroutine at a time. Deleted rows have Deleted set. Those that the store has lost have Lost set, too,
// and are passed once more without it if they aren't written again.
func NewFollower(s Store, table string, changed func(rows []Row, d Delivery), options ...Option) *Follower {
	f := &Follower{
		store: s, table: table, changed: changed, rows: make(map[string]Row), listings: make(chan struct{}),
		shouldWatch: func() bool { return true }, maxWait: func() time.Duration { return longPollWait },
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Option configures a Follower.
type Option func(*Follower)

// WithWatch sets a function that reports whether the follower watches the store, that is, waits there for changes with long polling.
// While it returns false, mergeFromPeer is called at intervals of peerMergeInterval to merge rows from a peer's copy; it reports
// whether a peer responded. The store is then called only if mergeFromPeer returns false, or if the last call was storeInterval ago, or
// unreachableInterval if it failed. Without this option a follower always watches.
func WithWatch(shouldWatch func() bool, mergeFromPeer func(ctx context.Context, f *Follower) bool) Option {
	return func(f *Follower) { f.shouldWatch, f.mergeFromPeer = shouldWatch, mergeFromPeer }
}

// WithMaxWait sets a function that returns how long a call may wait for changes at the store, at most 20 s, which is the default. It is
// called for each call. A copy is out of date without a sign of it for up to this time, plus the time that a response may take, if the
// store no longer knows of the call or the connection is dead.
func WithMaxWait(maxWait func() time.Duration) Option {
	return func(f *Follower) { f.maxWait = func() time.Duration { return min(maxWait(), longPollWait) } }
}

// LimitWait begins the open call for changes, if any, again if it would wait much longer than the function of WithMaxWait now allows.
func (f *Follower) LimitWait() {
	longest := f.maxWait()
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.open
	if c == nil || c.source != SourceChanges || c.lacksRows || c.waited.Load() > 0 {
		return
	}
	if c.wait-time.Since(c.started) > waitTolerance*longest {
		c.superseded = true
		c.cancel()
	}
}

// Run keeps the copy up to date until ctx ends. It retries failed calls.
func (f *Follower) Run(ctx context.Context) {
	retry := minRetryDelay
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case err == nil:
			// Listings may be answered while calls for changes are refused.
			if f.refusals == 0 {
				retry = minRetryDelay
			}
		case ctx.Err() != nil:
		case errors.Is(err, errAbandoned), errors.Is(err, errSuperseded):
		case errors.Is(err, ErrHistoryLost):
			klog.InfoS("store: history lost, listing the table again", "table", f.table, "version", f.Version())
			f.relist()
		default:
			f.setReachable(err)
			waitAbout(ctx, retry)
			retry = min(2*retry, maxRetryDelay)
		}
	}
}

// step lists the table, calls the store for changes, or merges rows from a peer, and then pauses.
func (f *Follower) step(ctx context.Context) error {
	watch := f.shouldWatch()
	if f.nextSource(watch) == SourceListing {
		return f.list(ctx)
	}
	pollWait, pause := spread(f.maxWait()), batchInterval
	if f.InDoubt() || f.refusals > 0 {
		// While the store doesn't answer, a call that may wait there would hang long after it answers others again. After refused calls,
		// one that is answered at once shows that calls for changes succeed.
		pollWait = 0
	}
	if !watch {
		pollWait, pause = 0, peerMergeInterval
		interval := storeInterval
		if !f.Reachable() {
			interval = unreachableInterval
		}
		if time.Since(f.lastStoreCall) < interval && f.mergeFromPeer(ctx, f) {
			f.pause(ctx, pause)
			return nil
		}
	}
	rows, version, d, err := f.call(ctx, SourceChanges, pollWait, func(ctx context.Context) ([]Row, uint64, error) {
		return f.store.Changes(ctx, f.table, f.Version(), pollWait)
	})
	if err != nil {
		return err
	}
	f.refusals, f.losses = 0, 0
	f.setReachable(nil)
	f.merge(rows, d)
	f.mu.Lock()
	f.doubtSince = time.Time{}
	f.advance(version)
	f.mu.Unlock()
	if f.slowLink && haveSuperseded(rows) {
		// Rows change faster than the link transfers all of the changes.
		f.preferred = SourceListing
	}
	f.pause(ctx, pause)
	return nil
}

// waitAbout waits for a time of which a random part of up to half is left out, or until ctx ends.
func waitAbout(ctx context.Context, d time.Duration) { wait.For(ctx, d/2+rand.N(d/2)) }

// spread returns a wait without a random part of up to pollSpread.
func spread(wait time.Duration) time.Duration {
	return wait - time.Duration(pollSpread*rand.Float64()*float64(wait))
}

// pause waits for a time. A pause longer than batchInterval ends early when the follower should watch the store or list the table.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); ctx.Err() == nil && time.Now().Before(end); {
		wait.For(ctx, min(batchInterval, time.Until(end)))
		if d > batchInterval && (f.shouldWatch() || !f.isListed()) {
			return
		}
	}
}

// applyListing merges a full listing as of a version, and reports whether it had newer rows than those known. Known rows that are
// missing from it were deleted or, if they are of an earlier era, lost.
func (f *Follower) applyListing(rows []Row, version uint64, d Delivery) (newer bool) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	f.mu.Lock()
	listed, lost := len(rows), 0
	for key, row := range f.rows {
		if present[key] || row.Version > version || row.Deleted {
			continue
		}
		missing := Row{Table: f.table, Key: key, Version: version, Deleted: true, Lost: Era(row.Version) < Era(version)}
		if missing.Lost {
			lost++
		}
		rows = append(rows, missing)
	}
	if before := max(f.newest, f.version); before > 0 && Era(before) < Era(version) {
		klog.InfoS("store: table listed in a new era", "table", f.table, "from", Era(before), "to", Era(version),
			"newest", Counter(before), "listed", Counter(version), "rows", listed, "lost", lost)
	}
	f.mu.Unlock()
	newer = f.merge(rows, d)
	f.mu.Lock()
	if version > f.version {
		f.changesFrom = version
	}
	f.advance(version)
	f.listed = true
	// Those who wait for the listing then find the store reachable.
	if f.refusals == 0 {
		f.noteReachable(nil)
	}
	close(f.listings)
	f.listings = make(chan struct{})
	f.mu.Unlock()
	return newer
}

// relist makes the next step list the table.
func (f *Follower) relist() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = false
}

// isListed reports whether the table has been listed and needn't be listed again.
func (f *Follower) isListed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// setReachable records whether the last call to the store succeeded, and logs each change.
func (f *Follower) setReachable(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteReachable(err)
}

// noteReachable implements setReachable. mu must be held.
func (f *Follower) noteReachable(err error) {
	switch {
	case err == nil && !f.reachable:
		klog.InfoS("store: reachable", "table", f.table, "version", f.version)
	case err != nil && f.reachable:
		klog.InfoS("store: unreachable", "table", f.table, "version", f.version, "err", err)
	}
	f.reachable = err == nil
}

// Merge merges rows from another source, such as a peer or the response to a transaction. Rows that aren't newer than the known ones
// are ignored.
func (f *Follower) Merge(rows []Row) { f.merge(rows, Delivery{Source: SourceMerge}) }

// merge merges rows, passes the newer ones to changed, and reports whether there are any.
func (f *Follower) merge(rows []Row, d Delivery) bool {
	f.mergeMu.Lock()
	defer f.mergeMu.Unlock()
	newer := f.mergeNewer(rows)
	if len(newer) > 0 && f.changed != nil {
		f.changed(newer, d)
	}
	if lost := slices.DeleteFunc(slices.Clone(newer), func(row Row) bool { return !row.Lost }); len(lost) > 0 {
		time.AfterFunc(lostRowTime, func() { f.removeLost(lost) })
	}
	return len(newer) > 0
}

// removeLost passes lost rows that weren't written again to changed as deleted ones.
func (f *Follower) removeLost(lost []Row) {
	f.mergeMu.Lock()
	defer f.mergeMu.Unlock()
	f.mu.Lock()
	var deleted []Row
	for _, row := range lost {
		if known := f.rows[row.Key]; known.Lost && known.Version == row.Version {
			row.Lost = false
			f.rows[row.Key] = row
			deleted = append(deleted, row)
		}
	}
	f.mu.Unlock()
	if len(deleted) == 0 {
		return
	}
	klog.InfoS("store: lost rows weren't written again", "table", f.table, "rows", len(deleted), "first", deleted[0].Key,
		"version", deleted[0].Version)
	if f.changed != nil {
		f.changed(deleted, Delivery{Source: SourceMerge})
	}
}

// MergeUpTo merges rows that another copy's ChangesAfter has returned for Version or an older version, and the version returned with
// them.
func (f *Follower) MergeUpTo(rows []Row, version uint64) {
	f.Merge(rows)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listed && version <= MaxVersion {
		f.advance(version)
	}
}

// MergeConflict merges the rows of a conflict. If the copy has a row that the store doesn't have, the table is listed soon: the conflict
// doesn't tell at which version the row was removed, and the copy may already count as complete beyond it.
func (f *Follower) MergeConflict(conflict *ConflictError) {
	f.Merge(conflict.Rows())
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, row := range conflict.Rows() {
		known, ok := f.rows[row.Key]
		if row.Version > 0 || !ok || known.Deleted || !f.listed || time.Since(f.disputed) < disputeInterval {
			continue
		}
		f.disputed = time.Now()
		klog.InfoS("store: known row doesn't exist, listing the table again", "table", f.table, "key", row.Key, "row", known.Version,
			"version", f.version)
		f.listed = false
		if f.open != nil {
			f.open.superseded = true
			f.open.cancel()
		}
	}
}

// mergeNewer stores the rows that are newer than the known ones and returns them. Rows that the store had in an earlier era, and that an
// instance still has that doesn't know of the era of this copy, aren't stored.
func (f *Follower) mergeNewer(rows []Row) []Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	newer := make([]Row, 0, len(rows))
	for _, row := range rows {
		if known, ok := f.rows[row.Key]; ok && row.Version <= known.Version || row.Version == 0 || row.Version > MaxVersion ||
			Era(row.Version) < Era(f.version) {
			continue
		}
		row.Table = f.table
		f.rows[row.Key] = row
		f.newest = max(f.newest, row.Version)
		f.noteVersion(row.Version)
		newer = append(newer, row)
	}
	f.limitResponseDelay()
	return newer
}

// InDoubt reports whether a call to the store has failed since the last one that succeeded, so that the copy may be out of date. It still
// does so while changed is called with the rows of that one.
func (f *Follower) InDoubt() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.doubtSince.IsZero()
}

// Get returns the row with a key. A row that isn't known has version 0.
func (f *Follower) Get(key string) Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	row, ok := f.rows[key]
	if !ok {
		return Row{Table: f.table, Key: key}
	}
	return row
}

// RowsAfter returns the known rows that are newer than a version, in no particular order.
func (f *Follower) RowsAfter(version uint64) []Row {
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

// ChangesAfter returns the known rows that are newer than a version, in no particular order. They include all changes from there up to
// the returned version. That is 0 if rows may be missing: a removal isn't known if the row was missing from a later listing already.
func (f *Follower) ChangesAfter(version uint64) (rows []Row, complete uint64) {
	f.mu.Lock()
	if version >= f.changesFrom {
		complete = f.version
	}
	f.mu.Unlock()
	// Rows that are merged meanwhile may be included, but completeness isn't claimed for them.
	return f.RowsAfter(version), complete
}

// Version returns the version up to which the copy is complete. Newer rows may be known, see Newest.
func (f *Follower) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// Newest returns the version of the newest known row.
func (f *Follower) Newest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

// Table returns the table's name.
func (f *Follower) Table() string { return f.table }

// Reachable reports whether the last call to the store succeeded. After refused calls for changes, it doesn't until one succeeds.
func (f *Follower) Reachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachable
}

// Wait waits until the table has been listed. It returns the error of ctx if that ends first.
func (f *Follower) Wait(ctx context.Context) error {
	f.mu.Lock()
	listed, listings := f.listed, f.listings
	f.mu.Unlock()
	if listed {
		return nil
	}
	select {
	case <-listings:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
