package instance

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/caller"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/timeline"
	"sapphiretray/wait"
)

const (
	// quarantinePeriod is how long fingerprints are sent to a member that doesn't respond, and maxQuarantineDelay the longest pause between
	// two calls. The first pause is retryDelay, and it doubles with each call.
	quarantinePeriod   = 30 * time.Second
	maxQuarantineDelay = 1500 * time.Millisecond
)

// broadcastQuarantine sends the fingerprints of requests that may have crashed the upstream (suspects) or are known to
// (quarantined) to the other members of the service.
func (i *Instance) broadcastQuarantine(suspects, quarantined []uint64) {
	i.log.Add(timeline.Event{
		Chart: "quarantine", Subject: i.settings.Service(), Trigger: "upstream-crashed",
		Reason: describeFingerprints(suspects, quarantined),
	})
	for _, m := range i.directory.all() {
		if m.Service != i.settings.Service() || m.State.Ended() || m.Incarnation.Slot() == i.settings.Slot() {
			continue
		}
		i.background.Go(func() { i.sendQuarantine(m, suspects, quarantined) })
	}
}

// sendQuarantine sends fingerprints to a member until it responds, has left or quarantinePeriod has passed. After the end of the process
// no call is repeated. The receiver may get them more than once, which only prolongs the time for which they are kept.
func (i *Instance) sendQuarantine(to member.Record, suspects, quarantined []uint64) {
	began := time.Now()
	for delay := retryDelay; ; delay = min(2*delay, maxQuarantineDelay) {
		remaining := caller.DefaultQuarantineAge - time.Since(began)
		err := i.callQuarantine(to, &peer.QuarantineRequest{
			Suspects: suspects, Fingerprints: quarantined, RemainingMs: remaining.Milliseconds(),
		})
		if err == nil {
			return
		}
		klog.V(1).Infof("quarantine: fingerprints not sent to %s: %v", to.Incarnation.Slot(), err)
		if time.Since(began) > quarantinePeriod || !wait.For(i.lifetime, delay) {
			return
		}
		// An incarnation that has expired may be followed by another one of the same process.
		if current, ok := i.directory.slot(to.Incarnation.Slot()); !ok || current.State == member.Left {
			return
		}
	}
}

// callQuarantine makes one call that sends fingerprints to a member.
func (i *Instance) callQuarantine(to member.Record, request *peer.QuarantineRequest) error {
	client, err := i.dialer.Dial(to.PeerAddress)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	_, err = client.Quarantine(ctx, request)
	return err
}

func describeFingerprints(suspects, quarantined []uint64) string {
	return fmt.Sprintf("suspected %x, quarantined %x", suspects, quarantined)
}
