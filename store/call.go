package store

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// minResponseDelay is how long the first byte of a response that is due may take. It is above the 320 ms of a slow store. It doubles
	// with each call that is abandoned, from the second one on, up to maxResponseDelay. It is also at least responseMargin times as long
	// as the store took for the last response that was due.
	minResponseDelay = 400 * time.Millisecond
	maxResponseDelay = 3200 * time.Millisecond
	responseMargin   = 2
	// maxLearnedDelay bounds what a call allows for slow responses before it, unless one was abandoned. The store may be silent after them,
	// and then a configuration waits for 0.6 s in a call of the instance that learns of it first, for its overdue response and for those of
	// the others. It has to be in effect 3 s after the silence.
	maxLearnedDelay = 1100 * time.Millisecond
	// unknownRowTime is how long announcements of a version are ignored after a listing has shown that the store doesn't have it. The
	// instance that announces it does so several times a second.
	unknownRowTime = time.Minute
	// partialTransfer is the time from the first byte of a response to a failure from which the response counts as too large. A
	// response without rows arrives in one piece.
	partialTransfer = 20 * time.Millisecond
	// refusalsPerListing is the number of refused calls for changes after which the table is listed once, because the store may refuse only
	// those calls. Listings are larger and are made by all followers while the store is down.
	refusalsPerListing = 2
	// slowTransfer is the time from the first byte of a response to its end from which the link counts as slow.
	slowTransfer = 250 * time.Millisecond
)

// errAbandoned means that a call was cancelled because its response was overdue.
var errAbandoned = errors.New("the response is overdue")

// errSuperseded means that a call was cancelled because another one is needed instead.
var errSuperseded = errors.New("another call is needed")

// Delivery describes how rows reached a follower.
type Delivery struct {
	// Source tells where the rows come from.
	Source Source
	// Waited is the time from the call to the store to the first byte of the response, and Took the time to its end. Both are 0 for
	// merged rows; Waited is also 0 if the store's client doesn't support httptrace.
	Waited, Took time.Duration
	// InDoubt is the time since the start of the first call that had failed before, from which on the copy may have been out of date. It is
	// 0 if none had, and for merged rows.
	InDoubt time.Duration
}

// isSlow reports whether the transfer of the response took long.
func (d Delivery) isSlow() bool { return d.Waited > 0 && d.Took-d.Waited >= slowTransfer }

// Source is where a follower gets rows from.
type Source string

// The sources of rows. Merged rows are those that a caller passed to Merge or MergeUpTo.
const (
	SourceChanges Source = "changes"
	SourceListing Source = "listing"
	SourceMerge   Source = "merge"
)

// haveSuperseded reports whether there are several versions of a row.
func haveSuperseded(rows []Row) bool {
	keys := make(map[string]bool, len(rows))
	for _, row := range rows {
		if keys[row.Key] {
			return true
		}
		keys[row.Key] = true
	}
	return false
}

// list lists the table.
func (f *Follower) list(ctx context.Context) error {
	f.mu.Lock()
	began, expected, preferred := time.Now(), f.expected(), f.preferred == SourceListing
	f.mu.Unlock()
	rows, version, d, err := f.call(ctx, SourceListing, 0, func(ctx context.Context) ([]Row, uint64, error) {
		return f.store.List(ctx, f.table)
	})
	if err != nil {
		return err
	}
	newer := f.applyListing(rows, version, d)
	f.mu.Lock()
	f.doubtSince = time.Time{}
	missing := f.expected() > 0
	if expected > f.version {
		// The store has no rows above version that were expected when the listing began.
		klog.InfoS("store: expected version doesn't exist", "table", f.table, "version", f.version, "expected", expected)
		f.unknown = gap{version: expected, since: began}
		f.closeGaps(expected)
	}
	f.mu.Unlock()
	if newer && preferred && f.slowLink {
		// The rows are still changing fast.
		f.preferred = SourceListing
	}
	if missing || f.preferred != "" {
		f.pause(ctx, batchInterval)
	}
	if f.losses > 1 {
		// The store discards its history at once, so that the next call for changes may well fail again.
		waitAbout(ctx, min(minRetryDelay<<min(f.losses-2, 8), maxRetryDelay))
	}
	return nil
}

// nextSource returns how to read the store next. A follower that watches the store over a slow link lists missing rows, because a listing
// has only the newest version of each row. It also does so while calls for changes are refused.
//
// The responses to calls for changes may be larger and take longer than listings before they fail, or the other way round, so each
// follows after a failure of the other.
func (f *Follower) nextSource(watch bool) Source {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.listed:
		return SourceListing
	case f.preferred != "":
		return f.preferred
	case watch && (f.slowLink || f.refusals > 0) && f.expected() > f.newest:
		return SourceListing
	default:
		return SourceChanges
	}
}

// call is a call to the store.
type call struct {
	source  Source
	started time.Time
	cancel  context.CancelFunc
	// waited is the time to the first byte of the response in nanoseconds, 0 before it.
	waited atomic.Int64
	// wait is how long the store may wait for changes.
	wait time.Duration
	// timer abandons the call at deadline unless the response has begun; it is nil if there is no deadline. due is the time from the
	// start at which the store has to respond: the end of the wait or, if lacksRows is set, when the copy was found to lack rows.
	// Follower.mu guards them.
	timer     *time.Timer
	deadline  time.Time
	due       time.Duration
	lacksRows bool
	// abandoned is set when the call was cancelled at its deadline. Follower.mu guards it.
	abandoned bool
	// superseded is set when the call was cancelled because the table has to be listed, or because it waits too long. Follower.mu guards
	// it.
	superseded bool
	// connection describes the connection of the newest request of the call, nil before there is one.
	connection atomic.Pointer[httptrace.GotConnInfo]
}

// connectionState tells for the log whether the call used a connection of earlier calls, and for how long that had been idle.
func (c *call) connectionState() (state string, idle time.Duration) {
	switch info := c.connection.Load(); {
	case info == nil:
		return "none", 0
	case info.Reused:
		return "reused", info.IdleTime
	default:
		return "new", 0
	}
}

// delivery describes the rows of the response, whose end has just arrived.
func (c *call) delivery() Delivery {
	return Delivery{Source: c.source, Waited: time.Duration(c.waited.Load()), Took: time.Since(c.started)}
}

// call makes a call to the store that may wait there for changes. It logs errors unless ctx has ended, and returns errAbandoned for the
// first of several calls that were abandoned in a row, since the next one may use another connection.
func (f *Follower) call(
	ctx context.Context, s Source, pollWait time.Duration, read func(ctx context.Context) ([]Row, uint64, error),
) ([]Row, uint64, Delivery, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &call{source: s, started: time.Now(), cancel: cancel, wait: pollWait, due: pollWait}
	callCtx = httptrace.WithClientTrace(callCtx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { c.connection.Store(&info) },
		GotFirstResponseByte: func() {
			c.waited.CompareAndSwap(0, int64(max(1, time.Since(c.started))))
		},
	})
	f.lastStoreCall, f.preferred = c.started, ""
	f.mu.Lock()
	f.open = c
	f.setDeadline()
	f.limitResponseDelay()
	f.mu.Unlock()
	rows, version, err := read(callCtx)
	d := c.delivery()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open = nil
	c.stopTimer()
	if ctx.Err() != nil && err != nil {
		return nil, 0, d, err
	}
	f.stats.count(c, err)
	if err != nil {
		return nil, 0, d, f.observeFailure(c, d, err)
	}
	if !f.doubtSince.IsZero() {
		d.InDoubt = time.Since(f.doubtSince)
	}
	f.abandoned, f.responded = 0, time.Now()
	f.observeLatency(c, d, len(rows))
	if len(rows) > 0 {
		f.slowLink = d.isSlow()
	}
	return rows, version, d, nil
}

// observeFailure logs that a call has failed, selects the source of the next one, and returns the error of call. mu must be held.
func (f *Follower) observeFailure(c *call, d Delivery, err error) error {
	if c.superseded {
		return errSuperseded
	}
	if f.doubtSince.IsZero() {
		f.doubtSince = c.started
	}
	if !errors.Is(err, ErrHistoryLost) {
		connection, idle := c.connectionState()
		klog.InfoS("store: call failed", "table", f.table, "call", c.source, "version", f.version, "expected", f.expected(),
			"waited", d.Waited, "took", d.Took, "abandoned", c.abandoned, "connection", connection, "idle", idle,
			"sinceResponse", f.sinceResponse(), "err", err)
	}
	switch {
	case c.abandoned:
		f.abandoned++
		// A listing responds at once even if the row doesn't exist.
		f.preferred = SourceListing
		if f.abandoned == 1 {
			return errAbandoned
		}
	case c.source == SourceListing:
		f.preferred = SourceChanges
	case errors.Is(err, ErrHistoryLost):
		f.losses++
		f.refusals = 0
	case d.Waited == 0 && d.Took >= c.due+minResponseDelay:
		// The store's client gave up before the deadline, which grows. Calls for changes may stay unanswered while listings don't.
		f.preferred = SourceListing
	default:
		f.refusals++
		if d.Waited > 0 && d.Took-d.Waited >= partialTransfer || f.refusals%refusalsPerListing == 0 {
			f.preferred = SourceListing
		}
	}
	return err
}

// Expect tells the follower that a version of a row exists. If the copy isn't complete up to it, an open call to the store is abandoned
// unless its response begins soon, because the connection may be dead, and over a slow link the table is listed next. Expect ignores a
// version above MaxVersion, and for unknownRowTime those that the store was found not to have, and returns false for them.
func (f *Follower) Expect(version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if unknown := f.unknownVersion(); version > MaxVersion || unknown > 0 && version >= unknown {
		return false
	}
	f.noteVersion(version)
	f.limitResponseDelay()
	return true
}

// Unknown returns the newest expected version that the store was found not to have, and when the listing that showed it began: versions up
// to that one that were expected before don't exist unless the copy has them. The version is 0 if there is none, and after unknownRowTime.
func (f *Follower) Unknown() (version uint64, listed time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unknownVersion(), f.unknown.since
}

// unknownVersion returns the version from which on Expect ignores those that the store was found not to have, 0 if there is none. mu must
// be held.
func (f *Follower) unknownVersion() uint64 {
	if f.unknown.version <= f.version || time.Since(f.unknown.since) >= unknownRowTime {
		return 0
	}
	return f.unknown.version
}

// Known returns the newest version that can't be missing: that of the newest known row, or that up to which the copy is complete.
func (f *Follower) Known() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.newest, f.version)
}

// Responded returns when the store last responded: when the response to the open call began, or when the last successful call ended. It
// returns zero if there was none.
func (f *Follower) Responded() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open != nil && f.open.waited.Load() > 0 {
		return f.open.started.Add(time.Duration(f.open.waited.Load()))
	}
	return f.responded
}

// ConfirmedFor returns the time since the store last responded, and false if it never did. The copy was complete then.
func (f *Follower) ConfirmedFor() (time.Duration, bool) {
	responded := f.Responded()
	return time.Since(responded), !responded.IsZero()
}

// sinceResponse returns the time since the last successful call ended, 0 if there was none. mu must be held.
func (f *Follower) sinceResponse() time.Duration {
	if f.responded.IsZero() {
		return 0
	}
	return time.Since(f.responded)
}

// responseDelay returns how long a response may take that is due at once. mu must be held.
func (f *Follower) responseDelay() time.Duration {
	learned := responseMargin * f.latency
	if f.abandoned == 0 {
		learned = min(learned, maxLearnedDelay)
	}
	delay := max(minResponseDelay, learned) << min(max(f.abandoned-1, 0), 8)
	return min(delay, maxResponseDelay)
}

// observeLatency records how long the store took to respond once that was due. A call for changes without any was due at the end of its
// wait, although the copy may have lacked rows that were expected before. mu must be held.
func (f *Follower) observeLatency(c *call, d Delivery, rows int) {
	due := c.due
	if rows == 0 {
		due = c.wait
	}
	if d.Waited > 0 && d.Waited >= due {
		f.latency = d.Waited - due
	}
}

// limitResponseDelay makes the response to the open call, if any, due at once if the copy lacks rows: the store answers a call for changes
// at once if there are any. mu must be held.
func (f *Follower) limitResponseDelay() {
	c := f.open
	if c == nil || c.lacksRows || len(f.gaps) == 0 {
		return
	}
	c.lacksRows = true
	if elapsed := time.Since(c.started); c.source == SourceListing || elapsed < c.due {
		c.due = elapsed
	}
	f.setDeadline()
}

// unlimitResponseDelay undoes limitResponseDelay for the open call, if any, because the copy lacks no rows any more. mu must be held.
func (f *Follower) unlimitResponseDelay() {
	if c := f.open; c != nil && c.lacksRows {
		c.lacksRows, c.due = false, c.wait
		f.setDeadline()
	}
}

// setDeadline makes the open call be abandoned unless its response begins within the response delay after it is due. A listing that nothing
// calls for has no deadline but that of the store's client: it may be large, and the store may be slow at the start. mu must be held.
func (f *Follower) setDeadline() {
	c := f.open
	c.stopTimer()
	if c.source == SourceListing && len(f.gaps) == 0 && f.abandoned == 0 {
		return
	}
	c.deadline = c.started.Add(c.due + f.responseDelay())
	c.timer = time.AfterFunc(time.Until(c.deadline), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.open == c && c.waited.Load() == 0 && !time.Now().Before(c.deadline) {
			c.abandoned = true
			c.cancel()
		}
	})
}

// stopTimer stops the timer of the call's deadline. Follower.mu must be held.
func (c *call) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}
