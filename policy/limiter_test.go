package policy_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/code"
	"sapphiretray/policy"
)

func wantCode(t *testing.T, err error, want code.Code) {
	t.Helper()
	if got, ok := code.Of(err); !ok || got != want {
		t.Fatalf("error %v, want code %v", err, want)
	}
}

func mustAcquire(t *testing.T, l *policy.Limiter, importance int) func(time.Duration, bool) {
	t.Helper()
	release, err := l.Acquire(t.Context(), importance, time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	return release
}

// TestLimiterZeroValueIsUnlimited guards against a zero value that blocks or refuses requests.
func TestLimiterZeroValueIsUnlimited(t *testing.T) {
	var l policy.Limiter
	for range 1000 {
		mustAcquire(t, &l, 0)
	}
	if l.InFlight() != 1000 || l.Limit() != 0 {
		t.Errorf("in flight %d, limit %d", l.InFlight(), l.Limit())
	}
}

// TestLimiterOrder guards against serving requests in order of arrival, or by deadline regardless of importance.
func TestLimiterOrder(t *testing.T) {
	type request struct {
		importance int
		deadline   time.Duration
	}
	tests := []struct {
		name     string
		requests []request
		want     []int
	}{
		{"importance before deadline", []request{{1, time.Second}, {9, time.Minute}, {5, time.Second}}, []int{1, 2, 0}},
		{"deadline within importance", []request{{5, time.Minute}, {5, time.Second}, {5, 0}}, []int{1, 0, 2}},
		{"arrival among equals", []request{{5, 0}, {5, 0}, {5, 0}}, []int{0, 1, 2}},
		{"importance out of range", []request{{-3, 0}, {0, 0}, {12, 0}, {9, 0}}, []int{2, 3, 0, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				l := policy.NewLimiter(1)
				release := mustAcquire(t, l, 9)
				var order []int
				var group sync.WaitGroup
				start := time.Now()
				for i, r := range test.requests {
					group.Go(func() {
						var deadline time.Time
						if r.deadline > 0 {
							deadline = start.Add(r.deadline)
						}
						release, err := l.Acquire(t.Context(), r.importance, deadline)
						if err != nil {
							t.Error(err)
							return
						}
						order = append(order, i)
						time.Sleep(time.Millisecond)
						release(time.Millisecond, true)
					})
					synctest.Wait()
				}
				release(time.Millisecond, true)
				group.Wait()
				if !slices.Equal(order, test.want) {
					t.Errorf("order %v, want %v", order, test.want)
				}
			})
		})
	}
}

// TestLimiterShedsLeastImportant guards against shedding an important request while a less important one stays queued.
func TestLimiterShedsLeastImportant(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		l := policy.NewLimiter(1, policy.WithQueue(2))
		release := mustAcquire(t, l, 9)
		results := make([]error, 5)
		var group sync.WaitGroup
		for i, importance := range []int{2, 3, 1, 4, 5} {
			group.Go(func() {
				release, err := l.Acquire(t.Context(), importance, time.Time{})
				results[i] = err
				if err == nil {
					release(time.Millisecond, true)
				}
			})
			synctest.Wait()
		}
		release(time.Millisecond, true)
		group.Wait()
		// Importance 1 is in the place reserved for a request that would otherwise be shed.
		for i, shed := range []bool{true, true, false, false, false} {
			if shed {
				wantCode(t, results[i], code.Shed)
			} else if results[i] != nil {
				t.Errorf("request %d: %v", i, results[i])
			}
		}
		if counts := l.Counts(); counts.Shed[2] != 1 || counts.Shed[3] != 1 {
			t.Errorf("shed %v", counts.Shed)
		}
	})
}

// TestLimiterDeadline guards against waiting for a slot until after the deadline, and against an estimate of the service time that
// is never corrected because all requests are refused.
func TestLimiterDeadline(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		l := policy.NewLimiter(1, policy.WithMaximum(1))
		_, err := l.Acquire(t.Context(), 5, time.Now())
		wantCode(t, err, code.TooLate)
		for range 50 {
			mustAcquire(t, l, 5)(time.Second, true)
		}
		release := mustAcquire(t, l, 5)
		start := time.Now()
		_, err = l.Acquire(t.Context(), 5, start.Add(1500*time.Millisecond))
		wantCode(t, err, code.TooLate)
		if time.Since(start) != 0 {
			t.Errorf("refused after %v, want at once", time.Since(start))
		}
		_, err = l.Acquire(t.Context(), 5, start.Add(3*time.Second))
		wantCode(t, err, code.TooLate)
		if time.Since(start).Round(time.Millisecond) != 3*time.Second || l.Queued() != 0 {
			t.Errorf("ended after %v with %d queued", time.Since(start), l.Queued())
		}
		release(time.Second, true)
		// An idle upstream gets the request despite the estimate.
		if _, err := l.Acquire(t.Context(), 5, time.Now().Add(time.Millisecond)); err != nil {
			t.Error(err)
		}
	})
}

// TestLimiterRelease guards against a slot that is freed twice, and against one that leaks if release isn't called.
func TestLimiterRelease(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		l := policy.NewLimiter(2)
		first, _ := mustAcquire(t, l, 5), mustAcquire(t, l, 5)
		first(time.Millisecond, true)
		first(time.Millisecond, true)
		if l.InFlight() != 1 {
			t.Fatalf("in flight %d after a double release, want 1", l.InFlight())
		}
		ctx, cancel := context.WithCancel(t.Context())
		forgotten, err := l.Acquire(ctx, 5, time.Time{})
		if err != nil {
			t.Fatal(err)
		}
		waiting := make(chan error, 1)
		var group sync.WaitGroup
		group.Go(func() {
			_, err := l.Acquire(ctx, 5, time.Time{})
			waiting <- err
		})
		synctest.Wait()
		cancel()
		group.Wait()
		synctest.Wait()
		err = <-waiting
		wantCode(t, err, code.TooLate)
		if !errors.Is(err, context.Canceled) {
			t.Errorf("error %v does not wrap the cause", err)
		}
		for _, when := range []string{"before", "after"} {
			if l.InFlight() != 1 || l.Queued() != 0 {
				t.Errorf("in flight %d, queued %d %s the late release, want 1 and 0", l.InFlight(), l.Queued(), when)
			}
			forgotten(time.Millisecond, true)
		}
	})
}

// TestLimiterDoesNotStarve guards against starvation of unimportant requests by important ones, and against a fairness rule that
// gives them too many slots.
func TestLimiterDoesNotStarve(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		l := policy.NewLimiter(1, policy.WithQueue(4))
		var served [policy.MaxImportance + 1]atomic.Int64
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		worker := func(importance int) {
			for ctx.Err() == nil {
				release, err := l.Acquire(ctx, importance, time.Time{})
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				served[importance].Add(1)
				time.Sleep(time.Millisecond)
				release(time.Millisecond, true)
			}
		}
		for range 8 {
			group.Go(func() { worker(9) })
			group.Go(func() { worker(0) })
		}
		time.Sleep(3 * time.Second)
		cancel()
		group.Wait()
		unimportant := served[0].Load()
		total := unimportant + served[9].Load()
		if unimportant < total/100 || unimportant > total/16+1 {
			t.Errorf("served %d unimportant of %d, want between 1%% and 1/16", unimportant, total)
		}
	})
}

// TestLimiterAdapts guards against a limit that leaves its bounds, stays high for a slow or failing upstream, or never recovers.
func TestLimiterAdapts(t *testing.T) {
	tests := []struct {
		name     string
		latency  time.Duration
		ok       bool
		min, max int
	}{
		{"fast", 10 * time.Millisecond, true, 24, 24},
		{"slow", 100 * time.Millisecond, true, 1, 3},
		{"failing", 10 * time.Millisecond, false, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				l := policy.NewLimiter(6)
				fill := func(windows int, latency time.Duration, ok bool) {
					for range windows {
						for done := 0; done < 50; {
							releases := make([]func(time.Duration, bool), l.Limit())
							for i := range releases {
								releases[i] = mustAcquire(t, l, 5)
							}
							time.Sleep(latency)
							for _, release := range releases {
								release(latency, ok)
							}
							done += len(releases)
						}
					}
				}
				fill(1, 10*time.Millisecond, true)
				if test.name == "slow" {
					fill(3, test.latency, test.ok)
				} else {
					fill(40, test.latency, test.ok)
				}
				if got := l.Limit(); got < test.min || got > test.max {
					t.Errorf("limit %d, want %d to %d", got, test.min, test.max)
				}
				fill(60, 10*time.Millisecond, true)
				if got := l.Limit(); got < 6 {
					t.Errorf("limit %d after recovery, want at least 6", got)
				}
				before := l.Limit()
				l.ColdStart(time.Second)
				if got := l.Limit(); 10*got > 3*before {
					t.Errorf("limit %d at a cold start, %d before", got, before)
				}
			})
		})
	}
}

// TestAdmissionMixedKinds guards against slow requests of one kind that shrink the limit, or that cause fast ones to be refused as
// too late.
func TestAdmissionMixedKinds(t *testing.T) {
	for _, share := range []float64{0.02, 0.1, 0.5} {
		for _, slowImportance := range []int{5, 1} {
			random := rand.New(rand.NewPCG(1, 1))
			a := policy.NewAdmissionController(6)
			now := time.Unix(0, 0)
			refused, low := 0, 0
			for range 5000 {
				type running struct {
					ticket  *policy.Ticket
					latency time.Duration
				}
				var all []running
				for range a.Limit(now) {
					latency := time.Duration((0.5 + 0.5*random.ExpFloat64()) * float64(10*time.Millisecond))
					importance, deadline := 5, now.Add(100*time.Millisecond)
					if random.Float64() < share {
						latency, importance, deadline = 100*latency, slowImportance, time.Time{}
					}
					ticket, err := a.Enter(now, importance, deadline, nil)
					if err != nil {
						refused++
						continue
					}
					all = append(all, running{ticket, latency})
				}
				for _, r := range all {
					a.Leave(now, r.ticket, r.latency, true)
				}
				now = now.Add(time.Second)
				if a.Limit(now) < 6 {
					low++
				}
			}
			if refused > 0 || low > 250 {
				t.Errorf("slow share %v of importance %d: %d refused, limit below the slots for %d of 5000 steps",
					share, slowImportance, refused, low)
			}
		}
	}
}
