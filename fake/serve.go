package fake

import (
	"context"
	"encoding/json"
	"hash"
	"io"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"sapphiretray/code"
	"sapphiretray/wait"

	"github.com/cespare/xxhash/v2"
)

// maxRecentIDs is the number of request ids that the state of a key keeps.
const maxRecentIDs = 16

// keyState counts the effects on a key and keeps the last request ids that took effect.
type keyState struct {
	count int
	ids   []string
}

// Response is the body of an upstream's response to a request without the query parameters "bytes" and "echo".
type Response struct {
	Key string `json:"key"`
	ID  string `json:"id"`
	// Count is the number of effects on the key so far, including this request's.
	Count int `json:"count"`
	// IDs are the last request ids that took effect on the key.
	IDs []string `json:"ids"`
	// Fence is that of the request.
	Fence uint64 `json:"fence"`
	// BodyBytes is the length and BodyHash the xxhash64 of the request's body.
	BodyBytes int64  `json:"body_bytes"`
	BodyHash  uint64 `json:"body_hash"`
}

// call is a request as the upstream sees it, with the hash and the length of the body read so far.
type call struct {
	id        string
	key       string
	partition int
	fence     uint64
	hash      hash.Hash64
	bytes     int64
}

func (u *Upstream) request(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Sapphire-Request-Id"); id != "" {
		w.Header().Set("Sapphire-Request-Id", u.faults.echoedID(id))
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	c := u.newCall(r)
	if status, number := u.refusal(c); status != 0 {
		if number != 0 {
			w.Header().Set("Sapphire-Code", strconv.Itoa(int(number)))
		}
		writeRefusal(w, status)
		return
	}
	if err := u.acquire(ctx); err != nil {
		writeRefusal(w, http.StatusGatewayTimeout)
		return
	}
	defer u.release()
	u.run(ctx, w, r, c)
}

func (u *Upstream) newCall(r *http.Request) *call {
	c := &call{id: r.Header.Get("Sapphire-Request-Id"), key: path.Base(r.URL.Path), hash: xxhash.New()}
	if u.key != nil {
		c.key = u.key(r)
	}
	c.partition, _ = strconv.Atoi(r.Header.Get("Sapphire-Partition"))
	c.fence, _ = strconv.ParseUint(r.Header.Get("Sapphire-Fence"), 10, 64)
	return c
}

// refusal returns the status and the result code, if any, with which a request is refused on arrival, or status 0 if it may run.
func (u *Upstream) refusal(c *call) (int, code.Code) {
	if !u.granted(c.partition, c.fence) {
		return http.StatusConflict, 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.draining:
		return http.StatusServiceUnavailable, code.Draining
	case !u.warm():
		return http.StatusServiceUnavailable, code.UpstreamNotWarmed
	case u.maxQueued > 0 && u.queued >= u.maxQueued:
		return http.StatusTooManyRequests, 0
	default:
		return 0, 0
	}
}

func (u *Upstream) run(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) {
	if r.URL.Query().Get("echo") != "" {
		if wait.For(ctx, u.serviceTimeOf(r)) {
			u.applyEffect(r, c)
			u.writeEcho(w, r)
		}
		return
	}
	// The HTTP server detects that the client closed the connection only once the body has been read.
	u.readBody(r, c)
	if !wait.For(ctx, u.serviceTimeOf(r)) {
		writeRefusal(w, http.StatusGatewayTimeout)
		return
	}
	if !u.granted(c.partition, c.fence) {
		writeRefusal(w, http.StatusConflict)
		return
	}
	u.writeResponse(w, r, c, u.applyEffect(r, c))
}

// readBody reads the body and crashes the upstream if its first 64 KiB contain the marker of a CrashOn fault.
func (u *Upstream) readBody(r *http.Request, c *call) {
	marker := u.faults.marker()
	prefix, err := io.ReadAll(io.LimitReader(io.TeeReader(r.Body, c.hash), 64<<10))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if marker != "" && strings.Contains(string(prefix), marker) {
		u.crashNow()
	}
	rest, err := io.Copy(c.hash, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c.bytes = int64(len(prefix)) + rest
}

// crashNow crashes the upstream and aborts the request.
func (u *Upstream) crashNow() {
	if u.crash != nil {
		u.crash()
	} else {
		u.Crash()
	}
	panic(http.ErrAbortHandler)
}

// serviceTimeOf returns the time that a request takes: its query parameter service_ms, or the upstream's service time.
func (u *Upstream) serviceTimeOf(r *http.Request) time.Duration {
	if ms, err := strconv.Atoi(r.URL.Query().Get("service_ms")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return u.serviceTime
}

// applyEffect counts a request as an effect on its key, unless its method is GET or HEAD, and returns the state of the key.
func (u *Upstream) applyEffect(r *http.Request, c *call) keyState {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.keyStates == nil {
		u.keyStates = make(map[string]*keyState)
	}
	state, ok := u.keyStates[c.key]
	if !ok {
		state = &keyState{}
		u.keyStates[c.key] = state
	}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		state.count++
		state.ids = append(state.ids, c.id)
		if len(state.ids) > maxRecentIDs {
			state.ids = state.ids[1:]
		}
		u.effects = append(u.effects, Effect{Key: c.key, ID: c.id, Partition: c.partition, Fence: c.fence, Time: time.Now()})
	}
	return keyState{count: state.count, ids: slices.Clone(state.ids)}
}

// writeResponse sends a Response or, with the query parameter "bytes", a payload of that length.
func (u *Upstream) writeResponse(w http.ResponseWriter, r *http.Request, c *call, state keyState) {
	body, err := json.Marshal(Response{
		Key: c.key, ID: c.id, Count: state.count, IDs: state.ids, Fence: c.fence, BodyBytes: c.bytes, BodyHash: c.hash.Sum64(),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil {
		body = Payload(n)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Sapphire-Ran", "yes")
	u.faults.writeBody(w, body, r.URL.Query().Get("chunked") != "")
}

// writeEcho sends the body of the request back while it arrives.
func (u *Upstream) writeEcho(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	w.WriteHeader(http.StatusOK)
	if _, err := io.Copy(w, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// Payload returns n bytes: the letters a to z, repeated.
func Payload(n int) []byte {
	payload := make([]byte, n)
	for i := range payload {
		payload[i] = byte('a' + i%26)
	}
	return payload
}

// withDeadline returns the context of the request, bounded by its header Sapphire-Deadline in milliseconds.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get("Sapphire-Deadline"))
	if err != nil {
		return r.Context(), func() {}
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// writeRefusal responds with a status and states that the request didn't run.
func writeRefusal(w http.ResponseWriter, status int) {
	w.Header().Set("Sapphire-Ran", "no")
	w.WriteHeader(status)
}
