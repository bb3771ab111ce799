package caller

import (
	"container/list"
	"context"
	"net/http"
	"sync"
	"time"

	"sapphiretray/code"
	"sapphiretray/member"
)

const (
	// DefaultDedupAge is the time for which a request id is kept.
	DefaultDedupAge = 10 * time.Minute
	// DefaultDedupCount bounds the request ids that are kept for all partitions together.
	DefaultDedupCount = 1 << 16
	// DefaultDedupBytes bounds the stored responses of all partitions together.
	DefaultDedupBytes = 8 << 20
	// MaxStoredBody is the size up to which a response is stored.
	MaxStoredBody = 4 << 10
)

// Stored is a response that a repeat of its request gets again.
type Stored struct {
	Status int
	Header http.Header
	Body   []byte
}

// entryState is the state of a request id.
type entryState int

const (
	entryRunning entryState = iota
	// entryStored has a response to give again.
	entryStored
	// entryRan ran, and its response isn't kept.
	entryRan
	// entryUnknown may have run.
	entryUnknown
)

// entry is what is remembered of one request id.
type entry struct {
	id        string
	token     Token
	state     entryState
	status    int
	answer    []byte
	partition int
	finished  time.Time
	element   *list.Element
	// done is closed when the request is no longer running.
	done chan struct{}
}

// memory holds the recent request ids of one partition.
type memory struct {
	since   time.Time
	entries map[string]*entry
	// floors gives, for each incarnation whose tokens are accepted, the lowest time that is.
	floors map[member.Incarnation]uint64
	// imports are the memories of predecessors by the epoch of the handover that brought them.
	imports      []handover
	importsEpoch uint64
}

// Dedup remembers request ids, so that a request runs at most once. Create it with NewDedup.
type Dedup struct {
	self     member.Incarnation
	start    time.Time
	maxAge   time.Duration
	maxCount int
	maxBytes int

	mu         sync.Mutex
	partitions map[int]*memory
	// finished lists the entries that aren't running, oldest first.
	finished list.List
	bytes    int
}

// DedupOption changes a Dedup under construction.
type DedupOption func(*Dedup)

// WithDedupBounds bounds the age and the number of the request ids kept.
func WithDedupBounds(age time.Duration, count int) DedupOption {
	return func(d *Dedup) { d.maxAge, d.maxCount = age, count }
}

// NewDedup returns an empty memory of an incarnation.
func NewDedup(self member.Incarnation, options ...DedupOption) *Dedup {
	d := &Dedup{
		self: self, start: time.Now(), maxAge: DefaultDedupAge, maxCount: DefaultDedupCount, maxBytes: DefaultDedupBytes,
		partitions: make(map[int]*memory),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Len returns the number of request ids kept.
func (d *Dedup) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, m := range d.partitions {
		n += len(m.entries)
	}
	return n
}

// ticks returns a time in milliseconds since the start, rounded up if up is set.
func (d *Dedup) ticks(at time.Time, up bool) uint64 {
	elapsed := max(at.Sub(d.start), 0)
	if up {
		elapsed += time.Millisecond - 1
	}
	return uint64(elapsed / time.Millisecond)
}

// Token issues a token for a partition that is owned since the given time.
func (d *Dedup) Token(partition int, epoch uint64, since time.Time) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.memory(partition, epoch, since)
	return Token{Issuer: d.self, Ticks: max(d.ticks(time.Now(), false), m.floors[d.self])}.String()
}

// memory returns the memory of a partition for the ownership that began at since.
func (d *Dedup) memory(partition int, epoch uint64, since time.Time) *memory {
	m, ok := d.partitions[partition]
	if !ok {
		m = &memory{entries: make(map[string]*entry)}
		d.partitions[partition] = m
	}
	if m.floors == nil || !m.since.Equal(since) {
		d.begin(m, partition, epoch, since)
	}
	return m
}

// begin starts a new ownership. Ids of earlier ones stay, as they can only make the answer to a repeat more exact; tokens
// issued before are no longer accepted, as another incarnation may have run requests that carry them.
func (d *Dedup) begin(m *memory, partition int, epoch uint64, since time.Time) {
	floor := d.ticks(since, true)
	if old, ok := m.floors[d.self]; ok {
		// The old ownership's last tokens may be up to its floor, which is up to 1 ms ahead of the clock.
		floor = max(floor, old+1)
	}
	m.since = since
	m.floors = map[member.Incarnation]uint64{d.self: floor}
	if m.importsEpoch == epoch {
		for _, h := range m.imports {
			d.adopt(m, partition, h)
		}
	}
	m.imports, m.importsEpoch = nil, 0
}

// Claim asks to run a request.
type Claim struct {
	Partition int
	Epoch     uint64
	// Since is the start of the ownership of the partition.
	Since time.Time
	ID    string
	Token Token
}

// Begin admits a request for its only run, or returns the stored response of an earlier one. It waits for an earlier one
// that is running. Errors carry code.AlreadyRun, code.TokenTooOld or code.UpstreamTimeout.
func (d *Dedup) Begin(ctx context.Context, c Claim) (*Running, *Stored, error) {
	for {
		running, e, err := d.claim(c)
		if running != nil || err != nil {
			return running, nil, err
		}
		if e.state != entryRunning {
			return repeat(e)
		}
		select {
		case <-e.done:
		case <-ctx.Done():
			return nil, nil, code.New(code.UpstreamTimeout, "request %s is still running", c.ID)
		}
	}
}

// claim returns a new running entry, or a copy of the entry that the id has.
func (d *Dedup) claim(c Claim) (*Running, entry, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	m := d.memory(c.Partition, c.Epoch, c.Since)
	if e, ok := m.entries[c.ID]; ok {
		return nil, *e, nil
	}
	floor, ok := m.floors[c.Token.Issuer]
	if !ok || c.Token.Ticks < floor {
		return nil, entry{}, code.New(code.TokenTooOld, "token %s of request %s is too old for partition %d", c.Token, c.ID, c.Partition)
	}
	if c.Token.Issuer == d.self && c.Token.Ticks > max(d.ticks(time.Now(), true), floor) {
		return nil, entry{}, code.New(code.BadToken, "token %s was not issued yet", c.Token)
	}
	e := &entry{id: c.ID, token: c.Token, partition: c.Partition, done: make(chan struct{})}
	m.entries[c.ID] = e
	return &Running{dedup: d, entry: e}, entry{}, nil
}

func repeat(e entry) (*Running, *Stored, error) {
	switch e.state {
	case entryStored:
		stored, err := decodeStored(e.status, e.answer)
		if err != nil {
			return nil, nil, code.Wrap(code.AlreadyRun, err, "request %s", e.id)
		}
		return nil, stored, nil
	case entryRan:
		return nil, nil, code.New(code.AlreadyRun, "request %s has run", e.id)
	default:
		return nil, nil, code.New(code.TokenTooOld, "an earlier attempt of request %s may have run", e.id)
	}
}

// Running is a request id whose only run has begun. A nil Running does nothing.
type Running struct {
	dedup *Dedup
	entry *entry
	// sent tells that the request may reach the upstream, so that End doesn't free its id.
	sent bool
}

// Sent records that the request is handed to the upstream.
func (r *Running) Sent() {
	if r != nil {
		r.sent = true
	}
}

// NotRun records that the request, although handed to the upstream, did not run.
func (r *Running) NotRun() {
	if r != nil {
		r.sent = false
	}
}

// Finish stores the response.
func (r *Running) Finish(stored Stored) {
	if r == nil {
		return
	}
	answer, err := encodeStored(stored)
	if err != nil {
		r.Ran(stored.Status)
		return
	}
	r.end(entryStored, stored.Status, answer)
}

// Ran records that the request ran and that its response isn't kept.
func (r *Running) Ran(status int) { r.end(entryRan, status, nil) }

// End frees the id of a request that did not run, so that a repeat may run, and otherwise records that it may have run. It
// does nothing after Finish or Ran.
func (r *Running) End() {
	if r == nil {
		return
	}
	if r.sent {
		r.end(entryUnknown, 0, nil)
		return
	}
	d := r.dedup
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.entry.state != entryRunning {
		return
	}
	delete(d.partitions[r.entry.partition].entries, r.entry.id)
	close(r.entry.done)
}

func (r *Running) end(state entryState, status int, answer []byte) {
	if r == nil {
		return
	}
	d := r.dedup
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.entry.state != entryRunning {
		return
	}
	r.entry.state, r.entry.status, r.entry.answer = state, status, answer
	close(r.entry.done)
	d.keep(r.entry)
	d.expire()
}

// keep lists a finished entry.
func (d *Dedup) keep(e *entry) {
	e.finished = time.Now()
	e.element = d.finished.PushBack(e)
	d.bytes += len(e.answer)
}

// expire evicts the entries beyond the bounds and raises the floor of their tokens' issuer, so that a repeat of an evicted
// id is refused.
func (d *Dedup) expire() {
	oldest := time.Now().Add(-d.maxAge)
	for d.finished.Len() > 0 {
		e := d.finished.Front().Value.(*entry)
		if d.finished.Len() <= d.maxCount && d.bytes <= d.maxBytes && e.finished.After(oldest) {
			return
		}
		d.evict(e)
	}
}

func (d *Dedup) evict(e *entry) {
	d.finished.Remove(e.element)
	d.bytes -= len(e.answer)
	m := d.partitions[e.partition]
	delete(m.entries, e.id)
	if floor, ok := m.floors[e.token.Issuer]; ok {
		m.floors[e.token.Issuer] = max(floor, e.token.Ticks+1)
	}
}
