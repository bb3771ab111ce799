package main

import (
	"fmt"
	"time"
)

func init() { cases["departed"] = departed }

const (
	// total is the number of machines that come and are lost.
	total = 320
	// batch is the number of further machines that run at the same time.
	batch = 40
	// lossPause is the pause between two losses of two machines each.
	lossPause = 50 * time.Millisecond
)

// hasRecord reports whether the process of a machine has written its row.
func (d *deployment) hasRecord(m *machine) bool {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	_, ok := d.store.rows[rowName{table: "sapphiretray", key: "slot/" + m.ip}]
	return ok
}

// departed lets machines come and be lost for good, two at a time, and then kills all processes that are left.
func departed(c *caseEnv) (int, error) {
	specs := []spec{{service: "bookings", sharded: true, count: 2}, {service: "clubdocs", count: 4}, {service: "reports"}}
	d, err := newDeployment(c.rec, c.program, c.dir, specs)
	if err != nil {
		return 0, err
	}
	defer d.stop()
	d.configure(1, specs, clubRoutes)
	if err := d.start(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(6 * time.Second)
	for come := 0; c.trouble && come < total; come += batch {
		var machines []*machine
		for n := range batch {
			m, err := d.add(specs[2], zones[n%len(zones)])
			if err != nil {
				return 0, err
			}
			if err := d.startMachine(m); err != nil {
				return 0, err
			}
			machines = append(machines, m)
		}
		for _, m := range machines {
			for until := time.Now().Add(15 * time.Second); !d.hasRecord(m); time.Sleep(20 * time.Millisecond) {
				if time.Now().After(until) {
					return 0, fmt.Errorf("%s hasn't joined", m.name)
				}
			}
		}
		for n := 0; n < batch; n += 2 {
			d.lose(machines[n], machines[n+1])
			time.Sleep(lossPause)
		}
	}
	time.Sleep(3 * time.Second)
	before, beforeServed := traffic(d, "before", 6*time.Second)
	if err := d.killAll(); err != nil {
		return 0, err
	}
	traffic(d, "during", recovery)
	after, afterServed := traffic(d, "after", 8*time.Second)
	return judgeRecovery(c, before, beforeServed, after, afterServed)
}
