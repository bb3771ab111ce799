package grant

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/code"
	"sapphiretray/keyspace"
	"sapphiretray/wait"
)

// Release releases the keys of a range to r.Successor, promises not to serve them under an epoch below r.Epoch, and returns the
// handovers when the upstream can't serve the keys any more. It returns an error with code.BadRequest if r.Holder is another
// incarnation or the manager is closed, with code.Conflict if keys were granted under r.Epoch or a newer epoch, and the error of ctx if
// it ends while another call releases the keys.
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
			m.releaseAll(toRelease)
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
	if m.releasing.Err() != nil {
		return nil, nil, code.New(code.BadRequest, "%s has been succeeded by a newer incarnation", m.self)
	}
	for _, s := range m.segments.within(r.Range) {
		if granted := s.grantedEpoch(); granted >= r.Epoch {
			return nil, nil, code.New(code.Conflict,
				"keys %s were granted under epoch %d, which isn't older than the requested one", s.Range, granted)
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
	now := time.Now()
	for _, s := range m.segments.within(r.Range) {
		if !m.mustRelease(s, now) {
			continue
		}
		if s.state == stateReleasing {
			waiting = true
		} else {
			toRelease = append(toRelease, s)
		}
	}
	for _, s := range toRelease {
		m.segments.change(s.Range, func(s *segment) { s.state = stateReleasing })
		m.releases.Add(1)
	}
	if raised || len(toRelease) > 0 {
		m.notify()
	}
	if waiting {
		stateChanged = m.changed
	}
	return toRelease, stateChanged, nil
}

// mustRelease reports whether a segment must be released before a successor may have the keys. m.mu must be held.
func (m *Manager) mustRelease(s segment, now time.Time) bool {
	sending := m.sending(s.Range)
	switch {
	case s.state == stateClaiming || s.state == stateServing:
		return true
	case s.hold.lapsed && !s.hold.inForce(now) && !sending:
		// The upstream holds none of the keys, and the manager itself goes on to refuse the late grants.
		return false
	default:
		return s.state == stateReleasing || s.hold.pending(now) || sending
	}
}

// releaseAll releases segments concurrently and returns when all have been released. promise has counted them in m.releases.
func (m *Manager) releaseAll(toRelease []segment) {
	var releases sync.WaitGroup
	for _, s := range toRelease {
		releases.Go(func() {
			defer m.releases.Done()
			m.releaseSegment(s)
		})
	}
	releases.Wait()
}

// releaseSegment retries until the upstream has released the keys or its hold must have ended, even if the context of the call ends. It
// leaves the segment as it is if the manager is closed.
func (m *Manager) releaseSegment(s segment) {
	started := time.Now()
	for changed, grantInFlight := m.grantInFlight(s.Range); grantInFlight; changed, grantInFlight = m.grantInFlight(s.Range) {
		<-changed
	}
	held := m.holdOf(s.Range)
	handover, outcome := m.endHold(m.releasing, s.Range, &held)
	if m.releasing.Err() != nil && outcome != outcomeAcknowledged {
		return
	}
	if retried := s.hold.lapsed && !s.hold.inForce(started); outcome != outcomeHoldEnded || !retried {
		klog.InfoS("grant: released keys", "keys", s.Range, "epoch", s.epoch, "from", s.state, "outcome", outcome,
			"handover", handover != "", "lapsed", s.hold.lapsed, "took", time.Since(started))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reclaim = m.reclaim || s.hold.lapsed
	m.segments.change(s.Range, func(s *segment) {
		if s.state != stateReleasing {
			return
		}
		s.state, s.usableUntil = stateNone, time.Time{}
		if outcome == outcomeHoldEnded && s.hold.carriedOutLater() {
			if !s.hold.lapsed {
				// Later attempts follow at intervals, also if the upstream fails each at once.
				m.wakeUp()
			}
			s.hold.lapsed = true
		} else {
			s.hold = hold{epoch: s.hold.epoch}
		}
		if outcome != outcomeNeverGranted {
			s.handover = handover
		}
	})
	m.notify()
}

// holdOf returns what the upstream may hold of a range.
func (m *Manager) holdOf(r keyspace.Range) hold {
	m.mu.Lock()
	defer m.mu.Unlock()
	segments := m.segments.within(r)
	held := segments[0].hold
	for _, s := range segments[1:] {
		held = held.merge(s.hold)
	}
	return held
}

// Outcomes of a release in log lines.
const (
	outcomeNeverGranted = "never granted"
	outcomeAcknowledged = "acknowledged"
	outcomeHoldEnded    = "hold ended"
	outcomeUpstreamGone = "upstream gone"
)

// endHold returns when the upstream can't hold the keys any more, with its handover token. If the outcome is outcomeHoldEnded, it may carry
// out the grants that it left unanswered.
func (m *Manager) endHold(ctx context.Context, r keyspace.Range, held *hold) (handover, outcome string) {
	if held.until.IsZero() {
		return "", outcomeNeverGranted
	}
	if held.leftUnanswered(time.Now()) {
		return m.refuseLateGrants(ctx, r, *held)
	}
	for held.inForce(time.Now()) {
		handover, err := m.tryRelease(ctx, r, held)
		if err == nil {
			if held.carriedOutLater() && !held.lapsed {
				// The rest of the hold was too short for a grant with a higher fencing token.
				wait.For(ctx, time.Until(held.until))
			}
			return handover, outcomeAcknowledged
		}
		klog.V(1).InfoS("grant: release failed", "keys", r, "epoch", held.epoch, "err", err)
		if errors.Is(err, ErrUpstreamGone) {
			return "", outcomeUpstreamGone
		}
		if !wait.For(ctx, retryDelay) {
			break
		}
	}
	return "", outcomeHoldEnded
}

// refuseLateGrants makes one attempt to release keys whose hold has ended, so that the upstream refuses the grants that it left unanswered:
// a release, unlike a grant, may raise the fencing token there at any time.
func (m *Manager) refuseLateGrants(ctx context.Context, r keyspace.Range, held hold) (handover, outcome string) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	handover, err := m.upstream.Release(ctx, r, m.fence(held.epoch)(false))
	switch {
	case err == nil:
		return handover, outcomeAcknowledged
	case errors.Is(err, ErrUpstreamGone):
		return "", outcomeUpstreamGone
	case held.lapsed:
		klog.V(1).InfoS("grant: late grants may still be carried out", "keys", r, "epoch", held.epoch, "err", err)
	default:
		klog.InfoS("grant: late grants may be carried out", "keys", r, "epoch", held.epoch, "err", err)
	}
	return "", outcomeHoldEnded
}

// tryRelease makes one attempt to release the keys. If the upstream may carry out an earlier grant for them later, tryRelease first sends
// one with a higher fencing token: otherwise the upstream could carry out the old grant after another upstream has got the keys. It has the
// epoch of the earlier grants, since the keys may be claimed under a newer epoch that other holders haven't released them for.
func (m *Manager) tryRelease(ctx context.Context, r keyspace.Range, held *hold) (string, error) {
	timeout := releaseTimeout
	if held.lapsed {
		// No grant is sent for lapsed keys: the lease that is valid now isn't the one under which they were granted, and another upstream
		// may have them. The token of the release makes the upstream refuse the unanswered grants, so that an attempt is short.
		timeout = CallTimeout
	} else if held.carriedOutLater() && m.raiseHold(*held, time.Now()) > 0 {
		c, err := m.callGrant(ctx, Handover{Range: r}, held.epoch, func(now time.Time) time.Duration { return m.raiseHold(*held, now) })
		klog.InfoS("grant: raised the fencing token before a release", "keys", r, "epoch", held.epoch, "hold", c.hold, "err", err)
		*held = m.holdOf(r)
		if err != nil && (c.written() || errors.Is(err, ErrTooLate)) {
			return "", err
		}
		// A grant that wasn't sent, because the session has ended, doesn't keep the upstream from finishing its work.
	}
	releaseCtx, cancel := context.WithTimeout(ctx, min(timeout, time.Until(held.until)))
	defer cancel()
	return m.upstream.Release(releaseCtx, r, m.fence(held.epoch)(false))
}

// raiseHold returns the hold of a grant that raises the fencing token before a release, or 0 if it must not be sent. The grant lasts only
// for the rest of the hold, so that it doesn't delay the end of the hold. It must also end with the lease, however late it arrives: a
// successor that has proved that the lease has expired may have the keys already.
func (m *Manager) raiseHold(held hold, now time.Time) time.Duration {
	if !m.lease.Valid() {
		return 0
	}
	end := held.until
	if expires := m.lease.Expires(); expires.Before(end) {
		end = expires
	}
	left := time.Duration(float64(end.Sub(now)-CallTimeout) / slowClockFactor)
	if left <= minRemainingHold {
		return 0
	}
	return left
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
