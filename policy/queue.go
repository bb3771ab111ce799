package policy

import (
	"container/heap"
	"slices"
	"time"
)

// Ticket is a request at an Admission: waiting, running or done.
type Ticket struct {
	importance int
	deadline   time.Time
	sequence   uint64
	index      int
	state      ticketState
	decided    func(error)
}

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketRunning
	ticketDone
)

// Running reports whether the request was admitted and has not finished.
func (t *Ticket) Running() bool { return t.state == ticketRunning }

// Waiting reports whether the request is queued.
func (t *Ticket) Waiting() bool { return t.state == ticketWaiting }

// before orders by importance (higher first), deadline (earlier first), then arrival.
func (t *Ticket) before(other *Ticket) bool {
	if t.importance != other.importance {
		return t.importance > other.importance
	}
	if !t.deadline.Equal(other.deadline) {
		return later(other.deadline, t.deadline)
	}
	return t.sequence < other.sequence
}

const notQueued = -1

// ticketHeap implements heap.Interface.
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

// queue holds the waiting tickets of an Admission.
//
// Serving strictly by importance would let an unbroken stream of important requests block all others for ever. So one
// place is kept for a request that would otherwise be shed for its importance, and every turnInterval-th grant goes by
// turns to that request and to the one that has waited longest. All other grants follow the order of importance.
type queue struct {
	tickets ticketHeap
	reserve *Ticket
	grants  uint64
}

const turnInterval = 16

func (q *queue) len() int {
	if q.reserve != nil {
		return len(q.tickets) + 1
	}
	return len(q.tickets)
}

func (q *queue) push(ticket *Ticket) { heap.Push(&q.tickets, ticket) }

func (q *queue) remove(ticket *Ticket) {
	if ticket == q.reserve {
		q.reserve = nil
		return
	}
	heap.Remove(&q.tickets, ticket.index)
}

// next removes and returns the ticket that is served next, or nil if none waits.
func (q *queue) next() *Ticket {
	if q.len() == 0 {
		return nil
	}
	q.grants++
	ticket := q.reserve
	switch {
	case q.grants%(2*turnInterval) == 0:
		ticket = q.oldest()
	case q.grants%turnInterval == 0 && q.reserve != nil:
	case len(q.tickets) > 0:
		ticket = q.tickets[0]
	}
	q.remove(ticket)
	return ticket
}

func (q *queue) oldest() *Ticket {
	oldest := q.reserve
	for _, ticket := range q.tickets {
		if oldest == nil || ticket.sequence < oldest.sequence {
			oldest = ticket
		}
	}
	return oldest
}

// last returns the ticket that the order of importance serves last.
func (q *queue) last() *Ticket {
	var last *Ticket
	for _, ticket := range q.tickets {
		if last == nil || last.before(ticket) {
			last = ticket
		}
	}
	return last
}

// ahead counts the tickets that are served before the given one.
func (q *queue) ahead(ticket *Ticket) int {
	count := 0
	for _, other := range q.tickets {
		if other.before(ticket) {
			count++
		}
	}
	return count
}

// removeIf removes and returns the tickets for which drop holds, in order of arrival.
func (q *queue) removeIf(drop func(*Ticket) bool) []*Ticket {
	var dropped []*Ticket
	for _, ticket := range q.tickets {
		if drop(ticket) {
			dropped = append(dropped, ticket)
		}
	}
	if q.reserve != nil && drop(q.reserve) {
		dropped = append(dropped, q.reserve)
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
