package grant_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sapphiretray/code"
	"sapphiretray/grant"
	"sapphiretray/keyspace"
	"sapphiretray/member"
	"sapphiretray/wait"
)

// leaseDuration is the time for which a lease is extended.
const leaseDuration = 2 * time.Second

// modelNode is an instance.
type modelNode struct {
	slot string
	// current is the incarnation that has joined; nil while the instance restarts. latest is the latest one.
	current  *modelMember
	latest   *modelMember
	upstream *upstreamRun
	// cutUntil is the time until which the instance is cut off: its lease isn't extended, it gets no maps and no peer reaches it.
	cutUntil time.Time
	number   uint64
	// requests is the number of release requests of the instance that have not returned yet.
	requests int
	// disturbed means that the instance was cut off or had calls in flight when the faults ended.
	disturbed bool
}

// modelMember is an incarnation. It implements grant.Lease.
type modelMember struct {
	m        *model
	self     member.Incarnation
	node     *modelNode
	upstream *upstreamRun
	manager  *grant.Manager
	joined   time.Time
	stop     func()

	mu sync.Mutex
	// until is the end of the lease. After a proof that it has expired it can't be extended.
	until  time.Time
	proved bool
}

func (i *modelMember) Valid() bool { return time.Now().Before(i.Expires()) }

func (i *modelMember) Expires() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.until
}

// extend extends the lease and returns false if it is proved to have expired.
func (i *modelMember) extend() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.proved {
		i.until = time.Now().Add(leaseDuration)
	}
	return !i.proved
}

// proveExpired reports whether the lease has expired. If so, it can't be extended any more.
func (i *modelMember) proveExpired() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.proved = i.proved || time.Now().After(i.until)
	return i.proved
}

// join begins a new incarnation of an instance.
func (m *model) join(ctx context.Context, n *modelNode, clockFactor float64) {
	m.mu.Lock()
	n.number++
	if n.upstream == nil || !n.upstream.up {
		n.upstream = &upstreamRun{m: m, name: fmt.Sprintf("%s/%d", n.slot, n.number), clockFactor: clockFactor, up: true}
		m.runs = append(m.runs, n.upstream)
	}
	i := &modelMember{m: m, self: member.NewIncarnation(n.slot, n.number), node: n, upstream: n.upstream, joined: time.Now()}
	i.extend()
	ctx, cancel := context.WithCancel(ctx)
	var earlier *grant.Manager
	if n.latest != nil && n.latest.upstream == n.upstream {
		earlier = n.latest.manager
	}
	i.manager = grant.New(ctx, "bookings", i.self, i, n.upstream, m, grant.WithEarlier(earlier))
	var running sync.WaitGroup
	running.Go(func() { i.manager.Run(ctx) })
	i.stop = func() {
		cancel()
		running.Wait()
		i.manager.Wait()
	}
	n.current, n.latest, m.members[i.self] = i, i, i
	current := m.current
	m.mu.Unlock()
	if current != nil {
		i.manager.Update(current)
	}
}

// restart ends the incarnation of an instance, and that of its upstream if wanted, and joins a new one.
func (m *model) restart(ctx context.Context, n *modelNode, upstreamToo bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := n.current
	if old == nil {
		return
	}
	n.current = nil
	random := m.draw("restart", n.slot)
	if upstreamToo {
		n.upstream.up = false
	}
	m.record(keyspace.Range{Last: keyspace.MaxKey}, fmt.Sprintf("%v ends, its upstream too: %v", old.self, upstreamToo))
	m.group.Go(func() {
		old.stop()
		time.Sleep(random.between(100*time.Millisecond, 500*time.Millisecond))
		m.join(ctx, n, 1+random.Float64()*(1/0.98-1))
	})
}

// Release implements grant.Peers. Like an instance, it delays a request to an earlier incarnation until all grants of that one have
// ended.
func (m *model) Release(ctx context.Context, r grant.ReleaseRequest) ([]grant.Handover, error) {
	m.mu.Lock()
	random := m.draw("peer", r.Successor, r.Holder, r.Range)
	fault, hang, delivered := m.faulty && random.Float64() < 0.1, random.Float64() < 0.2, random.Float64() < 0.5
	transit := random.between(200*time.Microsecond, 2*time.Millisecond)
	holder := m.members[r.Holder].node
	current := holder.current
	successor := m.members[r.Successor].node
	cut := time.Now().Before(holder.cutUntil) || time.Now().Before(successor.cutUntil)
	successor.requests++
	m.mu.Unlock()
	defer func() { m.locked(func() { successor.requests-- }) }()
	if !wait.For(ctx, transit) || cut || fault && hang && !delivered {
		<-ctx.Done()
		return nil, errUnreachable
	}
	if current == nil || fault && !delivered {
		return nil, errReset
	}
	if current.self != r.Holder {
		wait.For(ctx, time.Until(current.joined.Add(grant.MaxHold+grant.MaxHold/20)))
		r.Holder = current.self
	}
	handovers, err := current.manager.Release(ctx, r)
	m.locked(func() {
		m.record(r.Range, fmt.Sprintf("%v asked %v to release for epoch %d: lost %v, error %v", r.Successor, r.Holder, r.Epoch, fault, err))
	})
	if fault && hang {
		<-ctx.Done()
	}
	if fault {
		err = errReset
	}
	if err != nil {
		return nil, err
	}
	return handovers, nil
}

// ProveExpired implements grant.Peers.
func (m *model) ProveExpired(ctx context.Context, i member.Incarnation) (bool, error) {
	for wait.For(ctx, 20*time.Millisecond) {
		if m.find(i).proveExpired() {
			return true, nil
		}
	}
	return false, code.New(code.NoOwner, "no proof")
}

func (m *model) find(i member.Incarnation) *modelMember {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members[i]
}

// Ended implements grant.Peers. The model assumes that the grants of an incarnation reach only its own run of the upstream.
func (m *model) Ended(i member.Incarnation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.members[i]
	current := old.node.current
	return current != nil && current.self.Number() > i.Number() && current.upstream != old.upstream
}
