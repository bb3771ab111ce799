package planner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"sapphiretray/code"
	"sapphiretray/fake"
	"sapphiretray/member"
	"sapphiretray/pause"
	"sapphiretray/placement"
	"sapphiretray/planner"
	"sapphiretray/table"
)

// TestTwoPlanners guards against two planners that hold the lease at once, and against a lease that isn't taken over after its holder
// stopped without releasing it.
func TestTwoPlanners(t *testing.T) {
	runWithPlatform(t, func(env *testEnv) {
		env.members(6, 1)
		a, b := env.planner("a"), env.planner("b")
		for range 20 {
			var group sync.WaitGroup
			group.Go(func() { _ = a.Step(env.Context()) })
			group.Go(func() { _ = b.Step(env.Context()) })
			group.Wait()
			if a.Leading() && b.Leading() {
				t.Fatal("both planners hold the lease")
			}
			time.Sleep(time.Second)
		}
		if got := env.count(func(e planner.Event) bool { return e.Kind == planner.Created }); got != 1 {
			t.Errorf("the map was created %d times", got)
		}
		old, other := a, b
		if b.Leading() {
			old, other = b, a
		}
		stopped := time.Now()
		for !other.Leading() {
			if time.Since(stopped) > 2*planner.DefaultLeaseDuration {
				t.Fatal("the lease was not taken over")
			}
			_ = other.Step(env.Context())
			time.Sleep(time.Second)
		}
		if since := time.Since(stopped); since < planner.DefaultLeaseDuration/2 {
			t.Errorf("the lease was taken over after %s", since)
		}
		env.member(0, 2, member.Ready)
		if err := old.Step(env.Context()); err != nil || old.Leading() {
			t.Errorf("the old holder still leads: %v", err)
		}
	})
}

// TestPlatformDown guards against a planner that stops planning, or acts on stale data, after the platform was down for longer than its
// lease.
func TestPlatformDown(t *testing.T) {
	runWithPlatform(t, func(env *testEnv) {
		env.members(6, 1)
		p := env.planner("a")
		defer env.start(p)()
		time.Sleep(10 * time.Second)
		before := env.load()
		env.platform.Faults().Set(fake.Fault{Mode: fake.Down})
		time.Sleep(2 * planner.DefaultLeaseDuration)
		if p.Leading() {
			t.Error("the planner still leads although it could not renew its lease")
		}
		env.platform.Faults().Set(fake.Fault{})
		env.member(0, 2, member.Joining)
		time.Sleep(5 * time.Second)
		m := env.load()
		if m.Version() <= before.Version() || partitionsByOwner(m)[member.NewIncarnation("s-0", 1)] > 0 {
			t.Errorf("version %d after %d, owners %v", m.Version(), before.Version(), partitionsByOwner(m))
		}
	})
}

// TestLostResponseToMapWrite guards against a write of a map that is made twice, or reported as failed, when its response is lost.
func TestLostResponseToMapWrite(t *testing.T) {
	runWithPlatform(t, func(env *testEnv) {
		env.members(6, 1)
		p := env.planner("a")
		stop := env.start(p)
		time.Sleep(10 * time.Second)
		version := env.load().Version()
		stop()
		env.member(0, 2, member.Joining)
		lossy := env.planner("b", planner.WithPlatform(responseLosingTable{env.table, env}, env.objects))
		if err := lossy.Step(env.Context()); err != nil {
			t.Errorf("step: %v", err)
		}
		if got := env.load().Version(); got != version+1 {
			t.Errorf("version %d, want %d", got, version+1)
		}
		if env.count(func(e planner.Event) bool { return e.Kind == planner.Kind(placement.Takeover) }) == 0 {
			t.Error("the takeovers were not reported")
		}
	})
}

// responseLosingTable makes the platform lose the response to each transaction.
type responseLosingTable struct {
	*table.Client
	env *testEnv
}

func (l responseLosingTable) Commit(ctx context.Context, transaction table.Transaction) ([]table.Row, error) {
	l.env.platform.Faults().Set(fake.Fault{Mode: fake.LostResponse, Count: 1})
	return l.Client.Commit(ctx, transaction)
}

// TestLostReadBack guards against changes that aren't reported when both the response to the write and the read-back fail: the next step
// finds out whether the write took effect.
func TestLostReadBack(t *testing.T) {
	runWithPlatform(t, func(env *testEnv) {
		env.members(6, 1)
		stop := env.start(env.planner("a"))
		time.Sleep(10 * time.Second)
		stop()
		env.member(0, 2, member.Joining)
		failing := &failingTable{Client: env.table, env: env}
		p := env.planner("b", planner.WithPlatform(failing, env.objects))
		if err := p.Step(env.Context()); err == nil {
			t.Fatal("the step succeeded although its outcome is unknown")
		}
		env.platform.Faults().Set(fake.Fault{})
		takeover := func(e planner.Event) bool { return e.Kind == planner.Kind(placement.Takeover) }
		if got := env.count(takeover); got != 0 {
			t.Fatalf("%d takeovers reported before their outcome was known", got)
		}
		failing.disabled = true
		if err := p.Step(env.Context()); err != nil {
			t.Fatal(err)
		}
		if env.count(takeover) == 0 {
			t.Error("the takeovers were not reported after the row was read")
		}
	})
}

// failingTable makes the platform lose the response to a transaction that writes a map, and takes the platform down after it.
type failingTable struct {
	*table.Client
	env *testEnv
	// disabled is true while the table passes transactions on without a failure.
	disabled bool
}

func (f *failingTable) Commit(ctx context.Context, transaction table.Transaction) ([]table.Row, error) {
	if f.disabled || transaction.Writes[0].Key != planner.MapKey(service) {
		return f.Client.Commit(ctx, transaction)
	}
	f.env.platform.Faults().Set(fake.Fault{Mode: fake.LostResponse, Count: 1})
	rows, err := f.Client.Commit(ctx, transaction)
	f.env.platform.Faults().Set(fake.Fault{Mode: fake.Down})
	return rows, err
}

// TestPauseBetweenPlanAndWrite guards against moves that are written although a pause was accepted between the planning and the write.
func TestPauseBetweenPlanAndWrite(t *testing.T) {
	runWithPlatform(t, func(env *testEnv) {
		env.members(6, 1)
		stop := env.start(env.planner("a"))
		time.Sleep(10 * time.Second)
		stop()
		before := env.load()
		env.member(0, 1, member.Draining)
		pausing := &pausingTable{Client: env.table, env: env}
		p := env.planner("b", planner.WithPlatform(pausing, env.objects))
		if err := p.Step(env.Context()); err == nil {
			t.Error("the write succeeded despite an accepted pause")
		}
		env.member(1, 2, member.Joining)
		if err := p.Step(env.Context()); err != nil {
			t.Fatal(err)
		}
		m := env.load()
		if partitionsByOwner(m)[member.NewIncarnation("s-0", 1)] < partitionsByOwner(before)[member.NewIncarnation("s-0", 1)] {
			t.Error("partitions moved while paused")
		}
		if partitionsByOwner(m)[member.NewIncarnation("s-1", 1)] != 0 {
			t.Error("the takeover from a lost owner was not recorded while paused")
		}
		if held := p.HeldMoves(service); len(held) == 0 || held[0].Reason != "paused by ana: audit: s-0#1 is draining" {
			t.Errorf("held back: %+v", held)
		}
	})
}

// pausingTable accepts a pause just before the first write of a map.
type pausingTable struct {
	*table.Client
	env  *testEnv
	done bool
}

func (p *pausingTable) Commit(ctx context.Context, transaction table.Transaction) ([]table.Row, error) {
	if transaction.Writes[0].Key == planner.MapKey(service) && !p.done {
		p.done = true
		if _, err := pause.Set(ctx, p.env.table, service, "ana", "audit"); err != nil {
			p.env.Error(err)
		}
	}
	return p.Client.Commit(ctx, transaction)
}

// TestReleaseAfterCancelledLeaseWrite guards against a planner that stops during a write of the lease and leaves the lease to expire, or
// releases that of another planner.
func TestReleaseAfterCancelledLeaseWrite(t *testing.T) {
	other := member.NewIncarnation("b", 1)
	tests := []struct {
		name string
		// cancelled is the number of the lease write that is cancelled: the first one acquires the lease, the second one renews it.
		cancelled int
		// outcome is what happens to the row during the cancelled write.
		outcome func(stopping *stoppingTable, transaction table.Transaction)
		want    member.Incarnation
	}{
		{"the renewal takes effect", 2, (*stoppingTable).apply, member.Incarnation{}},
		{"the renewal is still on its way", 2, (*stoppingTable).delay, member.Incarnation{}},
		{"another planner takes the lease before the renewal", 2, (*stoppingTable).steal, other},
		{"the acquisition takes effect", 1, (*stoppingTable).apply, member.Incarnation{}},
		{"the acquisition is still on its way", 1, (*stoppingTable).delay, member.Incarnation{}},
		{"another planner takes the lease before the acquisition", 1, (*stoppingTable).steal, other},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runWithPlatform(t, func(env *testEnv) {
				env.members(6, 1)
				ctx, cancel := context.WithCancel(env.Context())
				defer cancel()
				stopping := &stoppingTable{Client: env.table, env: env, stop: cancel, cancelled: test.cancelled, outcome: test.outcome}
				if err := env.planner("a", planner.WithPlatform(stopping, env.objects)).Run(ctx); err != nil {
					t.Fatal(err)
				}
				if stopping.delayed != nil {
					_, _ = env.table.Commit(env.Context(), *stopping.delayed)
				}
				stored, err := env.table.Get(env.Context(), planner.LeaseKey)
				if err != nil {
					t.Fatal(err)
				}
				var row planner.LeaseRow
				if err := json.Unmarshal(stored.Value, &row); err != nil || row.Holder != test.want {
					t.Errorf("holder %q after the stop, want %q (%v)", row.Holder, test.want, err)
				}
			})
		})
	}
}

// stoppingTable stops the planner while it writes the lease.
type stoppingTable struct {
	*table.Client
	env         *testEnv
	stop        context.CancelFunc
	cancelled   int
	outcome     func(stopping *stoppingTable, transaction table.Transaction)
	leaseWrites int
	// delayed is the cancelled write if it hasn't arrived yet.
	delayed *table.Transaction
}

func (s *stoppingTable) Commit(ctx context.Context, transaction table.Transaction) ([]table.Row, error) {
	if transaction.Writes[0].Key == planner.LeaseKey {
		s.leaseWrites++
	}
	if s.leaseWrites != s.cancelled || ctx.Err() != nil {
		return s.Client.Commit(ctx, transaction)
	}
	s.stop()
	s.outcome(s, transaction)
	return nil, code.Wrap(code.WriteUnknown, ctx.Err(), "commit")
}

// apply makes a transaction take effect.
func (s *stoppingTable) apply(transaction table.Transaction) {
	if _, err := s.Client.Commit(s.env.Context(), transaction); err != nil {
		s.env.Error(err)
	}
}

// delay keeps a transaction for later.
func (s *stoppingTable) delay(transaction table.Transaction) { s.delayed = &transaction }

// steal gives the lease to another planner, so that the transaction has no effect.
func (s *stoppingTable) steal(table.Transaction) {
	s.env.put(planner.LeaseKey, planner.LeaseRow{Holder: member.NewIncarnation("b", 1), DurationMilliseconds: 30000, WriteID: "b/1"})
}

// TestFullRestart guards against a restart of all instances that needs more writes than the platform allows, that gives all partitions to
// the instances that start first, or that moves partitions again afterwards.
func TestFullRestart(t *testing.T) {
	runWithPlatform(t, func(env *testEnv) {
		env.members(30, 1)
		var planners []*planner.Planner
		for n := range 9 {
			planners = append(planners, env.planner(fmt.Sprintf("p-%d", n)))
		}
		defer env.start(planners...)()
		time.Sleep(20 * time.Second)
		first := env.load().Version()
		for n := range 30 {
			env.member(n, 2, member.Joining)
		}
		_, before := env.platform.Counts()
		for n := range 30 {
			env.member(n, 2, member.Ready)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(17 * time.Second)
		_, after := env.platform.Counts()
		if writes := after - before - 30; writes > 100 {
			t.Errorf("%d writes in 20 s", writes)
		}
		m := env.load()
		counts := partitionsByOwner(m)
		for n := range 30 {
			if got := counts[member.NewIncarnation(fmt.Sprintf("s-%d", n), 2)]; got < 3 || got > 6 {
				t.Errorf("s-%d owns %d partitions, want 3 to 6", n, got)
			}
		}
		if m.Version() > first+2 {
			t.Errorf("version %d after %d: the maps changed more than once", m.Version(), first)
		}
	})
}

// TestLeaseLostBetweenPlanAndWrite guards against a planner that writes a map although another one took its lease between the planning
// and the write.
func TestLeaseLostBetweenPlanAndWrite(t *testing.T) {
	runWithPlatform(t, func(env *testEnv) {
		env.members(6, 1)
		stealing := &leaseStealingTable{Client: env.table, env: env}
		p := env.planner("a", planner.WithPlatform(stealing, env.objects))
		time.Sleep(time.Second)
		if err := p.Step(env.Context()); err == nil || p.Leading() {
			t.Errorf("step without the lease: %v, leading %t", err, p.Leading())
		}
		if row, err := env.table.Get(env.Context(), planner.MapKey(service)); err != nil || row.Version != 0 {
			t.Errorf("the map was written: %v, %v", row, err)
		}
	})
}

// leaseStealingTable gives the lease to another planner just before a map is written.
type leaseStealingTable struct {
	*table.Client
	env *testEnv
}

func (l *leaseStealingTable) Commit(ctx context.Context, transaction table.Transaction) ([]table.Row, error) {
	if transaction.Writes[0].Key == planner.MapKey(service) {
		l.env.put(planner.LeaseKey, planner.LeaseRow{Holder: member.NewIncarnation("b", 1), DurationMilliseconds: 30000, WriteID: "b/1"})
	}
	return l.Client.Commit(ctx, transaction)
}
