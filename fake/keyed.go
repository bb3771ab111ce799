package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"sapphiretray/wait"
)

// heartbeatInterval is the time between two heartbeats of a KeyedUpstream.
const heartbeatInterval = 100 * time.Millisecond

// KeyedUpstream is a fake of an upstream of the users' platform: it registers itself with heartbeats, checks grants of keys and runs
// requests. Create it with NewKeyedUpstream.
type KeyedUpstream struct {
	id      string
	service string
	// started is in milliseconds since 1970.
	started int64
	// control is the address to which heartbeats are sent.
	control string
	address string

	mu          sync.Mutex
	slots       int
	serviceTime time.Duration
	// slowPrefix is the prefix of the paths of requests that take slowTime.
	slowPrefix string
	slowTime   time.Duration
	running    int
	maxRunning int
	grants     []keyGrant
	// runs counts the runs of a request by its id.
	runs map[string]int
	// sequence numbers the heartbeats.
	sequence     int
	leaving      bool
	checkGrants  bool
	shed         bool
	unresponsive bool
	// misdirected counts requests for another upstream or for a key without a grant.
	misdirected int
	cold        ColdLimit
	// heartbeatless is set while no heartbeats are sent.
	heartbeatless bool
}

// keyGrant is a grant of a range of keys, both ends included, or its release. Later entries override earlier ones.
type keyGrant struct {
	from, to int
	fence    uint64
	expires  time.Time
	released bool
}

// NewKeyedUpstream returns an upstream of a service at an address (host:port), whose heartbeats go to the address control. With
// checkGrants, it refuses requests for keys that it isn't granted.
func NewKeyedUpstream(id, service, address, control string, checkGrants bool) *KeyedUpstream {
	return &KeyedUpstream{
		id: id, service: service, address: address, control: control, started: time.Now().UnixMilli(), slots: 4,
		runs: make(map[string]int), checkGrants: checkGrants,
	}
}

// Set calls change while it holds the upstream's lock.
func (u *KeyedUpstream) Set(change func(u *KeyedUpstream)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(u)
}

// SetServiceTime sets the time that a request takes.
func (u *KeyedUpstream) SetServiceTime(d time.Duration) {
	u.Set(func(u *KeyedUpstream) { u.serviceTime = d })
}

// SetSlow sets the time that requests take whose paths have a prefix.
func (u *KeyedUpstream) SetSlow(prefix string, d time.Duration) {
	u.Set(func(u *KeyedUpstream) { u.slowPrefix, u.slowTime = prefix, d })
}

// SetShed makes the upstream refuse all requests.
func (u *KeyedUpstream) SetShed(shed bool) { u.Set(func(u *KeyedUpstream) { u.shed = shed }) }

// SetUnresponsive makes the upstream leave grants, releases and requests unanswered.
func (u *KeyedUpstream) SetUnresponsive(unresponsive bool) {
	u.Set(func(u *KeyedUpstream) { u.unresponsive = unresponsive })
}

// SetCold makes the upstream cold for d. It bears a number of requests within any second then, and breaks off the connections of others.
func (u *KeyedUpstream) SetCold(d time.Duration, maximum int) { u.cold.Start(d, maximum) }

// BecomeCold makes the upstream cold for d like SetCold, once it has said so in a heartbeat.
func (u *KeyedUpstream) BecomeCold(ctx context.Context, d time.Duration, maximum int) {
	u.cold.Start(d, math.MaxInt)
	u.sendHeartbeat(ctx)
	u.cold.Start(u.cold.Remaining(), maximum)
}

// MostCold returns the largest number of requests that have arrived within a second while the upstream was cold.
func (u *KeyedUpstream) MostCold() int { return u.cold.Most() }

// SetHeartbeatless makes the upstream send no heartbeats.
func (u *KeyedUpstream) SetHeartbeatless(heartbeatless bool) {
	u.Set(func(u *KeyedUpstream) { u.heartbeatless = heartbeatless })
}

// Leave makes the heartbeats report the state draining.
func (u *KeyedUpstream) Leave() { u.Set(func(u *KeyedUpstream) { u.leaving = true }) }

// Runs returns how often a request ran.
func (u *KeyedUpstream) Runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// MaxRunning returns the largest number of requests that ran at the same time.
func (u *KeyedUpstream) MaxRunning() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.maxRunning
}

// Holds reports whether the upstream has a valid grant of a key.
func (u *KeyedUpstream) Holds(key int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.holds(key)
}

// holds does the same as Holds. mu must be held.
func (u *KeyedUpstream) holds(key int) bool {
	for n := len(u.grants) - 1; n >= 0; n-- {
		g := u.grants[n]
		if g.from <= key && key <= g.to {
			return !g.released && time.Now().Before(g.expires)
		}
	}
	return false
}

// SendHeartbeats sends heartbeats until ctx ends.
func (u *KeyedUpstream) SendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		u.sendHeartbeat(ctx)
		wait.For(ctx, heartbeatInterval)
	}
}

func (u *KeyedUpstream) sendHeartbeat(ctx context.Context) {
	u.mu.Lock()
	if u.heartbeatless {
		u.mu.Unlock()
		return
	}
	u.sequence++
	state := "ready"
	if u.leaving {
		state = "draining"
	}
	body := map[string]any{
		"address": u.address, "born": u.started,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": "north", "slots": u.slots},
		"status": map[string]any{"state": state, "sequence": u.sequence, "cold_remaining": u.cold.Remaining().String()},
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

// Handler serves grants, releases and requests.
func (u *KeyedUpstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/grant", u.grant)
	mux.HandleFunc("POST /-/release", u.release)
	mux.HandleFunc("GET /health", u.health)
	mux.HandleFunc("/", u.request)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.mu.Lock()
		unresponsive := u.unresponsive
		u.mu.Unlock()
		if unresponsive {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// grant stores a grant of a range of keys, unless a higher fencing token was granted or released for a part of the range.
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
	u.grants = append(u.grants, keyGrant{from: body.From, to: body.To, fence: body.Fence, expires: time.Now().Add(hold)})
	w.WriteHeader(http.StatusOK)
}

// decodeGrant decodes JSON into body and then parses hold, the field of body with the duration of the grant.
func decodeGrant(r io.Reader, body any, hold *string) (time.Duration, error) {
	if err := json.NewDecoder(r).Decode(body); err != nil {
		return 0, err
	}
	return time.ParseDuration(*hold)
}

// release records that a range of keys is no longer granted. The response names the handover in X-Sapphiretray-Handover.
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
	u.grants = append(u.grants, keyGrant{from: body.From, to: body.To, fence: body.Fence, released: true})
	u.mu.Unlock()
	w.Header().Set("X-Sapphiretray-Handover", fmt.Sprintf("%s-%d", u.id, body.Fence))
	w.WriteHeader(http.StatusOK)
}

// health responds to a health check. The check counts as a request to a cold upstream.
func (u *KeyedUpstream) health(w http.ResponseWriter, _ *http.Request) {
	u.cold.Arrive()
	w.Header().Set("X-Sapphiretray-Instance-Id", u.id)
	if left := u.cold.Remaining(); left > 0 {
		w.Header().Set("X-Sapphiretray-Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
	w.WriteHeader(http.StatusOK)
}

// request runs a request, or refuses it with 421 if it is for another upstream or for a key without a grant, and with 503 while the
// upstream sheds. With the query parameter "bytes", the response is a payload of that length.
func (u *KeyedUpstream) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Sapphiretray-Request-Id")
	w.Header().Set("X-Sapphiretray-Request-Id", id)
	w.Header().Set("X-Sapphiretray-Instance-Id", u.id)
	expected := r.Header.Get("X-Sapphiretray-Expect-Instance")
	key, err := strconv.Atoi(r.Header.Get("X-Sapphiretray-Shard-Key"))
	u.mu.Lock()
	switch {
	case expected != "" && expected != u.id, u.checkGrants && err == nil && !u.holds(key):
		u.misdirected++
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
	if !u.cold.Arrive() {
		u.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	u.runs[id]++
	u.running++
	u.maxRunning = max(u.maxRunning, u.running)
	serviceTime := u.serviceTime
	if u.slowPrefix != "" && strings.HasPrefix(r.URL.Path, u.slowPrefix) {
		serviceTime = u.slowTime
	}
	u.mu.Unlock()
	size, _ := io.Copy(io.Discard, r.Body)
	wait.For(r.Context(), serviceTime)
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
	w.Header().Set("X-Sapphiretray-Server-Stamp", u.id)
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil {
		w.Header().Set("Content-Length", strconv.Itoa(n))
		_, _ = w.Write(Payload(n))
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %d %s", u.id, r.URL.Path, size, r.Header.Get("X-Sapphiretray-Caller-Service"))
}
