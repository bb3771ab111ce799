package grant

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/wait"
)

var (
	errSuperseded = errors.New("a newer map supersedes the claim")
	errBusy       = errors.New("the keys are being released or have another epoch")
	errNoLease    = errors.New("the lease has expired or ends too soon to grant keys")
)

// claim retries until the entry is served, a newer map supersedes it, the upstream has seen a higher fencing token, or the manager's
// context ends.
func (m *Manager) claim(e keyspace.Entry) {
	defer func() {
		m.mu.Lock()
		if m.claims[e.Range] == e.Epoch {
			delete(m.claims, e.Range)
		}
		m.mu.Unlock()
	}()
	started := time.Now()
	for m.ctx.Err() == nil {
		err := m.tryClaim(e)
		if err == nil {
			klog.InfoS("grant: serving keys", "keys", e.Range, "epoch", e.Epoch, "from", e.Previous, "took", time.Since(started))
			return
		}
		if errors.Is(err, errSuperseded) || errors.Is(err, ErrFenced) {
			klog.InfoS("grant: claim abandoned", "keys", e.Range, "epoch", e.Epoch, "err", err)
			m.abandonClaim(e)
			return
		}
		klog.V(1).InfoS("grant: claim failed, retrying", "keys", e.Range, "epoch", e.Epoch, "err", err)
		wait.For(m.ctx, retryDelay)
	}
}

// beginClaim marks the keys of an entry as being claimed. It returns false if the map has no such entry any more or the entry needs
// no claim.
func (m *Manager) beginClaim(e keyspace.Entry) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	assigned, ok := m.current.Find(e.First)
	if !ok || assigned.Range != e.Range || assigned.Epoch != e.Epoch || !m.needsClaim(e) {
		return false
	}
	m.segments.change(e.Range, func(s *segment) {
		idle := s.state == stateNone || s.state == stateClaiming && s.epoch < e.Epoch
		if idle && s.minEpoch <= e.Epoch {
			s.state, s.epoch = stateClaiming, e.Epoch
		}
	})
	m.notify()
	return true
}

// abandonClaim resets the keys of a claim that can't succeed any more. Its grants may still be in force, so that a release of the keys asks
// the upstream.
func (m *Manager) abandonClaim(e keyspace.Entry) {
	m.updateSegments(e.Range, func(s *segment) {
		if s.state == stateClaiming && s.epoch == e.Epoch {
			s.state = stateNone
			if left := time.Until(s.hold.until); left > 0 {
				klog.InfoS("grant: abandoned keys may still be held", "keys", s.Range, "epoch", e.Epoch, "for", left)
			}
		}
	})
}

// tryClaim makes one attempt to obtain the release of an entry's keys and to grant them to the upstream.
func (m *Manager) tryClaim(e keyspace.Entry) error {
	if !m.beginClaim(e) {
		return errSuperseded
	}
	if !m.lease.Valid() {
		return errNoLease
	}
	handovers, err := m.collectHandovers(e)
	if err != nil {
		return err
	}
	for _, h := range handovers {
		if err := m.activate(e, h); err != nil {
			return err
		}
	}
	m.updateSegments(e.Range, func(s *segment) { s.activated = max(s.activated, e.Epoch) })
	if !m.isServed(e) {
		// The keys were reset while their grant was in flight, by a claim under the same epoch that was abandoned.
		return errBusy
	}
	return nil
}

// isServed reports whether an entry needs no claim any more.
func (m *Manager) isServed(e keyspace.Entry) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.needsClaim(e)
}

// collectHandovers obtains the release of an entry's keys from all incarnations that may still serve them. The handovers it returns
// cover the entry's range.
func (m *Manager) collectHandovers(e keyspace.Entry) ([]Handover, error) {
	var released []Handover
	if m.wasActivated(e) {
		// The lease has lapsed and was re-acquired. The earlier holders are still bound by their promise.
		return fillGaps(e.Range, nil), nil
	}
	for _, holder := range e.Previous {
		if holder.Slot() == m.self.Slot() || m.peers.Ended(holder) {
			// An earlier process in this slot has ended and granted keys to the same upstream as this one.
			continue
		}
		if m.servesAll(e.Range) {
			m.pace()
		}
		handovers, err := m.releaseFrom(e, holder)
		if err != nil {
			return nil, err
		}
		released = append(released, handovers...)
	}
	return fillGaps(e.Range, released), nil
}

// wasActivated reports whether all keys of an entry have been served under its epoch here.
func (m *Manager) wasActivated(e keyspace.Entry) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !slices.ContainsFunc(m.segments.within(e.Range), func(s segment) bool { return s.activated < e.Epoch })
}

// pace waits for raiseInterval after the wait of any other claim of served keys.
func (m *Manager) pace() {
	select {
	case m.pacer <- struct{}{}:
	case <-m.ctx.Done():
		return
	}
	defer func() { <-m.pacer }()
	wait.For(m.ctx, raiseInterval)
}

// servesAll reports whether all keys of a range are served, so that a claim of it only raises their epoch and isn't urgent.
func (m *Manager) servesAll(r keyspace.Range) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !slices.ContainsFunc(m.segments.within(r), func(s segment) bool {
		return s.state != stateServing || !time.Now().Before(s.usableUntil)
	})
}

// releaseFrom asks an earlier holder to release the keys. If it doesn't respond within expiryProofDelay, its witnesses are asked
// concurrently to prove that its lease has expired. A proof ends the request, and so does a record by which its upstream has ended.
func (m *Manager) releaseFrom(e keyspace.Entry, holder member.Incarnation) ([]Handover, error) {
	ctx, cancel := context.WithTimeout(m.ctx, peerTimeout)
	defer cancel()
	var expired, ended atomic.Bool
	var proof sync.WaitGroup
	defer proof.Wait()
	defer cancel()
	proof.Go(func() {
		if !wait.For(ctx, expiryProofDelay) {
			return
		}
		if proved, err := m.peers.ProveExpired(ctx, holder); err == nil && proved {
			expired.Store(true)
			cancel()
		}
	})
	proof.Go(func() {
		for wait.For(ctx, recordsInterval) {
			if m.peers.Ended(holder) {
				ended.Store(true)
				cancel()
			}
		}
	})
	handovers, err := m.askHolder(ctx, ReleaseRequest{
		Range: e.Range, Service: m.service, Epoch: e.Epoch, Holder: holder, Successor: m.self,
	})
	if err == nil {
		return handovers, nil
	}
	if expired.Load() {
		klog.InfoS("grant: lease of the earlier holder has expired", "keys", e.Range, "holder", holder)
		return nil, nil
	}
	if ended.Load() {
		klog.InfoS("grant: upstream of the earlier holder has ended", "keys", e.Range, "holder", holder)
		return nil, nil
	}
	return nil, err
}

// askHolder sends a release request until the holder has responded, a newer map supersedes the claim or ctx ends. A request can fail
// at a holder that is alive, and then no proof of its expiry will come.
func (m *Manager) askHolder(ctx context.Context, r ReleaseRequest) ([]Handover, error) {
	for pause := retryDelay; ; pause = min(2*pause, maxRetryDelay) {
		handovers, err := m.peers.Release(ctx, r)
		if err == nil {
			return handovers, nil
		}
		if !wait.For(ctx, pause) {
			return nil, err
		}
		if !m.isAssigned(r.Range, r.Epoch) {
			return nil, errSuperseded
		}
	}
}

// isAssigned reports whether the newest map assigns a range to this incarnation under an epoch.
func (m *Manager) isAssigned(r keyspace.Range, epoch uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.current.Find(r.First)
	return ok && e.Range == r && e.Epoch == epoch && e.Owner() == m.self
}

// fillGaps returns handovers that contain each key of the range exactly once, with an empty Token for keys without a handover.
func fillGaps(r keyspace.Range, handovers []Handover) []Handover {
	tokens := newSegments()
	for _, h := range handovers {
		if h.Overlaps(r) && h.Token != "" {
			tokens.change(h.Intersect(r), func(s *segment) { s.handover = h.Token })
		}
	}
	var covered []Handover
	for _, s := range tokens.within(r) {
		covered = append(covered, Handover{Range: s.Range, Token: s.handover})
	}
	return covered
}

// activate grants the keys of a handover to the upstream and marks them as served.
func (m *Manager) activate(e keyspace.Entry, h Handover) error {
	if m.hold(time.Now()) == 0 {
		return errNoLease
	}
	m.updateSegments(h.Range, func(s *segment) {
		if s.state == stateServing && s.minEpoch <= e.Epoch {
			// The keys are served already, under an older epoch.
			s.epoch = max(s.epoch, e.Epoch)
		}
	})
	return m.sendGrant(m.ctx, h, e.Epoch, stateClaiming, stateServing)
}
