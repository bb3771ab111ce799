package measure

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sapphiretray/policy"
)

// ChoiceStrategy is a way to choose among instances that can all run a request.
type ChoiceStrategy string

// The strategies. Least chooses the lowest reported load; Random ignores reports; TwoChoices is policy.Chooser.
const (
	ChoiceRandom     ChoiceStrategy = "random"
	ChoiceLeast      ChoiceStrategy = "least reported"
	ChoiceTwoChoices ChoiceStrategy = "two choices"
)

// ChoiceReports is the quality of the load reports.
type ChoiceReports string

// The reports. All are sent once a second.
const (
	ReportsFresh ChoiceReports = "fresh"
	// ReportsStale are 30 s old, but don't say so.
	ReportsStale ChoiceReports = "stale"
	// ReportsHalf give half of the load.
	ReportsHalf ChoiceReports = "half"
)

// ChoiceSpec describes one run of the experiment on the choice among instances.
type ChoiceSpec struct {
	Strategy ChoiceStrategy
	Reports  ChoiceReports
	// Failing makes the fastest upstream fail each request at once from the middle of the counted time on.
	Failing bool
	// Ejection puts policy.Ejector in use.
	Ejection bool
	Load     float64
	Seed     uint64
}

// ChoiceRow is the result of one run.
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

const (
	choiceDuration    = 60 * time.Second
	choiceCountedFrom = 40 * time.Second
	choiceFailFrom    = 50 * time.Second
	choiceReportAge   = 30 * time.Second
	choiceInterval    = time.Second
	choiceTimeout     = time.Second
	choiceCallers     = 8
)

type choiceSim struct {
	spec      ChoiceSpec
	clock     loadClock
	random    *rand.Rand
	servers   []*loadServer
	history   [][]int
	reported  []float64
	choosers  []*policy.Chooser[int]
	ejectors  []*policy.Ejector[int]
	row       ChoiceRow
	latencies *hdrhistogram.Histogram
}

// SimulateChoice runs the experiment on virtual time. The result depends on the specification alone.
func SimulateChoice(spec ChoiceSpec) ChoiceRow {
	s := &choiceSim{
		spec: spec, random: rand.New(rand.NewPCG(spec.Seed, 3)), reported: make([]float64, len(loadMeans)),
		latencies: newLatencies(),
		row: ChoiceRow{
			Strategy: spec.Strategy, Reports: spec.Reports, Failing: spec.Failing, Ejection: spec.Ejection, Load: spec.Load,
		},
	}
	for _, mean := range loadMeans {
		s.servers = append(s.servers, &loadServer{clock: &s.clock, mean: mean, slots: loadSlots})
	}
	for i := range choiceCallers {
		s.choosers = append(s.choosers, policy.NewChooser[int](spec.Seed+uint64(i)))
		ejector := &policy.Ejector[int]{}
		for target := range s.servers {
			ejector.Add(target)
		}
		s.ejectors = append(s.ejectors, ejector)
	}
	for at := time.Duration(0); at < choiceDuration; at += choiceInterval {
		s.clock.at(at, s.report)
	}
	s.clock.replay(drawArrivals(spec.Seed, spec.Load*LoadCapacity(), choiceDuration, loadMeans), s.arrive)
	s.clock.run()
	s.row.Goodput = float64(s.latencies.TotalCount()) / (choiceDuration - choiceCountedFrom).Seconds()
	s.row.P50, s.row.P99 = quantile(s.latencies, 50), quantile(s.latencies, 99)
	return s.row
}

func (s *choiceSim) report() {
	present := make([]int, len(s.servers))
	for i, server := range s.servers {
		present[i] = server.inFlight()
	}
	s.history = append(s.history, present)
	for i := range s.servers {
		switch s.spec.Reports {
		case ReportsFresh:
			s.reported[i] = float64(present[i])
		case ReportsHalf:
			s.reported[i] = float64(present[i]) / 2
		case ReportsStale:
			s.reported[i] = 0
			if old := len(s.history) - 1 - int(choiceReportAge/choiceInterval); old >= 0 {
				s.reported[i] = float64(s.history[old][i])
			}
		}
		for _, chooser := range s.choosers {
			chooser.Report(s.clock.time(), i, s.reported[i], 1)
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
			s.ejectors[caller].ReportAt(s.clock.time(), target, latency, ok)
		}
		s.record(arrival, latency, ok, failed)
	}
	if s.spec.Failing && target == 0 && arrival.at >= choiceFailFrom {
		s.clock.at(arrival.at+shedResponse, func() { finish(false, true) })
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

func (s *choiceSim) choose(caller int) (target int, done func()) {
	targets := make([]int, 0, len(s.servers))
	for target := range s.servers {
		if !s.spec.Ejection || !s.ejectors[caller].EjectedAt(s.clock.time(), target) {
			targets = append(targets, target)
		}
	}
	switch s.spec.Strategy {
	case ChoiceTwoChoices:
		target, done, _ = s.choosers[caller].Choose(s.clock.time(), targets)
		return target, done
	case ChoiceLeast:
		return s.least(targets), func() {}
	case ChoiceRandom:
	}
	return targets[s.random.IntN(len(targets))], func() {}
}

func (s *choiceSim) least(targets []int) int {
	best := targets[s.random.IntN(len(targets))]
	for _, target := range targets {
		if s.reported[target] < s.reported[best] {
			best = target
		}
	}
	return best
}

// SimulateChoices runs all strategies against all kinds of reports, and ejection off and on.
func SimulateChoices(seed uint64) []ChoiceRow {
	var rows []ChoiceRow
	for _, load := range []float64{0.5, 0.9} {
		for _, strategy := range []ChoiceStrategy{ChoiceRandom, ChoiceLeast, ChoiceTwoChoices} {
			for _, reports := range []ChoiceReports{ReportsFresh, ReportsStale, ReportsHalf} {
				rows = append(rows, SimulateChoice(ChoiceSpec{Strategy: strategy, Reports: reports, Load: load, Seed: seed}))
			}
		}
		for _, ejection := range []bool{false, true} {
			rows = append(rows, SimulateChoice(ChoiceSpec{
				Strategy: ChoiceTwoChoices, Reports: ReportsFresh, Failing: true, Ejection: ejection, Load: load, Seed: seed,
			}))
		}
	}
	return rows
}
