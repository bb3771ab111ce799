package caller

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sapphiretray/member"
)

// TestUnreachable guards against requests that wait for a lost owner while a successor serves already: they go on at
// once, and one probe at a time finds out whether the owner has returned.
func TestUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lost, other := member.NewIncarnation("slot-1", 1), member.NewIncarnation("slot-2", 1)
		var u unreachable
		var probes atomic.Int64
		var answers atomic.Bool
		probe := func() bool {
			probes.Add(1)
			return answers.Load()
		}
		if u.avoid(lost, probe) {
			t.Error("a member that never failed is avoided")
		}
		u.add(lost)
		// Another failure before the first request must not make it forgotten.
		u.add(member.NewIncarnation("slot-3", 1))
		for range 1000 {
			if !u.avoid(lost, probe) {
				t.Fatal("a request tries the lost member")
			}
			if u.avoid(other, probe) {
				t.Fatal("another member is avoided")
			}
			time.Sleep(time.Millisecond)
		}
		if want := int64(time.Second / probeInterval); probes.Load() != want {
			t.Errorf("%d probes within a second, want %d", probes.Load(), want)
		}
		answers.Store(true)
		time.Sleep(probeInterval)
		if !u.avoid(lost, probe) {
			t.Error("the member isn't avoided during the probe")
		}
		synctest.Wait()
		if u.avoid(lost, probe) {
			t.Error("a member that has answered is avoided")
		}
		u.add(lost)
		answers.Store(false)
		u.avoid(lost, probe)
		time.Sleep(unreachableAge)
		if u.avoid(lost, probe) {
			t.Error("a member that no request asked for is avoided for ever")
		}
		u.probes.Wait()
	})
}
