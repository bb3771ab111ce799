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

var errSuperseded = errors.New("the claim is superseded by a newer entry or promise")

// startClaims starts a claim for each partition that this incarnation should serve but doesn't yet. The caller must hold t.mu.
func (t *Table) startClaims() {
	if t.current == nil || t.ctx.Err() != nil || t.draining {
		return
	}
	for p := range t.current.Partitions() {
		for rank := range partition.MaxMembers {
			if i, ok := t.current.Member(p, rank); ok && i == t.self {
				t.startClaim(p, rank)
			}
		}
	}
}

// startClaim starts a claim for a partition in which this incarnation has the given rank, unless one runs already or this
// incarnation isn't entitled to serve it. The caller must hold t.mu.
func (t *Table) startClaim(p, rank int) {
	lp := t.localPartition(p)
	if lp.claiming || !t.entitled(p, rank) {
		return
	}
	lp.claiming = true
	t.group.Go(func() { t.claim(p) })
}

// entitled reports whether this incarnation should begin to serve a partition under the current entry, in which it has the given
// rank. All members of lower rank must be gone. The caller must hold t.mu.
func (t *Table) entitled(p, rank int) bool {
	if rank < 0 || t.draining {
		return false
	}
	for lower := range rank {
		if i, ok := t.current.Member(p, lower); ok && !t.isGone(i) {
			return false
		}
	}
	lp := t.localPartition(p)
	epoch := t.current.Epoch(p)
	return lp.promisedEpoch <= epoch && (lp.state() != stateServing || lp.epoch < epoch)
}

// claim retries until this incarnation serves the partition or is no longer entitled to it.
func (t *Table) claim(p int) {
	for {
		again, err := t.tryClaim(p)
		if err == nil || !again {
			return
		}
		if !wait.For(t.ctx, retryDelay) {
			return
		}
	}
}

// tryClaim makes one attempt of a claim. After an error, again reports whether another attempt makes sense.
func (t *Table) tryClaim(p int) (again bool, err error) {
	select {
	case t.claimLimit <- struct{}{}:
		defer func() { <-t.claimLimit }()
	case <-t.ctx.Done():
		return false, t.ctx.Err()
	}
	e, rank, ok := t.beginClaim(p)
	if !ok {
		return false, errSuperseded
	}
	if err := t.collectPromises(p, e); err != nil {
		return true, err
	}
	return true, t.startServing(p, e, rank)
}

// beginClaim returns the current entry of the partition and this incarnation's rank in it, both of which may have changed since
// the last attempt. It returns false and ends the claim if this incarnation is no longer entitled to the partition.
func (t *Table) beginClaim(p int) (e partition.Entry, rank int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e = t.current.Entry(p)
	rank = e.Rank(t.self)
	lp := t.localPartition(p)
	if !t.entitled(p, rank) {
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
// that serves now is asked last, so that it continues to serve if another promise can't be obtained.
func (t *Table) collectPromises(p int, e partition.Entry) error {
	var serving []member.Incarnation
	var notServing []member.Incarnation
	for _, i := range e.Previous {
		if i == t.self || t.Gone(i) {
			continue
		}
		answer, err := t.requestPromise(i, p, e.Epoch, false)
		switch {
		case err != nil:
			if proved := t.proveExpired(i); !proved {
				return err
			}
		case answer.GetServing():
			serving = append(serving, i)
		default:
			notServing = append(notServing, i)
		}
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.drainTimeout)
	defer cancel()
	if err := t.granter.Warm(ctx); err != nil {
		return code.Wrap(code.UpstreamNotWarmed, err, "warm up the upstream")
	}
	for _, i := range slices.Concat(notServing, serving) {
		answer, err := t.requestPromise(i, p, e.Epoch, true)
		if err != nil {
			if t.proveExpired(i) {
				continue
			}
			return err
		}
		if !answer.GetPromised() {
			return code.New(code.Moved, "%s still serves partition %d", i, p)
		}
		t.dedupCache.Import(p, e.Epoch, i, answer)
	}
	return nil
}

// requestPromise asks an incarnation for its promise or, without commit, only whether it serves the partition.
func (t *Table) requestPromise(i member.Incarnation, p int, epoch uint64, commit bool) (*peer.PromiseResponse, error) {
	client, err := t.dial(i)
	if err != nil {
		return nil, err
	}
	timeout := callTimeout
	if commit {
		timeout += t.drainTimeout
	}
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	return client.Promise(ctx, &peer.PromiseRequest{
		Service: t.serviceName(), Partition: uint32(p), Epoch: epoch, Commit: commit,
		Successor: peer.FromIncarnation(t.self), Receiver: peer.FromIncarnation(i),
	})
}

func (t *Table) serviceName() string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.current.Service()
}

// proveExpired reports whether the witnesses prove within proofTimeout that an incarnation's lease has expired, and records it.
func (t *Table) proveExpired(i member.Incarnation) bool {
	ctx, cancel := context.WithTimeout(t.ctx, proofTimeout)
	defer cancel()
	proved, err := t.prove(ctx, i)
	if err != nil || !proved {
		return false
	}
	t.SetGone(i)
	return true
}

// startServing grants the partition to the upstream and begins to serve it.
func (t *Table) startServing(p int, e partition.Entry, rank int) error {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	if err := t.granter.Grant(ctx, p, e.Fence(rank)); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	lp := t.localPartition(p)
	if t.current.Epoch(p) != e.Epoch || lp.promisedEpoch > e.Epoch {
		return errSuperseded
	}
	if !t.lease.Valid() {
		return code.New(code.NoOwner, "the lease of %s is not valid", t.self)
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
