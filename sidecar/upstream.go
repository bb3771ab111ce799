package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/gateway"
	"sapphiretray/grant"
	"sapphiretray/keyspace"
	"sapphiretray/wait"
)

const (
	// earlierGrants is the time after the end of a session within which all holds that it granted end.
	earlierGrants = grant.MaxHeld
	// clearTimeout bounds one attempt to release the keys of earlier sessions, and clearRetryDelay is the pause after a failed one.
	clearTimeout    = 700 * time.Millisecond
	clearRetryDelay = 50 * time.Millisecond
)

var errSessionEnded = errors.New("the session has ended")

// sessionUpstream grants keys to the upstream for one session. No grant is sent after the session has ended. It implements
// grant.Upstream.
type sessionUpstream struct {
	upstream grant.Upstream
	// isCurrent reports whether the upstream's run is that of the session as far as it is known. A run registers only after its start, so
	// grants may still reach the next run.
	isCurrent func() bool
	// clearing tells which keys the upstream had before the session; nil if that isn't known.
	clearing *clearing
	// cleared is closed when no upstream holds keys that were granted here.
	cleared   chan struct{}
	clearOnce sync.Once

	mu    sync.Mutex
	ended bool
	// inFlight counts the grants that were sent and have not returned yet.
	inFlight sync.WaitGroup
}

func newSessionUpstream(upstream grant.Upstream, isCurrent func() bool) *sessionUpstream {
	return &sessionUpstream{upstream: upstream, isCurrent: isCurrent, cleared: make(chan struct{})}
}

// Grant implements grant.Upstream.
func (u *sessionUpstream) Grant(ctx context.Context, g grant.Grant) error {
	if !u.isCurrent() {
		return u.awaitCleared(ctx)
	}
	if !u.begin() {
		return errSessionEnded
	}
	defer u.inFlight.Done()
	if g.Handover == "" {
		g.Handover = u.clearing.handoverOf(g.Range)
	}
	hold := g.Hold
	g.Hold = func() time.Duration {
		if !u.isCurrent() {
			// Another run of the upstream has registered while the call waited for a connection.
			return 0
		}
		return hold()
	}
	err := u.upstream.Grant(ctx, g)
	if err == nil {
		u.clearing.granted(g.Range)
	}
	return err
}

// begin counts a grant as in flight. It returns false if the grant mustn't be sent.
func (u *sessionUpstream) begin() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended || !u.isCurrent() {
		return false
	}
	u.inFlight.Add(1)
	return true
}

// Release implements grant.Upstream.
func (u *sessionUpstream) Release(ctx context.Context, r keyspace.Range, fence uint64) (string, error) {
	if !u.isCurrent() {
		return "", u.awaitCleared(ctx)
	}
	return u.upstream.Release(ctx, r, fence)
}

// awaitCleared returns grant.ErrUpstreamGone when no run of a restarted upstream holds keys that were granted here. Those that were granted
// after the restart may be held by the next run.
func (u *sessionUpstream) awaitCleared(ctx context.Context) error {
	select {
	case <-u.cleared:
		return grant.ErrUpstreamGone
	case <-ctx.Done():
		return ctx.Err()
	}
}

// end makes all further grants fail and waits for those in flight. Package grant doesn't wait for the renewals in flight when its context
// ends, nor for the grants that precede a release.
func (u *sessionUpstream) end() {
	u.mu.Lock()
	u.ended = true
	u.mu.Unlock()
	u.inFlight.Wait()
}

// markCleared ends the calls that wait in awaitCleared.
func (u *sessionUpstream) markCleared() { u.clearOnce.Do(func() { close(u.cleared) }) }

// clearEarlierGrants makes the upstream release all keys if its run may hold some that sessions of an earlier run have granted, since those
// sessions count as ended with their grants once the run is registered. It returns true if the upstream then holds no keys, and an error if
// it has ended.
func (sc *Sidecar) clearEarlierGrants(ctx context.Context, run gateway.UpstreamRun) (cleared bool, err error) {
	if !sc.mayHoldEarlierGrants(run) {
		return false, nil
	}
	started := time.Now()
	fence := sc.directory.keyMap(sc.settings.Service).lastFence()
	upstream := sc.adapters.Grants(sc.gateway)
	for !cleared && time.Since(started) < earlierGrants {
		_, err = releaseWithin(ctx, clearTimeout, upstream, keyspace.AllKeys, fence)
		switch {
		case err == nil:
			cleared = true
		case errors.Is(err, grant.ErrUpstreamGone):
			return false, err
		case !wait.For(ctx, clearRetryDelay):
			return false, ctx.Err()
		}
	}
	klog.InfoS("session: released the keys of earlier sessions", "upstream", run, "released", cleared, "took", time.Since(started),
		"err", err)
	if s := sc.session.Load(); s != nil && s.upstream != nil {
		s.upstream.markCleared()
	}
	return cleared, nil
}

// mayHoldEarlierGrants reports whether a run of the upstream may hold keys that were granted by sessions of another run.
func (sc *Sidecar) mayHoldEarlierGrants(run gateway.UpstreamRun) bool {
	if current := sc.directory.keyMap(sc.settings.Service); current.keys == nil && current.lostAt == 0 {
		// No keys have been assigned yet.
		return false
	}
	if s := sc.session.Load(); s != nil && !s.upstreamRun.get().Same(run) {
		// The record may lack the start of the earlier run.
		return true
	}
	earlier, ok := sc.directory.record(sc.settings.Slot)
	return !ok || !upstreamRunOf(earlier).Same(run)
}

// revokeEarlierGrants makes the upstream release keys that earlier sessions of the same run may have granted to it, and returns its
// handover, if any. A release with a fencing token above theirs makes it refuse those of their grants that it left unanswered. If it
// doesn't respond, the holds must have ended, and the keys are released without a handover. It returns code.Conflict once a newer map has
// assigned the keys: the current session may serve them under it.
func (s *session) revokeEarlierGrants(ctx context.Context, r grant.ReleaseRequest) ([]grant.Handover, error) {
	if time.Since(s.started) >= grant.MaxLateness {
		return nil, nil
	}
	for {
		if err := s.checkNewest(r); err != nil {
			return nil, err
		}
		timeout := clearTimeout
		if left := earlierGrants - time.Since(s.started); left > 0 {
			timeout = min(timeout, left)
		}
		handover, err := releaseWithin(ctx, timeout, s.upstream, r.Range, keyspace.Fence(r.Epoch, 0)-1)
		switch {
		case err == nil && handover != "":
			return []grant.Handover{{Range: r.Range, Token: handover}}, nil
		case err == nil:
			return nil, nil
		case errors.Is(err, grant.ErrUpstreamGone):
			return nil, nil
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case time.Since(s.started) >= earlierGrants:
			klog.InfoS("session: the upstream left the release of earlier grants unanswered", "instance", s.self(), "keys", r.Range,
				"err", err)
			return nil, nil
		}
		wait.For(ctx, clearRetryDelay)
	}
}

// releaseWithin makes one attempt to release keys.
func releaseWithin(ctx context.Context, timeout time.Duration, upstream grant.Upstream, r keyspace.Range, fence uint64) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return upstream.Release(ctx, r, fence)
}
