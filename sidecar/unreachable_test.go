package sidecar

import (
	"context"
	"math"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/caller"
	"sapphiretray/fake"
	"sapphiretray/peer"
)

// memoryNetwork is a Network in memory.
type memoryNetwork struct{ *fake.Network }

// newMemoryNetwork returns a network without latency whose connections HTTP/2 can use, see fake.Network.
func newMemoryNetwork() memoryNetwork {
	return memoryNetwork{&fake.Network{Window: func(_, _ netip.AddrPort) int { return math.MaxInt }}}
}

// Listen implements Network.
func (n memoryNetwork) Listen(_ context.Context, address string) (net.Listener, error) {
	return n.Network.Listen(address)
}

// TestUnreachableUntilItResponds guards against an instance that counts as reachable although its process stands still: the kernel accepts
// connections for it, and each request waits there until its instance counts as silent.
func TestUnreachableUntilItResponds(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const slot, address, still = "10.0.0.1", "10.0.0.1:1", 3 * time.Second
		network := newMemoryNetwork()
		listener, err := network.Listen(t.Context(), address)
		if err != nil {
			t.Fatal(err)
		}
		server := caller.NewHTTPServer(peer.NewHandler(newPeerService()))
		sc := newLinkedSidecar(t, &slowLink{}, 2)
		sc.adapters.Network = network
		sc.dialer = peer.NewDialer(sc.newTransport(peer.ControlIdleTimeout))
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = server.Serve(listener) })
		group.Go(func() { sc.probeUnreachable(ctx) })
		network.HoldAccept(address, still)
		sc.directory.MarkUnreachable(slot)
		marked := time.Now()
		for len(sc.directory.unreachableSlots()) > 0 && time.Since(marked) < 2*still {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(marked); took < still || took > still+2*probeInterval {
			t.Errorf("reachable again after %v, want that once the process runs after %v", took, still)
		}
		cancel()
		_ = server.Close()
		group.Wait()
		_ = sc.group.Wait()
	})
}
