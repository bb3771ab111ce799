package grant

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/code"
	"sapphiretray/keyspace"
)

// Release gives up the keys of a range to the incarnation that asks and promises not to serve them under an older epoch. It
// returns when the upstream can't serve them any more.
func (k *Keeper) Release(ctx context.Context, r Request) ([]Handover, error) {
	if r.Holder != k.self {
		return nil, code.New(code.BadRequest, "this is %s, not %s", k.self, r.Holder)
	}
	for {
		serving, busy, err := k.promise(r)
		if err != nil {
			return nil, err
		}
		if len(serving) > 0 {
			k.releaseAll(ctx, serving)
			continue
		}
		if busy == nil {
			return k.handovers(r.Range), nil
		}
		select {
		case <-busy:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// promise records the promise and returns the pieces that this call has to release. If others are being released, busy is
// closed when something changes.
func (k *Keeper) promise(r Request) (serving []piece, busy <-chan struct{}, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.pieces.within(r.Range) {
		if p.state == stateServing && p.epoch >= r.Epoch {
			return nil, nil, code.New(code.Conflict, "keys %s are served under epoch %d", p.Range, p.epoch)
		}
	}
	k.pieces.change(r.Range, func(p *piece) {
		if r.Epoch >= p.promised {
			p.promised, p.successor = r.Epoch, r.Successor
		}
	})
	waiting := false
	for _, p := range k.pieces.within(r.Range) {
		switch p.state {
		case stateServing, stateClaiming:
			serving = append(serving, p)
		case stateReleasing:
			waiting = true
		case stateNone:
		}
	}
	for _, p := range serving {
		k.pieces.change(p.Range, func(p *piece) { p.state = stateReleasing })
	}
	k.notify()
	if waiting {
		busy = k.changed
	}
	return serving, busy, nil
}

func (k *Keeper) releaseAll(ctx context.Context, serving []piece) {
	var releases sync.WaitGroup
	for _, p := range serving {
		releases.Go(func() { k.releasePiece(ctx, p) })
	}
	releases.Wait()
}

// releasePiece tries until the upstream has released the keys or its hold must have ended.
func (k *Keeper) releasePiece(ctx context.Context, p piece) {
	ctx = context.WithoutCancel(ctx)
	started := time.Now()
	for changed, ordered := k.ordered(p.Range); ordered; changed, ordered = k.ordered(p.Range) {
		<-changed
	}
	var token string
	for time.Now().Before(p.heldUntil) {
		handover, err := k.tryRelease(ctx, &p)
		if err == nil {
			token = handover
			break
		}
		klog.V(1).InfoS("grant: release failed", "keys", p.Range, "epoch", p.epoch, "err", err)
		if errors.Is(err, ErrUpstreamGone) {
			break
		}
		time.Sleep(retryDelay)
	}
	klog.InfoS("grant: released", "keys", p.Range, "epoch", p.epoch, "handover", token != "", "took", time.Since(started))
	k.set(p.Range, func(p *piece) {
		if p.state == stateReleasing {
			p.state, p.handover, p.usableUntil = stateNone, token, time.Time{}
		}
	})
}

// tryRelease releases the keys. If the upstream has left an order for them unanswered, it gets a higher token first: otherwise it
// could carry out that order after the keys have gone to another upstream.
func (k *Keeper) tryRelease(ctx context.Context, p *piece) (string, error) {
	// The higher token comes with what is left of the hold, so that the wait for its end doesn't grow.
	left := time.Duration(float64(time.Until(p.heldUntil)-orderTimeout) / heldShare)
	if p.unanswered && left > minLeft {
		order, cancel := context.WithTimeout(ctx, orderTimeout)
		err := k.upstream.Grant(order, Grant{Range: p.Range, Fence: k.fence(p.epoch), Hold: left})
		cancel()
		if err != nil {
			k.generation.Add(1)
			return "", err
		}
		p.unanswered = false
	}
	try, cancel := context.WithTimeout(ctx, min(releaseTimeout, time.Until(p.heldUntil)))
	defer cancel()
	return k.upstream.Release(try, p.Range, k.fence(p.epoch)(false))
}

func (k *Keeper) handovers(r keyspace.Range) []Handover {
	k.mu.Lock()
	defer k.mu.Unlock()
	var handovers []Handover
	for _, p := range k.pieces.within(r) {
		if p.handover != "" {
			handovers = append(handovers, Handover{Range: p.Range, Token: p.handover})
		}
	}
	return handovers
}
