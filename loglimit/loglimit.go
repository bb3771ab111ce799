// Package loglimit bounds the log lines about input that other programs repeat.
package loglimit

import (
	"sync"
	"time"
)

const (
	// Interval is the time in which a subject is logged once.
	Interval = 10 * time.Minute
	// MaxLines bounds the lines of a Limiter per Interval.
	MaxLines = 50
	// maxTextBytes is the number of bytes of a text that are logged.
	maxTextBytes = 100
)

// Limiter limits log lines to one per subject and to MaxLines in all per Interval. The zero value is ready to use.
type Limiter struct {
	mu     sync.Mutex
	since  time.Time
	logged map[string]bool
}

// Allow reports whether a line about a subject is to be written.
func (l *Limiter) Allow(subject string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.logged == nil || now.Sub(l.since) >= Interval {
		l.since, l.logged = now, make(map[string]bool)
	}
	if l.logged[subject] || len(l.logged) >= MaxLines {
		return false
	}
	l.logged[subject] = true
	return true
}

// Text returns the first bytes of a text of another program.
func Text(text string) string { return text[:min(len(text), maxTextBytes)] }
