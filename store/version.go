package store

// A version holds the era of the store in its high bits and the store's own counter in the low ones, so that versions never go back: the
// store begins a new era each time it comes back from a copy that lacks its last transactions, and counts on from the copy's counter.
const (
	counterBits = 40
	// MaxCounter is the largest counter. It counts the transactions of the store, which at 5,000 per second get there after 7 years.
	MaxCounter = 1<<counterBits - 1
	// MaxEra is the largest era.
	MaxEra = 1<<13 - 1
	// MaxVersion is the bound of all versions. JSON numbers up to there are exact.
	MaxVersion = 1 << 53
)

// NewVersion returns the version of a counter in an era, neither of which may be above its largest value.
func NewVersion(era, counter uint64) uint64 { return era<<counterBits | counter }

// Era returns the era of a version.
func Era(version uint64) uint64 { return version >> counterBits }

// Counter returns the store's counter in a version.
func Counter(version uint64) uint64 { return version & MaxCounter }
