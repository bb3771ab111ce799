package witness

import (
	"fmt"
	"testing"
	"time"

	"sapphiretray/member"
)

// TestRecordLimitAndRetention guards against records that are never dropped, and against many holders exhausting the memory.
func TestRecordLimitAndRetention(t *testing.T) {
	now := time.Now()
	w := NewWitness(member.NewIncarnation("w-0", 1), Timing{}, 1, now)
	now = w.SilentUntil()
	for i := range maxRecords + 10 {
		holder := member.NewIncarnation(fmt.Sprintf("o-%d", i), 1)
		_, acknowledged := w.HandleHeartbeat(Heartbeat{Holder: holder, Sequence: 1}, now)
		confirmed := w.ConfirmExpiry(holder, now).Expired
		if acknowledged != (i < maxRecords) || confirmed {
			t.Fatalf("holder %d: acknowledged %v, confirmed %v", i, acknowledged, confirmed)
		}
	}
	now = now.Add(Timing{}.LeaseWithDrift())
	if expired := w.TakeExpired(now); len(expired) != maxRecords {
		t.Errorf("%d holders expired, want %d", len(expired), maxRecords)
	}
	now = now.Add(retentionLeases * Timing{}.LeaseWithDrift())
	if expired := w.TakeExpired(now); len(expired) != 0 || w.Records() != 0 {
		t.Errorf("%d holders expired again, %d records left", len(expired), w.Records())
	}
}

// TestReportAfterConfirmation guards against successors that aren't notified because the expiry was already confirmed to another.
func TestReportAfterConfirmation(t *testing.T) {
	now := time.Now()
	w := NewWitness(member.NewIncarnation("w-0", 1), Timing{}, 1, now)
	holder := member.NewIncarnation("o-0", 1)
	now = w.SilentUntil()
	w.HandleHeartbeat(Heartbeat{Holder: holder, Sequence: 1}, now)
	now = now.Add(Timing{}.LeaseWithDrift())
	if !w.ConfirmExpiry(holder, now).Expired {
		t.Fatal("the expiry was not confirmed")
	}
	first, second := w.TakeExpired(now), w.TakeExpired(now)
	if len(first) != 1 || len(second) != 0 {
		t.Errorf("reports: got %d, then %d, want 1, then 0", len(first), len(second))
	}
}

// TestTermUsesBothClocks guards against a lease that stays valid beyond its duration on the wall clock because the machine was
// suspended, and against a wall clock that is set back and prolongs a lease.
func TestTermUsesBothClocks(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name       string
		mono, wall time.Duration
		valid      bool
	}{
		{"both within", 100 * time.Millisecond, 100 * time.Millisecond, true},
		{"suspended", 100 * time.Millisecond, 700 * time.Millisecond, false},
		{"wall clock set back", 700 * time.Millisecond, -time.Hour, false},
		{"at the end", 600 * time.Millisecond, 600 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			term := Term{start: readClocks(now), lease: DefaultLease, generation: 1}
			at := clockReading{mono: now.Add(test.mono), wall: now.Round(0).Add(test.wall)}
			if got := term.validAt(at); got != test.valid {
				t.Errorf("valid: got %v, want %v", got, test.valid)
			}
		})
	}
}
