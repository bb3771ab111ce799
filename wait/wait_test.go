package wait_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"sapphiretray/wait"
)

// TestFor guards against a wait that outlasts its context, and one that reports a time that hasn't passed.
func TestFor(t *testing.T) {
	tests := []struct {
		wait, life, took time.Duration
		want             bool
	}{
		{time.Second, time.Minute, time.Second, true},
		{time.Minute, time.Second, time.Second, false},
		{0, time.Second, 0, true},
		{-time.Second, time.Second, 0, true},
		{-time.Second, 0, 0, false},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), test.life)
			defer cancel()
			start := time.Now()
			if got := wait.For(ctx, test.wait); got != test.want || time.Since(start) != test.took {
				t.Errorf("%v with a life of %v: %v after %v, want %v after %v", test.wait, test.life, got, time.Since(start),
					test.want, test.took)
			}
		})
	}
}

// TestEvery guards against calls that go on after the context, and against one before the first interval.
func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
