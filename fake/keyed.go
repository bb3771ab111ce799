package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sapphiretray/wait"
)

// heartbeatEvery is the time between two heartbeats of a KeyedUpstream.
const heartbeatEvery = 100 * time.Millisecond

// KeyedUpstream is a stand-in of the users' servers: it registers itself, enforces grants of keys and runs requests. Create it
// with NewKeyedUpstream.
type KeyedUpstream struct {
	id      string
	service string
	born    int64
	// control is the address that takes its heartbeats.
	control string
	address string

	mu       sync.Mutex
	slots    int
	work     time.Duration
	running  int
	peak     int
	grants   []keyGrant
	ran      map[string]int
	sequence int
	leaving  bool
	keyed    bool
	shed     bool
	deaf     bool
	misled   int
}

type keyGrant struct {
	from, to int
	fence    uint64
	until    time.Time
	dropped  bool
}

// NewKeyedUpstream returns a server of a service at an address, whose heartbeats go to control.
func NewKeyedUpstream(id, service, address, control string, keyed bool) *KeyedUpstream {
	return &KeyedUpstream{
		id: id, service: service, address: address, control: control, born: time.Now().UnixMilli(), slots: 4,
		ran: make(map[string]int), keyed: keyed,
	}
}

// Set changes the server under its lock.
func (u *KeyedUpstream) Set(change func(u *KeyedUpstream)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(u)
}

// SetWork sets the time that a request takes.
func (u *KeyedUpstream) SetWork(d time.Duration) { u.Set(func(u *KeyedUpstream) { u.work = d }) }

// SetShed makes the server refuse all requests.
func (u *KeyedUpstream) SetShed(shed bool) { u.Set(func(u *KeyedUpstream) { u.shed = shed }) }

// SetDeaf makes the server leave orders and requests unanswered.
func (u *KeyedUpstream) SetDeaf(deaf bool) { u.Set(func(u *KeyedUpstream) { u.deaf = deaf }) }

// Leave makes the server report that it leaves.
func (u *KeyedUpstream) Leave() { u.Set(func(u *KeyedUpstream) { u.leaving = true }) }

// Runs returns how often a request ran.
func (u *KeyedUpstream) Runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}

// Peak returns the largest number of requests that ran at once.
func (u *KeyedUpstream) Peak() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.peak
}

// Holds reports whether the server holds a key now.
func (u *KeyedUpstream) Holds(key int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.holds(key)
}

func (u *KeyedUpstream) holds(key int) bool {
	for n := len(u.grants) - 1; n >= 0; n-- {
		g := u.grants[n]
		if g.from <= key && key <= g.to {
			return !g.dropped && time.Now().Before(g.until)
		}
	}
	return false
}

// Beat sends heartbeats until ctx ends.
func (u *KeyedUpstream) Beat(ctx context.Context) {
	for ctx.Err() == nil {
		u.beat(ctx)
		wait.For(ctx, heartbeatEvery)
	}
}

func (u *KeyedUpstream) beat(ctx context.Context) {
	u.mu.Lock()
	u.sequence++
	state := "ready"
	if u.leaving {
		state = "draining"
	}
	body := map[string]any{
		"address": u.address, "born": u.born,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": "north", "slots": u.slots},
		"status": map[string]any{"state": state, "sequence": u.sequence, "cold_remaining": "0ms"},
	}
	u.mu.Unlock()
	content, _ := json.Marshal(body)
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+u.control+"/-/rpc?call=instances.heartbeat&of="+u.id, bytes.NewReader(content))
	if err != nil {
		return
	}
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// Handler serves grants and requests.
func (u *KeyedUpstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/grant", u.grant)
	mux.HandleFunc("POST /-/release", u.release)
	mux.HandleFunc("/", u.request)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.mu.Lock()
		deaf := u.deaf
		u.mu.Unlock()
		if deaf {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (u *KeyedUpstream) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		From     int    `json:"from"`
		To       int    `json:"to"`
		Fence    uint64 `json:"fence"`
		HoldTime string `json:"hold_time"`
	}
	hold, err := decodeGrant(r.Body, &body, &body.HoldTime)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, g := range u.grants {
		if g.from <= body.To && body.From <= g.to && g.fence > body.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	u.grants = append(u.grants, keyGrant{from: body.From, to: body.To, fence: body.Fence, until: time.Now().Add(hold)})
	w.WriteHeader(http.StatusOK)
}

func decodeGrant(r io.Reader, body any, hold *string) (time.Duration, error) {
	if err := json.NewDecoder(r).Decode(body); err != nil {
		return 0, err
	}
	return time.ParseDuration(*hold)
}

func (u *KeyedUpstream) release(w http.ResponseWriter, r *http.Request) {
	var body struct {
		From  int    `json:"from"`
		To    int    `json:"to"`
		Fence uint64 `json:"fence"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	u.grants = append(u.grants, keyGrant{from: body.From, to: body.To, fence: body.Fence, dropped: true})
	u.mu.Unlock()
	w.Header().Set("X-Sapphiretray-Handover", fmt.Sprintf("%s-%d", u.id, body.Fence))
	w.WriteHeader(http.StatusOK)
}

func (u *KeyedUpstream) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Sapphiretray-Request-Id")
	w.Header().Set("X-Sapphiretray-Request-Id", id)
	w.Header().Set("X-Sapphiretray-Instance-Id", u.id)
	expected := r.Header.Get("X-Sapphiretray-Expect-Instance")
	key, err := strconv.Atoi(r.Header.Get("X-Sapphiretray-Shard-Key"))
	u.mu.Lock()
	switch {
	case expected != "" && expected != u.id, u.keyed && err == nil && !u.holds(key):
		u.misled++
		u.mu.Unlock()
		w.Header().Set("X-Sapphiretray-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case u.shed:
		u.mu.Unlock()
		w.Header().Set("X-Sapphiretray-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.ran[id]++
	u.running++
	u.peak = max(u.peak, u.running)
	work := u.work
	u.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	wait.For(r.Context(), work)
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
	w.Header().Set("X-Sapphiretray-Server-Stamp", u.id)
	_, _ = fmt.Fprintf(w, "%s %s %d %s", u.id, r.URL.Path, len(body), r.Header.Get("X-Sapphiretray-Caller-Service"))
}
