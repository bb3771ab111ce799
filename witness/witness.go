package witness

import (
	"time"

	"sapphiretray/member"
)

const (
	// retention is the number of waits after which a record is dropped. One is enough for safety; more lets a holder
	// that returns late learn that it was refused.
	retention = 100
	// maxRecords bounds the memory. An instance witnesses about 3 holders; one that has reached the bound gives no
	// support and no confirmation to others.
	maxRecords = 4096
	// maxEchoAge is the number of heartbeats by which the echo of a supported heartbeat may be behind. It is the age at
	// which a cut of the acknowledgements is noticed: at the default timing, the last support is 400 ms after the last
	// heartbeat whose acknowledgement arrived, and its expiry is confirmed 406 ms later.
	maxEchoAge = 2
)

// Witness is the state machine of a witness of other incarnations' leases. It keeps its records in memory only.
type Witness struct {
	self    member.Incarnation
	timing  Timing
	run     uint64
	started time.Time
	records map[member.Incarnation]*record
	// nextRun is the run of the next record. Each record has its own run, so that a record that was dropped and made
	// again is to its holder the same as a restart.
	nextRun uint64
	// baseline holds the newest incarnation of each slot that was registered when the process started; it is nil while that isn't
	// known.
	baseline map[string]uint64
	rules    witnessRules
}

// witnessRules switches off rules in tests, to show that the exploration notices their absence.
type witnessRules struct {
	noRefusal       bool
	noSilence       bool
	noDrift         bool
	forgetAtOnce    bool
	voteIsNoSupport bool
	confirmSelf     bool
	oneRun          bool
	noEchoAge       bool // support doesn't depend on the age of an echo
	// reacquire replaces the condition on the echo; the record is nil if there is none.
	reacquire func(holder member.Incarnation, r *record) bool
	retention int
}

// record is what a witness remembers of one holder.
type record struct {
	run       uint64
	acked     time.Time // newest support
	heard     time.Time // newest heartbeat, supported or not
	sequence  uint64
	echoed    bool
	confirmed time.Time
	resigned  time.Time
	reported  bool
}

func (r *record) refuses() bool { return !r.confirmed.IsZero() || !r.resigned.IsZero() }

func (r *record) lastUse() time.Time {
	last := r.acked
	for _, at := range []time.Time{r.heard, r.confirmed, r.resigned} {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// NewWitness returns a witness in the process of self that starts now. The run must be drawn at random, so that no
// acknowledgement of an earlier process in this slot can be taken for one of this process.
func NewWitness(self member.Incarnation, timing Timing, run uint64, now time.Time) *Witness {
	return &Witness{
		self: self, timing: timing, run: run, started: now,
		nextRun: run + 1, records: make(map[member.Incarnation]*record),
	}
}

// Adopt names a newer incarnation in the witness's own process.
func (w *Witness) Adopt(self member.Incarnation) { w.self = self }

// SetBaseline names the newest incarnation of each slot that was registered at some time after the witness's process started. The
// witness isn't silent towards incarnations that are newer: no earlier run of it can have supported them or confirmed their
// expiry. Without that, all leases of a deployment that was restarted as a whole would wait for the silent period.
func (w *Witness) SetBaseline(newest map[string]uint64) { w.baseline = newest }

// SilentUntil returns the end of the silent period. A witness has lost its record of earlier acknowledgements and
// confirmations when it starts. After the silence, each lease that it supported and each confirmation that it gave in
// an earlier run is too old to count.
func (w *Witness) SilentUntil() time.Time { return w.started.Add(w.wait()) }

// Heartbeat takes a heartbeat and returns the acknowledgement or refusal to send, and false if nothing is to be sent.
//
// The holder in the witness's own process is acknowledged even in the silent period: no earlier run can have known this
// incarnation, and the witness never confirms its expiry.
//
// A heartbeat whose echo is too old is acknowledged without support: if the holder receives no acknowledgements, support
// would only delay a takeover after its lease has expired. Once the holder echoes such an acknowledgement, the support
// resumes. The first heartbeats of a holder need no echo.
func (w *Witness) Heartbeat(heartbeat Heartbeat, now time.Time) (Ack, bool) {
	ack := Ack{Holder: heartbeat.Holder, Witness: w.self.Slot(), Sequence: heartbeat.Sequence, Run: w.run}
	if heartbeat.Holder == w.self {
		return ack, true
	}
	if w.silent(heartbeat.Holder, now) {
		return Ack{}, false
	}
	r := w.record(heartbeat.Holder)
	if r == nil {
		return Ack{}, false
	}
	ack.Run = r.run
	if r.refuses() && !w.rules.noRefusal {
		ack.Refused = true
		return ack, true
	}
	if heartbeat.Sequence <= r.sequence {
		return Ack{}, false
	}
	r.sequence, r.heard = heartbeat.Sequence, now
	var echo uint64
	if heartbeat.EchoRun == r.run && heartbeat.EchoSequence > 0 {
		r.echoed = true
		echo = heartbeat.EchoSequence
	}
	if heartbeat.Sequence > echo+maxEchoAge && !w.rules.noEchoAge {
		ack.Unsupported = true
		return ack, true
	}
	acked := now
	if heartbeat.Sequence == echo+maxEchoAge && echo > 0 && !w.rules.noEchoAge {
		ack.Reduced = true
		acked = now.Add(-w.timing.reduction())
	}
	if acked.After(r.acked) {
		r.acked = acked
	}
	r.reported = false
	return ack, true
}

// ConfirmExpiry answers whether the holder's lease has expired as far as this witness supports it. Once it has
// confirmed, it refuses the holder: otherwise its later acknowledgement would count towards a lease while its
// confirmation counts towards a takeover.
func (w *Witness) ConfirmExpiry(holder member.Incarnation, now time.Time) Confirmation {
	if holder.Slot() == w.self.Slot() && !w.rules.confirmSelf {
		return Confirmation{Run: w.run, Wait: w.wait()}
	}
	if w.silent(holder, now) {
		return Confirmation{Run: w.run, Wait: w.SilentUntil().Sub(now)}
	}
	r := w.record(holder)
	if r == nil {
		return Confirmation{Run: w.run, Wait: w.wait()}
	}
	if left := r.acked.Add(w.wait()).Sub(now); left > 0 && r.resigned.IsZero() {
		return Confirmation{Run: r.run, Wait: left}
	}
	r.confirmed = now
	answer := Confirmation{Run: r.run, Expired: true}
	if w.rules.forgetAtOnce {
		delete(w.records, holder)
	}
	return answer
}

// Reacquire answers a request of a round of votes. The witness grants it only if it hasn't confirmed the expiry and has
// received, in its current run, a heartbeat that echoes an acknowledgement of that run. The echo proves that the lease
// was valid after the witness could acknowledge: had a takeover counted a confirmation of an earlier run, then the lease
// would have expired before. A heartbeat alone may have been delayed since before the expiry.
//
// A granted vote supports the lease like an acknowledgement. It is therefore granted only if the request echoes the
// answer to the round before: rounds of a holder that receives no answers would extend the support without end.
func (w *Witness) Reacquire(request VoteRequest, now time.Time) Vote {
	holder := request.Holder
	vote := Vote{Holder: holder, Witness: w.self.Slot(), Run: w.run, Round: request.Round}
	if holder == w.self {
		vote.Granted = true
		return vote
	}
	r := w.records[holder]
	if w.rules.reacquire != nil && w.rules.reacquire(holder, r) {
		r = w.record(holder)
		r.echoed = true
	}
	if r == nil || w.silent(holder, now) {
		return vote
	}
	vote.Run = r.run
	willing := r.echoed && (!r.refuses() || w.rules.noRefusal)
	proved := request.EchoRun == r.run && request.EchoRound > 0 && request.Round <= request.EchoRound+1
	vote.Granted = willing && (proved || w.rules.noEchoAge)
	vote.Unproved = willing && !vote.Granted
	if vote.Granted && !w.rules.voteIsNoSupport {
		r.acked, r.reported = now, false
	}
	return vote
}

// Resign notes that the holder has given up its lease for good. The expiry may be confirmed at once.
func (w *Witness) Resign(holder member.Incarnation, now time.Time) {
	if r := w.record(holder); r != nil && r.resigned.IsZero() {
		r.resigned, r.reported = now, false
	}
}

// NextExpiry returns the time of the next expiry that Expired would report, and false if there is none.
func (w *Witness) NextExpiry() (time.Time, bool) {
	var next time.Time
	for holder, r := range w.records {
		if at, ok := w.expiry(holder, r); ok && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// Expired returns the holders whose leases have expired since the last call, so that successors can be notified. It
// doesn't confirm the expiry: a holder that nobody claims may return. A holder whose expiry was confirmed to one successor
// before is reported too, since it may have others. The call also drops old records.
func (w *Witness) Expired(now time.Time) []member.Incarnation {
	var expired []member.Incarnation
	for holder, r := range w.records {
		if at, ok := w.expiry(holder, r); ok && !now.Before(at) {
			r.reported = true
			expired = append(expired, holder)
		}
	}
	w.forget(now)
	return expired
}

// Records returns the number of holders that the witness remembers.
func (w *Witness) Records() int { return len(w.records) }

func (w *Witness) expiry(holder member.Incarnation, r *record) (time.Time, bool) {
	switch {
	case r.reported || holder.Slot() == w.self.Slot():
		return time.Time{}, false
	case !r.resigned.IsZero():
		return r.resigned, true
	default:
		return r.acked.Add(w.wait()), !r.acked.IsZero()
	}
}

// forget drops records that have not been used for at least one wait. To the holder this is a restart of the witness:
// the wait has the effect of the silent period, and a new record has a new run.
func (w *Witness) forget(now time.Time) {
	waits := retention
	if w.rules.retention > 0 {
		waits = w.rules.retention
	}
	for holder, r := range w.records {
		if now.Sub(r.lastUse()) >= time.Duration(waits)*w.wait() {
			delete(w.records, holder)
		}
	}
}

func (w *Witness) record(holder member.Incarnation) *record {
	if r, ok := w.records[holder]; ok {
		return r
	}
	if len(w.records) >= maxRecords {
		return nil
	}
	r := &record{run: w.nextRun}
	if !w.rules.oneRun {
		w.nextRun++
	}
	w.records[holder] = r
	return r
}

func (w *Witness) silent(holder member.Incarnation, now time.Time) bool {
	if w.baseline != nil && holder.Number() > w.baseline[holder.Slot()] {
		return false
	}
	return !w.rules.noSilence && now.Before(w.SilentUntil())
}

func (w *Witness) wait() time.Duration {
	if w.rules.noDrift {
		return w.timing.Lease()
	}
	return w.timing.Wait()
}
