package witness

import (
	"fmt"
	"testing"
	"time"

	"sapphiretray/member"
)

// TestMemory guards against records that stay for ever, and against a flood of holders that exhausts the memory.
func TestMemory(t *testing.T) {
	now := time.Now()
	w := NewWitness(member.NewIncarnation("w-0", 1), Timing{}, 1, now)
	now = w.SilentUntil()
	for i := range maxRecords + 10 {
		holder := member.NewIncarnation(fmt.Sprintf("o-%d", i), 1)
		_, acknowledged := w.Heartbeat(Heartbeat{Holder: holder, Sequence: 1}, now)
		confirmed := w.ConfirmExpiry(holder, now).Expired
		if acknowledged != (i < maxRecords) || confirmed {
			t.Fatalf("holder %d: acknowledged %v, confirmed %v", i, acknowledged, confirmed)
		}
	}
	now = now.Add(Timing{}.Wait())
	if expired := w.Expired(now); len(expired) != maxRecords {
		t.Errorf("%d holders expired, want %d", len(expired), maxRecords)
	}
	now = now.Add(retention * Timing{}.Wait())
	if expired := w.Expired(now); len(expired) != 0 || w.Records() != 0 {
		t.Errorf("%d holders expired again, %d records left", len(expired), w.Records())
	}
}

// TestReadings guards against a suspended machine's lease that outlives its time on the wall clock, and against a wall
// clock that is set back and prolongs a lease.
func TestReadings(t *testing.T) {
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
			term := Term{base: read(now), lease: DefaultLease, generation: 1}
			at := reading{mono: now.Add(test.mono), wall: now.Round(0).Add(test.wall)}
			if got := term.covers(at); got != test.valid {
				t.Errorf("valid: got %v, want %v", got, test.valid)
			}
		})
	}
}
