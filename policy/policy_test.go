package policy_test

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"sapphiretray/bubble"
	"sapphiretray/policy"
)

const budgetWindow = 10 * time.Second

// TestRetryBudgetBound guards against more than 10% retries in any window that ends with an allowed retry, for any sequence of calls.
func TestRetryBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b policy.RetryBudget
		start := time.Unix(0, 0)
		now := start
		var attempts, retries []time.Time
		within := func(times []time.Time) int {
			count := 0
			for _, at := range times {
				if now.Sub(at) < budgetWindow {
					count++
				}
			}
			return count
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "gap")) * time.Millisecond)
			for range rapid.IntRange(0, 100).Draw(t, "attempts") {
				b.AttemptAt(now)
				attempts = append(attempts, now)
			}
			for range rapid.IntRange(0, 20).Draw(t, "retries") {
				if !b.RetryAt(now) {
					continue
				}
				retries = append(retries, now)
				if got, bound := within(retries), max(3, within(attempts)/10); got > bound {
					t.Fatalf("%d retries in the window, at most %d allowed", got, bound)
				}
			}
		}
		if len(retries) > 3*int(now.Sub(start)/budgetWindow+1)+len(attempts)/10 {
			t.Fatalf("%d retries for %d attempts", len(retries), len(attempts))
		}
	})
}

// TestRetryBudgetTerms guards against a budget that ignores its configured terms, or changes of them.
func TestRetryBudgetTerms(t *testing.T) {
	terms := policy.RetryBudgetTerms{Ratio: 0.05, Minimum: 1, Window: 4 * time.Second}
	b := policy.NewRetryBudget(func() policy.RetryBudgetTerms { return terms })
	now := time.Unix(0, 0)
	allowed := func() int {
		n := 0
		for b.RetryAt(now) {
			n++
		}
		return n
	}
	if got := allowed(); got != 1 {
		t.Errorf("%d retries without attempts, want 1", got)
	}
	for range 100 {
		b.AttemptAt(now)
	}
	if got := allowed(); got != 4 {
		t.Errorf("%d more retries for 100 attempts, want 4", got)
	}
	now = now.Add(5 * time.Second)
	if got := allowed(); got != 1 {
		t.Errorf("%d retries after the window, want 1", got)
	}
	terms.Minimum = 3
	if got := allowed(); got != 2 {
		t.Errorf("%d more retries with a higher minimum, want 2", got)
	}
}

// TestRetryBudgetAllows guards against a process with few requests that can't retry, a busy one that can't use its 10%, and attempts that
// still count after the window.
func TestRetryBudgetAllows(t *testing.T) {
	tests := []struct {
		name     string
		attempts int
		wait     time.Duration
		want     int
	}{
		{"unused", 0, 0, 3},
		{"busy", 1000, 0, 100},
		{"within the window", 1000, 9 * time.Second, 100},
		{"after the window", 1000, 11 * time.Second, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				var b policy.RetryBudget
				for range test.attempts {
					b.Attempt()
				}
				time.Sleep(test.wait)
				got := 0
				for b.Retry() {
					got++
				}
				if got != test.want {
					t.Errorf("%d retries, want %d", got, test.want)
				}
			})
		})
	}
}

// TestEjector guards against the ejection of more than 30% of the targets, of healthy ones, or of ones that differ in speed by up
// to 1:4.
func TestEjector(t *testing.T) {
	tests := []struct {
		name                   string
		targets, failing, slow int
		factor                 time.Duration
		want                   int
	}{
		{"healthy", 10, 0, 0, 1, 0},
		{"one fails", 10, 1, 0, 1, 1},
		{"all fail", 10, 10, 0, 1, 3},
		{"too few targets", 3, 1, 0, 1, 0},
		{"within 1:4", 10, 0, 3, 4, 0},
		{"outlier", 10, 0, 1, 6, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				var e policy.Ejector[int]
				for target := range test.targets {
					e.Add(target)
				}
				for range 40 {
					for target := range test.targets {
						latency := time.Millisecond
						if target < test.slow {
							latency *= test.factor
						}
						e.Report(target, latency, target >= test.failing)
					}
				}
				if known, got := e.Counts(); got != test.want || known != test.targets {
					t.Errorf("%d of %d ejected, want %d of %d", got, known, test.want, test.targets)
				}
			})
		})
	}
}

// TestEjectorPrefersFailing guards against a failing target that stays in use because slow ones fill the allowed share of ejections.
func TestEjectorPrefersFailing(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var e policy.Ejector[int]
		for range 40 {
			for target := range 4 {
				latency := time.Millisecond
				if target == 0 {
					latency = time.Second
				}
				e.Report(target, latency, true)
			}
		}
		if !e.Ejected(0) {
			t.Fatal("the slow target isn't ejected")
		}
		for range 5 {
			e.Report(1, 0, false)
		}
		if e.Ejected(0) || !e.Ejected(1) {
			t.Errorf("slow ejected %t, failing ejected %t", e.Ejected(0), e.Ejected(1))
		}
	})
}

// TestEjectionTime guards against ejections that don't get longer, don't end, or are still long after a recovery.
func TestEjectionTime(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var e policy.Ejector[int]
		for target := range 10 {
			e.Add(target)
		}
		eject := func() time.Duration {
			for range 5 {
				e.Report(0, 0, false)
			}
			start := time.Now()
			for e.Ejected(0) {
				time.Sleep(100 * time.Millisecond)
			}
			return time.Since(start)
		}
		for _, want := range []time.Duration{1, 2, 4, 8, 16, 32, 60, 60} {
			if got := eject(); got != want*time.Second {
				t.Errorf("ejected for %v, want %v", got, want*time.Second)
			}
		}
		time.Sleep(10 * time.Minute)
		if got := eject(); got != time.Second {
			t.Errorf("ejected for %v after a recovery, want 1 s", got)
		}
	})
}

// TestSlowStart guards against a weight outside 0.3 to 1, or one that doesn't grow linearly.
func TestSlowStart(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var s policy.SlowStart
		if s.Weight() != 1 {
			t.Errorf("weight %v of the zero value, want 1", s.Weight())
		}
		s.Start(time.Now(), 10*time.Second)
		for _, want := range []float64{0.3, 0.65, 1, 1} {
			if got := s.Weight(); got < want-1e-9 || got > want+1e-9 {
				t.Errorf("weight %v, want %v", got, want)
			}
			time.Sleep(5 * time.Second)
		}
	})
}

// TestBalancerReports guards against stale or false load reports that attract or repel all requests, and against ignoring the capacity, the
// start rate, the faults or the slowness of a target.
func TestBalancerReports(t *testing.T) {
	const slots = 6
	tests := []struct {
		name string
		age  time.Duration
		// load is the report of the first target, and others that of each other one; they send none if its Slots are 0.
		load, others policy.TargetLoad
		outcome      policy.TargetOutcome
		min, max     int
	}{
		{"equal", 0, policy.TargetLoad{Slots: slots}, policy.TargetLoad{}, policy.TargetServed, 90, 110},
		{
			"false report of idleness", 0,
			policy.TargetLoad{Slots: slots},
			policy.TargetLoad{Running: slots, Waiting: 14, Slots: slots},
			policy.TargetServed, 90, 140,
		},
		{"fresh report of load", 0, policy.TargetLoad{Running: 1000, Slots: slots}, policy.TargetLoad{}, policy.TargetServed, 0, 0},
		{
			"stale report of load", 30 * time.Second,
			policy.TargetLoad{Running: 1000, Slots: slots},
			policy.TargetLoad{},
			policy.TargetServed, 90, 110,
		},
		{"four times the capacity", 0, policy.TargetLoad{Slots: 4 * slots}, policy.TargetLoad{}, policy.TargetServed, 270, 340},
		{"cold", 0, policy.TargetLoad{Slots: slots, StartRate: 15}, policy.TargetLoad{}, policy.TargetServed, 15, 50},
		{"unreachable", 0, policy.TargetLoad{}, policy.TargetLoad{}, policy.TargetUnreachable, 0, 0},
		{"twice as slow as usual", 0, policy.TargetLoad{Slots: slots, Slowness: 2}, policy.TargetLoad{}, policy.TargetServed, 60, 105},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			b := policy.NewBalancer[int](7)
			test.load.Wait, test.others.Wait = -1, -1
			b.Begin(0, "")(now.Add(-test.age), test.load, test.outcome)
			candidates := make([]policy.Candidate[int], 10)
			for target := range candidates {
				candidates[target].Target = target
				if target > 0 {
					b.Report(now, target, "", test.others)
				}
			}
			counts := make([]int, len(candidates))
			for range 1000 {
				choice, ok := b.Choose(now, "", candidates)
				if !ok {
					t.Fatal("no target")
				}
				b.Begin(choice.Target, "")
				counts[choice.Target]++
			}
			if counts[0] < test.min || counts[0] > test.max {
				t.Errorf("chosen %d times of 1000, want %d to %d", counts[0], test.min, test.max)
			}
		})
	}
}

// TestCollectors guards against collectors whose collected metrics don't match their descriptions.
func TestCollectors(t *testing.T) {
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(
		policy.LimiterCollector("a", policy.NewLimiter(6)),
		policy.LimiterCollector("b", &policy.Limiter{}),
		policy.BudgetCollector("calls", &policy.RetryBudget{}),
		policy.EjectorCollector("peers", &policy.Ejector[string]{}),
	)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	if len(families) != 11 {
		t.Errorf("%d metric families, want 11", len(families))
	}
}
