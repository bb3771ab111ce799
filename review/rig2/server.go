package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	headerID       = "X-Sapphiretray-Request-Id"
	headerDeadline = "X-Sapphiretray-Deadline-Ms"
	headerStamp    = "X-Sapphiretray-Server-Stamp"
	headerExpect   = "X-Sapphiretray-Expect-Instance"
	headerNotRun   = "X-Sapphiretray-Not-Executed"
	headerCaller   = "X-Sapphiretray-Caller-Service"
	headerInstance = "X-Sapphiretray-Instance-Id"
	headerKey      = "X-Sapphiretray-Shard-Key"
	headerHandover = "X-Sapphiretray-Handover"
	headerLoad     = "X-Sapphiretray-Server-Load"
)

// run is one run of a request at a server.
type run struct {
	at                           time.Time
	server, life, id             string
	method, target, host, caller string
	bodyHash                     string
	bodySize                     int
	header                       http.Header
}

// grantHeld is a range of keys that a server holds, or has released.
type grantHeld struct {
	from, to int
	fence    uint64
	until    time.Time
	released bool
}

// server is a stand-in for an application server.
type server struct {
	m     *machine
	rec   *recorder
	slots chan struct{}
	work  time.Duration
	// poison is a part of the targets of requests that crash the server, or empty; downFor is how long it is away then.
	poison  string
	downFor time.Duration
	// onGrant is called for each grant that was carried out if it isn't nil.
	onGrant func(from, to int, fence uint64, late bool)

	mu       sync.Mutex
	life     int
	born     int64
	sequence int
	state    string
	// silent is set once the server sends no check-ins of its own any more.
	silent  bool
	http    *http.Server
	up      bool
	grants  []grantHeld
	running map[int]int
	waiting int
	// lateUntil is the time until which a share of the grants is left unanswered and carried out late.
	lateUntil time.Time
}

func newServer(m *machine, rec *recorder) *server {
	return &server{m: m, rec: rec, slots: make(chan struct{}, 6), work: 20 * time.Millisecond, running: make(map[int]int)}
}

// id returns the id of the present life. mu must be held.
func (s *server) id() string { return fmt.Sprintf("i-%s-%d", s.m.name, s.life) }

// start begins a life: it listens and checks in.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.m.appAddress)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.life++
	s.born, s.sequence, s.state, s.grants, s.up = time.Now().UnixMilli(), 0, "ready", nil, true
	life := s.life
	h := &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	s.http = h
	id := s.id()
	s.mu.Unlock()
	s.rec.note("server %s starts as %s", s.m.name, id)
	go func() { _ = h.Serve(l) }()
	go s.checkIn(life)
	return nil
}

// crash ends the life: the listener and all connections are closed at once.
func (s *server) crash() {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	h := s.http
	id := s.id()
	s.mu.Unlock()
	s.rec.note("server %s ends", id)
	_ = h.Close()
}

// deregister sends a check-in that arrives late, and deregisters meanwhile, again and again until that is acknowledged, for at most a time.
// It returns when it was. The server serves on and sends no further check-in.
func (s *server) deregister(late, most time.Duration) (acked time.Time, err error) {
	s.mu.Lock()
	s.sequence++
	s.silent = true
	id, body := s.id(), s.checkInBody()
	s.mu.Unlock()
	time.AfterFunc(late, func() {
		ok := s.call("instances.heartbeat", id, body)
		s.rec.note("server %s: the late check-in arrives, acknowledged %v", id, ok)
	})
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if s.call("instances.deregister", id, map[string]any{"born": s.born}) {
			acked = time.Now()
			s.rec.note("server %s: its deregistration is acknowledged", id)
			return acked, nil
		}
	}
	return acked, fmt.Errorf("the deregistration of %s wasn't acknowledged", id)
}

// checkInBody returns the body of a check-in. mu must be held.
func (s *server) checkInBody() map[string]any {
	return map[string]any{
		"address": s.m.appAddress, "born": s.born,
		"info":   map[string]any{"service": s.m.service, "version": "v1", "zone": s.m.zone, "slots": cap(s.slots)},
		"status": map[string]any{"state": s.state, "sequence": s.sequence, "cold_remaining": "0ms"},
	}
}

// checkIn sends check-ins while the life lasts.
func (s *server) checkIn(life int) {
	for {
		s.mu.Lock()
		if !s.up || s.silent || s.life != life {
			s.mu.Unlock()
			return
		}
		s.sequence++
		id, body := s.id(), s.checkInBody()
		s.mu.Unlock()
		s.call("instances.heartbeat", id, body)
		time.Sleep(heartbeat)
	}
}

// call sends a check-in or a deregistration, and reports whether it was acknowledged.
func (s *server) call(name, id string, body any) bool {
	content, _ := json.Marshal(body)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := "http://" + s.m.controlAddress + "/-/rpc?call=" + name + "&of=" + id
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(content))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, up := s.id(), s.up
	load := fmt.Sprintf("%d,%d,%d", len(s.slots), s.waiting, cap(s.slots))
	leaving := s.silent
	s.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerLoad, load)
	w.Header().Set(headerInstance, id)
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/-/grant":
		s.grant(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/-/release":
		s.release(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/health" && leaving:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && r.URL.Path == "/health":
		w.WriteHeader(http.StatusOK)
	default:
		s.request(w, r, id)
	}
}

func (s *server) grant(w http.ResponseWriter, r *http.Request) {
	var g struct {
		From, To int
		Fence    uint64
		HoldTime string `json:"hold_time"`
	}
	if json.NewDecoder(r.Body).Decode(&g) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	hold, err := time.ParseDuration(g.HoldTime)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	late, life := s.lateness(), s.life
	arrived := time.Now()
	s.mu.Unlock()
	if late > 0 {
		s.rec.note("server of %s leaves a grant of keys %d-%d with fence %d unanswered", s.m.name, g.From, g.To, g.Fence)
		time.AfterFunc(late, func() { s.carryOut(g.From, g.To, g.Fence, arrived.Add(hold), life, true) })
		// Nobody answers on this connection.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !s.carryOut(g.From, g.To, g.Fence, arrived.Add(hold), life, false) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// carryOut takes keys until a time, and returns false if a higher fence number was seen on one of them.
func (s *server) carryOut(from, to int, fence uint64, until time.Time, life int, late bool) bool {
	s.mu.Lock()
	if !s.up || s.life != life {
		s.mu.Unlock()
		return false
	}
	for _, known := range s.grants {
		if known.from <= to && from <= known.to && known.fence > fence {
			s.mu.Unlock()
			return false
		}
	}
	s.grants = append(s.grants, grantHeld{from: from, to: to, fence: fence, until: until})
	s.mu.Unlock()
	if s.onGrant != nil {
		s.onGrant(from, to, fence, late)
	}
	return true
}

func (s *server) release(w http.ResponseWriter, r *http.Request) {
	var g struct {
		From, To int
		Fence    uint64
	}
	if json.NewDecoder(r.Body).Decode(&g) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.grants = append(s.grants, grantHeld{from: g.From, to: g.To, fence: g.Fence, released: true})
	for s.busy(g.From, g.To) {
		s.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		s.mu.Lock()
	}
	s.mu.Unlock()
	w.Header().Set(headerHandover, fmt.Sprintf("h%d", g.Fence))
	w.WriteHeader(http.StatusOK)
}

// busy reports whether work on keys is running. mu must be held.
func (s *server) busy(from, to int) bool {
	for key, n := range s.running {
		if n > 0 && from <= key && key <= to {
			return true
		}
	}
	return false
}

// holds reports whether the server holds a key. mu must be held.
func (s *server) holds(key int) bool {
	for n := len(s.grants) - 1; n >= 0; n-- {
		if g := s.grants[n]; g.from <= key && key <= g.to {
			return !g.released && time.Now().Before(g.until)
		}
	}
	return false
}

func (s *server) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(status)
}

func (s *server) request(w http.ResponseWriter, r *http.Request, life string) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if id == "" {
		s.refuse(w, http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get(headerExpect); expected != "" && expected != life {
		s.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	key := -1
	if s.m.sharded {
		if n, err := strconv.Atoi(r.Header.Get(headerKey)); err == nil {
			key = n
		}
	}
	deadline := time.Second
	if ms, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	timer := time.After(deadline)
	s.mu.Lock()
	s.waiting++
	s.mu.Unlock()
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		return
	case <-timer:
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		s.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.waiting--
	if s.m.sharded && !s.holds(key) {
		s.mu.Unlock()
		s.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	s.running[key]++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.running[key]--; s.running[key] == 0 {
			delete(s.running, key)
		}
	}()
	sum := sha256.Sum256(body)
	s.rec.addRun(run{
		at: time.Now(), server: s.m.name, life: life, id: id, method: r.Method, target: r.RequestURI, host: r.Host,
		caller: r.Header.Get(headerCaller), bodyHash: hex.EncodeToString(sum[:8]), bodySize: len(body), header: r.Header.Clone(),
	})
	if s.poison != "" && strings.Contains(r.RequestURI, s.poison) {
		time.Sleep(10 * time.Millisecond)
		s.crash()
		time.AfterFunc(s.downFor, func() {
			if err := s.start(); err != nil {
				s.rec.note("server %s can't start: %v", s.m.name, err)
			}
		})
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	case <-timer:
		w.Header().Set(headerStamp, life)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set(headerStamp, life)
	_, _ = fmt.Fprintf(w, "%s %s %d %x", life, id, len(body), sum[:8])
}
