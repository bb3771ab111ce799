package forward

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxClockDrift is the share of the elapsed time by which a sender's clock may fall behind. The platform's clocks run up to 2% slow.
const maxClockDrift = 0.03

// stamp tells when a request was sent by the monotonic clock of the sending process.
type stamp struct {
	// process identifies the run of the sending process.
	process string
	// sent is the time since the process started.
	sent time.Duration
}

// newStamp returns the stamp of a request that a process sends now. start is when the process started.
func newStamp(start, now time.Time) stamp {
	return stamp{process: strconv.FormatInt(start.UnixMilli(), numberBase), sent: now.Sub(start)}
}

// String returns the stamp in the form that is sent: PROCESS.MILLISECONDS.
func (s stamp) String() string {
	return s.process + "." + strconv.FormatInt(s.sent.Milliseconds(), numberBase)
}

// parseStamp is the inverse of stamp.String.
func parseStamp(text string) (stamp, error) {
	process, sent, ok := strings.Cut(text, ".")
	ms, err := strconv.ParseInt(sent, numberBase, 64)
	if !ok || err != nil {
		return stamp{}, errMalformed
	}
	return stamp{process: process, sent: time.Duration(ms) * time.Millisecond}, nil
}

// transit estimates the delay of requests from other instances. The time that a request has left is sent as a duration, since clocks
// differ. If the request is delayed on the network, or by an instance that was frozen or short of processor time, that duration is
// too long, and an upstream would run it for a caller that left long ago. The zero value is ready to use.
type transit struct {
	mu sync.Mutex
	// senders holds the fastest request of each instance by its slot.
	senders map[string]sender
}

// sender describes the fastest request of one instance.
type sender struct {
	process string
	// sent is the time in the request's stamp.
	sent time.Duration
	// arrived is when the request arrived, by the local clock.
	arrived time.Time
}

// observe takes the stamp of a request that arrived now, and returns how much longer the request was in transit than the fastest one of
// its sender. The first request of a process counts as not delayed.
func (t *transit) observe(slot string, s stamp, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.senders == nil {
		t.senders = make(map[string]sender)
	}
	if fastest, ok := t.senders[slot]; ok && fastest.process == s.process {
		elapsed := now.Sub(fastest.arrived)
		if delay := elapsed - (s.sent - fastest.sent); delay > time.Duration(maxClockDrift*float64(elapsed)) {
			return delay
		}
	}
	t.senders[slot] = sender{process: s.process, sent: s.sent, arrived: now}
	return 0
}
