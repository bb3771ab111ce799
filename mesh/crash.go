package mesh

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/peer"
)

// crashTimeout bounds the call that tells another instance of a crash.
const crashTimeout = time.Second

// broadcastCrash tells all instances which requests ran when the upstream here ended: such a request may come again at any of them.
func (m *Mesh) broadcastCrash(fingerprints []uint64) {
	request := &peer.QuarantineRequest{Suspects: fingerprints}
	for _, r := range m.others() {
		if r.Service != m.settings.Service {
			continue
		}
		m.group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
			defer cancel()
			client, err := m.dialer.Dial(r.PeerAddress)
			if err == nil {
				_, err = client.Quarantine(ctx, request)
			}
			if err != nil {
				klog.V(1).InfoS("upstream: crash not told", "slot", r.Incarnation.Slot(), "err", err)
			}
			return nil
		})
	}
}

// Quarantine takes the requests that ran when another upstream of the service ended.
func (s *peerService) Quarantine(_ context.Context, r *peer.QuarantineRequest) (*peer.QuarantineResponse, error) {
	s.mesh.gateway.Crashed(r.GetSuspects())
	return &peer.QuarantineResponse{}, nil
}
