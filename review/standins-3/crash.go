package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// crashMark stands in the body of the request that crashes each server that begins to run it.
const crashMark = "waiver 4711, page 3"

// documentsConfig has one service without keys, with an unsafe and a safe route.
const documentsConfig = `{"version":7,"services":[{"name":"clubdocs","health_path":"/health","max_connections":130}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout":"3s","idle_timeout":"15s"},
"virtual_hosts":[{"host":"club.example","paths":[
{"name":"waiver-upload","prefix":"/waiver/","route_type":"unsafe","timeout":"2s","target_latency":"800ms","priority":1,"service":"clubdocs","max_attempts":2},
{"name":"order","prefix":"/order/","route_type":"unsafe","timeout":"2s","target_latency":"1s","priority":1,"service":"clubdocs","max_attempts":2},
{"name":"booking-lookup","prefix":"/lookup/","route_type":"safe","timeout":"1s","target_latency":"300ms","priority":1,"service":"clubdocs","max_attempts":2}
]}]}`

// bookingsConfig has one service that is divided by key.
var bookingsConfig = strings.ReplaceAll(strings.Replace(documentsConfig, `"max_connections":130`,
	`"max_connections":130,"sharded":true,"warmup":"1s"`, 1), "clubdocs", keyedService)

// maxLateRetries is the number of retries that may still reach servers.
const maxLateRetries = 3

// judgeCrash counts the retries of the request that reached servers later than contact after it had crashed the third one, sent by
// machines in touch.
func judgeCrash(b *bench, inTouch func(r run) bool) int {
	runs := b.runsOf("waiver")
	if !b.trouble {
		b.log("%d waivers ran, and no server crashed", len(runs))
		return held
	}
	if len(runs) < 3 {
		b.log("the request crashed %d servers", len(runs))
		return held
	}
	third, late := runs[2].at, 0
	for _, r := range runs[3:] {
		if r.at.Sub(third) > contact && inTouch(r) {
			late++
			b.log("late retry %d: %s reached server %s %.1f s after the third crash", late, r.request, r.server, r.at.Sub(third).Seconds())
		}
	}
	lost := b.count("order", answer.lost)
	b.log("%d orders of other requesters were lost with the servers that ran them", lost)
	b.log("%d servers crashed; %d late retries reached servers, %d are allowed", len(runs), late, maxLateRetries)
	if late > maxLateRetries {
		return broke
	}
	return held
}

// prepare starts a deployment and checks that it serves.
func prepare(b *bench, config string, services ...string) error {
	if err := b.deploy(config, services...); err != nil {
		return err
	}
	if b.trouble {
		for _, m := range b.machines {
			m.server.crashMark = crashMark
		}
	}
	time.Sleep(8 * time.Second)
	for _, m := range b.machines {
		if a := b.send(m, "lookup", "GET", "/lookup/12", "", time.Second); a.status != 200 {
			return fmt.Errorf("machine %d doesn't serve before the case begins: %d %v", m.number, a.status, a.err)
		}
	}
	return nil
}

func waiver() string { return crashMark + strings.Repeat(".", 400) }

// sendWaiver sends the waiver while an order of another requester runs at the same server.
func sendWaiver(b *bench, m *machine) {
	var order sync.WaitGroup
	order.Go(func() {
		if a := b.send(m, "order", "POST", "/order/12", fmt.Sprint("order of ", time.Now()), 2*time.Second); a.lost() {
			b.log("%s was running when its server crashed", a.id)
		}
	})
	time.Sleep(200 * time.Millisecond)
	b.send(m, "waiver", "POST", "/waiver/4711", waiver(), 2*time.Second)
	order.Wait()
}

// crashRestart sends the same request until it is refused. Then all machines are stopped and started in turn, and the request comes again.
// That is repeated once.
func crashRestart(b *bench) (int, error) {
	if err := prepare(b, bookingsConfig, keyedService, keyedService, keyedService); err != nil {
		return cannot, err
	}
	sendWaivers(b, 4)
	for range 2 {
		for _, m := range b.machines {
			m.stopProcess()
			if err := m.startProcess(); err != nil {
				return cannot, err
			}
			time.Sleep(2 * time.Second)
		}
		time.Sleep(contact)
		sendWaivers(b, 5)
	}
	return judgeCrash(b, func(r run) bool {
		m := b.machines[r.machine-1]
		return r.at.Sub(m.touchedBefore(r.at)) > contact
	}), nil
}

// sendWaivers sends the request several times, in turn at all machines.
func sendWaivers(b *bench, times int) {
	for n := range times {
		sendWaiver(b, b.machines[n%len(b.machines)])
		time.Sleep(3400 * time.Millisecond)
	}
}

// sendLookups sends lookups to a machine until done is closed. Requesters get no new work for a machine that isn't ready.
func sendLookups(b *bench, m *machine, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(150 * time.Millisecond):
		}
		if m.ready() {
			b.send(m, "lookup", "GET", "/lookup/13", "", time.Second)
		}
	}
}
