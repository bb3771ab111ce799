package loglimit_test

import (
	"strings"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/loglimit"
)

// TestLimiter guards against a log line for the same odd input each time it is read, and against unbounded lines for many odd inputs.
func TestLimiter(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var l loglimit.Limiter
		lines := 0
		for n := range 10 * loglimit.MaxLines {
			for range 3 {
				if l.Allow(strings.Repeat("k", n)) {
					lines++
				}
			}
		}
		if lines != loglimit.MaxLines {
			t.Errorf("%d lines, want %d", lines, loglimit.MaxLines)
		}
		time.Sleep(loglimit.Interval)
		if !l.Allow("k") || l.Allow("k") {
			t.Error("not one line after the interval")
		}
	})
	if long := loglimit.Text(strings.Repeat("k", 1<<20)); len(long) > 200 {
		t.Errorf("%d bytes", len(long))
	}
}
