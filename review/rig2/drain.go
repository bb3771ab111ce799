package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drain"] = drained }

const (
	// checkInLate is how late a check-in arrives that the leaving server sent before it deregistered.
	checkInLate = 1500 * time.Millisecond
	// servesOn is how long the leaving server serves on after it has deregistered.
	servesOn = 9 * time.Second
)

// drained lets a server deregister at a process that has just been started again, while a check-in that it sent before is on its way.
func drained(c *caseEnv) (int, error) {
	specs := []spec{{service: "bookings", sharded: true, count: 1}, {service: "clubdocs", count: 3}}
	d, err := newDeployment(c.rec, c.program, c.dir, specs)
	if err != nil {
		return 0, err
	}
	defer d.stop()
	for _, m := range d.machines {
		m.server.work = 100 * time.Millisecond
	}
	d.configure(1, specs, append([]route{waiverRoute}, clubRoutes...))
	if err := d.start(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(6 * time.Second)
	m := d.machines[1]
	var group sync.WaitGroup
	var statuses sync.Map
	end := time.Now().Add(16 * time.Second)
	group.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			from := d.machines[rand.IntN(len(d.machines))]
			a := attempt{id: fmt.Sprintf("d%03d", n), method: http.MethodPost, target: "/waivers/a", body: "a waiver", deadline: 2 * time.Second}
			group.Go(func() { statuses.Store(a.id, send(c.rec, from, a).status) })
			time.Sleep(50 * time.Millisecond)
		}
	})
	time.Sleep(2 * time.Second)
	started := time.Now().Add(-contact)
	if c.trouble {
		c.rec.note("the process of %s is killed", m.name)
		m.signal(syscall.SIGKILL)
		<-m.ended
		time.Sleep(500 * time.Millisecond)
		if err := d.startProcess(m); err != nil {
			return 0, err
		}
		started = time.Now()
	}
	acked, err := m.server.deregister(checkInLate, 2*time.Second)
	if err != nil {
		return 0, err
	}
	time.Sleep(time.Until(acked.Add(servesOn)))
	m.server.crash()
	group.Wait()
	late, lost := 0, 0
	for _, r := range c.rec.allRuns() {
		// The process beside the server sends on all of its requests, and is in touch again from then on.
		if r.server != m.name || r.at.Before(acked.Add(drain)) || r.at.Before(started.Add(contact)) {
			continue
		}
		late++
		if status, ok := statuses.Load(r.id); ok && status != http.StatusOK {
			lost++
		}
	}
	c.rec.note("%d requests reached the server of %s later than %v after the acknowledgement, sent on by a machine in touch; %d of them "+
		"were lost when it ended", late, m.name, drain, lost)
	if late > 0 {
		fmt.Printf("broken: %d requests reached a server later than %v after it had deregistered\n", late, drain)
		return statusBroken, nil
	}
	return statusHeld, nil
}
