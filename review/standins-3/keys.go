package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const allKeys = 1 << 16

// heldKey is what an incarnation of a server knows of one key.
type heldKey struct {
	fence   uint64
	until   time.Time
	running int
}

// keyTable holds the keys that an incarnation of a server holds.
type keyTable struct {
	bench *bench
	id    string

	mu   sync.Mutex
	keys [allKeys]heldKey
	// idle is closed and replaced when work ends.
	idle chan struct{}
}

func newKeyTable(b *bench, id string) *keyTable {
	return &keyTable{bench: b, id: id, idle: make(chan struct{})}
}

// control serves grants and releases, and returns false for other requests.
func (t *keyTable) control(w http.ResponseWriter, r *http.Request) bool {
	if r.Method != http.MethodPost || r.URL.Path != "/-/grant" && r.URL.Path != "/-/release" {
		return false
	}
	var body struct {
		From     int    `json:"from"`
		To       int    `json:"to"`
		Fence    uint64 `json:"fence"`
		HoldTime string `json:"hold_time"`
	}
	arrived := time.Now()
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.From < 0 || body.To >= allKeys || body.From > body.To {
		w.WriteHeader(http.StatusBadRequest)
		return true
	}
	if r.URL.Path == "/-/release" {
		t.release(body.From, body.To, body.Fence)
		w.Header().Set("X-Sapphiretray-Handover", fmt.Sprintf("%s-%d", t.id, body.Fence))
		return true
	}
	hold, err := time.ParseDuration(body.HoldTime)
	if err != nil || hold > 10*time.Second {
		w.WriteHeader(http.StatusBadRequest)
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := body.From; key <= body.To; key++ {
		if t.keys[key].fence > body.Fence {
			w.WriteHeader(http.StatusConflict)
			return true
		}
	}
	for key := body.From; key <= body.To; key++ {
		t.keys[key].fence, t.keys[key].until = body.Fence, arrived.Add(hold)
	}
	return true
}

// release stops new work on a range of keys and waits until the running work has ended.
func (t *keyTable) release(from, to int, fence uint64) {
	t.mu.Lock()
	for key := from; key <= to; key++ {
		t.keys[key].until = time.Time{}
		t.keys[key].fence = max(t.keys[key].fence, fence)
	}
	for {
		running := 0
		for key := from; key <= to; key++ {
			running += t.keys[key].running
		}
		idle := t.idle
		t.mu.Unlock()
		if running == 0 {
			return
		}
		<-idle
		t.mu.Lock()
	}
}

// begin begins work on a key, and returns false if the key isn't held.
func (t *keyTable) begin(key int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if key < 0 || key >= allKeys || !time.Now().Before(t.keys[key].until) {
		return false
	}
	t.keys[key].running++
	return true
}

func (t *keyTable) end(key int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keys[key].running--
	close(t.idle)
	t.idle = make(chan struct{})
}
