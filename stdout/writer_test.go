package stdout_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/stdout"
)

// sink collects the output.
type sink struct {
	mu   sync.Mutex
	text strings.Builder
	// blocked, if set, blocks writes until it is closed.
	blocked chan struct{}
}

func (s *sink) Write(p []byte) (int, error) {
	if s.blocked != nil {
		<-s.blocked
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *sink) count(text string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Count(s.text.String(), text)
}

// line returns a log line in the format of klog.
func line(message string, n int) []byte {
	return fmt.Appendf(nil, "I0101 00:00:00.000000 1 file.go:1] %q n=%d\n", message, n)
}

// run runs a test with a writer whose output goes to a sink. The clock is that of synctest.
func run(t *testing.T, s *sink, test func(w *stdout.Writer), options ...stdout.Option) {
	t.Helper()
	bubble.Test(t, func(*testing.T) {
		w := stdout.New(s, options...)
		stop := make(chan struct{})
		var group sync.WaitGroup
		group.Go(func() { w.Run(stop) })
		test(w)
		close(stop)
		group.Wait()
	})
}

// TestBoundedVolume guards against a log volume that grows with the load, and against lines that are dropped without notice.
func TestBoundedVolume(t *testing.T) {
	s := &sink{}
	run(t, s, func(w *stdout.Writer) {
		for n := range 10000 {
			_, _ = w.Write(line("request: failed", n))
			time.Sleep(time.Millisecond)
		}
		_, _ = w.Write(line("lease: changed", 0))
		time.Sleep(2 * time.Second)
	})
	if got := s.count("request: failed\" n="); got < 300 || got > 400 {
		t.Errorf("%d lines of 10,000 in 10 s, want 100 at once and 25 a second", got)
	}
	if s.count("lease: changed") != 1 {
		t.Error("a rare message was dropped because of a frequent one")
	}
	if s.count("lines left out") == 0 {
		t.Error("the log doesn't say that lines were dropped")
	}
}

// TestBlockedReader guards against requests that are blocked because nobody reads the log.
func TestBlockedReader(t *testing.T) {
	s := &sink{blocked: make(chan struct{})}
	run(t, s, func(w *stdout.Writer) {
		started := time.Now()
		for n := range 10000 {
			_, _ = w.Write(line(fmt.Sprint("message ", n), n))
		}
		if time.Since(started) > 0 {
			t.Error("writes were blocked")
		}
		if w.Dropped() == 0 {
			t.Error("no line was dropped although the buffer was full")
		}
		close(s.blocked)
	}, stdout.WithBuffer(10000))
	if s.count("message") == 0 {
		t.Error("no line was written after the reader resumed")
	}
}
