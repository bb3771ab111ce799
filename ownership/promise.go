package ownership

import (
	"context"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"sapphiretray/code"
	"sapphiretray/peer"
)

// Promise handles the request of an incarnation that wants to serve a partition under a newer epoch. With commit set, it stops serving the
// partition, waits for the requests in flight, revokes the upstream's grants, and promises never to serve it under an epoch below the
// requested one. If requests are still in flight after the drain timeout, it continues to serve and promises nothing. It doesn't promise
// either while the upstream may hold the partition; the request has to be repeated then. It returns code.BadRequest if the request is for
// another incarnation, and code.NoOwner if no partition map is known or the partition isn't in it.
func (m *Manager) Promise(ctx context.Context, request *peer.PromiseRequest) (*peer.PromiseResponse, error) {
	if r := request.GetReceiver().ToIncarnation(); r != m.self {
		return nil, code.New(code.BadRequest, "this is %s, not %s", m.self, r)
	}
	p, epoch := int(request.GetPartition()), request.GetEpoch()
	m.mu.Lock()
	if m.current == nil {
		m.mu.Unlock()
		return nil, code.New(code.NoOwner, "no partition map is known yet")
	}
	if p >= m.current.Partitions() {
		m.mu.Unlock()
		return nil, code.New(code.NoOwner, "partition %d is not in the partition map of this instance", p)
	}
	lp := m.localPartition(p)
	served := lp.state() == stateServing || lp.state() == stateReleasing
	if !request.GetCommit() {
		m.mu.Unlock()
		return &peer.PromiseResponse{Serving: served}, nil
	}
	if len(lp.parentRequests) > 0 {
		m.mu.Unlock()
		if !m.awaitParentRequests(ctx, lp) {
			return &peer.PromiseResponse{Serving: true}, nil
		}
		m.mu.Lock()
	}
	response, done := m.respondWithoutDrain(lp, epoch)
	if done {
		m.mu.Unlock()
		return m.revokeBefore(ctx, p, lp, response), nil
	}
	_ = lp.machine.Fire("promise-asked", request.GetSuccessor().ToIncarnation().String()+" takes over")
	idle := make(chan struct{})
	if lp.inFlight == 0 {
		close(idle)
	} else {
		lp.idle = idle
	}
	m.mu.Unlock()
	return m.drainAndRelease(ctx, p, lp, epoch, idle)
}

// respondWithoutDrain returns the response and true unless the partition must be drained first. m.mu must be held.
func (m *Manager) respondWithoutDrain(lp *localPartition, epoch uint64) (*peer.PromiseResponse, bool) {
	switch {
	case lp.state() == stateReleasing:
		return &peer.PromiseResponse{Serving: true}, true
	case lp.state() == stateServing && lp.epoch >= epoch:
		return &peer.PromiseResponse{Serving: true}, true
	case lp.state() == stateServing:
		return nil, false
	case lp.granted>>8 >= epoch:
		// The request is outdated: this incarnation is about to serve under the same epoch or a newer one.
		return &peer.PromiseResponse{Serving: true}, true
	}
	if epoch > lp.minEpoch {
		lp.minEpoch = epoch
		_ = lp.machine.Fire("promise-given", "promised not to serve below epoch "+strconv.FormatUint(epoch, 10))
	}
	if lp.handover != nil {
		return lp.handover, true
	}
	return &peer.PromiseResponse{Promised: true}, true
}

// drainAndRelease stops serving once no request is in flight. If that takes longer than the drain timeout, it continues to serve.
func (m *Manager) drainAndRelease(
	ctx context.Context, p int, lp *localPartition, epoch uint64, idle <-chan struct{},
) (*peer.PromiseResponse, error) {
	timer := time.NewTimer(m.drainTimeout)
	defer timer.Stop()
	drained := false
	select {
	case <-idle:
		drained = true
	case <-timer.C:
	case <-ctx.Done():
	}
	m.mu.Lock()
	lp.idle = nil
	if !drained && lp.inFlight > 0 {
		_ = lp.machine.Fire("drain-timeout", "requests are still in flight")
		m.mu.Unlock()
		return &peer.PromiseResponse{Serving: true}, nil
	}
	lp.minEpoch = max(lp.minEpoch, epoch)
	_ = lp.machine.Fire("drained", "no request is in flight")
	response := m.dedupCache.Export(p)
	response.Promised = true
	lp.handover = response
	m.mu.Unlock()
	return m.revokeBefore(ctx, p, lp, response), nil
}

// revokeBefore revokes the upstream's grant of a partition that isn't served any more and returns the response, or one without a promise
// if the upstream may still hold the partition. Waiting for the end of the grant wouldn't suffice, since renewals extend all grants of the
// incarnation.
func (m *Manager) revokeBefore(ctx context.Context, p int, lp *localPartition, response *peer.PromiseResponse) *peer.PromiseResponse {
	if !response.GetPromised() {
		return response
	}
	m.mu.Lock()
	granted, granting := lp.granted, lp.granting
	m.mu.Unlock()
	switch {
	case granting:
		return &peer.PromiseResponse{Serving: true}
	case granted == 0:
		return response
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	// code.Conflict means that a newer grant has replaced this one.
	if err := m.granter.Revoke(ctx, p, granted); err != nil {
		if c, _ := code.Of(err); c != code.Conflict {
			klog.V(1).InfoS("ownership: revocation failed", "partition", p, "fence", granted, "err", err)
			return &peer.PromiseResponse{Serving: true}
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if lp.granted == granted {
		lp.granted = 0
	}
	if lp.granted != 0 || lp.granting {
		return &peer.PromiseResponse{Serving: true}
	}
	return response
}

// RevokeAll revokes all grants at the upstream. The lease must have ended, so that no further grant is sent. The error is nil if the
// upstream holds no partition any more.
func (m *Manager) RevokeAll(ctx context.Context) error {
	m.mu.Lock()
	granted := make(map[int]uint64)
	granting := false
	for p, lp := range m.localPartitions {
		granting = granting || lp.granting
		if lp.granted != 0 {
			granted[p] = lp.granted
		}
	}
	m.mu.Unlock()
	var revocations errgroup.Group
	revocations.SetLimit(maxConcurrentCalls)
	for p, fence := range granted {
		revocations.Go(func() error { return m.granter.Revoke(ctx, p, fence) })
	}
	err := revocations.Wait()
	if err == nil && granting {
		return code.New(code.Conflict, "a partition is being granted")
	}
	return err
}
