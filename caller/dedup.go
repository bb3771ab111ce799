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
	// DefaultDedupAge is how long the id of a finished request is kept.
	DefaultDedupAge = 10 * time.Minute
	// DefaultDedupCount is the maximum number of ids of finished requests, over all partitions.
	DefaultDedupCount = 1 << 16
	// DefaultDedupBytes is the maximum size of the stored responses, over all partitions.
	DefaultDedupBytes = 8 << 20
	// MaxStoredBody is the maximum size in bytes of a response body that is stored.
	MaxStoredBody = 4 << 10
)

// Stored is the response of a finished request, which retries of the request receive.
type Stored struct {
	Status int
	Header http.Header
	Body   []byte
}

// entryState is the state of a request id.
type entryState int

const (
	// entryRunning means that the request is in progress.
	entryRunning entryState = iota
	// entryStored means that the request ran and that its response is stored.
	entryStored
	// entryRan means that the request ran and that its response isn't stored.
	entryRan
	// entryUnknown means that the request may have run.
	entryUnknown
)

// entry is the record of one request id.
type entry struct {
	id        string
	token     Token
	state     entryState
	status    int
	response  []byte // The encoded response if state is entryStored; see encodeStored.
	partition int
	finished  time.Time
	// element is the entry's place in Dedup.finished; nil while the request is running.
	element *list.Element
	// done is closed when the request stops running.
	done chan struct{}
}

// partitionDedup holds the request ids of one partition.
type partitionDedup struct {
	// since is the start of the current ownership of the partition.
	since   time.Time
	entries map[string]*entry
	// floors holds the lowest accepted Token.Ticks for each issuer; tokens of other issuers are refused.
	floors map[member.Incarnation]uint64
	// imports holds the ids received from previous owners; they are merged when the ownership under importsEpoch starts.
	imports      []dedupImport
	importsEpoch uint64
}

// Dedup deduplicates requests by their id, so that each runs at most once. A retry of a request whose id is no longer kept is
// refused by the age of its token. Create it with NewDedup.
type Dedup struct {
	self member.Incarnation
	// start is the zero of the ticks in tokens.
	start    time.Time
	maxAge   time.Duration
	maxCount int
	maxBytes int

	mu         sync.Mutex
	partitions map[int]*partitionDedup
	// finished lists the entries that aren't running, oldest first.
	finished list.List
	// bytes is the total size of the stored responses.
	bytes int
}

// DedupOption configures a Dedup.
type DedupOption func(*Dedup)

// WithDedupBounds sets the maximum age and the maximum number of the ids of finished requests.
func WithDedupBounds(age time.Duration, count int) DedupOption {
	return func(d *Dedup) { d.maxAge, d.maxCount = age, count }
}

// NewDedup returns a Dedup without request ids for an incarnation.
func NewDedup(self member.Incarnation, options ...DedupOption) *Dedup {
	d := &Dedup{
		self: self, start: time.Now(), maxAge: DefaultDedupAge, maxCount: DefaultDedupCount, maxBytes: DefaultDedupBytes,
		partitions: make(map[int]*partitionDedup),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Len returns the number of request ids that are kept.
func (d *Dedup) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, pd := range d.partitions {
		n += len(pd.entries)
	}
	return n
}

// ticks converts a time to milliseconds since d.start, rounded up if up is set and down otherwise.
func (d *Dedup) ticks(at time.Time, up bool) uint64 {
	elapsed := max(at.Sub(d.start), 0)
	if up {
		elapsed += time.Millisecond - 1
	}
	return uint64(elapsed / time.Millisecond)
}

// Token issues a token for a partition that has been owned since the given time.
func (d *Dedup) Token(partition int, epoch uint64, since time.Time) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	pd := d.partitionDedup(partition, epoch, since)
	return Token{Issuer: d.self, Ticks: max(d.ticks(time.Now(), false), pd.floors[d.self])}.String()
}

// partitionDedup returns the ids of a partition. It starts a new ownership if since is not the start of the current one. d.mu must be
// held.
func (d *Dedup) partitionDedup(partition int, epoch uint64, since time.Time) *partitionDedup {
	pd, ok := d.partitions[partition]
	if !ok {
		pd = &partitionDedup{entries: make(map[string]*entry)}
		d.partitions[partition] = pd
	}
	if pd.floors == nil || !pd.since.Equal(since) {
		d.startOwnership(pd, partition, epoch, since)
	}
	return pd
}

// startOwnership starts a new ownership of a partition. Tokens issued earlier are no longer accepted, as another incarnation may
// have run requests that carry them. Ids of earlier ownerships stay, so that retries of those requests get a precise result.
func (d *Dedup) startOwnership(pd *partitionDedup, partition int, epoch uint64, since time.Time) {
	floor := d.ticks(since, true)
	if old, ok := pd.floors[d.self]; ok {
		// Tokens of the previous ownership reach up to its floor, which is up to 1 ms ahead of the clock.
		floor = max(floor, old+1)
	}
	pd.since = since
	pd.floors = map[member.Incarnation]uint64{d.self: floor}
	if pd.importsEpoch == epoch {
		for _, imported := range pd.imports {
			d.mergeImport(pd, partition, imported)
		}
	}
	pd.imports, pd.importsEpoch = nil, 0
}

// RunRequest identifies a request that is to run at most once.
type RunRequest struct {
	Partition int
	// Epoch is the epoch of the partition's entry in the map.
	Epoch uint64
	// OwnedSince is the start of the ownership of the partition.
	OwnedSince time.Time
	// ID is the request id, and Token the token that the caller sent with it.
	ID    string
	Token Token
}

// Begin admits the first request with an id, or returns the stored response to it. If the first request is still running,
// Begin waits for its end. Errors carry code.AlreadyRun, code.TokenTooOld, code.BadToken or code.UpstreamTimeout.
func (d *Dedup) Begin(ctx context.Context, r RunRequest) (*OnceRun, *Stored, error) {
	for {
		running, e, err := d.register(r)
		if running != nil || err != nil {
			return running, nil, err
		}
		if e.state != entryRunning {
			return retryResult(e)
		}
		select {
		case <-e.done:
		case <-ctx.Done():
			return nil, nil, code.New(code.UpstreamTimeout, "request %s is still running", r.ID)
		}
	}
}

// register adds a new request id, or returns a copy of the entry if the id is known.
func (d *Dedup) register(r RunRequest) (*OnceRun, entry, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	pd := d.partitionDedup(r.Partition, r.Epoch, r.OwnedSince)
	if e, ok := pd.entries[r.ID]; ok {
		return nil, *e, nil
	}
	floor, ok := pd.floors[r.Token.Issuer]
	if !ok || r.Token.Ticks < floor {
		return nil, entry{}, code.New(code.TokenTooOld, "token %s of request %s is too old for partition %d", r.Token, r.ID, r.Partition)
	}
	if r.Token.Issuer == d.self && r.Token.Ticks > max(d.ticks(time.Now(), true), floor) {
		return nil, entry{}, code.New(code.BadToken, "token %s was not issued yet", r.Token)
	}
	e := &entry{id: r.ID, token: r.Token, partition: r.Partition, done: make(chan struct{})}
	pd.entries[r.ID] = e
	return &OnceRun{dedup: d, entry: e}, entry{}, nil
}

// retryResult returns what a retry of a finished request receives.
func retryResult(e entry) (*OnceRun, *Stored, error) {
	switch e.state {
	case entryStored:
		stored, err := decodeStored(e.status, e.response)
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

// OnceRun is the single run of a request id. The methods of a nil OnceRun do nothing.
type OnceRun struct {
	dedup *Dedup
	entry *entry
	// sent is set once the request may reach the upstream; End then keeps the id.
	sent bool
}

// MarkSent records that the request is about to be sent to the upstream.
func (r *OnceRun) MarkSent() {
	if r != nil {
		r.sent = true
	}
}

// MarkNotRun records that the request did not run although it was sent to the upstream.
func (r *OnceRun) MarkNotRun() {
	if r != nil {
		r.sent = false
	}
}

// Finish records that the request ran, and stores its response.
func (r *OnceRun) Finish(stored Stored) {
	if r == nil {
		return
	}
	response, err := encodeStored(stored)
	if err != nil {
		r.MarkRan(stored.Status)
		return
	}
	r.end(entryStored, stored.Status, response)
}

// MarkRan records that the request ran and that its response isn't stored.
func (r *OnceRun) MarkRan(status int) { r.end(entryRan, status, nil) }

// End removes the id of a request that did not run, so that a retry can run, and otherwise records that the request may have
// run. It does nothing after Finish or MarkRan.
func (r *OnceRun) End() {
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

// end changes the state of a running entry and wakes the retries that wait for it.
func (r *OnceRun) end(state entryState, status int, response []byte) {
	if r == nil {
		return
	}
	d := r.dedup
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.entry.state != entryRunning {
		return
	}
	r.entry.state, r.entry.status, r.entry.response = state, status, response
	close(r.entry.done)
	d.trackFinished(r.entry)
	d.expire()
}

// trackFinished adds a finished entry to the list from which expire evicts.
func (d *Dedup) trackFinished(e *entry) {
	e.finished = time.Now()
	e.element = d.finished.PushBack(e)
	d.bytes += len(e.response)
}

// expire evicts the oldest finished entries until age, count and bytes are within their limits.
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

// evict removes an entry and raises the floor of its token's issuer above its token, so that a retry of the request is refused
// as too old rather than run again.
func (d *Dedup) evict(e *entry) {
	d.finished.Remove(e.element)
	d.bytes -= len(e.response)
	pd := d.partitions[e.partition]
	delete(pd.entries, e.id)
	if floor, ok := pd.floors[e.token.Issuer]; ok {
		pd.floors[e.token.Issuer] = max(floor, e.token.Ticks+1)
	}
}
