package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// statusWork is the time that a status page takes, and statusClients the number of requesters that read it again and again.
	statusWork    = 200 * time.Millisecond
	statusClients = 6
	// statusRunning is the number of them whose requests run when the server crashes. serverDown is how long it is down.
	statusRunning = 4
	serverDown    = 4500 * time.Millisecond
	// steadyAfter is the time from the crash until the routes are compared.
	steadyAfter = 15 * time.Second
)

// holder returns the server that holds requestKey, or nil.
func (b *bench) holder() *appServer {
	for _, m := range b.machines {
		m.server.mu.Lock()
		keys, up := m.server.keys, m.server.id != ""
		m.server.mu.Unlock()
		if up && keys.holds(requestKey) {
			return m.server
		}
	}
	return nil
}

// innocent crashes one server while a page on a route that was added later is read, and then compares that route with a first one.
func innocent(b *bench) (int, error) {
	if err := prepare(b, bookingsConfig, keyedService, keyedService, keyedService); err != nil {
		return cannot, err
	}
	added := strings.Replace(bookingsConfig, `"paths":[`, `"paths":[
{"name":"status","prefix":"/status/","route_type":"safe","timeout":"1s","target_latency":"600ms","priority":1,"service":"bookings","max_attempts":2},`, 1)
	b.store.put("op", "config", []byte(strings.Replace(added, `"version":7`, `"version":9`, 1)))
	b.log("version 9 is acknowledged: it adds a route")
	time.Sleep(configApply + contact)
	done := make(chan struct{})
	var readers sync.WaitGroup
	for n := range statusClients {
		readers.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				b.send(b.machines[n%len(b.machines)], "status", "GET", "/status/today", "", time.Second)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if b.trouble && !b.crashHolder() {
		return cannot, errors.New("no server ran enough of the requests at once")
	}
	time.Sleep(steadyAfter)
	served := map[string]int{}
	for n := range addedRequests {
		m := b.machines[n%len(b.machines)]
		if a := b.send(m, "first", "GET", fmt.Sprint("/lookup/", n), "", time.Second); a.status == 200 {
			served["first"]++
		}
		if a := b.send(m, "added", "GET", "/status/today", "", time.Second); a.status == 200 {
			served["added"]++
		}
	}
	close(done)
	readers.Wait()
	b.log("of %d requests each, %d on a first route and %d on the added one are served", addedRequests, served["first"], served["added"])
	if 4*served["added"] < served["first"] {
		return broke, nil
	}
	return held, nil
}

// crashHolder crashes the server that holds requestKey once it runs statusRunning requests, and returns false if it doesn't in time.
func (b *bench) crashHolder() bool {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		server := b.holder()
		if server == nil {
			continue
		}
		server.mu.Lock()
		id, keys := server.id, server.keys
		server.backAfter = serverDown
		server.mu.Unlock()
		if id != "" && keys.runningOn(requestKey) >= statusRunning {
			server.crash(id)
			return true
		}
	}
	return false
}
