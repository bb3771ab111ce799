// Package ownership decides which partitions of the local service this incarnation may serve now. It collects the promises
// and proofs of expiry that a new owner needs, and gives up partitions when another incarnation asks for a promise.
package ownership

import (
	"context"
	"strconv"
	"sync"
	"time"

	"sapphiretray/chart"
	"sapphiretray/code"
	"sapphiretray/member"
	"sapphiretray/partition"
	"sapphiretray/peer"
	"sapphiretray/timeline"
)

// The defaults of a Table.
const (
	DefaultDrainTimeout = 5 * time.Second
	retryDelay          = 50 * time.Millisecond
	proofTimeout        = 2 * time.Second
	callTimeout         = 500 * time.Millisecond
	maxClaimsAtOnce     = 32
)

// Lease is the lease of this incarnation.
type Lease interface {
	Valid() bool
	Expires() time.Time
	// Generation changes whenever the lease was lost and acquired again.
	Generation() uint64
}

// Granter gives partitions to the local upstream and takes them back.
type Granter interface {
	// Warm returns when the upstream is ready to serve.
	Warm(ctx context.Context) error
	Grant(ctx context.Context, p int, fence uint64) error
	Revoke(ctx context.Context, p int, fence uint64) error
}

// Memory is the dedup cache of recent request ids, which moves with a partition.
type Memory interface {
	Export(p int) *peer.PromiseResponse
	Import(p int, epoch uint64, from member.Incarnation, handover *peer.PromiseResponse)
}

// Prover asks the witnesses of an incarnation whether its lease has expired for good.
type Prover func(ctx context.Context, holder member.Incarnation) (bool, error)

// Dialer returns a client of another incarnation.
type Dialer func(i member.Incarnation) (peer.Peer, error)

// Table holds the state of the partitions that concern this incarnation.
type Table struct {
	self         member.Incarnation
	lease        Lease
	granter      Granter
	memory       Memory
	prove        Prover
	dial         Dialer
	log          *timeline.Log
	recorded     func(member.Incarnation) bool
	drainTimeout time.Duration
	chart        *chart.Chart

	mu       sync.RWMutex
	current  *partition.Map
	holdings map[int]*holding
	gone     map[member.Incarnation]bool
	draining bool

	ctx    context.Context
	claims chan struct{}
	group  sync.WaitGroup
}

// holding is the state of one partition; Table.mu guards it.
type holding struct {
	machine  *chart.Machine
	epoch    uint64
	rank     int
	since    time.Time
	promised uint64
	claiming bool
	inFlight int
	idle     chan struct{}
	// handover is kept because the answer to a promise may be lost and asked for again.
	handover *peer.PromiseResponse
}

const (
	stateNone      = "none"
	stateClaiming  = "claiming"
	stateServing   = "serving"
	stateReleasing = "releasing"
	stateReleased  = "released"
)

// Option changes a Table under construction.
type Option func(*Table)

// WithDrainTimeout bounds the wait for requests in flight when a partition is given up.
func WithDrainTimeout(d time.Duration) Option { return func(t *Table) { t.drainTimeout = d } }

// WithLog records transitions in a log.
func WithLog(log *timeline.Log) Option { return func(t *Table) { t.log = log } }

// WithRecorded sets a function that reports whether the table service proves that an incarnation can't serve any more.
func WithRecorded(recorded func(member.Incarnation) bool) Option {
	return func(t *Table) { t.recorded = recorded }
}

// New returns a table that owns nothing. Claims run until ctx ends.
func New(ctx context.Context, self member.Incarnation, lease Lease, granter Granter, memory Memory, prove Prover, dial Dialer,
	options ...Option,
) *Table {
	t := &Table{
		self: self, lease: lease, granter: granter, memory: memory, prove: prove, dial: dial,
		recorded:     func(member.Incarnation) bool { return false },
		drainTimeout: DefaultDrainTimeout,
		chart:        chart.MustLoad("partition"),
		holdings:     make(map[int]*holding),
		gone:         make(map[member.Incarnation]bool),
		ctx:          ctx,
		claims:       make(chan struct{}, maxClaimsAtOnce),
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// Wait returns when all claims have ended, after the table's context has ended.
func (t *Table) Wait() { t.group.Wait() }

// Update takes a newer map of the local service and starts the claims that it calls for.
func (t *Table) Update(m *partition.Map) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil && m.Version() <= t.current.Version() {
		return
	}
	t.current = m
	t.evaluateAll()
}

// SetGone records that an incarnation's lease has expired for good or that it has left, and starts the takeovers that
// this allows.
func (t *Table) SetGone(i member.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i == t.self || t.gone[i] {
		return
	}
	t.gone[i] = true
	t.evaluateAll()
}

// Gone reports whether an incarnation was proved unable to serve.
func (t *Table) Gone(i member.Incarnation) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.isGone(i)
}

func (t *Table) isGone(i member.Incarnation) bool { return t.gone[i] || t.recorded(i) }

// Concerns reports whether this incarnation may succeed another one in some partition.
func (t *Table) Concerns(i member.Incarnation) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.current == nil {
		return false
	}
	for p := range t.current.Partitions() {
		if t.ranked(p) && t.current.Concerns(p, i) {
			return true
		}
	}
	return false
}

// ranked reports whether this incarnation is a member of a partition's current entry.
func (t *Table) ranked(p int) bool {
	for rank := range partition.Replicas {
		if i, ok := t.current.Member(p, rank); ok && i == t.self {
			return true
		}
	}
	return false
}

// NotifyExpiry checks with the witnesses whether a lease has expired for good, once a witness has said so.
func (t *Table) NotifyExpiry(i member.Incarnation) {
	if t.Gone(i) || !t.Concerns(i) {
		return
	}
	t.group.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, proofTimeout)
		defer cancel()
		if proved, err := t.prove(ctx, i); err == nil && proved {
			t.SetGone(i)
		}
	})
}

// Drain stops new claims; partitions are given up as other incarnations ask for them.
func (t *Table) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// Serving returns the partitions that this incarnation serves, with their epochs.
func (t *Table) Serving() map[int]uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	serving := make(map[int]uint64)
	for p, h := range t.holdings {
		if h.state() == stateServing || h.state() == stateReleasing {
			serving[p] = h.epoch
		}
	}
	return serving
}

func (h *holding) state() string { return h.machine.State() }

func (t *Table) holding(p int) *holding {
	h, ok := t.holdings[p]
	if !ok {
		h = &holding{machine: chart.New(t.chart, t.current.Service()+"/"+strconv.Itoa(p), t.log)}
		t.holdings[p] = h
	}
	return h
}

// Admit begins a request on a partition. Its errors mean that the request did not run.
func (t *Table) Admit(p int) (*Admission, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.holdings[p]
	if !ok {
		return nil, t.refusal(p)
	}
	switch h.state() {
	case stateServing:
		if !t.lease.Valid() {
			// A successor may serve already, so the request is tried there next.
			return nil, code.New(code.NotOwner, "the lease of %s is not valid", t.self)
		}
		h.inFlight++
		return &Admission{table: t, holding: h, fence: h.epoch<<8 | uint64(h.rank), since: h.since, generation: t.lease.Generation()}, nil
	case stateReleasing:
		return nil, code.New(code.Moved, "partition %d is being moved", p)
	default:
		return nil, t.refusal(p)
	}
}

// refusal returns the error for a partition that isn't served here; a partition that is about to be served is worth waiting for.
func (t *Table) refusal(p int) error {
	if t.current == nil || p >= t.current.Partitions() {
		return code.New(code.NoOwner, "partition %d is unknown", p)
	}
	owner, ok := t.current.Owner(p)
	h := t.holdings[p]
	switch {
	case !ok:
		return code.New(code.NoOwner, "partition %d has no owner", p)
	case owner == t.self, h != nil && h.claiming:
		return code.New(code.Moved, "partition %d is not served yet", p)
	default:
		return code.New(code.NotOwner, "partition %d is owned by %s", p, owner)
	}
}

// Admission is a request in progress.
type Admission struct {
	table      *Table
	holding    *holding
	fence      uint64
	since      time.Time
	generation uint64
	once       sync.Once
}

// Fence returns the fencing token that the request carries to the upstream.
func (a *Admission) Fence() uint64 { return a.fence }

// Epoch returns the partition's epoch.
func (a *Admission) Epoch() uint64 { return a.fence >> 8 }

// Since returns when this incarnation began to serve the partition.
func (a *Admission) Since() time.Time { return a.since }

// Valid reports whether the lease has been valid without a break since the request was admitted.
func (a *Admission) Valid() bool {
	return a.table.lease.Generation() == a.generation && a.table.lease.Valid()
}

// Expires returns the end of the lease as known now.
func (a *Admission) Expires() time.Time { return a.table.lease.Expires() }

// Done ends the request. It may be called more than once.
func (a *Admission) Done() {
	a.once.Do(func() {
		a.table.mu.Lock()
		defer a.table.mu.Unlock()
		a.holding.inFlight--
		if a.holding.inFlight == 0 && a.holding.idle != nil {
			close(a.holding.idle)
			a.holding.idle = nil
		}
	})
}
