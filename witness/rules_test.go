package witness

import (
	"slices"
	"testing"
	"time"

	"sapphiretray/member"
)

// maxSearch bounds the runs in which a switched-off rule must be noticed.
const maxSearch = 20000

// TestExploration guards against two incarnations that may serve one partition at once.
func TestExploration(t *testing.T) {
	t.Parallel()
	for run := range uint64(*runsFlag) {
		if violation := explore(*seedFlag+run, switches{}); violation != "" {
			t.Fatalf("seed %d: %s", *seedFlag+run, violation)
		}
	}
}

// TestClaimAfterSuspension guards against a successor whose machine slept and that counts a confirmation which left the
// window meanwhile. The exploration hardly ever meets this history: w-0 confirms, restarts while the successor sleeps and
// supports the owner again; then w-1 loses the owner and confirms.
func TestClaimAfterSuspension(t *testing.T) {
	for _, test := range []struct {
		name     string
		monoOnly bool
		both     bool
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
			beat := func(from, to int, reached ...string) {
				for ms := from; ms <= to; ms += 20 {
					for _, heartbeat := range owner.Heartbeats(at(ms)) {
						if !slices.Contains(reached, heartbeat.Witness) {
							continue
						}
						if ack, ok := witnesses[heartbeat.Witness].Heartbeat(heartbeat, at(ms)); ok {
							owner.Acknowledge(ack, at(ms))
						}
					}
				}
			}
			claim := NewClaim(owner.self, slots, timing)
			slept := time.Duration(0)
			claim.rules.read = func(now time.Time) reading {
				if test.monoOnly {
					return reading{mono: now.Add(-slept), wall: now.Add(-slept)}
				}
				return reading{mono: now.Add(-slept), wall: now}
			}
			ask := func(slot string, ms int) {
				request := claim.Request(slot, at(ms))
				if !witnesses[slot].ConfirmExpiry(owner.self, at(ms)).Expired {
					t.Fatalf("%s did not confirm at %d ms", slot, ms)
				}
				claim.Confirm(request, at(ms))
			}
			beat(0, 0, slots...)
			beat(20, 120, "w-1", "w-2")
			ask("w-0", 120)
			witnesses["w-0"] = NewWitness(member.NewIncarnation("w-0", 2), timing, 1001, at(125))
			beat(140, 240, "w-1", "w-2")
			beat(260, 360, "w-0", "w-2")
			slept = 250 * time.Millisecond
			ask("w-1", 371)
			if !owner.Valid(at(371)) {
				t.Fatal("the owner's lease is not valid, so the history shows nothing")
			}
			if claim.Proved() != test.both {
				t.Errorf("two owners at once: got %v, want %v", claim.Proved(), test.both)
			}
		})
	}
}

// TestRulesAreNeeded switches off one rule at a time and fails if the exploration doesn't notice: the checker would be
// too weak or the rule needless.
func TestRulesAreNeeded(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		rule string
		seed uint64 // found from here on
		off  switches
	}{
		{"refusal after a confirmation", 1, switches{witness: witnessRules{noRefusal: true}}},
		{"silence after a restart", 43, switches{witness: witnessRules{noSilence: true}}},
		{"window of confirmations", 129, switches{claim: claimRules{noWindow: true}}},
		{"echo, if a start before the expiry suffices", 1, switches{startedRule: true}},
		{"echo, if an acknowledgement in this run suffices", 215, switches{ackedRule: true}},
		{"claims only after the first lease", 1, switches{early: true}},
		{"drift margin", 1372, switches{witness: witnessRules{noDrift: true}}},
		{"lease from the sending time", 1, switches{holder: holderRules{leaseFromArrival: true}}},
		{"no lease through a plain heartbeat after an expiry", 1, switches{holder: holderRules{resumeByHeartbeat: true}}},
		{"no heartbeat after an expiry", 1, switches{holder: holderRules{sendExpired: true}}},
		{"votes of one round", 141, switches{holder: holderRules{votesOfAnyRound: true}}},
		{"a vote is support", 184, switches{witness: witnessRules{voteIsNoSupport: true}}},
		{"records kept for a wait", 1283, switches{witness: witnessRules{forgetAtOnce: true}}},
		{"a run for each record", 215, switches{witness: witnessRules{oneRun: true}}},
		{"reduced support", 1, switches{holder: holderRules{noReduction: true}}},
		{"clocks compared by the holder", 1, switches{holderMono: true}},
		{"no confirmation of the own slot", 1, switches{witness: witnessRules{confirmSelf: true}}},
		{"all lower ranks proved", 1, switches{oneClaim: true}},
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
			t.Errorf("no violation in %d runs from seed %d", maxSearch, first)
		})
	}
}
