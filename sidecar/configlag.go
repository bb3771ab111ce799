package sidecar

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// maxAnnouncements bounds the configurations that a configLag remembers.
const maxAnnouncements = 64

// configLag records the newer configurations that other instances have announced, until this instance has them. The zero value has
// none.
type configLag struct {
	mu sync.Mutex
	// missing has the announced configurations in the order of their versions.
	missing []announcement
	// holders has the newest version of the row that each slot has announced.
	holders map[string]uint64
}

// announcement tells that other instances have the configuration in a version of the row.
type announcement struct {
	row uint64
	// slot is that of the first of them, and at when it announced it.
	slot string
	at   time.Time
}

// announce records that the instance in a slot has a version of the row, which must be newer than this instance's, and reports whether
// no instance had announced it or a newer one before.
func (l *configLag) announce(slot string, row uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holders == nil {
		l.holders = make(map[string]uint64)
	}
	if _, known := l.holders[slot]; known || len(l.holders) < maxAnnouncers {
		l.holders[slot] = max(l.holders[slot], row)
	}
	if n := len(l.missing); n > 0 && l.missing[n-1].row >= row {
		return false
	}
	if len(l.missing) == maxAnnouncements {
		// The oldest announcement tells since when this instance lags; those in the middle matter least.
		l.missing = l.missing[:maxAnnouncements-1]
	}
	l.missing = append(l.missing, announcement{row: row, slot: slot, at: now})
	return true
}

// arrive removes the announcements up to a version of the row, which has arrived. It returns since when this instance lacked an
// announced configuration, or zero if it didn't.
func (l *configLag) arrive(row uint64) (since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.missing) > 0 {
		since = l.missing[0].at
	}
	l.removeUpTo(row)
	return since
}

// isAnnounced reports whether this instance has lacked a version of the row, or a newer one, that was announced.
func (l *configLag) isAnnounced(row uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.missing)
	return n > 0 && l.missing[n-1].row >= row
}

// since returns since when this instance has lacked an announced configuration, or zero if it lacks none. known is the newest version of
// the row that this instance can't lack.
func (l *configLag) since(known uint64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A version may have arrived while it was being announced.
	l.removeUpTo(known)
	if len(l.missing) == 0 {
		return time.Time{}
	}
	return l.missing[0].at
}

// newest returns the newest announced version of the row that this instance lacks and the slot that announced it, or a row of 0 if it lacks
// none. known is as in since.
func (l *configLag) newest(known uint64) (slot string, row uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeUpTo(known)
	if len(l.missing) == 0 {
		return "", 0
	}
	last := l.missing[len(l.missing)-1]
	return last.slot, last.row
}

// drop removes the announcements of versions of the row up to the given one that were made until a time.
func (l *configLag) drop(row uint64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.missing = slices.DeleteFunc(l.missing, func(a announcement) bool { return a.row <= row && !a.at.After(until) })
	if len(l.missing) == 0 {
		clear(l.holders)
	}
}

// newerThan returns the slots that have announced a newer version than the given one.
func (l *configLag) newerThan(known uint64) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeUpTo(known)
	return slices.Collect(maps.Keys(l.holders))
}

// removeUpTo removes the announcements up to a version of the row. mu must be held.
func (l *configLag) removeUpTo(row uint64) {
	for len(l.missing) > 0 && l.missing[0].row <= row {
		l.missing = l.missing[1:]
	}
	maps.DeleteFunc(l.holders, func(_ string, announced uint64) bool { return announced <= row })
}
