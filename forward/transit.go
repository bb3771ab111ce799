package forward

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// transitDrift is the share of the passed time by which a sender's clock may fall behind: the platform's clocks run up to 2% slow.
const transitDrift = 0.03

// stamp tells when a request was sent, by the clock of one process that never steps.
type stamp struct {
	// process differs for each run of the sender.
	process string
	sent    time.Duration
}

// stampOf returns the stamp of a request that is sent now by a process that started at the given time.
func stampOf(start, now time.Time) stamp {
	return stamp{process: strconv.FormatInt(start.UnixMilli(), versionBase), sent: now.Sub(start)}
}

// String returns the form that travels.
func (s stamp) String() string {
	return s.process + "." + strconv.FormatInt(s.sent.Milliseconds(), versionBase)
}

// parseStamp is the inverse of String.
func parseStamp(text string) (stamp, error) {
	process, sent, ok := strings.Cut(text, ".")
	ms, err := strconv.ParseInt(sent, versionBase, 64)
	if !ok || err != nil {
		return stamp{}, errMalformed
	}
	return stamp{process: process, sent: time.Duration(ms) * time.Millisecond}, nil
}

// transit estimates how much later than usual requests arrive from each other instance. The time that a request has left is
// sent as a duration, since clocks differ; if the request is held up on the way, or by an instance that was frozen or out of
// processor time, that duration is too long, and work would begin for callers that left long ago. The zero value is ready to
// use.
type transit struct {
	mu      sync.Mutex
	senders map[string]sender
}

// sender is what is known of the requests of one instance.
type sender struct {
	process string
	// sent is the stamp of the fastest request, and at its arrival.
	sent time.Duration
	at   time.Time
}

// late returns how much later than the fastest request of its sender a request has arrived. The first one of a process counts
// as punctual.
func (t *transit) late(slot string, s stamp, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.senders == nil {
		t.senders = make(map[string]sender)
	}
	if known, ok := t.senders[slot]; ok && known.process == s.process {
		passed := now.Sub(known.at)
		if delay := passed - (s.sent - known.sent); delay > time.Duration(transitDrift*float64(passed)) {
			return delay
		}
	}
	t.senders[slot] = sender{process: s.process, sent: s.sent, at: now}
	return 0
}
