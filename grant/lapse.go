package grant

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/keyspace"
	"sapphiretray/wait"
)

// followLease makes the upstream release lapsed keys until ctx ends, and claims them again once the lease is valid.
func (m *Manager) followLease(ctx context.Context) {
	m.takeOver()
	for ctx.Err() == nil {
		m.markLapsed()
		m.releaseLapsed()
		m.claimReleased()
		timer := time.NewTimer(m.nextLeaseCheck())
		select {
		case <-timer.C:
		case <-m.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	m.markLapsed()
}

// nextLeaseCheck returns the time to the next check of the lease.
func (m *Manager) nextLeaseCheck() time.Duration {
	if !m.lease.Valid() || m.hasLapsed() {
		return retryDelay
	}
	return min(max(time.Until(m.lease.Expires()), time.Millisecond), renewInterval)
}

// wakeUp makes followLease check the lease and the lapsed keys at once.
func (m *Manager) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// markLapsed marks all keys as lapsed that the upstream may hold if the lease isn't valid.
func (m *Manager) markLapsed() {
	if m.lease.Valid() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, s := range m.segments.within(keyspace.AllKeys) {
		if !s.hold.lapsed && (s.hold.pending(now) || m.sending(s.Range)) {
			klog.InfoS("grant: lease lapsed", "keys", s.Range, "epoch", s.hold.epoch, "state", s.state, "holdLeft",
				max(s.hold.until.Sub(now), -MaxLateness))
			m.segments.change(s.Range, func(s *segment) { s.hold.lapsed = true })
		}
	}
}

// hasLapsed reports whether there are lapsed keys that the upstream hasn't released.
func (m *Manager) hasLapsed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.lapsed()) > 0
}

// lapsed returns the segments of lapsed keys that the upstream hasn't released. m.mu must be held.
func (m *Manager) lapsed() []segment {
	var lapsed []segment
	now := time.Now()
	for _, s := range m.segments {
		if s.hold.lapsed && (s.hold.pending(now) || m.sending(s.Range)) {
			lapsed = append(lapsed, s)
		}
	}
	return lapsed
}

// releaseLapsed begins to release the lapsed keys that aren't being released yet. A token above those of the unanswered grants makes the
// upstream refuse them. No grant is sent for the keys meanwhile: a release that arrived after it would take them away again.
func (m *Manager) releaseLapsed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.beginReleases()
}

// beginReleases does what releaseLapsed does. m.mu must be held.
func (m *Manager) beginReleases() {
	if m.releasing.Err() != nil {
		return
	}
	for _, s := range m.lapsed() {
		if s.state == stateReleasing {
			continue
		}
		m.generation.Add(1)
		m.segments.change(s.Range, func(s *segment) { s.state = stateReleasing })
		m.releases.Go(func() { m.releaseSegment(s) })
		m.notify()
	}
}

// claimReleased claims the lapsed keys again that were released, if the lease is valid.
func (m *Manager) claimReleased() {
	if !m.lease.Valid() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reclaim {
		m.reclaim = false
		m.claimAll()
	}
}

// finishReleases goes on to release lapsed keys after Run has ended.
func (m *Manager) finishReleases() {
	for m.hasLapsed() && wait.For(m.releasing, retryDelay) {
		m.releaseLapsed()
	}
}

// takeOver begins to release the keys of the earlier manager once its own releases have ended: one of them that arrived later would take
// away keys that are granted again.
func (m *Manager) takeOver() {
	if m.earlier == nil {
		return
	}
	m.earlier.Close()
	m.adopt(m.earlier, stateNone)
	m.earlier = nil
}

// adopt marks the keys as lapsed that the upstream may hold according to an earlier manager, and gives them a state. If that is stateNone,
// their release begins.
func (m *Manager) adopt(earlier *Manager, next state) {
	m.mu.Lock()
	defer m.mu.Unlock()
	earlier.mu.Lock()
	defer earlier.mu.Unlock()
	m.generation.Store(max(m.generation.Load(), earlier.generation.Load()))
	now := time.Now()
	for _, s := range earlier.segments {
		pending := s.hold.pending(now) || earlier.sending(s.Range)
		m.segments.change(s.Range, func(own *segment) {
			switch {
			case pending:
				own.state, own.hold = next, s.hold
				own.hold.lapsed = true
			case own.adopted:
				// The earlier manager has released the keys since they were adopted.
				own.state, own.hold = next, hold{epoch: s.hold.epoch}
			}
			own.adopted = next == stateReleasing && pending
		})
	}
	if next == stateNone {
		m.beginReleases()
	}
	m.notify()
}
