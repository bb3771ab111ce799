package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// recovery is the bound of the site file.
	recovery = 15 * time.Second
	// steadyTime is how long requests are sent before the final fault, and measuredTime after the recovery.
	steadyTime   = 8 * time.Second
	measuredTime = 15 * time.Second
)

// lossesScenario checks RECOVER: all processes are killed at once, and two of the four machines don't come back.
func lossesScenario(rec *record, root string, trouble bool) (bool, error) {
	d, err := startClubs(rec, root, "bookings", "bookings", "bookings", "clubdocs")
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	staying, lost := d.machines[:2], d.machines[2:]
	served, sent := sendBookings(rec, staying, steadyTime)
	rec.say("before the final fault: %d of %d requests were served", served, sent)
	rec.event("final fault")
	if trouble {
		for _, m := range lost {
			m.remove()
		}
	}
	for _, m := range d.machines {
		m.signal(syscall.SIGKILL)
	}
	time.Sleep(restartDelay)
	if !await(5*time.Second, func() bool { return readyAll(staying) }) {
		return false, fmt.Errorf("the processes don't start again")
	}
	rec.event("the machines are back")
	time.Sleep(recovery)
	after, sentAfter := sendBookings(rec, staying, measuredTime)
	rec.say("later than %v after the machines were back: %d of %d requests were served, less than a quarter breaks RECOVER",
		recovery, after, sentAfter)
	return 4*served >= sent && 4*after < sentAfter, nil
}

// readyAll reports whether the processes of machines answer the readiness check with 200.
func readyAll(machines []*machine) bool {
	return (&deployment{machines: machines}).ready()
}

// sendBookings sends requests for keys through machines, and returns how many were served and sent.
func sendBookings(rec *record, machines []*machine, d time.Duration) (served, sent int) {
	end := time.Now().Add(d)
	var mu sync.Mutex
	var group sync.WaitGroup
	for n, m := range machines {
		for k := range 2 {
			group.Go(func() {
				c := &client{rec: rec, name: fmt.Sprintf("requester-%d-%d", n, k), address: m.outbound()}
				defer c.drop()
				for time.Now().Before(end) {
					a := c.do(http.MethodGet, "/browse/x", rand.IntN(65536), 1500*time.Millisecond, nil)
					mu.Lock()
					sent++
					if a.status == http.StatusOK {
						served++
					}
					mu.Unlock()
					time.Sleep(250 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	return served, sent
}
