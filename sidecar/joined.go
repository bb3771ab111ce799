package sidecar

import (
	"strings"
	"sync"
	"time"

	"sapphiretray/member"
	"sapphiretray/store"
)

// joinTimes holds when this process learned of the incarnations that joined within the last earlierGrants. The zero value is ready to use.
type joinTimes struct {
	mu sync.Mutex
	// newest holds the newest number in each slot, and since the time at which each recent incarnation became known.
	newest map[string]uint64
	since  map[member.Incarnation]time.Time
}

// note records that an incarnation is known.
func (j *joinTimes) note(i member.Incarnation, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.newest == nil {
		j.newest, j.since = make(map[string]uint64), make(map[member.Incarnation]time.Time)
	}
	if i.Number() <= j.newest[i.Slot()] {
		return
	}
	j.newest[i.Slot()] = i.Number()
	j.since[i] = now
	time.AfterFunc(earlierGrants, func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		delete(j.since, i)
	})
}

// earlierHold returns how long the upstream in the slot of an incarnation may still hold keys that earlier incarnations granted to it. The
// first grants of an incarnation come after the last ones of those before it.
func (j *joinTimes) earlierHold(i member.Incarnation, now time.Time) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	since, ok := j.since[i]
	if !ok {
		return 0
	}
	return max(0, earlierGrants-now.Sub(since))
}

// noteJoined records which incarnations have joined according to changed rows, which the directory has applied.
func (sc *Sidecar) noteJoined(rows []store.Row) {
	now := time.Now()
	versions := make(map[string]int)
	for _, row := range rows {
		versions[row.Key]++
	}
	for _, row := range rows {
		slot, ok := strings.CutPrefix(row.Key, member.RowPrefix)
		if !ok || row.Deleted {
			continue
		}
		if versions[row.Key] > 1 {
			// The directory has only the newest as its current record.
			if r, err := decodeRecord(row); err == nil {
				sc.joined.note(r.Incarnation, now)
			}
		} else if r, ok := sc.directory.record(slot); ok {
			sc.joined.note(r.Incarnation, now)
		}
	}
}
