package policy

import (
	"sync"
	"time"
)

const (
	// budgetBuckets is the number of buckets of the sliding window.
	budgetBuckets = 20
	// roundingError is an upper bound of the floating-point error when the ratio is multiplied by a count.
	roundingError = 1e-6
)

// RetryBudgetTerms define how many retries are allowed within Window: Ratio times the number of first attempts, but at least Minimum.
type RetryBudgetTerms struct {
	Ratio   float64
	Minimum int
	Window  time.Duration
}

// defaultRetryBudgetTerms allow one retry for every 10 first attempts within 10 s. The minimum lets a process with few requests retry.
func defaultRetryBudgetTerms() RetryBudgetTerms {
	return RetryBudgetTerms{Ratio: 0.1, Minimum: 3, Window: 10 * time.Second}
}

// RetryBudget limits retries. By default, it allows a retry if the last 10 s, with this retry, hold at most one retry for every 10
// first attempts, or at most 3 retries. NewRetryBudget returns a budget with other terms. The zero value is ready to use.
//
// The window is divided into 20 buckets. Attempts are counted over at most the window and retries over at least the window, so
// that rounding to buckets never allows more retries.
type RetryBudget struct {
	terms   func() RetryBudgetTerms
	mu      sync.Mutex
	buckets [budgetBuckets + 1]budgetCount
	origin  time.Time
	// bucketWidth is the time that one bucket covers.
	bucketWidth time.Duration
	current     int64 // Number of the current bucket since origin.
	totals      RetryBudgetCounts
}

type budgetCount struct{ attempts, retries uint64 }

// NewRetryBudget returns a budget that reads its terms at each retry. The window must be positive; it is read at the first use only.
func NewRetryBudget(terms func() RetryBudgetTerms) *RetryBudget { return &RetryBudget{terms: terms} }

// currentTerms returns the terms that apply now.
func (b *RetryBudget) currentTerms() RetryBudgetTerms {
	if b.terms == nil {
		return defaultRetryBudgetTerms()
	}
	return b.terms()
}

// RetryBudgetCounts are the totals of a budget since its start. Refused counts the retries that exceeded the budget.
type RetryBudgetCounts struct{ Attempts, Retries, Refused uint64 }

// Attempt counts a first attempt.
func (b *RetryBudget) Attempt() { b.AttemptAt(time.Now()) }

// Retry reports whether a retry is within the budget, and counts it if so.
func (b *RetryBudget) Retry() bool { return b.RetryAt(time.Now()) }

// AttemptAt is Attempt at the given time.
func (b *RetryBudget) AttemptAt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now).attempts++
	b.totals.Attempts++
}

// RetryAt is Retry at the given time.
func (b *RetryBudget) RetryAt(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.advance(now)
	var attempts, retries uint64
	oldest := b.bucketIndex(b.current + 1)
	for i := range b.buckets {
		retries += b.buckets[i].retries
		if i != oldest {
			attempts += b.buckets[i].attempts
		}
	}
	terms := b.currentTerms()
	if float64(retries+1) > max(terms.Ratio*float64(attempts)+roundingError, float64(terms.Minimum)) {
		b.totals.Refused++
		return false
	}
	bucket.retries++
	b.totals.Retries++
	return true
}

// Counts returns the totals since the start.
func (b *RetryBudget) Counts() RetryBudgetCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totals
}

// advance clears the buckets that have left the window and returns the current one. A time before the current bucket
// is counted in the current one.
func (b *RetryBudget) advance(now time.Time) *budgetCount {
	if b.origin.IsZero() {
		b.origin = now
		b.bucketWidth = b.currentTerms().Window / budgetBuckets
	}
	number := max(b.current, int64(now.Sub(b.origin)/b.bucketWidth))
	first := max(b.current+1, number-budgetBuckets)
	for n := first; n <= number; n++ {
		b.buckets[b.bucketIndex(n)] = budgetCount{}
	}
	b.current = number
	return &b.buckets[b.bucketIndex(number)]
}

func (b *RetryBudget) bucketIndex(number int64) int { return int(number % int64(len(b.buckets))) }
