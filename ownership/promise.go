package ownership

import (
	"context"
	"strconv"
	"time"

	"sapphiretray/code"
	"sapphiretray/peer"
)

// Promise answers another incarnation that wants to serve a partition under a newer epoch. With commit set, it stops serving the
// partition, waits for the requests in flight, and promises never to serve it under an epoch below the one asked for.
func (t *Table) Promise(ctx context.Context, request *peer.PromiseRequest) (*peer.PromiseResponse, error) {
	if r := request.GetReceiver().Member(); r != t.self {
		return nil, code.New(code.BadRequest, "this is %s, not %s", t.self, r)
	}
	p, epoch := int(request.GetPartition()), request.GetEpoch()
	t.mu.Lock()
	if t.current == nil {
		t.mu.Unlock()
		return nil, code.New(code.NoOwner, "no map is known yet")
	}
	if p >= t.current.Partitions() {
		t.mu.Unlock()
		return nil, code.New(code.NoOwner, "partition %d is not in the map known here", p)
	}
	h := t.holding(p)
	served := h.state() == stateServing || h.state() == stateReleasing
	if !request.GetCommit() {
		t.mu.Unlock()
		return &peer.PromiseResponse{Serving: served}, nil
	}
	answer, done := t.promiseAtOnce(h, epoch)
	if done {
		t.mu.Unlock()
		return answer, nil
	}
	_ = h.machine.Fire("promise-asked", request.GetSuccessor().Member().String()+" takes over")
	idle := make(chan struct{})
	if h.inFlight == 0 {
		close(idle)
	} else {
		h.idle = idle
	}
	t.mu.Unlock()
	return t.release(ctx, p, h, epoch, idle)
}

// promiseAtOnce answers if no request has to be waited for; t.mu is held.
func (t *Table) promiseAtOnce(h *holding, epoch uint64) (*peer.PromiseResponse, bool) {
	switch {
	case h.state() == stateReleasing:
		return &peer.PromiseResponse{Serving: true}, true
	case h.state() == stateServing && h.epoch >= epoch:
		return &peer.PromiseResponse{Serving: true}, true
	case h.state() == stateServing:
		return nil, false
	}
	if epoch > h.promised {
		h.promised = epoch
		_ = h.machine.Fire("promise-given", "promised not to serve below epoch "+strconv.FormatUint(epoch, 10))
	}
	if h.handover != nil {
		return h.handover, true
	}
	return &peer.PromiseResponse{Promised: true}, true
}

// release ends serving once no request is in flight, or goes on serving if that takes too long.
func (t *Table) release(ctx context.Context, p int, h *holding, epoch uint64, idle <-chan struct{}) (*peer.PromiseResponse, error) {
	timer := time.NewTimer(t.drainTimeout)
	defer timer.Stop()
	drained := false
	select {
	case <-idle:
		drained = true
	case <-timer.C:
	case <-ctx.Done():
	}
	t.mu.Lock()
	h.idle = nil
	if !drained && h.inFlight > 0 {
		_ = h.machine.Fire("drain-timeout", "requests are still in flight")
		t.mu.Unlock()
		return &peer.PromiseResponse{Serving: true}, nil
	}
	h.promised = max(h.promised, epoch)
	fence := h.epoch<<8 | uint64(h.rank)
	_ = h.machine.Fire("drained", "no request is in flight")
	answer := t.memory.Export(p)
	answer.Promised = true
	h.handover = answer
	t.mu.Unlock()
	revoke, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	// The upstream refuses the old fencing token anyway once the grant has expired, so a failure is not fatal.
	_ = t.granter.Revoke(revoke, p, fence)
	return answer, nil
}
