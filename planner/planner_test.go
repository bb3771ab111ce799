package planner_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sapphiretray/fake"
	"sapphiretray/member"
	"sapphiretray/object"
	"sapphiretray/partition"
	"sapphiretray/placement"
	"sapphiretray/planner"
	"sapphiretray/table"
)

const service = "bookings"

// pipes is a listener whose connections are in memory, so that the test clock may advance while they are idle.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipes) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipes) Addr() net.Addr { return &net.UnixAddr{Name: "platform"} }

func (l *pipes) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	here, there := net.Pipe()
	select {
	case l.conns <- there:
		return here, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// world is a platform over HTTP in one test bubble, and what the planners reported.
type world struct {
	*testing.T
	platform fake.Platform
	table    *table.Client
	objects  *object.Client
	mu       sync.Mutex
	events   []planner.Event
}

// run runs a test in a bubble with the platform's clients on connections in memory. The clients use the default
// transport, which is replaced meanwhile.
func run(t *testing.T, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{T: t, table: table.New("http://platform"), objects: object.New("http://platform")}
		listener := &pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
		server := &http.Server{Handler: w.platform.Handler()}
		var group sync.WaitGroup
		group.Go(func() { _ = server.Serve(listener) })
		transport := &http.Transport{DialContext: listener.dial}
		old := http.DefaultTransport
		http.DefaultTransport = transport
		defer func() {
			http.DefaultTransport = old
			transport.CloseIdleConnections()
			_ = server.Close()
			group.Wait()
		}()
		test(w)
	})
}

func (w *world) put(key string, value any) {
	w.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		w.Fatal(err)
	}
	if _, err := w.table.Commit(w.Context(), table.Transaction{Writes: []table.Write{{Key: key, Value: encoded}}}); err != nil {
		w.Fatal(err)
	}
}

func (w *world) member(n int, number uint64, state member.State) {
	w.Helper()
	slot := fmt.Sprintf("s-%d", n)
	w.put(member.RowKey(slot), member.Record{
		Incarnation: member.NewIncarnation(slot, number), Service: service, State: state, Capacity: 1,
		DataCentre: fmt.Sprintf("dc%d", n%3), Region: "region",
	})
}

func (w *world) members(count int, number uint64) {
	w.Helper()
	for n := range count {
		w.member(n, number, member.Ready)
	}
}

func (w *world) planner(name string, options ...planner.Option) *planner.Planner {
	return planner.New(append([]planner.Option{
		planner.WithPlatform(w.table, w.objects),
		planner.WithIncarnation(member.NewIncarnation(name, 1)),
		planner.WithServices(func(context.Context) ([]planner.Service, error) {
			return []planner.Service{{Name: service, Partitions: 128}}, nil
		}),
		planner.WithReport(func(e planner.Event) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.events = append(w.events, e)
		}),
	}, options...)...)
}

// start runs planners in the background and returns a function that stops them.
func (w *world) start(planners ...*planner.Planner) func() {
	ctx, cancel := context.WithCancel(w.Context())
	var group sync.WaitGroup
	for _, p := range planners {
		group.Go(func() { _ = p.Run(ctx) })
	}
	return func() {
		cancel()
		group.Wait()
	}
}

func (w *world) load() *partition.Map {
	w.Helper()
	m, _, err := planner.Load(w.Context(), w.table, w.objects, service)
	if err != nil {
		w.Fatal(err)
	}
	return m
}

// owned returns the number of partitions by owner.
func owned(m *partition.Map) map[member.Incarnation]int {
	counts := make(map[member.Incarnation]int)
	for p := range m.Partitions() {
		owner, _ := m.Owner(p)
		counts[owner]++
	}
	return counts
}

func (w *world) count(match func(planner.Event) bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, e := range w.events {
		if match(e) {
			count++
		}
	}
	return count
}

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
		l.w.put(planner.PauseKey, planner.PauseRow{Services: []string{service}, By: "ana", Reason: "audit"})
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

// Guards against members that stay in their rows after the proof of their expiry, and against a conflict on one row
// that keeps the others from being written.
func TestExpired(t *testing.T) {
	run(t, func(w *world) {
		w.members(6, 1)
		dead := map[string]bool{"s-1": true, "s-2": true}
		conflicted := false
		p := w.planner("a", planner.WithExpired(func(_ context.Context, record member.Record) bool {
			slot := record.Incarnation.Slot()
			if dead[slot] && slot == "s-1" && !conflicted {
				conflicted = true
				defer w.member(1, 2, member.Ready)
			}
			return dead[slot] && record.Incarnation.Number() == 1
		}))
		if err := p.Step(w.Context()); err != nil {
			t.Fatal(err)
		}
		for slot, want := range map[string]member.State{"s-1": member.Ready, "s-2": member.Lapsed, "s-3": member.Ready} {
			row, err := w.table.Get(w.Context(), member.RowKey(slot))
			if err != nil {
				t.Fatal(err)
			}
			var record member.Record
			if err := json.Unmarshal(row.Value, &record); err != nil || record.State != want {
				t.Errorf("%s is %s, want %s (%v)", slot, record.State, want, err)
			}
		}
	})
}

// Guards against a budget that is exceeded in any minute.
func TestBudget(t *testing.T) {
	run(t, func(w *world) {
		w.members(3, 1)
		budget := 6
		p := w.planner("a", planner.WithSheet(func(context.Context, table.Row, string) (planner.Sheet, error) {
			return planner.Sheet{Budget: &budget}, nil
		}))
		defer w.start(p)()
		time.Sleep(10 * time.Second)
		w.member(0, 1, member.Draining)
		before := owned(w.load())[member.NewIncarnation("s-0", 1)]
		for minute := 1; minute <= 3; minute++ {
			time.Sleep(58 * time.Second)
			if got := before - owned(w.load())[member.NewIncarnation("s-0", 1)]; got != budget*minute {
				t.Errorf("minute %d: %d moves, want %d", minute, got, budget*minute)
			}
			time.Sleep(2 * time.Second)
		}
	})
}

// Guards the row: readers that refresh see the same map as those that load it, across snapshots, and the row stays short.
func TestRefresh(t *testing.T) {
	run(t, func(w *world) {
		w.members(6, 1)
		budget := 1000
		p := w.planner("a", planner.WithSheet(func(context.Context, table.Row, string) (planner.Sheet, error) {
			return planner.Sheet{Budget: &budget}, nil
		}))
		defer w.start(p)()
		if _, _, err := planner.Load(w.Context(), w.table, w.objects, service); !errors.Is(err, planner.ErrNoMap) {
			t.Errorf("load before the first step: %v", err)
		}
		time.Sleep(10 * time.Second)
		var reader *partition.Map
		snapshots := make(map[string]bool)
		for round := range 24 {
			state := member.Draining
			if round%2 == 1 {
				state = member.Ready
			}
			w.member(round/2%6, 1, state)
			time.Sleep(3 * time.Second)
			stored, err := w.table.Get(w.Context(), planner.MapKey(service))
			if err != nil {
				t.Fatal(err)
			}
			row, err := planner.DecodeMapRow(stored.Value)
			if err != nil {
				t.Fatal(err)
			}
			moves := 0
			for _, b := range row.Batches {
				moves += len(b.Moves)
			}
			if moves > planner.MaxRowMoves {
				t.Errorf("the row lists %d moves", moves)
			}
			snapshots[row.Snapshot] = true
			if reader, _, err = planner.Refresh(w.Context(), w.table, w.objects, service, reader); err != nil {
				t.Fatal(err)
			}
			a, b := w.load(), reader
			for part := range a.Partitions() {
				if fmt.Sprint(a.Entry(part)) != fmt.Sprint(b.Entry(part)) {
					t.Fatalf("round %d, partition %d: %v loaded, %v refreshed", round, part, a.Entry(part), b.Entry(part))
				}
			}
		}
		if len(snapshots) < 2 {
			t.Errorf("snapshots %v, want several", snapshots)
		}
	})
}
