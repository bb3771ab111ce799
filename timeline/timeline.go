// Package timeline records the events of one process and merges those of all processes.
package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
)

// Event is one transition of a state chart or one decision. Its fields are exported because it is sent as JSON.
type Event struct {
	Stamp    Stamp  `json:"stamp"`
	Sequence uint64 `json:"sequence"`
	// Source is the incarnation that recorded the event.
	Source string `json:"source"`
	// Chart names the state chart, or the part of the system for decisions.
	Chart string `json:"chart"`
	// Subject is what changed: an incarnation, a partition, a sheet's version.
	Subject string `json:"subject"`
	From    string `json:"from,omitempty"`
	To      string `json:"to,omitempty"`
	Trigger string `json:"trigger"`
	Reason  string `json:"reason,omitempty"`
}

// String returns the event as one line.
func (e Event) String() string {
	var line strings.Builder
	fmt.Fprintf(&line, "%s.%05d  %-12s %-10s %-22s ", e.Stamp.Time().UTC().Format("15:04:05.000"), e.Stamp.Logical(),
		e.Source, e.Chart, e.Subject)
	if e.To != "" {
		fmt.Fprintf(&line, "%s -> %s ", e.From, e.To)
	}
	line.WriteString("(" + e.Trigger + ")")
	if e.Reason != "" {
		line.WriteString(" " + e.Reason)
	}
	return line.String()
}

// Log collects the events of one process in memory.
type Log struct {
	clock  *Clock
	source string
	mu     sync.Mutex
	ring   Ring[Event]
}

// NewLog returns an empty log of the events of one incarnation.
func NewLog(source string, clock *Clock) *Log { return &Log{source: source, clock: clock} }

// SetSource names the incarnation that records from now on.
func (l *Log) SetSource(source string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.source = source
}

// Add stamps an event and keeps it.
func (l *Log) Add(e Event) Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Stamp = l.clock.Now()
	e.Source = l.source
	e.Sequence = l.ring.Added() + 1
	l.ring.Add(e)
	return e
}

// After returns the events with a sequence number above after and how many older ones were dropped unread.
func (l *Log) After(after uint64) (events []Event, dropped uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ring.After(after)
}

// Merge returns all events in the order of their stamps. An event that appears in several inputs is kept once.
func Merge(logs ...[]Event) []Event {
	merged := slices.Concat(logs...)
	slices.SortFunc(merged, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Source, b.Source), cmp.Compare(a.Sequence, b.Sequence))
	})
	return slices.CompactFunc(merged, func(a, b Event) bool { return a.Source == b.Source && a.Sequence == b.Sequence })
}
