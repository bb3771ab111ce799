package grant

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/wait"
)

var (
	errSuperseded = errors.New("a newer map replaces the claim")
	errBusy       = errors.New("the keys are being released")
	errNoLease    = errors.New("the lease is not valid")
)

// claim repeats until the entry is served or the map no longer assigns it to this incarnation under its epoch.
func (k *Keeper) claim(e keyspace.Entry) {
	defer func() {
		k.mu.Lock()
		if k.claims[e.Range] == e.Epoch {
			delete(k.claims, e.Range)
		}
		k.mu.Unlock()
	}()
	started := time.Now()
	for k.ctx.Err() == nil {
		err := k.tryClaim(e)
		if err == nil {
			klog.InfoS("grant: serving", "keys", e.Range, "epoch", e.Epoch, "from", e.Previous, "took", time.Since(started))
			return
		}
		if errors.Is(err, errSuperseded) || errors.Is(err, ErrFenced) {
			klog.InfoS("grant: claim ended", "keys", e.Range, "epoch", e.Epoch, "err", err)
			k.forget(e)
			return
		}
		klog.V(1).InfoS("grant: claim failed", "keys", e.Range, "epoch", e.Epoch, "err", err)
		wait.For(k.ctx, retryDelay)
	}
}

// begin marks the keys of an entry as being claimed and returns false if the claim isn't called for any more.
func (k *Keeper) begin(e keyspace.Entry) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, ok := k.current.Find(e.First)
	if !ok || now.Range != e.Range || now.Epoch != e.Epoch || !k.wanting(e) {
		return false
	}
	k.pieces.change(e.Range, func(p *piece) {
		idle := p.state == stateNone || p.state == stateClaiming && p.epoch < e.Epoch
		if idle && p.promised <= e.Epoch {
			p.state, p.epoch = stateClaiming, e.Epoch
		}
	})
	k.notify()
	return true
}

// forget ends a claim that failed for good.
func (k *Keeper) forget(e keyspace.Entry) {
	k.set(e.Range, func(p *piece) {
		if p.state == stateClaiming && p.epoch == e.Epoch {
			p.state = stateNone
		}
	})
}

func (k *Keeper) tryClaim(e keyspace.Entry) error {
	if !k.begin(e) {
		return errSuperseded
	}
	if !k.lease.Valid() {
		return errNoLease
	}
	handovers, err := k.collect(e)
	if err != nil {
		return err
	}
	for _, h := range handovers {
		if err := k.activate(e, h); err != nil {
			return err
		}
	}
	return nil
}

// collect obtains the release of the keys from all incarnations that may still serve them, and returns what they come with.
func (k *Keeper) collect(e keyspace.Entry) ([]Handover, error) {
	var released []Handover
	for _, holder := range e.Previous {
		if holder.Slot() == k.self.Slot() || k.peers.Ended(holder) {
			// An earlier process in this slot has ended, and the grants here go to the same upstream.
			continue
		}
		handovers, err := k.release(e, holder)
		if err != nil {
			return nil, err
		}
		released = append(released, handovers...)
	}
	return cover(e.Range, released), nil
}

// release asks an earlier holder for the keys. If it doesn't answer soon, its witnesses are asked meanwhile whether its lease has
// expired.
func (k *Keeper) release(e keyspace.Entry, holder member.Incarnation) ([]Handover, error) {
	ctx, cancel := context.WithTimeout(k.ctx, peerTimeout)
	defer cancel()
	var expired atomic.Bool
	var proof sync.WaitGroup
	defer proof.Wait()
	defer cancel()
	proof.Go(func() {
		if !wait.For(ctx, proofDelay) {
			return
		}
		if proved, err := k.peers.Expired(ctx, holder); err == nil && proved {
			expired.Store(true)
			cancel()
		}
	})
	handovers, err := k.peers.Release(ctx, Request{
		Range: e.Range, Service: k.service, Epoch: e.Epoch, Holder: holder, Successor: k.self,
	})
	if err == nil {
		return handovers, nil
	}
	if ctx.Err() == nil {
		// The holder can't be reached, or refuses; only a proof helps.
		proof.Wait()
	}
	if expired.Load() {
		klog.InfoS("grant: the earlier holder's lease has expired", "keys", e.Range, "holder", holder)
		return nil, nil
	}
	return nil, err
}

// cover completes handovers so that each key of the range is in exactly one.
func cover(r keyspace.Range, handovers []Handover) []Handover {
	tokens := newPieces()
	for _, h := range handovers {
		if h.Overlaps(r) && h.Token != "" {
			tokens.change(h.Intersect(r), func(p *piece) { p.handover = h.Token })
		}
	}
	var covered []Handover
	for _, p := range tokens.within(r) {
		covered = append(covered, Handover{Range: p.Range, Token: p.handover})
	}
	return covered
}

// activate grants keys to the upstream and begins to serve them.
func (k *Keeper) activate(e keyspace.Entry, h Handover) error {
	hold := k.hold(time.Now())
	if hold == 0 {
		return errNoLease
	}
	k.set(h.Range, func(p *piece) {
		if p.state == stateServing && p.promised <= e.Epoch {
			// The upstream serves the keys under an older epoch.
			p.epoch = max(p.epoch, e.Epoch)
		}
	})
	g := Grant{Range: h.Range, Fence: k.fence(e.Epoch), Hold: hold, Handover: h.Token}
	return k.order(k.ctx, g, e.Epoch, stateClaiming, stateServing)
}
