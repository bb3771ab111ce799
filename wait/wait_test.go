package wait_test

import (
	"context"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/wait"
)

// TestFor guards against a wait that outlasts its context, and against a wrong result.
func TestFor(t *testing.T) {
	tests := []struct {
		wait, timeout, elapsed time.Duration
		want                   bool
	}{
		{time.Second, time.Minute, time.Second, true},
		{time.Minute, time.Second, time.Second, false},
		{0, time.Second, 0, true},
		{-time.Second, time.Second, 0, true},
		{-time.Second, 0, 0, false},
	}
	for _, test := range tests {
		bubble.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
			defer cancel()
			start := time.Now()
			if got := wait.For(ctx, test.wait); got != test.want || time.Since(start) != test.elapsed {
				t.Errorf("%v with a context of %v: %v after %v, want %v after %v", test.wait, test.timeout, got, time.Since(start),
					test.want, test.elapsed)
			}
		})
	}
}

// TestEvery guards against calls after the context has ended, and against a call before the first interval has passed.
func TestEvery(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		start, calls := time.Now(), 0
		wait.Every(ctx, time.Second, func(now time.Time) {
			calls++
			if want := start.Add(time.Duration(calls) * time.Second); !now.Equal(want) {
				t.Errorf("call %d at %v, want %v", calls, now.Sub(start), want.Sub(start))
			}
		})
		if calls != 3 || time.Since(start) != 3500*time.Millisecond {
			t.Errorf("%d calls in %v", calls, time.Since(start))
		}
	})
}
