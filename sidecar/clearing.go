package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/gateway"
	"sapphiretray/grant"
	"sapphiretray/keyspace"
	"sapphiretray/member"
)

// clearing is a release of all keys at the upstream at the start of a session. A grant that an earlier session has sent may reach the
// upstream late; it is refused from then on, because the token of the release is above its own. Only the instance beside the upstream can
// raise the token there: a successor that has proved the lease expired doesn't ask it.
type clearing struct {
	// done is closed when the release has been answered or given up. The fields below are set by then.
	done chan struct{}
	// cleared means that the upstream has released all keys, and handover is its handover token.
	cleared  bool
	handover string
	// until is when the handover isn't used any more, since other upstreams may have held the keys in the meantime.
	until time.Time
	// held holds the ranges that the upstream may have had when they were released. The handover is of use only for these.
	held []keyspace.Range

	mu sync.Mutex
	// missing holds the ranges that belonged to the slot and weren't granted again. The next grant of each brings the handover, because
	// keys that an upstream gets without it are slow at first.
	missing []keyspace.Range
}

// newClearing returns a clearing that is over.
func newClearing(cleared bool) *clearing {
	c := &clearing{done: make(chan struct{}), cleared: cleared}
	close(c.done)
	return c
}

// isOver reports whether the release has been answered or given up. It is true of a nil clearing.
func (c *clearing) isOver() bool {
	if c == nil {
		return true
	}
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// await waits for the end of the release and returns whether the upstream has released all keys, and the handovers of those in a range. It
// returns the error of ctx if that ends first.
func (c *clearing) await(ctx context.Context, r keyspace.Range) (handovers []grant.Handover, cleared bool, err error) {
	if c == nil {
		return nil, false, nil
	}
	select {
	case <-c.done:
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	for _, held := range c.held {
		if c.handover != "" && time.Now().Before(c.until) && held.Overlaps(r) {
			handovers = append(handovers, grant.Handover{Range: held.Intersect(r), Token: c.handover})
		}
	}
	return handovers, c.cleared, nil
}

// handoverOf returns the handover token for a grant of keys that the upstream had before they were released, otherwise an empty one.
func (c *clearing) handoverOf(r keyspace.Range) string {
	if c == nil || !c.isOver() || c.handover == "" || !time.Now().Before(c.until) {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.ContainsFunc(c.missing, r.Overlaps) {
		return c.handover
	}
	return ""
}

// granted records that the upstream has got keys.
func (c *clearing) granted(r keyspace.Range) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var left []keyspace.Range
	for _, missing := range c.missing {
		if !missing.Overlaps(r) {
			left = append(left, missing)
			continue
		}
		if missing.First < r.First {
			left = append(left, keyspace.Range{First: missing.First, Last: r.First - 1})
		}
		if missing.Last > r.Last {
			left = append(left, keyspace.Range{First: r.Last + 1, Last: missing.Last})
		}
	}
	c.missing = left
}

// startClearing makes one attempt to let the upstream release the keys that earlier sessions of the same run have granted. It doesn't wait
// for the response, which comes when the work on the keys has ended. If the previous attempt to join has released them, it isn't repeated.
func (sc *Sidecar) startClearing(ctx context.Context, run gateway.UpstreamRun) *clearing {
	if c := sc.clearing; c != nil && (!c.isOver() || c.cleared) {
		return c
	}
	current := sc.directory.keyMap(sc.settings.Service)
	if current.keys == nil && current.lostAt == 0 {
		// No keys have been assigned yet.
		return newClearing(false)
	}
	c := &clearing{done: make(chan struct{}), until: time.Now().Add(grant.MaxLateness)}
	isLocal := func(i member.Incarnation) bool { return i.Slot() == sc.settings.Slot }
	for _, e := range current.keys.Entries() {
		if isLocal(e.Owner()) {
			c.missing = append(c.missing, e.Range)
		}
		if isLocal(e.Owner()) || slices.ContainsFunc(e.Previous, isLocal) {
			c.held = append(c.held, e.Range)
		}
	}
	upstream := sc.adapters.Grants(sc.gateway)
	sc.group.Go(func() error {
		defer close(c.done)
		started := time.Now()
		handover, err := releaseWithin(ctx, clearTimeout, upstream, keyspace.AllKeys, current.lastFence())
		c.handover, c.cleared = handover, err == nil
		klog.InfoS("session: released the keys of earlier sessions of the same run", "upstream", run, "released", c.cleared,
			"fence", current.lastFence(), "held", len(c.held), "took", time.Since(started), "err", err)
		return nil
	})
	sc.clearing = c
	return c
}

// clearedLease is a lease that isn't valid until a clearing is over, so that no keys are granted before.
type clearedLease struct {
	grant.Lease
	clearing *clearing
}

// Valid implements grant.Lease.
func (l clearedLease) Valid() bool { return l.clearing.isOver() && l.Lease.Valid() }
