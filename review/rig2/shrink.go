package main

import "time"

func init() { cases["shrink"] = shrink }

// shrink removes one machine after the other, as planned work, until two are left, and then kills the processes.
func shrink(c *caseEnv) (int, error) {
	specs := []spec{{service: "bookings", sharded: true, count: 3}, {service: "clubdocs", count: 2}}
	d, err := newDeployment(c.rec, c.program, c.dir, specs)
	if err != nil {
		return 0, err
	}
	defer d.stop()
	d.configure(1, specs, clubRoutes)
	if err := d.start(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(8 * time.Second)
	before, beforeServed := traffic(d, "before", 8*time.Second)
	if c.trouble {
		for _, m := range []*machine{d.machines[2], d.machines[4], d.machines[1]} {
			d.remove(m)
			time.Sleep(5 * time.Second)
		}
	}
	if err := d.killAll(); err != nil {
		return 0, err
	}
	traffic(d, "during", recovery)
	after, afterServed := traffic(d, "after", 8*time.Second)
	return judgeRecovery(c, before, beforeServed, after, afterServed)
}
