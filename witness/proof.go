package witness

import (
	"slices"
	"time"

	"sapphiretray/member"
)

// ExpiryProof collects the confirmations of witnesses that the lease of one holder has expired, for a successor of the holder. It
// may only be started after the holder's first lease was valid: a witness that has no record of a holder confirms its expiry at
// once, and would support it again after a restart.
type ExpiryProof struct {
	holder member.Incarnation
	timing Timing
	// witnesses holds, by slot, when the newest confirmation was requested; nil if there is none.
	witnesses map[string]*clockReading
	proved    bool
	overrides proofOverrides
}

// proofOverrides switches off rules for tests, which check that random histories then contain a violation.
type proofOverrides struct {
	// anyAge counts confirmations of any age.
	anyAge bool
	// readClocks replaces the function of that name unless it is nil.
	readClocks func(now time.Time) clockReading
}

// ConfirmationRequest identifies a request for confirmation by the witness that it is sent to and by its sending time.
type ConfirmationRequest struct {
	witness string
	at      clockReading
}

// Witness returns the slot of the witness that the request is sent to.
func (r ConfirmationRequest) Witness() string { return r.witness }

// NewExpiryProof returns a proof without confirmations for a holder whose witnesses are in the given slots.
func NewExpiryProof(holder member.Incarnation, witnesses []string, timing Timing) *ExpiryProof {
	p := &ExpiryProof{holder: holder, timing: timing, witnesses: make(map[string]*clockReading)}
	for _, slot := range witnesses {
		p.witnesses[slot] = nil
	}
	return p
}

// Holder returns the incarnation whose lease is to be proved to have expired.
func (p *ExpiryProof) Holder() member.Incarnation { return p.holder }

// ConfirmationRequest returns a request that is sent to the witness in a slot now.
func (p *ExpiryProof) ConfirmationRequest(witness string, now time.Time) ConfirmationRequest {
	return ConfirmationRequest{witness: witness, at: p.readClocks(now)}
}

// Confirm adds a witness's confirmation of the expiry and reports whether the expiry is proved.
//
// Only confirmations that were requested within the duration of one lease count together. A witness that restarts loses its record
// of the confirmation and is silent for longer than that, so it can't support the holder again while its confirmation counts. A
// complete proof stays valid: the lease had expired by then, and no majority is left to re-acquire it.
func (p *ExpiryProof) Confirm(request ConfirmationRequest, now time.Time) bool {
	previous, known := p.witnesses[request.witness]
	if !known || p.proved {
		return p.proved
	}
	if previous == nil || request.at.mono.After(previous.mono) {
		p.witnesses[request.witness] = &request.at
	}
	at, counted := p.readClocks(now), 0
	for _, requested := range p.witnesses {
		if p.recent(requested, at) {
			counted++
		}
	}
	p.proved = counted >= majority(len(p.witnesses))
	return p.proved
}

// Proved reports whether a majority has confirmed the expiry within the duration of one lease.
func (p *ExpiryProof) Proved() bool { return p.proved }

// Missing returns the sorted slots of the witnesses whose confirmation is missing or too old to count.
func (p *ExpiryProof) Missing(now time.Time) []string {
	var missing []string
	at := p.readClocks(now)
	for slot, requested := range p.witnesses {
		if !p.recent(requested, at) {
			missing = append(missing, slot)
		}
	}
	slices.Sort(missing)
	return missing
}

// recent reports whether a confirmation that was requested at the given time still counts.
func (p *ExpiryProof) recent(requested *clockReading, now clockReading) bool {
	return requested != nil && (p.overrides.anyAge || now.since(*requested) < p.timing.Lease())
}

// readClocks reads both clocks, since a successor whose machine was suspended must not count old confirmations as recent.
func (p *ExpiryProof) readClocks(now time.Time) clockReading {
	if p.overrides.readClocks != nil {
		return p.overrides.readClocks(now)
	}
	return readClocks(now)
}
