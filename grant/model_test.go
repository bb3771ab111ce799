package grant_test

import (
	"context"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/bubble"
	"sapphiretray/keyspace"
	"sapphiretray/member"
)

var (
	modelSeeds = flag.Int("grant.seeds", 12, "number of seeds that TestModel runs")
	modelSeed  = flag.Uint64("grant.seed", 1, "first seed that TestModel runs")
)

const (
	modelNodes = 4
	// mapInterval is the time between two maps, and mapDelay the longest time until an instance knows a map.
	mapInterval = 400 * time.Millisecond
	mapDelay    = 500 * time.Millisecond
	faultyTime  = 20 * time.Second
	// slowOwnerGap is the longest time for which keys may be without an owner if an earlier holder doesn't respond.
	slowOwnerGap = 5 * time.Second
	// maxBothHold is the longest time for which the platform allows two upstreams to hold the same keys if no requests reach them.
	maxBothHold = 500 * time.Millisecond
	// allowedLateGrant is a kind of violation that no manager can prevent. It is counted and doesn't fail the test.
	allowedLateGrant = "token of a late grant after a takeover"
)

// TestModel guards against sequences of faults, maps and restarts after which two upstreams hold the same keys, an upstream gets them
// with an old fencing token, or they stay without an owner. A failure prints the seed, which replays mostly the same sequence:
//
//	go test -race ./grant -run TestModel -grant.seed 17 -grant.seeds 1
func TestModel(t *testing.T) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	defer klog.LogToStderr(true)
	failures := make(map[string][]uint64)
	for n := range *modelSeeds {
		seed := *modelSeed + uint64(n)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			m := &model{
				seed: seed, releaseRaises: seed%2 == 1,
				counts: make(map[string]uint64), members: make(map[member.Incarnation]*modelMember),
			}
			var group sync.WaitGroup
			ended := make(chan struct{})
			group.Go(func() {
				defer close(ended)
				bubble.Test(t, m.run)
			})
			select {
			case <-ended:
				group.Wait()
			case <-time.After(maxRealTime):
				t.Fatalf("seed %d: the paused clock stands still", seed)
			}
			for _, v := range m.violations {
				failures[v.kind] = append(failures[v.kind], seed)
				if v.kind == allowedLateGrant {
					continue
				}
				t.Errorf("seed %d: %s: %s\n%s", seed, v.kind, v.text, strings.Join(v.events, "\n"))
			}
		})
	}
	for kind, seeds := range failures {
		t.Logf("%s: %d of %d seeds: %v", kind, len(seeds), *modelSeeds, seeds)
	}
}

// model holds instances with their upstreams, and the planner of the maps.
type model struct {
	seed    uint64
	started time.Time
	group   sync.WaitGroup

	mu sync.Mutex
	// releaseRaises makes releases raise the fencing tokens of keys, as those of the platform's upstreams do. The protocol doesn't say so,
	// and every second seed does without.
	releaseRaises bool
	// faulty makes upstreams and peers fail.
	faulty bool
	// ended means that late grants are no longer carried out.
	ended   bool
	counts  map[string]uint64
	nodes   []*modelNode
	members map[member.Incarnation]*modelMember
	runs    []*upstreamRun
	current *keyspace.Map
	// changedAt is when each region got another owner in the current map.
	changedAt [regions]time.Time
	// slow means that an earlier holder of the region didn't respond when the region got its owner or when the faults ended.
	slow [regions]bool
	// bothSince is since when more than one upstream has held a region; zero if at most one holds it.
	bothSince  [regions]time.Time
	events     [regions][]string
	violations []violation
}

// violation is the first break of a rule by its kind.
type violation struct {
	kind   string
	text   string
	region int
	events []string
}

// draws is a source of random numbers for one call.
type draws struct{ *rand.Rand }

func (d *draws) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.Int64N(int64(high-low)))
}

// draw returns the random numbers for the next call of a kind. Calls of other kinds don't change them, so that the order of goroutines
// that run at the same time has little effect. m.mu must be held.
func (m *model) draw(kind ...any) *draws {
	name := fmt.Sprint(kind...)
	m.counts[name]++
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, name, m.counts[name])
	return &draws{rand.New(rand.NewPCG(m.seed, h.Sum64()))}
}

func (m *model) locked(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// record adds an event to the time line of each region of a range. m.mu must be held.
func (m *model) record(r keyspace.Range, text string) {
	from, to := regionsOf(r)
	for region := from; region < to; region++ {
		m.events[region] = append(m.events[region], fmt.Sprintf("    %8.3f %s", time.Since(m.started).Seconds(), text))
	}
}

// violate adds a violation with the last events of the region. m.mu must be held.
func (m *model) violate(kind string, region int, text string) {
	if slices.ContainsFunc(m.violations, func(v violation) bool { return v.kind == kind }) {
		return
	}
	events := m.events[region]
	events = slices.Clone(events[max(0, len(events)-30):])
	text = fmt.Sprintf("region %d, after %.3f s: %s", region, time.Since(m.started).Seconds(), text)
	m.violations = append(m.violations, violation{kind: kind, text: text, region: region, events: events})
}

// endedOrExpired reports whether an incarnation is known to serve no keys any more.
func (m *model) endedOrExpired(i member.Incarnation) bool {
	member := m.find(i)
	member.mu.Lock()
	proved := member.proved
	member.mu.Unlock()
	return proved || m.Ended(i)
}

// candidates returns the instances that report to the planner, and whether each has settled on the current map.
func (m *model) candidates() (all []*modelMember, settled map[member.Incarnation]bool) {
	m.mu.Lock()
	current := m.current
	for _, n := range m.nodes {
		if n.current != nil && !time.Now().Before(n.cutUntil) && n.current.Valid() {
			all = append(all, n.current)
		}
	}
	m.mu.Unlock()
	settled = make(map[member.Incarnation]bool)
	for _, i := range all {
		settled[i.self] = i.manager.SettledVersion() >= current.Version()
	}
	return all, settled
}

// plan makes the next map. As keyspace.Plan does, it keeps the earlier holders of an entry until its owner has settled, adds the owner to
// them when the entry moves, and joins adjacent entries of one owner without earlier holders. Each region moves with a probability.
func (m *model) plan(moves float64) {
	candidates, settled := m.candidates()
	if len(candidates) == 0 {
		return
	}
	var random *draws
	m.locked(func() { random = m.draw("plan") })
	version := m.current.Version() + 1
	changed := false
	var entries []keyspace.Entry
	for region := range regions {
		e, _ := m.current.Find(firstKey(region))
		e.Range = keyspace.Range{First: firstKey(region), Last: firstKey(region) + keyspace.Key(regionSize-1)}
		owner := e.Owner()
		e.Previous = slices.DeleteFunc(slices.Clone(e.Previous), m.endedOrExpired)
		if settled[owner] {
			e.Previous = nil
		}
		lost := owner.IsZero() || m.endedOrExpired(owner) || m.find(owner).node.number > owner.Number()
		to := candidates[random.IntN(len(candidates))].self
		if moved := random.Float64() < moves; lost || moved && to != owner {
			changed = true
			previous := append([]member.Incarnation{owner}, e.Previous...)
			e.Previous = slices.DeleteFunc(previous, func(i member.Incarnation) bool {
				return i.IsZero() || i == to || m.endedOrExpired(i)
			})
			e.Members, e.Epoch = []member.Incarnation{to}, version
		}
		entries = append(entries, e)
	}
	if !changed {
		return
	}
	next, err := keyspace.NewMap(version, m.merge(entries, settled, version))
	if err != nil {
		panic(err)
	}
	m.publish(next, random)
}

// merge joins regions that the current map has in one entry and that have not changed, and adjacent entries without earlier holders, which
// get a new epoch.
func (m *model) merge(entries []keyspace.Entry, settled map[member.Incarnation]bool, version uint64) []keyspace.Entry {
	joined := entries[:1]
	for _, e := range entries[1:] {
		last := &joined[len(joined)-1]
		before, _ := m.current.Find(last.Last)
		_, candidate := settled[e.Owner()]
		same := before.Contains(e.First) && last.Epoch == e.Epoch && last.Owner() == e.Owner()
		switch {
		case same:
			last.Last = e.Last
		case last.Owner() == e.Owner() && len(last.Previous) == 0 && len(e.Previous) == 0 && candidate:
			last.Last, last.Epoch = e.Last, version
		default:
			joined = append(joined, e)
		}
	}
	return joined
}

// publish makes a map the current one and sends it to each instance, which gets it after a while and not while it is cut off.
func (m *model) publish(next *keyspace.Map, random *draws) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range next.Entries() {
		old, _ := m.current.Find(e.First)
		if old.Epoch == e.Epoch && old.Range == e.Range && len(old.Previous) == len(e.Previous) {
			continue
		}
		from, to := regionsOf(e.Range)
		for region := from; region < to; region++ {
			if old, _ := m.current.Find(firstKey(region)); old.Epoch != e.Epoch {
				m.changedAt[region], m.slow[region] = time.Now().Add(mapDelay), !m.responds(e)
			}
		}
		m.record(e.Range, fmt.Sprintf("map %d: %v %v epoch %d, before: %v", next.Version(), e.Owner(), e.Range, e.Epoch, e.Previous))
	}
	m.current = next
	for _, n := range m.nodes {
		delay := random.between(0, mapDelay)
		m.group.Go(func() {
			time.Sleep(delay)
			var i *modelMember
			for {
				m.locked(func() {
					i, delay = n.current, time.Until(n.cutUntil)
				})
				if delay <= 0 {
					break
				}
				time.Sleep(delay)
			}
			if i != nil {
				i.manager.Update(next)
				m.locked(func() { m.recordUpdate(i.self, next) })
			}
		})
	}
}

// recordUpdate adds the update of an instance to the time lines of the regions that it owns or may have held. m.mu must be held.
func (m *model) recordUpdate(self member.Incarnation, next *keyspace.Map) {
	for _, e := range next.Entries() {
		if e.Owner() == self || slices.Contains(e.Previous, self) {
			m.record(e.Range, fmt.Sprintf("%v knows map %d", self, next.Version()))
		}
	}
}

// run runs the model: faults, then a time without them in which all keys must get their owners, then moves of many keys.
func (m *model) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	m.started, m.faulty = time.Now(), true
	for n := range modelNodes {
		m.nodes = append(m.nodes, &modelNode{slot: string(rune('a' + n))})
		m.join(ctx, m.nodes[n], 1+m.draw("clock", n).Float64()*(1/0.98-1))
	}
	for range int(faultyTime / mapInterval) {
		m.plan(0.25)
		m.pass(ctx, mapInterval)
	}
	m.locked(func() {
		m.faulty = false
		for _, n := range m.nodes {
			n.disturbed = time.Now().Before(n.cutUntil) || n.upstream.calls > 0 || n.requests > 0
			n.cutUntil = time.Time{}
		}
		for region := range regions {
			e, _ := m.current.Find(firstKey(region))
			m.changedAt[region], m.slow[region] = time.Now(), !m.responds(e)
		}
		m.record(keyspace.Range{Last: keyspace.MaxKey}, "the faults end")
	})
	// Instances whose leases have expired join again, and the keys of their earlier incarnations are assigned anew.
	for started := time.Now(); time.Since(started) < slowOwnerGap+time.Second; m.plan(0) {
		m.awaitOwners(ctx)
	}
	for _, n := range m.nodes {
		n.disturbed = false
	}
	for range 3 {
		m.plan(0.5)
		for started := time.Now(); time.Since(started) < 2*time.Second; {
			m.awaitOwners(ctx)
		}
	}
	m.locked(func() { m.ended = true })
	cancel()
	for _, n := range m.nodes {
		n.current.stop()
	}
	m.group.Wait()
	for _, i := range m.members {
		i.manager.Close()
	}
}

// pass lets time pass: it extends the leases of the instances that aren't cut off, begins faults at random and checks the upstreams.
func (m *model) pass(ctx context.Context, d time.Duration) {
	for started := time.Now(); time.Since(started) < d; time.Sleep(10 * time.Millisecond) {
		for _, n := range m.nodes {
			m.step(ctx, n)
		}
		m.locked(m.checkBothHold)
	}
}

// step extends the lease of an instance or begins a fault of it.
func (m *model) step(ctx context.Context, n *modelNode) {
	m.mu.Lock()
	i, cut, faulty := n.current, time.Now().Before(n.cutUntil), m.faulty
	random := m.draw("step", n.slot)
	if faulty && i != nil && !cut && random.Float64() < 0.001 {
		n.cutUntil = time.Now().Add(random.between(100*time.Millisecond, 4*time.Second))
		m.record(keyspace.Range{Last: keyspace.MaxKey}, fmt.Sprintf("%v is cut off for %v", i.self, time.Until(n.cutUntil)))
	}
	m.mu.Unlock()
	switch {
	case i == nil || cut:
	case !i.extend():
		m.restart(ctx, n, false)
	case faulty && random.Float64() < 0.001:
		m.restart(ctx, n, true)
	}
}

// checkBothHold checks how long two upstreams hold a region at once. m.mu must be held.
func (m *model) checkBothHold() {
	now := time.Now()
	for region := range regions {
		var holders []string
		for _, u := range m.runs {
			if u.up && u.keys[region].held(now) {
				holders = append(holders, u.name)
			}
		}
		switch since := &m.bothSince[region]; {
		case len(holders) < 2:
			*since = time.Time{}
		case since.IsZero():
			*since = now
		case now.Sub(*since) > maxBothHold:
			m.violate("hold for over 0.5 s", region, fmt.Sprintf("%v hold the keys", holders))
		}
	}
}

// awaitOwners lets the time between two maps pass and checks that each region is held by its owner in time.
func (m *model) awaitOwners(ctx context.Context) {
	for started := time.Now(); time.Since(started) < mapInterval; m.pass(ctx, 10*time.Millisecond) {
		for region := range regions {
			e, _ := m.current.Find(firstKey(region))
			i := m.find(e.Owner())
			serves := i.manager.Serves(firstKey(region))
			m.mu.Lock()
			limit, since := slowOwnerGap, time.Since(m.changedAt[region])
			if !m.slow[region] && m.responds(e) {
				limit = ownerGap
			}
			if (!serves || !i.upstream.keys[region].held(time.Now())) && since > limit {
				m.violate(fmt.Sprintf("no owner for %v", limit), region, fmt.Sprintf("%v doesn't serve its keys", i.self))
			}
			m.mu.Unlock()
		}
	}
}

// responds reports whether the owner and the earlier holders of an entry respond. m.mu must be held.
func (m *model) responds(e keyspace.Entry) bool {
	return !slices.ContainsFunc(append([]member.Incarnation{e.Owner()}, e.Previous...), func(i member.Incarnation) bool {
		n := m.members[i].node
		return n.disturbed || n.current == nil || n.current.self != i
	})
}
