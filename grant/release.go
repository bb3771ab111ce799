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

// Release releases the keys of a range to r.Successor, promises not to serve them under an epoch below r.Epoch, and returns the
// handovers when the upstream can't serve the keys any more. It returns an error with code.BadRequest if r.Holder is another
// incarnation, with code.Conflict if keys are served under r.Epoch or a newer epoch, and the error of ctx if it ends while
// another call releases the keys.
func (m *Manager) Release(ctx context.Context, r ReleaseRequest) ([]Handover, error) {
	if r.Holder != m.self {
		return nil, code.New(code.BadRequest, "this is %s, not the requested holder %s", m.self, r.Holder)
	}
	for {
		toRelease, stateChanged, err := m.promise(r)
		if err != nil {
			return nil, err
		}
		if len(toRelease) > 0 {
			m.releaseAll(ctx, toRelease)
			continue
		}
		if stateChanged == nil {
			return m.handovers(r.Range), nil
		}
		select {
		case <-stateChanged:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// promise records the promise not to serve the range under an older epoch, and returns the segments that the calling function has
// to release. If other segments are being released already, stateChanged is closed at the next change; otherwise it is nil.
func (m *Manager) promise(r ReleaseRequest) (toRelease []segment, stateChanged <-chan struct{}, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.segments.within(r.Range) {
		if s.state == stateServing && s.epoch >= r.Epoch {
			return nil, nil, code.New(code.Conflict,
				"keys %s are served under epoch %d, which isn't older than the requested one", s.Range, s.epoch)
		}
	}
	raised := false
	m.segments.change(r.Range, func(s *segment) {
		if r.Epoch >= s.minEpoch {
			raised = raised || r.Epoch > s.minEpoch
			s.minEpoch, s.successor = r.Epoch, r.Successor
		}
	})
	waiting := false
	for _, s := range m.segments.within(r.Range) {
		switch s.state {
		case stateServing, stateClaiming:
			toRelease = append(toRelease, s)
		case stateReleasing:
			waiting = true
		case stateNone:
		}
	}
	for _, s := range toRelease {
		m.segments.change(s.Range, func(s *segment) { s.state = stateReleasing })
	}
	if raised || len(toRelease) > 0 {
		m.notify()
	}
	if waiting {
		stateChanged = m.changed
	}
	return toRelease, stateChanged, nil
}

// releaseAll releases segments concurrently and returns when all have been released.
func (m *Manager) releaseAll(ctx context.Context, toRelease []segment) {
	var releases sync.WaitGroup
	for _, s := range toRelease {
		releases.Go(func() { m.releaseSegment(ctx, s) })
	}
	releases.Wait()
}

// releaseSegment retries until the upstream has released the keys or its hold must have ended, even if the context of the call ends.
func (m *Manager) releaseSegment(ctx context.Context, s segment) {
	ctx = context.WithoutCancel(ctx)
	started := time.Now()
	for changed, grantInFlight := m.grantInFlight(s.Range); grantInFlight; changed, grantInFlight = m.grantInFlight(s.Range) {
		<-changed
	}
	m.refresh(&s)
	var handover string
	outcome := "hold ended"
	if s.heldUntil.IsZero() {
		outcome = "never granted"
	}
	for time.Now().Before(s.heldUntil) {
		released, err := m.tryRelease(ctx, &s)
		if err == nil {
			handover, outcome = released, "acknowledged"
			break
		}
		klog.V(1).InfoS("grant: release failed", "keys", s.Range, "epoch", s.epoch, "err", err)
		if errors.Is(err, ErrUpstreamGone) {
			outcome = "upstream gone"
			break
		}
		time.Sleep(retryDelay)
	}
	klog.InfoS("grant: released keys", "keys", s.Range, "epoch", s.epoch, "from", s.state, "outcome", outcome, "handover", handover != "",
		"took", time.Since(started))
	m.updateSegments(s.Range, func(s *segment) {
		if s.state == stateReleasing {
			s.state, s.handover, s.usableUntil = stateNone, handover, time.Time{}
		}
	})
}

// refresh takes over what has become of the grants that were in flight when the segment was read.
func (m *Manager) refresh(s *segment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, current := range m.segments.within(s.Range) {
		s.unanswered = s.unanswered || current.unanswered
		if current.heldUntil.After(s.heldUntil) {
			s.heldUntil = current.heldUntil
		}
	}
}

// tryRelease makes one attempt to release the keys. If the upstream left a grant for them unanswered, tryRelease first sends one with a
// higher fencing token: otherwise the upstream could carry out the old grant after another upstream has got the keys.
func (m *Manager) tryRelease(ctx context.Context, s *segment) (string, error) {
	// The grant lasts only for the rest of the hold, so that it doesn't delay the end of the hold.
	left := time.Duration(float64(time.Until(s.heldUntil)-grantTimeout) / slowClockFactor)
	if s.unanswered && left > minRemainingHold {
		grantCtx, cancel := context.WithTimeout(ctx, grantTimeout)
		err := m.upstream.Grant(grantCtx, Grant{Range: s.Range, Fence: m.fence(s.epoch), Hold: left})
		cancel()
		klog.InfoS("grant: raised the fencing token before a release", "keys", s.Range, "epoch", s.epoch, "from", s.state, "hold", left,
			"err", err)
		if err != nil {
			m.generation.Add(1)
			return "", err
		}
		s.unanswered = false
	}
	releaseCtx, cancel := context.WithTimeout(ctx, min(releaseTimeout, time.Until(s.heldUntil)))
	defer cancel()
	return m.upstream.Release(releaseCtx, s.Range, m.fence(s.epoch)(false))
}

// handovers returns the handovers that are stored for the keys of a range.
func (m *Manager) handovers(r keyspace.Range) []Handover {
	m.mu.Lock()
	defer m.mu.Unlock()
	var handovers []Handover
	for _, s := range m.segments.within(r) {
		if s.handover != "" {
			handovers = append(handovers, Handover{Range: s.Range, Token: s.handover})
		}
	}
	return handovers
}
