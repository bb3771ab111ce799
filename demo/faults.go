package demo

import "sapphiretray/fake"

// Cut simulates a network partition between two instances, on connections and UDP flows that either of them opened. Both have to be
// relayed. aToB cuts what a sends to b, and bToA what b sends to a; with neither, the partition ends.
func Cut(a, b *Node, aToB, bToA bool) {
	var outbound, inbound fake.Direction
	if aToB {
		outbound, inbound = outbound|fake.Outbound, inbound|fake.Inbound
	}
	if bToA {
		outbound, inbound = outbound|fake.Inbound, inbound|fake.Outbound
	}
	b.relay.Cut(a.spec.IP, outbound)
	a.relay.Cut(b.spec.IP, inbound)
}

// Isolate cuts what an instance sends to all others, what it receives from them, or both; Rejoin ends this.
func (d *Deployment) Isolate(n *Node, sent, received bool) {
	for _, other := range d.nodes {
		if other != n {
			Cut(n, other, sent, received)
		}
	}
}

// Rejoin ends the cuts between an instance and all others.
func (d *Deployment) Rejoin(n *Node) { d.Isolate(n, false, false) }
