package policy_test

import (
	"fmt"
	"testing"
	"time"

	"sapphiretray/policy"
)

const mebibyte = 1 << 20

// callerLoad is a set of callers' messages that are held at the same time.
type callerLoad struct {
	account *policy.MemoryAccount
	now     time.Time
	claims  []*policy.MemoryClaim
}

func newCallerLoad(limit int64) *callerLoad {
	return &callerLoad{account: policy.NewMemoryAccount(limit), now: time.Unix(1000, 0)}
}

// arrive opens a claim for a body that arrives on a connection of its own and returns the decision.
func (l *callerLoad) arrive(bytes int64) (*policy.MemoryClaim, policy.MemoryDecision) {
	c := l.account.Open(l.now, fmt.Sprint("connection ", len(l.claims)))
	c.SetRevocable(l.now, policy.Revocable)
	l.claims = append(l.claims, c)
	decision, _ := l.account.Grow(l.now, c, bytes)
	if decision != policy.MemoryGranted {
		l.account.Close(c)
	}
	return c, decision
}

// release closes the claims that were revoked, and returns their number.
func (l *callerLoad) release() int {
	n := 0
	for _, c := range l.claims {
		if c.Revoked() && c.Bytes() > 0 {
			l.account.Close(c)
			n++
		}
	}
	return n
}

// TestCrowdOfUploads guards against a crowd of large uploads that exceeds the memory or leaves none for ordinary requests. The load: many
// uploads of 60 MiB at once, beside requests with small bodies.
func TestCrowdOfUploads(t *testing.T) {
	l := newCallerLoad(170 * mebibyte)
	granted := 0
	for range 24 {
		if _, decision := l.arrive(60 * mebibyte); decision == policy.MemoryGranted {
			granted++
		}
		if _, decision := l.arrive(20 << 10); decision != policy.MemoryGranted {
			t.Fatalf("a small request got decision %d", decision)
		}
	}
	if granted != 2 {
		t.Errorf("%d uploads of 60 MiB were granted in 170 MiB, want 2", granted)
	}
	if l.account.Used() > l.account.Limit() {
		t.Errorf("%d bytes are used, limit %d", l.account.Used(), l.account.Limit())
	}
}

// TestStalledUploads guards against uploads that stop just short of their end and keep others out. The load: uploads that have taken all
// the memory that they may and stopped, then sound ones.
func TestStalledUploads(t *testing.T) {
	l := newCallerLoad(170 * mebibyte)
	stalled, _ := l.arrive(60 * mebibyte)
	moving, _ := l.arrive(60 * mebibyte)
	if _, decision := l.arrive(60 * mebibyte); decision != policy.MemoryRefused {
		t.Errorf("a third upload got decision %d while both others move", decision)
	}
	l.now = l.now.Add(policy.StalledAfter)
	moving.Progress(l.now)
	if _, decision := l.arrive(60 * mebibyte); decision != policy.MemoryAwaited {
		t.Errorf("an upload got decision %d although another has stopped", decision)
	}
	if !stalled.Revoked() || moving.Revoked() {
		t.Errorf("revoked: stalled %t, moving %t", stalled.Revoked(), moving.Revoked())
	}
	l.release()
	if _, decision := l.arrive(60 * mebibyte); decision != policy.MemoryGranted {
		t.Errorf("an upload got decision %d after a stalled one was released", decision)
	}
}

// TestManySmallBodies guards against many connections with small bodies that fill the memory. The load: chunked bodies that grow in step
// on hundreds of connections, then ordinary requests.
func TestManySmallBodies(t *testing.T) {
	l := newCallerLoad(32 * mebibyte)
	for {
		if _, decision := l.arrive(policy.SmallMessage); decision != policy.MemoryGranted {
			break
		}
	}
	if _, decision := l.arrive(1000); decision != policy.MemoryAwaited {
		t.Errorf("a request of 1,000 bytes got decision %d among bodies of 64 KiB", decision)
	}
	if n := l.release(); n != 1 {
		t.Errorf("%d bodies gave way to one small request", n)
	}
	if _, decision := l.arrive(1000); decision != policy.MemoryGranted {
		t.Errorf("a request of 1,000 bytes got decision %d after a body gave way", decision)
	}
}

// TestOwnerOfMuch guards against a caller with many connections' worth of messages that keeps out one with few. The load: one connection
// whose requests behind one another hold nearly everything, and one with a medium body.
func TestOwnerOfMuch(t *testing.T) {
	l := newCallerLoad(32 * mebibyte)
	for {
		c := l.account.Open(l.now, "much")
		c.SetRevocable(l.now, policy.Revocable)
		if decision, _ := l.account.Grow(l.now, c, mebibyte/2); decision != policy.MemoryGranted {
			l.account.Close(c)
			break
		}
		l.claims = append(l.claims, c)
	}
	if _, decision := l.arrive(mebibyte); decision != policy.MemoryAwaited {
		t.Errorf("a body of 1 MiB got decision %d beside a connection that holds nearly everything", decision)
	}
	if n := l.release(); n == 0 || n > 2 {
		t.Errorf("%d claims gave way to 1 MiB", n)
	}
}

// TestPassedOnBodies guards against a body that is dropped after it was passed on to an upstream, and a response that is dropped while its
// caller reads it.
func TestPassedOnBodies(t *testing.T) {
	l := newCallerLoad(10 * mebibyte)
	body, _ := l.arrive(4 * mebibyte)
	body.SetRevocable(l.now, policy.Irrevocable)
	response, _ := l.arrive(4 * mebibyte)
	response.SetRevocable(l.now, policy.RevocableIfStalled)
	if _, decision := l.arrive(4 * mebibyte); decision != policy.MemoryRefused || response.Revoked() {
		t.Errorf("decision %d, response revoked %t", decision, response.Revoked())
	}
	l.now = l.now.Add(10 * policy.StalledAfter)
	if _, decision := l.arrive(4 * mebibyte); decision != policy.MemoryAwaited || body.Revoked() || !response.Revoked() {
		t.Errorf("decision %d, body revoked %t, stalled response revoked %t", decision, body.Revoked(), response.Revoked())
	}
}

// TestRequestLargerThanMemory guards against a legal request that a process with little memory always refuses.
func TestRequestLargerThanMemory(t *testing.T) {
	l := newCallerLoad(32 * mebibyte)
	if _, decision := l.arrive(1000); decision != policy.MemoryGranted {
		t.Errorf("decision %d", decision)
	}
	if _, decision := l.arrive(64 * mebibyte); decision != policy.MemoryGranted {
		t.Errorf("a request of 64 MiB got decision %d in calm", decision)
	}
	if _, decision := l.arrive(64 * mebibyte); decision != policy.MemoryRefused {
		t.Errorf("a second request of 64 MiB got decision %d", decision)
	}
}
