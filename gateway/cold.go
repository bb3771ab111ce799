package gateway

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/code"
	"sapphiretray/policy"
)

const (
	// heartbeatOverdue is the time without a heartbeat after which the upstream may have become cold without saying so.
	heartbeatOverdue = 2500 * time.Millisecond
	// heartbeatDelay is the time within which heartbeats arrive. One that arrives sooner after a loss of all connections may have been
	// sent before it.
	heartbeatDelay = 150 * time.Millisecond
	// coldNoticeDelay is the time that a heartbeat or a health response takes to arrive, so that the upstream has been cold for longer than
	// these say.
	coldNoticeDelay = 100 * time.Millisecond
	// coldCheckInterval is the time between two health checks of an upstream that may be cold, and coldCheckTimeout bounds one of them.
	coldCheckInterval = 300 * time.Millisecond
	coldCheckTimeout  = 300 * time.Millisecond
	// maxColdFactor is the largest cold time that is believed, in multiples of the cold time after a start.
	maxColdFactor = 10
)

// Sources of what is known of the upstream's cold time.
const (
	sourceHeartbeat     = "heartbeat"
	sourceHealthCheck   = "health check"
	sourceNoConnection  = "no connection since the last sign of life"
	sourceOverdue       = "heartbeats overdue"
	sourceConfiguration = "configuration"
)

// ColdTerms are the terms of a service for its cold upstreams.
type ColdTerms struct {
	// Starts limits the requests to a cold upstream. The zero value is no limit.
	Starts policy.StartTerms
	// Duration is how long an upstream is cold after its start.
	Duration time.Duration
	// HealthPath is the path of the health check, whose response tells how long the upstream stays cold.
	HealthPath string
}

// WithColdTerms sets a function that returns the terms of the service for cold upstreams.
func WithColdTerms(terms func() ColdTerms) Option { return func(g *Gateway) { g.coldTerms = terms } }

// coldState is what the gateway knows of the cold times of its upstream.
type coldState struct {
	// until is the time until which the upstream is cold, as it last said, and byCheck is set if it said so in a health response.
	until   time.Time
	byCheck bool
	// heard is when the upstream last said how long it stays cold, or that it isn't.
	heard time.Time
	// suspected is when the upstream may have become cold without saying so; zero if that isn't suspected.
	suspected time.Time
	// checked is when the last health check because of a suspicion began.
	checked time.Time
	// logged is set while the last log line said that the upstream is cold.
	logged bool
	// started and refused count the requests since then.
	started, refused uint64
}

// observeCold records how long the upstream stays cold, as it says itself; newRun is set if its run is new. Cold times that can't be true
// are ignored. A heartbeat can't shorten the cold time of a health response unless it is the first of a run: the health response may come
// from a run that hasn't sent one yet. g.mu must be held.
func (g *Gateway) observeCold(now time.Time, coldFor time.Duration, newRun bool, source string) {
	terms := g.coldTerms()
	if coldFor < 0 || terms.Duration > 0 && coldFor > maxColdFactor*terms.Duration {
		klog.InfoS("upstream: cold time ignored", "life", g.registry.current.UpstreamRun, "cold", coldFor, "usual", terms.Duration,
			"source", source)
		return
	}
	c := &g.cold
	c.heard = now
	g.pool.prove(now.Add(-heartbeatDelay))
	if coldFor == 0 && source == sourceHeartbeat && now.Sub(c.suspected) < heartbeatDelay {
		return
	}
	c.suspected = time.Time{}
	if until := now.Add(coldFor); newRun || source != sourceHeartbeat || !c.byCheck || until.After(c.until) {
		c.until, c.byCheck = until, source == sourceHealthCheck
	}
	g.limitStarts(now, terms, source)
}

// limitStarts limits the requests while the upstream is cold, unless there are no terms. g.mu must be held.
func (g *Gateway) limitStarts(now time.Time, terms ColdTerms, source string) {
	left := g.cold.until.Sub(now)
	if left <= 0 || terms.Starts.IsZero() {
		g.scheduler.LiftStartLimit(now)
		g.logCold(now, source)
		return
	}
	since := time.Time{}
	if age := terms.Duration - left; age >= 0 {
		since = now.Add(-age - coldNoticeDelay)
		g.assumeEarlierStarts(now, now.Add(-age), terms.Starts)
	}
	g.scheduler.LimitStarts(now, since, g.cold.until, terms.Starts)
	g.logCold(now, source)
}

// assumeEarlierStarts counts the requests that an earlier process may have sent to the upstream, if that has been cold for longer than this
// process has run. g.mu must be held.
func (g *Gateway) assumeEarlierStarts(now, since time.Time, terms policy.StartTerms) {
	earlier := g.started.Sub(since)
	if g.earlierAssumed || earlier <= 0 || now.Sub(g.started) > time.Second {
		return
	}
	g.earlierAssumed = true
	g.scheduler.AssumeSent(min(terms.Maximum, terms.Burst+int(terms.Rate*earlier.Seconds())), g.started)
}

// updateStartLimit applies the terms of a configuration that arrived after the upstream had become cold, and limits the requests if the
// upstream may have become cold without saying so: its process may have been replaced, or no heartbeat has arrived for long. A health check
// clears that up. g.mu must be held.
func (g *Gateway) updateStartLimit(now time.Time) {
	c := &g.cold
	terms := g.coldTerms()
	if now.Before(c.until) {
		if limit, _ := g.scheduler.StartTerms(now); limit != terms.Starts {
			g.limitStarts(now, terms, sourceConfiguration)
		}
		return
	}
	if terms.Starts.IsZero() || !c.suspected.IsZero() || !g.registry.known || g.scheduler.IsStartLimited(now) {
		return
	}
	since, continuous := g.pool.proof()
	source := sourceNoConnection
	if continuous {
		if now.Sub(c.heard) <= heartbeatOverdue {
			return
		}
		since, source = time.Time{}, sourceOverdue
	}
	c.suspected = now
	g.assumeEarlierStarts(now, since, terms.Starts)
	g.scheduler.LimitStarts(now, since, now.Add(terms.Duration), terms.Starts)
	g.logCold(now, source)
}

// checkSuspicion sends a health check if the upstream may have become cold without saying so. It is called at short intervals.
func (g *Gateway) checkSuspicion(ctx context.Context, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.After(g.scheduler.StartLimitEnd()) {
		g.logCold(now, "end of the cold time")
	}
	c := &g.cold
	if c.suspected.IsZero() || g.down || now.Sub(c.checked) < coldCheckInterval || !g.scheduler.IsStartLimited(now) {
		return
	}
	c.checked = now
	path := g.coldTerms().HealthPath
	g.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, coldCheckTimeout)
		defer cancel()
		sent := time.Now()
		report, err := g.CheckHealth(ctx, path)
		if err != nil || !report.ColdKnown {
			klog.V(1).InfoS("upstream: cold time unknown", "err", err)
			return
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		if report.ID == g.registry.current.ID && !g.cold.suspected.IsZero() {
			g.observeCold(time.Now(), report.ColdFor, false, sourceHealthCheck)
			g.pool.prove(sent)
		}
	})
}

// logCold logs whether the upstream is cold if the last line said something else. g.mu must be held.
func (g *Gateway) logCold(now time.Time, source string) {
	c := &g.cold
	terms, until := g.scheduler.StartTerms(now)
	cold := !terms.IsZero()
	if cold == c.logged {
		return
	}
	c.logged = cold
	life := g.registry.current.UpstreamRun
	if cold {
		c.started, c.refused = 0, 0
		klog.InfoS("upstream: cold, requests are limited", "life", life, "source", source, "for", until.Sub(now), "rate", terms.Rate,
			"burst", terms.Burst, "maximum", terms.Maximum, "running", g.scheduler.Running(), "waiting", g.scheduler.Waiting())
		return
	}
	klog.InfoS("upstream: no longer cold", "life", life, "source", source, "started", c.started, "refused", c.refused)
}

// shed returns the failure of a request that the scheduler refused.
func (g *Gateway) shed(retryAfter time.Duration) *Failure {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := &Failure{Code: code.Shed, RetryAfter: retryAfter, Reason: "no slot is free in time"}
	now := time.Now()
	if terms, until := g.scheduler.StartTerms(now); !terms.IsZero() {
		g.cold.refused++
		g.stats.ColdRefused++
		f.Reason = fmt.Sprintf("the upstream is cold for %v more and takes %.1f requests per second",
			until.Sub(now).Round(time.Millisecond), terms.Rate)
	}
	return f
}

// countColdStart counts an admitted request if the upstream is cold.
func (g *Gateway) countColdStart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cold.logged {
		g.cold.started++
	}
}

// ColdFor returns how long requests to the upstream stay limited because it is or may be cold, or 0 if they aren't limited.
func (g *Gateway) ColdFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !g.scheduler.IsStartLimited(now) {
		return 0
	}
	return g.scheduler.StartLimitEnd().Sub(now)
}
