package witness

import (
	"slices"
	"time"

	"sapphiretray/member"
)

// Claim is a successor's collection of expiry confirmations for one holder. It may only be made for a holder whose first
// lease was valid before: a witness that has never heard of a holder confirms at once, and would support it again after
// a restart.
type Claim struct {
	holder    member.Incarnation
	timing    Timing
	witnesses map[string]*reading
	proved    bool
	rules     claimRules
}

// claimRules switches off rules in tests, to show that the exploration notices their absence.
type claimRules struct {
	noWindow bool
	read     func(now time.Time) reading
}

// Request marks a question to one witness and its sending time.
type Request struct {
	witness string
	at      reading
}

// Witness returns the slot that is asked.
func (r Request) Witness() string { return r.witness }

// NewClaim returns a claim against a holder with the given witnesses.
func NewClaim(holder member.Incarnation, witnesses []string, timing Timing) *Claim {
	c := &Claim{holder: holder, timing: timing, witnesses: make(map[string]*reading)}
	for _, slot := range witnesses {
		c.witnesses[slot] = nil
	}
	return c
}

// Holder returns the incarnation whose lease is claimed to have expired.
func (c *Claim) Holder() member.Incarnation { return c.holder }

// Request returns the mark of a question that is sent to a witness now.
func (c *Claim) Request(witness string, now time.Time) Request {
	return Request{witness: witness, at: c.read(now)}
}

// Confirm takes a witness's confirmation and reports whether the expiry is proved.
//
// Confirmations count together only while each was requested within the last lease. A witness that restarts forgets
// that it confirmed and is silent for longer than that, so it can't support the holder again while its confirmation
// counts. A proof, once complete, stays: the lease had expired by then and no majority is left to re-acquire it.
func (c *Claim) Confirm(request Request, now time.Time) bool {
	previous, known := c.witnesses[request.witness]
	if !known || c.proved {
		return c.proved
	}
	if previous == nil || request.at.mono.After(previous.mono) {
		c.witnesses[request.witness] = &request.at
	}
	at, counted := c.read(now), 0
	for _, requested := range c.witnesses {
		if c.counts(requested, at) {
			counted++
		}
	}
	c.proved = counted >= majority(len(c.witnesses))
	return c.proved
}

// Proved reports whether a majority has confirmed the expiry within the window.
func (c *Claim) Proved() bool { return c.proved }

// Missing returns the witnesses whose confirmation is missing or has left the window, in order.
func (c *Claim) Missing(now time.Time) []string {
	var missing []string
	at := c.read(now)
	for slot, requested := range c.witnesses {
		if !c.counts(requested, at) {
			missing = append(missing, slot)
		}
	}
	slices.Sort(missing)
	return missing
}

func (c *Claim) counts(requested *reading, now reading) bool {
	return requested != nil && (c.rules.noWindow || now.since(*requested) < c.timing.Lease())
}

// read takes both clocks: a successor whose machine was suspended must not count old confirmations as recent.
func (c *Claim) read(now time.Time) reading {
	if c.rules.read != nil {
		return c.rules.read(now)
	}
	return read(now)
}
