package config

// Defaults for limits and weights that are missing or zero.
const (
	DefaultMaxBodyBytes   = 64 << 20
	DefaultMaxHeld        = 1024
	DefaultMaxQueued      = 1024
	DefaultDedupEntries   = 65536
	DefaultRetryPercent   = 10
	DefaultWeight         = 1.0
	DefaultMovesPerMinute = 60
)

type rawLimits struct {
	MaxBodyBytes   int64 `json:"max_body_bytes,omitempty"`
	MaxHeld        int   `json:"max_held,omitempty"`
	MaxQueued      int   `json:"max_queued,omitempty"`
	DedupEntries   int   `json:"dedup_entries,omitempty"`
	RetryPercent   int   `json:"retry_percent,omitempty"`
	MovesPerMinute int   `json:"moves_per_minute,omitempty"`
}

type rawWeights struct {
	Churn       float64 `json:"churn,omitempty"`
	Imbalance   float64 `json:"imbalance,omitempty"`
	Unavailable float64 `json:"unavailable,omitempty"`
}

// Limits holds bounds on what an instance keeps in memory, how often it retries and how many moves the planner makes. Only MaxBodyBytes
// is applied at present; the others are validated and stored. The zero value has the defaults.
type Limits struct{ raw rawLimits }

// Limits returns the limits.
func (c Config) Limits() Limits { return Limits{raw: c.raw.Limits} }

// MaxBodyBytes is the maximum size of a request body on routes that set no limit of their own.
func (l Limits) MaxBodyBytes() int64 { return orDefault(l.raw.MaxBodyBytes, DefaultMaxBodyBytes) }

// MaxHeld is the maximum number of requests that wait in one instance for partitions that are being moved.
func (l Limits) MaxHeld() int { return orDefault(l.raw.MaxHeld, DefaultMaxHeld) }

// MaxQueued is the maximum number of requests that wait in one instance for its upstream.
func (l Limits) MaxQueued() int { return orDefault(l.raw.MaxQueued, DefaultMaxQueued) }

// DedupEntries is the maximum number of request ids that one instance remembers to detect retries.
func (l Limits) DedupEntries() int { return orDefault(l.raw.DedupEntries, DefaultDedupEntries) }

// RetryPercent is the maximum number of retries as a percentage of first attempts.
func (l Limits) RetryPercent() int { return orDefault(l.raw.RetryPercent, DefaultRetryPercent) }

// MovesPerMinute is the maximum number of planned moves a minute of a service for which the sheet sets no budget.
func (l Limits) MovesPerMinute() int { return orDefault(l.raw.MovesPerMinute, DefaultMovesPerMinute) }

// Weights holds the relative weights of the three metrics of placement. They are validated and stored, but not applied at present. The
// zero value weighs them equally.
type Weights struct{ raw rawWeights }

// Weights returns the weights of services for which the sheet sets none.
func (c Config) Weights() Weights { return Weights{raw: c.raw.Weights} }

// Churn returns the weight of moved keys.
func (w Weights) Churn() float64 { return orDefault(w.raw.Churn, DefaultWeight) }

// Imbalance returns the weight of unevenly distributed load.
func (w Weights) Imbalance() float64 { return orDefault(w.raw.Imbalance, DefaultWeight) }

// Unavailable returns the weight of time without a serving owner.
func (w Weights) Unavailable() float64 { return orDefault(w.raw.Unavailable, DefaultWeight) }

func orDefault[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}
