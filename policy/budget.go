package policy

import (
	"sync"
	"time"
)

const (
	budgetWindow  = 10 * time.Second
	budgetBuckets = 20
	budgetBucket  = budgetWindow / budgetBuckets
	// budgetDivisor allows one retry for each 10 first attempts.
	budgetDivisor = 10
	// budgetMinimum lets a process with few requests retry.
	budgetMinimum = 3
)

// Budget bounds retries: whenever one is allowed, the last 10 s hold at most one retry for each 10 first attempts, or 3
// retries if that is more. The zero value is ready to use.
//
// Time is counted in half-second buckets. Attempts are counted over at most 10 s and retries over at least 10 s, so that
// the rounding never allows more.
type Budget struct {
	mu      sync.Mutex
	buckets [budgetBuckets + 1]budgetCount
	origin  time.Time
	current int64
	totals  BudgetCounts
}

type budgetCount struct{ attempts, retries uint64 }

// BudgetCounts are a budget's totals.
type BudgetCounts struct{ Attempts, Retries, Refused uint64 }

// Attempt counts a first attempt.
func (b *Budget) Attempt() { b.AttemptAt(time.Now()) }

// Retry reports whether a retry is within the budget, and counts it if so.
func (b *Budget) Retry() bool { return b.RetryAt(time.Now()) }

// AttemptAt counts a first attempt at a time.
func (b *Budget) AttemptAt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now).attempts++
	b.totals.Attempts++
}

// RetryAt reports whether a retry at a time is within the budget, and counts it if so.
func (b *Budget) RetryAt(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.advance(now)
	var attempts, retries uint64
	oldest := b.slot(b.current + 1)
	for i := range b.buckets {
		retries += b.buckets[i].retries
		if i != oldest {
			attempts += b.buckets[i].attempts
		}
	}
	if retries >= max(attempts/budgetDivisor, budgetMinimum) {
		b.totals.Refused++
		return false
	}
	bucket.retries++
	b.totals.Retries++
	return true
}

// Counts returns the totals since the start.
func (b *Budget) Counts() BudgetCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totals
}

// advance clears the buckets that have left the window and returns the current one. A time before the current bucket
// counts in the current one.
func (b *Budget) advance(now time.Time) *budgetCount {
	if b.origin.IsZero() {
		b.origin = now
	}
	number := max(b.current, int64(now.Sub(b.origin)/budgetBucket))
	first := max(b.current+1, number-budgetBuckets)
	for n := first; n <= number; n++ {
		b.buckets[b.slot(n)] = budgetCount{}
	}
	b.current = number
	return &b.buckets[b.slot(number)]
}

func (b *Budget) slot(number int64) int { return int(number % int64(len(b.buckets))) }
