package witness

import (
	"errors"
	"slices"
	"time"

	"sapphiretray/member"
)

// ErrWitnessesFixed is returned when the witnesses of an incarnation would change.
var ErrWitnessesFixed = errors.New("the witnesses of an incarnation can't change")

// State is the state of an incarnation's own lease.
type State int

// The states of a lease.
const (
	// Acquiring means that the lease has never been valid.
	Acquiring State = iota
	// Valid means that the lease was valid at the last call.
	Valid
	// Expired means that the lease may only become valid through a round of votes.
	Expired
	// Resigned means that the holder has given up its lease for good.
	Resigned
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"acquiring", "valid", "expired", "resigned"}[s]
}

// Term is a period of validity. The zero value is never valid.
type Term struct {
	base       reading
	lease      time.Duration
	generation uint64
}

// Valid reports whether the term lasts at the given time. It ends when either clock has advanced by the lease, because
// the monotonic clock stands still while the machine is suspended.
func (t Term) Valid(now time.Time) bool { return t.covers(read(now)) }

// Expires returns the end of the term on the monotonic clock; it is zero if the term is.
func (t Term) Expires() time.Time {
	if t.generation == 0 {
		return time.Time{}
	}
	return t.base.mono.Add(t.lease)
}

// Generation returns the number of times that the lease has been acquired.
func (t Term) Generation() uint64 { return t.generation }

func (t Term) covers(now reading) bool { return t.generation > 0 && now.since(t.base) < t.lease }

// Holder is the state machine of an incarnation's own lease.
//
// A lease lasts from the sending time of a heartbeat, never from the arrival of its acknowledgement, because the witness
// counts from the time between the two.
type Holder struct {
	self      member.Incarnation
	timing    Timing
	state     State
	term      Term
	witnesses []support
	sequence  uint64
	sent      map[uint64]reading
	round     uint64
	asked     reading
	suspended bool
	rules     holderRules
}

// holderRules switches off rules in tests, to show that the exploration notices their absence.
type holderRules struct {
	leaseFromArrival  bool
	resumeByHeartbeat bool
	sendExpired       bool
	votesOfAnyRound   bool
	noReduction       bool
	read              func(now time.Time) reading
}

// support is what the holder knows of one witness.
type support struct {
	slot  string
	acked reading
	// run and sequence are echoed in the next heartbeat.
	run      uint64
	sequence uint64
	refused  bool
	granted  uint64
	// voteRun and voteRound are echoed in the next round. They are cleared when the lease becomes valid, so that an
	// answer from before an expiry proves nothing after it.
	voteRun   uint64
	voteRound uint64
}

// NewHolder returns the state machine of an incarnation that has no lease yet.
func NewHolder(self member.Incarnation, timing Timing) *Holder {
	return &Holder{self: self, timing: timing, sent: make(map[uint64]reading)}
}

// SetWitnesses names the witnesses' slots. They can't change later: the majorities of two different sets need not
// share a witness.
func (h *Holder) SetWitnesses(slots []string) error {
	sorted := slices.Sorted(slices.Values(slots))
	sorted = slices.Compact(sorted)
	if len(h.witnesses) > 0 {
		if !slices.EqualFunc(h.witnesses, sorted, func(s support, slot string) bool { return s.slot == slot }) {
			return ErrWitnessesFixed
		}
		return nil
	}
	for _, slot := range sorted {
		h.witnesses = append(h.witnesses, support{slot: slot})
	}
	return nil
}

// Heartbeats returns the next heartbeat for each witness; all have one sequence number and now as their sending time.
// There is none after an expiry: a heartbeat of an expired lease could make a restarted witness believe that the lease
// was valid after its start.
func (h *Holder) Heartbeats(now time.Time) []Heartbeat {
	at := h.advance(now)
	if h.state == Resigned || (h.state == Expired && !h.rules.resumeByHeartbeat && !h.rules.sendExpired) {
		return nil
	}
	for sequence, sent := range h.sent {
		if at.since(sent) >= h.timing.Lease() {
			delete(h.sent, sequence)
		}
	}
	h.sequence++
	h.sent[h.sequence] = at
	heartbeats := make([]Heartbeat, 0, len(h.witnesses))
	for _, s := range h.witnesses {
		heartbeats = append(heartbeats, Heartbeat{
			Holder: h.self, Witness: s.slot, Sequence: h.sequence, EchoRun: s.run, EchoSequence: s.sequence,
		})
	}
	return heartbeats
}

// Acknowledge takes a witness's answer to a heartbeat. An answer that arrives after the expiry doesn't make the lease
// valid again, since a successor may have proved the expiry by then.
func (h *Holder) Acknowledge(ack Ack, now time.Time) {
	at := h.advance(now)
	s := h.support(ack.Witness)
	sent, known := h.sent[ack.Sequence]
	if s == nil || !known || ack.Holder != h.self {
		return
	}
	if ack.Refused {
		s.refused = true
		return
	}
	if ack.Sequence <= s.sequence {
		return
	}
	s.run, s.sequence, s.refused = ack.Run, ack.Sequence, false
	if ack.Unsupported {
		return
	}
	if ack.Reduced && !h.rules.noReduction {
		sent = sent.before(h.timing.reduction())
	}
	if h.rules.leaseFromArrival {
		sent = at
	}
	if h.state == Resigned || (h.state == Expired && !h.rules.resumeByHeartbeat) {
		return
	}
	if sent.mono.After(s.acked.mono) {
		s.acked = sent
	}
	h.extend(at)
}

// extend moves the lease to the newest sending time that a majority supports.
func (h *Holder) extend(at reading) {
	supports := slices.Clone(h.witnesses)
	slices.SortFunc(supports, func(a, b support) int { return b.acked.mono.Compare(a.acked.mono) })
	base := supports[majority(len(supports))-1].acked
	if base.mono.IsZero() || !base.mono.After(h.term.base.mono) || at.since(base) >= h.timing.Lease() {
		return
	}
	h.begin(base)
}

func (h *Holder) begin(base reading) {
	generation := h.term.generation
	if h.state != Valid {
		generation++
	}
	h.term = Term{base: base, lease: h.timing.Lease(), generation: generation}
	h.state = Valid
	for i := range h.witnesses {
		h.witnesses[i].voteRun, h.witnesses[i].voteRound = 0, 0
	}
}

// StartRound starts a round of votes by which an expired lease is re-acquired and returns the request to each witness, or
// none if the lease hasn't expired. The lease will run from now. Only a round that was requested after the expiry counts,
// and only its own votes: a vote of an earlier round may be older than a confirmation by the same witness.
func (h *Holder) StartRound(now time.Time) []VoteRequest {
	at := h.advance(now)
	if h.state != Expired {
		return nil
	}
	h.round++
	h.asked = at
	requests := make([]VoteRequest, 0, len(h.witnesses))
	for _, s := range h.witnesses {
		requests = append(requests, VoteRequest{
			Holder: h.self, Witness: s.slot, Round: h.round, EchoRun: s.voteRun, EchoRound: s.voteRound,
		})
	}
	return requests
}

// RoundAnswered reports whether a majority has answered the newest round without a refusal but the lease is still
// expired. The next round can then succeed, since it echoes these answers.
func (h *Holder) RoundAnswered() bool {
	answered := 0
	for _, s := range h.witnesses {
		if s.voteRound == h.round && !s.refused {
			answered++
		}
	}
	return h.state == Expired && h.round > 0 && answered >= majority(len(h.witnesses))
}

// TakeVote takes a witness's answer to a round.
func (h *Holder) TakeVote(vote Vote, now time.Time) {
	at := h.advance(now)
	s := h.support(vote.Witness)
	ofRound := vote.Round == h.round || h.rules.votesOfAnyRound
	if s == nil || vote.Holder != h.self || h.state != Expired || !ofRound {
		return
	}
	s.voteRun, s.voteRound = vote.Run, vote.Round
	if vote.Unproved {
		s.refused = false
		return
	}
	if !vote.Granted {
		s.refused = true
		return
	}
	s.granted = vote.Round
	h.countVotes(at)
}

// countVotes begins a new term if a majority has granted the newest round.
func (h *Holder) countVotes(at reading) {
	granted := 0
	for _, s := range h.witnesses {
		if s.granted == h.round || (h.rules.votesOfAnyRound && s.granted > 0) {
			granted++
		}
	}
	if granted < majority(len(h.witnesses)) || at.since(h.asked) >= h.timing.Lease() {
		return
	}
	for i := range h.witnesses {
		s := &h.witnesses[i]
		s.acked, s.refused = reading{}, false
		if s.granted == h.round {
			s.acked = h.asked
		}
		s.granted = 0
	}
	h.begin(h.asked)
}

// Resign gives the lease up for good. Witnesses may be told only after it returns.
func (h *Holder) Resign() { h.state = Resigned }

// Valid reports whether the lease is valid now.
func (h *Holder) Valid(now time.Time) bool {
	h.advance(now)
	return h.state == Valid
}

// Term returns the newest term; it is zero unless the lease is valid by the last call.
func (h *Holder) Term() Term {
	if h.state != Valid {
		return Term{}
	}
	return h.term
}

// Expires returns the end of the newest term.
func (h *Holder) Expires() time.Time { return h.term.Expires() }

// State returns the state as of the last call.
func (h *Holder) State() State { return h.state }

// Suspended reports whether only the wall clock showed the newest expiry: the machine was suspended or its wall clock was
// set forward.
func (h *Holder) Suspended() bool { return h.suspended }

// Lost reports whether the lease can't become valid any more, because a blocking number of witnesses refuse this
// incarnation. The instance has to rejoin as a new incarnation.
func (h *Holder) Lost() bool {
	if h.state == Resigned {
		return true
	}
	refused := 0
	for _, s := range h.witnesses {
		if s.refused {
			refused++
		}
	}
	return h.state != Valid && len(h.witnesses) > 0 && refused > len(h.witnesses)-majority(len(h.witnesses))
}

// advance notices an expiry by the clocks, before anything else is done at this time.
func (h *Holder) advance(now time.Time) reading {
	at := read(now)
	if h.rules.read != nil {
		at = h.rules.read(now)
	}
	if h.state == Valid && !h.term.covers(at) {
		h.state = Expired
		h.suspended = at.mono.Sub(h.term.base.mono) < h.term.lease
	}
	return at
}

func (h *Holder) support(slot string) *support {
	for i := range h.witnesses {
		if h.witnesses[i].slot == slot {
			return &h.witnesses[i]
		}
	}
	return nil
}
