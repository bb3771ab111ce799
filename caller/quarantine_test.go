package caller

import (
	"context"
	"sync"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/code"
	"sapphiretray/fake"
)

// TestCrashingRequest guards against a request that crashes one upstream after another, and against the quarantine of requests that
// were merely in flight during a crash.
func TestCrashingRequest(t *testing.T) {
	c := newCluster(t, 5, testSettings{
		timeout: time.Second, options: []Option{WithHold(100 * time.Millisecond)},
		upstream: []fake.UpstreamOption{fake.WithServiceTime(30 * time.Millisecond)},
	})
	for _, i := range c.instances {
		i.setUpstreamFault(fake.CrashOn, 0)
	}
	harmless := testRequest{method: "PUT", path: "/read/other", body: "fine"}
	crashing := testRequest{method: "PUT", path: "/read/k", body: "boom"}
	var group sync.WaitGroup
	group.Go(func() { c.instances[4].send(t.Context(), harmless) })
	time.Sleep(10 * time.Millisecond)
	for n := range 4 {
		if n > 0 {
			c.takeOver(t, c.instances[n-1], c.instances[n])
		}
		a := c.instances[4].send(t.Context(), crashing)
		if n >= 2 && (a.code != code.Quarantined || a.ran != code.RanNo) {
			t.Errorf("attempt %d: %+v", n, a)
		}
		if crashed := c.instances[n].client.RefusesConnections(t.Context()); crashed != (n < 2) {
			t.Errorf("upstream %d crashed: %v", n, crashed)
		}
	}
	group.Wait()
	if a := c.instances[4].send(t.Context(), harmless); a.code != code.OK {
		t.Errorf("harmless: %+v", a)
	}
	q := c.instances[3].server.Quarantine()
	if n, m := len(q.Quarantined()), len(q.Suspects()); n != 1 || m != 0 {
		t.Errorf("%d quarantined, %d suspects", n, m)
	}
}

// TestIsolation guards against suspects that run concurrently with other requests, concurrent runs of one request that count as two
// crashes, and suspects that delay other requests by more than 250 ms.
func TestIsolation(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		q := NewQuarantine()
		enter := func(fingerprint uint64) *GuardedRun {
			run, err := q.Enter(t.Context(), fingerprint)
			if err != nil {
				t.Fatalf("%d: %v", fingerprint, err)
			}
			return run
		}
		first, second := enter(1), enter(1)
		first.MarkCrashed()
		second.MarkCrashed()
		first.Leave()
		second.Leave()
		if len(q.Suspects()) != 1 || len(q.Quarantined()) != 0 {
			t.Fatal("two concurrent runs of one request counted as two crashes")
		}
		concurrent := enter(2)
		start := time.Now()
		time.AfterFunc(100*time.Millisecond, concurrent.Leave)
		suspect := enter(1)
		if waited := time.Since(start); waited != 100*time.Millisecond {
			t.Fatalf("suspect ran after %v, concurrently with another request", waited)
		}
		start = time.Now()
		other := enter(2)
		if waited := time.Since(start); waited != maxIsolationWait {
			t.Fatalf("suspect delayed another request by %v", waited)
		}
		if _, err := q.Enter(t.Context(), 1); err == nil {
			t.Fatal("two suspects ran concurrently")
		}
		suspect.MarkCrashed()
		suspect.Leave()
		other.Leave()
		if _, err := q.Enter(t.Context(), 1); err == nil {
			t.Fatal("not quarantined after the second crash")
		}
		time.Sleep(DefaultQuarantineAge)
		enter(1).Leave()
	})
}

// TestQuarantineBound guards against an unlimited number of fingerprints, and against dropping the newest one.
func TestQuarantineBound(t *testing.T) {
	q := NewQuarantine()
	fingerprints := make([]uint64, 2*MaxQuarantined)
	for n := range fingerprints {
		fingerprints[n] = uint64(n)
	}
	q.Add(fingerprints, time.Minute)
	q.AddSuspects(fingerprints, time.Minute)
	if n, m := len(q.Quarantined()), len(q.Suspects()); n != MaxQuarantined || m != MaxQuarantined {
		t.Fatalf("%d quarantined, %d suspects", n, m)
	}
	if _, err := q.Enter(context.Background(), fingerprints[len(fingerprints)-1]); err == nil {
		t.Fatal("the newest fingerprint was dropped")
	}
}
