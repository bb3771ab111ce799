package policy

import (
	"sync"
	"time"
)

const (
	budgetBuckets = 20
	// roundingError is more than products of the ratio with counts are off by.
	roundingError = 1e-6
)

// BudgetTerms say how many retries are allowed: in any Window, Ratio for each first attempt, or Minimum if that is more.
type BudgetTerms struct {
	Ratio   float64
	Minimum int
	Window  time.Duration
}

// defaultBudget allows one retry for each 10 first attempts in 10 s, and lets a process with few requests retry.
func defaultBudget() BudgetTerms {
	return BudgetTerms{Ratio: 0.1, Minimum: 3, Window: 10 * time.Second}
}

// Budget bounds retries: whenever one is allowed, the last 10 s hold at most one retry for each 10 first attempts, or 3
// retries if that is more. NewBudget returns one with other terms. The zero value is ready to use.
//
// Time is counted in twentieths of the window. Attempts are counted over at most the window and retries over at least the window, so
// that the rounding never allows more.
type Budget struct {
	terms   func() BudgetTerms
	mu      sync.Mutex
	buckets [budgetBuckets + 1]budgetCount
	origin  time.Time
	// bucket is the time that one bucket covers.
	bucket  time.Duration
	current int64
	totals  BudgetCounts
}

type budgetCount struct{ attempts, retries uint64 }

// NewBudget returns a budget whose terms may change, but for the window, which must be positive and is that of the first use.
func NewBudget(terms func() BudgetTerms) *Budget { return &Budget{terms: terms} }

// inForce returns the terms in force.
func (b *Budget) inForce() BudgetTerms {
	if b.terms == nil {
		return defaultBudget()
	}
	return b.terms()
}

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
	terms := b.inForce()
	if float64(retries+1) > max(terms.Ratio*float64(attempts)+roundingError, float64(terms.Minimum)) {
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
		b.bucket = b.inForce().Window / budgetBuckets
	}
	number := max(b.current, int64(now.Sub(b.origin)/b.bucket))
	first := max(b.current+1, number-budgetBuckets)
	for n := first; n <= number; n++ {
		b.buckets[b.slot(n)] = budgetCount{}
	}
	b.current = number
	return &b.buckets[b.slot(number)]
}

func (b *Budget) slot(number int64) int { return int(number % int64(len(b.buckets))) }
