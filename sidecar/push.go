package sidecar

import (
	"context"
	"encoding/json"
	"sync"

	"k8s.io/klog/v2"

	"sapphiretray/keyspace"
	"sapphiretray/peer"
	"sapphiretray/store"
)

// maxPushes is the number of key maps that are sent at the same time. A map has some 20 KB, so that more of them would delay all other
// traffic of the planner by over 0.1 s on a link of 10 Mbit/s.
const maxPushes = 4

// pushes coalesces the pushes of key maps: while one to an instance is waiting or in flight, further ones are replaced by a single one of
// the newest map. Create it with newPushes.
type pushes struct {
	slots chan struct{}
	mu    sync.Mutex
	// requested holds the instances with a push that is waiting or in flight, and whether another one has to follow it.
	requested map[string]bool
}

func newPushes() *pushes {
	return &pushes{slots: make(chan struct{}, maxPushes), requested: make(map[string]bool)}
}

// begin reports whether a push to an instance has to be started. If it returns false, the one that was started earlier sends the newest
// map.
func (p *pushes) begin(slot string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, started := p.requested[slot]
	p.requested[slot] = started
	return !started
}

// end reports whether another push to the instance has to follow.
func (p *pushes) end(slot string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requested[slot] {
		p.requested[slot] = false
		return true
	}
	delete(p.requested, slot)
	return false
}

// pushMap sends the newest key map to the instances that get keys, so that they claim them without waiting for the store's feed.
func (sc *Sidecar) pushMap(ctx context.Context, moves []keyspace.Move) {
	for _, move := range moves {
		slot := move.To.Slot()
		if slot == sc.settings.Slot || !sc.pushes.begin(slot) {
			continue
		}
		sc.group.Go(func() error {
			for again := true; again; again = sc.pushes.end(slot) {
				sc.pushNewestMap(ctx, slot)
			}
			return nil
		})
	}
}

// pushNewestMap sends the newest key map to an instance once fewer than maxPushes others are being sent.
func (sc *Sidecar) pushNewestMap(ctx context.Context, slot string) {
	select {
	case sc.pushes.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-sc.pushes.slots }()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	value, err := json.Marshal([]store.Row{sc.rows.Get(keyspace.RowKey(sc.settings.Service))})
	if err != nil {
		klog.ErrorS(err, "plan: map can't be pushed")
		return
	}
	client, err := sc.dialSlot(slot)
	if err == nil {
		_, err = client.Push(ctx, &peer.PushRequest{Kind: TableName, Value: value})
	}
	if err != nil && ctx.Err() == nil {
		klog.V(1).InfoS("plan: map not pushed", "slot", slot, "err", err)
	}
}
