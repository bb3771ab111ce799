package witness

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"sapphiretray/member"
)

// ErrWitnessesFixed is returned when the slots of an incarnation's witnesses would change.
var ErrWitnessesFixed = errors.New("the witnesses of an incarnation can't change")

// State is the state of an incarnation's own lease.
type State int

// The states of a lease.
const (
	// Acquiring means that the lease has never been valid.
	Acquiring State = iota
	// Valid means that the lease was valid at the last method call.
	Valid
	// Expired means that the lease can only become valid again through a round of votes.
	Expired
	// Resigned means that the holder has given up its lease and can't re-acquire it.
	Resigned
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"acquiring", "valid", "expired", "resigned"}[s]
}

// Term is a period for which a lease is valid. The zero value is never valid.
type Term struct {
	start      clockReading
	lease      time.Duration
	generation uint64
	// backed is when the lease was last known not to be revoked, and backing for how long that counts; see Holder.RequireBacking.
	backed  clockReading
	backing time.Duration
}

// Valid reports whether the term lasts at the given time. It ends when either clock has advanced by the duration of the lease,
// because the monotonic clock stops while the machine is suspended.
func (t Term) Valid(now time.Time) bool { return t.validAt(readClocks(now)) }

// Expires returns the end of the term on the monotonic clock; it is zero if the term is.
func (t Term) Expires() time.Time {
	if t.generation == 0 {
		return time.Time{}
	}
	expires := t.start.mono.Add(t.lease)
	if limit := t.backed.mono.Add(t.backing); t.backing > 0 && limit.Before(expires) {
		return limit
	}
	return expires
}

// Generation returns the number of times that the lease has been acquired so far, including this term.
func (t Term) Generation() uint64 { return t.generation }

func (t Term) validAt(now clockReading) bool {
	return t.generation > 0 && now.since(t.start) < t.lease && t.backedAt(now)
}

// backedAt reports whether the lease can't have been revoked for so long that others rely on its end.
func (t Term) backedAt(now clockReading) bool {
	return t.backing == 0 || now.since(t.backed) < t.backing
}

// Holder is the state machine of an incarnation's own lease.
//
// A lease runs from the sending time of a heartbeat, not from the arrival of its acknowledgement. The witness counts its support
// from the receipt of the heartbeat in between, so the lease ends before the support does.
type Holder struct {
	self      member.Incarnation
	timing    Timing
	state     State
	term      Term
	witnesses []witnessStatus
	// sequence is the number of the newest heartbeats, and sentAt the sending times of those that may still extend the lease.
	sequence uint64
	sentAt   map[uint64]clockReading
	// round is the number of the newest round of votes, and roundStart the time at which it started.
	round      uint64
	roundStart clockReading
	// expiredByWallClock is set if only the wall clock showed the newest expiry.
	expiredByWallClock bool
	// backing is the setting of RequireBacking, and backed the newest time at which the lease was known not to be revoked.
	backing time.Duration
	backed  clockReading
	// unbacked is set if the lease ended for good because it wasn't backed.
	unbacked  bool
	overrides holderOverrides
}

// holderOverrides switches off rules for tests, which check that random histories then contain a violation.
type holderOverrides struct {
	leaseFromArrival     bool // a lease runs from the arrival of an acknowledgement
	resumeByHeartbeat    bool // an acknowledgement makes an expired lease valid
	heartbeatAfterExpiry bool // heartbeats are sent after an expiry
	votesOfAnyRound      bool // votes of different rounds count together
	noReduction          bool // reduced support counts like full support
	noBackingLapse       bool // a lease that wasn't backed can become valid again
	majorityBacks        bool // the support of a majority backs a lease
	// readClocks replaces the function of that name unless it is nil.
	readClocks func(now time.Time) clockReading
}

// witnessStatus is what the holder knows of one witness.
type witnessStatus struct {
	slot string
	// supportedFrom is the sending time of the newest heartbeat or round that the witness supports.
	supportedFrom clockReading
	// run and sequence are those of the newest acknowledgement, which the next heartbeat echoes.
	run      uint64
	sequence uint64
	// refused is set by a refusal and cleared by the next acknowledgement, by an unproved vote, or by a successful round.
	refused bool
	// granted is the newest round since the expiry that the witness has granted; 0 if none.
	granted uint64
	// voteRun and voteRound are those of the newest vote, which the next request echoes. They are cleared when the lease becomes
	// valid, so that a vote from before an expiry proves nothing after it.
	voteRun   uint64
	voteRound uint64
}

// NewHolder returns the state machine of an incarnation that has no lease yet.
func NewHolder(self member.Incarnation, timing Timing) *Holder {
	return &Holder{self: self, timing: timing, sentAt: make(map[uint64]clockReading)}
}

// SetWitnesses sets the slots of the witnesses. They can't change later, since the majorities of two different sets need not share
// a witness; the error is then ErrWitnessesFixed.
func (h *Holder) SetWitnesses(slots []string) error {
	sorted := slices.Sorted(slices.Values(slots))
	sorted = slices.Compact(sorted)
	if len(h.witnesses) > 0 {
		if !slices.EqualFunc(h.witnesses, sorted, func(s witnessStatus, slot string) bool { return s.slot == slot }) {
			return ErrWitnessesFixed
		}
		return nil
	}
	for _, slot := range sorted {
		h.witnesses = append(h.witnesses, witnessStatus{slot: slot})
	}
	return nil
}

// RequireBacking makes the lease end for good unless, within d, all witnesses have supported it, of which one must be in another slot, or
// it was known not to be revoked; see NoteUnrevoked. RevocationProof relies on it with the same d. It is called before the first
// heartbeat.
func (h *Holder) RequireBacking(d time.Duration) { h.backing = d }

// NoteUnrevoked records that the holder's incarnation wasn't revoked at a time, which is that before the request whose response shows it.
func (h *Holder) NoteUnrevoked(at, now time.Time) { h.noteUnrevoked(readClocks(at), now) }

func (h *Holder) noteUnrevoked(at clockReading, now time.Time) { h.back(h.checkExpiry(now), at) }

// back records that the lease wasn't revoked at a time.
func (h *Holder) back(now, at clockReading) {
	if h.backed.mono.IsZero() || now.since(at) < now.since(h.backed) {
		h.backed, h.term.backed = at, at
	}
}

// Unbacked returns the time for which the lease may have been revoked without the holder's knowledge.
func (h *Holder) Unbacked(now time.Time) time.Duration { return readClocks(now).since(h.backed) }

// Heartbeats returns the next heartbeat for each witness. All have the same sequence number and now as their sending time. It
// returns none after an expiry: a restarted witness could conclude from a heartbeat that the lease was valid after its start.
func (h *Holder) Heartbeats(now time.Time) []Heartbeat {
	at := h.checkExpiry(now)
	if h.state == Resigned || (h.state == Expired && !h.overrides.resumeByHeartbeat && !h.overrides.heartbeatAfterExpiry) {
		return nil
	}
	for sequence, sentAt := range h.sentAt {
		if at.since(sentAt) >= h.timing.Lease() {
			delete(h.sentAt, sequence)
		}
	}
	h.sequence++
	h.sentAt[h.sequence] = at
	heartbeats := make([]Heartbeat, 0, len(h.witnesses))
	for _, s := range h.witnesses {
		heartbeats = append(heartbeats, Heartbeat{
			Holder: h.self, Witness: s.slot, Sequence: h.sequence, EchoRun: s.run, EchoSequence: s.sequence,
		})
	}
	return heartbeats
}

// HandleAck processes a witness's response to a heartbeat. One that arrives after the expiry doesn't make the lease valid
// again, since a successor may have proved the expiry by then.
func (h *Holder) HandleAck(ack Ack, now time.Time) {
	at := h.checkExpiry(now)
	s := h.witnessStatus(ack.Witness)
	sentAt, known := h.sentAt[ack.Sequence]
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
	if ack.Reduced && !h.overrides.noReduction {
		sentAt = sentAt.minus(h.timing.reduction())
	}
	if h.overrides.leaseFromArrival {
		sentAt = at
	}
	if h.state == Resigned || (h.state == Expired && !h.overrides.resumeByHeartbeat) {
		return
	}
	if sentAt.mono.After(s.supportedFrom.mono) {
		s.supportedFrom = sentAt
	}
	h.extendTerm(at)
}

// extendTerm lets the lease run from the newest time since which a majority of the witnesses supports it. The sending times have no order
// that holds on both clocks if the machine was suspended, so the start is the earliest of the majority on each.
func (h *Holder) extendTerm(at clockReading) {
	supports := make([]clockReading, 0, len(h.witnesses))
	for _, s := range h.witnesses {
		if !s.supportedFrom.mono.IsZero() {
			supports = append(supports, s.supportedFrom)
		}
	}
	needed := majority(len(h.witnesses))
	if len(supports) < needed {
		return
	}
	slices.SortFunc(supports, func(a, b clockReading) int { return cmp.Compare(at.since(a), at.since(b)) })
	h.backBySupport(at, supports)
	start := supports[0]
	for _, supportedFrom := range supports[1:needed] {
		start = start.earliest(supportedFrom)
	}
	if !h.isBacked(at) {
		return
	}
	if extends := h.term.generation == 0 || at.since(start) < at.since(h.term.start); extends && at.since(start) < h.timing.Lease() {
		h.startTerm(start)
	}
}

// backBySupport records that all witnesses support the lease, if they do, since the earliest of the times in supports on each clock.
func (h *Holder) backBySupport(now clockReading, supports []clockReading) {
	backing := supports
	if h.overrides.majorityBacks {
		backing = supports[:majority(len(h.witnesses))]
	} else if len(supports) < len(h.witnesses) || !h.hasOtherWitness() {
		return
	}
	all := backing[0]
	for _, supportedFrom := range backing[1:] {
		all = all.earliest(supportedFrom)
	}
	h.back(now, all)
}

// hasOtherWitness reports whether a witness is in another slot. The own one doesn't confirm to others that the lease has expired.
func (h *Holder) hasOtherWitness() bool {
	return slices.ContainsFunc(h.witnesses, func(s witnessStatus) bool { return s.slot != h.self.Slot() })
}

// startTerm begins a term that runs from start. It has a new generation unless the lease is valid.
func (h *Holder) startTerm(start clockReading) {
	generation := h.term.generation
	if h.state != Valid {
		generation++
	}
	h.term = Term{start: start, lease: h.timing.Lease(), generation: generation, backed: h.backed, backing: h.backing}
	h.state = Valid
	for i := range h.witnesses {
		h.witnesses[i].voteRun, h.witnesses[i].voteRound = 0, 0
	}
}

// StartRound starts a round of votes to re-acquire an expired lease and returns the request to each witness, or none if the lease
// hasn't expired. A lease that the round re-acquires runs from now. Only votes of the newest round count: a vote of an earlier
// round may be older than a confirmation of the expiry by the same witness.
func (h *Holder) StartRound(now time.Time) []VoteRequest {
	at := h.checkExpiry(now)
	if h.state != Expired {
		return nil
	}
	h.round++
	h.roundStart = at
	requests := make([]VoteRequest, 0, len(h.witnesses))
	for _, s := range h.witnesses {
		requests = append(requests, VoteRequest{
			Holder: h.self, Witness: s.slot, Round: h.round, EchoRun: s.voteRun, EchoRound: s.voteRound,
		})
	}
	return requests
}

// MajorityResponded reports whether the lease is still expired although a majority has responded to the newest round without a refusal.
// The next round can then succeed, since it echoes these votes.
func (h *Holder) MajorityResponded() bool {
	responded := 0
	for _, s := range h.witnesses {
		if s.voteRound == h.round && !s.refused {
			responded++
		}
	}
	return h.state == Expired && h.round > 0 && responded >= majority(len(h.witnesses))
}

// HandleVote processes a witness's vote in a round.
func (h *Holder) HandleVote(vote Vote, now time.Time) {
	at := h.checkExpiry(now)
	s := h.witnessStatus(vote.Witness)
	ofRound := vote.Round == h.round || h.overrides.votesOfAnyRound
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

// countVotes begins a new term if a majority has granted the newest round and the term would not be over yet.
func (h *Holder) countVotes(at clockReading) {
	granted := 0
	for _, s := range h.witnesses {
		if s.granted == h.round || (h.overrides.votesOfAnyRound && s.granted > 0) {
			granted++
		}
	}
	if granted < majority(len(h.witnesses)) || at.since(h.roundStart) >= h.timing.Lease() || !h.isBacked(at) {
		return
	}
	for i := range h.witnesses {
		s := &h.witnesses[i]
		s.supportedFrom, s.refused = clockReading{}, false
		if s.granted == h.round {
			s.supportedFrom = h.roundStart
		}
		s.granted = 0
	}
	h.startTerm(h.roundStart)
}

// Resign gives the lease up for good. The witnesses may only be notified after it has returned.
func (h *Holder) Resign() { h.state = Resigned }

// Valid reports whether the lease is valid now.
func (h *Holder) Valid(now time.Time) bool {
	h.checkExpiry(now)
	return h.state == Valid
}

// Term returns the newest term. It is zero unless the lease was valid at the last method call.
func (h *Holder) Term() Term {
	if h.state != Valid {
		return Term{}
	}
	return h.term
}

// Expires returns the end of the newest term, or the zero time if the lease was never valid.
func (h *Holder) Expires() time.Time { return h.term.Expires() }

// State returns the state at the last method call.
func (h *Holder) State() State { return h.state }

// ExpiredByWallClock reports whether the newest expiry was noticed by the wall clock alone: the machine was suspended or its wall
// clock was set forward.
func (h *Holder) ExpiredByWallClock() bool { return h.expiredByWallClock }

// Lost reports whether the lease can't become valid any more, because it was resigned or so many witnesses refuse this incarnation
// that the others are no majority. The instance has to rejoin as a new incarnation.
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

// checkExpiry reads the clocks and changes the state if the lease has expired. Methods that take the time call it first.
func (h *Holder) checkExpiry(now time.Time) clockReading {
	at := readClocks(now)
	if h.overrides.readClocks != nil {
		at = h.overrides.readClocks(now)
	}
	if h.state == Valid && !h.term.validAt(at) {
		h.state = Expired
		h.expiredByWallClock = at.mono.Sub(h.term.start.mono) < h.term.lease
	}
	if h.state == Expired && !h.isBacked(at) && !h.overrides.noBackingLapse {
		// The proof of the expiry of a revoked lease doesn't keep the witnesses from supporting it later.
		h.state, h.unbacked = Resigned, true
	}
	return at
}

// isBacked reports whether the lease can't have been revoked for so long that others rely on its end.
func (h *Holder) isBacked(now clockReading) bool {
	return h.backing == 0 || now.since(h.backed) < h.backing
}

// EndedUnbacked reports whether the lease ended for good because it may have been revoked; see RequireBacking.
func (h *Holder) EndedUnbacked() bool { return h.unbacked }

// witnessStatus returns the status of the witness in a slot, or nil if there is none.
func (h *Holder) witnessStatus(slot string) *witnessStatus {
	for i := range h.witnesses {
		if h.witnesses[i].slot == slot {
			return &h.witnesses[i]
		}
	}
	return nil
}
