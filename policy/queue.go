package policy

import (
	"container/heap"
	"slices"
	"time"
)

// Ticket is a request at an AdmissionController: waiting, running or done.
type Ticket struct {
	importance int
	deadline   time.Time
	sequence   uint64
	index      int
	state      ticketState
	onDecision func(error)
}

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketRunning
	ticketDone
)

// Running reports whether the request has been admitted and has not finished.
func (t *Ticket) Running() bool { return t.state == ticketRunning }

// Waiting reports whether the request is queued.
func (t *Ticket) Waiting() bool { return t.state == ticketWaiting }

// before reports whether t precedes other: by importance (higher first), then deadline (earlier first), then arrival.
func (t *Ticket) before(other *Ticket) bool {
	if t.importance != other.importance {
		return t.importance > other.importance
	}
	if !t.deadline.Equal(other.deadline) {
		return later(other.deadline, t.deadline)
	}
	return t.sequence < other.sequence
}

// notQueued is the index of a ticket that isn't in the heap.
const notQueued = -1

// ticketHeap implements heap.Interface in the order of Ticket.before.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int           { return len(h) }
func (h ticketHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *ticketHeap) Push(x any) {
	ticket := x.(*Ticket)
	ticket.index = len(*h)
	*h = append(*h, ticket)
}

func (h *ticketHeap) Pop() any {
	old := *h
	ticket := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	ticket.index = notQueued
	return ticket
}

// queue holds the waiting tickets of an AdmissionController.
//
// Strict order of importance would starve the less important requests while more important ones keep arriving. So one place is
// reserved for a request that would otherwise be shed, and every fairnessInterval-th admission goes alternately to that request
// and to the one that has waited longest. All others follow the order of Ticket.before.
type queue struct {
	tickets    ticketHeap
	reserved   *Ticket
	admissions uint64
}

// fairnessInterval is the number of admissions of which one ignores the order of importance.
const fairnessInterval = 16

func (q *queue) len() int {
	if q.reserved != nil {
		return len(q.tickets) + 1
	}
	return len(q.tickets)
}

func (q *queue) push(ticket *Ticket) { heap.Push(&q.tickets, ticket) }

func (q *queue) remove(ticket *Ticket) {
	if ticket == q.reserved {
		q.reserved = nil
		return
	}
	heap.Remove(&q.tickets, ticket.index)
}

// next removes and returns the next ticket to admit, or nil if none waits.
func (q *queue) next() *Ticket {
	if q.len() == 0 {
		return nil
	}
	q.admissions++
	ticket := q.reserved
	switch {
	case q.admissions%(2*fairnessInterval) == 0:
		ticket = q.oldest()
	case q.admissions%fairnessInterval == 0 && q.reserved != nil:
	case len(q.tickets) > 0:
		ticket = q.tickets[0]
	}
	q.remove(ticket)
	return ticket
}

// oldest returns the ticket that arrived first.
func (q *queue) oldest() *Ticket {
	oldest := q.reserved
	for _, ticket := range q.tickets {
		if oldest == nil || ticket.sequence < oldest.sequence {
			oldest = ticket
		}
	}
	return oldest
}

// last returns the last ticket in the order of Ticket.before.
func (q *queue) last() *Ticket {
	var last *Ticket
	for _, ticket := range q.tickets {
		if last == nil || last.before(ticket) {
			last = ticket
		}
	}
	return last
}

// ahead returns the number of tickets that precede the given one.
func (q *queue) ahead(ticket *Ticket) int {
	count := 0
	for _, other := range q.tickets {
		if other.before(ticket) {
			count++
		}
	}
	return count
}

// removeIf removes and returns the tickets for which drop returns true, in order of arrival.
func (q *queue) removeIf(drop func(*Ticket) bool) []*Ticket {
	var dropped []*Ticket
	for _, ticket := range q.tickets {
		if drop(ticket) {
			dropped = append(dropped, ticket)
		}
	}
	if q.reserved != nil && drop(q.reserved) {
		dropped = append(dropped, q.reserved)
	}
	for _, ticket := range dropped {
		q.remove(ticket)
	}
	slices.SortFunc(dropped, func(a, b *Ticket) int {
		if a.sequence < b.sequence {
			return -1
		}
		return 1
	})
	return dropped
}
