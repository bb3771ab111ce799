package measure

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sapphiretray/policy"
)

// ChoiceStrategy is a load balancing strategy: how a caller chooses among servers that can all run a request.
type ChoiceStrategy string

// The strategies. ChoiceRandom ignores load reports, ChoiceLeast chooses the lowest reported load, and ChoiceExpected uses
// policy.Balancer, without the service times and the faults of the servers.
const (
	ChoiceRandom   ChoiceStrategy = "random"
	ChoiceLeast    ChoiceStrategy = "least reported"
	ChoiceExpected ChoiceStrategy = "expected time"
)

// ChoiceReports is the accuracy of the load reports.
type ChoiceReports string

// The kinds of reports. All are sent once a second.
const (
	ReportsFresh ChoiceReports = "fresh"
	// ReportsStale are 30 s old, but the receiver takes them for fresh ones.
	ReportsStale ChoiceReports = "stale"
	// ReportsHalf state half of the load.
	ReportsHalf ChoiceReports = "half"
)

// ChoiceSpec describes one run of the load balancing experiment.
type ChoiceSpec struct {
	Strategy ChoiceStrategy
	Reports  ChoiceReports
	// Failing makes the first of the fastest servers fail each request after 1 ms, from the middle of the counted time on.
	Failing bool
	// Ejection enables policy.Ejector, which takes failing servers out of use for a time.
	Ejection bool
	// Load is the arrival rate relative to the capacity of all servers.
	Load float64
	Seed uint64
}

// ChoiceRow is the result of one run. Late requests timed out; P50 and P99 are latencies of successful requests.
type ChoiceRow struct {
	Strategy ChoiceStrategy `json:"strategy"`
	Reports  ChoiceReports  `json:"reports"`
	Failing  bool           `json:"failing"`
	Ejection bool           `json:"ejection"`
	Load     float64        `json:"load"`
	Requests int            `json:"requests"`
	Goodput  float64        `json:"goodput_per_second"`
	Failed   int            `json:"failed"`
	Late     int            `json:"late"`
	P50      time.Duration  `json:"p50_ns"`
	P99      time.Duration  `json:"p99_ns"`
}

// All times are virtual. Requests that arrive from choiceCountedFrom on are counted, and a failing server fails from choiceFailFrom on.
const (
	choiceDuration    = 60 * time.Second
	choiceCountedFrom = 40 * time.Second
	choiceFailFrom    = 50 * time.Second
	// choiceReportAge is the age of stale reports.
	choiceReportAge = 30 * time.Second
	// choiceReportInterval is the time between two load reports of a server.
	choiceReportInterval = time.Second
	// choiceTimeout bounds a request.
	choiceTimeout = time.Second
	choiceCallers = 8
)

// choiceSim simulates callers that choose among servers. The history and the reported loads are requests in flight by server.
type choiceSim struct {
	spec      ChoiceSpec
	clock     virtualClock
	random    *rand.Rand
	servers   []*loadServer
	history   [][]int
	reported  []float64
	balancers []*policy.Balancer[int]
	ejectors  []*policy.Ejector[int]
	row       ChoiceRow
	latencies *hdrhistogram.Histogram
}

// SimulateChoice runs the experiment in virtual time. Equal specifications give equal results.
func SimulateChoice(spec ChoiceSpec) ChoiceRow {
	s := &choiceSim{
		spec: spec, random: rand.New(rand.NewPCG(spec.Seed, 3)), reported: make([]float64, len(loadServiceTimes)),
		latencies: newLatencies(),
		row: ChoiceRow{
			Strategy: spec.Strategy, Reports: spec.Reports, Failing: spec.Failing, Ejection: spec.Ejection, Load: spec.Load,
		},
	}
	for _, mean := range loadServiceTimes {
		s.servers = append(s.servers, &loadServer{clock: &s.clock, mean: mean, slots: loadSlots})
	}
	for i := range choiceCallers {
		s.balancers = append(s.balancers, policy.NewBalancer[int](spec.Seed+uint64(i)))
		ejector := &policy.Ejector[int]{}
		for target := range s.servers {
			ejector.Add(target)
		}
		s.ejectors = append(s.ejectors, ejector)
	}
	for at := time.Duration(0); at < choiceDuration; at += choiceReportInterval {
		s.clock.at(at, s.report)
	}
	s.clock.replay(drawArrivals(spec.Seed, spec.Load*LoadCapacity(), choiceDuration, loadServiceTimes), s.arrive)
	s.clock.run()
	s.row.Goodput = float64(s.latencies.TotalCount()) / (choiceDuration - choiceCountedFrom).Seconds()
	s.row.P50, s.row.P99 = quantile(s.latencies, 50), quantile(s.latencies, 99)
	return s.row
}

// report sends the load reports of all servers to all callers.
func (s *choiceSim) report() {
	current := make([]int, len(s.servers))
	for i, server := range s.servers {
		current[i] = server.inFlight()
	}
	s.history = append(s.history, current)
	for i := range s.servers {
		switch s.spec.Reports {
		case ReportsFresh:
			s.reported[i] = float64(current[i])
		case ReportsHalf:
			s.reported[i] = float64(current[i]) / 2
		case ReportsStale:
			s.reported[i] = 0
			if old := len(s.history) - 1 - int(choiceReportAge/choiceReportInterval); old >= 0 {
				s.reported[i] = float64(s.history[old][i])
			}
		}
		for _, balancer := range s.balancers {
			balancer.Report(s.clock.timestamp(), i, "", policy.TargetLoad{Running: int(s.reported[i]), Slots: loadSlots, Wait: -1})
		}
	}
}

func (s *choiceSim) arrive(arrival loadArrival) {
	caller := s.random.IntN(choiceCallers)
	target, done := s.choose(caller)
	finished := false
	finish := func(ok, failed bool) {
		if finished {
			return
		}
		finished = true
		done()
		latency := s.clock.now - arrival.at
		if s.spec.Ejection {
			s.ejectors[caller].ReportAt(s.clock.timestamp(), target, latency, ok)
		}
		s.record(arrival, latency, ok, failed)
	}
	if s.spec.Failing && target == 0 && arrival.at >= choiceFailFrom {
		s.clock.at(arrival.at+shedResponseTime, func() { finish(false, true) })
		return
	}
	job := &loadJob{work: arrival.work, done: func(bool) { finish(true, false) }}
	s.clock.at(arrival.at+choiceTimeout, func() {
		if !finished {
			s.servers[target].cancel(job)
			finish(false, false)
		}
	})
	s.servers[target].submit(job)
}

func (s *choiceSim) record(arrival loadArrival, latency time.Duration, ok, failed bool) {
	if arrival.at < choiceCountedFrom {
		return
	}
	s.row.Requests++
	switch {
	case ok:
		_ = s.latencies.RecordValue(max(latency.Microseconds(), 1))
	case failed:
		s.row.Failed++
	default:
		s.row.Late++
	}
}

// choose returns the server for a request of a caller, and a function to call when the request has ended.
func (s *choiceSim) choose(caller int) (target int, done func()) {
	targets := make([]int, 0, len(s.servers))
	for target := range s.servers {
		if !s.spec.Ejection || !s.ejectors[caller].EjectedAt(s.clock.timestamp(), target) {
			targets = append(targets, target)
		}
	}
	switch s.spec.Strategy {
	case ChoiceExpected:
		candidates := make([]policy.Candidate[int], 0, len(targets))
		for _, target := range targets {
			candidates = append(candidates, policy.Candidate[int]{Target: target})
		}
		choice, _ := s.balancers[caller].Choose(s.clock.timestamp(), "", candidates)
		end := s.balancers[caller].Begin(choice.Target, "")
		return choice.Target, func() { end(s.clock.timestamp(), policy.TargetLoad{}, policy.TargetServed) }
	case ChoiceLeast:
		return s.leastLoaded(targets), func() {}
	case ChoiceRandom:
	}
	return targets[s.random.IntN(len(targets))], func() {}
}

// leastLoaded returns the target with the lowest reported load. Starting from a random target varies the choice among equal ones.
func (s *choiceSim) leastLoaded(targets []int) int {
	best := targets[s.random.IntN(len(targets))]
	for _, target := range targets {
		if s.reported[target] < s.reported[best] {
			best = target
		}
	}
	return best
}

// SimulateChoices runs all strategies with all kinds of reports, and a failing server without and with ejection, at two loads.
func SimulateChoices(seed uint64) []ChoiceRow {
	var rows []ChoiceRow
	for _, load := range []float64{0.5, 0.9} {
		for _, strategy := range []ChoiceStrategy{ChoiceRandom, ChoiceLeast, ChoiceExpected} {
			for _, reports := range []ChoiceReports{ReportsFresh, ReportsStale, ReportsHalf} {
				rows = append(rows, SimulateChoice(ChoiceSpec{Strategy: strategy, Reports: reports, Load: load, Seed: seed}))
			}
		}
		for _, ejection := range []bool{false, true} {
			rows = append(rows, SimulateChoice(ChoiceSpec{
				Strategy: ChoiceExpected, Reports: ReportsFresh, Failing: true, Ejection: ejection, Load: load, Seed: seed,
			}))
		}
	}
	return rows
}
