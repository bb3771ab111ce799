package caller

import (
	"context"
	"net/http"
	"sync"
)

// drain counts the requests in flight and refuses new ones once the server is stopping. The zero value admits requests.
type drain struct {
	mu       sync.Mutex
	running  int
	stopping bool
	// idle is closed when running becomes 0; nil unless Drain waits.
	idle chan struct{}
}

// enter counts a new request. It returns false if the server is stopping.
func (d *drain) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		return false
	}
	d.running++
	return true
}

// leave ends a request that enter has counted.
func (d *drain) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	if d.running == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// Drain refuses new requests with code.Draining and waits until those in flight are finished or ctx ends. Connections
// stay open, so that refused callers get a response.
func (s *Server) Drain(ctx context.Context) error {
	s.drain.mu.Lock()
	s.drain.stopping = true
	if s.drain.running == 0 {
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
		return ctx.Err()
	}
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int {
	s.drain.mu.Lock()
	defer s.drain.mu.Unlock()
	return s.drain.running
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
