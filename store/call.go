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
	// slowTransfer is the time from the first byte of a response to its end from which the link counts as slow.
	slowTransfer = 250 * time.Millisecond
)

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
	expected, preferred := f.expected, f.preferred == SourceListing
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
func (f *Follower) nextSource() Source {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.listed:
		return SourceListing
	case f.preferred != "":
		return f.preferred
	case f.slowLink && f.isMissing(f.expected):
		return SourceListing
	default:
		return SourceChanges
	}
}

// call is a call to the store.
type call struct {
	source  Source
	started time.Time
	// waited is the time to the first byte of the response in nanoseconds, 0 before it.
	waited atomic.Int64
}

// delivery describes the rows of the response, whose end has just arrived.
func (c *call) delivery() Delivery {
	return Delivery{Source: c.source, Waited: time.Duration(c.waited.Load()), Took: time.Since(c.started)}
}

// call makes a call to the store. It logs errors unless ctx has ended.
func (f *Follower) call(
	ctx context.Context, s Source, read func(ctx context.Context) ([]Row, uint64, error),
) ([]Row, uint64, Delivery, error) {
	c := &call{source: s, started: time.Now()}
	callCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		c.waited.CompareAndSwap(0, int64(max(1, time.Since(c.started))))
	}})
	f.lastStoreCall, f.preferred = c.started, ""
	rows, version, err := read(callCtx)
	d := c.delivery()
	if err == nil {
		if len(rows) > 0 {
			f.slowLink = d.isSlow()
		}
		return rows, version, d, nil
	}
	if ctx.Err() == nil && !errors.Is(err, ErrHistoryLost) {
		klog.InfoS("store: call failed", "table", f.table, "call", s, "version", f.Version(), "waited", d.Waited, "took", d.Took,
			"err", err)
	}
	return nil, 0, d, err
}

// Expect tells the follower that a version of a row exists. If the row is missing after the open call to the store, the table is listed
// next, unless the link is fast.
func (f *Follower) Expect(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expected = max(f.expected, version)
}

// isMissing reports whether the copy may lack the row of a version. mu must be held.
func (f *Follower) isMissing(version uint64) bool { return version > max(f.newest, f.version) }

// Known returns the newest version that can't be missing: that of the newest known row, or that up to which the copy is complete.
func (f *Follower) Known() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.newest, f.version)
}
