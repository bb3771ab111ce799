package ownership

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/member"
	"sapphiretray/partition"
	"sapphiretray/peer"
	"sapphiretray/timeline"
)

var (
	seed = flag.Uint64("seed", 1, "seed of the first random simulation")
	runs = flag.Int("runs", 40, "number of random simulations")
)

const (
	simInstances  = 5
	simPartitions = 4
	simSteps      = 120
	simLease      = 600 * time.Millisecond
)

// simInstance is one incarnation with a lease that the simulation controls.
type simInstance struct {
	sim     *simulation
	self    member.Incarnation
	manager *Manager
	expired atomic.Bool
	// cut makes calls from and to the instance fail.
	cut    atomic.Bool
	cancel context.CancelFunc
	log    *timeline.Log
}

func (s *simInstance) Valid() bool        { return !s.expired.Load() }
func (s *simInstance) Expires() time.Time { return time.Now().Add(simLease) }
func (s *simInstance) Generation() uint64 { return 1 }

func (s *simInstance) Warm(context.Context) error                { return nil }
func (s *simInstance) Grant(context.Context, int, uint64) error  { s.sim.delay(); return nil }
func (s *simInstance) Revoke(context.Context, int, uint64) error { s.sim.delay(); return nil }

func (s *simInstance) Export(int) *peer.PromiseResponse { return &peer.PromiseResponse{} }

func (s *simInstance) Import(int, uint64, member.Incarnation, *peer.PromiseResponse) {}

// link is a client of another simulated instance. Calls are delayed and may fail before or after they take effect.
type link struct {
	peer.Peer
	from, to *simInstance
}

func (l link) Promise(ctx context.Context, request *peer.PromiseRequest) (*peer.PromiseResponse, error) {
	lost := l.from.sim.chance(20)
	l.from.sim.delay()
	if l.from.cut.Load() || l.to.cut.Load() || l.from.sim.chance(20) {
		return nil, errors.New("request lost")
	}
	response, err := l.to.manager.Promise(ctx, request)
	l.from.sim.delay()
	if lost || l.from.cut.Load() || l.to.cut.Load() {
		return nil, errors.New("response lost")
	}
	return response, err
}

// simulation drives the managers of several incarnations through random moves, losses and network faults.
type simulation struct {
	t         *testing.T
	mu        sync.Mutex
	random    *rand.Rand
	instances map[member.Incarnation]*simInstance
	order     []member.Incarnation
	current   *partition.Map
	// ignorePrevious leaves the incarnations that may still serve a partition out of new entries; check must find the violation.
	ignorePrevious bool
	violation      string
	log            *timeline.Log
}

func (s *simulation) randomInt(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *simulation) chance(oneIn int) bool { return s.randomInt(oneIn) == 0 }

// delay sleeps for 1 to 40 ms, as a call over the network takes.
func (s *simulation) delay() { time.Sleep(time.Duration(1+s.randomInt(40)) * time.Millisecond) }

func (s *simulation) add(slot string, number uint64) {
	ctx, cancel := context.WithCancel(s.t.Context())
	i := &simInstance{sim: s, self: member.NewIncarnation(slot, number), cancel: cancel}
	prove := func(ctx context.Context, holder member.Incarnation) (bool, error) {
		s.delay()
		return s.instances[holder].expired.Load(), ctx.Err()
	}
	dial := func(to member.Incarnation) (peer.Peer, error) { return link{from: i, to: s.instances[to]}, nil }
	i.log = timeline.NewLog(i.self.String(), &timeline.Clock{})
	i.manager = New(ctx, i.self, i, i, i, prove, dial, WithDrainTimeout(300*time.Millisecond), WithLog(i.log))
	s.instances[i.self] = i
	s.order = append(s.order, i.self)
}

func (s *simulation) alive() []member.Incarnation {
	var alive []member.Incarnation
	for _, i := range s.order {
		if !s.instances[i].expired.Load() {
			alive = append(alive, i)
		}
	}
	return alive
}

// move assigns a random partition to random members, including expired ones, since the planner may not know of a loss yet.
func (s *simulation) move() {
	p := s.randomInt(simPartitions)
	var members []member.Incarnation
	s.mu.Lock()
	for _, n := range s.random.Perm(len(s.order))[:partition.MaxMembers] {
		members = append(members, s.order[n])
	}
	s.mu.Unlock()
	recorded := func(i member.Incarnation) bool { return s.instances[i].expired.Load() && s.chance(2) }
	old := s.current.Entry(p)
	if len(old.Members) > 0 && s.instances[old.Members[0]].manager.Serving()[p] == old.Epoch && s.chance(2) {
		// An owner that serves an entry has all its promises, so the planner may drop the earlier incarnations.
		old.Previous = nil
	}
	entry := old.Next(members, recorded)
	if s.ignorePrevious {
		entry.Previous = nil
	}
	s.log.Add(timeline.Event{Chart: "map", Subject: fmt.Sprintf("bookings/%d", p), Trigger: "move", Reason: fmt.Sprintf("%+v", entry)})
	next, err := s.current.Apply(s.current.Version()+1, []partition.Move{{Partition: p, Entry: entry}})
	if err != nil {
		s.t.Fatal(err)
	}
	s.current = next
}

// step performs one random action and checks the result.
func (s *simulation) step() {
	switch s.randomInt(10) {
	case 0, 1:
		s.move()
	case 2:
		if alive := s.alive(); len(alive) > 2 && s.chance(4) {
			s.instances[alive[s.randomInt(len(alive))]].expired.Store(true)
			s.log.Add(timeline.Event{Chart: "lease", Trigger: "expired", Reason: fmt.Sprint(alive)})
		}
	case 3:
		i := s.instances[s.order[s.randomInt(len(s.order))]]
		i.cut.Store(!i.cut.Load())
	case 4:
		for _, i := range s.order {
			if s.instances[i].expired.Load() && s.chance(2) {
				for _, other := range s.alive() {
					s.instances[other].manager.NotifyExpiry(i)
				}
			}
		}
	case 5:
		s.admit()
	default:
		i := s.instances[s.order[s.randomInt(len(s.order))]]
		if !i.cut.Load() {
			i.manager.Update(s.current)
		}
	}
	time.Sleep(time.Duration(s.randomInt(60)) * time.Millisecond)
	s.check()
}

// admit keeps a request in flight for a while, so that its partition can't be released at once.
func (s *simulation) admit() {
	i := s.instances[s.order[s.randomInt(len(s.order))]]
	if a, err := i.manager.Admit(s.randomInt(simPartitions)); err == nil {
		i.manager.group.Go(func() {
			s.delay()
			a.Done()
		})
	}
}

// check records a violation if two incarnations would admit a request on the same partition now.
func (s *simulation) check() {
	synctest.Wait()
	for p := range simPartitions {
		var owners []string
		for _, i := range s.alive() {
			if a, err := s.instances[i].manager.Admit(p); err == nil {
				owners = append(owners, fmt.Sprintf("%s at fencing token %d", i, a.Fence()))
				a.Done()
			}
		}
		if len(owners) > 1 && s.violation == "" {
			s.violation = fmt.Sprintf("partition %d is served by %v", p, owners)
		}
	}
}

// settle ends all network faults, reports all expiries and returns the number of partitions that no incarnation serves 10 s
// later although a member's lease is valid.
func (s *simulation) settle() int {
	for _, i := range s.order {
		s.instances[i].cut.Store(false)
	}
	for range 20 {
		for _, i := range s.alive() {
			s.instances[i].manager.Update(s.current)
			for _, other := range s.order {
				if s.instances[other].expired.Load() {
					s.instances[i].manager.NotifyExpiry(other)
				}
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.check()
	unserved := 0
	for p := range simPartitions {
		members := s.current.Entry(p).Members
		served := len(members) == 0
		for _, i := range s.alive() {
			_, ok := s.instances[i].manager.Serving()[p]
			served = served || ok
		}
		possible := false
		for _, i := range members {
			possible = possible || !s.instances[i].expired.Load()
		}
		if !served && possible {
			unserved++
		}
	}
	return unserved
}

// dump logs the events of all instances in order of time.
func (s *simulation) dump() {
	all, _ := s.log.After(0)
	for _, i := range s.instances {
		events, _ := i.log.After(0)
		all = timeline.Merge(all, events)
	}
	for _, e := range all {
		s.t.Log(e)
	}
}

// simulate runs one random simulation. It returns the first violation that check found, and the result of settle.
func simulate(t *testing.T, seed uint64, ignorePrevious bool) (violation string, unserved int) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		m, err := partition.New("bookings", simPartitions)
		if err != nil {
			t.Fatal(err)
		}
		s := &simulation{
			t: t, random: rand.New(rand.NewPCG(seed, 0)), current: m,
			instances: make(map[member.Incarnation]*simInstance), ignorePrevious: ignorePrevious,
			log: timeline.NewLog("simulation", &timeline.Clock{}),
		}
		for n := range simInstances {
			s.add(fmt.Sprintf("slot-%d", n), 1)
		}
		for range simSteps {
			s.step()
		}
		unserved = s.settle()
		if violation = s.violation; violation != "" || unserved > 0 {
			s.dump()
		}
		for _, i := range s.instances {
			i.cancel()
			i.manager.Wait()
		}
	})
	return violation, unserved
}

// TestSingleOwner guards against a partition with two owners and against one that stays unserved when moves, lost incarnations,
// network cuts and lost responses to requests for promises occur in any order.
func TestSingleOwner(t *testing.T) {
	for n := range *runs {
		violation, unserved := simulate(t, *seed+uint64(n), false)
		if violation != "" || unserved > 0 {
			t.Errorf("seed %d: %s, %d partitions unserved after the faults ended", *seed+uint64(n), violation, unserved)
		}
	}
}

// TestSingleOwnerNeedsPromises guards against a check that finds nothing: without the promises of earlier members it must find two
// owners.
func TestSingleOwnerNeedsPromises(t *testing.T) {
	for n := range *runs {
		if violation, _ := simulate(t, *seed+uint64(n), true); violation != "" {
			t.Logf("seed %d: %s", *seed+uint64(n), violation)
			return
		}
	}
	t.Error("no simulation without promises had two owners")
}
