package witness

import (
	"fmt"
	"testing"
	"time"

	"sapphiretray/member"
)

const (
	onewayDelay    = 10 * time.Millisecond // of each message
	onewayInterval = 200 * time.Millisecond
)

// oneway is a scripted history of one holder and 3 witnesses with perfect clocks. From the cut on, the answers to the
// holder are lost while its own messages arrive.
type oneway struct {
	now       time.Time
	cut, heal time.Time
	holder    *Holder
	witnesses map[string]*Witness
	messages  []message
	nextBeat  time.Time
	nextRound time.Time
}

type message struct {
	at      time.Time
	deliver func()
}

func newOneway(t *testing.T, off witnessRules) *oneway {
	t.Helper()
	timing := NewTiming(DefaultLease, onewayInterval, 0)
	start := time.Unix(1000, 0)
	o := &oneway{
		now: start, nextBeat: start, witnesses: make(map[string]*Witness), holder: NewHolder(member.NewIncarnation("o-0", 1), timing),
	}
	var slots []string
	for i := range 3 {
		slot := fmt.Sprintf("w-%d", i)
		slots = append(slots, slot)
		o.witnesses[slot] = NewWitness(member.NewIncarnation(slot, 1), timing, uint64(100*i+1), start.Add(-time.Second))
		o.witnesses[slot].rules = off
	}
	if err := o.holder.SetWitnesses(slots); err != nil {
		t.Fatal(err)
	}
	return o
}

func (o *oneway) send(deliver func()) {
	o.messages = append(o.messages, message{o.now.Add(onewayDelay), deliver})
}

// answer delivers to the holder unless the answers are cut.
func (o *oneway) answer(deliver func()) {
	if o.cut.IsZero() || o.now.Before(o.cut) || (!o.heal.IsZero() && !o.now.Before(o.heal)) {
		o.send(deliver)
	}
}

// step delivers the messages that are due, lets the holder act and advances the time by a millisecond.
func (o *oneway) step() {
	for len(o.messages) > 0 && !o.messages[0].at.After(o.now) {
		deliver := o.messages[0].deliver
		o.messages = o.messages[1:]
		deliver()
	}
	if !o.now.Before(o.nextBeat) {
		o.nextBeat = o.nextBeat.Add(onewayInterval)
		for _, heartbeat := range o.holder.Heartbeats(o.now) {
			w := o.witnesses[heartbeat.Witness]
			o.send(func() {
				if ack, ok := w.Heartbeat(heartbeat, o.now); ok {
					o.answer(func() { o.holder.Acknowledge(ack, o.now) })
				}
			})
		}
	}
	if !o.holder.Valid(o.now) && !o.now.Before(o.nextRound) {
		o.nextRound = o.now.Add(2 * onewayInterval)
		for _, request := range o.holder.StartRound(o.now) {
			w := o.witnesses[request.Witness]
			o.send(func() {
				vote := w.Reacquire(request, o.now)
				o.answer(func() { o.holder.TakeVote(vote, o.now) })
			})
		}
	}
	o.now = o.now.Add(time.Millisecond)
}

func (o *oneway) run(until time.Time) {
	for o.now.Before(until) {
		o.step()
	}
}

// expiredAfter returns the time from the cut to the moment at which all witnesses would confirm the expiry, or the limit.
func (o *oneway) expiredAfter(limit time.Duration) time.Duration {
	for o.now.Sub(o.cut) < limit {
		o.step()
		confirming := 0
		for _, w := range o.witnesses {
			// The record is read because a question that is asked too early would be one more input.
			if r := w.records[o.holder.self]; !o.now.Before(r.acked.Add(w.wait())) {
				confirming++
			}
		}
		if confirming == len(o.witnesses) {
			break
		}
	}
	return o.now.Sub(o.cut)
}

// TestAnswersCut guards against witnesses that go on supporting a holder which receives none of their answers, so that no
// successor can take over from it. With the rule switched off the support must last for the whole history: otherwise the
// test would show nothing.
func TestAnswersCut(t *testing.T) {
	t.Parallel()
	const (
		limit = 5 * time.Second
		// The takeover and the callers' next attempt need the rest of the second within which a key is served again.
		want = 850 * time.Millisecond
	)
	var slowest time.Duration
	for phase := time.Duration(0); phase < onewayInterval; phase += time.Millisecond {
		for _, off := range []bool{false, true} {
			o := newOneway(t, witnessRules{noEchoAge: off})
			o.run(o.now.Add(2 * time.Second))
			if !o.holder.Valid(o.now) {
				t.Fatal("the lease is not valid before the cut")
			}
			o.cut = o.now.Add(phase)
			o.run(o.cut)
			took := o.expiredAfter(limit)
			if off && took < limit {
				t.Errorf("rule off, cut at phase %v: the support ended after %v, want none within %v", phase, took, limit)
			}
			if off {
				continue
			}
			slowest = max(slowest, took)
			if took > want {
				t.Errorf("cut at phase %v: the support ended after %v, want at most %v", phase, took, want)
			}
			for _, w := range o.witnesses {
				if o.holder.Valid(o.now) || !w.ConfirmExpiry(o.holder.self, o.now).Expired {
					t.Errorf("cut at phase %v: the expiry was not confirmed after %v", phase, took)
				}
			}
		}
	}
	t.Logf("slowest confirmation %v after the cut", slowest)
}

// TestAnswersReturn guards against a holder that can't re-acquire its lease once the answers arrive again, and against one
// that a short cut costs its lease.
func TestAnswersReturn(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		lasts      time.Duration
		generation uint64
	}{{350 * time.Millisecond, 1}, {900 * time.Millisecond, 2}, {5 * time.Second, 2}} {
		o := newOneway(t, witnessRules{})
		o.run(o.now.Add(2 * time.Second))
		// The newest heartbeat is acknowledged before the cut.
		o.cut = o.now.Add(30 * time.Millisecond)
		o.heal = o.cut.Add(test.lasts)
		// Two rounds are needed at most, and each may start two intervals after the one before.
		o.run(o.heal.Add(5 * onewayInterval))
		o.run(o.now.Add(2 * time.Second))
		if got := o.holder.Term().Generation(); got != test.generation || o.holder.Lost() {
			t.Errorf("cut of %v: generation %d, lost %v, want generation %d", test.lasts, got, o.holder.Lost(), test.generation)
		}
	}
}
