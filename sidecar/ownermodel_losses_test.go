package sidecar

import (
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"sapphiretray/member"
	"sapphiretray/store"
)

var (
	lossSeeds = flag.Int("owner.lossseeds", 4, "number of seeds that TestOwnershipModelLosses runs")
	lossSeed  = flag.Uint64("owner.lossseed", 1, "first seed that TestOwnershipModelLosses runs")
)

// lossRecoveryTime is how long after the loss of its holder and of witnesses each key must have an owner again.
const lossRecoveryTime = 15 * time.Second

// TestLostHolderAndWitnesses guards against keys that are never served again because their holder is lost for good with so many of its
// witnesses that no majority is left to prove the expiry of its lease.
func TestLostHolderAndWitnesses(t *testing.T) {
	tests := []struct {
		name string
		// lose loses machines, of which the holder of the keys is one, and the others its witnesses in the order of its record.
		lose func(m *ownerModel, holder *ownerNode, witnesses []*ownerNode)
	}{
		{"a witness earlier", func(_ *ownerModel, holder *ownerNode, witnesses []*ownerNode) {
			witnesses[0].lose()
			time.Sleep(3 * time.Second)
			witnesses[1].lose()
			holder.lose()
		}},
		{"the second witness after the holder", func(_ *ownerModel, holder *ownerNode, witnesses []*ownerNode) {
			witnesses[0].lose()
			holder.lose()
			time.Sleep(500 * time.Millisecond)
			witnesses[2].lose()
		}},
		{"all at once", func(_ *ownerModel, holder *ownerNode, witnesses []*ownerNode) {
			holder.lose()
			witnesses[0].lose()
			witnesses[1].lose()
		}},
		{"all at once, and all other processes restart", func(m *ownerModel, holder *ownerNode, witnesses []*ownerNode) {
			holder.lose()
			witnesses[0].lose()
			witnesses[1].lose()
			for _, n := range m.nodes {
				m.group.Go(func() { n.restartProcess(0, time.Second) })
			}
		}},
		{"all at once while the store is down", func(m *ownerModel, holder *ownerNode, witnesses []*ownerNode) {
			m.locked(func() { m.store.downUntil = time.Now().Add(3 * time.Second) })
			holder.lose()
			witnesses[0].lose()
			witnesses[1].lose()
			time.Sleep(3 * time.Second)
		}},
	}
	for n, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runOwnershipModel(t, []uint64{uint64(n + 1)}, func(m *ownerModel) {
				m.scenario = func() {
					holder, witnesses := m.holderAndWitnesses()
					if holder == nil {
						m.locked(func() { m.violate("no node with keys and three witnesses", m.samples[0], "after the start") })
						return
					}
					test.lose(m, holder, witnesses)
					time.Sleep(lossRecoveryTime)
				}
			})
		})
	}
}

// TestRecordsOfLostInstances guards against instances that never get a lease because they choose their witnesses among those of a service
// without keys that are gone: nothing proves that these have ended, so that their records stay.
func TestRecordsOfLostInstances(t *testing.T) {
	for _, gone := range []int{2, 3, 4} {
		t.Run(fmt.Sprint(gone, " of 6"), func(t *testing.T) {
			runOwnershipModel(t, []uint64{1, 2}, func(m *ownerModel) {
				m.gone = gone
				m.scenario = func() { time.Sleep(lossRecoveryTime) }
			})
		})
	}
}

// writeLostRecord makes a node that has never run a lost machine of a service without keys, and writes its record. The model's mutex
// must be held.
func (m *ownerModel) writeLostRecord(n *ownerNode) {
	n.lost = true
	value, err := json.Marshal(member.Record{
		Incarnation: member.NewIncarnation(n.slot, 1), Service: "docs", DataCentre: n.dataCentre, Region: "region", State: member.Ready,
		PeerAddress: n.address(modelPeerPort), HeartbeatAddress: n.address(modelHeartbeatPort), CallerAddress: n.address(modelCallerPort),
	})
	if err != nil {
		panic(err)
	}
	write := store.Write{Table: TableName, Key: member.RowKey(n.slot), Value: value}
	if _, err := m.store.apply(store.Transaction{Writes: []store.Write{write}}, "a lost machine"); err != nil {
		panic(err)
	}
}

// TestAllWitnessesLost guards against keys that are never served again because their holder is lost for good with all of its witnesses.
func TestAllWitnessesLost(t *testing.T) {
	runOwnershipModel(t, []uint64{1}, func(m *ownerModel) {
		m.scenario = func() {
			holder, witnesses := m.holderAndWitnesses()
			if holder == nil {
				m.locked(func() { m.violate("no node with keys and three witnesses", m.samples[0], "after the start") })
				return
			}
			for _, n := range append(witnesses, holder) {
				n.lose()
			}
			time.Sleep(lossRecoveryTime)
		}
	})
}

// holderAndWitnesses returns a node that holds keys, and those that witness its lease, or nil if there is none.
func (m *ownerModel) holderAndWitnesses() (holder *ownerNode, witnesses []*ownerNode) {
	for _, holder := range m.nodes {
		p := holder.running()
		s := p.sc.session.Load()
		if s == nil || len(s.grantManager.Serving()) == 0 || len(s.record.Witnesses) < witnessCount {
			continue
		}
		for _, slot := range s.record.Witnesses {
			n := slices.IndexFunc(m.nodes, func(n *ownerNode) bool { return n.slot == slot })
			witnesses = append(witnesses, m.nodes[n])
		}
		return holder, witnesses
	}
	return nil, nil
}

// TestOwnershipModelLosses guards against sequences of faults around machines that are lost for good, of which most may be lost, after
// which two upstreams hold the same keys or keys stay without an owner. It runs the model of TestOwnershipModel.
func TestOwnershipModelLosses(t *testing.T) {
	runOwnershipModel(t, seedsFrom(*lossSeed, *lossSeeds), func(m *ownerModel) { m.losesMachines = true })
}

// lostMachine loses a machine for good as long as two others have not been lost.
var lostMachine = ownerTrouble{"lost machine", func(m *ownerModel, n *ownerNode, d *draws) {
	left := 0
	m.locked(func() {
		for _, other := range m.nodes {
			if other != n && !other.lost && other.process != nil && other.upstream != nil {
				left++
			}
		}
	})
	if left >= 2 && d.chance(0.3) {
		n.lose()
	}
}}
