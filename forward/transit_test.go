package forward

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/gateway"
)

// TestDelayedRequest guards against running requests whose callers have left: a request that was delayed for seconds in transit, or by
// its receiver, has that much less time left. Neither a slow clock nor a restart of the sender may shorten the time of requests that
// weren't delayed.
func TestDelayedRequest(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var delays delayEstimator
		started := time.Now().Add(-time.Hour)
		left := func(delay time.Duration, rate float64) time.Duration {
			now := time.Now()
			s := newSendTime(started, started.Add(time.Duration(rate*float64(now.Sub(started)))))
			call := encodeCall(&gateway.Request{Deadline: now.Add(time.Second)}, now, Versions{Slot: "a"}, s)
			time.Sleep(delay)
			c, err := decodeCall(call, time.Now(), &delays)
			if err != nil {
				t.Fatal(err)
			}
			return time.Until(c.request.Deadline)
		}
		check := func(what string, got, least, most time.Duration) {
			t.Helper()
			if got < least || got > most {
				t.Errorf("%s: %v left, want %v to %v", what, got, least, most)
			}
		}
		check("first", left(2*time.Millisecond, 1), time.Second, time.Second)
		time.Sleep(time.Second)
		check("punctual", left(5*time.Millisecond, 1), 990*time.Millisecond, time.Second)
		check("delayed in transit", left(3*time.Second, 1), -2100*time.Millisecond, -1900*time.Millisecond)
		check("not delayed, after a delayed one", left(2*time.Millisecond, 1), 990*time.Millisecond, time.Second)
		started = time.Now()
		check("new process", left(2*time.Millisecond, 1), time.Second, time.Second)
		for range 100 {
			time.Sleep(500 * time.Millisecond)
			check("slow clock", left(2*time.Millisecond, 0.98), 990*time.Millisecond, time.Second)
		}
	})
}

// TestSendersAreBounded guards against a faulty instance that sends requests under ever new slots, or with long names.
func TestSendersAreBounded(t *testing.T) {
	var delays delayEstimator
	for n := range 2 * maxSenders {
		delays.observe(strconv.Itoa(n), sendTime{process: "p"}, time.Now())
	}
	if len(delays.fastest) > maxSenders {
		t.Errorf("%d slots are kept", len(delays.fastest))
	}
	long := strings.Repeat("a", maxNameBytes+1)
	if v := parseVersions(long + "/1/1"); v != (Versions{}) {
		t.Errorf("versions %.20v of a long slot", v)
	}
	if s, err := parseSendTime(long + ".1"); err == nil {
		t.Errorf("send time %.20v of a long process", s)
	}
}
