package witness

import (
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

// TestClaimAfterSuspension guards against a successor whose machine slept counting a confirmation that left the window
// meanwhile. The witness may have restarted and support the holder again by then.
func TestClaimAfterSuspension(t *testing.T) {
	for _, test := range []struct {
		name     string
		monoOnly bool
		proved   bool
	}{
		{"both clocks", false, false},
		{"monotonic clock only, which is the fault", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			slept := time.Duration(0)
			claim := NewClaim(member.NewIncarnation("o-0", 1), []string{"w-0", "w-1", "w-2"}, Timing{})
			claim.rules.read = func(now time.Time) reading {
				if test.monoOnly {
					return reading{mono: now, wall: now}
				}
				return reading{mono: now, wall: now.Add(slept)}
			}
			claim.Confirm(claim.Request("w-0", start), start)
			slept = 2 * time.Second
			now := start.Add(time.Millisecond)
			if got := claim.Confirm(claim.Request("w-1", now), now); got != test.proved {
				t.Errorf("proved: got %v, want %v", got, test.proved)
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
