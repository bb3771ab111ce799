package witness

import (
	"container/heap"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"sapphiretray/member"
)

var (
	seedFlag = flag.Uint64("seed", 0, "seed of the first simulated history; 0 stands for the fixed seeds")
	runsFlag = flag.Int("runs", 1000, "number of simulated histories with all rules on")
)

const (
	simLease    = 100 * time.Millisecond
	simDuration = 14 * simLease
	simDrift    = 0.1
)

// disabledRules switches off one rule of the protocol in a simulation.
type disabledRules struct {
	holder                  holderOverrides
	witness                 witnessOverrides
	proof                   proofOverrides
	proofBeforeFirstLease   bool // successors start proofs before the holder's first lease is valid
	holderMonotonicOnly     bool // holders ignore the wall clock
	voteIfStarted           bool // a witness grants votes if it started before the expiry
	voteIfHeartbeatReceived bool // a witness grants votes if it received a heartbeat in its run
	previousRankOnly        bool // rank 2 proves the expiry of rank 1 but not of rank 0
	emptyListing            bool // restarted witnesses learn of no registered incarnations
	revocation              revocationOverrides
}

// joins describes incarnations that join during a simulation.
type joins struct {
	random *rand.Rand
	// registered holds the number of the newest registered incarnation by slot. Restarted witnesses read it.
	registered map[string]uint64
}

// process is a simulated process with drifting clocks. It has a holder, a witness or both.
type process struct {
	slot       string
	number     uint64
	rate       float64       // of its clocks, relative to the simulated time
	last       time.Duration // simulated time at which the clocks were last advanced
	mono, wall time.Duration
	suspended  bool // the machine is suspended: the monotonic clock stops
	paused     bool // the process doesn't run; its events are collected in waiting
	down       bool // the process has ended and its successor hasn't started; events are lost
	waiting    []func()
	rank       int // of its holder; -1 if it has none
	holder     *Holder
	witness    *Witness
	started    time.Duration // simulated start time of the witness
	proofs     []*ExpiryProof
}

// event is a function that runs at a simulated time.
type event struct {
	at  time.Duration
	run func()
}

// events is a heap ordered by time.
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

// probabilities holds the probabilities of the faults and actions in one history. They differ between histories, so that rare
// combinations occur.
type probabilities struct{ loss, copy, slow, cut, inboundCut, restart, pause, suspend, resign, requestConfirmation, requestVotes float64 }

// simulation is one random history of holders, witnesses and the network between them. owners holds the processes with a holder by
// rank; a cut from one process to another lasts until the time in cuts.
type simulation struct {
	random          *rand.Rand
	disabled        disabledRules
	timing          Timing
	now             time.Duration
	queue           events
	processes       []*process
	owners          []*process
	witnesses       []string
	cuts            map[[2]*process]time.Duration
	probabilities   probabilities
	lastValid       []time.Duration // last time at which the lease of each rank was valid; -1 if never
	retentionLeases int
	// joins is nil if no incarnations join during the history, and revocations if none are revoked.
	joins       *joins
	revocations *simRevocations
	violation   string
}

// explore simulates one history and describes the first moment at which two incarnations could serve, or returns "" if there is none.
func explore(seed uint64, disabled disabledRules) string { return newSimulation(seed, disabled).run() }

// exploreJoins is like explore, but incarnations join during the history, and restarted witnesses learn which ones had joined before.
func exploreJoins(seed uint64, disabled disabledRules) string {
	s := newSimulation(seed, disabled)
	s.joins = &joins{random: rand.New(rand.NewPCG(seed, 0x101)), registered: make(map[string]uint64)}
	return s.run()
}

func newSimulation(seed uint64, disabled disabledRules) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 0x5eed)), disabled: disabled, timing: NewTiming(simLease, simLease/4, simDrift),
		cuts: make(map[[2]*process]time.Duration),
	}
	pick := func(values ...float64) float64 { return values[s.random.IntN(len(values))] }
	s.probabilities = probabilities{
		loss: pick(0, 0.05, 0.3), copy: pick(0, 0.2), slow: pick(0, 0.1, 0.4), cut: pick(0, 0.3, 1), inboundCut: pick(0, 0, 0.2),
		restart: pick(0, 0.1, 0.4), pause: pick(0, 0.1, 0.3), suspend: pick(0, 0, 0.2),
		resign: pick(0, 0, 0.05), requestConfirmation: pick(0.1, 0.3, 0.8), requestVotes: pick(0.1, 0.5),
	}
	s.retentionLeases = 1 + s.random.IntN(2)*retentionLeases
	return s
}

// run runs the history and returns its violation.
func (s *simulation) run() string {
	s.build(2+s.random.IntN(2), s.random.IntN(3) == 0)
	for s.now < s.duration() && s.violation == "" && len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
		s.check()
	}
	return s.violation
}

// build adds 3 witnesses and the given number of owners, which are witnesses, too, if ownSlot is set.
func (s *simulation) build(owners int, ownSlot bool) {
	for i := range 3 {
		s.witnesses = append(s.witnesses, s.add(fmt.Sprintf("w-%d", i)).slot)
	}
	for rank := range owners {
		if ownSlot {
			s.addOwner(s.processes[rank], rank)
		} else {
			s.addOwner(s.add(fmt.Sprintf("o-%d", rank)), rank)
		}
	}
	for _, p := range s.processes {
		if p.slot[0] == 'w' {
			s.startWitness(p)
		}
		s.scheduleSteps(p)
	}
	s.after(s.between(0, simLease), s.fault)
	if s.joins != nil {
		s.after(0, s.join)
	}
}

// maxOwners bounds the incarnations of a history that hold a lease.
const maxOwners = 6

// join adds an owner of the highest rank, now and then.
func (s *simulation) join() {
	s.after(time.Duration(s.joins.random.Int64N(int64(4*simLease))), s.join)
	if rank := len(s.owners); rank < maxOwners && s.now > 0 {
		p := s.add(fmt.Sprintf("o-%d", rank))
		p.last = s.now
		s.addOwner(p, rank)
		s.scheduleSteps(p)
	}
}

// learnRegistered lets a restarted witness read the registered incarnations at some time after its start.
func (s *simulation) learnRegistered(p *process) {
	if s.disabled.emptyListing {
		p.witness.SetNewestRegistered(map[string]uint64{}, 0)
		return
	}
	started := p.witness
	s.after(time.Duration(s.joins.random.Int64N(int64(simLease/2))), func() {
		newest := maps.Clone(s.joins.registered)
		s.after(time.Duration(s.joins.random.Int64N(int64(simLease/2))), func() {
			if p.witness == started {
				s.runOn(p, func() { started.SetNewestRegistered(newest, 0) })
			}
		})
	})
}

func (s *simulation) add(slot string) *process {
	extreme := simDrift / (2 + simDrift)
	rates := []float64{1 - extreme, 1, 1 + extreme}
	p := &process{slot: slot, number: 1, rate: rates[s.random.IntN(3)], rank: -1}
	s.processes = append(s.processes, p)
	return p
}

// addOwner gives a process a holder and the proofs that it needs before it may serve: one for each lower rank.
func (s *simulation) addOwner(p *process, rank int) {
	p.rank = rank
	p.holder = NewHolder(member.NewIncarnation(p.slot, p.number), s.timing)
	p.holder.overrides = s.disabled.holder
	p.holder.overrides.readClocks = s.reader(p, s.disabled.holderMonotonicOnly)
	if err := p.holder.SetWitnesses(s.witnesses); err != nil {
		panic(err)
	}
	for below, owner := range s.owners[:rank] {
		if owner.holder == nil || s.disabled.previousRankOnly && below < rank-1 {
			// Without a holder, the owner's process has ended.
			continue
		}
		proof := NewExpiryProof(owner.holder.self, s.witnesses, s.timing)
		proof.overrides = s.disabled.proof
		proof.overrides.readClocks = s.reader(p, false)
		p.proofs = append(p.proofs, proof)
	}
	if s.joins != nil {
		s.joins.registered[p.slot] = p.number
	}
	if s.revocations != nil {
		s.addRevocations(p, rank)
	}
	s.owners = append(s.owners, p)
	s.lastValid = append(s.lastValid, -1)
}

func (s *simulation) startWitness(p *process) {
	p.started = s.now
	self := member.NewIncarnation(p.slot, p.number)
	p.witness = NewWitness(self, s.timing, s.random.Uint64()>>16+1, s.clock(p))
	p.witness.overrides = s.disabled.witness
	p.witness.overrides.retentionLeases = s.retentionLeases
	if s.disabled.voteIfHeartbeatReceived {
		p.witness.overrides.mayVote = func(_ member.Incarnation, r *record) bool { return r != nil && !r.lastHeartbeat.IsZero() }
	}
	if s.disabled.voteIfStarted {
		p.witness.overrides.mayVote = func(holder member.Incarnation, _ *record) bool {
			for rank, owner := range s.owners {
				if owner.slot == holder.Slot() {
					return p.started < s.lastValid[rank]
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
	if !p.suspended {
		p.mono += passed
	}
	return time.Unix(1000, 0).Add(p.mono)
}

// reader returns the readClocks function of a process.
func (s *simulation) reader(p *process, monoOnly bool) func(time.Time) clockReading {
	return func(now time.Time) clockReading {
		if monoOnly {
			return clockReading{mono: now, wall: now}
		}
		return clockReading{mono: now, wall: time.Unix(1000, 0).Add(p.wall)}
	}
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

func (s *simulation) chance(p float64) bool { return s.random.Float64() < p }

func (s *simulation) after(delay time.Duration, run func()) {
	heap.Push(&s.queue, event{s.now + delay, run})
}

// runOn calls run in a process: at once, after the end of its pause, or never if the process is down.
func (s *simulation) runOn(p *process, run func()) {
	switch {
	case p.down:
	case p.paused:
		p.waiting = append(p.waiting, run)
	default:
		run()
	}
}

// send delivers a message or loses, duplicates or delays it. A message to a process that restarts meanwhile reaches the new process.
func (s *simulation) send(from, to *process, deliver func()) {
	if from == to {
		deliver()
		return
	}
	if s.cuts[[2]*process{from, to}] > s.now || s.chance(s.probabilities.loss) {
		return
	}
	copies := 1
	if s.chance(s.probabilities.copy) {
		copies = 2
	}
	for range copies {
		delay := s.between(0, simLease/50)
		if s.chance(s.probabilities.slow) {
			delay = s.between(0, 4*simLease)
		}
		s.after(delay, func() { s.runOn(to, deliver) })
	}
}

// scheduleSteps lets a process act at random intervals.
func (s *simulation) scheduleSteps(p *process) {
	s.after(s.between(simLease/20, simLease/3), func() {
		s.scheduleSteps(p)
		s.runOn(p, func() { s.step(p) })
	})
}

// step lets a process send its heartbeats, vote requests and requests for confirmation.
func (s *simulation) step(p *process) {
	if p.witness != nil {
		p.witness.TakeExpired(s.clock(p))
	}
	if p.holder == nil {
		return
	}
	for _, heartbeat := range p.holder.Heartbeats(s.clock(p)) {
		s.heartbeat(p, heartbeat)
	}
	if s.chance(s.probabilities.requestVotes) {
		s.requestVotes(p, p.holder.StartRound(s.clock(p)))
	}
	if s.revocations != nil {
		s.stepRevocations(p)
	}
	for below, proof := range p.proofs {
		if s.lastValid[s.rankOf(proof)] < 0 && !s.disabled.proofBeforeFirstLease {
			continue
		}
		for _, slot := range proof.Missing(s.clock(p)) {
			if !proof.Proved() && s.chance(s.probabilities.requestConfirmation) {
				s.requestConfirmation(p, p.proofs[below], s.processBySlot(slot))
			}
		}
	}
}

func (s *simulation) rankOf(proof *ExpiryProof) int {
	for rank, owner := range s.owners {
		if owner.slot == proof.Holder().Slot() {
			return rank
		}
	}
	panic("unknown owner")
}

func (s *simulation) processBySlot(slot string) *process {
	for _, p := range s.processes {
		if p.slot == slot {
			return p
		}
	}
	panic("unknown slot")
}

func (s *simulation) heartbeat(p *process, heartbeat Heartbeat) {
	to, holder := s.processBySlot(heartbeat.Witness), p.holder
	s.send(p, to, func() {
		if ack, ok := to.witness.HandleHeartbeat(heartbeat, s.clock(to)); ok {
			s.send(to, p, func() { holder.HandleAck(ack, s.clock(p)) })
		}
	})
}

func (s *simulation) requestVotes(p *process, requests []VoteRequest) {
	holder := p.holder
	for _, request := range requests {
		to := s.processBySlot(request.Witness)
		s.send(p, to, func() {
			vote := to.witness.HandleVoteRequest(request, s.clock(to))
			s.send(to, p, func() { holder.HandleVote(vote, s.clock(p)) })
		})
	}
}

func (s *simulation) requestConfirmation(p *process, proof *ExpiryProof, to *process) {
	request := proof.ConfirmationRequest(to.slot, s.clock(p))
	s.send(p, to, func() {
		if to.witness.ConfirmExpiry(proof.Holder(), s.clock(to)).Expired {
			s.send(to, p, func() { proof.Confirm(request, s.clock(p)) })
		}
	})
}

// fault causes random faults, several of which may last at once.
func (s *simulation) fault() {
	s.after(s.between(0, simLease), s.fault)
	p := s.processes[s.random.IntN(len(s.processes))]
	duration := s.between(0, 2*simLease)
	if s.chance(s.probabilities.cut) {
		other := s.processes[s.random.IntN(len(s.processes))]
		s.cuts[[2]*process{p, other}] = s.now + duration
		if s.chance(0.7) {
			s.cuts[[2]*process{other, p}] = s.now + duration
		}
	}
	// All messages to the process are lost, while its own messages arrive.
	if s.chance(s.probabilities.inboundCut) {
		for _, other := range s.processes {
			s.cuts[[2]*process{other, p}] = s.now + duration
		}
	}
	if p.paused || p.down {
		return
	}
	switch {
	case s.chance(s.probabilities.restart):
		s.restart(p)
	case s.chance(s.probabilities.pause):
		s.pause(p, false, duration)
	case s.chance(s.probabilities.suspend):
		s.pause(p, true, s.between(0, 5*simLease))
	case p.holder != nil && s.chance(s.probabilities.resign):
		p.holder.Resign()
		self := p.holder.self
		for _, slot := range s.witnesses {
			to := s.processBySlot(slot)
			s.send(p, to, func() { to.witness.Resign(self, s.clock(to)) })
		}
	}
}

// restart ends a process and later starts a new one in its slot. The new process is a new incarnation without a holder.
func (s *simulation) restart(p *process) {
	p.down = true
	if p.holder != nil {
		p.holder = nil
		p.proofs = nil
	}
	s.after(s.between(0, simLease), func() {
		p.down = false
		p.number++
		if p.witness != nil {
			s.startWitness(p)
			if s.joins != nil {
				s.learnRegistered(p)
			}
		}
	})
}

// pause stops a process for a time, after which it processes the events that arrived meanwhile in random order.
func (s *simulation) pause(p *process, suspend bool, duration time.Duration) {
	s.clock(p)
	p.paused, p.suspended = true, suspend
	s.after(duration, func() {
		s.clock(p)
		p.paused, p.suspended = false, false
		waiting := p.waiting
		p.waiting = nil
		s.random.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
		for _, run := range waiting {
			run()
			s.check()
		}
	})
}

// check records a violation if two incarnations could serve now. It doesn't call the holders' methods, so that they notice an expiry
// only when their processes run. Suspended machines are left out because they run nothing until they resume.
func (s *simulation) check() {
	var serving []string
	for rank, p := range s.owners {
		if p.holder == nil || p.down || p.suspended {
			continue
		}
		at := p.holder.overrides.readClocks(s.clock(p))
		if p.holder.state != Valid || !p.holder.term.validAt(at) {
			continue
		}
		s.lastValid[rank] = s.now
		proved := true
		for _, proof := range p.proofs {
			proved = proved && (proof.Proved() || s.provedRevoked(p, proof.Holder()))
		}
		if proved {
			serving = append(serving, p.slot)
		}
	}
	if len(serving) > 1 && s.violation == "" {
		s.violation = fmt.Sprintf("%v serve at %v", serving, s.now)
	}
}
