package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["orders"] = orders }

const (
	// lateShare is the share of the grants that a server leaves unanswered and carries out between leastLate and mostLate later.
	lateShare            = 0.3
	leastLate, mostLate  = 2 * time.Second, 12 * time.Second
	lateFor, rejectedFor = 5500 * time.Millisecond, 9 * time.Second
)

// fenceLog holds the highest fence number with which each server had each key.
type fenceLog struct {
	mu     sync.Mutex
	fences map[string]*[65536]uint64
	broken int
}

// add records a grant that a server has carried out, and whether another server had a key of it with the same fence number or a higher one.
// late is set for a grant that was carried out late.
func (l *fenceLog) add(rec *recorder, server string, from, to int, fence uint64, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fences[server] == nil {
		l.fences[server] = new([65536]uint64)
	}
	for key := from; key <= to; key++ {
		for other, fences := range l.fences {
			if other != server && fences[key] >= fence && late {
				l.broken++
				rec.note("server of %s carries out a late grant of keys %d-%d with fence %d; the server of %s had key %d with %d",
					server, from, to, fence, other, key, fences[key])
				return
			}
		}
	}
	for key := from; key <= to; key++ {
		l.fences[server][key] = max(l.fences[server][key], fence)
	}
}

// orders kills a process whose server has left grants unanswered, while the store turns its machine away.
func orders(c *caseEnv) (int, error) {
	specs := []spec{{service: "bookings", sharded: true, count: 3}, {service: "clubdocs", count: 3}}
	d, err := newDeployment(c.rec, c.program, c.dir, specs)
	if err != nil {
		return 0, err
	}
	defer d.stop()
	log := fenceLog{fences: make(map[string]*[65536]uint64)}
	for _, m := range d.machines {
		m.server.onGrant = func(from, to int, fence uint64, late bool) { log.add(c.rec, m.name, from, to, fence, late) }
	}
	d.configure(1, specs, clubRoutes)
	if err := d.start(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(6 * time.Second)
	if sent, served := traffic(d, "before", 4*time.Second); 4*served < 3*sent {
		return 0, fmt.Errorf("only %d of %d requests were served before the trouble", served, sent)
	}
	for _, m := range d.machines[:3] {
		m.server.leaveUnanswered(time.Now().Add(lateFor))
		time.Sleep(lateFor)
		if c.trouble {
			c.rec.note("the process of %s is killed, and the store turns its machine away", m.name)
			d.store.reject(m.name, true)
			m.signal(syscall.SIGKILL)
			<-m.ended
			time.Sleep(500 * time.Millisecond)
			if err := d.startProcess(m); err != nil {
				return 0, err
			}
		}
		time.Sleep(rejectedFor - 500*time.Millisecond)
		d.store.reject(m.name, false)
		time.Sleep(mostLate - rejectedFor + 2*time.Second)
	}
	traffic(d, "after", 4*time.Second)
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.broken > 0 {
		fmt.Printf("broken: %d late grants were carried out with a fence number that wasn't above that of another server\n", log.broken)
		return statusBroken, nil
	}
	return statusHeld, nil
}

// leaveUnanswered makes the server leave a share of the grants unanswered until a time, and carry them out late.
func (s *server) leaveUnanswered(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateUntil = until
}

// lateness returns how late the server carries a grant out that arrives now, or 0 if it does so at once. mu must be held.
func (s *server) lateness() time.Duration {
	if time.Now().After(s.lateUntil) || rand.Float64() >= lateShare {
		return 0
	}
	return leastLate + rand.N(mostLate-leastLate)
}
