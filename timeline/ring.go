package timeline

// Ring is a ring buffer that keeps the newest values added to it. The zero value keeps up to DefaultRingSize values.
type Ring[T any] struct {
	size   int
	values []T
	added  uint64
}

// DefaultRingSize is the capacity of the zero value of Ring.
const DefaultRingSize = 4096

// NewRing returns a ring that keeps up to size values.
func NewRing[T any](size int) *Ring[T] { return &Ring[T]{size: size} }

// Add appends a value and drops the oldest one if the ring is full.
func (r *Ring[T]) Add(value T) {
	if r.size <= 0 {
		r.size = DefaultRingSize
	}
	if len(r.values) < r.size {
		r.values = append(r.values, value)
	} else {
		r.values[r.added%uint64(r.size)] = value
	}
	r.added++
}

// Added returns the number of values added so far, which is the sequence number of the newest one.
func (r *Ring[T]) Added() uint64 { return r.added }

// After returns the values with sequence numbers greater than after, oldest first, and the number of such values that were
// dropped already because the ring was full.
func (r *Ring[T]) After(after uint64) (values []T, dropped uint64) {
	oldest := r.added - uint64(len(r.values))
	if after < oldest {
		dropped = oldest - after
		after = oldest
	}
	for n := after; n < r.added; n++ {
		values = append(values, r.values[n%uint64(r.size)])
	}
	return values, dropped
}
