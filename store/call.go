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
	// minResponseDelay is how long the first byte of a response may take once the follower expects a row. It is above the 320 ms of a
	// slow store. It doubles with each call that is abandoned, from the second one on, up to maxResponseDelay.
	minResponseDelay = 400 * time.Millisecond
	maxResponseDelay = 3200 * time.Millisecond
	// partialTransfer is the time from the first byte of a response to a failure from which the response counts as too large. A
	// response without rows arrives in one piece.
	partialTransfer = 20 * time.Millisecond
	// slowTransfer is the time from the first byte of a response to its end from which the link counts as slow.
	slowTransfer = 250 * time.Millisecond
)

// errAbandoned means that a call was cancelled because an expected row didn't arrive.
var errAbandoned = errors.New("no response although a newer row is known to exist")

// Delivery describes how rows reached a follower.
type Delivery struct {
	// Source tells where the rows come from.
	Source Source
	// Waited is the time from the call to the store to the first byte of the response, and Took the time to its end. Both are 0 for
	// merged rows; Waited is also 0 if the store's client doesn't support httptrace.
	Waited, Took time.Duration
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
	expected, preferred := f.expected(), f.preferred == SourceListing
	f.mu.Unlock()
	rows, version, d, err := f.call(ctx, SourceListing, func(ctx context.Context) ([]Row, uint64, error) {
		return f.store.List(ctx, f.table)
	})
	if err != nil {
		return err
	}
	newer := f.applyListing(rows, version, d)
	f.mu.Lock()
	missing := f.isMissing(expected)
	// The store has no rows above version that were expected when the listing began.
	f.closeGaps(expected)
	f.mu.Unlock()
	if newer && preferred && f.slowLink {
		// The rows are still changing fast.
		f.preferred = SourceListing
	}
	if missing || f.preferred != "" {
		f.pause(ctx, batchInterval)
	}
	return nil
}

// nextSource returns how to read the store next. Over a slow link, missing rows are listed, because a listing has only the newest version
// of each row.
//
// The responses to calls for changes may be larger and take longer than listings before they fail, or the other way round, so each
// follows after a failure of the other.
func (f *Follower) nextSource() Source {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.listed:
		return SourceListing
	case f.preferred != "":
		return f.preferred
	case f.slowLink && f.isMissing(f.expected()):
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
	// deadline abandons the call unless the response has begun; nil unless the follower expects a row. Follower.mu guards it.
	deadline *time.Timer
	// abandoned is set when the call was cancelled by deadline. Follower.mu guards it.
	abandoned bool
}

// delivery describes the rows of the response, whose end has just arrived.
func (c *call) delivery() Delivery {
	return Delivery{Source: c.source, Waited: time.Duration(c.waited.Load()), Took: time.Since(c.started)}
}

// call makes a call to the store. It logs errors unless ctx has ended, and returns errAbandoned for the first of several calls that
// were abandoned in a row, since the next one may use another connection.
func (f *Follower) call(
	ctx context.Context, s Source, read func(ctx context.Context) ([]Row, uint64, error),
) ([]Row, uint64, Delivery, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &call{source: s, started: time.Now(), cancel: cancel}
	callCtx = httptrace.WithClientTrace(callCtx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		c.waited.CompareAndSwap(0, int64(max(1, time.Since(c.started))))
	}})
	f.lastStoreCall, f.preferred = c.started, ""
	f.mu.Lock()
	f.open = c
	f.limitResponseDelay()
	f.mu.Unlock()
	rows, version, err := read(callCtx)
	d := c.delivery()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open = nil
	if c.deadline != nil {
		c.deadline.Stop()
	}
	if err == nil {
		f.abandoned, f.responded = 0, time.Now()
		if len(rows) > 0 {
			f.slowLink = d.isSlow()
		}
		return rows, version, d, nil
	}
	if ctx.Err() == nil && !errors.Is(err, ErrHistoryLost) {
		klog.InfoS("store: call failed", "table", f.table, "call", s, "version", f.version, "expected", f.expected(), "waited", d.Waited,
			"took", d.Took, "abandoned", c.abandoned, "err", err)
	}
	switch {
	case c.abandoned:
		f.abandoned++
		// A listing responds at once even if the row doesn't exist.
		f.preferred = SourceListing
		if f.abandoned == 1 {
			err = errAbandoned
		}
	case s == SourceListing:
		f.preferred = SourceChanges
	case d.Waited > 0 && d.Took-d.Waited >= partialTransfer:
		f.preferred = SourceListing
	}
	return nil, 0, d, err
}

// Expect tells the follower that a version of a row exists. If the row is missing, an open call to the store is abandoned unless its
// response begins soon, because the connection may be dead, and over a slow link the table is listed next. A version above MaxVersion is
// ignored.
func (f *Follower) Expect(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isMissing(version) && version > f.expected() && version <= MaxVersion {
		f.noteVersion(version)
		f.limitResponseDelay()
	}
}

// isMissing reports whether the copy may lack the row of a version. mu must be held.
func (f *Follower) isMissing(version uint64) bool { return version > max(f.newest, f.version) }

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

// limitResponseDelay abandons the open call, if any, after a while unless its response begins before, if an expected row is missing. mu
// must be held.
func (f *Follower) limitResponseDelay() {
	c := f.open
	if c == nil || c.deadline != nil || !f.isMissing(f.expected()) {
		return
	}
	c.deadline = time.AfterFunc(min(minResponseDelay<<min(max(f.abandoned-1, 0), 8), maxResponseDelay), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		c.deadline = nil
		if f.open == c && c.waited.Load() == 0 && f.isMissing(f.expected()) {
			c.abandoned = true
			c.cancel()
		}
	})
}
