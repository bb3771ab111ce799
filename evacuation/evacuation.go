// Package evacuation holds which data centres the operator evacuates, and until when the upstreams there may still get requests.
//
// From the moment at which an instance learns of an evacuation it chooses no upstream of the data centre for further requests, and the
// planner moves the keys of the data centre elsewhere. Requests that are sent nevertheless, such as those for keys that haven't moved yet,
// are served until the data centre closes. It closes so early that the limit for the evacuation is kept even if the instance was the last
// to learn of it. It opens as soon as an instance learns of the end, and is chosen again a moment later.
package evacuation

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// closeMargin is the time between the last request and the limit. It covers the way of the request to its upstream, and timers that
	// fire late on a slow processor.
	closeMargin = 500 * time.Millisecond
	// defaultPropagation is the time that a change of the operator may take to reach all instances, if the settings don't say.
	defaultPropagation = 2 * time.Second
	// returnDelay is the time after the end of an evacuation from which the data centre is chosen again. Instances learn of the end at
	// different times, and those that don't know it yet refuse requests.
	returnDelay = 500 * time.Millisecond
)

// Notice is a change of the operator: the evacuation of a data centre begins or ends.
type Notice struct {
	DataCentre string
	Ended      bool
}

// Registry holds the evacuations in effect. The zero value has none, and closes data centres at once. It is safe for concurrent use.
type Registry struct {
	limit, propagation time.Duration

	mu sync.RWMutex
	// closings holds when each evacuated data centre closes, and endings when the last evacuation of each other one ended.
	closings, endings map[string]time.Time
}

// New returns an empty registry. limit is the time from the acknowledgement of an evacuation until nothing may reach the data centre any
// more, and propagation the time within which all instances learn of it; 0 selects 2 s.
func New(limit, propagation time.Duration) *Registry {
	if propagation == 0 {
		propagation = defaultPropagation
	}
	return &Registry{limit: limit, propagation: propagation}
}

// Begin records that a data centre is evacuated, and returns when it closes. age is the time for which the evacuation is known to have been
// in effect already, or may have been because the store didn't respond; 0 if it arrived as usual. It returns false if the evacuation was
// known. The data centre then closes as announced before.
func (r *Registry) Begin(dataCentre string, now time.Time, age time.Duration) (closes time.Time, begun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.closings[dataCentre]; ok {
		return known, false
	}
	if r.closings == nil {
		r.closings = make(map[string]time.Time)
	}
	left := r.limit - closeMargin - max(age, r.propagation)
	closes = now.Add(max(left, 0))
	r.closings[dataCentre] = closes
	delete(r.endings, dataCentre)
	return closes, true
}

// End records that a data centre isn't evacuated any more. It returns false if it wasn't.
func (r *Registry) End(dataCentre string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.closings[dataCentre]; !ok {
		return false
	}
	delete(r.closings, dataCentre)
	if r.endings == nil {
		r.endings = make(map[string]time.Time)
	}
	r.endings[dataCentre] = now
	return true
}

// Has reports whether a data centre is evacuated, so that its keys have to move elsewhere.
func (r *Registry) Has(dataCentre string) bool {
	_, ok := r.Closes(dataCentre)
	return ok
}

// Avoids reports whether a data centre is evacuated, or was until a moment ago, so that its upstreams are chosen for no requests and get no
// keys.
func (r *Registry) Avoids(dataCentre string, now time.Time) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if _, ok := r.closings[dataCentre]; ok {
		return true
	}
	ended, ok := r.endings[dataCentre]
	return ok && now.Sub(ended) < returnDelay
}

// Closes returns when an evacuated data centre closes, and false if it isn't evacuated. Its upstreams get no requests from then on.
func (r *Registry) Closes(dataCentre string) (time.Time, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	closes, ok := r.closings[dataCentre]
	return closes, ok
}

// ClosedFor returns how long an evacuated data centre has been closed, and false if it is open.
func (r *Registry) ClosedFor(dataCentre string, now time.Time) (time.Duration, bool) {
	closes, ok := r.Closes(dataCentre)
	if !ok || now.Before(closes) {
		return 0, false
	}
	return now.Sub(closes), true
}

// DataCentres returns the evacuated data centres in alphabetical order.
func (r *Registry) DataCentres() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Sorted(maps.Keys(r.closings))
}
