package witness

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"time"

	"sapphiretray/member"
)

var (
	seedFlag = flag.Uint64("seed", 0, "first seed of the exploration; 0 stands for the fixed seeds")
	runsFlag = flag.Int("runs", 1000, "number of explored runs with all rules on")
)

const (
	simLease = 100 * time.Millisecond
	simSpan  = 14 * simLease
	simDrift = 0.1
)

// switches turns off one rule in an exploration.
type switches struct {
	holder      holderRules
	witness     witnessRules
	claim       claimRules
	early       bool // successors claim before the first lease is valid
	holderMono  bool // holders don't compare the clocks
	startedRule bool // a witness votes if it started before the expiry
	ackedRule   bool // a witness votes if it acknowledged in its run
	oneClaim    bool // rank 2 proves only the expiry of rank 1
}

// process is one simulated process with clocks that drift. It has a holder, a witness or both.
type process struct {
	slot       string
	number     uint64
	rate       float64
	last       time.Duration
	mono, wall time.Duration
	stopped    bool // the machine is suspended: the monotonic clock stands still
	frozen     bool // the process doesn't run; events wait
	down       bool
	waiting    []func()
	rank       int
	holder     *Holder
	witness    *Witness
	started    time.Duration
	claims     []*Claim
}

type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// chances are the probabilities of one run; they differ between runs, so that rare combinations come up.
type chances struct{ loss, copy, slow, cut, deaf, restart, freeze, suspend, resign, ask, round float64 }

type simulation struct {
	random    *rand.Rand
	off       switches
	timing    Timing
	now       time.Duration
	queue     events
	processes []*process
	owners    []*process
	witnesses []string
	cuts      map[[2]*process]time.Duration
	chances   chances
	valid     []time.Duration // last time that each rank's lease was valid; -1 if never
	retention int
	violation string
}

// explore runs one simulated history and describes the first moment at which two incarnations could serve.
func explore(seed uint64, off switches) string {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 0x5eed)), off: off, timing: NewTiming(simLease, simLease/4, simDrift),
		cuts: make(map[[2]*process]time.Duration),
	}
	pick := func(values ...float64) float64 { return values[s.random.IntN(len(values))] }
	s.chances = chances{
		loss: pick(0, 0.05, 0.3), copy: pick(0, 0.2), slow: pick(0, 0.1, 0.4), cut: pick(0, 0.3, 1), deaf: pick(0, 0, 0.2),
		restart: pick(0, 0.1, 0.4), freeze: pick(0, 0.1, 0.3), suspend: pick(0, 0, 0.2),
		resign: pick(0, 0, 0.05), ask: pick(0.1, 0.3, 0.8), round: pick(0.1, 0.5),
	}
	s.retention = 1 + s.random.IntN(2)*retention
	s.build(2+s.random.IntN(2), s.random.IntN(3) == 0)
	for s.now < simSpan && s.violation == "" && len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
		s.check()
	}
	return s.violation
}

func (s *simulation) build(owners int, ownSlot bool) {
	for i := range 3 {
		s.witnesses = append(s.witnesses, s.add(fmt.Sprintf("w-%d", i)).slot)
	}
	for rank := range owners {
		if ownSlot {
			s.own(s.processes[rank], rank)
		} else {
			s.own(s.add(fmt.Sprintf("o-%d", rank)), rank)
		}
	}
	for _, p := range s.processes {
		if p.slot[0] == 'w' {
			s.startWitness(p)
		}
		s.tick(p)
	}
	s.after(s.between(0, simLease), s.fault)
}

func (s *simulation) add(slot string) *process {
	extreme := simDrift / (2 + simDrift)
	rates := []float64{1 - extreme, 1, 1 + extreme}
	p := &process{slot: slot, number: 1, rate: rates[s.random.IntN(3)], rank: -1}
	s.processes = append(s.processes, p)
	return p
}

func (s *simulation) own(p *process, rank int) {
	p.rank = rank
	p.holder = NewHolder(member.NewIncarnation(p.slot, p.number), s.timing)
	p.holder.rules = s.off.holder
	p.holder.rules.read = s.reader(p, s.off.holderMono)
	if err := p.holder.SetWitnesses(s.witnesses); err != nil {
		panic(err)
	}
	for below, owner := range s.owners[:rank] {
		if s.off.oneClaim && below < rank-1 {
			continue
		}
		claim := NewClaim(owner.holder.self, s.witnesses, s.timing)
		claim.rules = s.off.claim
		claim.rules.read = s.reader(p, false)
		p.claims = append(p.claims, claim)
	}
	s.owners = append(s.owners, p)
	s.valid = append(s.valid, -1)
}

func (s *simulation) startWitness(p *process) {
	p.started = s.now
	self := member.NewIncarnation(p.slot, p.number)
	p.witness = NewWitness(self, s.timing, s.random.Uint64()>>16+1, s.clock(p))
	p.witness.rules = s.off.witness
	p.witness.rules.retention = s.retention
	if s.off.ackedRule {
		p.witness.rules.reacquire = func(_ member.Incarnation, r *record) bool { return r != nil && !r.heard.IsZero() }
	}
	if s.off.startedRule {
		p.witness.rules.reacquire = func(holder member.Incarnation, _ *record) bool {
			for rank, owner := range s.owners {
				if owner.slot == holder.Slot() {
					return p.started < s.valid[rank]
				}
			}
			return false
		}
	}
}

// clock advances the process's clocks and returns the monotonic one.
func (s *simulation) clock(p *process) time.Time {
	passed := time.Duration(float64(s.now-p.last) * p.rate)
	p.last = s.now
	p.wall += passed
	if !p.stopped {
		p.mono += passed
	}
	return time.Unix(1000, 0).Add(p.mono)
}

func (s *simulation) reader(p *process, monoOnly bool) func(time.Time) reading {
	return func(now time.Time) reading {
		if monoOnly {
			return reading{mono: now, wall: now}
		}
		return reading{mono: now, wall: time.Unix(1000, 0).Add(p.wall)}
	}
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

func (s *simulation) chance(p float64) bool { return s.random.Float64() < p }

func (s *simulation) after(delay time.Duration, run func()) {
	heap.Push(&s.queue, event{s.now + delay, run})
}

// on runs a step of a process as soon as the process runs.
func (s *simulation) on(p *process, run func()) {
	switch {
	case p.down:
	case p.frozen:
		p.waiting = append(p.waiting, run)
	default:
		run()
	}
}

// send delivers a message, or loses, copies or delays it. A message to a process that restarts reaches the new run.
func (s *simulation) send(from, to *process, deliver func()) {
	if from == to {
		deliver()
		return
	}
	if s.cuts[[2]*process{from, to}] > s.now || s.chance(s.chances.loss) {
		return
	}
	copies := 1
	if s.chance(s.chances.copy) {
		copies = 2
	}
	for range copies {
		delay := s.between(0, simLease/50)
		if s.chance(s.chances.slow) {
			delay = s.between(0, 4*simLease)
		}
		s.after(delay, func() { s.on(to, deliver) })
	}
}

func (s *simulation) tick(p *process) {
	s.after(s.between(simLease/20, simLease/3), func() {
		s.tick(p)
		s.on(p, func() { s.act(p) })
	})
}

func (s *simulation) act(p *process) {
	if p.witness != nil {
		p.witness.Expired(s.clock(p))
	}
	if p.holder == nil {
		return
	}
	for _, heartbeat := range p.holder.Heartbeats(s.clock(p)) {
		s.heartbeat(p, heartbeat)
	}
	if s.chance(s.chances.round) {
		s.round(p, p.holder.StartRound(s.clock(p)))
	}
	for below, claim := range p.claims {
		if s.valid[s.rankOf(claim)] < 0 && !s.off.early {
			continue
		}
		for _, slot := range claim.Missing(s.clock(p)) {
			if !claim.Proved() && s.chance(s.chances.ask) {
				s.ask(p, p.claims[below], s.find(slot))
			}
		}
	}
}

func (s *simulation) rankOf(claim *Claim) int {
	for rank, owner := range s.owners {
		if owner.slot == claim.Holder().Slot() {
			return rank
		}
	}
	panic("unknown owner")
}

func (s *simulation) find(slot string) *process {
	for _, p := range s.processes {
		if p.slot == slot {
			return p
		}
	}
	panic("unknown slot")
}

func (s *simulation) heartbeat(p *process, heartbeat Heartbeat) {
	to, holder := s.find(heartbeat.Witness), p.holder
	s.send(p, to, func() {
		if ack, ok := to.witness.Heartbeat(heartbeat, s.clock(to)); ok {
			s.send(to, p, func() { holder.Acknowledge(ack, s.clock(p)) })
		}
	})
}

func (s *simulation) round(p *process, requests []VoteRequest) {
	holder := p.holder
	for _, request := range requests {
		to := s.find(request.Witness)
		s.send(p, to, func() {
			vote := to.witness.Reacquire(request, s.clock(to))
			s.send(to, p, func() { holder.TakeVote(vote, s.clock(p)) })
		})
	}
}

func (s *simulation) ask(p *process, claim *Claim, to *process) {
	request := claim.Request(to.slot, s.clock(p))
	s.send(p, to, func() {
		if to.witness.ConfirmExpiry(claim.Holder(), s.clock(to)).Expired {
			s.send(to, p, func() { claim.Confirm(request, s.clock(p)) })
		}
	})
}

// fault causes random faults, several of which may last at once.
func (s *simulation) fault() {
	s.after(s.between(0, simLease), s.fault)
	p := s.processes[s.random.IntN(len(s.processes))]
	duration := s.between(0, 2*simLease)
	if s.chance(s.chances.cut) {
		other := s.processes[s.random.IntN(len(s.processes))]
		s.cuts[[2]*process{p, other}] = s.now + duration
		if s.chance(0.7) {
			s.cuts[[2]*process{other, p}] = s.now + duration
		}
	}
	// Everything that is sent to the process is lost, while its own messages arrive.
	if s.chance(s.chances.deaf) {
		for _, other := range s.processes {
			s.cuts[[2]*process{other, p}] = s.now + duration
		}
	}
	if p.frozen || p.down {
		return
	}
	switch {
	case s.chance(s.chances.restart):
		s.restart(p)
	case s.chance(s.chances.freeze):
		s.freeze(p, false, duration)
	case s.chance(s.chances.suspend):
		s.freeze(p, true, s.between(0, 5*simLease))
	case p.holder != nil && s.chance(s.chances.resign):
		p.holder.Resign()
		self := p.holder.self
		for _, slot := range s.witnesses {
			to := s.find(slot)
			s.send(p, to, func() { to.witness.Resign(self, s.clock(to)) })
		}
	}
}

// restart ends the process and starts a new run in the slot. The new run is a new incarnation, which owns nothing.
func (s *simulation) restart(p *process) {
	p.down = true
	if p.holder != nil {
		p.holder = nil
		p.claims = nil
	}
	s.after(s.between(0, simLease), func() {
		p.down = false
		p.number++
		if p.witness != nil {
			s.startWitness(p)
		}
	})
}

func (s *simulation) freeze(p *process, suspend bool, duration time.Duration) {
	s.clock(p)
	p.frozen, p.stopped = true, suspend
	s.after(duration, func() {
		s.clock(p)
		p.frozen, p.stopped = false, false
		waiting := p.waiting
		p.waiting = nil
		s.random.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
		for _, run := range waiting {
			run()
			s.check()
		}
	})
}

// check looks for two incarnations that could serve at this moment. It doesn't call the holders' methods, so that they
// notice an expiry only when their processes run. A suspended machine runs nothing and is looked at after it resumed.
func (s *simulation) check() {
	var serving []string
	for rank, p := range s.owners {
		if p.holder == nil || p.down || p.stopped {
			continue
		}
		at := p.holder.rules.read(s.clock(p))
		if p.holder.state != Valid || !p.holder.term.covers(at) {
			continue
		}
		s.valid[rank] = s.now
		proved := true
		for _, claim := range p.claims {
			proved = proved && claim.Proved()
		}
		if proved {
			serving = append(serving, p.slot)
		}
	}
	if len(serving) > 1 && s.violation == "" {
		s.violation = fmt.Sprintf("%v serve at %v", serving, s.now)
	}
}
