package policy_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sapphiretray/policy"
)

// coldTerms are the terms of an upstream that bears up to 15 requests within any second.
var coldTerms = policy.StartTerms{Rate: 9, Burst: 3, Maximum: 14}

// TestStartTerms guards against terms that exceed what an upstream bears, or that let nothing through.
func TestStartTerms(t *testing.T) {
	tests := []struct {
		name                 string
		rate, overrun, slack float64
		want                 policy.StartTerms
	}{
		{"no limit", 0, 1.5, 0, policy.StartTerms{}},
		{"slack only", 0, 0, 8, policy.StartTerms{Rate: 5.6, Burst: 1, Maximum: 7}},
		{"overrun and slack", 5, 1.5, 7.5, policy.StartTerms{Rate: 10.5, Burst: 2, Maximum: 14}},
		{"rate only", 20, 0, 0, policy.StartTerms{Rate: 14, Burst: 3, Maximum: 19}},
		{"less than one per second", 0.5, 0, 0, policy.StartTerms{Rate: 0.35, Burst: 1, Maximum: 1}},
	}
	for _, test := range tests {
		if got := policy.NewStartTerms(test.rate, test.overrun, test.slack); got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}

// TestStartLimitExact guards against more requests within a second than the upstream bears, if requests are sent with delays of up to two
// seconds after they began, as when their bodies arrive slowly or the processor is busy.
func TestStartLimitExact(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for round := range 50 {
		var l policy.StartLimit
		terms := policy.StartTerms{Rate: 100, Burst: 20, Maximum: 14}
		l.Limit(startTime, startTime, startTime.Add(time.Hour), terms)
		type pending struct {
			start *policy.Start
			at    time.Time
		}
		var waiting []pending
		var arrivals []time.Time
		for now := startTime; now.Before(startTime.Add(20 * time.Second)); now = now.Add(5 * time.Millisecond) {
			waiting = slices.DeleteFunc(waiting, func(p pending) bool {
				if now.Before(p.at) {
					return false
				}
				l.Sent(now, p.start)
				arrivals = append(arrivals, now)
				return true
			})
			if l.Allows(now) {
				delay := time.Duration(random.IntN(2+random.IntN(400))) * 5 * time.Millisecond
				waiting = append(waiting, pending{l.Begin(now), now.Add(delay)})
			}
		}
		if got := mostWithin(arrivals, time.Second); got > terms.Maximum {
			t.Errorf("round %d: %d requests within a second", round, got)
		}
		if len(arrivals) < 100 {
			t.Errorf("round %d: %d requests in 20 s", round, len(arrivals))
		}
	}
}

// mostWithin returns the largest number of sorted times that lie within a duration.
func mostWithin(times []time.Time, d time.Duration) int {
	most, first := 0, 0
	for n := range times {
		for times[n].Sub(times[first]) > d {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// TestStartLimit guards against a limit that counts the wrong requests, or that holds before or after the cold time.
func TestStartLimit(t *testing.T) {
	begin := func(l *policy.StartLimit, n int, sent time.Time) {
		for range n {
			l.Sent(sent, l.Begin(sent))
		}
	}
	until := startTime.Add(3 * time.Second)
	tests := []struct {
		name    string
		prepare func(l *policy.StartLimit)
		at      time.Duration
		want    int // Number of requests that may begin at once.
	}{
		{"never cold", func(*policy.StartLimit) {}, 0, 100},
		{"burst of a cold upstream", func(l *policy.StartLimit) { l.Limit(startTime, startTime, until, coldTerms) }, 0, 3},
		{"warm", func(l *policy.StartLimit) { l.Limit(startTime, startTime, until, coldTerms) }, 3 * time.Second, 100},
		{"warm early", func(l *policy.StartLimit) {
			l.Limit(startTime, startTime, until, coldTerms)
			l.Lift()
		}, time.Millisecond, 100},
		{"noticed late", func(l *policy.StartLimit) {
			begin(l, 20, startTime.Add(-200*time.Millisecond))
			l.Limit(startTime, startTime.Add(-300*time.Millisecond), until, coldTerms)
		}, 600 * time.Millisecond, 0},
		{"noticed late, a second later", func(l *policy.StartLimit) {
			begin(l, 20, startTime.Add(-200*time.Millisecond))
			l.Limit(startTime, startTime.Add(-300*time.Millisecond), until, coldTerms)
		}, time.Second, 3},
		{"sent before the upstream became cold", func(l *policy.StartLimit) {
			begin(l, 20, startTime.Add(-200*time.Millisecond))
			l.Limit(startTime, startTime.Add(-100*time.Millisecond), until, coldTerms)
		}, 0, 3},
		{"not sent yet", func(l *policy.StartLimit) {
			for range 20 {
				l.Begin(startTime.Add(-5 * time.Second))
			}
			l.Limit(startTime, startTime, until, coldTerms)
		}, 2 * time.Second, 0},
		{"never sent", func(l *policy.StartLimit) {
			start := l.Begin(startTime)
			l.Limit(startTime, startTime, until, coldTerms)
			l.Discard(start)
		}, 0, 3},
		{"sent by an earlier process", func(l *policy.StartLimit) {
			l.Limit(startTime, startTime, until, coldTerms)
			l.AssumeSent(14, startTime)
		}, 900 * time.Millisecond, 0},
		{"again cold while cold", func(l *policy.StartLimit) {
			l.Limit(startTime, startTime, until, coldTerms)
			begin(l, 3, startTime)
			l.Limit(startTime, startTime, until.Add(time.Second), coldTerms)
		}, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var l policy.StartLimit
			test.prepare(&l)
			now, got := startTime.Add(test.at), 0
			for ; got < 100 && l.Allows(now); got++ {
				l.Sent(now, l.Begin(now))
			}
			if got != test.want {
				t.Errorf("%d requests may begin, want %d", got, test.want)
			}
		})
	}
}
