package main

import (
	"bytes"
	"context"
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
	heartbeatInterval = 870 * time.Millisecond
	orderWork         = 600 * time.Millisecond
	stampHeader       = "X-Sapphiretray-Server-Stamp"
	idHeader          = "X-Sapphiretray-Request-Id"
	notRunHeader      = "X-Sapphiretray-Not-Executed"
)

// appServer is a stand-in for the application server of one machine. Each start is a new incarnation with a new id.
type appServer struct {
	bench            *bench
	machine          int
	service          string
	address, control string
	zone             string
	work             time.Duration
	// crashMark is the text in the body of a request that crashes the server, or empty.
	crashMark string
	// backAfter is the time from a crash to the next start.
	backAfter time.Duration

	mu       sync.Mutex
	starts   int
	id       string
	server   *http.Server
	stop     context.CancelFunc
	born     int64
	slots    chan struct{}
	sequence int
	ended    bool
	// keys are the keys of the incarnation; nil if the service isn't divided by key.
	keys *keyTable
	// keyed is set if the service is divided by key.
	keyed bool
	// leaving is set once the incarnation has deregistered.
	leaving bool
}

// start starts a new incarnation.
func (a *appServer) start() error {
	listener, err := net.Listen("tcp", a.address)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return listener.Close()
	}
	a.starts++
	a.id = fmt.Sprintf("i-m%d-%d", a.machine, a.starts)
	a.slots = make(chan struct{}, a.bench.slots)
	a.sequence, a.leaving = 0, false
	if a.keyed {
		a.keys = newKeyTable(a.bench, a.id)
	}
	a.born = time.Now().UnixMilli()
	id, slots, keys, born := a.id, a.slots, a.keys, a.born
	server := &http.Server{
		IdleTimeout: 10 * time.Second,
		Handler:     http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.serve(w, r, id, slots, keys) }),
	}
	a.server = server
	ctx, stop := context.WithCancel(context.Background())
	a.stop = stop
	a.bench.log("server %s of %s starts at machine %d", id, a.service, a.machine)
	go func() { _ = server.Serve(listener) }()
	go a.heartbeats(ctx, id, born)
	return nil
}

// crash ends the incarnation and its connections, and starts the next one after backAfter.
func (a *appServer) crash(id string) {
	a.mu.Lock()
	if a.id != id {
		a.mu.Unlock()
		return
	}
	server, stop := a.server, a.stop
	a.id = ""
	a.mu.Unlock()
	stop()
	_ = server.Close()
	a.bench.log("server %s crashes", id)
	time.AfterFunc(a.backAfter, func() {
		if err := a.start(); err != nil {
			a.bench.log("server at machine %d can't start: %v", a.machine, err)
			a.bench.broken("a server can't start")
		}
	})
}

func (a *appServer) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	if a.id != "" {
		a.stop()
		_ = a.server.Close()
	}
}

// heartbeats sends check-ins until ctx ends.
func (a *appServer) heartbeats(ctx context.Context, id string, born int64) {
	for ctx.Err() == nil {
		_ = a.call(ctx, "instances.heartbeat", id, a.heartbeat(born))
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat returns the next check-in.
func (a *appServer) heartbeat(born int64) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	body, _ := json.Marshal(map[string]any{
		"address": a.address, "born": born,
		"info":   map[string]any{"service": a.service, "version": "v1", "zone": a.zone, "slots": a.bench.slots},
		"status": map[string]any{"state": "ready", "sequence": a.sequence, "cold_remaining": "0ms"},
	})
	return body
}

// call makes a call to the process of the machine and returns nil if it is acknowledged.
func (a *appServer) call(ctx context.Context, name, id string, body []byte) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.control+"/-/rpc?call="+name+"&of="+id,
		bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s: status %d", name, response.StatusCode)
	}
	return nil
}

// leave deregisters the incarnation without having reported that it drains, and returns the time of the acknowledgement. It goes on to
// serve. Its last check-in, which it has sent before, arrives late.
func (a *appServer) leave(late time.Duration) (acknowledged time.Time, id string, err error) {
	a.mu.Lock()
	id, born := a.id, a.born
	a.mu.Unlock()
	a.stop()
	checkIn := a.heartbeat(born)
	time.AfterFunc(late, func() {
		err := a.call(context.Background(), "instances.heartbeat", id, checkIn)
		a.bench.log("late check-in of server %s arrives: %v", id, err)
	})
	time.Sleep(100 * time.Millisecond)
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"address": a.address, "born": born})
	err = a.call(context.Background(), "instances.deregister", id, body)
	acknowledged = time.Now()
	a.bench.log("server %s deregisters: %v", id, err)
	return acknowledged, id, err
}

func (a *appServer) serve(w http.ResponseWriter, r *http.Request, id string, slots chan struct{}, keys *keyTable) {
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		w.Header().Set("X-Sapphiretray-Instance-Id", id)
		a.mu.Lock()
		leaving := a.leaving
		a.mu.Unlock()
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if keys != nil && keys.control(w, r) {
		return
	}
	request := r.Header.Get(idHeader)
	w.Header().Set(idHeader, request)
	w.Header().Set("X-Sapphiretray-Instance-Id", id)
	if expected := r.Header.Get("X-Sapphiretray-Expect-Instance"); expected != "" && expected != id {
		a.bench.log("server %s answers 421 to %s", id, request)
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-slots }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if keys != nil {
		key, err := strconv.Atoi(r.Header.Get("X-Sapphiretray-Shard-Key"))
		if err != nil || !keys.begin(key) {
			a.bench.log("server %s answers 421 to %s, whose key it doesn't hold", id, request)
			w.Header().Set(notRunHeader, "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		defer keys.end(key)
	}
	a.bench.run(request, a.machine, id)
	if a.crashMark != "" && strings.Contains(string(body), a.crashMark) {
		a.crash(id)
		panic(http.ErrAbortHandler)
	}
	work := a.work
	if strings.HasPrefix(r.URL.Path, "/order/") {
		work = orderWork
	}
	deadline := work + time.Second
	if ms, err := strconv.Atoi(r.Header.Get("X-Sapphiretray-Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	select {
	case <-time.After(min(work, deadline)):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(stampHeader, id+"."+request)
	w.Header().Set("X-Sapphiretray-Server-Load", fmt.Sprintf("%d,0,%d", len(slots), a.bench.slots))
	_, _ = fmt.Fprintf(w, "%s ran %s with %d bytes", id, request, len(body))
}
