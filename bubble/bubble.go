// Package bubble runs tests in synctest bubbles.
package bubble

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// Test runs a test in a bubble, see synctest.Test.
//
// In builds with the race detector, the process uses one processor meanwhile. The runtime of Go 1.26 has one race context for all timers of
// a bubble. A goroutine that sets a timer which is due, or polls its channel, runs the timer itself, and the race detector crashes if two
// threads do so at the same time.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	if raceEnabled {
		oneProcessor.begin()
		defer oneProcessor.end()
	}
	synctest.Test(t, f)
}

// oneProcessor is shared by tests that run in parallel.
var oneProcessor limit

// limit limits the process to one processor while it has users. The zero value has none.
type limit struct {
	mu sync.Mutex
	// users is the number of calls of begin without one of end yet, and processors the number of processors without the limit.
	users, processors int
}

// begin adds a user.
func (l *limit) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.users == 0 {
		l.processors = runtime.GOMAXPROCS(1)
	}
	l.users++
}

// end removes a user.
func (l *limit) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.users--
	if l.users == 0 {
		runtime.GOMAXPROCS(l.processors)
	}
}
