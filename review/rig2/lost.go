package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

func init() { cases["lost"] = lost }

// witnesses returns the live machines that the newest row of a machine names as the witnesses of its lease.
func (d *deployment) witnesses(m *machine) []*machine {
	d.store.mu.Lock()
	content := d.store.rows[rowName{table: "sapphiretray", key: "slot/" + m.ip}].Value
	d.store.mu.Unlock()
	var record struct {
		Witnesses []string `json:"witnesses"`
	}
	if json.Unmarshal(content, &record) != nil {
		return nil
	}
	return slices.DeleteFunc(d.live(), func(other *machine) bool { return other == m || !slices.Contains(record.Witnesses, other.ip) })
}

// replace starts a new machine in place of each given one, which has been lost, at another address.
func (d *deployment) replace(specs []spec, lost ...*machine) error {
	for _, m := range lost {
		s := specs[slices.IndexFunc(specs, func(s spec) bool { return s.service == m.service })]
		next, err := d.add(s, m.zone)
		if err != nil {
			return err
		}
		if err := d.startMachine(next); err != nil {
			return err
		}
	}
	return nil
}

// lost loses a machine for good and later two at once, replaces each by a new one at another address 2 s later, and then kills the
// processes.
func lost(c *caseEnv) (int, error) {
	specs := []spec{{service: "bookings", sharded: true, count: 1}, {service: "clubdocs", count: 5}}
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
	holder := d.machines[0]
	for _, count := range []int{1, 2} {
		if c.trouble {
			witnesses := d.witnesses(holder)
			if len(witnesses) == 0 {
				return 0, errors.New("the witnesses of the holder aren't known")
			}
			gone := []*machine{witnesses[0]}
			if count == 2 {
				gone = append(gone, holder)
			}
			d.lose(gone...)
			time.Sleep(2 * time.Second)
			if err := d.replace(specs, gone...); err != nil {
				return 0, err
			}
		}
		if count == 1 {
			time.Sleep(10 * time.Second)
			if sent, served := traffic(d, "between", 4*time.Second); 4*served < 3*sent {
				return 0, fmt.Errorf("only %d of %d requests were served after the first loss", served, sent)
			}
		}
	}
	time.Sleep(5 * time.Second)
	traffic(d, "replaced", 4*time.Second)
	if err := d.killAll(); err != nil {
		return 0, err
	}
	traffic(d, "during", recovery)
	after, afterServed := traffic(d, "after", 8*time.Second)
	return judgeRecovery(c, before, beforeServed, after, afterServed)
}
