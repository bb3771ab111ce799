package main

import (
	"errors"
	"sync"
	"syscall"
	"time"
)

const (
	// thaw is the bound of the site file: grants that arrive within it after their sender was thawed don't count.
	thaw = 300 * time.Millisecond
	// Two machines at a time stand still for freezeTime, in turn, at the beginning of each freezeInterval.
	freezes        = 15
	freezeTime     = 4 * time.Second
	freezeInterval = 4800 * time.Millisecond
	// lateShare is the share of the grants that are carried out late.
	lateShare = 0.3
)

// fences knows the highest fence number with which each key was had, and by which server.
type fences struct {
	rec     *record
	mu      sync.Mutex
	highest [65536]uint64
	holder  [65536]string
	thawed  map[string]time.Time
	broken  int
}

// observe records a grant that has taken effect at a server.
func (f *fences) observe(server string, from, to int, fence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	excused := time.Since(f.thawed[server]) < thaw
	reported := false
	for key := from; key <= to; key++ {
		if fence > f.highest[key] {
			f.highest[key], f.holder[key] = fence, server
			continue
		}
		if f.holder[key] == server || excused || reported {
			continue
		}
		reported = true
		f.broken++
		f.rec.say("%s takes key %d with fence %d; %s had it with %d", server, key, fence, f.holder[key], f.highest[key])
	}
}

// freeze makes the process of a machine stand still for freezeTime.
func (f *fences) freeze(m *machine) {
	m.signal(syscall.SIGSTOP)
	time.AfterFunc(freezeTime, func() {
		f.mu.Lock()
		f.thawed[m.server.id] = time.Now()
		f.mu.Unlock()
		m.signal(syscall.SIGCONT)
	})
}

// freezesScenario checks OWNER: the processes of machines stand still, two at a time, while servers leave grants unanswered and carry them out
// late.
func freezesScenario(rec *record, root string, trouble bool) (bool, error) {
	d, err := startClubs(rec, root, "bookings", "bookings", "bookings", "bookings", "bookings", "bookings", "clubdocs")
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	owners := d.machines[:6]
	f := &fences{rec: rec, thawed: make(map[string]time.Time)}
	for _, m := range owners {
		m.server.mu.Lock()
		m.server.onGrant = func(from, to int, fence uint64) { f.observe(m.server.id, from, to, fence) }
		m.server.mu.Unlock()
	}
	time.Sleep(time.Second)
	var group sync.WaitGroup
	served, sent := 0, 0
	group.Go(func() { served, sent = sendBookings(rec, d.machines, freezes*freezeInterval) })
	if trouble {
		for _, m := range owners {
			m.server.setLateOrders(lateShare)
		}
	}
	for n := range freezes {
		time.Sleep(freezeInterval - freezeTime)
		if trouble {
			for k := range 2 {
				f.freeze(owners[(2*n+k)%len(owners)])
			}
		}
		time.Sleep(freezeTime)
	}
	group.Wait()
	rec.say("%d of %d requests were served; grants that broke OWNER: %d", served, sent, f.broken)
	if served == 0 {
		return false, errors.New("no request was served")
	}
	return f.broken > 0, nil
}
