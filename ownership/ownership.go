// Package ownership decides which partitions of the instance's service this incarnation may serve now. Before it serves a
// partition, every incarnation that may still serve it under an older epoch must have promised to stop, or its lease must be
// proved to have expired. It gives up a partition when another incarnation asks for that promise.
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

const (
	// DefaultDrainTimeout bounds the wait for requests in flight when a partition is given up.
	DefaultDrainTimeout = 5 * time.Second
	// retryDelay is the time between two attempts of one claim.
	retryDelay = 50 * time.Millisecond
	// proofTimeout bounds the proof that one incarnation's lease has expired.
	proofTimeout = 2 * time.Second
	// callTimeout bounds a call to another instance or to the upstream, without the time for draining.
	callTimeout = 500 * time.Millisecond
	// maxConcurrentCalls bounds the calls to one other incarnation, and those to the upstream, that run at the same time.
	maxConcurrentCalls = 32
)

// Lease is this incarnation's lease.
type Lease interface {
	// Valid reports whether the lease is valid now.
	Valid() bool
	// Expires returns the time at which the lease ends unless it is extended.
	Expires() time.Time
	// Generation changes whenever the lease was lost and acquired again.
	Generation() uint64
}

// Granter gives partitions to the local upstream and takes them back.
type Granter interface {
	// Warm returns when the upstream is ready to serve.
	Warm(ctx context.Context) error
	// Grant lets the upstream serve a partition under a fencing token.
	Grant(ctx context.Context, p int, fence uint64) error
	// Revoke ends the grant with the given fencing token.
	Revoke(ctx context.Context, p int, fence uint64) error
}

// DedupCache holds the recent request ids of each partition, by which retries are recognised.
type DedupCache interface {
	// Export returns the ids of a partition for its next owner.
	Export(p int) *peer.PromiseResponse
	// Import adds the ids that an earlier owner of a partition has exported.
	Import(p int, epoch uint64, from member.Incarnation, handover *peer.PromiseResponse)
}

// ProveFunc asks the witnesses of an incarnation whether its lease has expired and can't be re-acquired. It returns false without an
// error if a witness responded that it can't confirm the expiry, and the error of ctx if none did and ctx ended before the proof.
type ProveFunc func(ctx context.Context, holder member.Incarnation) (bool, error)

// DialFunc returns a client for calls to the instance in an incarnation's slot. If that instance has another incarnation by now, Promise
// returns code.BadRequest.
type DialFunc func(i member.Incarnation) (peer.Peer, error)

// Manager holds the state of each partition that this incarnation serves, claims or was asked to give up.
type Manager struct {
	self          member.Incarnation
	lease         Lease
	granter       Granter
	dedupCache    DedupCache
	prove         ProveFunc
	dial          DialFunc
	log           *timeline.Log
	endedByRecord func(member.Incarnation) bool
	drainTimeout  time.Duration
	chart         *chart.Chart

	mu              sync.RWMutex
	current         *partition.Map
	localPartitions map[int]*localPartition
	ended           map[member.Incarnation]bool
	draining        bool

	ctx context.Context
	// calls bounds the calls for claims. Those to the upstream count for this incarnation.
	calls callLimits
	// group holds the running claims and proofs. None begins once waited is set; mu guards both.
	group  sync.WaitGroup
	waited bool
}

// localPartition is this incarnation's state of one partition. Manager.mu guards it.
type localPartition struct {
	machine      *chart.Machine
	epoch        uint64
	rank         int
	servingSince time.Time
	// minEpoch is the lowest epoch under which this incarnation may still serve the partition; 0 if it has promised nothing.
	minEpoch uint64
	claiming bool
	// requests holds the groups of the requests in flight, and parentRequests those on the partition that had the key of this one before.
	requests, parentRequests []*requestGroup
	// granted is the highest fencing token of a grant that was sent to the upstream and has not been revoked; 0 if there is none. The
	// upstream may hold the partition whatever has become of the claim that the grant was sent for.
	granted uint64
	// granting is set while a call for a grant is running.
	granting bool
	inFlight int
	// idle is closed when no request is in flight any more; it is nil unless a release waits for that.
	idle chan struct{}
	// handover is the response that handed over the partition. It is kept because the response may be lost and requested again.
	handover *peer.PromiseResponse
}

// The states of a partition, as in the state chart "partition".
const (
	stateNone      = "none"
	stateClaiming  = "claiming"
	stateServing   = "serving"
	stateReleasing = "releasing"
	stateReleased  = "released"
)

// Option changes a Manager under construction.
type Option func(*Manager)

// WithDrainTimeout bounds the wait for requests in flight when a partition is given up.
func WithDrainTimeout(d time.Duration) Option { return func(m *Manager) { m.drainTimeout = d } }

// WithLog sets the log that records the state transitions of partitions.
func WithLog(log *timeline.Log) Option { return func(m *Manager) { m.log = log } }

// WithEnded sets a function that reports whether the records of the table service show that an incarnation will never serve
// again.
func WithEnded(ended func(member.Incarnation) bool) Option {
	return func(m *Manager) { m.endedByRecord = ended }
}

// New returns a manager that serves no partition. Its claims run until ctx ends.
func New(ctx context.Context, self member.Incarnation, lease Lease, granter Granter, dedupCache DedupCache, prove ProveFunc,
	dial DialFunc, options ...Option,
) *Manager {
	m := &Manager{
		self: self, lease: lease, granter: granter, dedupCache: dedupCache, prove: prove, dial: dial,
		endedByRecord:   func(member.Incarnation) bool { return false },
		drainTimeout:    DefaultDrainTimeout,
		chart:           chart.MustLoad("partition"),
		localPartitions: make(map[int]*localPartition),
		ended:           make(map[member.Incarnation]bool),
		ctx:             ctx,
	}
	for _, option := range options {
		option(m)
	}
	return m
}

// Wait blocks until all goroutines of the manager have ended. Their context, the one given to New, must end first. Maps and notices that
// arrive from then on start none.
func (m *Manager) Wait() {
	m.mu.Lock()
	m.waited = true
	m.mu.Unlock()
	m.group.Wait()
}

// Update replaces the partition map of the instance's service and starts the claims that the new map requires. A map that isn't
// newer than the current one is ignored.
func (m *Manager) Update(next *partition.Map) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current != nil && next.Version() <= m.current.Version() {
		return
	}
	m.recordOverrides(next)
	m.current = next
	m.startClaims()
}

// SetEnded records that an incarnation's lease has expired and can't be re-acquired, or that the incarnation has left. It starts
// the claims that this allows, and cancels the calls to the incarnation.
func (m *Manager) SetEnded(i member.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i == m.self || m.ended[i] {
		return
	}
	m.ended[i] = true
	m.calls.endCalls(i)
	m.startClaims()
}

// Ended reports whether an incarnation is known never to serve again: it has ended, or its lease has expired and can't be re-acquired.
func (m *Manager) Ended(i member.Incarnation) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.isEnded(i)
}

// isEnded does what Ended does, without locking. m.mu must be held.
func (m *Manager) isEnded(i member.Incarnation) bool { return m.ended[i] || m.endedByRecord(i) }

// MaySucceed reports whether this incarnation may have to take over a partition from another one.
func (m *Manager) MaySucceed(i member.Incarnation) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.current == nil {
		return false
	}
	for p := range m.current.Partitions() {
		if m.isMember(p) && m.current.MayServe(p, i) {
			return true
		}
	}
	return false
}

// isMember reports whether this incarnation is the owner or a successor in the partition's current entry. m.mu must be held.
func (m *Manager) isMember(p int) bool {
	for rank := range partition.MaxMembers {
		if i, ok := m.current.Member(p, rank); ok && i == m.self {
			return true
		}
	}
	return false
}

// NotifyExpiry handles a witness's notice that the lease of an incarnation has expired. If this incarnation may have to take over from
// the expired one, it asks the witnesses of that one for a proof in the background.
func (m *Manager) NotifyExpiry(i member.Incarnation) {
	if m.Ended(i) || !m.MaySucceed(i) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waited {
		return
	}
	m.group.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, proofTimeout)
		defer cancel()
		if proved, err := m.prove(ctx, i); err == nil && proved {
			m.SetEnded(i)
		}
	})
}

// Drain stops the manager from starting claims. Partitions are given up when other incarnations ask for promises.
func (m *Manager) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
}

// Serving returns the epoch of each partition that this incarnation serves, including those that it is releasing.
func (m *Manager) Serving() map[int]uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	serving := make(map[int]uint64)
	for p, lp := range m.localPartitions {
		if lp.state() == stateServing || lp.state() == stateReleasing {
			serving[p] = lp.epoch
		}
	}
	return serving
}

func (lp *localPartition) state() string { return lp.machine.State() }

// localPartition returns the state of a partition and creates it if needed. m.mu must be held.
func (m *Manager) localPartition(p int) *localPartition {
	lp, ok := m.localPartitions[p]
	if !ok {
		lp = &localPartition{machine: chart.New(m.chart, m.current.Service()+"/"+strconv.Itoa(p), m.log)}
		m.localPartitions[p] = lp
	}
	return lp
}

// Admit begins a request on a partition; Admission.Done ends it. Its errors have code.Moved, code.NotOwner or code.NoOwner and mean that
// the request did not run.
func (m *Manager) Admit(p int) (*Admission, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lp, ok := m.localPartitions[p]
	if !ok {
		return nil, m.notServedError(p)
	}
	switch lp.state() {
	case stateServing:
		if !m.lease.Valid() {
			// A successor may serve already, so the request is tried there next.
			return nil, code.New(code.NotOwner, "the lease of %s is not valid", m.self)
		}
		lp.inFlight++
		return &Admission{
			manager: m, localPartition: lp, requests: lp.addRequest(), fence: lp.epoch<<8 | uint64(lp.rank),
			servingSince: lp.servingSince, generation: m.lease.Generation(),
		}, nil
	case stateReleasing:
		return nil, code.New(code.Moved, "partition %d is being moved", p)
	default:
		return nil, m.notServedError(p)
	}
}

// notServedError returns the error for a partition that isn't served here. A partition that will be served here soon yields
// code.Moved, for which the request waits. m.mu must be held.
func (m *Manager) notServedError(p int) error {
	if m.current == nil || p >= m.current.Partitions() {
		return code.New(code.NoOwner, "partition %d is unknown", p)
	}
	owner, ok := m.current.Owner(p)
	lp := m.localPartitions[p]
	switch {
	case !ok:
		return code.New(code.NoOwner, "partition %d has no owner", p)
	case owner == m.self, lp != nil && lp.claiming:
		return code.New(code.Moved, "partition %d is not served yet", p)
	default:
		return code.New(code.NotOwner, "partition %d is owned by %s", p, owner)
	}
}

// Admission is a request in flight on a partition.
type Admission struct {
	manager        *Manager
	localPartition *localPartition
	requests       *requestGroup
	// fence holds the epoch and, in the lowest 8 bits, the rank; see partition.Entry.Fence.
	fence        uint64
	servingSince time.Time
	// generation is that of the lease at the admission.
	generation uint64
	once       sync.Once
}

// Fence returns the fencing token that the request carries to the upstream.
func (a *Admission) Fence() uint64 { return a.fence }

// Epoch returns the epoch under which the request was admitted.
func (a *Admission) Epoch() uint64 { return a.fence >> 8 }

// OwnedSince returns the time at which this incarnation began to serve the partition.
func (a *Admission) OwnedSince() time.Time { return a.servingSince }

// Valid reports whether the lease is valid and has been so without a break since the request was admitted.
func (a *Admission) Valid() bool {
	return a.manager.lease.Generation() == a.generation && a.manager.lease.Valid()
}

// Expires returns the time at which the lease ends unless it is extended.
func (a *Admission) Expires() time.Time { return a.manager.lease.Expires() }

// Done ends the request. It may be called more than once.
func (a *Admission) Done() {
	a.once.Do(func() {
		a.manager.mu.Lock()
		defer a.manager.mu.Unlock()
		a.requests.end()
		a.localPartition.inFlight--
		if a.localPartition.inFlight == 0 && a.localPartition.idle != nil {
			close(a.localPartition.idle)
			a.localPartition.idle = nil
		}
	})
}
