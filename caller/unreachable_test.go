package caller

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/member"
)

// TestUnreachable guards against requests that wait for a failed owner although a successor serves already. It also guards against
// more than one probe per interval, and against a member that is skipped after it has recovered.
func TestUnreachable(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		down, other := member.NewIncarnation("slot-1", 1), member.NewIncarnation("slot-2", 1)
		var u unreachable
		var probes atomic.Int64
		var reachable atomic.Bool
		probe := func() bool {
			probes.Add(1)
			return reachable.Load()
		}
		if u.shouldSkip(down, probe) {
			t.Error("a member that never failed is skipped")
		}
		u.add(down)
		// A failure of another member before the first request must not remove it.
		u.add(member.NewIncarnation("slot-3", 1))
		for range 1000 {
			if !u.shouldSkip(down, probe) {
				t.Fatal("the failed member is not skipped")
			}
			if u.shouldSkip(other, probe) {
				t.Fatal("a member that did not fail is skipped")
			}
			time.Sleep(time.Millisecond)
		}
		if want := int64(time.Second / probeInterval); probes.Load() != want {
			t.Errorf("%d probes within a second, want %d", probes.Load(), want)
		}
		reachable.Store(true)
		time.Sleep(probeInterval)
		if !u.shouldSkip(down, probe) {
			t.Error("the member is not skipped during the probe")
		}
		synctest.Wait()
		if u.shouldSkip(down, probe) {
			t.Error("a member that has responded to a probe is skipped")
		}
		u.add(down)
		reachable.Store(false)
		u.shouldSkip(down, probe)
		time.Sleep(unreachableAge)
		if u.shouldSkip(down, probe) {
			t.Error("a member without requests is still skipped after unreachableAge")
		}
		u.probes.Wait()
	})
}
