package ownership

import (
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/member"
	"sapphiretray/partition"
	"sapphiretray/peer"
)

// TestPromiseOfOverride guards against a promise for the partition of a single key while a request for that key is in flight that was
// admitted to the partition that the key was in before: the successor would run requests for the key at the same time.
func TestPromiseOfOverride(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		owner, successor := member.NewIncarnation("slot-0", 1), member.NewIncarnation("slot-1", 1)
		m, cancel := managerOf(t, owner, &slowUpstream{held: make(map[int]uint64)}, alwaysValid{})
		defer cancel()
		before := assign(t, owner)
		m.Update(before)
		time.Sleep(time.Second)
		admission, err := m.Admit(0)
		if err != nil {
			t.Fatal(err)
		}
		entry := partition.Entry{Epoch: 2, Members: []member.Incarnation{successor}, Previous: []member.Incarnation{owner}}
		after, err := before.Change(2, []uint64{partition.Hash("k")}, []partition.Move{{Partition: 1, Entry: entry}})
		if err != nil {
			t.Fatal(err)
		}
		m.Update(after)
		later, err := m.Admit(0)
		if err != nil {
			t.Fatal(err)
		}
		defer later.Done()
		promise := func() bool {
			response, err := m.Promise(t.Context(), &peer.PromiseRequest{
				Partition: 1, Epoch: 2, Commit: true, Receiver: peer.FromIncarnation(owner), Successor: peer.FromIncarnation(successor),
			})
			if err != nil {
				t.Fatal(err)
			}
			return response.GetPromised()
		}
		if promise() {
			t.Error("promised while a request for the key may be in flight")
		}
		time.AfterFunc(time.Second, admission.Done)
		started := time.Now()
		if !promise() || time.Since(started) != time.Second {
			t.Errorf("no promise after the request has ended; took %v", time.Since(started))
		}
	})
}
