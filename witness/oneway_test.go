package witness

import (
	"fmt"
	"testing"
	"time"

	"sapphiretray/member"
)

const (
	messageDelay      = 10 * time.Millisecond // delay of each message
	heartbeatInterval = 200 * time.Millisecond
)

// oneWayCut is a history of one holder and 3 witnesses with exact clocks, in which the responses to the holder are lost from cut to
// restored while its own messages arrive. A zero time means never.
type oneWayCut struct {
	now           time.Time
	cut, restored time.Time
	holder        *Holder
	witnesses     map[string]*Witness
	messages      []message
	nextHeartbeat time.Time
	nextRound     time.Time
}

// message is a message in transit; deliver is called when it arrives.
type message struct {
	at      time.Time
	deliver func()
}

func newOneWayCut(t *testing.T, off witnessOverrides) *oneWayCut {
	t.Helper()
	timing := NewTiming(DefaultLease, heartbeatInterval, 0)
	start := time.Unix(1000, 0)
	o := &oneWayCut{
		now: start, nextHeartbeat: start, witnesses: make(map[string]*Witness), holder: NewHolder(member.NewIncarnation("o-0", 1), timing),
	}
	var slots []string
	for i := range 3 {
		slot := fmt.Sprintf("w-%d", i)
		slots = append(slots, slot)
		o.witnesses[slot] = NewWitness(member.NewIncarnation(slot, 1), timing, uint64(100*i+1), start.Add(-time.Second))
		o.witnesses[slot].overrides = off
	}
	if err := o.holder.SetWitnesses(slots); err != nil {
		t.Fatal(err)
	}
	return o
}

// send delivers a message after messageDelay.
func (o *oneWayCut) send(deliver func()) {
	o.messages = append(o.messages, message{o.now.Add(messageDelay), deliver})
}

// sendToHolder delivers a message to the holder unless the responses to it are cut off.
func (o *oneWayCut) sendToHolder(deliver func()) {
	if o.cut.IsZero() || o.now.Before(o.cut) || (!o.restored.IsZero() && !o.now.Before(o.restored)) {
		o.send(deliver)
	}
}

// step delivers the messages that are due, lets the holder send its own and advances the time by 1 ms.
func (o *oneWayCut) step() {
	for len(o.messages) > 0 && !o.messages[0].at.After(o.now) {
		deliver := o.messages[0].deliver
		o.messages = o.messages[1:]
		deliver()
	}
	if !o.now.Before(o.nextHeartbeat) {
		o.nextHeartbeat = o.nextHeartbeat.Add(heartbeatInterval)
		for _, heartbeat := range o.holder.Heartbeats(o.now) {
			w := o.witnesses[heartbeat.Witness]
			o.send(func() {
				if ack, ok := w.HandleHeartbeat(heartbeat, o.now); ok {
					o.sendToHolder(func() { o.holder.HandleAck(ack, o.now) })
				}
			})
		}
	}
	if !o.holder.Valid(o.now) && !o.now.Before(o.nextRound) {
		o.nextRound = o.now.Add(2 * heartbeatInterval)
		for _, request := range o.holder.StartRound(o.now) {
			w := o.witnesses[request.Witness]
			o.send(func() {
				vote := w.HandleVoteRequest(request, o.now)
				o.sendToHolder(func() { o.holder.HandleVote(vote, o.now) })
			})
		}
	}
	o.now = o.now.Add(time.Millisecond)
}

func (o *oneWayCut) run(until time.Time) {
	for o.now.Before(until) {
		o.step()
	}
}

// expiredAfter returns the time from the cut to the moment at which all witnesses would confirm the expiry, at most limit.
func (o *oneWayCut) expiredAfter(limit time.Duration) time.Duration {
	for o.now.Sub(o.cut) < limit {
		o.step()
		confirming := 0
		for _, w := range o.witnesses {
			// The record is read because asking a witness might change its state.
			if r := w.records[o.holder.self]; !o.now.Before(r.supportedAt.Add(w.leaseWithDrift())) {
				confirming++
			}
		}
		if confirming == len(o.witnesses) {
			break
		}
	}
	return o.now.Sub(o.cut)
}

// TestResponsesCut guards against witnesses that support a holder without end although it receives none of their responses, so that no
// successor can take over from it. With the rule on the age of echoes switched off, the support must last for the whole history:
// otherwise the test would show nothing.
func TestResponsesCut(t *testing.T) {
	t.Parallel()
	const (
		limit = 5 * time.Second
		// A key is to be served again within a second; the takeover and the callers' next attempt need the rest.
		want = 850 * time.Millisecond
	)
	var slowest time.Duration
	for phase := time.Duration(0); phase < heartbeatInterval; phase += time.Millisecond {
		for _, off := range []bool{false, true} {
			o := newOneWayCut(t, witnessOverrides{noEchoAge: off})
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

// TestResponsesReturn guards against a holder that can't re-acquire its lease once the responses arrive again, and against a holder that
// loses its lease by a short cut.
func TestResponsesReturn(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		lasts      time.Duration
		generation uint64
	}{{350 * time.Millisecond, 1}, {900 * time.Millisecond, 2}, {5 * time.Second, 2}} {
		o := newOneWayCut(t, witnessOverrides{})
		o.run(o.now.Add(2 * time.Second))
		// The newest heartbeat is acknowledged before the cut.
		o.cut = o.now.Add(30 * time.Millisecond)
		o.restored = o.cut.Add(test.lasts)
		// At most two rounds are needed, and each may start two intervals after the one before.
		o.run(o.restored.Add(5 * heartbeatInterval))
		o.run(o.now.Add(2 * time.Second))
		if got := o.holder.Term().Generation(); got != test.generation || o.holder.Lost() {
			t.Errorf("cut of %v: generation %d, lost %v, want generation %d", test.lasts, got, o.holder.Lost(), test.generation)
		}
	}
}
