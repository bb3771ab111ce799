package measure

import (
	"math/rand/v2"
	"time"

	"sapphiretray/code"
	"sapphiretray/policy"
)

// loadSim simulates callers, instances and upstreams on virtual time. Admission and retry budget are the ones that the
// router uses.
type loadSim struct {
	spec       LoadSpec
	clock      loadClock
	random     *rand.Rand
	servers    []*loadServer
	admissions []*policy.Admission
	budget     policy.Budget
	// inFlight counts the callers' connections in use; requests above loadConnections wait in pending.
	inFlight int
	pending  []*loadRequest
	attempts int
	result   LoadResult
}

type loadRequest struct {
	loadArrival
	deadline time.Duration
	tries    int
	ticket   *policy.Ticket
	job      *loadJob
	started  time.Duration
	admitted bool
	finished bool
}

// SimulateLoad runs the load experiment on virtual time. The result depends on the specification alone.
func SimulateLoad(spec LoadSpec) LoadResult {
	s := &loadSim{spec: spec, random: rand.New(rand.NewPCG(spec.Seed, 2)), result: newLoadResult()}
	s.build()
	s.clock.replay(drawArrivals(spec.Seed, spec.Load*LoadCapacity(), spec.Duration, loadMeans), s.arrive)
	s.clock.run()
	s.result.finish(spec.Duration-spec.Duration/4, s.attempts)
	return s.result
}

func (s *loadSim) build() {
	for _, mean := range loadMeans {
		server := &loadServer{clock: &s.clock, mean: mean, slots: loadSlots}
		if s.spec.Scenario == LoadShed {
			server.bound = loadShedBound
		}
		s.servers = append(s.servers, server)
		slots := 0
		if s.spec.Policies.Limit {
			slots = loadSlots
		}
		s.admissions = append(s.admissions, policy.NewAdmission(slots))
	}
	first := s.servers[0]
	switch s.spec.Scenario {
	case LoadFreeze:
		s.clock.at(loadFaultAt, first.freeze)
		s.clock.at(loadFaultAt+loadFreezeFor, first.thaw)
	case LoadCold:
		first.coldFrom, first.coldFor = loadFaultAt, loadColdFor
		if s.spec.Policies.SlowStart {
			s.clock.at(loadFaultAt, func() { s.admissions[0].ColdStart(s.clock.time(), loadColdFor) })
		}
	case LoadSteady, LoadShed:
	}
}

func (s *loadSim) arrive(arrival loadArrival) {
	request := &loadRequest{loadArrival: arrival, deadline: arrival.at + loadRoutes[arrival.route].timeout}
	// One nanosecond later, the deadline has passed for the policies too.
	s.clock.at(request.deadline+1, func() { s.timeOut(request) })
	if s.inFlight >= loadConnections {
		s.pending = append(s.pending, request)
		return
	}
	s.connect(request)
}

func (s *loadSim) connect(request *loadRequest) {
	s.inFlight++
	request.admitted = true
	s.attempts++
	s.budget.AttemptAt(s.clock.time())
	s.attempt(request)
}

func (s *loadSim) attempt(request *loadRequest) {
	if request.finished {
		return
	}
	request.tries++
	importance, deadline := 0, time.Time{}
	if s.spec.Policies.Importance {
		importance = loadRoutes[request.route].importance
	}
	if s.spec.Policies.Deadline {
		deadline = loadTime(request.deadline)
	}
	decided := func(err error) {
		// The policy is in the middle of a call here.
		s.clock.at(s.clock.now, func() { s.decide(request, err) })
	}
	ticket, err := s.admissions[request.owner].Enter(s.clock.time(), importance, deadline, decided)
	if err != nil {
		s.reject(request, err)
		return
	}
	request.ticket = ticket
	if ticket.Running() {
		s.submit(request)
	}
}

func (s *loadSim) decide(request *loadRequest, err error) {
	switch {
	case request.finished:
	case err != nil:
		s.reject(request, err)
	default:
		s.submit(request)
	}
}

func (s *loadSim) submit(request *loadRequest) {
	request.started = s.clock.now
	request.job = &loadJob{work: request.work, done: func(ok bool) {
		request.job = nil
		s.admissions[request.owner].Leave(s.clock.time(), request.ticket, s.clock.now-request.started, ok)
		if ok {
			s.finish(request, loadOK)
		} else {
			s.retry(request)
		}
	}}
	s.servers[request.owner].submit(request.job)
}

// reject ends a request that the admission rejected. It isn't retried: that would spend the budget on the least important
// requests, which are the ones that an admission sheds.
func (s *loadSim) reject(request *loadRequest, err error) {
	if number, _ := code.Of(err); number == code.TooLate {
		s.finish(request, loadLate)
		return
	}
	s.finish(request, loadShed)
}

// retry repeats a request that the upstream shed, 20 to 60 ms later.
func (s *loadSim) retry(request *loadRequest) {
	at := s.clock.now + 20*time.Millisecond + time.Duration(s.random.Int64N(int64(40*time.Millisecond)))
	if request.tries >= loadAttempts || at >= request.deadline {
		s.finish(request, loadShed)
		return
	}
	if s.spec.Policies.Budget && !s.budget.RetryAt(s.clock.time()) {
		s.finish(request, loadShed)
		return
	}
	s.result.Retries++
	s.clock.at(at, func() { s.attempt(request) })
}

func (s *loadSim) timeOut(request *loadRequest) {
	if request.finished {
		return
	}
	admission := s.admissions[request.owner]
	switch {
	case request.job != nil:
		s.servers[request.owner].cancel(request.job)
		admission.Leave(s.clock.time(), request.ticket, s.clock.now-request.started, false)
	case request.ticket != nil && s.spec.Policies.Deadline:
		admission.Expire(s.clock.time())
	case request.ticket != nil:
		admission.Cancel(s.clock.time(), request.ticket, 0)
	}
	s.finish(request, loadLate)
}

func (s *loadSim) finish(request *loadRequest, outcome loadOutcome) {
	if request.finished {
		return
	}
	request.finished = true
	if request.at >= s.spec.Duration/4 {
		s.result.record(request.route, request.owner != 0, outcome, s.clock.now-request.at)
	}
	if !request.admitted {
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
