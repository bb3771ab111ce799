package sidecar

import (
	"time"

	"sapphiretray/member"
	"sapphiretray/peer"
)

const (
	// moveDuration is how long keys take to move. An upstream that is warm by then counts as warm.
	moveDuration = 400 * time.Millisecond
	// defaultServiceTime is assumed while no upstream has reported one.
	defaultServiceTime = 100 * time.Millisecond
)

// meanServiceTime returns the mean service time of the requests of all upstreams.
func meanServiceTime(reports map[member.Incarnation]*peer.ReportRequest) time.Duration {
	seconds, requests := 0.0, 0.0
	for _, r := range reports {
		for _, t := range r.GetRoutes() {
			seconds += float64(t.GetRequests()) * t.GetSeconds()
			requests += float64(t.GetRequests())
		}
	}
	if requests == 0 {
		return defaultServiceTime
	}
	return time.Duration(seconds / requests * float64(time.Second))
}

// coldLoad returns the load that a reporting upstream bears while it is cold, in busy slots of an upstream with the mean service time, or 0
// if it is warm before keys could move to it.
func coldLoad(r *peer.ReportRequest, serviceTime time.Duration) float64 {
	if !(r.GetStartRate() > 0) || r.GetColdSeconds() <= moveDuration.Seconds() {
		return 0
	}
	return r.GetStartRate() * serviceTime.Seconds()
}
