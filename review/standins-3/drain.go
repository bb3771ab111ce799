package main

import (
	"sync"
	"time"
)

// Times of the case. The store is down for storeDown.
const (
	drain        = 2 * time.Second
	storeDown    = 7 * time.Second
	leavesAfter  = time.Second
	killAfter    = 1500 * time.Millisecond
	restartDelay = 300 * time.Millisecond
	lateCheckIn  = 4 * time.Second
	serverStays  = 16 * time.Second
)

// drainForgotten lets a server deregister while the store is down, and kills the process of its machine before the store is back.
func drainForgotten(b *bench) (int, error) {
	if err := prepare(b, documentsConfig, "clubdocs", "clubdocs", "clubdocs"); err != nil {
		return cannot, err
	}
	done := make(chan struct{})
	var lookups sync.WaitGroup
	for _, m := range b.machines {
		lookups.Go(func() { sendLookups(b, m, done) })
	}
	lookups.Go(func() { sendOrders(b, b.machines[0], done) })
	time.Sleep(3 * time.Second)
	m := b.machines[0]
	if b.trouble {
		b.log("the store is down")
		b.store.refuse(true)
	}
	begun := time.Now()
	time.Sleep(leavesAfter)
	acknowledged, id, err := m.server.leave(lateCheckIn)
	if err != nil {
		return cannot, err
	}
	time.Sleep(killAfter)
	if b.trouble {
		m.killProcess()
		time.Sleep(restartDelay)
		if err := m.startProcess(); err != nil {
			return cannot, err
		}
		time.Sleep(time.Until(begun.Add(storeDown)))
		b.log("the store is back")
		b.store.refuse(false)
	}
	stable := time.Now().Add(contact)
	time.Sleep(time.Until(acknowledged.Add(serverStays)))
	ended := time.Now()
	b.log("server %s ends", id)
	m.server.end()
	close(done)
	lookups.Wait()
	late, counted := 0, 0
	lost := b.count("order", func(a answer) bool { return a.lost() && a.at.After(ended) })
	b.log("%d orders were lost with server %s when it ended", lost, id)
	for _, r := range b.runsOf("") {
		if r.server != id || r.at.Sub(acknowledged) <= drain {
			continue
		}
		late++
		if r.at.After(stable) && r.at.Sub(m.touchedBefore(r.at)) > contact {
			counted++
		}
	}
	b.log("%d requests reached server %s later than %v after its deregistration was acknowledged, %d of them from machines in touch",
		late, id, drain, counted)
	if counted > 0 {
		return broke, nil
	}
	return held, nil
}

// sendOrders sends orders to a machine until done is closed, while the machine is ready.
func sendOrders(b *bench, m *machine, done chan struct{}) {
	var orders sync.WaitGroup
	defer orders.Wait()
	for {
		select {
		case <-done:
			return
		case <-time.After(200 * time.Millisecond):
		}
		if m.ready() {
			orders.Go(func() { b.send(m, "order", "POST", "/order/12", "two riders", 2*time.Second) })
		}
	}
}
