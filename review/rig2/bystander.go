package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["bystander"] = bystander }

const (
	// lookupsPerSecond and lookupWork keep 13 of 18 slots busy.
	lookupsPerSecond = 26
	lookupWork       = 500 * time.Millisecond
	// Of each round of lookups, firstHot and secondHot are about either of two documents, and each other one about another document.
	round, firstHot, secondHot = 25, 11, 10
)

// lookups sends requests for documents to all machines for a time, and returns how many were sent and how many were served. begun is
// called once after the first second unless it is nil.
func lookups(d *deployment, name string, length time.Duration, begun func()) (sent, served int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for n := range int(length.Seconds() * lookupsPerSecond) {
		if n == lookupsPerSecond && begun != nil {
			group.Go(begun)
		}
		target := fmt.Sprintf("/docs/%d", n)
		// The factor spreads the lookups of a document over the round.
		if place := n * 7 % round; place < firstHot {
			target = "/docs/price-list"
		} else if place < firstHot+secondHot {
			target = "/docs/opening-hours"
		}
		m := d.machines[n%len(d.machines)]
		a := attempt{id: fmt.Sprintf("%s%04d", name, n), method: http.MethodGet, target: target, deadline: 1500 * time.Millisecond}
		group.Go(func() {
			o := send(d.rec, m, a)
			mu.Lock()
			defer mu.Unlock()
			sent++
			if o.status == http.StatusOK && o.err == nil {
				served++
			}
		})
		time.Sleep(time.Second / lookupsPerSecond)
	}
	group.Wait()
	d.rec.note("lookups %q: %d requests sent, %d served", name, sent, served)
	return sent, served
}

// bystander sends one request that crashes the servers that run it, at each machine until it has crashed all, beside ordinary requests.
func bystander(c *caseEnv) (int, error) {
	specs := []spec{{service: "clubdocs", count: 3}}
	d, err := newDeployment(c.rec, c.program, c.dir, specs)
	if err != nil {
		return 0, err
	}
	defer d.stop()
	const poisoned = "/docs/poisoned"
	for _, m := range d.machines {
		m.server.work, m.server.downFor = lookupWork, 3*time.Second
		if c.trouble {
			m.server.poison = poisoned
		}
	}
	d.configure(1, specs, []route{
		{Name: "lookup", Prefix: "/docs/", RouteType: "safe", Timeout: "1500ms", Latency: "800ms", Priority: 1, Service: "clubdocs", MaxAttempts: 2},
	})
	if err := d.start(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	before, beforeServed := lookups(d, "before", 8*time.Second, nil)
	lookups(d, "during", 5*time.Second, func() {
		var repeats sync.WaitGroup
		for n, m := range d.machines {
			a := attempt{id: fmt.Sprintf("poison%d", n), method: http.MethodGet, target: poisoned, deadline: 1500 * time.Millisecond}
			repeats.Go(func() { send(c.rec, m, a) })
		}
		repeats.Wait()
	})
	lookups(d, "recovery", recovery, nil)
	after, afterServed := lookups(d, "after", 15*time.Second, nil)
	return judgeRecovery(c, before, beforeServed, after, afterServed)
}
