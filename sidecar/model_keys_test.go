package sidecar

import (
	"context"
	"fmt"
	"time"

	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/store"
)

const (
	// modelRegions is the number of ranges of keys of equal size, each of which moves as a whole.
	modelRegions = 6
	regionSize   = (int(keyspace.MaxKey) + modelRegions) / modelRegions
	// keysInterval is the time between two checks of the owners.
	keysInterval = 100 * time.Millisecond
	// maxKilledOwner is how long a killed instance remains the owner of its keys.
	maxKilledOwner = time.Second
)

// regionState is what an instance knows of a region of keys. The zero value means that it doesn't serve the keys.
type regionState struct {
	serving, claiming bool
	// successor is the slot of the instance that the keys were released to, or empty.
	successor string
}

// modelKeys holds the owners of the keys.
type modelKeys struct {
	owners [modelRegions]*modelInstance
	epochs [modelRegions]uint64
	moving [modelRegions]bool
	// lostAt is when the owner was found to be gone or stopping.
	lostAt [modelRegions]time.Time
	// rows holds the newest row of each record and of the key map.
	rows map[string]store.Row
}

func (k *modelKeys) remember(row store.Row) {
	if k.rows == nil {
		k.rows = make(map[string]store.Row)
	}
	k.rows[row.Key] = row
}

func (k *modelKeys) newestRows() []store.Row {
	var rows []store.Row
	for _, row := range k.rows {
		rows = append(rows, row)
	}
	return rows
}

// region returns the region of a key.
func region(key uint16) int { return int(key) / regionSize }

// keyOf returns a key that an instance owns, or the given one if it owns none.
func (m *model) keyOf(d *draws, i *modelInstance, key int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range d.Perm(modelRegions) {
		if m.keys.owners[r] == i {
			return min(r*regionSize+d.IntN(regionSize), int(keyspace.MaxKey))
		}
	}
	return key
}

// regionID is the id of events that concern a region.
func regionID(r int) string { return fmt.Sprint("region ", r) }

// Admit implements gateway.Keys as package grant does.
func (i *modelInstance) Admit(ctx context.Context, key uint16, until time.Time) *gateway.Failure {
	m := i.node.m
	for {
		m.mu.Lock()
		s, changed := i.regions[region(key)], i.changed
		m.mu.Unlock()
		switch {
		case s.serving:
			return nil
		case !s.claiming:
			return &gateway.Failure{
				Code: code.NotOwner, RetryAfter: movedRetryAfter, OwnerSlot: s.successor,
				Reason: fmt.Sprintf("key %d isn't served by %v", key, i.self),
			}
		case !time.Now().Before(until), ctx.Err() != nil:
			return &gateway.Failure{Code: code.Moved, RetryAfter: movedRetryAfter, Reason: fmt.Sprintf("key %d isn't granted yet", key)}
		}
		timer := time.NewTimer(time.Until(until))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// setRegion changes what the instance knows of a region. m.mu must be held.
func (i *modelInstance) setRegion(r int, s regionState) {
	i.regions[r] = s
	close(i.changed)
	i.changed = make(chan struct{})
}

// assignKeys gives each region to an instance at the start.
func (m *model) assignKeys() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for r := range modelRegions {
		i := m.nodes[r%modelNodes].current
		m.keys.owners[r], m.keys.epochs[r] = i, m.rowVersion+1
		i.setRegion(r, regionState{serving: true})
		i.node.upstream.grant(r)
	}
	m.publishMap()
}

// publishMap publishes the owners. m.mu must be held.
func (m *model) publishMap() {
	m.rowVersion++
	var entries []keyspace.Entry
	for r, owner := range m.keys.owners {
		last := min((r+1)*regionSize-1, int(keyspace.MaxKey))
		entries = append(entries, keyspace.Entry{
			Range: keyspace.Range{First: keyspace.Key(r * regionSize), Last: keyspace.Key(last)}, Epoch: m.keys.epochs[r],
			Members: []member.Incarnation{owner.self},
		})
	}
	next, err := keyspace.NewMap(m.rowVersion, entries)
	if err != nil {
		panic(err)
	}
	value, err := next.Encode()
	if err != nil {
		panic(err)
	}
	m.publish(store.Row{Key: keyspace.RowKey(modelService), Version: m.rowVersion, Value: value})
}

// planKeys moves the keys of instances that stop or have ended, and others at random.
func (m *model) planKeys() {
	d := m.draw("plan")
	moves := d.Float64() * 0.04
	// slowest is how late the planner may move the keys of an instance that stops.
	slowest := d.between(200*time.Millisecond, modelStopTimeout)
	for !m.isEnded() {
		time.Sleep(keysInterval)
		m.locked(func() {
			for r := range modelRegions {
				m.planRegion(d, r, moves, slowest)
			}
		})
	}
}

// planRegion moves a region if its owner stops or has ended, or with a probability. m.mu must be held.
func (m *model) planRegion(d *draws, r int, moves float64, slowest time.Duration) {
	owner := m.keys.owners[r]
	if m.keys.moving[r] {
		return
	}
	lost := owner.stopping || owner.node.current != owner || owner.node.isEvacuated()
	if lost && m.keys.lostAt[r].IsZero() {
		if owner.killed {
			slowest = min(slowest, maxKilledOwner)
		}
		m.keys.lostAt[r] = time.Now().Add(d.between(0, slowest))
	}
	if lost && time.Now().Before(m.keys.lostAt[r]) || !lost && !d.chance(moves) {
		return
	}
	var candidates []*modelInstance
	for _, n := range m.nodes {
		if i := n.current; i != nil && !i.stopping && i != owner && !n.isEvacuated() {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return
	}
	to := candidates[d.IntN(len(candidates))]
	m.keys.moving[r], m.keys.lostAt[r] = true, time.Time{}
	m.keys.owners[r], m.keys.epochs[r] = to, m.rowVersion+1
	m.record(regionID(r), "region %d moves from %v to %v", r, owner.self, to.self)
	m.publishMap()
	m.group.Go(func() { m.move(r, owner, to) })
}

// move releases a region at its earlier owner, which waits for the running requests, and grants it to the next one.
func (m *model) move(r int, from, to *modelInstance) {
	d := m.draw("move")
	time.Sleep(d.between(time.Millisecond, 120*time.Millisecond))
	m.locked(func() { to.setRegion(r, regionState{claiming: true}) })
	time.Sleep(d.between(time.Millisecond, 30*time.Millisecond))
	m.locked(func() {
		from.setRegion(r, regionState{successor: to.node.slot})
		m.record(regionID(r), "%v releases region %d", from.self, r)
	})
	time.Sleep(d.between(100*time.Microsecond, 5*time.Millisecond))
	from.node.upstream.release(r)
	time.Sleep(d.between(time.Millisecond, 30*time.Millisecond))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keys.moving[r] = false
	if to.node.current != to {
		return
	}
	to.node.upstream.grant(r)
	to.setRegion(r, regionState{serving: true})
	for n := range m.kills {
		if k := &m.kills[n]; from.killed && k.node == from.node && k.servedAt[r].IsZero() {
			k.servedAt[r] = time.Now()
		}
	}
	m.record(regionID(r), "%v serves region %d", to.self, r)
}
