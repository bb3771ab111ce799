package fake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// grant allows an instance to send requests for a partition until it expires. Expires is in milliseconds of the upstream's clock.
type grant struct {
	Incarnation string `json:"incarnation"`
	Partition   int    `json:"partition"`
	Fence       uint64 `json:"fence"`
	Expires     int64  `json:"expires"`
}

// putGrant stores a grant, unless one with a higher fencing token, or with the same one for another incarnation, was granted before.
func (u *Upstream) putGrant(w http.ResponseWriter, r *http.Request) {
	var g grant
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	old, held := u.grants[g.Partition]
	if g.Fence < u.fences[g.Partition] || held && old.Fence == g.Fence && old.Incarnation != g.Incarnation {
		u.writeClock(w, http.StatusConflict)
		return
	}
	if u.grants == nil {
		u.grants, u.fences = make(map[int]grant), make(map[int]uint64)
	}
	u.grants[g.Partition] = g
	u.fences[g.Partition] = g.Fence
	u.writeClock(w, http.StatusOK)
}

// renew extends all grants of an instance.
func (u *Upstream) renew(w http.ResponseWriter, r *http.Request) {
	var renewal grant
	if err := json.NewDecoder(r.Body).Decode(&renewal); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for p, g := range u.grants {
		if g.Incarnation == renewal.Incarnation {
			g.Expires = max(g.Expires, renewal.Expires)
			u.grants[p] = g
		}
	}
	u.writeClock(w, http.StatusOK)
}

// deleteGrant removes the grant of a partition, unless a higher fencing token was granted since.
func (u *Upstream) deleteGrant(w http.ResponseWriter, r *http.Request) {
	p, err := strconv.Atoi(r.PathValue("partition"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fence, err := strconv.ParseUint(r.URL.Query().Get("fence"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if fence < u.fences[p] {
		u.writeClock(w, http.StatusConflict)
		return
	}
	delete(u.grants, p)
	u.writeClock(w, http.StatusOK)
}

// health reports readiness, load and the clock. The load is the number of requests, running and queued, per concurrency slot, or the
// plain number if slots are unlimited.
func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	load := float64(u.running + u.queued)
	if u.slots > 0 {
		load /= float64(u.slots)
	}
	if u.reportedLoad != nil {
		load = *u.reportedLoad
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"ready": !u.draining && u.warm(), "load": load, "slots": u.slots,
		"in_flight": u.running, "clock": u.clock(),
	})
}

// drain makes the upstream refuse new requests.
func (u *Upstream) drain(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
	u.writeClock(w, http.StatusOK)
}

// warm reports whether the cold start is over.
func (u *Upstream) warm() bool { return time.Since(u.started) >= u.coldStart }

// writeClock responds with the upstream's clock. mu must be held.
func (u *Upstream) writeClock(w http.ResponseWriter, status int) {
	writeJSON(w, status, map[string]int64{"clock": u.clock()})
}

// granted reports whether a valid grant covers requests with this partition and fencing token, or grants aren't checked.
func (u *Upstream) granted(p int, fence uint64) bool {
	if !u.checkGrants {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	g, ok := u.grants[p]
	return ok && g.Fence == fence && u.clock() < g.Expires
}
