// Package stdout writes log lines to standard output without ever blocking the caller and with a bounded volume.
package stdout

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// defaultBuffer is the number of bytes that wait for a reader; what exceeds it is left out.
	defaultBuffer = 256 << 10
	// defaultRate and defaultBurst bound the lines of one message, in lines a second and lines at once. A process serves about 20
	// requests a second on the users' machines, so that calm days are logged in full.
	defaultRate  = 25.0
	defaultBurst = 100.0
	// reportInterval is how often the lines that were left out are counted in the log.
	reportInterval = time.Second
)

// Writer passes lines on to another writer from one goroutine. It leaves out lines of a message that comes too often, and lines for
// which the buffer has no room, and writes how many. Create it with New.
type Writer struct {
	out    io.Writer
	buffer int
	rate   float64
	burst  float64

	mu       sync.Mutex
	pending  bytes.Buffer
	messages map[string]*bucket
	leftOut  map[string]uint64
	total    uint64
	wake     chan struct{}
}

// bucket limits the lines of one message.
type bucket struct {
	tokens float64
	at     time.Time
}

// Option changes a Writer under construction.
type Option func(*Writer)

// WithBuffer sets the number of bytes that may wait.
func WithBuffer(size int) Option { return func(w *Writer) { w.buffer = size } }

// WithRate sets the lines of one message, per second and at once.
func WithRate(rate, burst float64) Option { return func(w *Writer) { w.rate, w.burst = rate, burst } }

// New returns a writer whose lines Run passes on to out.
func New(out io.Writer, options ...Option) *Writer {
	w := &Writer{
		out: out, buffer: defaultBuffer, rate: defaultRate, burst: defaultBurst,
		messages: make(map[string]*bucket), leftOut: make(map[string]uint64), wake: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(w)
	}
	return w
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	message := messageOf(line)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.allowed(message, time.Now()) || w.pending.Len()+len(line) > w.buffer {
		w.leftOut[message]++
		w.total++
		return len(line), nil
	}
	w.pending.Write(line)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// LeftOut returns the number of lines that were left out since the start.
func (w *Writer) LeftOut() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// messageOf returns the quoted message of a structured line, or an empty text.
func messageOf(line []byte) string {
	_, rest, ok := bytes.Cut(line, []byte(`] "`))
	if !ok {
		return ""
	}
	message, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(message)
}

// allowed takes a token of a message's bucket. The lock is held.
func (w *Writer) allowed(message string, now time.Time) bool {
	b := w.messages[message]
	if b == nil {
		b = &bucket{tokens: w.burst, at: now}
		w.messages[message] = b
	}
	b.tokens = min(w.burst, b.tokens+w.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Run passes lines on until stop is closed, and then those that wait.
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

// report adds a line for each message of which lines were left out.
func (w *Writer) report() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for message, count := range w.leftOut {
		at := time.Now().Format("0102 15:04:05.000000")
		fmt.Fprintf(&w.pending, "I%s log] \"log: lines left out\" message=%q count=%d\n", at, message, count)
		delete(w.leftOut, message)
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.pending.Bytes())
	w.pending.Reset()
	w.mu.Unlock()
	if len(lines) > 0 {
		// Nobody can be told of a failed write to the log.
		_, _ = w.out.Write(lines)
	}
}
