package sidecar

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// answerSlack is how long before its deadline a run must end for its answer to be due, and how much early a timeout may be: the
	// request reaches the instance, and the answer the caller, after up to two latencies each.
	answerSlack = 200 * time.Millisecond
	// lateAcceptSlack is the time in which an answer at the deadline of a request reaches its caller.
	lateAcceptSlack = 50 * time.Millisecond
	// killNoticeTime is the time in which the end of a connection to a killed process arrives: the largest latency.
	killNoticeTime = 12 * time.Millisecond
	// killedSlack is the time in which an instance learns of a key's next owner and the request reaches that.
	killedSlack = 200 * time.Millisecond
	// deadlineSlack allows for the resolution of the deadlines on the wire.
	deadlineSlack = 15 * time.Millisecond
)

// modelRequest is one request of a caller. m.mu guards it once it is sent.
type modelRequest struct {
	id, route, method, target string
	// node is that of the instance that it is sent to, and conn the address of the caller's end of the connection.
	node *modelNode
	conn string
	// closedUnread means that all of it had arrived when the instance closed the connection, which had read none of it.
	closedUnread bool
	// refused means that an upstream refused it.
	refused           bool
	key               int
	idempotent        bool
	body, encodedBody []byte
	// from and to are the positions of its first byte and behind its last on the connection.
	from, to int64
	// madeAt is when its first byte may have been written, and patience the time that its caller allows for it. deadline is until when the
	// instance must have answered; it isn't known of a request of a pipeline before those in front of it have been answered.
	madeAt, deadline time.Time
	patience         time.Duration
	// readAt is when the instance had read all of it, and turnAt when those in front of it on the connection had been answered.
	readAt, turnAt time.Time
	// earliest is the earliest time at which the instance may have begun to count the time of the request.
	earliest time.Time
	// sentAt is when the last byte was written, or zero.
	sentAt time.Time
	// left means that the caller has closed the connection without waiting, halfClosed that it has closed its sending side.
	left, halfClosed bool
	// endedAt is when the answer was complete or there was none, err why there was none.
	endedAt  time.Time
	err      error
	status   int
	header   http.Header
	response []byte
	// readAny and readAll mean that the instance had read a part, or all of the request at endedAt. afterClose means that an earlier
	// response on the connection had announced its close.
	readAny, readAll, afterClose bool
	runs                         []*upstreamRun
}

// violate adds a violation with the time line of a request, which may be nil. m.mu must be held.
func (m *model) violate(kind string, r *modelRequest, text string) {
	if slices.ContainsFunc(m.violations, func(v modelViolation) bool { return v.kind == kind }) {
		return
	}
	v := modelViolation{kind: kind, text: text}
	if r != nil {
		v.text = fmt.Sprintf("request %s of route %s: %s", r.id, r.route, text)
		v.events = m.trace(r)
	}
	m.violations = append(m.violations, v)
}

// trace returns the events of a request, and those of instances, keys and tables from 6 s before it on.
func (m *model) trace(r *modelRequest) []string {
	m.eventsMu.Lock()
	defer m.eventsMu.Unlock()
	from, to := r.madeAt.Sub(m.started)-modelStopTimeout, time.Since(m.started)
	if !r.endedAt.IsZero() {
		to = r.endedAt.Sub(m.started) + 500*time.Millisecond
	}
	var lines []string
	for _, e := range m.events {
		since := from
		if e.id != "" || !strings.Contains(e.text, "process") {
			since = r.madeAt.Sub(m.started) - 500*time.Millisecond
		}
		if e.id == r.id || r.traces(e) && e.at >= since && e.at <= to {
			lines = append(lines, fmt.Sprintf("    %9.4f %s", e.at.Seconds(), e.text))
		}
	}
	return lines
}

// traces reports whether an event of something else belongs to the time line of the request.
func (r *modelRequest) traces(e modelEvent) bool {
	if r.key >= 0 && e.id == regionID(region(uint16(r.key))) {
		return true
	}
	return e.id == "" && !strings.Contains(e.text, "log: callers:") && !strings.Contains(e.text, "log: directory:")
}

// checkRefusals checks that no instance refuses requests while its callers may still come. m.mu must be held.
func (m *model) checkRefusals() {
	m.eventsMu.Lock()
	var early []modelEvent
	for _, e := range m.events {
		isRefusal := strings.Contains(e.text, "log: \"gateway: not served") && strings.Contains(e.text, "the instance is stopping")
		if isRefusal && !slices.ContainsFunc(m.refusing, func(s timeSpan) bool { return s.from <= e.at && e.at <= s.to }) {
			early = append(early, e)
		}
	}
	m.eventsMu.Unlock()
	for _, e := range early {
		m.violate("stop refuses early", m.requests[e.id], fmt.Sprintf("at %v", e.at))
	}
}

// checkAll checks all requests. m.mu must be held.
func (m *model) checkAll() {
	m.checkRefusals()
	for _, r := range m.order {
		m.outcomes[r.outcome()]++
		m.checkAlways(r)
		// The instance can't tell a caller that has closed its sending side from one that has left, and has to end the work for one
		// that has left (GONE).
		if !m.harmful && !r.left && !r.halfClosed && !r.sentAt.IsZero() {
			m.checkAnswered(r)
		}
	}
}

// outcome names how the request ended.
func (r *modelRequest) outcome() string {
	switch {
	case r.left:
		return "left"
	case r.status > 0 && isOwnAnswer(r.header):
		number, _, _ := strings.Cut(string(r.response), " ")
		if r.halfClosed {
			number += " half-closed"
		}
		return fmt.Sprintf("%d (%s)", r.status, number)
	case r.status > 0:
		return strconv.Itoa(r.status)
	case r.endedAt.IsZero():
		return "not awaited"
	case r.readAll:
		return "ended after it was read"
	default:
		return "ended before it was read"
	}
}

// saysNotRun reports whether the caller was told that the request hasn't run.
func (r *modelRequest) saysNotRun() bool {
	switch r.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return isOwnAnswer(r.header)
	default:
		return false
	}
}

// checkAlways checks what holds whatever happens to the connections. m.mu must be held.
func (m *model) checkAlways(r *modelRequest) {
	if r.saysNotRun() && len(r.runs) > 0 {
		m.violate("not run, but it ran", r, fmt.Sprintf("answered %d and ran %d times", r.status, len(r.runs)))
	}
	if !r.idempotent && len(r.runs) > 1 {
		m.violate("runs twice", r, fmt.Sprintf("ran %d times", len(r.runs)))
	}
	if r.status == 0 || isOwnAnswer(r.header) {
		if r.status > 0 && r.status < http.StatusBadRequest {
			m.violate("success without an upstream", r, fmt.Sprintf("status %d", r.status))
		}
		return
	}
	number, err := strconv.Atoi(r.header.Get(modelRun))
	switch {
	case r.header.Get(modelID) != r.id:
		m.violate("answer to another request", r, "it belongs to "+r.header.Get(modelID))
	case err != nil || number < 1 || number > len(r.runs):
		m.violate("answer of an unknown run", r, r.header.Get(modelRun))
	default:
		run := r.runs[number-1]
		if run.status != r.status || !bytes.Equal(run.body, r.response) {
			m.violate("changed answer", r, fmt.Sprintf("status %d with %d bytes, the upstream answered %d with %d bytes",
				r.status, len(r.response), run.status, len(run.body)))
		}
	}
}

// checkAnswered checks that a request got an answer. m.mu must be held.
func (m *model) checkAnswered(r *modelRequest) {
	if accepted := m.acceptedAt[r.conn]; accepted.After(r.earliest) {
		// The instance counts from its acceptance, so its answer may come after the caller has stopped waiting.
		if accepted.Sub(r.earliest) > callerGrace-lateAcceptSlack {
			return
		}
		r.earliest = accepted
	}
	kill := m.killDuring(r)
	if kill != nil && kill.node == r.node {
		return
	}
	left := min(r.patience, m.shortestTimeout(r.earliest, r.endedAt))
	limit := r.earliest.Add(left)
	switch {
	case r.endedAt.IsZero():
		// The caller stopped reading after an earlier request of a pipeline. If the response to that one announced the close of the
		// connection, the instance must not run those behind it. One that may be repeated may have begun before.
		if len(r.runs) > 0 && r.afterClose && (!r.idempotent || m.beganAfterClose(r)) {
			m.violate("pipelined request runs after the announced close", r, "")
		}
	case r.err != nil && errors.Is(r.err, os.ErrDeadlineExceeded):
		m.violate("no answer until the deadline", r, r.err.Error())
	case r.err != nil && len(r.runs) > 0:
		m.violate("connection ends though the request ran", r, r.err.Error())
	case r.err != nil && r.readAny && !r.afterClose:
		m.violate("connection ends after the request was read", r, fmt.Sprintf("read as a whole: %v; %v", r.readAll, r.err))
	case r.err != nil && r.closedUnread && !r.afterClose:
		m.violate("connection closes though a request has arrived", r, r.err.Error())
	case r.err != nil, !isOwnAnswer(r.header), r.saysNotRun():
	case r.status == http.StatusGatewayTimeout:
		m.checkTimeout(r, limit, kill)
	case r.status == http.StatusBadGateway && kill != nil && !m.survives(r, kill, limit):
	default:
		kind := fmt.Sprintf("status %d of the instance", r.status)
		if r.endedAt.After(limit.Add(-deadlineSlack)) {
			kind += " at the deadline"
		}
		m.violate(kind, r, fmt.Sprintf("%v before the deadline: %.200q", limit.Sub(r.endedAt), r.response))
	}
}

// beganAfterClose reports whether a run of a request began after its caller knew that the connection is closed. m.mu must be held.
func (m *model) beganAfterClose(r *modelRequest) bool {
	closed := m.byConn[r.conn].closeAnnouncedAt
	return slices.ContainsFunc(r.runs, func(run *upstreamRun) bool { return run.began.After(closed.Add(answerSlack)) })
}

// killDuring returns a kill while the request was in progress, that of its own instance before others, or nil. m.mu must be held.
func (m *model) killDuring(r *modelRequest) *modelKill {
	var found *modelKill
	for n := range m.kills {
		k := &m.kills[n]
		if r.overlaps(k) && (found == nil || k.node == r.node) {
			found = k
		}
	}
	return found
}

// overlaps reports whether a process was killed while the request was in progress, or so recently that it may have been sent on a
// connection whose end hadn't arrived.
func (r *modelRequest) overlaps(k *modelKill) bool {
	return k.at.Add(killNoticeTime).After(r.madeAt) && (r.endedAt.IsZero() || !k.at.After(r.endedAt))
}

// hasLogged reports whether a line of the log with a text concerns the request.
func (m *model) hasLogged(r *modelRequest, text string) bool {
	m.eventsMu.Lock()
	defer m.eventsMu.Unlock()
	return slices.ContainsFunc(m.events, func(e modelEvent) bool { return e.id == r.id && strings.Contains(e.text, text) })
}

// survives reports whether a request must be answered although the owner of its key was killed: it may be repeated, and the next owner
// served the key while the request could still wait for it. m.mu must be held.
func (m *model) survives(r *modelRequest, kill *modelKill, limit time.Time) bool {
	if !r.idempotent || r.key < 0 || r.refused || m.hasLogged(r, "the retry budget is spent") {
		return false
	}
	for n := range m.kills {
		if k := &m.kills[n]; k != kill && r.overlaps(k) {
			return false
		}
	}
	served := kill.servedAt[region(uint16(r.key))]
	return !served.IsZero() && served.Add(killedSlack).Before(kill.at.Add(limit.Sub(kill.at)/2))
}

// checkTimeout checks a request that was answered with 504. m.mu must be held.
func (m *model) checkTimeout(r *modelRequest, limit time.Time, kill *modelKill) {
	if early := limit.Sub(r.endedAt); early > deadlineSlack {
		m.violate("early timeout", r, fmt.Sprintf("%v before the deadline", early))
	}
	slack := answerSlack
	if m.slow {
		slack += maxSlowLatency + maxLinkStall
	}
	for _, run := range r.runs {
		if kill != nil && run.began.Before(kill.at) {
			// The answer may have ended with the process.
			continue
		}
		if !run.ended.IsZero() && limit.Sub(run.ended) > slack {
			m.violate("timeout though the upstream had answered", r, fmt.Sprintf("%v before the deadline", limit.Sub(run.ended)))
		}
	}
}
