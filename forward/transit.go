package forward

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxClockDrift is the share of the elapsed time by which a sender's clock may fall behind. The platform's clocks run up to 2% slow.
const maxClockDrift = 0.03

// sendTime tells when a request was sent by the monotonic clock of the sending process.
type sendTime struct {
	// process identifies the run of the sending process.
	process string
	// sent is the time since the process started.
	sent time.Duration
}

// newSendTime returns the send time of a request that a process sends now. start is when the process started.
func newSendTime(start, now time.Time) sendTime {
	return sendTime{process: strconv.FormatInt(start.UnixMilli(), numberBase), sent: now.Sub(start)}
}

// String returns the send time in the form that is sent: PROCESS.MILLISECONDS, both in base numberBase.
func (s sendTime) String() string {
	return s.process + "." + strconv.FormatInt(s.sent.Milliseconds(), numberBase)
}

// parseSendTime is the inverse of sendTime.String.
func parseSendTime(text string) (sendTime, error) {
	process, sent, ok := strings.Cut(text, ".")
	ms, err := strconv.ParseInt(sent, numberBase, 64)
	if !ok || err != nil || len(process) > maxNameBytes {
		return sendTime{}, errMalformed
	}
	return sendTime{process: process, sent: time.Duration(ms) * time.Millisecond}, nil
}

const (
	// maxSenders bounds the instances whose fastest requests are kept, three times those of the largest deployment.
	maxSenders = 16 << 10
	// maxNameBytes bounds the names of a sender's slot and process.
	maxNameBytes = 256
)

// delayEstimator estimates the delay of requests from other instances. The time that a request has left is sent as a duration, since clocks
// differ. If the request is delayed on the network, or by an instance that was frozen or short of processor time, that duration is
// too long, and an upstream would run it for a caller that left long ago. The zero value is ready to use.
type delayEstimator struct {
	mu sync.Mutex
	// fastest holds the fastest request of each instance by the instance's slot.
	fastest map[string]fastestRequest
}

// fastestRequest describes the request of one instance that was in transit for the shortest time.
type fastestRequest struct {
	process string
	// sent is the time since the process started, from the request's sendTime.
	sent time.Duration
	// arrived is when the request arrived, by the local clock.
	arrived time.Time
}

// observe takes the send time of a request that arrived now, and returns how much longer the request was in transit than the fastest one of
// its sender. The first request of a process counts as not delayed.
func (d *delayEstimator) observe(slot string, s sendTime, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fastest == nil {
		d.fastest = make(map[string]fastestRequest)
	}
	if fastest, ok := d.fastest[slot]; ok && fastest.process == s.process {
		elapsed := now.Sub(fastest.arrived)
		if delay := elapsed - (s.sent - fastest.sent); delay > time.Duration(maxClockDrift*float64(elapsed)) {
			return delay
		}
	}
	if _, known := d.fastest[slot]; known || len(d.fastest) < maxSenders {
		// The process is copied because it is a part of a whole header.
		d.fastest[slot] = fastestRequest{process: strings.Clone(s.process), sent: s.sent, arrived: now}
	}
	return 0
}
