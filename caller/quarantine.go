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
	// DefaultQuarantineAge is the time for which a fingerprint is quarantined or suspected.
	DefaultQuarantineAge = 10 * time.Minute
	// MaxQuarantined bounds the fingerprints quarantined, and those suspected.
	MaxQuarantined = 1024
	// maxIsolationWait bounds the delay that a suspect causes to other requests, and its own wait for them.
	maxIsolationWait = 250 * time.Millisecond
)

// Quarantine remembers requests that crash upstreams. Create it with NewQuarantine. After a first crash, the requests in
// flight at that time are suspects; a suspect runs alone where that takes no longer than 250 ms to arrange, and never
// beside another suspect. A suspect during whose run the upstream crashes is quarantined.
type Quarantine struct {
	age      time.Duration
	onChange func(suspects, quarantined []uint64)

	mu          sync.Mutex
	suspects    map[uint64]time.Time
	quarantined map[uint64]time.Time
	running     int
	// isolated tells that a suspect runs or waits for the others to finish.
	isolated bool
	// changed is closed and replaced when running or isolated change while someone waits.
	changed chan struct{}
}

// QuarantineOption changes a Quarantine under construction.
type QuarantineOption func(*Quarantine)

// WithQuarantineAge sets the time for which a fingerprint is kept.
func WithQuarantineAge(d time.Duration) QuarantineOption {
	return func(q *Quarantine) { q.age = d }
}

// WithOnChange sets a function that is called with new suspects and newly quarantined fingerprints, to tell peers.
func WithOnChange(f func(suspects, quarantined []uint64)) QuarantineOption {
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

// Fingerprint identifies requests that are alike: the route's service, the method, the path, the key and the first part of
// the body.
func (q *query) fingerprint() uint64 {
	hash := xxhash.New()
	var length [8]byte
	for _, part := range [][]byte{
		[]byte(q.service()), []byte(q.request.Method), []byte(q.request.URL.Path), []byte(q.key), q.prefix,
	} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(part)
	}
	return hash.Sum64()
}

// Run is one admitted run of a request.
type Run struct {
	quarantine *Quarantine
	print      uint64
	suspect    bool
}

// Enter admits a request to the upstream, or refuses it with code.Quarantined or code.Shed.
func (q *Quarantine) Enter(ctx context.Context, print uint64) (*Run, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.isolated && len(q.suspects)+len(q.quarantined) == 0 {
		q.running++
		return &Run{quarantine: q, print: print}, nil
	}
	limit, cancel := context.WithTimeout(ctx, maxIsolationWait)
	defer cancel()
	for q.isolated && !q.known(q.quarantined, print) && q.await(limit) {
		continue
	}
	run := &Run{quarantine: q, print: print, suspect: q.known(q.suspects, print)}
	if run.suspect && q.isolated && !q.known(q.quarantined, print) {
		return nil, code.New(code.Shed, "another suspected request is running")
	}
	if run.suspect {
		q.isolated = true
		for q.running > 0 && q.await(limit) {
			continue
		}
	}
	err := q.refusal(ctx, print)
	if err != nil {
		run.endIsolation()
		return nil, err
	}
	q.running++
	return run, nil
}

func (q *Quarantine) refusal(ctx context.Context, print uint64) error {
	if q.known(q.quarantined, print) {
		return code.New(code.Quarantined, "requests like this one crashed upstreams")
	}
	if ctx.Err() != nil {
		return code.New(code.TooLate, "request ended while it waited to run alone")
	}
	return nil
}

// await waits for a change with the lock released and returns false when ctx ends.
func (q *Quarantine) await(ctx context.Context) bool {
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

func (q *Quarantine) wake() {
	close(q.changed)
	q.changed = make(chan struct{})
}

func (r *Run) endIsolation() {
	if r.suspect {
		r.quarantine.isolated = false
		r.quarantine.wake()
	}
}

// Leave ends the run.
func (r *Run) Leave() {
	q := r.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	r.endIsolation()
	if q.isolated && q.running == 0 {
		q.wake()
	}
}

// Crashed records that the upstream crashed during the run. A run that began before its fingerprint was suspected makes
// it a suspect, so that copies of a request that were in flight together count as one crash.
func (r *Run) Crashed() {
	q := r.quarantine
	q.mu.Lock()
	var suspects, quarantined []uint64
	until := time.Now().Add(q.age)
	switch {
	case q.known(q.quarantined, r.print):
	case r.suspect:
		delete(q.suspects, r.print)
		put(q.quarantined, r.print, until)
		quarantined = []uint64{r.print}
	case !q.known(q.suspects, r.print):
		put(q.suspects, r.print, until)
		suspects = []uint64{r.print}
	}
	q.mu.Unlock()
	if q.onChange != nil && len(suspects)+len(quarantined) > 0 {
		q.onChange(suspects, quarantined)
	}
}

// Cleared records that the run ended without a crash.
func (r *Run) Cleared() {
	if !r.suspect {
		return
	}
	r.quarantine.mu.Lock()
	defer r.quarantine.mu.Unlock()
	delete(r.quarantine.suspects, r.print)
}

// Learn quarantines fingerprints that another instance quarantined, for the rest of their time.
func (q *Quarantine) Learn(fingerprints []uint64, remaining time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.extend(q.quarantined, fingerprints, remaining)
	for _, print := range fingerprints {
		delete(q.suspects, print)
	}
}

// LearnSuspects adds fingerprints that were in flight when another instance's upstream crashed.
func (q *Quarantine) LearnSuspects(fingerprints []uint64, remaining time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.extend(q.suspects, fingerprints, remaining)
}

func (q *Quarantine) extend(in map[uint64]time.Time, fingerprints []uint64, remaining time.Duration) {
	until := time.Now().Add(min(remaining, q.age))
	for _, print := range fingerprints {
		if old, ok := in[print]; !ok || old.Before(until) {
			put(in, print, until)
		}
	}
}

// Quarantined returns the quarantined fingerprints with the time until which each is.
func (q *Quarantine) Quarantined() map[uint64]time.Time { return q.list(q.quarantined) }

// Suspects returns the suspected fingerprints with the time until which each is.
func (q *Quarantine) Suspects() map[uint64]time.Time { return q.list(q.suspects) }

func (q *Quarantine) list(from map[uint64]time.Time) map[uint64]time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(from, func(_ uint64, until time.Time) bool { return !now.Before(until) })
	return maps.Clone(from)
}

func (q *Quarantine) known(in map[uint64]time.Time, print uint64) bool {
	if len(in) == 0 {
		return false
	}
	until, ok := in[print]
	if ok && !time.Now().Before(until) {
		delete(in, print)
		return false
	}
	return ok
}

// put adds a fingerprint and drops the one that ends first if there are too many.
func put(into map[uint64]time.Time, print uint64, until time.Time) {
	if _, ok := into[print]; !ok && len(into) >= MaxQuarantined {
		first := slices.MinFunc(slices.Collect(maps.Keys(into)), func(a, b uint64) int { return into[a].Compare(into[b]) })
		delete(into, first)
	}
	into[print] = until
}
