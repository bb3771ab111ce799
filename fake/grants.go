package fake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

type grant struct {
	Incarnation string `json:"incarnation"`
	Partition   int    `json:"partition"`
	Fence       uint64 `json:"fence"`
	Expires     int64  `json:"expires"`
}

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
		u.answerClock(w, http.StatusConflict)
		return
	}
	if u.grants == nil {
		u.grants, u.fences = make(map[int]grant), make(map[int]uint64)
	}
	u.grants[g.Partition] = g
	u.fences[g.Partition] = g.Fence
	u.answerClock(w, http.StatusOK)
}

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
	u.answerClock(w, http.StatusOK)
}

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
		u.answerClock(w, http.StatusConflict)
		return
	}
	delete(u.grants, p)
	u.answerClock(w, http.StatusOK)
}

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

func (u *Upstream) drain(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
	u.answerClock(w, http.StatusOK)
}

func (u *Upstream) warm() bool { return time.Since(u.started) >= u.coldStart }

func (u *Upstream) answerClock(w http.ResponseWriter, status int) {
	writeJSON(w, status, map[string]int64{"clock": u.clock()})
}

// granted reports whether a request with this partition and fence is covered by a valid grant.
func (u *Upstream) granted(p int, fence uint64) bool {
	if !u.checkGrants {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	g, ok := u.grants[p]
	return ok && g.Fence == fence && u.clock() < g.Expires
}
