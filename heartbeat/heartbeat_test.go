package heartbeat

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/witness"

	"google.golang.org/protobuf/proto"
)

// versions have the size of those in a large deployment.
var versions = &peer.Versions{
	Config: 22000, Sheet: 365, Pause: 120,
	Maps: map[string]uint64{"bookings": 180000, "documents": 180000, "monitors": 180000, "rosters": 180000},
}

// TestNoFault guards against leases that expire although nothing fails.
func TestNoFault(t *testing.T) {
	t.Parallel()
	c := newCluster(t, witness.Timing{}, false)
	c.awaitLease(t)
	time.Sleep(3 * time.Second)
	if len(c.changes) > 0 || len(c.expiries) > 0 {
		t.Errorf("%d changes of the lease and %d reports of an expiry, want none", len(c.changes), len(c.expiries))
	}
	if lease := c.holder.Lease(); !lease.Valid() || lease.Generation() != 1 || time.Until(lease.Expires()) < 300*time.Millisecond {
		t.Errorf("valid %v, generation %d, left %v", lease.Valid(), lease.Generation(), time.Until(lease.Expires()))
	}
}

// TestUnresponsiveWitnesses guards against a witness that no longer responds and isn't reported, and against one that responds and is.
func TestUnresponsiveWitnesses(t *testing.T) {
	t.Parallel()
	c := newCluster(t, witness.Timing{}, false)
	c.awaitLease(t)
	const limit = 400 * time.Millisecond
	if unresponsive := c.holder.UnresponsiveWitnesses(time.Now(), limit); len(unresponsive) != 0 {
		t.Errorf("%v are reported though all witnesses respond", unresponsive)
	}
	c.links[0].cut(true)
	time.Sleep(2 * limit)
	if unresponsive := c.holder.UnresponsiveWitnesses(time.Now(), limit); len(unresponsive) != 1 || unresponsive[0] != c.witnesses[0] {
		t.Errorf("unresponsive witnesses %v, want %v", unresponsive, c.witnesses[0])
	}
}

// TestCuts guards against a lease that stays valid without a majority of its witnesses, one that expires although only a minority is
// lost, and one that can't be re-acquired by the instances alone.
func TestCuts(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		cut     func(links []*link)
		expires bool
	}{
		{"heartbeats to one witness", func(l []*link) { l[0].dropHeartbeats.Store(true) }, false},
		{"acknowledgements of one witness", func(l []*link) { l[0].dropAcks.Store(true) }, false},
		{"heartbeats to two witnesses", func(l []*link) { l[0].dropHeartbeats.Store(true); l[1].dropHeartbeats.Store(true) }, true},
		{"acknowledgements of two witnesses", func(l []*link) { l[0].dropAcks.Store(true); l[1].dropAcks.Store(true) }, true},
		{"one direction of each of two", func(l []*link) { l[0].dropHeartbeats.Store(true); l[1].dropAcks.Store(true) }, true},
		{"everything", func(l []*link) { l[0].cut(true); l[1].cut(true); l[2].cut(true) }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, witness.Timing{}, false)
			c.awaitLease(t)
			time.Sleep(200 * time.Millisecond)
			test.cut(c.links)
			start := time.Now()
			// The calls are cut too, so that the lease isn't re-acquired during the cut.
			for _, l := range c.links {
				l.failCalls.Store(test.expires)
			}
			lease := c.holder.Lease()
			if test.expires {
				expires := lease.Expires()
				waitUntil(t, 2*time.Second, "expiry", func() bool {
					if at := lease.Expires(); !at.IsZero() {
						expires = at
					}
					return !lease.Valid()
				})
				if took := expires.Sub(start); took > witness.DefaultLease || took < witness.DefaultLease/2 {
					t.Errorf("expired after %v, want at most %v", took, witness.DefaultLease)
				}
				c.expectChange(t, false)
			}
			time.Sleep(time.Until(start.Add(time.Second)))
			for _, l := range c.links {
				l.cut(false)
			}
			if test.expires {
				c.expectChange(t, true)
			}
			if len(c.changes) > 0 || !lease.Valid() || lease.Lost() || (lease.Generation() > 1) != test.expires {
				t.Errorf("%d more changes, valid %v, lost %v, generation %d",
					len(c.changes), lease.Valid(), lease.Lost(), lease.Generation())
			}
		})
	}
}

// TestExpiryNoticedLate guards against an expiry that is noticed only when the next heartbeat is sent and then never reported.
func TestExpiryNoticedLate(t *testing.T) {
	t.Parallel()
	e := New(member.NewIncarnation("o-0", 1), WithTiming(witness.NewTiming(20*time.Millisecond, 5*time.Millisecond, 0)))
	if err := e.SetWitnesses([]WitnessAddress{NewWitnessAddress("o-0", "")}); err != nil {
		t.Fatal(err)
	}
	e.sendHeartbeats()
	time.Sleep(30 * time.Millisecond)
	e.sendHeartbeats()
	if len(e.changes) != 2 || e.changes[1].generation != 0 || e.Lease().Generation() != 0 {
		t.Errorf("changes %v, generation %d, want an acquisition and an expiry", e.changes, e.Lease().Generation())
	}
}

// TestTakeover guards against an expiry that is confirmed while the lease is valid, one that can't be proved in time, and a lease that
// is re-acquired after the proof.
func TestTakeover(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		ownSlot bool
	}{{"three other witnesses", false}, {"own slot among the witnesses", true}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, witness.Timing{}, test.ownSlot)
			// Witnesses confirm nothing in their silent period.
			time.Sleep(700 * time.Millisecond)
			c.awaitLease(t)
			short, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
			defer cancel()
			if expired, err := c.prover().ProveExpired(short, c.holder.self, c.witnesses); expired || err != nil {
				t.Fatalf("expiry of a valid lease: got %v, %v", expired, err)
			}
			start := time.Now()
			for _, l := range c.links {
				l.cut(true)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			expired, err := c.prover().ProveExpired(ctx, c.holder.self, c.witnesses)
			took := time.Since(start)
			if !expired || err != nil || took > time.Second || took < witness.DefaultLease-2*witness.DefaultInterval {
				t.Errorf("proof: got %v, %v after %v", expired, err, took)
			}
			if c.holder.Lease().Valid() {
				t.Error("the lease is valid after the proof of its expiry")
			}
			c.expectExpiry(t)
			for _, l := range c.links {
				l.cut(false)
			}
			waitUntil(t, 2*time.Second, "refusal", c.holder.Lease().Lost)
			if c.holder.Lease().Valid() {
				t.Error("the lease is valid after it was refused")
			}
		})
	}
}

// TestResponsesLost guards against witnesses that support a holder without end because its heartbeats and vote requests reach them,
// although it receives none of their responses.
func TestResponsesLost(t *testing.T) {
	t.Parallel()
	c := newCluster(t, witness.Timing{}, false)
	// Witnesses confirm nothing in their silent period.
	time.Sleep(700 * time.Millisecond)
	c.awaitLease(t)
	time.Sleep(300 * time.Millisecond)
	start := time.Now()
	for _, l := range c.links {
		l.dropAcks.Store(true)
		l.loseResponses.Store(true)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	expired, err := c.prover().ProveExpired(ctx, c.holder.self, c.witnesses)
	took := time.Since(start)
	t.Logf("proof %v after the cut", took)
	if !expired || err != nil || took > time.Second {
		t.Errorf("proof: got %v, %v after %v", expired, err, took)
	}
	if c.holder.Lease().Valid() {
		t.Error("the lease is valid after the proof of its expiry")
	}
}

// TestProverWithoutWitnesses guards against unreachable witnesses counting as a valid lease or as a proof.
func TestProverWithoutWitnesses(t *testing.T) {
	t.Parallel()
	prover := NewProver(func(string) (peer.Peer, error) { return nil, errCut }, witness.Timing{})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	expired, err := prover.ProveExpired(ctx, member.NewIncarnation("o-0", 1), []string{"w-0", "w-1", "w-2"})
	if expired || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, %v, want false and a missed deadline", expired, err)
	}
}

// TestResignLease guards against a planned stop after which the successor has to wait for the end of the lease.
func TestResignLease(t *testing.T) {
	t.Parallel()
	c := newCluster(t, witness.Timing{}, false)
	c.awaitLease(t)
	// Witnesses confirm nothing in their silent period.
	time.Sleep(700 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	start := time.Now()
	if err := c.holder.ResignLease(ctx); err != nil {
		t.Fatal(err)
	}
	if lease := c.holder.Lease(); lease.Valid() || !lease.Lost() {
		t.Errorf("after the resignation: valid %v, lost %v", lease.Valid(), lease.Lost())
	}
	expired, err := c.prover().ProveExpired(ctx, c.holder.self, c.witnesses)
	if took := time.Since(start); !expired || err != nil || took > 200*time.Millisecond {
		t.Errorf("proof after the resignation: got %v, %v after %v", expired, err, took)
	}
	c.expectExpiry(t)
	if reason := c.expectChange(t, false); reason != "resigned" {
		t.Errorf("reason: got %q", reason)
	}
}

// TestBlockedFlows guards against a lease that expires because the network stops delivering existing flows while new ones work.
func TestBlockedFlows(t *testing.T) {
	t.Parallel()
	c := newCluster(t, witness.Timing{}, false)
	c.awaitLease(t)
	time.Sleep(300 * time.Millisecond)
	var before int
	for _, l := range c.links {
		before += l.blockFlows()
	}
	time.Sleep(1500 * time.Millisecond)
	after := 0
	for _, l := range c.links {
		after += l.flowCount()
	}
	if after != before+len(c.links) {
		t.Errorf("%d flows before and %d after, want one more for each of %d witnesses", before, after, len(c.links))
	}
	if len(c.changes) > 0 {
		t.Errorf("the lease changed: %v", <-c.changes)
	}
}

// TestVersions guards against versions that aren't sent in both directions, that arrive late after a change, or that are sent so often
// that an instance exceeds its bytes for control.
func TestVersions(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	received, count := make(map[string]uint64), 0
	witnessed := atomic.Pointer[peer.Versions]{}
	witnessed.Store(versions)
	c := newCluster(t, witness.Timing{}, false, WithVersions(witnessed.Load),
		WithOnVersions(func(slot string, v *peer.Versions) {
			mu.Lock()
			defer mu.Unlock()
			received[slot] = v.GetConfig()
			count++
		}))
	c.awaitLease(t)
	all := func() bool {
		mu.Lock()
		defer mu.Unlock()
		want := witnessed.Load().GetConfig()
		return received["o-0"] == want && received["w-0"] == want && received["w-1"] == want && received["w-2"] == want
	}
	waitUntil(t, 2*time.Second, "first versions", all)
	next := proto.CloneOf(versions)
	next.Config++
	witnessed.Store(next)
	waitUntil(t, time.Second, "changed versions", all)
	time.Sleep(400 * time.Millisecond)
	mu.Lock()
	count = 0
	mu.Unlock()
	before := c.holder.Traffic()
	time.Sleep(1200 * time.Millisecond)
	after := c.holder.Traffic()
	mu.Lock()
	defer mu.Unlock()
	if sent := int(after.sent - before.sent); count == 0 || count*2 > sent {
		t.Errorf("%d of %d heartbeats carried unchanged versions, want about a quarter", count, sent)
	}
}

// TestHeartbeatSize guards against heartbeats by which an instance exceeds its bytes for control.
func TestHeartbeatSize(t *testing.T) {
	datagram, err := encodeHeartbeat(witness.Heartbeat{
		Holder: member.NewIncarnation("central-1207", 4000), Sequence: 50_000_000, EchoRun: 1 << runBits, EchoSequence: 50_000_000,
	}, versions)
	if err != nil || len(datagram) >= 120 {
		t.Errorf("got %d bytes, %v, want less than 120", len(datagram), err)
	}
	t.Logf("%d bytes", len(datagram))
}

// TestRefusedInput guards against malformed datagrams and requests that are accepted, against a change of the witnesses' slots, and
// against calls to which a stopped endpoint responds although the next one may run in the same slot.
func TestRefusedInput(t *testing.T) {
	t.Parallel()
	e := New(member.NewIncarnation("o-0", 1))
	for _, datagram := range [][]byte{nil, {0xff}, {0x0a, 0x00}, {0x12, 0x00}} {
		if _, _, ok := decodeHeartbeat(datagram); ok {
			t.Errorf("heartbeat %x was accepted", datagram)
		}
	}
	_, confirm := e.ConfirmExpiry(t.Context(), &peer.ConfirmExpiryRequest{})
	_, vote := e.Reacquire(t.Context(), &peer.ReacquireRequest{})
	_, resign := e.Resign(t.Context(), &peer.ResignRequest{})
	if confirm == nil || vote == nil || resign == nil {
		t.Errorf("calls without a holder: got %v, %v, %v", confirm, vote, resign)
	}
	first := e.SetWitnesses([]WitnessAddress{NewWitnessAddress("w-0", "127.0.0.1:1")})
	moved := e.SetWitnesses([]WitnessAddress{NewWitnessAddress("w-0", "127.0.0.1:2")})
	other := e.SetWitnesses([]WitnessAddress{NewWitnessAddress("w-1", "127.0.0.1:1")})
	if first != nil || moved != nil || !errors.Is(other, witness.ErrWitnessesFixed) {
		t.Errorf("witnesses: got %v, %v, %v", first, moved, other)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if err := e.Run(ended); err != nil {
		t.Errorf("run: %v", err)
	}
	if _, err := e.ConfirmExpiry(t.Context(), &peer.ConfirmExpiryRequest{Holder: toWire(e.self)}); err == nil {
		t.Error("a stopped endpoint responded")
	}
}

// BenchmarkLeaseValid measures the check of the lease that each request makes.
func BenchmarkLeaseValid(b *testing.B) {
	e := New(member.NewIncarnation("o-0", 1), WithTiming(witness.NewTiming(time.Hour, time.Minute, 0)))
	if err := e.SetWitnesses([]WitnessAddress{NewWitnessAddress("o-0", "")}); err != nil {
		b.Fatal(err)
	}
	e.sendHeartbeats()
	lease := e.Lease()
	b.ReportAllocs()
	for b.Loop() {
		if !lease.Valid() {
			b.Fatal("the lease is not valid")
		}
	}
}

// TestAnnounce guards against announcements of newer versions that don't reach an instance, or that name the sender instead of the instance
// that has the versions.
func TestAnnounce(t *testing.T) {
	received := make(chan string, 1)
	receiver := New(member.NewIncarnation("a", 1), WithOnVersions(func(slot string, v *peer.Versions) {
		received <- fmt.Sprint(slot, " ", v.GetConfig())
	}))
	sender := New(member.NewIncarnation("b", 1))
	if err := sender.Announce("127.0.0.1:9", "c", &peer.Versions{Config: 7}); err == nil {
		t.Error("no error before the endpoint listens")
	}
	addresses := make([]string, 0, 2)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for _, e := range []*Endpoint{receiver, sender} {
		address, err := e.Listen()
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, address)
		group.Go(func() { _ = e.Run(ctx) })
	}
	if err := sender.Announce(addresses[0], "c", &peer.Versions{Config: 7}); err != nil {
		t.Error(err)
	}
	select {
	case got := <-received:
		if got != "c 7" {
			t.Errorf("received %q", got)
		}
	case <-time.After(5 * time.Second):
		t.Error("nothing received")
	}
	cancel()
	group.Wait()
}
