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

var errSuperseded = errors.New("a newer epoch replaces the claim")

// evaluateAll starts a claim for each partition that this incarnation should serve and doesn't. Callers hold t.mu.
func (t *Table) evaluateAll() {
	if t.current == nil || t.ctx.Err() != nil || t.draining {
		return
	}
	for p := range t.current.Partitions() {
		for rank := range partition.Replicas {
			if i, ok := t.current.Member(p, rank); ok && i == t.self {
				t.evaluate(p, rank)
			}
		}
	}
}

func (t *Table) evaluate(p, rank int) {
	h := t.holding(p)
	if h.claiming || !t.entitled(p, rank) {
		return
	}
	h.claiming = true
	t.group.Go(func() { t.claim(p) })
}

// entitled reports whether this incarnation, at a rank of the current entry, should begin to serve it.
func (t *Table) entitled(p, rank int) bool {
	if rank < 0 || t.draining {
		return false
	}
	for lower := range rank {
		if i, ok := t.current.Member(p, lower); ok && !t.isGone(i) {
			return false
		}
	}
	h := t.holding(p)
	epoch := t.current.Epoch(p)
	return h.promised <= epoch && (h.state() != stateServing || h.epoch < epoch)
}

// claim repeats until the partition is served or this incarnation no longer should serve it.
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

func (t *Table) tryClaim(p int) (again bool, err error) {
	select {
	case t.claims <- struct{}{}:
		defer func() { <-t.claims }()
	case <-t.ctx.Done():
		return false, t.ctx.Err()
	}
	e, rank, ok := t.beginClaim(p)
	if !ok {
		return false, errSuperseded
	}
	if err := t.collect(p, e); err != nil {
		return true, err
	}
	return true, t.activate(p, e, rank)
}

// beginClaim returns the entry to claim. The entry may have changed since the last try, and with it this incarnation's rank.
func (t *Table) beginClaim(p int) (e partition.Entry, rank int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e = t.current.Entry(p)
	rank = e.Rank(t.self)
	h := t.holding(p)
	if !t.entitled(p, rank) {
		h.claiming = false
		if h.state() == stateClaiming {
			_ = h.machine.Fire("superseded", "this incarnation is no longer entitled to the partition")
		}
		return e, rank, false
	}
	if state := h.state(); state == stateNone || state == stateReleased {
		trigger := "assigned"
		if rank > 0 {
			trigger = "expiry-proved"
		}
		_ = h.machine.Fire(trigger, e.Describe(rank))
	}
	return e, rank, true
}

// collect obtains a promise or a proof of expiry for each incarnation that may still serve under an older epoch. The one that
// serves is asked last, so that it goes on serving if another promise can't be had.
func (t *Table) collect(p int, e partition.Entry) error {
	var serving []member.Incarnation
	var waiting []member.Incarnation
	for _, i := range e.From {
		if i == t.self || t.Gone(i) {
			continue
		}
		answer, err := t.ask(i, p, e.Epoch, false)
		switch {
		case err != nil:
			if proved := t.proveNow(i); !proved {
				return err
			}
		case answer.GetServing():
			serving = append(serving, i)
		default:
			waiting = append(waiting, i)
		}
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.drainTimeout)
	defer cancel()
	if err := t.granter.Warm(ctx); err != nil {
		return code.Wrap(code.UpstreamNotWarmed, err, "warm up the upstream")
	}
	for _, i := range slices.Concat(waiting, serving) {
		answer, err := t.ask(i, p, e.Epoch, true)
		if err != nil {
			if t.proveNow(i) {
				continue
			}
			return err
		}
		if !answer.GetPromised() {
			return code.New(code.Moved, "%s keeps partition %d for now", i, p)
		}
		t.memory.Import(p, e.Epoch, i, answer)
	}
	return nil
}

func (t *Table) ask(i member.Incarnation, p int, epoch uint64, commit bool) (*peer.PromiseResponse, error) {
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

func (t *Table) proveNow(i member.Incarnation) bool {
	ctx, cancel := context.WithTimeout(t.ctx, proofTimeout)
	defer cancel()
	proved, err := t.prove(ctx, i)
	if err != nil || !proved {
		return false
	}
	t.SetGone(i)
	return true
}

// activate grants the partition to the upstream and begins to serve it.
func (t *Table) activate(p int, e partition.Entry, rank int) error {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	if err := t.granter.Grant(ctx, p, e.Fence(rank)); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.holding(p)
	if t.current.Epoch(p) != e.Epoch || h.promised > e.Epoch {
		return errSuperseded
	}
	if !t.lease.Valid() {
		return code.New(code.NoOwner, "the lease of %s is not valid", t.self)
	}
	trigger := "granted"
	if h.state() == stateServing {
		trigger = "epoch-raised"
	} else {
		h.since = time.Now()
	}
	if err := h.machine.Fire(trigger, e.Describe(rank)); err != nil {
		return err
	}
	h.claiming = false
	h.epoch, h.rank, h.handover = e.Epoch, rank, nil
	return nil
}
