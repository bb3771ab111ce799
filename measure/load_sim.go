package measure

import (
	"math/rand/v2"
	"time"

	"sapphiretray/code"
	"sapphiretray/policy"
)

// loadSim simulates callers, instances and upstreams in virtual time, with the admission and retry budget of package policy that
// instances use.
type loadSim struct {
	spec       LoadSpec
	clock      virtualClock
	random     *rand.Rand
	servers    []*loadServer
	admissions []*policy.AdmissionController
	budget     policy.RetryBudget
	// inFlight is the number of callers' connections in use; requests above loadConnections wait in pending.
	inFlight      int
	pending       []*loadRequest
	firstAttempts int
	result        LoadResult
}

// loadRequest is the state of one request with all its attempts.
type loadRequest struct {
	loadArrival
	deadline time.Duration
	// attempts is the number of attempts so far.
	attempts int
	// ticket, job and started are those of the latest attempt; job is nil unless the request is at the upstream.
	ticket  *policy.Ticket
	job     *loadJob
	started time.Duration
	// connected means that the request has used one of the callers' connections.
	connected bool
	finished  bool
}

// SimulateLoad runs the load experiment in virtual time. Equal specifications give equal results.
func SimulateLoad(spec LoadSpec) LoadResult {
	s := &loadSim{spec: spec, random: rand.New(rand.NewPCG(spec.Seed, 2)), result: newLoadResult()}
	s.setUp()
	s.clock.replay(drawArrivals(spec.Seed, spec.Load*LoadCapacity(), spec.Duration, loadServiceTimes), s.arrive)
	s.clock.run()
	s.result.finish(spec.Duration-spec.Duration/4, s.firstAttempts)
	return s.result
}

// setUp creates the upstreams with their admissions and schedules the faults of the scenario.
func (s *loadSim) setUp() {
	for _, mean := range loadServiceTimes {
		server := &loadServer{clock: &s.clock, mean: mean, slots: loadSlots}
		if s.spec.Scenario == LoadShed {
			server.shedThreshold = loadShedThreshold
		}
		s.servers = append(s.servers, server)
		slots := 0
		if s.spec.Policies.Limit {
			slots = loadSlots
		}
		s.admissions = append(s.admissions, policy.NewAdmissionController(slots))
	}
	first := s.servers[0]
	switch s.spec.Scenario {
	case LoadFreeze:
		s.clock.at(loadFaultAt, first.freeze)
		s.clock.at(loadFaultAt+loadFreezeDuration, first.thaw)
	case LoadCold:
		first.coldFrom, first.coldDuration = loadFaultAt, loadColdDuration
		if s.spec.Policies.SlowStart {
			s.clock.at(loadFaultAt, func() { s.admissions[0].ColdStart(s.clock.timestamp(), loadColdDuration) })
		}
	case LoadSteady, LoadShed:
	}
}

func (s *loadSim) arrive(arrival loadArrival) {
	request := &loadRequest{loadArrival: arrival, deadline: arrival.at + loadRoutes[arrival.route].timeout}
	// The policies count a deadline as passed only after it, which is one nanosecond later.
	s.clock.at(request.deadline+1, func() { s.timeOut(request) })
	if s.inFlight >= loadConnections {
		s.pending = append(s.pending, request)
		return
	}
	s.connect(request)
}

// connect uses a connection for a request and makes its first attempt.
func (s *loadSim) connect(request *loadRequest) {
	s.inFlight++
	request.connected = true
	s.firstAttempts++
	s.budget.AttemptAt(s.clock.timestamp())
	s.attempt(request)
}

// attempt asks the admission of the request's upstream to run it.
func (s *loadSim) attempt(request *loadRequest) {
	if request.finished {
		return
	}
	request.attempts++
	importance, deadline := 0, time.Time{}
	if s.spec.Policies.Importance {
		importance = loadRoutes[request.route].importance
	}
	if s.spec.Policies.Deadline {
		deadline = virtualTimestamp(request.deadline)
	}
	decided := func(err error) {
		// Runs later, because the admission calls this function while it is changing its own state.
		s.clock.at(s.clock.now, func() { s.decide(request, err) })
	}
	ticket, err := s.admissions[request.owner].Enter(s.clock.timestamp(), importance, deadline, decided)
	if err != nil {
		s.refuse(request, err)
		return
	}
	request.ticket = ticket
	if ticket.Running() {
		s.submit(request)
	}
}

// decide handles the admission's decision on a request that had to wait.
func (s *loadSim) decide(request *loadRequest, err error) {
	switch {
	case request.finished:
	case err != nil:
		s.refuse(request, err)
	default:
		s.submit(request)
	}
}

// submit sends an admitted request to its upstream.
func (s *loadSim) submit(request *loadRequest) {
	request.started = s.clock.now
	request.job = &loadJob{work: request.work, done: func(ok bool) {
		request.job = nil
		s.admissions[request.owner].Leave(s.clock.timestamp(), request.ticket, s.clock.now-request.started, ok)
		if ok {
			s.finish(request, outcomeOK)
		} else {
			s.retry(request)
		}
	}}
	s.servers[request.owner].submit(request.job)
}

// refuse ends a request that the admission refused. It isn't retried, because admission sheds the least important requests, which
// would then use up the retry budget.
func (s *loadSim) refuse(request *loadRequest, err error) {
	if number, _ := code.Of(err); number == code.TooLate {
		s.finish(request, outcomeLate)
		return
	}
	s.finish(request, outcomeShed)
}

// retry schedules another attempt, 20 to 60 ms later, for a request that the upstream shed. It fails the request if no attempts, time
// or retry budget are left.
func (s *loadSim) retry(request *loadRequest) {
	at := s.clock.now + 20*time.Millisecond + time.Duration(s.random.Int64N(int64(40*time.Millisecond)))
	if request.attempts >= loadAttempts || at >= request.deadline {
		s.finish(request, outcomeShed)
		return
	}
	if s.spec.Policies.Budget && !s.budget.RetryAt(s.clock.timestamp()) {
		s.finish(request, outcomeShed)
		return
	}
	s.result.Retries++
	s.clock.at(at, func() { s.attempt(request) })
}

// timeOut ends a request whose deadline has passed.
func (s *loadSim) timeOut(request *loadRequest) {
	if request.finished {
		return
	}
	admission := s.admissions[request.owner]
	switch {
	case request.job != nil:
		s.servers[request.owner].cancel(request.job)
		admission.Leave(s.clock.timestamp(), request.ticket, s.clock.now-request.started, false)
	case request.ticket != nil && s.spec.Policies.Deadline:
		admission.Expire(s.clock.timestamp())
	case request.ticket != nil:
		admission.Cancel(s.clock.timestamp(), request.ticket, 0)
	}
	s.finish(request, outcomeLate)
}

// finish records the outcome of a request unless it arrived in the first quarter of the run, and hands its connection on to pending
// requests.
func (s *loadSim) finish(request *loadRequest, outcome requestOutcome) {
	if request.finished {
		return
	}
	request.finished = true
	if request.at >= s.spec.Duration/4 {
		s.result.record(request.route, request.owner != 0, outcome, s.clock.now-request.at)
	}
	if !request.connected {
		return
	}
	s.inFlight--
	for len(s.pending) > 0 && s.inFlight < loadConnections {
		next := s.pending[0]
		s.pending = s.pending[1:]
		if !next.finished {
			s.connect(next)
		}
	}
}
