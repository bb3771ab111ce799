package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

func init() { cases["poison"] = poison }

// poisonTarget is the target of the request that crashes servers.
const poisonTarget = "/waivers/poison"

// poison sends a request that crashes each server that runs it, again and again with the same path, caller and body.
func poison(c *caseEnv) (int, error) {
	specs := []spec{{service: "clubdocs", count: 3}}
	d, err := newDeployment(c.rec, c.program, c.dir, specs)
	if err != nil {
		return 0, err
	}
	defer d.stop()
	for _, m := range d.machines {
		m.server.downFor = 3 * time.Second
		if c.trouble {
			m.server.poison = poisonTarget
		}
	}
	d.configure(1, specs, []route{
		{Name: "lookup", Prefix: "/docs/", RouteType: "safe", Timeout: "1500ms", Latency: "600ms", Priority: 1, Service: "clubdocs", MaxAttempts: 2},
		waiverRoute,
	})
	if err := d.start(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	for n := range 14 {
		m := d.machines[n%len(d.machines)]
		o := send(c.rec, m, attempt{
			id: fmt.Sprintf("p%02d", n), method: http.MethodPost, target: poisonTarget, body: "the same waiver", deadline: 2 * time.Second,
		})
		if !c.trouble && o.status != http.StatusOK {
			return 0, fmt.Errorf("request %d without trouble: status %d, %v", n, o.status, o.err)
		}
		// The server that has just crashed is down for the rest of this pause, and its machine gets another request meanwhile.
		time.Sleep(2500 * time.Millisecond)
		send(c.rec, m, attempt{id: fmt.Sprintf("l%02d", n), method: http.MethodGet, target: "/docs/a", deadline: 800 * time.Millisecond})
		time.Sleep(2 * time.Second)
	}
	runs := slices.DeleteFunc(c.rec.allRuns(), func(r run) bool { return r.target != poisonTarget })
	if len(runs) < 3 {
		return 0, fmt.Errorf("only %d runs", len(runs))
	}
	late := 0
	for _, r := range runs[3:] {
		if r.at.After(runs[2].at.Add(contact)) {
			late++
		}
	}
	c.rec.note("%d runs, %d of them later than %v after the third", len(runs), late, contact)
	if c.trouble && late > 3 {
		fmt.Printf("broken: the request reached servers %d times later than %v after it had crashed the third\n", late, contact)
		return statusBroken, nil
	}
	return statusHeld, nil
}
