package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"k8s.io/klog/v2"

	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/wait"
)

const (
	// crashTimeout bounds a call that reports a crash to another instance.
	crashTimeout = time.Second
	// crashRetryDelay is the pause before the second call to an instance that doesn't respond. It doubles with each call up to
	// maxCrashRetryDelay, so that an instance knows of the crash within 3 s after it can be reached again.
	crashRetryDelay    = 250 * time.Millisecond
	maxCrashRetryDelay = 1500 * time.Millisecond
	// crashReportPeriod is how long a crash is reported to an instance that doesn't respond.
	crashReportPeriod = 30 * time.Second
	// crashReportAge is how long the keys of received reports are kept, so that a repetition doesn't count as another crash.
	crashReportAge = 2 * crashReportPeriod
	// maxCrashReports bounds the keys that are kept.
	maxCrashReports = 4096
)

// crashReports holds the keys of the reports that were received from other instances. The zero value has none.
type crashReports struct {
	mu       sync.Mutex
	received map[string]time.Time
}

// add adds the key of a report and returns false if it has been received before.
func (c *crashReports) add(key string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for known, received := range c.received {
		if now.Sub(received) > crashReportAge {
			delete(c.received, known)
		}
	}
	if _, ok := c.received[key]; ok {
		return false
	}
	if c.received == nil {
		c.received = make(map[string]time.Time)
	}
	if len(c.received) < maxCrashReports {
		c.received[key] = now
	}
	return true
}

// broadcastCrash reports the fingerprints of the requests that ran when the local upstream crashed to the other instances of the service
// in the region, since the requests may be retried at any of them. After ctx has ended no call is repeated.
func (sc *Sidecar) broadcastCrash(ctx context.Context, fingerprints []uint64) {
	request, key := &peer.QuarantineRequest{Suspects: fingerprints}, ulid.Make().String()
	for _, r := range sc.others() {
		if r.Service == sc.settings.Service {
			sc.group.Go(func() error {
				sc.reportCrash(ctx, r, request, key)
				return nil
			})
		}
	}
}

// reportCrash reports a crash to an instance until it responds, ends or crashReportPeriod has passed.
func (sc *Sidecar) reportCrash(ctx context.Context, to member.Record, request *peer.QuarantineRequest, key string) {
	started := time.Now()
	for delay := crashRetryDelay; ; delay = min(2*delay, maxCrashRetryDelay) {
		err := sc.callQuarantine(to, request, key)
		if err == nil {
			return
		}
		klog.V(1).InfoS("upstream: failed to report its crash", "slot", to.Incarnation.Slot(), "err", err)
		if time.Since(started) > crashReportPeriod || !wait.For(ctx, delay) {
			return
		}
		current, ok := sc.directory.record(to.Incarnation.Slot())
		if !ok || current.State.Ended() || current.PeerAddress != to.PeerAddress {
			return
		}
	}
}

// callQuarantine makes one call that reports a crash. The call doesn't end with the process's context, so that a crash during a planned
// stop is reported.
func (sc *Sidecar) callQuarantine(to member.Record, request *peer.QuarantineRequest, key string) error {
	ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
	defer cancel()
	ctx, err := peer.WithIdempotencyKey(ctx, key)
	if err != nil {
		return err
	}
	client, err := sc.dialer.Dial(to.PeerAddress)
	if err != nil {
		return err
	}
	_, err = client.Quarantine(ctx, request)
	return err
}

// Quarantine receives the fingerprints of the requests that ran when another upstream of the service crashed.
func (s *peerService) Quarantine(ctx context.Context, r *peer.QuarantineRequest) (*peer.QuarantineResponse, error) {
	if key := peer.IdempotencyKey(ctx); key == "" || s.sidecar.crashReports.add(key, time.Now()) {
		s.sidecar.gateway.RecordCrash(r.GetSuspects())
	}
	return &peer.QuarantineResponse{}, nil
}
