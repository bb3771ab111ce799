package sidecar

import (
	"math"
	"slices"
	"sync"
	"time"

	"sapphiretray/keyspace"
)

const (
	// loadTimeConstant is the time constant of the exponential average of a key's load. Hot ranges change within seconds.
	loadTimeConstant = 2 * time.Second
	// minLoadTime is the least time since the first request for which its load is extrapolated.
	minLoadTime = time.Second
	// loadPause is the time without requests after which the average begins anew.
	loadPause = 10 * time.Second
	// maxRangeLoad is the load, in busy slots, up to which keys are reported as one range: about the least that is worth a separate
	// move.
	maxRangeLoad = 0.08
	// minKeyLoad is the load, in busy slots, below which a key is no longer tracked.
	minKeyLoad = 0.001
)

// loads measures the load of each key in busy slots (units of the upstream's concurrency): the upstream time that its requests need per
// unit of time. The zero value is ready to use.
type loads struct {
	mu   sync.Mutex
	keys map[keyspace.Key]*keyLoad
	// first is when the first request arrived after loadPause or more without any, and last when the newest one did.
	first, last time.Time
}

// keyLoad is the average load of a key at a time.
type keyLoad struct {
	load float64
	at   time.Time
}

// observe adds a request for a key with the time that the upstream is expected to need for it.
func (l *loads) observe(key uint16, serviceTime time.Duration) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last) >= loadPause {
		l.first = now
	}
	l.last = now
	if l.keys == nil {
		l.keys = make(map[keyspace.Key]*keyLoad)
	}
	k := l.keys[key]
	if k == nil {
		k = &keyLoad{at: now}
		l.keys[key] = k
	}
	k.load = k.decayed(now) + serviceTime.Seconds()/loadTimeConstant.Seconds()
	k.at = now
}

// decayed returns the load at a later time if no further request arrives.
func (k *keyLoad) decayed(now time.Time) float64 {
	return k.load * math.Exp(-now.Sub(k.at).Seconds()/loadTimeConstant.Seconds())
}

// rangeLoads returns the loads of ranges that cover all tracked keys, in key order, and stops tracking keys with a negligible load.
func (l *loads) rangeLoads(now time.Time) []keyspace.RangeLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := make([]keyspace.Key, 0, len(l.keys))
	for key, k := range l.keys {
		if k.decayed(now) < minKeyLoad {
			delete(l.keys, key)
			continue
		}
		keys = append(keys, key)
	}
	slices.Sort(keys)
	var ranges []keyspace.RangeLoad
	scale := l.scale(now)
	for _, key := range keys {
		load := scale * l.keys[key].decayed(now)
		if n := len(ranges); n > 0 && ranges[n-1].Load+load <= maxRangeLoad {
			ranges[n-1].Last = key
			ranges[n-1].Load += load
			continue
		}
		ranges = append(ranges, keyspace.RangeLoad{Range: keyspace.Range{First: key, Last: key}, Load: load})
	}
	return ranges
}

// scale returns the factor that makes up for the time before the first request, which the average counts as one without load. Without it,
// the loads in the first seconds of traffic are a part of the real ones, and the fastest upstreams get more ranges than they can serve.
func (l *loads) scale(now time.Time) float64 {
	since := max(now.Sub(l.first), minLoadTime)
	return 1 / (1 - math.Exp(-since.Seconds()/loadTimeConstant.Seconds()))
}
