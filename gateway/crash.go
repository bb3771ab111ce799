package gateway

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"
)

// crashWindow is the longest time between the failure of a request's connection and the detection of a crash, for the request to count
// as a possible cause.
const crashWindow = 2 * time.Second

// interruption is a request whose connection failed while it was running.
type interruption struct {
	fingerprint uint64
	at          time.Time
}

// fingerprint returns a hash of the method, host, target and body, so that repetitions of a request have the same fingerprint.
func fingerprint(r *Request) uint64 {
	hash := xxhash.New()
	// Writes to a hash can't fail.
	_, _ = hash.WriteString(r.Method + " " + r.Host + r.Target + "\n")
	_, _ = hash.Write(r.Body)
	return hash.Sum64()
}

// recordInterruption records a request whose connection failed. g.mu must be held.
func (g *Gateway) recordInterruption(r *Request, now time.Time) {
	g.interrupted = slices.DeleteFunc(g.interrupted, func(i interruption) bool { return now.Sub(i.at) > crashWindow })
	g.interrupted = append(g.interrupted, interruption{fingerprint: r.fingerprint, at: now})
}

// takeInterrupted returns the fingerprints of the requests that may have caused a crash, and clears the list. g.mu must be held.
func (g *Gateway) takeInterrupted(now time.Time) []uint64 {
	var fingerprints []uint64
	for _, i := range g.interrupted {
		if now.Sub(i.at) <= crashWindow {
			fingerprints = append(fingerprints, i.fingerprint)
		}
	}
	g.interrupted = nil
	return fingerprints
}

// RecordCrash records the crash of another instance's upstream while requests with these fingerprints were running.
func (g *Gateway) RecordCrash(fingerprints []uint64) {
	g.crashTracker.RecordCrash(time.Now(), fingerprints)
}

// IsQuarantined reports whether a request with a fingerprint must not run because too many upstreams crashed while it was running.
func (g *Gateway) IsQuarantined(fingerprint uint64) bool {
	return g.crashTracker.IsQuarantined(time.Now(), fingerprint)
}

// HasEnded reports whether the upstream's process has ended: its address refuses connections, it ended the last connection, and none is
// open. An upstream that has announced that it leaves also stops listening and ends idle connections while it still holds keys, so this
// isn't concluded of it.
func (g *Gateway) HasEnded() bool {
	g.mu.Lock()
	refuses := g.down && !g.registry.leaving
	g.mu.Unlock()
	if !refuses {
		return false
	}
	requests, requestLost := g.pool.connections()
	controls, controlLost := g.control.connections()
	return requests+controls == 0 && (requestLost || controlLost)
}

// markDown records that the upstream's address refuses connections, and which requests may have crashed its process.
func (g *Gateway) markDown() {
	now := time.Now()
	g.mu.Lock()
	first := !g.down
	g.down = true
	g.scheduler.RefuseAll(downRetryAfter)
	run := g.registry.current.UpstreamRun
	var fingerprints []uint64
	if first {
		fingerprints = g.takeInterrupted(now)
	}
	g.mu.Unlock()
	if !first {
		return
	}
	klog.InfoS("upstream: refuses connections", "life", run, "interrupted", len(fingerprints))
	g.onChange()
	if len(fingerprints) > 0 {
		g.crashTracker.RecordCrash(now, fingerprints)
		g.onCrash(fingerprints)
	}
}
