package fake

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"sapphiretray/wait"
)

// Mode is the kind of a fault.
type Mode string

// The faults of a Platform and a RowStore.
const (
	// None serves normally.
	None Mode = "none"
	// Down responds with 503 without running the call.
	Down Mode = "down"
	// Slow delays each call by the fault's delay.
	Slow Mode = "slow"
	// LostResponse runs the call, then closes the connection without a response.
	LostResponse Mode = "lost_answer"
)

// Fault is a fault to inject, and the JSON body of POST /fault.
type Fault struct {
	Mode Mode `json:"mode"`
	// DelayMS is the delay of each call (Slow) or the time for which connections are refused (Refuse), in milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
	// Count is the number of calls that the fault affects; 0 means all calls until the fault is replaced.
	Count int `json:"count,omitempty"`
}

// Faults injects faults into an HTTP handler. The zero value injects none.
type Faults struct {
	mu      sync.Mutex
	current Fault
}

// Set replaces the current fault.
func (f *Faults) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = fault
}

// take returns the fault for the next call and counts it.
func (f *Faults) take() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.current
	if f.current.Count > 0 {
		f.current.Count--
		if f.current.Count == 0 {
			f.current = Fault{}
		}
	}
	return fault
}

// ServeHTTP replaces the current fault by the one in the request's body, a Fault as JSON.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch fault.Mode {
	case None, Down, Slow, LostResponse:
		f.Set(fault)
	default:
		http.Error(w, "unknown fault mode", http.StatusBadRequest)
	}
}

// wrap returns a handler that applies the current fault to each call of next.
func (f *Faults) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch fault := f.take(); fault.Mode {
		case Down:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Slow:
			if wait.For(r.Context(), time.Duration(fault.DelayMS)*time.Millisecond) {
				next.ServeHTTP(w, r)
			}
		case LostResponse:
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}
