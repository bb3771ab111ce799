package witness

import (
	"math/rand/v2"
	"testing"
	"time"

	"sapphiretray/member"
)

const (
	// simBacking is the time for which leases last without backing in simulated histories, and simRevocationDuration the length of those
	// with revocations.
	simBacking            = 2 * simLease
	simRevocationDuration = 30 * simLease
)

// simRevocations is the store of a simulation in which leases are revoked.
type simRevocations struct {
	random *rand.Rand
	// revoked holds the incarnations that are revoked in the store, and away until when a process has no contact to the store.
	revoked map[member.Incarnation]bool
	away    map[*process]time.Duration
	// proofs holds, by successor, those about the owners of lower ranks.
	proofs map[*process]map[member.Incarnation]*RevocationProof
	// revoke, check, ask and cut are the probabilities of the steps.
	revoke, check, ask, cut float64
}

// exploreRevocations is like explore, but owners require backing, and successors revoke them at a store. Few witnesses confirm to a
// successor, so that most proofs need the revocation.
func exploreRevocations(seed uint64, disabled disabledRules) string {
	s := newSimulation(seed, disabled)
	random := rand.New(rand.NewPCG(seed, 0x5709))
	pick := func(values ...float64) float64 { return values[random.IntN(len(values))] }
	s.revocations = &simRevocations{
		random: random, revoked: make(map[member.Incarnation]bool), away: make(map[*process]time.Duration),
		proofs: make(map[*process]map[member.Incarnation]*RevocationProof),
		revoke: pick(0.02, 0.2), check: pick(0.1, 0.5), ask: pick(0.05, 0.9), cut: pick(0.01, 0.05),
	}
	s.probabilities.requestConfirmation = pick(0, 0.02)
	s.probabilities.requestVotes, s.probabilities.restart = 0.5, pick(0.1, 0.4)
	return s.run()
}

// duration returns the length of the history.
func (s *simulation) duration() time.Duration {
	if s.revocations != nil {
		return simRevocationDuration
	}
	return simDuration
}

// addRevocations makes the holder of a new owner require backing, and gives its process the proofs about the owners of lower ranks.
func (s *simulation) addRevocations(p *process, rank int) {
	p.holder.RequireBacking(simBacking)
	p.holder.noteUnrevoked(p.holder.overrides.readClocks(s.clock(p)), s.clock(p))
	s.revocations.proofs[p] = make(map[member.Incarnation]*RevocationProof)
	for _, owner := range s.owners[:rank] {
		if owner.holder == nil {
			continue
		}
		proof := NewRevocationProof(owner.holder.self, s.witnesses, simBacking, s.timing)
		proof.overrides = s.disabled.revocation
		if proof.overrides.noDrift {
			proof.needed = simBacking
		}
		s.revocations.proofs[p][owner.holder.self] = proof
	}
}

// provedRevoked reports whether a successor has proved the expiry of a revoked lease.
func (s *simulation) provedRevoked(p *process, holder member.Incarnation) bool {
	return s.revocations != nil && s.revocations.proofs[p][holder].Proved(s.clock(p))
}

// stepRevocations lets an owner check its registration, and a successor revoke the owners of lower ranks and ask their witnesses.
func (s *simulation) stepRevocations(p *process) {
	rs := s.revocations
	if rs.random.Float64() < rs.cut {
		rs.away[p] = s.now + time.Duration(rs.random.Int64N(int64(6*simLease)))
	}
	if rs.random.Float64() < rs.check {
		s.checkRegistration(p)
	}
	for rank, owner := range s.owners[:p.rank] {
		if s.lastValid[rank] < 0 {
			continue
		}
		holder := member.NewIncarnation(owner.slot, 1)
		proof, ok := rs.proofs[p][holder]
		if !ok {
			continue
		}
		if rs.random.Float64() < rs.revoke {
			s.callStore(p, func() { rs.revoked[holder] = true }, func() { proof.NoteRevoked(s.clock(p)) })
		}
		for _, slot := range s.witnesses {
			if rs.random.Float64() < rs.ask {
				s.askForRevocation(p, proof, s.processBySlot(slot))
			}
		}
	}
}

// checkRegistration lets an owner ask the store whether it is revoked. It ignores that it is: the check must not be needed for safety.
func (s *simulation) checkRegistration(p *process) {
	holder, at, revoked := p.holder, p.holder.overrides.readClocks(s.clock(p)), false
	s.callStore(p, func() { revoked = s.revocations.revoked[holder.self] }, func() {
		if !revoked {
			holder.noteUnrevoked(at, s.clock(p))
		}
	})
}

// callStore calls the store, which runs call, and lets the process run done with the response. Either may be lost.
func (s *simulation) callStore(p *process, call, done func()) {
	rs := s.revocations
	delay := func() time.Duration { return time.Duration(rs.random.Int64N(int64(simLease / 20))) }
	if rs.away[p] > s.now {
		return
	}
	s.after(delay(), func() {
		call()
		s.after(delay(), func() { s.runOn(p, done) })
	})
}

// askForRevocation asks a witness whether it confirms the expiry.
func (s *simulation) askForRevocation(p *process, proof *RevocationProof, to *process) {
	requested := s.clock(p)
	s.send(p, to, func() {
		confirmation := to.witness.ConfirmExpiry(proof.Holder(), s.clock(to))
		s.send(to, p, func() {
			if !confirmation.Expired {
				proof.Deny(to.slot)
				return
			}
			before := proof.Proved(s.clock(p))
			if proof.Confirm(to.slot, confirmation.Run, requested, s.clock(p)) && !before && s.revocations.random.Float64() < 0.5 {
				// The store comes back from a copy that lacks the revocation.
				delete(s.revocations.revoked, proof.Holder())
			}
		})
	})
}

// TestRevocations guards against a successor that serves beside a revoked owner: one whose witnesses the successor can't reach, and that
// has no contact to the store.
func TestRevocations(t *testing.T) {
	t.Parallel()
	for run := range uint64(*runsFlag) {
		if violation := exploreRevocations(*seedFlag+run, disabledRules{}); violation != "" {
			t.Fatalf("seed %d: %s", *seedFlag+run, violation)
		}
	}
}

// TestRulesOfRevocationAreNeeded guards against a check of TestRevocations that finds nothing: it switches off one rule at a time.
func TestRulesOfRevocationAreNeeded(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		rule string
		seed uint64 // first seed that is tried
		off  disabledRules
	}{
		{"an unbacked lease ends for good", 0, disabledRules{holder: holderOverrides{noBackingLapse: true}}},
		{"all witnesses back a lease", 0, disabledRules{holder: holderOverrides{majorityBacks: true}}},
		{"confirmations of one record", 2005439, disabledRules{revocation: revocationOverrides{anyRun: true}}},
		{"the holder is revoked", 0, disabledRules{revocation: revocationOverrides{unrevoked: true}}},
		{"a witness has refused the holder for some time", 788, disabledRules{revocation: revocationOverrides{oneResponse: true}}},
		{"drift margin", 14065, disabledRules{revocation: revocationOverrides{noDrift: true}}},
	} {
		t.Run(test.rule, func(t *testing.T) {
			t.Parallel()
			for seed := test.seed; seed < test.seed+maxSearch; seed++ {
				if violation := exploreRevocations(seed, test.off); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("no violation in %d histories", maxSearch)
		})
	}
}

// TestLostWitnesses guards against keys that stay with a holder that is lost for good because a majority of its witnesses is, too.
func TestLostWitnesses(t *testing.T) {
	now := time.Now()
	holder := member.NewIncarnation("holder", 1)
	remaining := NewWitness(member.NewIncarnation("w-2", 1), Timing{}, 1, now)
	majorityProof := NewExpiryProof(holder, []string{"w-0", "w-1", "w-2"}, Timing{})
	proof := NewRevocationProof(holder, []string{"w-0", "w-1", "w-2"}, 6*time.Second, Timing{})
	proof.NoteRevoked(now)
	for began := now; !proof.Proved(now); now = now.Add(100 * time.Millisecond) {
		if took := now.Sub(began); took > 8*time.Second {
			t.Fatalf("not proved in %v", took)
		}
		request := majorityProof.ConfirmationRequest("w-2", now)
		if c := remaining.ConfirmExpiry(holder, now); c.Expired {
			proof.Confirm("w-2", c.Run, now, now)
			if majorityProof.Confirm(request, now) {
				t.Fatal("one of three witnesses proved the expiry alone")
			}
		}
	}
}

// TestHolderWithoutOtherWitnesses guards against a lease that nobody can prove to have expired, because its only witness is the holder's
// own process. Such a lease needs the store, and its revocation is proved by time alone.
func TestHolderWithoutOtherWitnesses(t *testing.T) {
	const backing = 6 * time.Second
	began := time.Now()
	self := member.NewIncarnation("holder", 1)
	h, w := NewHolder(self, Timing{}), NewWitness(self, Timing{}, 1, began)
	h.RequireBacking(backing)
	h.NoteUnrevoked(began, began)
	if err := h.SetWitnesses([]string{"holder"}); err != nil {
		t.Fatal(err)
	}
	proof := NewRevocationProof(self, []string{"holder"}, backing, Timing{})
	proof.NoteRevoked(began)
	for now := began; now.Sub(began) < backing+time.Second; now = now.Add(100 * time.Millisecond) {
		for _, heartbeat := range h.Heartbeats(now) {
			if ack, ok := w.HandleHeartbeat(heartbeat, now); ok {
				h.HandleAck(ack, now)
			}
		}
		if valid := h.Valid(now); valid != (now.Sub(began) < backing) || valid && proof.Proved(now) {
			t.Fatalf("after %v: valid %v, proved expired %v", now.Sub(began), valid, proof.Proved(now))
		}
	}
	if !proof.Proved(began.Add(backing + time.Second)) {
		t.Error("the expiry isn't proved")
	}
}
