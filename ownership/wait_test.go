package ownership

import (
	"runtime"
	"sync"
	"testing"

	"sapphiretray/bubble"
	"sapphiretray/member"
	"sapphiretray/partition"
)

// TestCallsAtEnd guards against a claim or a proof that begins while Wait waits for those before, which the wait then may miss. Maps and
// notices of witnesses arrive from other instances at any time, also while a session ends.
func TestCallsAtEnd(t *testing.T) {
	self, other := member.NewIncarnation("a", 1), member.NewIncarnation("b", 1)
	successor := assign(t, other)
	entry := partition.Entry{Epoch: 2, Members: []member.Incarnation{other, self}}
	successor, err := successor.Apply(2, []partition.Move{{Partition: 0, Entry: entry}})
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		// call is made beside Wait, by a manager that knows a map.
		known *partition.Map
		call  func(m *Manager)
	}{
		{"map", nil, func(m *Manager) { m.Update(assign(t, self)) }},
		{"notice of an expiry", successor, func(m *Manager) { m.NotifyExpiry(other) }},
		{"end of an incarnation", successor, func(m *Manager) { m.SetEnded(other) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for range 200 {
				bubble.Test(t, func(t *testing.T) {
					m, end := managerOf(t, self, &slowUpstream{held: make(map[int]uint64)}, alwaysValid{})
					if test.known != nil {
						m.Update(test.known)
					}
					var group sync.WaitGroup
					group.Go(func() { test.call(m) })
					runtime.Gosched()
					group.Go(end)
					group.Wait()
					m.Wait()
				})
			}
		})
	}
}
