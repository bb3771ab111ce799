package sidecar

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"sapphiretray/gateway"
	"sapphiretray/grant"
	"sapphiretray/keyspace"
	"sapphiretray/wait"
)

// ownerUpstream is one run of an upstream's process. The model's mutex guards its fields.
type ownerUpstream struct {
	node *ownerNode
	name string
	run  gateway.UpstreamRun
	up   bool
	keys [ownerSamples]ownerKey
}

// ownerKey is the state of a key at an upstream.
type ownerKey struct {
	// seen is the highest fencing token that the upstream has seen, and taken the highest with which it has taken the key.
	seen, taken uint64
	heldUntil   time.Time
	// heldUp means that the current grant was held up after the computation of its hold.
	heldUp bool
}

func (k ownerKey) isHeld(now time.Time) bool { return now.Before(k.heldUntil) }

// startUpstream starts a run of the upstream unless one runs.
func (n *ownerNode) startUpstream() {
	n.m.locked(func() {
		if n.upstream != nil || n.lost {
			return
		}
		run := gateway.UpstreamRun{ID: "upstream-" + n.slot, Started: time.Now().UnixMilli()}
		n.upstream = &ownerUpstream{node: n, name: fmt.Sprintf("%s@%.3f", run.ID, time.Since(n.m.started).Seconds()), run: run, up: true}
		n.m.runs = append(n.m.runs, n.upstream)
		n.m.record("%s starts", n.upstream.name)
	})
}

// crashUpstream ends the upstream's run.
func (n *ownerNode) crashUpstream() {
	n.m.locked(func() {
		if u := n.upstream; u != nil {
			u.up, n.upstream = false, nil
			n.m.record("%s crashes", u.name)
		}
	})
}

// ownerGrants is the client of the upstream in one process. It implements grant.Upstream.
type ownerGrants struct {
	process *ownerProcess
}

// ownerOutcome is what an upstream makes of a call.
type ownerOutcome int

const (
	ownerAnswered ownerOutcome = iota
	ownerNotDone
	ownerAnswerLost
	ownerLate
	ownerResetBefore
	ownerResetAfter
	ownerSlow
)

var ownerOutcomeNames = []string{
	"answered", "not done", "answer lost", "to be carried out late", "reset, not done", "reset, done", "answered slowly",
}

func (o ownerOutcome) String() string { return ownerOutcomeNames[o] }

var (
	errOwnerKilled  = errors.New("the process was killed")
	errOwnerTooLate = errors.New("the time of the grant has ended")
)

// ownerHold returns the hold of a grant when it is written.
func ownerHold(g grant.Grant) time.Duration { return g.Hold() }

// ownerCall is a call to an upstream.
type ownerCall struct {
	upstream *ownerUpstream
	outcome  ownerOutcome
	// fresh means that the call opened a connection.
	fresh bool
	draws *draws
}

// begin waits for a connection to the upstream and returns the call on it.
func (g ownerGrants) begin(ctx context.Context, method string, faults []ownerOutcome) (ownerCall, error) {
	p := g.process
	m := p.node.m
	if !p.awaitRunning() {
		return ownerCall{}, errOwnerKilled
	}
	var c ownerCall
	var pause time.Duration
	m.locked(func() {
		c.draws = m.draw(method, p.node.slot)
		if m.faulty && c.draws.chance(0.02) {
			pause = c.draws.between(time.Millisecond, 250*time.Millisecond)
		}
	})
	if !wait.For(ctx, pause) && pause > 0 {
		return ownerCall{}, ctx.Err()
	}
	if !p.awaitRunning() {
		return ownerCall{}, errOwnerKilled
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c.upstream = p.connection
	switch {
	case c.upstream != nil && !c.upstream.up:
		p.connection = nil
		return ownerCall{}, errOwnerReset
	case c.upstream == nil || c.draws.chance(0.01):
		c.fresh, c.upstream = true, p.node.upstream
	}
	if c.upstream == nil {
		return ownerCall{}, grant.ErrUpstreamGone
	}
	p.connection = c.upstream
	now := time.Now()
	switch {
	case !m.faulty:
	case now.Before(p.node.troubledUntil) && c.draws.chance(0.6), c.draws.chance(0.01):
		c.outcome = faults[c.draws.IntN(len(faults))]
	case now.Before(p.node.slowUntil):
		c.outcome = ownerSlow
	}
	return c, nil
}

// markGone lets the gateway find out that the upstream refuses connections.
func (g ownerGrants) markGone(ctx context.Context, err error) {
	if errors.Is(err, grant.ErrUpstreamGone) {
		_, _ = g.process.sc.gateway.CheckHealth(ctx, "/")
	}
}

// Grant implements grant.Upstream.
func (g ownerGrants) Grant(ctx context.Context, asked grant.Grant) error {
	p := g.process
	m := p.node.m
	c, err := g.begin(ctx, "grant", []ownerOutcome{ownerNotDone, ownerAnswerLost, ownerLate, ownerLate, ownerResetBefore, ownerResetAfter})
	if err != nil {
		g.markGone(ctx, err)
		return err
	}
	token, hold := asked.Fence(c.fresh), ownerHold(asked)
	if hold <= 0 {
		return errOwnerTooLate
	}
	call := &ownerGrant{upstream: c.upstream, keys: asked.Range, token: token, hold: hold, outcome: c.outcome}
	if m.isFaulty() && c.draws.chance(0.001) {
		call.heldUp = true
		time.Sleep(c.draws.between(50*time.Millisecond, 1500*time.Millisecond))
	}
	time.Sleep(c.draws.between(200*time.Microsecond, 2*time.Millisecond))
	call.arrival = time.Now()
	m.locked(func() {
		switch c.outcome {
		case ownerAnswered, ownerAnswerLost, ownerResetAfter, ownerSlow:
			err = m.carryOut(call)
		case ownerLate:
			m.recordKeys(call.keys, "%v", call)
			delay := c.draws.between(2*time.Second, 12*time.Second)
			m.group.Go(func() {
				time.Sleep(delay)
				m.locked(func() {
					call.late = true
					_ = m.carryOut(call)
				})
			})
		default:
			m.recordKeys(call.keys, "%v", call)
		}
	})
	return g.respond(ctx, c, err)
}

// respond returns the result of a call as the caller sees it.
func (g ownerGrants) respond(ctx context.Context, c ownerCall, err error) error {
	switch c.outcome {
	case ownerNotDone, ownerAnswerLost, ownerLate:
		<-ctx.Done()
		err = ctx.Err()
	case ownerResetBefore, ownerResetAfter:
		err = errOwnerReset
	case ownerSlow:
		if !wait.For(ctx, c.draws.between(50*time.Millisecond, 1500*time.Millisecond)) {
			err = ctx.Err()
		}
	case ownerAnswered:
	}
	p := g.process
	if !p.awaitRunning() {
		return errOwnerKilled
	}
	if err != nil && !errors.Is(err, grant.ErrFenced) {
		p.node.m.locked(func() { p.connection = nil })
	}
	return err
}

// ownerGrant is a grant on its way.
type ownerGrant struct {
	upstream *ownerUpstream
	keys     keyspace.Range
	token    uint64
	hold     time.Duration
	outcome  ownerOutcome
	arrival  time.Time
	// heldUp means that the process stood still between the computation of the hold and the write, and late that the upstream carries the
	// grant out late.
	heldUp, late bool
}

// String describes the grant.
func (g *ownerGrant) String() string {
	text := fmt.Sprintf("%s: grant %v %s for %v, %v", g.upstream.name, g.keys, ownerToken(g.token), g.hold, g.outcome)
	if g.heldUp {
		text += ", held up"
	}
	if g.late {
		text += fmt.Sprintf(", carried out %v after it arrived", time.Since(g.arrival))
	}
	return text
}

// ownerToken returns a fencing token as epoch and generation.
func ownerToken(token uint64) string { return fmt.Sprintf("%d.%d", token>>20, token&(1<<20-1)) }

// isFaulty reports whether calls may fail.
func (m *ownerModel) isFaulty() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faulty
}

// carryOut carries out a grant and checks that it keeps the rules. mu must be held.
func (m *ownerModel) carryOut(g *ownerGrant) error {
	u := g.upstream
	if !u.up || m.ended {
		return grant.ErrUpstreamGone
	}
	from, to := m.sampled(g.keys)
	if slices.ContainsFunc(u.keys[from:to], func(k ownerKey) bool { return g.token < k.seen }) {
		m.recordKeys(g.keys, "%v: fenced", g)
		return grant.ErrFenced
	}
	now, end := time.Now(), g.arrival.Add(time.Duration(float64(g.hold)*u.node.clockFactor))
	taken := false
	for n := from; n < to; n++ {
		taken = taken || !u.keys[n].isHeld(now) || u.keys[n].seen != g.token
	}
	if taken || g.outcome != ownerAnswered || g.heldUp {
		// Renewals that are answered are left out.
		m.recordKeys(g.keys, "%v: holds until %.3f", g, end.Sub(m.started).Seconds())
	}
	m.totals["grants"]++
	for n := from; n < to; n++ {
		k := &u.keys[n]
		if !k.isHeld(now) {
			m.checkToken(g, n)
			k.taken = max(k.taken, g.token)
		}
		k.seen, k.heldUntil, k.heldUp = g.token, end, g.heldUp
		m.checkHold(u, n)
	}
	return nil
}

// preventable is the time after which an instance must have made its upstream refuse late grants, counted from when the instance was able
// to.
const preventable = 300 * time.Millisecond

// checkToken checks that the fencing token of a grant by which an upstream takes a key is above those with which others have taken it. mu
// must be held.
func (m *ownerModel) checkToken(g *ownerGrant, n int) {
	node, now := g.upstream.node, time.Now()
	kind := "token"
	switch {
	case g.heldUp:
		kind = ownerHeldUp
	case g.late && (node.process == nil || now.Sub(node.stalledUntil) < preventable ||
		now.Sub(m.network.healed(node)) < preventable):
		kind = ownerLateAllowed
	case g.late:
		kind = "token of a late grant"
	}
	for _, other := range m.runs {
		if taken := other.keys[n].taken; other != g.upstream && g.token <= taken {
			m.totals[kind]++
			m.violate(kind, m.samples[n], "%s takes the key with token %s, %s had it with %s", g.upstream.name, ownerToken(g.token),
				other.name, ownerToken(taken))
		}
	}
}

// checkHold checks that no other upstream that is up holds a key that an upstream holds. mu must be held.
func (m *ownerModel) checkHold(u *ownerUpstream, n int) {
	now := time.Now()
	for _, other := range m.runs {
		if other == u || !other.up || !u.keys[n].isHeld(now) || !other.keys[n].isHeld(now) {
			continue
		}
		kind := "hold"
		if u.keys[n].heldUp || other.keys[n].heldUp {
			kind = ownerHeldUp
		}
		m.totals[kind]++
		m.violate(kind, m.samples[n], "%s holds the key with token %s until %.3f, %s with %s until %.3f",
			u.name, ownerToken(u.keys[n].seen), u.keys[n].heldUntil.Sub(m.started).Seconds(),
			other.name, ownerToken(other.keys[n].seen), other.keys[n].heldUntil.Sub(m.started).Seconds())
	}
}

// Release implements grant.Upstream.
func (g ownerGrants) Release(ctx context.Context, r keyspace.Range, fence uint64) (string, error) {
	p := g.process
	m := p.node.m
	c, err := g.begin(ctx, "release", []ownerOutcome{ownerNotDone, ownerAnswerLost, ownerResetBefore, ownerResetAfter})
	if err != nil {
		g.markGone(ctx, err)
		return "", err
	}
	time.Sleep(c.draws.between(200*time.Microsecond, 2*time.Millisecond))
	work := c.draws.between(0, 30*time.Millisecond)
	m.locked(func() {
		if m.faulty && c.draws.chance(0.1) {
			work = c.draws.between(0, time.Second)
		}
		u := c.upstream
		m.recordKeys(r, "%s: release %v %s, %v", u.name, r, ownerToken(fence), c.outcome)
		switch {
		case !u.up:
			err = errOwnerReset
		case c.outcome != ownerNotDone && c.outcome != ownerResetBefore:
			from, to := m.sampled(r)
			for n := from; n < to; n++ {
				k := &u.keys[n]
				k.seen = max(k.seen, fence)
				k.heldUntil = time.Time{}
			}
		}
	})
	if err == nil && c.outcome == ownerAnswered && !wait.For(ctx, work) {
		err = ctx.Err()
	}
	return "handover", g.respond(ctx, c, err)
}
