package bubble

import (
	"runtime"
	"sync"
	"testing"
	"time"
)

// TestDueTimers guards against a crash of the race detector, which ends the whole test binary, when goroutines of a bubble run timers at
// the same time.
func TestDueTimers(t *testing.T) {
	const goroutines, rounds = 400, 200
	tests := []struct {
		name string
		run  func()
	}{
		{"polled", func() {
			ticker := time.NewTicker(time.Millisecond)
			defer ticker.Stop()
			for range rounds {
				time.Sleep(2 * time.Millisecond)
				select {
				case <-ticker.C:
				default:
				}
			}
		}},
		{"set", func() {
			for range rounds {
				time.AfterFunc(0, func() {})
				time.Sleep(time.Millisecond)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			Test(t, func(*testing.T) {
				var group sync.WaitGroup
				for range goroutines {
					group.Go(test.run)
				}
				group.Wait()
			})
		})
	}
}

// TestProcessors guards against a process that is left with one processor after its bubbles, or that has several again while one of them
// still runs.
func TestProcessors(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	var l limit
	l.begin()
	l.begin()
	l.end()
	if limited := runtime.GOMAXPROCS(0); limited != 1 {
		t.Errorf("%d processors, want 1", limited)
	}
	l.end()
	if after := runtime.GOMAXPROCS(0); after != before {
		t.Errorf("%d processors, want %d", after, before)
	}
}
