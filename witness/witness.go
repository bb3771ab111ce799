package witness

import (
	"time"

	"sapphiretray/member"
)

const (
	// retentionLeases is the time, in multiples of LeaseWithDrift, after which an unused record is dropped. 1 is enough for
	// safety; a longer time lets a holder that returns late learn that it was refused.
	retentionLeases = 100
	// maxRecords bounds the memory. An instance witnesses about 3 holders. Once the bound is reached, further holders get
	// neither support nor confirmations.
	maxRecords = 4096
	// maxEchoAge is the number of heartbeats by which the echo in a supported heartbeat may be behind. Older echoes mean that
	// the acknowledgements don't arrive: at the default timing, the last support is then given 400 ms after the last heartbeat
	// whose acknowledgement arrived, and the expiry is confirmed 406 ms later.
	maxEchoAge = 2
)

// Witness is the state machine of a witness of other incarnations' leases. It keeps its records in memory only.
type Witness struct {
	self   member.Incarnation
	timing Timing
	// run is drawn at random for each process and used in responses that concern no record.
	run     uint64
	started time.Time
	records map[member.Incarnation]*record
	// nextRun is the run of the next record. Each record has its own run, so that for the holder a record that was dropped and
	// made again is the same as a restart of the witness.
	nextRun uint64
	// newestRegistered and newestUnlisted hold the numbers from SetNewestRegistered; newestRegistered is nil until they are known.
	newestRegistered map[string]uint64
	newestUnlisted   uint64
	overrides        witnessOverrides
}

// witnessOverrides switches off rules for tests, which check that random histories then contain a violation.
type witnessOverrides struct {
	noRefusal           bool // a holder is supported after its expiry was confirmed
	noSilence           bool // there is no silent period after a restart
	noDrift             bool // clocks are taken to run at the same rate
	dropRecordOnConfirm bool // a record is dropped once the expiry is confirmed
	voteIsNoSupport     bool // a granted vote doesn't delay a confirmation
	confirmSelf         bool // the expiry of the own incarnation is confirmed, too
	sharedRun           bool // all records have the same run
	noEchoAge           bool // support doesn't depend on the age of an echo
	// mayVote replaces the condition that an acknowledgement was echoed; the record is nil if there is none.
	mayVote func(holder member.Incarnation, r *record) bool
	// retentionLeases replaces the constant of that name unless it is 0.
	retentionLeases int
}

// record is what a witness remembers of one holder.
type record struct {
	run           uint64
	supportedAt   time.Time // time of the newest support; a reduction makes it earlier
	lastHeartbeat time.Time // arrival of the newest heartbeat, supported or not
	sequence      uint64    // that of the newest heartbeat
	echoed        bool      // a heartbeat has echoed an acknowledgement of this run
	confirmedAt   time.Time // when the expiry was last confirmed; zero if never
	resignedAt    time.Time // when the holder resigned; zero if it hasn't
	reported      bool      // TakeExpired has returned the holder since its newest support or its resignation
}

// refuses reports whether the witness refuses further support.
func (r *record) refuses() bool { return !r.confirmedAt.IsZero() || !r.resignedAt.IsZero() }

// lastUse returns the time of the newest event in the record.
func (r *record) lastUse() time.Time {
	last := r.supportedAt
	for _, at := range []time.Time{r.lastHeartbeat, r.confirmedAt, r.resignedAt} {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// NewWitness returns a witness in the process of the incarnation self that starts now. The run must be drawn at random, so that no
// acknowledgement of an earlier process in this slot can be taken for one of this process.
func NewWitness(self member.Incarnation, timing Timing, run uint64, now time.Time) *Witness {
	return &Witness{
		self: self, timing: timing, run: run, started: now,
		nextRun: run + 1, records: make(map[member.Incarnation]*record),
	}
}

// SetIncarnation sets the incarnation of the witness's own process, which changes when the instance rejoins.
func (w *Witness) SetIncarnation(self member.Incarnation) { w.self = self }

// SetNewestRegistered sets the number of the newest registered incarnation of each slot, read at some time after the witness's process
// started, and the largest number that an incarnation of any other slot can have had by then: a record may be missing although its
// incarnation runs. The witness isn't silent towards newer incarnations: an earlier process in its slot can't have supported them or
// confirmed their expiry. Otherwise all leases would wait for the silent period after a restart of the whole deployment.
func (w *Witness) SetNewestRegistered(newest map[string]uint64, unlisted uint64) {
	w.newestRegistered, w.newestUnlisted = newest, unlisted
}

// SilentUntil returns the end of the silent period, in which the witness neither supports leases nor confirms expiries. A witness
// that starts has no records of what an earlier process in its slot acknowledged or confirmed; after the silent period, all of that
// is too old to count.
func (w *Witness) SilentUntil() time.Time { return w.started.Add(w.leaseWithDrift()) }

// HandleHeartbeat processes a heartbeat and returns the acknowledgement or refusal to send. It returns false if nothing is to be sent.
//
// The holder in the witness's own process is acknowledged even in the silent period: no earlier process can have known this
// incarnation, and the witness never confirms its expiry.
//
// A heartbeat whose echo is too old is acknowledged without support: if the holder receives no acknowledgements, support would only
// delay the takeover after the expiry of its lease. Support resumes once the holder echoes such an acknowledgement. The first
// heartbeats of a holder need no echo.
func (w *Witness) HandleHeartbeat(heartbeat Heartbeat, now time.Time) (Ack, bool) {
	ack := Ack{Holder: heartbeat.Holder, Witness: w.self.Slot(), Sequence: heartbeat.Sequence, Run: w.run}
	if heartbeat.Holder == w.self {
		return ack, true
	}
	if w.silentTowards(heartbeat.Holder, now) {
		return Ack{}, false
	}
	r := w.record(heartbeat.Holder)
	if r == nil {
		return Ack{}, false
	}
	ack.Run = r.run
	if r.refuses() && !w.overrides.noRefusal {
		ack.Refused = true
		return ack, true
	}
	if heartbeat.Sequence <= r.sequence {
		return Ack{}, false
	}
	r.sequence, r.lastHeartbeat = heartbeat.Sequence, now
	var echo uint64
	if heartbeat.EchoRun == r.run && heartbeat.EchoSequence > 0 {
		r.echoed = true
		echo = heartbeat.EchoSequence
	}
	if heartbeat.Sequence > echo+maxEchoAge && !w.overrides.noEchoAge {
		ack.Unsupported = true
		return ack, true
	}
	supportedAt := now
	if heartbeat.Sequence == echo+maxEchoAge && echo > 0 && !w.overrides.noEchoAge {
		ack.Reduced = true
		supportedAt = now.Add(-w.timing.reduction())
	}
	if supportedAt.After(r.supportedAt) {
		r.supportedAt = supportedAt
	}
	r.reported = false
	return ack, true
}

// ConfirmExpiry reports whether the holder's lease can't be valid by this witness's support any more. A witness that has confirmed
// the expiry refuses the holder from then on: otherwise an acknowledgement would count towards the lease while the confirmation
// counts towards a takeover.
func (w *Witness) ConfirmExpiry(holder member.Incarnation, now time.Time) Confirmation {
	if holder.Slot() == w.self.Slot() && !w.overrides.confirmSelf {
		return Confirmation{Run: w.run, Wait: w.leaseWithDrift()}
	}
	if w.silentTowards(holder, now) {
		return Confirmation{Run: w.run, Wait: w.SilentUntil().Sub(now)}
	}
	r := w.record(holder)
	if r == nil {
		return Confirmation{Run: w.run, Wait: w.leaseWithDrift()}
	}
	if left := r.supportedAt.Add(w.leaseWithDrift()).Sub(now); left > 0 && r.resignedAt.IsZero() {
		return Confirmation{Run: r.run, Wait: left}
	}
	r.confirmedAt = now
	confirmation := Confirmation{Run: r.run, Expired: true}
	if w.overrides.dropRecordOnConfirm {
		delete(w.records, holder)
	}
	return confirmation
}

// HandleVoteRequest votes in a round by which a holder re-acquires its expired lease. The witness grants the request only if
// it hasn't confirmed the expiry and a heartbeat has echoed an acknowledgement of the current run. The echo proves that the lease was
// valid after the run began, so no takeover can have counted a confirmation of an earlier run: the lease would have expired before. A
// heartbeat without an echo proves nothing, since it may have been sent before the expiry and delayed.
//
// A granted vote supports the lease like an acknowledgement. It is therefore granted only if the request echoes the vote in the
// round before: otherwise the rounds of a holder that receives no votes would extend the support without end.
func (w *Witness) HandleVoteRequest(request VoteRequest, now time.Time) Vote {
	holder := request.Holder
	vote := Vote{Holder: holder, Witness: w.self.Slot(), Run: w.run, Round: request.Round}
	if holder == w.self {
		vote.Granted = true
		return vote
	}
	r := w.records[holder]
	if w.overrides.mayVote != nil && w.overrides.mayVote(holder, r) {
		r = w.record(holder)
		r.echoed = true
	}
	if r == nil || w.silentTowards(holder, now) {
		return vote
	}
	vote.Run = r.run
	willing := r.echoed && (!r.refuses() || w.overrides.noRefusal)
	proved := request.EchoRun == r.run && request.EchoRound > 0 && request.Round <= request.EchoRound+1
	vote.Granted = willing && (proved || w.overrides.noEchoAge)
	vote.Unproved = willing && !vote.Granted
	if vote.Granted && !w.overrides.voteIsNoSupport {
		r.supportedAt, r.reported = now, false
	}
	return vote
}

// Resign records that the holder has given up its lease for good. The expiry may then be confirmed at once.
func (w *Witness) Resign(holder member.Incarnation, now time.Time) {
	if r := w.record(holder); r != nil && r.resignedAt.IsZero() {
		r.resignedAt, r.reported = now, false
	}
}

// NextExpiry returns the time of the next expiry that TakeExpired would report, and false if there is none.
func (w *Witness) NextExpiry() (time.Time, bool) {
	var next time.Time
	for holder, r := range w.records {
		if at, ok := w.unreportedExpiry(holder, r); ok && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// TakeExpired returns the holders whose leases have expired since the last call, so that successors can be notified. This doesn't
// confirm the expiry: a holder may re-acquire its lease if no successor asks for a proof. A holder whose expiry was already
// confirmed to one successor is returned, too, since it may have others. The call also drops old records.
func (w *Witness) TakeExpired(now time.Time) []member.Incarnation {
	var expired []member.Incarnation
	for holder, r := range w.records {
		if at, ok := w.unreportedExpiry(holder, r); ok && !now.Before(at) {
			r.reported = true
			expired = append(expired, holder)
		}
	}
	w.dropOldRecords(now)
	return expired
}

// Records returns the number of holders that the witness has records of.
func (w *Witness) Records() int { return len(w.records) }

// unreportedExpiry returns the time of a holder's expiry that TakeExpired hasn't returned yet, and false if there is none.
func (w *Witness) unreportedExpiry(holder member.Incarnation, r *record) (time.Time, bool) {
	switch {
	case r.reported || holder.Slot() == w.self.Slot():
		return time.Time{}, false
	case !r.resignedAt.IsZero():
		return r.resignedAt, true
	default:
		return r.supportedAt.Add(w.leaseWithDrift()), !r.supportedAt.IsZero()
	}
}

// dropOldRecords drops the records that have not been used for the retention time. For the holder this is the same as a restart of
// the witness: the retention time has the effect of the silent period, and a new record has a new run.
func (w *Witness) dropOldRecords(now time.Time) {
	leases := retentionLeases
	if w.overrides.retentionLeases > 0 {
		leases = w.overrides.retentionLeases
	}
	for holder, r := range w.records {
		if now.Sub(r.lastUse()) >= time.Duration(leases)*w.leaseWithDrift() {
			delete(w.records, holder)
		}
	}
}

// record returns the record of a holder and makes it if needed. It returns nil if maxRecords are reached.
func (w *Witness) record(holder member.Incarnation) *record {
	if r, ok := w.records[holder]; ok {
		return r
	}
	if len(w.records) >= maxRecords {
		return nil
	}
	r := &record{run: w.nextRun}
	if !w.overrides.sharedRun {
		w.nextRun++
	}
	w.records[holder] = r
	return r
}

// silentTowards reports whether the silent period applies to a holder.
func (w *Witness) silentTowards(holder member.Incarnation, now time.Time) bool {
	if w.newestRegistered != nil {
		newest, ok := w.newestRegistered[holder.Slot()]
		if !ok {
			newest = w.newestUnlisted
		}
		if holder.Number() > newest {
			return false
		}
	}
	return !w.overrides.noSilence && now.Before(w.SilentUntil())
}

// leaseWithDrift returns the time after which support no longer counts.
func (w *Witness) leaseWithDrift() time.Duration {
	if w.overrides.noDrift {
		return w.timing.Lease()
	}
	return w.timing.LeaseWithDrift()
}
