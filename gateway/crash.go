package gateway

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"
)

// crashWindow is the time before an upstream is found to have ended in which interrupted requests may have been the cause.
const crashWindow = 2 * time.Second

// interruption is a request whose connection failed while it ran.
type interruption struct {
	fingerprint uint64
	at          time.Time
}

// fingerprint identifies requests that are alike: the same method, target and body.
func fingerprint(r *Request) uint64 {
	hash := xxhash.New()
	// Writing to a hash can't fail.
	_, _ = hash.WriteString(r.Method + " " + r.Host + r.Target + "\n")
	_, _ = hash.Write(r.Body)
	return hash.Sum64()
}

// interruptedBy remembers a request whose connection failed. The lock is held.
func (g *Gateway) recordInterruption(r *Request, now time.Time) {
	g.interrupted = slices.DeleteFunc(g.interrupted, func(i interruption) bool { return now.Sub(i.at) > crashWindow })
	g.interrupted = append(g.interrupted, interruption{fingerprint: r.fingerprint, at: now})
}

// crashed takes the requests that may have ended the upstream. The lock is held.
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

// Crashed counts a crash of an upstream while requests with these fingerprints ran. Others tell of crashes beside them.
func (g *Gateway) Crashed(fingerprints []uint64) { g.suspects.Crashed(time.Now(), fingerprints) }

// markDown notes that the upstream's process has ended.
func (g *Gateway) markDown() {
	now := time.Now()
	g.mu.Lock()
	first := !g.down
	g.down = true
	g.scheduler.RefuseAll(downRetryAfter)
	life := g.registry.current.Life
	var suspects []uint64
	if first {
		suspects = g.takeInterrupted(now)
	}
	g.mu.Unlock()
	if !first {
		return
	}
	klog.InfoS("upstream: refuses connections", "life", life, "interrupted", len(suspects))
	g.onChange()
	if len(suspects) > 0 {
		g.suspects.Crashed(now, suspects)
		g.onCrash(suspects)
	}
}
