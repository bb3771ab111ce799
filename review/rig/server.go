package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 870 * time.Millisecond
	idleTimeout       = 10 * time.Second
	// Orders that are carried out late take effect after minLateness to maxLateness.
	minLateness = 2 * time.Second
	maxLateness = 12 * time.Second
	// clockFactor is the rate of the server's clock, which may run 2% slow.
	clockFactor = 1.0
)

// server is a stand-in for an application server.
type server struct {
	id, service, address, control, zone string
	sharded                             bool
	slots, queue                        int
	// work returns how long a request runs.
	work func(r *http.Request) time.Duration
	// documentBytes is the size of the answer to a request under /download/.
	documentBytes int
	born          int64
	rec           *record

	// onGrant is called for each grant that takes effect; nil for none.
	onGrant func(from, to int, fence uint64)

	mu       sync.Mutex
	late     float64
	running  int
	waiting  int
	free     chan struct{}
	sequence int
	state    string
	grants   []keyGrant
	runs     map[string]int
	// onKeys is the number of running requests by key.
	onKeys map[int]int
	ended  *sync.Cond

	http   *http.Server
	cancel context.CancelFunc
}

// keyGrant is a grant of a range of keys, both ends included, or its release. Later entries override earlier ones.
type keyGrant struct {
	from, to int
	fence    uint64
	expires  time.Time
	released bool
}

func newServer(rec *record, id, service, address, control, zone string, sharded bool) *server {
	s := &server{
		id: id, service: service, address: address, control: control, zone: zone, sharded: sharded, slots: 6, queue: 24,
		work: func(*http.Request) time.Duration { return 100 * time.Millisecond }, born: time.Now().UnixMilli(), rec: rec,
		state: "ready", runs: make(map[string]int), onKeys: make(map[int]int),
	}
	s.free = make(chan struct{}, s.slots)
	s.ended = sync.NewCond(&s.mu)
	return s
}

// start listens and sends heartbeats until stop.
func (s *server) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/grant", s.grant)
	mux.HandleFunc("POST /-/release", s.release)
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("/", s.request)
	s.http = &http.Server{Handler: mux, IdleTimeout: idleTimeout}
	go func() { _ = s.http.Serve(listener) }()
	go s.beat(ctx)
	return nil
}

// stop ends the server as a crash does.
func (s *server) stop() {
	s.cancel()
	_ = s.http.Close()
}

func (s *server) beat(ctx context.Context) {
	for ctx.Err() == nil {
		s.sendHeartbeat(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func (s *server) sendHeartbeat(ctx context.Context) {
	s.mu.Lock()
	s.sequence++
	content, _ := json.Marshal(map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": s.state, "sequence": s.sequence, "cold_remaining": "0ms"},
	})
	s.mu.Unlock()
	s.rpc(ctx, "instances.heartbeat", content)
}

// rpc sends a call to the process beside the server and reports whether it was acknowledged.
func (s *server) rpc(ctx context.Context, call string, content []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + s.control + "/-/rpc?call=" + call + "&of=" + s.id
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(content))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

func (s *server) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		From     int    `json:"from"`
		To       int    `json:"to"`
		Fence    uint64 `json:"fence"`
		HoldTime string `json:"hold_time"`
	}
	err := json.NewDecoder(r.Body).Decode(&body)
	hold, holdErr := time.ParseDuration(body.HoldTime)
	if err != nil || holdErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if share := s.lateOrders(); rand.Float64() < share {
		delay := minLateness + rand.N(maxLateness-minLateness)
		s.rec.event("%s leaves a grant of keys %d-%d fence %d unanswered for %v", s.id, body.From, body.To, body.Fence, delay)
		time.AfterFunc(delay, func() {
			status := s.applyGrant(body.From, body.To, body.Fence, hold)
			s.rec.event("%s carries out the late grant of keys %d-%d fence %d: %d", s.id, body.From, body.To, body.Fence, status)
		})
		<-r.Context().Done()
		return
	}
	w.WriteHeader(s.applyGrant(body.From, body.To, body.Fence, hold))
}

// lateOrders returns the share of the grants that the server leaves unanswered and carries out late.
func (s *server) lateOrders() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.late
}

// setLateOrders sets the share that lateOrders returns.
func (s *server) setLateOrders(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = share
}

// applyGrant grants keys and returns the status of the response.
func (s *server) applyGrant(from, to int, fence uint64, hold time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	renewal := false
	for n := len(s.grants) - 1; n >= 0; n-- {
		g := s.grants[n]
		if g.from <= to && from <= g.to && g.fence > fence {
			return http.StatusConflict
		}
		renewal = renewal || g.from == from && g.to == to && g.fence == fence && !g.released
	}
	if s.onGrant != nil {
		s.onGrant(from, to, fence)
	}
	if !renewal {
		s.rec.event("%s is granted keys %d-%d fence %d for %v", s.id, from, to, fence, hold)
	}
	s.grants = append(s.grants, keyGrant{from, to, fence, time.Now().Add(time.Duration(float64(hold) / clockFactor)), false})
	if len(s.grants) > 4096 {
		s.grants = append([]keyGrant(nil), s.grants[2048:]...)
	}
	return http.StatusOK
}

// holds reports whether a key is granted. s.mu must be held.
func (s *server) holds(key int) bool {
	for n := len(s.grants) - 1; n >= 0; n-- {
		if g := s.grants[n]; g.from <= key && key <= g.to {
			return !g.released && time.Now().Before(g.expires)
		}
	}
	return false
}

func (s *server) release(w http.ResponseWriter, r *http.Request) {
	var body struct {
		From  int    `json:"from"`
		To    int    `json:"to"`
		Fence uint64 `json:"fence"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.grants = append(s.grants, keyGrant{body.From, body.To, body.Fence, time.Time{}, true})
	s.rec.event("%s releases keys %d-%d fence %d", s.id, body.From, body.To, body.Fence)
	busy := func() bool {
		for key, n := range s.onKeys {
			if n > 0 && body.From <= key && key <= body.To {
				return true
			}
		}
		return false
	}
	for busy() {
		s.ended.Wait()
	}
	s.mu.Unlock()
	w.Header().Set("X-Sapphiretray-Handover", fmt.Sprintf("%s-%d-%d", s.id, body.From, body.Fence))
	w.WriteHeader(http.StatusOK)
}

func (s *server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("X-Sapphiretray-Instance-Id", s.id)
	if s.state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// refuse responds to a request that isn't run. s.mu must be held.
func (s *server) refuse(w http.ResponseWriter, id string, status int) {
	s.rec.event("%s refuses %s with %d", s.id, id, status)
	w.Header().Set("X-Sapphiretray-Not-Executed", "1")
	w.WriteHeader(status)
}

func (s *server) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Sapphiretray-Request-Id")
	w.Header().Set("X-Sapphiretray-Request-Id", id)
	w.Header().Set("X-Sapphiretray-Instance-Id", s.id)
	key, keyErr := strconv.Atoi(r.Header.Get("X-Sapphiretray-Shard-Key"))
	keyed := s.sharded && keyErr == nil
	s.mu.Lock()
	s.rec.event("%s gets %s", s.id, id)
	expected := r.Header.Get("X-Sapphiretray-Expect-Instance")
	switch {
	case id == "":
		s.refuse(w, id, http.StatusBadRequest)
		s.mu.Unlock()
		return
	case expected != "" && expected != s.id, keyed && !s.holds(key):
		s.refuse(w, id, http.StatusMisdirectedRequest)
		s.mu.Unlock()
		return
	case s.waiting >= s.queue:
		s.refuse(w, id, http.StatusServiceUnavailable)
		s.mu.Unlock()
		return
	}
	s.waiting++
	s.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	select {
	case s.free <- struct{}{}:
	case <-r.Context().Done():
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		return
	}
	s.mu.Lock()
	s.waiting--
	if err != nil || keyed && !s.holds(key) {
		if err == nil {
			s.refuse(w, id, http.StatusMisdirectedRequest)
		}
		s.mu.Unlock()
		<-s.free
		return
	}
	s.runs[id]++
	s.running++
	if keyed {
		s.onKeys[key]++
	}
	s.rec.event("%s runs %s with a body of %d bytes", s.id, id, len(body))
	s.mu.Unlock()
	time.Sleep(s.work(r))
	s.mu.Lock()
	s.running--
	if keyed {
		s.onKeys[key]--
		s.ended.Broadcast()
	}
	s.rec.event("%s has run %s", s.id, id)
	s.mu.Unlock()
	<-s.free
	text := fmt.Sprintf("%s ran %s with %d bytes\n", s.id, id, len(body))
	if strings.HasPrefix(r.URL.Path, "/download/") {
		text += strings.Repeat("d", s.documentBytes)
	}
	w.Header().Set("X-Sapphiretray-Server-Stamp", s.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// ran returns how often a request ran here.
func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}
