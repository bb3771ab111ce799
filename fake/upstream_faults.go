package fake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The faults of an upstream.
const (
	// Freeze holds every request and probe until the fault is replaced.
	Freeze Mode = "freeze"
	// Refuse closes the listener and all connections for the fault's delay.
	Refuse Mode = "refuse"
	// CloseMidway closes the connection in the middle of the response's body.
	CloseMidway Mode = "close_midway"
	// WrongID answers with the id of another request.
	WrongID Mode = "wrong_id"
	// Truncate ends the body early although the length was announced, and closes the connection in order.
	Truncate Mode = "truncate"
	// CrashOn crashes the upstream when a request's body contains the marker.
	CrashOn Mode = "crash_on"
	// Silent stops reading and writing on the connections accepted so far; new ones work.
	Silent Mode = "silent"
	// CloseBefore closes the connection after the effect, without a response.
	CloseBefore Mode = "close_before"
)

// UpstreamFault is one fault of an upstream as it is sent to POST /fault.
type UpstreamFault struct {
	Fault
	// Marker is the text in a request's body that a CrashOn fault reacts to.
	Marker string `json:"marker,omitempty"`
}

type upstreamFaults struct {
	mu      sync.Mutex
	current UpstreamFault
	thaw    chan struct{}
}

func (f *upstreamFaults) set(fault UpstreamFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.thaw != nil {
		close(f.thaw)
		f.thaw = nil
	}
	if fault.Mode == Freeze {
		f.thaw = make(chan struct{})
	}
	f.current = fault
}

// take returns true if the current fault is one of the modes, and counts its use.
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

func (f *upstreamFaults) marker() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.Mode != CrashOn {
		return ""
	}
	return f.current.Marker
}

func (f *upstreamFaults) echoedID(id string) string {
	if _, ok := f.take(WrongID); ok {
		return "other-" + id
	}
	return id
}

// frozen holds requests while the upstream is frozen.
func (f *upstreamFaults) frozen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		thaw := f.thaw
		f.mu.Unlock()
		if thaw != nil {
			select {
			case <-thaw:
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		next.ServeHTTP(w, r)
	})
}

// write sends the response with the current fault, in chunks if the length isn't to be announced.
func (f *upstreamFaults) write(w http.ResponseWriter, body []byte, chunked bool) {
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

// SetFault replaces the current fault.
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
		http.Error(w, "unknown mode", http.StatusBadRequest)
	}
}
