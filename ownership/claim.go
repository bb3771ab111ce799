package ownership

import (
	"context"
	"errors"
	"slices"
	"time"

	"sapphiretray/code"
	"sapphiretray/member"
	"sapphiretray/partition"
	"sapphiretray/peer"
	"sapphiretray/wait"
)

var errSuperseded = errors.New("a newer entry or promise supersedes the claim, or this incarnation is no longer entitled to the partition")

// startClaims starts a claim for each partition that this incarnation should serve but doesn't yet. m.mu must be held.
func (m *Manager) startClaims() {
	if m.current == nil || m.ctx.Err() != nil || m.draining || m.waited {
		return
	}
	for p := range m.current.Partitions() {
		for rank := range partition.MaxMembers {
			if i, ok := m.current.Member(p, rank); ok && i == m.self {
				m.startClaim(p, rank)
			}
		}
	}
}

// startClaim starts a claim for a partition in which this incarnation has the given rank, unless one runs already or this
// incarnation isn't entitled to serve it. m.mu must be held.
func (m *Manager) startClaim(p, rank int) {
	lp := m.localPartition(p)
	if lp.claiming || !m.entitled(p, rank) {
		return
	}
	lp.claiming = true
	m.group.Go(func() { m.claim(p) })
}

// entitled reports whether this incarnation should begin to serve a partition under the current entry, in which it has the given
// rank. All members of lower rank must have ended. m.mu must be held.
func (m *Manager) entitled(p, rank int) bool {
	if rank < 0 || m.draining {
		return false
	}
	for lower := range rank {
		if i, ok := m.current.Member(p, lower); ok && !m.isEnded(i) {
			return false
		}
	}
	lp := m.localPartition(p)
	epoch := m.current.Epoch(p)
	return lp.minEpoch <= epoch && (lp.state() != stateServing || lp.epoch < epoch)
}

// claim retries until this incarnation serves the partition or is no longer entitled to it.
func (m *Manager) claim(p int) {
	for {
		again, err := m.tryClaim(p)
		if err == nil || !again {
			return
		}
		if !wait.For(m.ctx, retryDelay) {
			return
		}
	}
}

// tryClaim makes one attempt of a claim. After an error, again reports whether another attempt makes sense.
func (m *Manager) tryClaim(p int) (again bool, err error) {
	e, rank, ok := m.beginClaim(p)
	if !ok {
		return false, errSuperseded
	}
	release, err := m.collectPromises(p, e)
	if err != nil {
		return true, err
	}
	defer release()
	return true, m.startServing(p, e, rank)
}

// beginClaim returns the current entry of the partition and this incarnation's rank in it, both of which may have changed since
// the last attempt. It returns false and ends the claim if this incarnation is no longer entitled to the partition.
func (m *Manager) beginClaim(p int) (e partition.Entry, rank int, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e = m.current.Entry(p)
	rank = e.Rank(m.self)
	lp := m.localPartition(p)
	if !m.entitled(p, rank) {
		lp.claiming = false
		if lp.state() == stateClaiming {
			_ = lp.machine.Fire("superseded", "this incarnation is no longer entitled to the partition")
		}
		return e, rank, false
	}
	if state := lp.state(); state == stateNone || state == stateReleased {
		trigger := "assigned"
		if rank > 0 {
			trigger = "expiry-proved"
		}
		_ = lp.machine.Fire(trigger, e.Describe(rank))
	}
	return e, rank, true
}

// collectPromises obtains a promise or a proof of expiry for each incarnation that may still serve under an older epoch. The one
// that serves now is asked last, so that it continues to serve if another promise can't be obtained. The upstream is warmed up before
// any promise is requested, while the earlier owner still serves.
//
// Unless it returns an error, the function release has to be called after the grant. Until then the last call counts as running, so that
// an owner doesn't give up partitions faster than they are granted.
func (m *Manager) collectPromises(p int, e partition.Entry) (release func(), err error) {
	var serving []member.Incarnation
	var notServing []member.Incarnation
	for _, i := range e.Previous {
		if i == m.self || m.Ended(i) {
			continue
		}
		serves, ended, err := m.isServing(i, p, e.Epoch)
		switch {
		case err != nil:
			return nil, err
		case ended:
		case serves:
			serving = append(serving, i)
		default:
			notServing = append(notServing, i)
		}
	}
	ctx, cancel := context.WithTimeout(m.ctx, m.drainTimeout)
	defer cancel()
	if err := m.granter.Warm(ctx); err != nil {
		return nil, code.Wrap(code.UpstreamNotWarmed, err, "warm up the upstream")
	}
	release = func() {}
	for _, i := range slices.Concat(notServing, serving) {
		release()
		call, end, err := m.acquireCall(i, p, e.Epoch)
		if err != nil {
			return nil, err
		}
		release = end
		if err := m.collectPromise(call, i, p, e.Epoch); err != nil {
			release()
			return nil, err
		}
	}
	return release, nil
}

// acquireCall waits until a call to an incarnation may run for a claim. The call has to use the returned context, which ends if the
// incarnation does. acquireCall returns errSuperseded if the claim is outdated by then.
func (m *Manager) acquireCall(i member.Incarnation, p int, epoch uint64) (call context.Context, release func(), err error) {
	call, release, err = m.calls.acquire(m.ctx, i)
	if err != nil {
		return nil, nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.current.Entry(p); e.Epoch != epoch || !m.entitled(p, e.Rank(m.self)) {
		release()
		return nil, nil, errSuperseded
	}
	return call, release, nil
}

// isServing asks an incarnation whether it serves the partition. If it can't be reached, its expiry has to be proved.
func (m *Manager) isServing(i member.Incarnation, p int, epoch uint64) (serves, ended bool, err error) {
	call, release, err := m.acquireCall(i, p, epoch)
	if err != nil {
		return false, false, err
	}
	defer release()
	if m.Ended(i) {
		return false, true, nil
	}
	response, err := m.requestPromise(call, i, p, epoch, false)
	if err != nil {
		if m.proveExpired(call, i) {
			return false, true, nil
		}
		return false, false, err
	}
	return response.GetServing(), false, nil
}

// collectPromise obtains the promise of an incarnation or a proof of its expiry.
func (m *Manager) collectPromise(call context.Context, i member.Incarnation, p int, epoch uint64) error {
	if m.Ended(i) {
		return nil
	}
	response, err := m.requestPromise(call, i, p, epoch, true)
	if err != nil {
		if m.proveExpired(call, i) {
			return nil
		}
		return err
	}
	if !response.GetPromised() {
		return code.New(code.Moved, "%s still serves partition %d", i, p)
	}
	m.dedupCache.Import(p, epoch, i, response)
	return nil
}

// requestPromise asks an incarnation for its promise or, without commit, only whether it serves the partition.
func (m *Manager) requestPromise(
	call context.Context, i member.Incarnation, p int, epoch uint64, commit bool,
) (*peer.PromiseResponse, error) {
	client, err := m.dial(i)
	if err != nil {
		return nil, err
	}
	timeout := callTimeout
	if commit {
		timeout += m.drainTimeout
	}
	ctx, cancel := context.WithTimeout(call, timeout)
	defer cancel()
	return client.Promise(ctx, &peer.PromiseRequest{
		Service: m.serviceName(), Partition: uint32(p), Epoch: epoch, Commit: commit,
		Successor: peer.FromIncarnation(m.self), Receiver: peer.FromIncarnation(i),
	})
}

func (m *Manager) serviceName() string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.current.Service()
}

// proveExpired reports whether an incarnation has ended, or the witnesses prove within proofTimeout that its lease has expired, which it
// records.
func (m *Manager) proveExpired(call context.Context, i member.Incarnation) bool {
	ctx, cancel := context.WithTimeout(call, proofTimeout)
	defer cancel()
	proved, err := m.prove(ctx, i)
	if m.Ended(i) {
		return true
	}
	if err != nil || !proved {
		return false
	}
	m.SetEnded(i)
	return true
}

// startServing grants the partition to the upstream and begins to serve it.
func (m *Manager) startServing(p int, e partition.Entry, rank int) error {
	// A drain that begins now doesn't end the claim: the earlier owners have given up the partition.
	call, release, err := m.calls.acquire(m.ctx, m.self)
	if err != nil {
		return err
	}
	defer release()
	if err := m.beginGrant(p, e, rank); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(call, callTimeout)
	defer cancel()
	grantErr := m.granter.Grant(ctx, p, e.Fence(rank))
	m.mu.Lock()
	defer m.mu.Unlock()
	lp := m.localPartition(p)
	lp.granting = false
	if grantErr != nil {
		return grantErr
	}
	if m.current.Epoch(p) != e.Epoch || lp.minEpoch > e.Epoch {
		return errSuperseded
	}
	if !m.lease.Valid() {
		return code.New(code.NoOwner, "the lease of %s is not valid", m.self)
	}
	trigger := "granted"
	if lp.state() == stateServing {
		trigger = "epoch-raised"
	} else {
		lp.servingSince = time.Now()
	}
	if err := lp.machine.Fire(trigger, e.Describe(rank)); err != nil {
		return err
	}
	lp.claiming = false
	lp.epoch, lp.rank, lp.handover = e.Epoch, rank, nil
	return nil
}

// beginGrant records that the upstream may hold the partition from now on. It returns an error if the grant must not be sent, because
// the lease has expired, there is a newer entry or a promise forbids it.
func (m *Manager) beginGrant(p int, e partition.Entry, rank int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	lp := m.localPartition(p)
	if m.current.Epoch(p) != e.Epoch || lp.minEpoch > e.Epoch {
		return errSuperseded
	}
	if !m.lease.Valid() {
		return code.New(code.NoOwner, "the lease of %s is not valid", m.self)
	}
	lp.granting, lp.granted = true, max(lp.granted, e.Fence(rank))
	return nil
}
