package grant_test

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"k8s.io/klog/v2"
)

// captureLogs returns a function that returns the log lines that a test has written.
func captureLogs(t *testing.T) func() string {
	t.Helper()
	var lines bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&lines)
	t.Cleanup(func() {
		klog.SetOutput(os.Stderr)
		klog.LogToStderr(true)
	})
	return func() string {
		klog.Flush()
		return lines.String()
	}
}

// TestLateCallsAreLogged guards against grants that arrive late, or are acknowledged late, without a trace in the logs, and against a line
// for each of them.
func TestLateCallsAreLogged(t *testing.T) {
	tests := []struct {
		name                    string
		answerTime, waitingTime time.Duration
		want                    string
	}{
		{name: "in time", answerTime: 50 * time.Millisecond},
		{name: "acknowledged late", answerTime: 150 * time.Millisecond, want: "answered=\"150ms\""},
		{name: "written late", waitingTime: 150 * time.Millisecond, want: "waited=\"150ms\""},
	}
	for _, test := range tests {
		logs := captureLogs(t)
		withTwoNodes(t, func(f fixture) {
			f.a.upstream.set(func(u *fakeUpstream) { u.answerTime, u.waitingTime = test.answerTime, test.waitingTime })
			time.Sleep(5 * time.Second)
		})
		lines := strings.Count(logs(), "grant: late")
		if want := min(len(test.want), 1); lines != want || !strings.Contains(logs(), test.want) {
			t.Errorf("%s: %d lines, want %d with %q", test.name, lines, want, test.want)
		}
		klog.SetOutput(io.Discard)
	}
}

// TestStalledGrantIsCounted guards against a process that stands still between the start of a grant call and the arrival of the grant, so
// that the upstream holds keys beyond the time that the instance counts when it releases them.
func TestStalledGrantIsCounted(t *testing.T) {
	tests := []struct {
		name               string
		stall, arrivalTime time.Duration
	}{
		{name: "before the write, within the call", stall: 150 * time.Millisecond},
		{name: "before the write, beyond the call", stall: 600 * time.Millisecond},
		{name: "after the write, acknowledged late", arrivalTime: 600 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTwoNodes(t, func(f fixture) {
				t, a, b := f.t, f.a, f.b
				time.Sleep(100 * time.Millisecond)
				a.upstream.set(func(u *fakeUpstream) { u.stall, u.arrivalTime = test.stall, test.arrivalTime })
				time.Sleep(120 * time.Millisecond)
				// A renewal is in flight. Neither the release nor later grants are answered.
				a.upstream.set(func(u *fakeUpstream) { u.unanswered, u.stall, u.arrivalTime = true, 0, 0 })
				b.manager.Update(assignAll(t, 2, b.self, a.self))
				if both := f.heldByBoth(innerKey, 4*time.Second); both > 0 {
					t.Errorf("both upstreams held key %d for %v", innerKey, both)
				}
				if !b.manager.Serves(innerKey) {
					t.Error("the successor doesn't serve the keys")
				}
			})
		})
	}
}

// TestStalledGrantEndsWithLease guards against a process that stands still between the start of a grant call and its write, so that the
// upstream holds keys beyond the lease.
func TestStalledGrantEndsWithLease(t *testing.T) {
	for _, stall := range []time.Duration{150 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second} {
		for lease := 1900 * time.Millisecond; lease < 2100*time.Millisecond; lease += 40 * time.Millisecond {
			withTwoNodes(t, func(f fixture) {
				t, a := f.t, f.a
				a.lease.extend(lease)
				end := a.lease.Expires()
				a.upstream.set(func(u *fakeUpstream) { u.stall = stall })
				time.Sleep(lease)
				held := time.Duration(0)
				for range 3000 {
					if a.upstream.holds(innerKey) {
						held = time.Since(end)
					}
					time.Sleep(time.Millisecond)
				}
				if held > 0 {
					t.Errorf("with a stall of %v and a lease of %v, the upstream held the keys until %v after its end", stall, lease, held)
				}
			})
		}
	}
}
