// Package timeline records the events of one process and merges the events of several processes in the order of their stamps.
package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
)

// Event is a transition of a state chart or a decision, such as one of the planner. It is sent to other processes as JSON.
type Event struct {
	Stamp Stamp `json:"stamp"`
	// Sequence numbers the events of one Log from 1.
	Sequence uint64 `json:"sequence"`
	// Source is the incarnation that recorded the event.
	Source string `json:"source"`
	// Chart is the name of the state chart or, for a decision, of the component that made it.
	Chart string `json:"chart"`
	// Subject is what changed, such as an incarnation, a partition or a version of the sheet.
	Subject string `json:"subject"`
	// From and To are the states or owners before and after the change.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
	// Trigger is the trigger of the transition or, for a decision, its kind.
	Trigger string `json:"trigger"`
	// Reason is a text for operators, or empty.
	Reason string `json:"reason,omitempty"`
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

// Log keeps the newest DefaultRingSize events of one process in memory. It is safe for concurrent use.
type Log struct {
	clock  *Clock
	source string
	mu     sync.Mutex
	ring   Ring[Event]
}

// NewLog returns an empty log. Source is the incarnation that records the events, and clock stamps them.
func NewLog(source string, clock *Clock) *Log { return &Log{source: source, clock: clock} }

// SetSource sets the incarnation that records the events from now on.
func (l *Log) SetSource(source string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.source = source
}

// Add records an event with a new stamp, the log's source and the next sequence number, and returns it with these fields.
func (l *Log) Add(e Event) Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Stamp = l.clock.Now()
	e.Source = l.source
	e.Sequence = l.ring.Added() + 1
	l.ring.Add(e)
	return e
}

// After returns the events with sequence numbers greater than after, oldest first, and the number of such events that were
// dropped already because the log was full.
func (l *Log) After(after uint64) (events []Event, dropped uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ring.After(after)
}

// Merge returns all events in the order of their stamps. An event that appears in several inputs is returned once.
func Merge(logs ...[]Event) []Event {
	merged := slices.Concat(logs...)
	slices.SortFunc(merged, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Source, b.Source), cmp.Compare(a.Sequence, b.Sequence))
	})
	return slices.CompactFunc(merged, func(a, b Event) bool { return a.Source == b.Source && a.Sequence == b.Sequence })
}
