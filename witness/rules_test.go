package witness

import (
	"slices"
	"testing"
	"time"

	"sapphiretray/member"
)

// maxSearch is the number of random histories within which explore must find a violation if a rule is switched off.
const maxSearch = 20000

// TestRandomHistories guards against two incarnations that may serve a partition at the same time.
func TestRandomHistories(t *testing.T) {
	t.Parallel()
	for run := range uint64(*runsFlag) {
		if violation := explore(*seedFlag+run, disabledRules{}); violation != "" {
			t.Fatalf("seed %d: %s", *seedFlag+run, violation)
		}
	}
}

// TestJoins guards against two incarnations that may serve a partition at the same time although a restarted witness isn't silent towards
// incarnations that join after its start.
func TestJoins(t *testing.T) {
	t.Parallel()
	for run := range uint64(*runsFlag / 4) {
		if violation := exploreJoins(*seedFlag+run, disabledRules{}); violation != "" {
			t.Fatalf("seed %d: %s", *seedFlag+run, violation)
		}
	}
}

// TestJoinsNeedListing guards against a check of TestJoins that finds nothing: it must find two owners if a restarted witness is silent
// towards no incarnation.
func TestJoinsNeedListing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(maxSearch) {
		if violation := exploreJoins(seed, disabledRules{emptyListing: true}); violation != "" {
			t.Logf("seed %d: %s", seed, violation)
			return
		}
	}
	t.Errorf("no violation in %d histories", maxSearch)
}

// TestProofAfterSuspension guards against a successor that counts a confirmation from before its machine was suspended. The random
// histories of explore hardly ever contain this case: w-0 confirms, restarts while the successor is suspended and supports the owner
// again; then w-1 receives no more heartbeats and confirms.
func TestProofAfterSuspension(t *testing.T) {
	for _, test := range []struct {
		name      string
		monoOnly  bool
		twoOwners bool
	}{
		{"both clocks", false, false},
		{"rule off: monotonic clock only", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			timing := NewTiming(simLease, simLease/4, simDrift)
			at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
			slots := []string{"w-0", "w-1", "w-2"}
			witnesses := make(map[string]*Witness)
			for i, slot := range slots {
				witnesses[slot] = NewWitness(member.NewIncarnation(slot, 1), timing, uint64(100*i+1), at(-1000))
			}
			owner := NewHolder(member.NewIncarnation("o-0", 1), timing)
			if err := owner.SetWitnesses(slots); err != nil {
				t.Fatal(err)
			}
			sendHeartbeats := func(from, to int, reached ...string) {
				for ms := from; ms <= to; ms += 20 {
					for _, heartbeat := range owner.Heartbeats(at(ms)) {
						if !slices.Contains(reached, heartbeat.Witness) {
							continue
						}
						if ack, ok := witnesses[heartbeat.Witness].HandleHeartbeat(heartbeat, at(ms)); ok {
							owner.HandleAck(ack, at(ms))
						}
					}
				}
			}
			proof := NewExpiryProof(owner.self, slots, timing)
			suspended := time.Duration(0)
			proof.overrides.readClocks = func(now time.Time) clockReading {
				if test.monoOnly {
					return clockReading{mono: now.Add(-suspended), wall: now.Add(-suspended)}
				}
				return clockReading{mono: now.Add(-suspended), wall: now}
			}
			confirm := func(slot string, ms int) {
				request := proof.ConfirmationRequest(slot, at(ms))
				if !witnesses[slot].ConfirmExpiry(owner.self, at(ms)).Expired {
					t.Fatalf("%s did not confirm at %d ms", slot, ms)
				}
				proof.Confirm(request, at(ms))
			}
			sendHeartbeats(0, 0, slots...)
			sendHeartbeats(20, 120, "w-1", "w-2")
			confirm("w-0", 120)
			witnesses["w-0"] = NewWitness(member.NewIncarnation("w-0", 2), timing, 1001, at(125))
			sendHeartbeats(140, 240, "w-1", "w-2")
			sendHeartbeats(260, 360, "w-0", "w-2")
			suspended = 250 * time.Millisecond
			confirm("w-1", 371)
			if !owner.Valid(at(371)) {
				t.Fatal("the owner's lease is not valid, so the history shows nothing")
			}
			if proof.Proved() != test.twoOwners {
				t.Errorf("two owners at once: got %v, want %v", proof.Proved(), test.twoOwners)
			}
		})
	}
}

// TestFirstLeaseAfterSuspension guards against a first lease by support that has expired while the machine was suspended. The sending time
// of a reduced acknowledgement that is sent after the suspension can be earlier on the monotonic clock than that of the expired support.
func TestFirstLeaseAfterSuspension(t *testing.T) {
	timing := NewTiming(simLease, simLease/4, simDrift)
	holder := NewHolder(member.NewIncarnation("o-0", 1), timing)
	var wall time.Duration
	holder.overrides.readClocks = func(now time.Time) clockReading { return clockReading{mono: now, wall: now.Add(wall)} }
	if err := holder.SetWitnesses([]string{"w-0", "w-1", "w-2"}); err != nil {
		t.Fatal(err)
	}
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	sequence := holder.Heartbeats(at(0))[0].Sequence
	holder.HandleAck(Ack{Holder: holder.self, Witness: "w-0", Sequence: sequence, Run: 1}, at(1))
	wall = 2 * simLease
	sequence = holder.Heartbeats(at(20))[0].Sequence
	holder.HandleAck(Ack{Holder: holder.self, Witness: "w-1", Sequence: sequence, Run: 2, Reduced: true}, at(21))
	if holder.Valid(at(22)) {
		t.Error("the lease is valid by the support of one witness")
	}
	holder.HandleAck(Ack{Holder: holder.self, Witness: "w-2", Sequence: sequence, Run: 3}, at(23))
	if !holder.Valid(at(24)) || !holder.Expires().Equal(at(20).Add(simLease-timing.reduction())) {
		t.Errorf("valid: %v until %v, want until 75 ms after the last heartbeat", holder.Valid(at(24)), holder.Expires())
	}
}

// TestRulesAreNeeded guards against checks that are too weak and against rules that aren't needed: it switches off one rule at a time
// and requires that explore then finds a violation.
func TestRulesAreNeeded(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		rule string
		seed uint64 // first seed that is tried
		off  disabledRules
	}{
		{"refusal after a confirmation", 1, disabledRules{witness: witnessOverrides{noRefusal: true}}},
		{"silent period after a restart", 43, disabledRules{witness: witnessOverrides{noSilence: true}}},
		{"old confirmations don't count", 129, disabledRules{proof: proofOverrides{anyAge: true}}},
		{"echo, if a start before the expiry suffices", 1, disabledRules{voteIfStarted: true}},
		{"echo, if a heartbeat in this run suffices", 215, disabledRules{voteIfHeartbeatReceived: true}},
		{"proofs only after the first lease", 1, disabledRules{proofBeforeFirstLease: true}},
		{"drift margin", 1372, disabledRules{witness: witnessOverrides{noDrift: true}}},
		{"lease from the sending time", 1, disabledRules{holder: holderOverrides{leaseFromArrival: true}}},
		{"no lease through a plain heartbeat after an expiry", 1, disabledRules{holder: holderOverrides{resumeByHeartbeat: true}}},
		{"no heartbeat after an expiry", 1, disabledRules{holder: holderOverrides{heartbeatAfterExpiry: true}}},
		{"only votes of the newest round count", 141, disabledRules{holder: holderOverrides{votesOfAnyRound: true}}},
		{"a granted vote counts as support", 184, disabledRules{witness: witnessOverrides{voteIsNoSupport: true}}},
		{"records kept after a confirmation", 1283, disabledRules{witness: witnessOverrides{dropRecordOnConfirm: true}}},
		{"each record has its own run", 215, disabledRules{witness: witnessOverrides{sharedRun: true}}},
		{"reduced support", 1, disabledRules{holder: holderOverrides{noReduction: true}}},
		{"clocks compared by the holder", 1, disabledRules{holderMonotonicOnly: true}},
		{"no confirmation of the own slot", 1, disabledRules{witness: witnessOverrides{confirmSelf: true}}},
		{"all lower ranks proved", 1, disabledRules{previousRankOnly: true}},
	} {
		t.Run(test.rule, func(t *testing.T) {
			t.Parallel()
			first := test.seed
			if *seedFlag != 0 {
				first = *seedFlag
			}
			for seed := first; seed < first+maxSearch; seed++ {
				if violation := explore(seed, test.off); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("no violation in %d histories from seed %d", maxSearch, first)
		})
	}
}
