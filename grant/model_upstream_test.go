package grant_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"sapphiretray/grant"
	"sapphiretray/keyspace"
	"sapphiretray/wait"
)

const (
	// regions is the number of equal ranges that the model's maps, grants and releases are made of.
	regions    = 8
	regionSize = (int(keyspace.MaxKey) + 1) / regions
	// minLateness and maxLateness bound the time after which an upstream of the platform carries out a grant that it left unanswered.
	minLateness = 2 * time.Second
	maxLateness = 12 * time.Second
	// stallFraction is the fraction of grants before whose write the instance's process stands still, for minStall to maxStall.
	stallFraction = 0.03
	minStall      = 100 * time.Millisecond
	maxStall      = 3 * time.Second
)

// firstKey returns the first key of a region.
func firstKey(region int) keyspace.Key { return keyspace.Key(region * regionSize) }

// regionsOf returns the first region of a range and the one after its last.
func regionsOf(r keyspace.Range) (from, to int) {
	return int(r.First) / regionSize, int(r.Last)/regionSize + 1
}

// tokenText returns a fencing token as epoch and generation.
func tokenText(token uint64) string { return fmt.Sprintf("%d.%d", token>>20, token&(1<<20-1)) }

// upstreamRun is one run of an upstream's process. It implements grant.Upstream for the managers of its instance. The model's mutex
// guards its fields.
type upstreamRun struct {
	m    *model
	name string
	// clockFactor is the real duration of a second of the upstream's clock.
	clockFactor float64
	up          bool
	// newConnection means that the next grant opens a connection.
	newConnection bool
	// calls is the number of calls that have not returned yet.
	calls int
	keys  [regions]upstreamKeys
}

// upstreamKeys is the state of a region at an upstream.
type upstreamKeys struct {
	// seen is the highest fencing token of the grants that were carried out.
	seen      uint64
	heldUntil time.Time
	// workUntil is when the work on released keys ends, which is no later than the end of their hold.
	workUntil time.Time
	// releasedAt is when the last answer to a release was sent.
	releasedAt time.Time
}

func (k upstreamKeys) held(now time.Time) bool { return now.Before(k.heldUntil) }

// outcome is what an upstream makes of a call.
type outcome int

const (
	answered outcome = iota
	notDone
	answerLost
	late
	resetBefore
	resetAfter
)

var outcomeNames = []string{"answered", "not done", "answer lost", "to be carried out late", "reset, not done", "reset, done"}

func (o outcome) String() string { return outcomeNames[o] }

// begin returns the outcome of a call and the time that it takes to arrive.
func (u *upstreamRun) begin(method string, r keyspace.Range, faults []outcome) (outcome, *draws, time.Duration) {
	u.m.mu.Lock()
	defer u.m.mu.Unlock()
	u.calls++
	random := u.m.draw(method, u.name, r)
	o := answered
	if u.m.faulty && random.Float64() < 0.25 {
		o = faults[random.IntN(len(faults))]
	}
	return o, random, random.between(200*time.Microsecond, 2*time.Millisecond)
}

// end counts the end of a call.
func (u *upstreamRun) end() { u.m.locked(func() { u.calls-- }) }

// Grant implements grant.Upstream.
func (u *upstreamRun) Grant(ctx context.Context, g grant.Grant) error {
	o, random, transit := u.begin("grant", g.Range, []outcome{notDone, answerLost, late, resetBefore, resetAfter})
	defer u.end()
	stalled := u.awaitStall(g.Range, random)
	u.m.mu.Lock()
	token := g.Fence(u.newConnection)
	u.newConnection = false
	u.m.mu.Unlock()
	hold := g.Hold()
	if hold == 0 {
		return grant.ErrTooLate
	}
	if stalled {
		// A grant that is written arrives, also after its call.
		time.Sleep(transit)
	} else if !wait.For(ctx, transit) {
		return ctx.Err()
	}
	arrival := time.Now()
	text := fmt.Sprintf("%s: grant %s for %v", u.name, tokenText(token), hold)
	if o == late {
		delay := random.between(minLateness, maxLateness)
		u.m.group.Go(func() {
			time.Sleep(delay)
			u.m.mu.Lock()
			defer u.m.mu.Unlock()
			_ = u.carryOut(g.Range, hold, token, arrival, text+fmt.Sprintf(", %v after it arrived", delay))
		})
	}
	u.m.mu.Lock()
	var err error
	switch {
	case !u.up:
		err = grant.ErrUpstreamGone
	case o == answered || o == answerLost || o == resetAfter:
		err = u.carryOut(g.Range, hold, token, arrival, text+", "+o.String())
	default:
		u.m.record(g.Range, text+", "+o.String())
	}
	u.m.mu.Unlock()
	return u.respond(ctx, o, err)
}

// awaitStall may let the instance's process stand still between the start of a call and the write, and reports whether it did.
func (u *upstreamRun) awaitStall(r keyspace.Range, random *draws) bool {
	u.m.mu.Lock()
	stall := time.Duration(0)
	if u.m.faulty && random.Float64() < stallFraction {
		stall = random.between(minStall, maxStall)
		u.m.record(r, fmt.Sprintf("%s: a grant is stalled for %v", u.name, stall))
	}
	u.m.mu.Unlock()
	time.Sleep(stall)
	return stall > 0
}

// respond returns the result of a call as the caller sees it.
func (u *upstreamRun) respond(ctx context.Context, o outcome, err error) error {
	if err != nil && o != answerLost {
		return err
	}
	switch o {
	case notDone, answerLost, late:
		<-ctx.Done()
		return ctx.Err()
	case resetBefore, resetAfter:
		u.m.locked(func() { u.newConnection = true })
		return errReset
	case answered:
	}
	return nil
}

// carryOut carries out a grant and checks that it keeps the rules. The model's mutex must be held.
func (u *upstreamRun) carryOut(r keyspace.Range, hold time.Duration, token uint64, arrival time.Time, text string) error {
	if !u.up || u.m.ended {
		return grant.ErrUpstreamGone
	}
	from, to := regionsOf(r)
	if slices.ContainsFunc(u.keys[from:to], func(k upstreamKeys) bool { return token < k.seen }) {
		u.m.record(r, text+": fenced")
		return grant.ErrFenced
	}
	u.m.record(r, text+": carried out")
	now := time.Now()
	end := arrival.Add(time.Duration(float64(hold) * u.clockFactor))
	for region := from; region < to; region++ {
		took := !u.keys[region].held(now)
		if took {
			u.m.checkToken(u, region, token, arrival, end)
		}
		u.keys[region].seen, u.keys[region].heldUntil = token, end
		u.m.checkHold(u, region)
	}
	return nil
}

// Release implements grant.Upstream.
func (u *upstreamRun) Release(ctx context.Context, r keyspace.Range, token uint64) (string, error) {
	o, random, transit := u.begin("release", r, []outcome{notDone, answerLost, resetBefore, resetAfter})
	defer u.end()
	if !wait.For(ctx, transit) {
		return "", ctx.Err()
	}
	u.m.mu.Lock()
	work := random.between(0, 50*time.Millisecond)
	if u.m.faulty && random.Float64() < 0.1 {
		work = random.between(0, time.Second)
	}
	var err error
	if !u.up {
		err = grant.ErrUpstreamGone
	}
	workUntil := time.Now()
	from, to := regionsOf(r)
	if err == nil && o != notDone && o != resetBefore {
		workUntil = u.release(from, to, work)
		for region := from; u.m.releaseRaises && region < to; region++ {
			u.keys[region].seen = max(u.keys[region].seen, token)
		}
	}
	u.m.record(r, fmt.Sprintf("%s: release %s, %v, work until %.3f", u.name, tokenText(token), o, workUntil.Sub(u.m.started).Seconds()))
	u.m.mu.Unlock()
	if err == nil && o == answered {
		if !wait.For(ctx, time.Until(workUntil)) {
			return "", ctx.Err()
		}
		u.m.locked(func() {
			for region := from; region < to; region++ {
				u.keys[region].releasedAt = time.Now()
			}
		})
	}
	return "handover", u.respond(ctx, o, err)
}

// release ends the hold of regions and returns when the work on them ends. The model's mutex must be held.
func (u *upstreamRun) release(from, to int, work time.Duration) time.Time {
	now := time.Now()
	until := now
	for region := from; region < to; region++ {
		k := &u.keys[region]
		if k.held(now) {
			k.workUntil = now.Add(min(work, k.heldUntil.Sub(now)))
			k.heldUntil = now
		}
		if k.workUntil.After(until) {
			until = k.workUntil
		}
	}
	return until
}

// checkToken checks that a grant by which an upstream takes a region has a higher fencing token than all others of the region. The
// model's mutex must be held.
//
// A grant that is carried out late holds no keys, since its time has ended by then. It must be refused all the same if the upstream has
// answered a release after the grant arrived. After a takeover from an upstream that didn't answer, nothing can make it refuse the grant,
// nor after the time of the grant if releases don't raise the fencing token.
func (m *model) checkToken(u *upstreamRun, region int, token uint64, arrival, end time.Time) {
	kind := "token"
	if !time.Now().Before(end) {
		kind = "token of a late grant"
		released := u.keys[region].releasedAt
		if released.Before(arrival) || !m.releaseRaises && !released.Before(end) {
			kind = allowedLateGrant
		}
	}
	for _, other := range m.runs {
		if seen := other.keys[region].seen; other != u && token <= seen {
			m.violate(kind, region, fmt.Sprintf("%s takes the keys with token %s, %s had them with %s",
				u.name, tokenText(token), other.name, tokenText(seen)))
		}
	}
}

// checkHold checks that no other upstream that is up holds a region or works on it. The model's mutex must be held.
//
// The platform allows two upstreams with the same keys only if a grant was carried out late or held up on its way. The model has neither:
// a late grant holds no keys.
func (m *model) checkHold(u *upstreamRun, region int) {
	now := time.Now()
	for _, other := range m.runs {
		if other == u || !other.up || !u.keys[region].held(now) {
			continue
		}
		if other.keys[region].held(now) {
			m.violate("hold", region, fmt.Sprintf("%s and %s hold the keys", u.name, other.name))
		}
		if now.Before(other.keys[region].workUntil) {
			m.violate("work", region, fmt.Sprintf("%s holds the keys and %s works on them", u.name, other.name))
		}
	}
}
