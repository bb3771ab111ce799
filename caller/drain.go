package caller

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"sapphiretray/code"
)

// interruptTimeout bounds the wait for requests in flight that have been interrupted.
const interruptTimeout = 200 * time.Millisecond

// errInterrupted is the cause with which the context of a request is cancelled that is in flight at the end of a drain.
var errInterrupted = errors.New("the instance has to end")

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// drain keeps the requests in flight and refuses new ones once the server is stopping. The zero value admits requests.
type drain struct {
	mu       sync.Mutex
	running  map[*inboundRequest]func()
	stopping bool
	// idle is closed when there are no more requests in flight; nil unless Drain waits.
	idle chan struct{}
}

// enter adds a new request. The function interrupt ends the request early. It returns false if the server is stopping.
func (d *drain) enter(in *inboundRequest, interrupt func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		return false
	}
	if d.running == nil {
		d.running = make(map[*inboundRequest]func())
	}
	d.running[in] = interrupt
	return true
}

// leave ends a request that enter has added.
func (d *drain) leave(in *inboundRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, in)
	if len(d.running) == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// interrupt ends all requests in flight.
func (d *drain) interrupt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, interrupt := range d.running {
		interrupt()
	}
}

// interruptedResult returns the result of a request whose last one is res, in case its context was cancelled with errInterrupted.
func interruptedResult(ctx context.Context, res result) result {
	if res.written || res.outcome.code == code.OK || !errors.Is(context.Cause(ctx), errInterrupted) {
		return res
	}
	res.outcome.code = code.Interrupted
	if res.outcome.notRun() {
		res.outcome.code = code.Draining
	}
	return res
}

// Drain refuses new requests with code.Draining and waits until those in flight are finished or ctx ends. It then interrupts them, so that
// they get a response that tells whether they may have run. Connections stay open, so that refused callers get a response.
func (s *Server) Drain(ctx context.Context) error {
	s.drain.mu.Lock()
	s.drain.stopping = true
	if len(s.drain.running) == 0 {
		s.drain.mu.Unlock()
		return nil
	}
	if s.drain.idle == nil {
		s.drain.idle = make(chan struct{})
	}
	idle := s.drain.idle
	s.drain.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
	}
	s.drain.interrupt()
	timer := time.NewTimer(interruptTimeout)
	defer timer.Stop()
	select {
	case <-idle:
	case <-timer.C:
	}
	return ctx.Err()
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int {
	s.drain.mu.Lock()
	defer s.drain.mu.Unlock()
	return len(s.drain.running)
}

// closeIfDraining tells a caller to close its connection if the server is stopping. Connections of other instances carry many requests at
// once and stay open until the HTTP server shuts down.
func (s *Server) closeIfDraining(h http.Header, in *inboundRequest) {
	s.drain.mu.Lock()
	defer s.drain.mu.Unlock()
	if s.drain.stopping && !in.forwarded {
		h.Set("Connection", "close")
	}
}
