// Package stdout writes log lines to standard output in limited volume, without ever blocking the code that logs.
package stdout

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// defaultBuffer is the number of bytes that may wait for the reader of the output. Lines for which it has no space are dropped.
	defaultBuffer = 256 << 10
	// defaultRate and defaultBurst bound the lines with the same message, in lines per second and lines at once. A process in
	// production serves about 20 requests per second, so normal load is logged in full.
	defaultRate  = 25.0
	defaultBurst = 100.0
	// reportInterval is how often the number of dropped lines is logged.
	reportInterval = time.Second
)

// Writer buffers lines, which Run writes to another writer. It limits the rate of lines with the same message. Lines beyond that rate
// and lines for which the buffer has no space are dropped, and their number is logged. Create it with New.
type Writer struct {
	out    io.Writer
	buffer int
	rate   float64
	burst  float64

	mu      sync.Mutex
	pending bytes.Buffer
	// buckets holds the rate limiter of each message.
	buckets map[string]*bucket
	// dropped counts the dropped lines of each message since the last report.
	dropped map[string]uint64
	// totalDropped counts all dropped lines since the start.
	totalDropped uint64
	wake         chan struct{}
}

// bucket is the token bucket of one message.
type bucket struct {
	tokens float64
	// refilled is when tokens were last added.
	refilled time.Time
}

// Option configures a Writer.
type Option func(*Writer)

// WithBuffer sets the size of the buffer in bytes.
func WithBuffer(size int) Option { return func(w *Writer) { w.buffer = size } }

// WithRate sets the limits on lines with the same message, in lines per second and lines at once.
func WithRate(rate, burst float64) Option { return func(w *Writer) { w.rate, w.burst = rate, burst } }

// New returns a writer whose lines Run writes to out.
func New(out io.Writer, options ...Option) *Writer {
	w := &Writer{
		out: out, buffer: defaultBuffer, rate: defaultRate, burst: defaultBurst,
		buckets: make(map[string]*bucket), dropped: make(map[string]uint64), wake: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(w)
	}
	return w
}

// Write adds one line to the buffer or drops it. It neither blocks nor fails.
func (w *Writer) Write(line []byte) (int, error) {
	message := messageOf(line)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.allowed(message, time.Now()) || w.pending.Len()+len(line) > w.buffer {
		w.dropped[message]++
		w.totalDropped++
		return len(line), nil
	}
	w.pending.Write(line)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines since the start.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDropped
}

// messageOf returns the quoted message of a structured log line, or an empty string if there is none.
func messageOf(line []byte) string {
	_, rest, ok := bytes.Cut(line, []byte(`] "`))
	if !ok {
		return ""
	}
	message, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(message)
}

// allowed takes a token from the bucket of a message and reports whether there was one. w.mu must be held.
func (w *Writer) allowed(message string, now time.Time) bool {
	b := w.buckets[message]
	if b == nil {
		b = &bucket{tokens: w.burst, refilled: now}
		w.buckets[message] = b
	}
	b.tokens = min(w.burst, b.tokens+w.rate*now.Sub(b.refilled).Seconds())
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Run writes the buffered lines as they come until stop is closed, and then the remaining ones.
func (w *Writer) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.wake:
		case <-ticker.C:
			w.report()
		case <-stop:
			w.report()
			w.flush()
			return
		}
		w.flush()
	}
}

// report adds a line to the buffer for each message of which lines were dropped.
func (w *Writer) report() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for message, count := range w.dropped {
		at := time.Now().Format("0102 15:04:05.000000")
		fmt.Fprintf(&w.pending, "I%s log] \"log: lines left out\" message=%q count=%d\n", at, message, count)
		delete(w.dropped, message)
	}
}

// flush writes the buffered lines.
func (w *Writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.pending.Bytes())
	w.pending.Reset()
	w.mu.Unlock()
	if len(lines) > 0 {
		// A failure to write the log can't be reported anywhere.
		_, _ = w.out.Write(lines)
	}
}
