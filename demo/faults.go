package demo

import "sapphiretray/fake"

// Cut holds back the data that flows between two instances on connections and flows that either of them opened. Both have to be
// relayed. Toward drops what from sends to to, and back what to sends to from.
func Cut(from, to *Node, toward, back bool) {
	var outbound, inbound fake.Direction
	if toward {
		outbound, inbound = outbound|fake.Outbound, inbound|fake.Inbound
	}
	if back {
		outbound, inbound = outbound|fake.Inbound, inbound|fake.Outbound
	}
	to.relay.Cut(from.spec.IP, outbound)
	from.relay.Cut(to.spec.IP, inbound)
}

// Isolate cuts an instance off from all others, in the directions given; Rejoin ends this.
func (d *Deployment) Isolate(n *Node, toward, back bool) {
	for _, other := range d.nodes {
		if other != n {
			Cut(n, other, toward, back)
		}
	}
}

// Rejoin ends the cuts between an instance and all others.
func (d *Deployment) Rejoin(n *Node) { d.Isolate(n, false, false) }
