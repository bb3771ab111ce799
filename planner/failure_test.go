package planner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"sapphiretray/fake"
	"sapphiretray/member"
	"sapphiretray/pause"
	"sapphiretray/placement"
	"sapphiretray/planner"
	"sapphiretray/table"
)

// Guards against two planners that act at once, and against a lease that isn't taken over after its holder stopped
// without giving it up.
func TestTwoPlanners(t *testing.T) {
	run(t, func(w *world) {
		w.members(6, 1)
		a, b := w.planner("a"), w.planner("b")
		for range 20 {
			var group sync.WaitGroup
			group.Go(func() { _ = a.Step(w.Context()) })
			group.Go(func() { _ = b.Step(w.Context()) })
			group.Wait()
			if a.Leading() && b.Leading() {
				t.Fatal("both planners hold the lease")
			}
			time.Sleep(time.Second)
		}
		if got := w.count(func(e planner.Event) bool { return e.Kind == planner.Created }); got != 1 {
			t.Errorf("the map was created %d times", got)
		}
		old, other := a, b
		if b.Leading() {
			old, other = b, a
		}
		stopped := time.Now()
		for !other.Leading() {
			if time.Since(stopped) > 2*planner.DefaultLease {
				t.Fatal("the lease was not taken over")
			}
			_ = other.Step(w.Context())
			time.Sleep(time.Second)
		}
		if since := time.Since(stopped); since < planner.DefaultLease/2 {
			t.Errorf("the lease was taken over after %s", since)
		}
		w.member(0, 2, member.Ready)
		if err := old.Step(w.Context()); err != nil || old.Leading() {
			t.Errorf("the old holder still leads: %v", err)
		}
	})
}

// Guards against a planner that stops, or acts on what it remembers, when the platform is down for longer than its lease.
func TestPlatformDown(t *testing.T) {
	run(t, func(w *world) {
		w.members(6, 1)
		p := w.planner("a")
		defer w.start(p)()
		time.Sleep(10 * time.Second)
		before := w.load()
		w.platform.Faults().Set(fake.Fault{Mode: fake.Down})
		time.Sleep(2 * planner.DefaultLease)
		if p.Leading() {
			t.Error("the planner counts on a lease that it could not renew")
		}
		w.platform.Faults().Set(fake.Fault{})
		w.member(0, 2, member.Joining)
		time.Sleep(5 * time.Second)
		m := w.load()
		if m.Version() <= before.Version() || owned(m)[member.NewIncarnation("s-0", 1)] > 0 {
			t.Errorf("version %d after %d, owners %v", m.Version(), before.Version(), owned(m))
		}
	})
}

// Guards against a write that is made twice or reported as failed when its answer is lost.
func TestLostAnswer(t *testing.T) {
	run(t, func(w *world) {
		w.members(6, 1)
		p := w.planner("a")
		stop := w.start(p)
		time.Sleep(10 * time.Second)
		version := w.load().Version()
		stop()
		w.member(0, 2, member.Joining)
		lossy := w.planner("b", planner.WithPlatform(losing{w.table, w}, w.objects))
		if err := lossy.Step(w.Context()); err != nil {
			t.Errorf("step: %v", err)
		}
		if got := w.load().Version(); got != version+1 {
			t.Errorf("version %d, want %d", got, version+1)
		}
		if w.count(func(e planner.Event) bool { return e.Kind == planner.Kind(placement.Takeover) }) == 0 {
			t.Error("the takeovers were not reported")
		}
	})
}

// losing loses the answer of each transaction.
type losing struct {
	*table.Client
	w *world
}

func (l losing) Commit(ctx context.Context, transaction table.Transaction) ([]table.Row, error) {
	l.w.platform.Faults().Set(fake.Fault{Mode: fake.LostAnswer, Count: 1})
	return l.Client.Commit(ctx, transaction)
}

// Guards against changes that are lost from the report when the read-back fails too: the next step settles them.
func TestLostReadBack(t *testing.T) {
	run(t, func(w *world) {
		w.members(6, 1)
		stop := w.start(w.planner("a"))
		time.Sleep(10 * time.Second)
		stop()
		w.member(0, 2, member.Joining)
		broken := &breaking{Client: w.table, w: w}
		p := w.planner("b", planner.WithPlatform(broken, w.objects))
		if err := p.Step(w.Context()); err == nil {
			t.Fatal("the step succeeded although its outcome is unknown")
		}
		w.platform.Faults().Set(fake.Fault{})
		takeover := func(e planner.Event) bool { return e.Kind == planner.Kind(placement.Takeover) }
		if got := w.count(takeover); got != 0 {
			t.Fatalf("%d takeovers reported before their outcome was known", got)
		}
		broken.off = true
		if err := p.Step(w.Context()); err != nil {
			t.Fatal(err)
		}
		if w.count(takeover) == 0 {
			t.Error("the takeovers were not reported after the row was read")
		}
	})
}

// breaking loses the answer of a transaction that writes a map and lets the platform go down after it.
type breaking struct {
	*table.Client
	w   *world
	off bool
}

func (b *breaking) Commit(ctx context.Context, transaction table.Transaction) ([]table.Row, error) {
	if b.off || transaction.Writes[0].Key != planner.MapKey(service) {
		return b.Client.Commit(ctx, transaction)
	}
	b.w.platform.Faults().Set(fake.Fault{Mode: fake.LostAnswer, Count: 1})
	rows, err := b.Client.Commit(ctx, transaction)
	b.w.platform.Faults().Set(fake.Fault{Mode: fake.Down})
	return rows, err
}

// Guards against moves that are written after a pause was accepted: the pause comes between plan and write.
func TestPauseBetweenPlanAndWrite(t *testing.T) {
	run(t, func(w *world) {
		w.members(6, 1)
		stop := w.start(w.planner("a"))
		time.Sleep(10 * time.Second)
		stop()
		before := w.load()
		w.member(0, 1, member.Draining)
		late := &pausing{Client: w.table, w: w}
		p := w.planner("b", planner.WithPlatform(late, w.objects))
		if err := p.Step(w.Context()); err == nil {
			t.Error("the write succeeded against an accepted pause")
		}
		w.member(1, 2, member.Joining)
		if err := p.Step(w.Context()); err != nil {
			t.Fatal(err)
		}
		m := w.load()
		if owned(m)[member.NewIncarnation("s-0", 1)] < owned(before)[member.NewIncarnation("s-0", 1)] {
			t.Error("partitions moved while paused")
		}
		if owned(m)[member.NewIncarnation("s-1", 1)] != 0 {
			t.Error("a lost owner was not replaced on record while paused")
		}
		if held := p.Held(service); len(held) == 0 || held[0].Reason != "paused by ana: audit: s-0#1 is draining" {
			t.Errorf("held back: %+v", held)
		}
	})
}

// pausing accepts a pause just before a map is written.
type pausing struct {
	*table.Client
	w    *world
	done bool
}

func (l *pausing) Commit(ctx context.Context, transaction table.Transaction) ([]table.Row, error) {
	if transaction.Writes[0].Key == planner.MapKey(service) && !l.done {
		l.done = true
		if _, err := pause.Set(ctx, l.w.table, service, "ana", "audit"); err != nil {
			l.w.Error(err)
		}
	}
	return l.Client.Commit(ctx, transaction)
}

// Guards against a restart of everything that exceeds the platform's writes, gives the first members to start all
// partitions, or moves them afterwards.
func TestRestartOfEverything(t *testing.T) {
	run(t, func(w *world) {
		w.members(30, 1)
		var planners []*planner.Planner
		for n := range 9 {
			planners = append(planners, w.planner(fmt.Sprintf("p-%d", n)))
		}
		defer w.start(planners...)()
		time.Sleep(20 * time.Second)
		first := w.load().Version()
		for n := range 30 {
			w.member(n, 2, member.Joining)
		}
		_, before := w.platform.Counts()
		for n := range 30 {
			w.member(n, 2, member.Ready)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(17 * time.Second)
		_, after := w.platform.Counts()
		if writes := after - before - 30; writes > 100 {
			t.Errorf("%d writes in 20 s", writes)
		}
		m := w.load()
		counts := owned(m)
		for n := range 30 {
			if got := counts[member.NewIncarnation(fmt.Sprintf("s-%d", n), 2)]; got < 3 || got > 6 {
				t.Errorf("s-%d owns %d partitions, want 4 or 5", n, got)
			}
		}
		if m.Version() > first+2 {
			t.Errorf("version %d after %d: the maps changed more than once", m.Version(), first)
		}
	})
}

// Guards against a planner that writes a map after another took its lease between plan and write.
func TestLeaseLostBetweenPlanAndWrite(t *testing.T) {
	run(t, func(w *world) {
		w.members(6, 1)
		late := &usurping{Client: w.table, w: w}
		p := w.planner("a", planner.WithPlatform(late, w.objects))
		time.Sleep(time.Second)
		if err := p.Step(w.Context()); err == nil || p.Leading() {
			t.Errorf("step without the lease: %v, leading %t", err, p.Leading())
		}
		if row, err := w.table.Get(w.Context(), planner.MapKey(service)); err != nil || row.Version != 0 {
			t.Errorf("the map was written: %v, %v", row, err)
		}
	})
}

// usurping gives the lease to another planner just before a map is written.
type usurping struct {
	*table.Client
	w *world
}

func (u *usurping) Commit(ctx context.Context, transaction table.Transaction) ([]table.Row, error) {
	if transaction.Writes[0].Key == planner.MapKey(service) {
		u.w.put(planner.LeaseKey, planner.LeaseRow{Holder: member.NewIncarnation("b", 1), Milliseconds: 30000, Write: "b/1"})
	}
	return u.Client.Commit(ctx, transaction)
}
