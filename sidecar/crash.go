package sidecar

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/peer"
)

// crashTimeout bounds the call that reports a crash to another instance.
const crashTimeout = time.Second

// broadcastCrash reports the fingerprints of the requests that ran when the local upstream crashed to the other instances of the service
// in the region, since the requests may be retried at any of them.
func (sc *Sidecar) broadcastCrash(fingerprints []uint64) {
	request := &peer.QuarantineRequest{Suspects: fingerprints}
	for _, r := range sc.others() {
		if r.Service != sc.settings.Service {
			continue
		}
		sc.group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
			defer cancel()
			client, err := sc.dialer.Dial(r.PeerAddress)
			if err == nil {
				_, err = client.Quarantine(ctx, request)
			}
			if err != nil {
				klog.V(1).InfoS("upstream: failed to report its crash", "slot", r.Incarnation.Slot(), "err", err)
			}
			return nil
		})
	}
}

// Quarantine receives the fingerprints of the requests that ran when another upstream of the service crashed.
func (s *peerService) Quarantine(_ context.Context, r *peer.QuarantineRequest) (*peer.QuarantineResponse, error) {
	s.sidecar.gateway.RecordCrash(r.GetSuspects())
	return &peer.QuarantineResponse{}, nil
}
