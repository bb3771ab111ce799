package store

import (
	"time"

	"k8s.io/klog/v2"
)

const (
	// incompleteLogDelay is how long a copy that is kept up to date from the store lacks rows before that is logged, and
	// unwatchedLogDelay that of a copy that is kept up to date from peers, which has gaps of up to peerMergeInterval.
	incompleteLogDelay = time.Second
	unwatchedLogDelay  = 2 * peerMergeInterval
	// gapResolution is the precision of IncompleteFor, and maxGaps bounds the versions that are kept for it.
	gapResolution = 50 * time.Millisecond
	maxGaps       = 64
)

// gap tells since when rows up to a version are known to exist, while the copy isn't complete up to that version.
type gap struct {
	version uint64
	since   time.Time
}

// IncompleteFor returns for how long the copy has been known to lack rows: the time since the first version after Version became known.
// A row of a version is known to exist once it was merged from another source than the store's changes, or was expected. It returns 0 if
// the copy isn't known to lack rows.
func (f *Follower) IncompleteFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.incompleteFor()
}

// incompleteFor implements IncompleteFor. mu must be held.
func (f *Follower) incompleteFor() time.Duration {
	if len(f.gaps) == 0 {
		return 0
	}
	return max(1, time.Since(f.gaps[0].since))
}

// expected returns the newest version that is known to exist if the copy isn't complete up to it, otherwise 0. mu must be held.
func (f *Follower) expected() uint64 {
	if len(f.gaps) == 0 {
		return 0
	}
	return f.gaps[len(f.gaps)-1].version
}

// noteVersion records that rows up to a version exist. mu must be held.
func (f *Follower) noteVersion(version uint64) {
	if version <= max(f.version, f.expected()) {
		return
	}
	now := time.Now()
	if n := len(f.gaps); n > 0 && (now.Sub(f.gaps[n-1].since) < gapResolution || n == maxGaps) {
		f.gaps[n-1].version = version
		return
	}
	f.gaps = append(f.gaps, gap{version: version, since: now})
	if len(f.gaps) == 1 {
		f.logTimer = time.AfterFunc(incompleteLogDelay, f.logIncomplete)
	}
}

// advance records that the copy is complete up to a version. mu must be held.
func (f *Follower) advance(version uint64) {
	f.version = max(f.version, version)
	f.closeGaps(f.version)
}

// closeGaps forgets the expected versions up to the given one. mu must be held.
func (f *Follower) closeGaps(version uint64) {
	if len(f.gaps) == 0 {
		return
	}
	lacked := f.incompleteFor()
	for len(f.gaps) > 0 && f.gaps[0].version <= version {
		f.gaps = f.gaps[1:]
	}
	if len(f.gaps) > 0 {
		return
	}
	f.gaps = nil
	f.logTimer.Stop()
	f.unlimitResponseDelay()
	if f.loggedIncomplete {
		f.loggedIncomplete = false
		klog.InfoS("store: copy complete", "table", f.table, "version", f.version, "newest", f.newest, "lackedRowsFor", lacked)
	}
}

// logIncomplete logs that the copy has lacked rows for some time, or waits until it has.
func (f *Follower) logIncomplete() {
	delay := incompleteLogDelay
	if !f.shouldWatch() {
		delay = unwatchedLogDelay
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.gaps) == 0 || f.loggedIncomplete {
		return
	}
	lacked := f.incompleteFor()
	if lacked < delay {
		f.logTimer.Reset(min(delay-lacked, incompleteLogDelay))
		return
	}
	f.loggedIncomplete = true
	call, open := Source("none"), time.Duration(0)
	if f.open != nil {
		call, open = f.open.source, time.Since(f.open.started)
	}
	klog.InfoS("store: copy lacks rows", "table", f.table, "version", f.version, "expected", f.expected(), "newest", f.newest,
		"for", lacked, "call", call, "openFor", open, "reachable", f.reachable)
}
