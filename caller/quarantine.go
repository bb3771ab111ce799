package caller

import (
	"context"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"sapphiretray/code"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultQuarantineAge is how long a fingerprint stays quarantined or suspected.
	DefaultQuarantineAge = 10 * time.Minute
	// MaxQuarantined is the maximum number of quarantined fingerprints, and that of suspected ones.
	MaxQuarantined = 1024
	// maxIsolationWait limits how long a suspect delays other requests, and how long it waits for them.
	maxIsolationWait = 250 * time.Millisecond
)

// Quarantine refuses requests that crash upstreams. Requests are identified by fingerprints. The requests in flight during a
// first crash become suspects. A suspect waits up to 250 ms for the other requests to finish, so that it runs alone if possible; it
// never runs concurrently with another suspect. If the upstream crashes again during its run, its fingerprint is quarantined. Create a
// Quarantine with NewQuarantine.
type Quarantine struct {
	age time.Duration
	// onChange is called while mu isn't held; it may be nil.
	onChange func(suspects, quarantined []uint64)

	mu sync.Mutex
	// suspects and quarantined map fingerprints to the time until which they are kept.
	suspects    map[uint64]time.Time
	quarantined map[uint64]time.Time
	// running is the number of requests at the upstream.
	running int
	// isolated is set while a suspect runs, or waits for the other requests to finish.
	isolated bool
	// changed is closed and replaced when isolation ends, or when running becomes 0 during isolation.
	changed chan struct{}
}

// QuarantineOption configures a Quarantine.
type QuarantineOption func(*Quarantine)

// WithQuarantineAge sets how long a fingerprint is kept.
func WithQuarantineAge(d time.Duration) QuarantineOption {
	return func(q *Quarantine) { q.age = d }
}

// WithOnQuarantineChange sets a function that is called with new suspects and newly quarantined fingerprints, so that peers can be told.
func WithOnQuarantineChange(f func(suspects, quarantined []uint64)) QuarantineOption {
	return func(q *Quarantine) { q.onChange = f }
}

// NewQuarantine returns an empty Quarantine.
func NewQuarantine(options ...QuarantineOption) *Quarantine {
	q := &Quarantine{
		age: DefaultQuarantineAge, suspects: make(map[uint64]time.Time), quarantined: make(map[uint64]time.Time),
		changed: make(chan struct{}),
	}
	for _, option := range options {
		option(q)
	}
	return q
}

// fingerprint returns a hash of the service, the method, the path, the key and the first part of the body. Requests that agree in
// all of these count as the same request.
func (in *inboundRequest) fingerprint() uint64 {
	hash := xxhash.New()
	var length [8]byte
	for _, part := range [][]byte{
		[]byte(in.service()), []byte(in.request.Method), []byte(in.request.URL.Path), []byte(in.key), in.prefix,
	} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(part)
	}
	return hash.Sum64()
}

// GuardedRun is one run of a request that the quarantine has admitted.
type GuardedRun struct {
	quarantine  *Quarantine
	fingerprint uint64
	// suspect is set if the fingerprint was suspected when the run began.
	suspect bool
}

// Enter admits a request to the upstream. Errors carry code.Quarantined, code.Shed if another suspect is still running, or
// code.TooLate if ctx ended.
func (q *Quarantine) Enter(ctx context.Context, fingerprint uint64) (*GuardedRun, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.isolated && len(q.suspects)+len(q.quarantined) == 0 {
		q.running++
		return &GuardedRun{quarantine: q, fingerprint: fingerprint}, nil
	}
	limit, cancel := context.WithTimeout(ctx, maxIsolationWait)
	defer cancel()
	for q.isolated && !q.contains(q.quarantined, fingerprint) && q.waitForChange(limit) {
		continue
	}
	run := &GuardedRun{quarantine: q, fingerprint: fingerprint, suspect: q.contains(q.suspects, fingerprint)}
	if run.suspect && q.isolated && !q.contains(q.quarantined, fingerprint) {
		return nil, code.New(code.Shed, "another request that may crash the upstream is running")
	}
	if run.suspect {
		q.isolated = true
		for q.running > 0 && q.waitForChange(limit) {
			continue
		}
	}
	err := q.refusal(ctx, fingerprint)
	if err != nil {
		run.endIsolation()
		return nil, err
	}
	q.running++
	return run, nil
}

// refusal returns the error for a request that may not run, or nil.
func (q *Quarantine) refusal(ctx context.Context, fingerprint uint64) error {
	if q.contains(q.quarantined, fingerprint) {
		return code.New(code.Quarantined, "requests with this fingerprint crashed upstreams")
	}
	if ctx.Err() != nil {
		return code.New(code.TooLate, "request ended while it waited to run in isolation")
	}
	return nil
}

// waitForChange waits for q.changed. q.mu must be held; it is released during the wait. The method returns false if ctx ends first.
func (q *Quarantine) waitForChange(ctx context.Context) bool {
	changed := q.changed
	q.mu.Unlock()
	defer q.mu.Lock()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// notifyWaiters wakes all goroutines that are in waitForChange.
func (q *Quarantine) notifyWaiters() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// endIsolation lets other requests run again if the run is a suspect's.
func (r *GuardedRun) endIsolation() {
	if r.suspect {
		r.quarantine.isolated = false
		r.quarantine.notifyWaiters()
	}
}

// Leave ends the run.
func (r *GuardedRun) Leave() {
	q := r.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	r.endIsolation()
	if q.isolated && q.running == 0 {
		q.notifyWaiters()
	}
}

// MarkCrashed records that the upstream crashed during the run. The fingerprint is quarantined only if it was suspected when the
// run began, and otherwise becomes a suspect. Thus concurrent runs of the same request count as one crash.
func (r *GuardedRun) MarkCrashed() {
	q := r.quarantine
	q.mu.Lock()
	var suspects, quarantined []uint64
	until := time.Now().Add(q.age)
	switch {
	case q.contains(q.quarantined, r.fingerprint):
	case r.suspect:
		delete(q.suspects, r.fingerprint)
		put(q.quarantined, r.fingerprint, until)
		quarantined = []uint64{r.fingerprint}
	case !q.contains(q.suspects, r.fingerprint):
		put(q.suspects, r.fingerprint, until)
		suspects = []uint64{r.fingerprint}
	}
	q.mu.Unlock()
	if q.onChange != nil && len(suspects)+len(quarantined) > 0 {
		q.onChange(suspects, quarantined)
	}
}

// MarkCleared records that the run ended without a crash. The fingerprint of a suspect is no longer suspected.
func (r *GuardedRun) MarkCleared() {
	if !r.suspect {
		return
	}
	r.quarantine.mu.Lock()
	defer r.quarantine.mu.Unlock()
	delete(r.quarantine.suspects, r.fingerprint)
}

// Add quarantines fingerprints that another instance has quarantined, for the remaining time.
func (q *Quarantine) Add(fingerprints []uint64, remaining time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.extend(q.quarantined, fingerprints, remaining)
	for _, fingerprint := range fingerprints {
		delete(q.suspects, fingerprint)
	}
}

// AddSuspects adds the fingerprints of requests that were in flight when another instance's upstream crashed.
func (q *Quarantine) AddSuspects(fingerprints []uint64, remaining time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.extend(q.suspects, fingerprints, remaining)
}

// extend adds fingerprints to a set, or prolongs the time for which they are kept.
func (q *Quarantine) extend(set map[uint64]time.Time, fingerprints []uint64, remaining time.Duration) {
	until := time.Now().Add(min(remaining, q.age))
	for _, fingerprint := range fingerprints {
		if old, ok := set[fingerprint]; !ok || old.Before(until) {
			put(set, fingerprint, until)
		}
	}
}

// Quarantined returns the quarantined fingerprints and the time at which each expires.
func (q *Quarantine) Quarantined() map[uint64]time.Time { return q.list(q.quarantined) }

// Suspects returns the suspected fingerprints and the time at which each expires.
func (q *Quarantine) Suspects() map[uint64]time.Time { return q.list(q.suspects) }

// list removes the expired fingerprints of a set and returns a copy of it.
func (q *Quarantine) list(set map[uint64]time.Time) map[uint64]time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(set, func(_ uint64, until time.Time) bool { return !now.Before(until) })
	return maps.Clone(set)
}

// contains reports whether a fingerprint is in a set, and removes it if it has expired.
func (q *Quarantine) contains(set map[uint64]time.Time, fingerprint uint64) bool {
	if len(set) == 0 {
		return false
	}
	until, ok := set[fingerprint]
	if ok && !time.Now().Before(until) {
		delete(set, fingerprint)
		return false
	}
	return ok
}

// put adds a fingerprint to a set. If the set is full, it removes the one that expires first.
func put(set map[uint64]time.Time, fingerprint uint64, until time.Time) {
	if _, ok := set[fingerprint]; !ok && len(set) >= MaxQuarantined {
		first := slices.MinFunc(slices.Collect(maps.Keys(set)), func(a, b uint64) int { return set[a].Compare(set[b]) })
		delete(set, first)
	}
	set[fingerprint] = until
}
