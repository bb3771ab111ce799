package heartbeat

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/witness"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"
)

var measure = flag.Bool("measure", false, "run the measurements of the cost of heartbeats and of the time to detect a lost instance")

// headerBytes is the size of the IPv4 and UDP headers of a datagram.
const headerBytes = 28

// fleet is a set of instances in a ring, each of which is witnessed by the next ones.
type fleet struct {
	endpoints []*Endpoint
	kills     []func()
	witnesses [][]string
	timing    witness.Timing
}

func newFleet(t *testing.T, size, witnesses int, timing witness.Timing, options ...Option) *fleet {
	t.Helper()
	f := &fleet{timing: timing}
	var addresses []string
	for i := range size {
		e := New(member.NewIncarnation(fmt.Sprintf("central-%d", i), 1), append(options, WithTiming(timing))...)
		address, err := e.Listen()
		if err != nil {
			t.Fatal(err)
		}
		f.endpoints = append(f.endpoints, e)
		addresses = append(addresses, address)
	}
	for i, e := range f.endpoints {
		var witnessAddresses []WitnessAddress
		var slots []string
		for k := range witnesses {
			to := (i + k + 1) % size
			slots = append(slots, f.endpoints[to].self.Slot())
			witnessAddresses = append(witnessAddresses, NewWitnessAddress(slots[k], addresses[to]))
		}
		if err := e.SetWitnesses(witnessAddresses); err != nil {
			t.Fatal(err)
		}
		f.witnesses = append(f.witnesses, slots)
		f.kills = append(f.kills, run(t, e))
	}
	return f
}

func (f *fleet) awaitLeases(t *testing.T) {
	t.Helper()
	// After this time all records exist and no witness is in its silent period.
	time.Sleep(3 * f.timing.Lease())
	for _, e := range f.endpoints {
		waitUntil(t, 5*time.Second, "first lease", e.Lease().Valid)
	}
}

// traffic returns the sums of sent and received datagrams and of their payload bytes.
func (f *fleet) traffic() (datagrams, bytes uint64) {
	for _, e := range f.endpoints {
		sent, sentBytes := e.Traffic().Sent()
		received, receivedBytes := e.Traffic().Received()
		datagrams += sent + received
		bytes += sentBytes + receivedBytes
	}
	return datagrams, bytes
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// changingVersions returns a source of versions that change every 2 seconds, in turn the configuration's and a map's. Each changes about
// 22,000 times a day.
func changingVersions() func() *peer.Versions {
	var all []*peer.Versions
	for i := range uint64(60) {
		next := proto.CloneOf(versions)
		next.Config += (i + 1) / 2
		next.Maps["rosters"] += i / 2
		all = append(all, next)
	}
	begin := time.Now()
	return func() *peer.Versions { return all[min(len(all)-1, int(time.Since(begin)/(2*time.Second)))] }
}

// TestMeasureCost logs the traffic and processor time of an instance that holds one lease and witnesses as many as it has witnesses.
func TestMeasureCost(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	const size, span = 40, 10 * time.Second
	for _, setting := range []struct {
		witnesses int
		interval  time.Duration
		versions  bool
	}{{3, 150, true}, {3, 150, false}, {5, 150, true}, {5, 200, true}, {5, 200, false}} {
		timing := witness.NewTiming(witness.DefaultLease, setting.interval*time.Millisecond, 0)
		var options []Option
		if setting.versions {
			options = append(options, WithVersions(changingVersions()))
		}
		t.Run(fmt.Sprintf("%d witnesses, %v", setting.witnesses, timing.Interval()), func(t *testing.T) {
			f := newFleet(t, size, setting.witnesses, timing, options...)
			f.awaitLeases(t)
			if setting.versions {
				// The first datagrams with versions are left out.
				time.Sleep(2 * timing.Interval())
			}
			datagrams, bytes := f.traffic()
			start, used := time.Now(), cpuTime()
			time.Sleep(span)
			took, cpu := time.Since(start), cpuTime()-used
			afterDatagrams, afterBytes := f.traffic()
			n := afterDatagrams - datagrams
			payload := afterBytes - bytes
			seconds := took.Seconds() * size
			perMessage := float64(payload) / float64(n)
			// Each heartbeat and its acknowledgement count when sent and when received: 4 datagrams.
			t.Logf("%d witnesses, interval %v, versions %v: sent and received each %.1f datagrams/s, %.0f B/s payload, "+
				"%.0f B/s with headers; %.1f B per payload, %.3f%% of a core, %.1f us per heartbeat",
				setting.witnesses, timing.Interval(), setting.versions,
				float64(n)/2/seconds, float64(payload)/2/seconds, float64(payload+n*headerBytes)/2/seconds,
				perMessage, 100*cpu.Seconds()/seconds, float64(cpu.Microseconds())*4/float64(n))
		})
	}
}

// TestMeasureDetection logs the time from the kill of an instance to the proof that its lease has expired.
func TestMeasureDetection(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	const kills, atOnce = 200, 20
	for _, timing := range []witness.Timing{
		{},
		witness.NewTiming(600*time.Millisecond, 200*time.Millisecond, 0),
		witness.NewTiming(400*time.Millisecond, 100*time.Millisecond, 0),
	} {
		t.Run(fmt.Sprint(timing.Lease(), timing.Interval()), func(t *testing.T) {
			histogram := hdrhistogram.New(1, 10_000_000, 3)
			var mu sync.Mutex
			for range kills / atOnce {
				detectOnce(t, timing, atOnce, func(took time.Duration) {
					mu.Lock()
					defer mu.Unlock()
					if err := histogram.RecordValue(took.Microseconds()); err != nil {
						t.Error(err)
					}
				})
			}
			t.Logf("L %v, interval %v: %d kills, ms: min %.0f median %.0f p90 %.0f p99 %.0f max %.0f", timing.Lease(), timing.Interval(),
				histogram.TotalCount(), float64(histogram.Min())/1000, float64(histogram.ValueAtQuantile(50))/1000,
				float64(histogram.ValueAtQuantile(90))/1000, float64(histogram.ValueAtQuantile(99))/1000, float64(histogram.Max())/1000)
		})
	}
}

// detectOnce kills every fourth instance of a fleet at a random time and records the time to the proof for each. The prover starts once
// a witness has reported the expiry.
func detectOnce(t *testing.T, timing witness.Timing, kills int, record func(took time.Duration)) {
	t.Helper()
	notices := make(map[member.Incarnation]chan struct{})
	for i := range kills {
		notices[member.NewIncarnation(fmt.Sprintf("central-%d", 4*i), 1)] = make(chan struct{}, 8)
	}
	f := newFleet(t, 4*kills, 3, timing, WithOnExpiry(func(holder member.Incarnation) {
		if notice, ok := notices[holder]; ok {
			notice <- struct{}{}
		}
	}))
	f.awaitLeases(t)
	bySlot := make(map[string]*Endpoint)
	for _, e := range f.endpoints {
		bySlot[e.self.Slot()] = e
	}
	prover := NewProver(func(slot string) (peer.Peer, error) {
		return directPeer{to: bySlot[slot], fail: func() bool { return false }}, nil
	}, timing)
	var group sync.WaitGroup
	for i := range kills {
		group.Go(func() {
			e := f.endpoints[4*i]
			time.Sleep(time.Duration(rand.Int64N(int64(2 * timing.Interval()))))
			start := time.Now()
			f.kills[4*i]()
			<-notices[e.self]
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if expired, err := prover.ProveExpired(ctx, e.self, f.witnesses[4*i]); !expired || err != nil {
				t.Errorf("%s: got %v, %v", e.self, expired, err)
				return
			}
			record(time.Since(start))
		})
	}
	group.Wait()
	for _, kill := range f.kills {
		kill()
	}
}
