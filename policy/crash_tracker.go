package policy

import (
	"sync"
	"time"
)

const (
	// crashLimit is the number of crashes after which a request is quarantined. Requests that merely run at the same time as one
	// that crashes upstreams rarely see as many.
	crashLimit = 3
	// crashExpiry is how long after its latest crash a request's crashes are remembered.
	crashExpiry = 10 * time.Minute
	// maxTrackedRequests bounds the memory use. Further requests aren't tracked.
	maxTrackedRequests = 4096
)

// CrashTracker quarantines requests that crash upstreams. It counts, by fingerprint, the crashes during which a request was running,
// until the request completes once. It is safe for concurrent use, and its zero value is ready to use.
type CrashTracker struct {
	mu      sync.Mutex
	crashes map[uint64]*crashes
}

// crashes are the crashes during which one request was running.
type crashes struct {
	count  int
	latest time.Time
}

// RecordCrash records a crash of an upstream while requests with these fingerprints were running.
func (t *CrashTracker) RecordCrash(now time.Time, fingerprints []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.crashes == nil {
		t.crashes = make(map[uint64]*crashes)
	}
	for fingerprint, record := range t.crashes {
		if now.Sub(record.latest) > crashExpiry {
			delete(t.crashes, fingerprint)
		}
	}
	for _, fingerprint := range fingerprints {
		record := t.crashes[fingerprint]
		if record == nil {
			if len(t.crashes) >= maxTrackedRequests {
				continue
			}
			record = &crashes{}
			t.crashes[fingerprint] = record
		}
		record.count++
		record.latest = now
	}
}

// RecordCompletion records that a request completed, which clears its crashes.
func (t *CrashTracker) RecordCompletion(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.crashes, fingerprint)
}

// IsQuarantined reports whether a request must not run because too many upstreams crashed while it was running.
func (t *CrashTracker) IsQuarantined(now time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.crashes[fingerprint]
	return record != nil && record.count >= crashLimit && now.Sub(record.latest) <= crashExpiry
}
