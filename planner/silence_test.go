package planner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"sapphiretray/code"
	"sapphiretray/member"
	"sapphiretray/planner"
	"sapphiretray/table"
)

// silentTable leaves reads of the table unanswered until the client's timeout while silent is set.
type silentTable struct {
	*table.Client
	silent atomic.Bool
}

func (s *silentTable) Get(ctx context.Context, key string) (table.Row, error) {
	if !s.silent.Load() {
		return s.Client.Get(ctx, key)
	}
	time.Sleep(table.DefaultTimeout)
	return table.Row{}, code.New(code.PlatformDown, "no response")
}

// TestPlansAfterSilentTable guards against a planner that stands still for many times as long as the table service was silent.
func TestPlansAfterSilentTable(t *testing.T) {
	// bound is that of a pause and a step.
	const bound = 3 * time.Second
	runWithPlatform(t, func(env *testEnv) {
		env.members(6, 1)
		silent := &silentTable{Client: env.table}
		defer env.start(env.planner("a", planner.WithPlatform(silent, env.objects)))()
		time.Sleep(10 * time.Second)
		silent.silent.Store(true)
		time.Sleep(2500 * time.Millisecond)
		silent.silent.Store(false)
		env.member(0, 2, member.Joining)
		before, answered := env.load().Version(), time.Now()
		for time.Since(answered) < 2*time.Minute && env.load().Version() == before {
			time.Sleep(50 * time.Millisecond)
		}
		if took := time.Since(answered); took > bound {
			t.Errorf("the next plan was written %v after the table service had responded again, want at most %v", took, bound)
		}
	})
}
