package witness

import (
	"slices"
	"time"

	"sapphiretray/member"
)

// RevocationProof collects the proof that the lease of a holder whose incarnation was revoked has expired. It needs one witness where
// ExpiryProof needs a majority, which may be permanently down.
//
// A lease is backed while all its witnesses support it, or while its holder knows that it isn't revoked, and it ends for good once it
// hasn't been backed for some time; see Holder.RequireBacking. The proof is complete when the revocation has been in the store for that
// time, and a witness has refused the holder for as long: it confirmed the expiry at the begin and at the end of that time with the same
// record. Without witnesses in other slots, the revocation is enough. The zero value isn't usable; create it with NewRevocationProof.
type RevocationProof struct {
	holder member.Incarnation
	needed time.Duration
	// revoked is when the revocation was first known to be in the store; zero before.
	revoked time.Time
	// alone means that the holder has no witness in another slot.
	alone bool
	// refusing holds, by witness, the run of the record and when it was known to refuse the holder.
	refusing  map[string]refusal
	proved    bool
	overrides revocationOverrides
}

// revocationOverrides switches off rules for tests, which check that random histories then contain a violation.
type revocationOverrides struct {
	anyRun      bool // confirmations of different records of a witness count together
	unrevoked   bool // the holder needn't be revoked
	oneResponse bool // a witness needn't have refused the holder for any time
	noDrift     bool // clocks are taken to run at the same rate
}

// refusal is the run of a witness's record that refuses a holder, and the time of the response that showed it first.
type refusal struct {
	run   uint64
	since time.Time
}

// NewRevocationProof returns a proof without confirmations for a holder that requires backing within the given time, with witnesses in the
// given slots.
func NewRevocationProof(holder member.Incarnation, witnesses []string, backing time.Duration, timing Timing) *RevocationProof {
	return &RevocationProof{
		holder: holder, needed: backing + time.Duration(float64(backing)*timing.Drift()) + 1, refusing: make(map[string]refusal),
		alone: !slices.ContainsFunc(witnesses, func(slot string) bool { return slot != holder.Slot() }),
	}
}

// Holder returns the incarnation whose lease is to be proved to have expired.
func (p *RevocationProof) Holder() member.Incarnation { return p.holder }

// NoteRevoked records that the revocation is in the store now. It must stay there until the proof is complete.
func (p *RevocationProof) NoteRevoked(now time.Time) {
	if p.revoked.IsZero() {
		p.revoked = now
	}
}

// Confirm adds a witness's confirmation of the expiry, with the run of its record and the times of the request and of the response. It
// reports whether the expiry is proved. The monotonic clock is enough here: while the machine is suspended, the proof only takes longer.
func (p *RevocationProof) Confirm(witness string, run uint64, requested, responded time.Time) bool {
	r, known := p.refusing[witness]
	if !known || r.run != run && !p.overrides.anyRun {
		r = refusal{run: run, since: responded}
		p.refusing[witness] = r
	}
	revoked := !p.revoked.IsZero() && requested.Sub(p.revoked) >= p.needed || p.overrides.unrevoked
	p.proved = p.proved || revoked && (requested.Sub(r.since) >= p.needed || p.overrides.oneResponse)
	return p.proved
}

// Alone reports whether the holder has no witness in another slot, so that no witness can confirm the expiry.
func (p *RevocationProof) Alone() bool { return p.alone }

// Deny records that a witness doesn't confirm the expiry, so that it may have supported the lease since its last confirmation.
func (p *RevocationProof) Deny(witness string) { delete(p.refusing, witness) }

// Remaining returns the time until a confirmation can complete the proof if the witnesses go on to refuse the holder. It returns false
// before the first confirmation and before the revocation.
func (p *RevocationProof) Remaining(now time.Time) (time.Duration, bool) {
	if p.revoked.IsZero() || len(p.refusing) == 0 && !p.alone {
		return 0, false
	}
	first := now
	if p.alone {
		first = p.revoked
	}
	for _, r := range p.refusing {
		if r.since.Before(first) {
			first = r.since
		}
	}
	if p.revoked.After(first) {
		first = p.revoked
	}
	return max(0, p.needed-now.Sub(first)), true
}

// Proved reports whether the expiry is proved at a time. A complete proof stays valid: the lease has ended for good.
func (p *RevocationProof) Proved(now time.Time) bool {
	p.proved = p.proved || p.alone && !p.revoked.IsZero() && now.Sub(p.revoked) >= p.needed
	return p.proved
}
