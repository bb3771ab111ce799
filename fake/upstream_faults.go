package fake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The faults of an Upstream, besides None.
const (
	// Freeze blocks every request and health check until the fault is replaced.
	Freeze Mode = "freeze"
	// Refuse closes the listener and all connections for the fault's delay.
	Refuse Mode = "refuse"
	// CloseMidway sends half of the response's body, then closes the connection.
	CloseMidway Mode = "close_midway"
	// WrongID puts the id of another request into the response's header Sapphire-Request-Id.
	WrongID Mode = "wrong_id"
	// Truncate sends half of the body with the Content-Length of the whole one, and closes the connection normally.
	Truncate Mode = "truncate"
	// CrashOn crashes the upstream when the body of a request contains the fault's Marker.
	CrashOn Mode = "crash_on"
	// Silent stops reading and writing on the connections accepted so far but leaves them open; new ones work.
	Silent Mode = "silent"
	// CloseBefore runs the request, then closes the connection without a response.
	CloseBefore Mode = "close_before"
)

// UpstreamFault is a fault of an upstream to inject, and the JSON body of POST /fault.
type UpstreamFault struct {
	Fault
	// Marker is the text that triggers a CrashOn fault. It is looked for in the first 64 KiB of a request's body.
	Marker string `json:"marker,omitempty"`
}

// upstreamFaults injects the faults of an upstream. The zero value injects none.
type upstreamFaults struct {
	mu      sync.Mutex
	current UpstreamFault
	// unfrozen is non-nil during a Freeze fault and closed when the fault is replaced.
	unfrozen chan struct{}
}

func (f *upstreamFaults) set(fault UpstreamFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unfrozen != nil {
		close(f.unfrozen)
		f.unfrozen = nil
	}
	if fault.Mode == Freeze {
		f.unfrozen = make(chan struct{})
	}
	f.current = fault
}

// take returns the mode of the current fault and true if it is one of modes, and counts the fault as used.
func (f *upstreamFaults) take(modes ...Mode) (Mode, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, mode := range modes {
		if f.current.Mode != mode {
			continue
		}
		if f.current.Count > 0 {
			f.current.Count--
			if f.current.Count == 0 {
				f.current = UpstreamFault{}
			}
		}
		return mode, true
	}
	return None, false
}

// marker returns the marker of a CrashOn fault, or an empty string if there is none.
func (f *upstreamFaults) marker() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.Mode != CrashOn {
		return ""
	}
	return f.current.Marker
}

// echoedID returns the request id to put into the response.
func (f *upstreamFaults) echoedID(id string) string {
	if _, ok := f.take(WrongID); ok {
		return "other-" + id
	}
	return id
}

// holdWhileFrozen returns a handler that blocks requests during a Freeze fault.
func (f *upstreamFaults) holdWhileFrozen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		unfrozen := f.unfrozen
		f.mu.Unlock()
		if unfrozen != nil {
			select {
			case <-unfrozen:
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		next.ServeHTTP(w, r)
	})
}

// writeBody sends the body with the current fault. If chunked is set, it sends no Content-Length.
func (f *upstreamFaults) writeBody(w http.ResponseWriter, body []byte, chunked bool) {
	mode, _ := f.take(CloseBefore, CloseMidway, Truncate)
	if mode == CloseBefore {
		panic(http.ErrAbortHandler)
	}
	if !chunked {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	switch mode {
	case CloseMidway:
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case Truncate:
		_, _ = w.Write(body[:len(body)/2])
	default:
		_, _ = w.Write(body)
	}
}

// SetFault injects a fault. Silent and Refuse take effect once and leave the current fault unchanged; all others replace it.
func (u *Upstream) SetFault(fault UpstreamFault) {
	switch fault.Mode {
	case Silent:
		u.connections.silence()
	case Refuse:
		u.connections.refuse(time.Duration(fault.DelayMS) * time.Millisecond)
	default:
		u.faults.set(fault)
	}
}

// setFault serves POST /fault.
func (u *Upstream) setFault(w http.ResponseWriter, r *http.Request) {
	var fault UpstreamFault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch fault.Mode {
	case None, Freeze, Refuse, CloseBefore, CloseMidway, WrongID, Truncate, CrashOn, Silent:
		u.SetFault(fault)
	default:
		http.Error(w, "unknown fault mode", http.StatusBadRequest)
	}
}
