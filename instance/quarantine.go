package instance

import (
	"context"
	"fmt"

	"sapphiretray/caller"
	"sapphiretray/peer"
	"sapphiretray/timeline"
)

// broadcastQuarantine sends the fingerprints of requests that may have crashed the upstream (suspects) or are known to
// (quarantined) to the other members of the service.
func (i *Instance) broadcastQuarantine(suspects, quarantined []uint64) {
	request := &peer.QuarantineRequest{
		Suspects: suspects, Fingerprints: quarantined, RemainingMs: caller.DefaultQuarantineAge.Milliseconds(),
	}
	i.log.Add(timeline.Event{
		Chart: "quarantine", Subject: i.settings.Service(), Trigger: "upstream-crashed",
		Reason: describeFingerprints(suspects, quarantined),
	})
	for _, m := range i.directory.all() {
		if m.Service != i.settings.Service() || m.State.Ended() || m.Incarnation.Slot() == i.settings.Slot() {
			continue
		}
		client, err := i.dialer.Dial(m.PeerAddress)
		if err != nil {
			continue
		}
		i.background.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
			defer cancel()
			_, _ = client.Quarantine(ctx, request)
		})
	}
}

func describeFingerprints(suspects, quarantined []uint64) string {
	return fmt.Sprintf("suspected %x, quarantined %x", suspects, quarantined)
}
