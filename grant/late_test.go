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
