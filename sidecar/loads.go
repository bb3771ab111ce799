package sidecar

import (
	"math"
	"slices"
	"sync"
	"time"

	"sapphiretray/keyspace"
)

const (
	// loadTimeConstant is the time constant of the exponential average of a key's load. Hot spans change within seconds.
	loadTimeConstant = 2 * time.Second
	// maxSpanLoad is the load, in busy slots, up to which keys are reported as one span: about the least that is worth a separate move.
	maxSpanLoad = 0.08
	// minKeyLoad is the load, in busy slots, below which a key is no longer tracked.
	minKeyLoad = 0.001
)

// loads measures the load of each key in busy slots: the upstream time that its requests need per unit of time. The zero value is
// ready to use.
type loads struct {
	mu   sync.Mutex
	keys map[keyspace.Key]*keyLoad
}

// keyLoad is the average load of a key at a time.
type keyLoad struct {
	load float64
	at   time.Time
}

// observe adds a request for a key with the time that the upstream is expected to need for it.
func (l *loads) observe(key uint16, service time.Duration) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keys == nil {
		l.keys = make(map[keyspace.Key]*keyLoad)
	}
	k := l.keys[key]
	if k == nil {
		k = &keyLoad{at: now}
		l.keys[key] = k
	}
	k.load = k.decayed(now) + service.Seconds()/loadTimeConstant.Seconds()
	k.at = now
}

// decayed returns the load at a later time if no further request arrives.
func (k *keyLoad) decayed(now time.Time) float64 {
	return k.load * math.Exp(-now.Sub(k.at).Seconds()/loadTimeConstant.Seconds())
}

// spans returns the loads of spans that cover all tracked keys, in key order, and stops tracking keys with a negligible load.
func (l *loads) spans(now time.Time) []keyspace.SpanLoad {
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
	var spans []keyspace.SpanLoad
	for _, key := range keys {
		load := l.keys[key].decayed(now)
		if n := len(spans); n > 0 && spans[n-1].Load+load <= maxSpanLoad {
			spans[n-1].Last = key
			spans[n-1].Load += load
			continue
		}
		spans = append(spans, keyspace.SpanLoad{Range: keyspace.Range{First: key, Last: key}, Load: load})
	}
	return spans
}
