package instance

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"sapphiretray/caller"
	"sapphiretray/chart"
	"sapphiretray/heartbeat"
	"sapphiretray/member"
	"sapphiretray/ownership"
	"sapphiretray/peer"
	"sapphiretray/upstream"
	"sapphiretray/wait"
	"sapphiretray/witness"
)

const (
	// notifyTimeout bounds the notification of another instance of an expired lease or of a quarantine.
	notifyTimeout = 300 * time.Millisecond
	// rejoinAfter is how long the instance tries to re-acquire an expired lease before it joins as a new incarnation.
	rejoinAfter = 2 * time.Second
)

// session is the part of an instance that belongs to one incarnation.
type session struct {
	instance *Instance
	self     member.Incarnation
	endpoint *heartbeat.Endpoint
	prover   *heartbeat.Prover
	owned    *ownership.Manager
	server   *caller.Server
	// leaseState is the state machine of this incarnation's lease.
	leaseState *chart.Machine
	// ctx is cancelled when the incarnation ends.
	ctx    context.Context
	cancel context.CancelCauseFunc

	recordMu      sync.Mutex
	record        member.Record
	recordVersion uint64

	mu sync.Mutex
	// expiredAt is when the lease expired; zero while it is valid and before it was first acquired.
	expiredAt time.Time
	// grantsEnd is the latest end of the grants that were sent to the upstream.
	grantsEnd time.Time
}

var errEnded = errors.New("the incarnation has ended")

func newSession(running context.Context, i *Instance, record member.Record, version uint64) *session {
	ctx, cancel := context.WithCancelCause(running)
	s := &session{
		instance: i, self: record.Incarnation, record: record, recordVersion: version, ctx: ctx, cancel: cancel,
		leaseState: chart.New(chart.MustLoad("lease"), record.Incarnation.String(), i.log),
	}
	i.log.SetSource(s.self.String())
	timing := witness.NewTiming(i.settings.LeaseDuration(), i.settings.HeartbeatInterval(), i.settings.ClockDrift())
	s.endpoint = heartbeat.New(s.self,
		heartbeat.WithListen(i.settings.ListenHeartbeats().String()),
		heartbeat.WithTiming(timing),
		heartbeat.WithVersions(i.versions),
		heartbeat.WithOnVersions(i.observeVersions),
		heartbeat.WithDial(i.dialSlot),
		heartbeat.WithOnExpiry(s.notifySuccessors),
		heartbeat.WithOnChange(s.leaseChanged),
	)
	s.prover = heartbeat.NewProver(i.dialSlot, timing)
	dedup := caller.NewDedup(s.self)
	s.owned = ownership.New(ctx, s.self, s.lease(), &granter{session: s}, dedup, s.prove, i.dialMember,
		ownership.WithDrainTimeout(i.settings.DrainTimeout()), ownership.WithLog(i.log), ownership.WithEnded(i.directory.ended))
	s.server = caller.New(owner{s.owned}, &callerDirectory{directory: i.directory, session: s}, &i.routes, i.upstream,
		caller.WithLimiter(i.limiter), caller.WithBudget(i.budget), caller.WithHold(i.settings.HoldTimeout()),
		caller.WithTransport(i.transport), caller.WithDedup(dedup), caller.WithQuarantine(i.quarantine),
		caller.WithMemory(i.memory))
	return s
}

func (s *session) lease() heartbeat.Lease { return s.endpoint.Lease() }

// run serves as one incarnation until it ends, and reports whether it ended by a planned stop. The end of the stop context
// begins a planned stop; the running context outlives it.
func (s *session) run(stop, running context.Context) (left bool, err error) {
	i := s.instance
	defer s.cancel(errEnded)
	if err := s.endpoint.SetWitnesses(i.witnessAddresses(s.record.Witnesses)); err != nil {
		return false, err
	}
	i.session.Store(s)
	if m := i.directory.Map(i.settings.Service()); m != nil {
		s.owned.Update(m)
	}
	group, ctx := errgroup.WithContext(s.ctx)
	group.Go(func() error { return s.endpoint.Run(ctx) })
	group.Go(func() error { s.renewGrants(ctx); return nil })
	group.Go(func() error { s.announceReady(ctx); return nil })
	group.Go(func() error { s.watchLease(ctx); return nil })
	group.Go(func() error { return i.runPlanner(ctx, s) })
	group.Go(func() error {
		select {
		case <-stop.Done():
			s.leave(running)
			left = true
			s.cancel(errEnded)
		case <-ctx.Done():
		}
		return nil
	})
	err = group.Wait()
	s.owned.Wait()
	if !left {
		// The record of the next incarnation proves that this one serves no more.
		s.endGrants(running)
	}
	if running.Err() == nil && s.ctx.Err() != nil {
		err = nil
	}
	return left, err
}

// end makes the incarnation stop; the instance joins again as a new one.
func (s *session) end(reason string) {
	if s.ctx.Err() == nil {
		klog.Infof("instance: ending incarnation %s: %s", s.self, reason)
		_ = s.instance.state.Fire("replaced", reason)
	}
	s.cancel(errEnded)
}

// upstreamFailed resigns the lease and ends the incarnation, so that successors take over as soon as the upstream's grants have ended.
func (s *session) upstreamFailed() {
	s.instance.background.Go(func() {
		// The session may end because the lease is lost while the grants end.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), s.instance.settings.LeaseDuration()+notifyTimeout)
		defer cancel()
		s.resignLease(ctx)
		s.end("the upstream does not answer")
	})
}

// resignLease ends the lease and the upstream's grants, and then resigns the lease, so that the witnesses may confirm its expiry at once.
// It doesn't resign if ctx ends before the grants.
func (s *session) resignLease(ctx context.Context) {
	s.endpoint.EndLease()
	if !s.endGrants(ctx) {
		return
	}
	if err := s.endpoint.ResignLease(ctx); err != nil {
		klog.V(1).Infof("lease: resignation of %s failed: %v", s.self, err)
	}
}

// endGrants waits until the upstream holds no partitions any more: it has ended, it has revoked the grants, or they have expired. It
// returns false if ctx ends first. No further grant may be sent.
func (s *session) endGrants(ctx context.Context) bool {
	s.mu.Lock()
	end := s.grantsEnd
	s.mu.Unlock()
	granted, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if granted.Err() != nil || s.instance.upstream.HasEnded(granted) {
		return ctx.Err() == nil
	}
	if err := s.owned.RevokeAll(granted); err != nil {
		klog.InfoS("upstream: grants not revoked, waiting for their end", "instance", s.self, "left", time.Until(end), "err", err)
		<-granted.Done()
	}
	return ctx.Err() == nil
}

// grantUntil records that a grant with the given end is about to be sent to the upstream.
func (s *session) grantUntil(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end.After(s.grantsEnd) {
		s.grantsEnd = end
	}
}

// leaseChanged records that this incarnation's lease became valid or expired.
func (s *session) leaseChanged(valid bool, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !valid {
		s.expiredAt = time.Now()
		_ = s.leaseState.Fire("expired", reason)
		_ = s.instance.state.Fire("lease-lost", reason)
		return
	}
	first := s.leaseState.State() == "none"
	s.expiredAt = time.Time{}
	if first {
		_ = s.leaseState.Fire("acquired", reason)
		return
	}
	_ = s.leaseState.Fire("reacquired", reason)
	_ = s.instance.state.Fire("lease-reacquired", reason)
}

// announceReady sets the state of the record to ready once the lease is valid for the first time, so that the planner assigns
// partitions.
func (s *session) announceReady(ctx context.Context) {
	for ctx.Err() == nil {
		if s.lease().Valid() {
			err := s.setState(ctx, member.Ready)
			if err == nil {
				_ = s.instance.state.Fire("lease-acquired", s.self.String())
				s.instance.readyOnce.Do(func() { close(s.instance.ready) })
				return
			}
			klog.Warningf("instance: record of %s can't be written: %v", s.self, err)
		}
		wait.For(ctx, retryDelay/4)
	}
}

// watchLease ends the incarnation if its lease was lost or stays expired for rejoinAfter. It waits until the platform responds,
// because joining again needs the table.
func (s *session) watchLease(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, retryDelay)
		s.mu.Lock()
		expired := !s.expiredAt.IsZero() && time.Since(s.expiredAt) > rejoinAfter
		s.mu.Unlock()
		if expired || s.lease().Lost() {
			if _, err := s.instance.table.Get(ctx, member.RowKey(s.self.Slot())); err == nil {
				s.end("its lease can't be re-acquired")
			}
		}
	}
}

// renewGrants extends the upstream's grants to the end of the lease, once per heartbeat interval, if the upstream checks grants.
func (s *session) renewGrants(ctx context.Context) {
	for ctx.Err() == nil {
		if lease := s.lease(); lease.Valid() && s.instance.settings.UpstreamChecksGrants() {
			end := lease.Expires()
			s.grantUntil(end)
			if err := s.instance.upstream.Renew(ctx, s.self, end); err != nil && ctx.Err() == nil {
				klog.V(1).Infof("upstream: renewal of grants failed: %v", err)
			}
		}
		wait.For(ctx, s.instance.settings.HeartbeatInterval())
	}
}

// notifySuccessors tells the successors of an incarnation that its lease has expired at this witness.
func (s *session) notifySuccessors(holder member.Incarnation) {
	request := &peer.NotifyExpiryRequest{Holder: peer.FromIncarnation(holder), Witness: s.self.Slot()}
	klog.V(1).Infof("lease: the lease of %s has expired at this witness", holder)
	s.instance.suspect(holder)
	for _, successor := range s.instance.directory.successors(holder) {
		if successor == s.self {
			s.owned.NotifyExpiry(holder)
			continue
		}
		client, err := s.instance.dialMember(successor)
		if err != nil {
			continue
		}
		s.instance.background.Go(func() {
			ctx, cancel := context.WithTimeout(s.ctx, notifyTimeout)
			defer cancel()
			_, _ = client.NotifyExpiry(ctx, request)
		})
	}
}

// prove reports whether the lease of an incarnation has expired and can't be re-acquired, according to the table or to its witnesses.
func (s *session) prove(ctx context.Context, holder member.Incarnation) (bool, error) {
	if s.instance.directory.ended(holder) {
		return true, nil
	}
	record, ok := s.instance.directory.Record(holder)
	if !ok {
		return false, nil
	}
	if record.State == member.Joining {
		// The lease may not have been valid yet, so a witness that has received no heartbeat proves nothing.
		return false, nil
	}
	return s.prover.ProveExpired(ctx, holder, record.Witnesses)
}

// granter implements ownership.Granter with the local upstream.
type granter struct {
	session *session
}

// Warm returns when the upstream is ready.
func (g *granter) Warm(ctx context.Context) error { return g.session.instance.awaitUpstream(ctx) }

// Grant registers a grant that ends with the lease, if the upstream checks grants.
func (g *granter) Grant(ctx context.Context, p int, fence uint64) error {
	if !g.session.instance.settings.UpstreamChecksGrants() {
		return nil
	}
	end := g.session.lease().Expires()
	g.session.grantUntil(end)
	return g.session.instance.upstream.Grant(ctx, upstream.Grant{Incarnation: g.session.self, Partition: p, Fence: fence, LeaseEnd: end})
}

// Revoke ends a grant, if the upstream checks grants.
func (g *granter) Revoke(ctx context.Context, p int, fence uint64) error {
	if !g.session.instance.settings.UpstreamChecksGrants() {
		return nil
	}
	return g.session.instance.upstream.Revoke(ctx, p, fence)
}

// owner implements caller.Owner with the ownership manager.
type owner struct {
	manager *ownership.Manager
}

// Admit admits a request of a partition, see caller.Owner.
func (o owner) Admit(p int) (caller.Admission, error) {
	a, err := o.manager.Admit(p)
	if err != nil {
		return nil, err
	}
	return a, nil
}
