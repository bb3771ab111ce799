package sidecar

import (
	"net/http"
	"sync"
	"time"
)

const (
	// activityGap is the time without any request after which the process may have stood still, or have been cut off from the network: the
	// platform checks its readiness once a second.
	activityGap = 1200 * time.Millisecond
	// gapRelevance is how long after a gap a signal counts as one that may have been sent during the gap.
	gapRelevance = 500 * time.Millisecond
)

// activity records when requests are received on any server, to tell how late the process may have noticed a signal. The zero value is
// ready to use.
type activity struct {
	mu sync.Mutex
	// newest is when the newest request was received, or zero before the first.
	newest time.Time
	// gapBegan and gapEnded are the limits of the newest gap, or zero if there was none.
	gapBegan, gapEnded time.Time
}

// track wraps a handler to record its requests.
func (a *activity) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.observe(time.Now())
		next.ServeHTTP(w, r)
	})
}

// observe records a request that is received now.
func (a *activity) observe(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.newest.IsZero() && now.Sub(a.newest) > activityGap {
		a.gapBegan, a.gapEnded = a.newest, now
	}
	a.newest = now
}

// lateness returns for how long a signal that the process notices now may have been pending: the time since the begin of a gap that lasts
// or has just ended, or 0 if there is none.
func (a *activity) lateness(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.newest.IsZero():
		return 0
	case now.Sub(a.newest) > activityGap:
		return now.Sub(a.newest)
	case !a.gapEnded.IsZero() && now.Sub(a.gapEnded) < gapRelevance:
		return now.Sub(a.gapBegan)
	}
	return 0
}
