package policy_test

import (
	"testing"
	"time"

	"sapphiretray/policy"
)

// BenchmarkLimiter measures the overhead of admission per request without overload.
func BenchmarkLimiter(b *testing.B) {
	l := policy.NewLimiter(64)
	ctx := b.Context()
	deadline := time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		release, err := l.Acquire(ctx, 5, deadline)
		if err != nil {
			b.Fatal(err)
		}
		release(time.Millisecond, true)
	}
}
